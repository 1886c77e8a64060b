// All that a voter's store holds as text, field by field, in labels of its own: the text stays the same when
// the code's names change, and differs as soon as what is read from the same bytes does.
#pragma once
#include <string>

#include "shared_config/sqlite_store.h"
#include "shared_config/version_history.h"

namespace cairnhub::stored {

// Term, vote, each log entry decoded, the snapshot decoded.
std::string dump_store(const shared_config::Kept& store);
// What the entries have led to.
std::string dump_state(const shared_config::VersionHistory& versions);

}  // namespace cairnhub::stored
