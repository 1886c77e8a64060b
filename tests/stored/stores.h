// The two stores of the fixture: how they are written, replayed, appended to and opened again.
//
// log_alone: a voter of three that has taken no snapshot; its entries are of several terms.
// snapshot_and_tail: a broker that votes alone, written by the consensus engine; a snapshot, then entries.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "shared_config/sqlite_store.h"
#include "shared_config/version_history.h"

namespace cairnhub::stored {

std::unique_ptr<shared_config::Kept> open_store(
    const std::string& folder);  // throws where it would be set aside

void write_log_alone(const std::string& folder);
void write_snapshot_and_tail(const std::string& folder);

// What each entry became: its number, 0 where it was refused.
using Numbers = std::vector<std::uint64_t>;

// The state machine after the stored snapshot, if any, and the stored log.
shared_config::VersionHistory replay(const shared_config::Kept& store, Numbers* numbers = nullptr);

// Goes on as a follower would: a later term, a vote, entries cut off and written anew, a snapshot.
void append_to_log_alone(const std::string& folder);

// Runs the engine on the store until it leads. Returns the text of its state, after `entries` were proposed.
struct EngineRun {
  std::string state;
  Numbers numbers;
  bool is_broken = false;
};
EngineRun run_engine(const std::string& folder, const std::vector<shared_config::ConfigEntry>& entries,
                     unsigned snapshot_after);

}  // namespace cairnhub::stored
