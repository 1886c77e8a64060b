// The durable state of a Raft voter: term, vote, log and snapshot. Brokers keep it in SQLite (`SqliteStore`);
// simulations keep it in memory.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cairnhub::shared_config {

struct LogEntry {
  std::uint64_t term = 0;
  unsigned short type = 0;  // libraft's entry type
  std::string data;
};

struct Snapshot {
  std::uint64_t index = 0;  // of the last entry that the snapshot covers
  std::uint64_t term = 0;
  std::uint64_t configuration_index = 0;
  std::string configuration;
  std::string data;
};

struct PersistedState {
  std::uint64_t voter_id = 0;  // the broker's identity as a voter; a new store has a new one
  std::uint64_t term = 0;
  std::uint64_t vote = 0;         // the voter voted for in `term`; 0: none
  std::uint64_t first_index = 1;  // index of entries[0]
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;
};

// Each write is durable once it returns true. After a write has returned false the store must not be used any
// more.
class DurableStore {
 public:
  virtual ~DurableStore() = default;
  // Returns the state as it was when the store was opened.
  virtual const PersistedState& loaded_state() const = 0;
  // Sets the term and clears the vote.
  virtual bool set_term(std::uint64_t term) = 0;
  virtual bool set_vote(std::uint64_t id) = 0;
  // Appends entries, the first of which has the index `first`.
  virtual bool append(std::uint64_t first, const std::vector<LogEntry>& entries) = 0;
  // Deletes the entry at index `from` and all later ones.
  virtual bool truncate(std::uint64_t from) = 0;
  // Replaces the snapshot and deletes the entries below index `keep_from`.
  virtual bool save_snapshot(const Snapshot& snapshot, std::uint64_t keep_from) = 0;
  virtual std::optional<Snapshot> snapshot() const = 0;
};

}  // namespace cairnhub::shared_config
