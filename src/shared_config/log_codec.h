// Between this package's records and its messages (shared_config.proto).
#pragma once
#include <optional>

#include "shared_config.pb.h"
#include "shared_config/version_history.h"

namespace cairnhub::shared_config {

void to_proto(const Version& v, accord::wire::Version& into);
// None where its text can't be used or is not what its hash says.
std::optional<Version> from_proto(const accord::wire::Version& v);

}  // namespace cairnhub::shared_config
