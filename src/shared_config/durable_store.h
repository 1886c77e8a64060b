// What a voter must not forget: term, vote, log, snapshot. Behind this stand SQLite in earnest and a plain
// record in a seeded world.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cairnhub::shared_config {

struct LogEntry {
  std::uint64_t term = 0;
  unsigned short type = 0;
  std::string data;
};

struct Snapshot {
  std::uint64_t index = 0, term = 0, configuration_index = 0;
  std::string configuration, data;
};

struct PersistedState {
  std::uint64_t voter_id = 0;  // whom the store makes its broker; a new store, a new one
  std::uint64_t term = 0, vote = 0;
  std::uint64_t first_index = 1;  // index of entries[0]
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;
};

// Each call is durable when it returns true. After a false one nothing more may be built on the store.
class DurableStore {
 public:
  virtual ~DurableStore() = default;
  virtual const PersistedState& loaded_state() const = 0;  // as it was found at the start
  virtual bool set_term(std::uint64_t term) = 0;           // clears the vote
  virtual bool set_vote(std::uint64_t id) = 0;
  virtual bool append(std::uint64_t first, const std::vector<LogEntry>& entries) = 0;
  virtual bool truncate(std::uint64_t from) = 0;  // `from` and all after it go
  virtual bool save_snapshot(const Snapshot& snapshot,
                             std::uint64_t keep_from) = 0;  // entries below keep_from go
  virtual std::optional<Snapshot> snapshot() const = 0;
};

}  // namespace cairnhub::shared_config
