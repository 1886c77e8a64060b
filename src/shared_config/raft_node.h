// The replicated log of the shared configuration. `RaftNode` runs one member of a Raft group (Ongaro and
// Ousterhout 2014; pre-vote, leadership transfer and single-server membership changes as in Ongaro's thesis)
// on top of libraft. Time, messages, storage and randomness come from the caller, so that a simulation with a
// fixed seed is reproducible.
//
// Errors: once the store fails, the node has failed for good. It sends nothing and votes no more.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "shared_config/durable_store.h"
#include "shared_config/version_history.h"

namespace cairnhub::accord::wire {
class Raft;
}

namespace cairnhub::shared_config {

struct RaftSettings {
  // A node that hears from no leader for a random time of one to two timeouts starts an election.
  Time election_timeout = 300 * kSecond / 1000;
  Time heartbeat_interval = 60 * kSecond / 1000;
  Time tick_interval = 20 * kSecond / 1000;
  unsigned snapshot_threshold = 512;  // entries applied before the next snapshot
  unsigned snapshot_trailing = 64;    // entries kept in the log below a snapshot
};

// A member of the Raft group. A member that doesn't vote yet is a spare that catches up with the log.
struct RaftMember {
  std::uint64_t id = 0;
  std::string name;
  bool is_voter = true;
};

// Returns the member id of a broker whose store was created by `accord init`. Stores created in any other way
// have a random id.
std::uint64_t initial_voter_id(const std::string& name);

class RaftNode {
 public:
  // Called with each applied entry and its result.
  using Applied = std::function<void(const ConfigEntry&, const ApplyResult&)>;
  // `store` must outlive the node. `board`: the initial state of the additional state machine, if the log
  // drives one.
  RaftNode(const RaftSettings& settings, const std::string& name, DurableStore& store, std::uint64_t seed,
           Applied applied, std::shared_ptr<const ReplicatedStateMachine> board = nullptr);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  // Loads the stored state. Returns false if the node has failed.
  bool start(Time now);
  // To be called once per `tick_interval`.
  void tick(Time now);
  void handle_message(Time now, const std::string& from, const accord::wire::Raft& message);
  struct Outgoing {
    std::string to;
    std::string bytes;  // a wire::Packet
  };
  // Returns the next message to send, or none.
  std::optional<Outgoing> take_message();
  // Reports completed sends and appends to libraft, which must not be called from within its own callbacks.
  // To be called after each of the calls above.
  void run_callbacks(Time now);

  // Called with the result, or with none if it is unknown whether the entry will be committed.
  using Done = std::function<void(const std::optional<ApplyResult>&)>;
  // Proposes an entry for the log. Returns false, without calling `done`, if this node is not the leader.
  bool propose(Time now, const ConfigEntry& entry, Done done);
  // Adds a non-voting member, or promotes the member `id` to a voter if it was added before. Returns false if
  // this node is not the leader or another change is in progress.
  bool add_voter(Time now, std::uint64_t id, const std::string& name);
  bool remove_voter(Time now, std::uint64_t id);
  bool has_change_in_progress() const;
  // Transfers leadership to any other voter. Returns false if this node does not lead or a transfer is
  // already in progress.
  bool transfer_leadership(Time now);

  // True once the store or libraft has failed.
  bool has_failed() const;
  // True if this node leads and has applied every entry that was committed before its term.
  bool is_leader() const;
  std::uint64_t term() const;
  // Returns the leader's name; empty if unknown.
  std::string leader() const;
  std::uint64_t id() const;
  std::vector<RaftMember> members() const;
  std::set<std::string> voter_names() const;
  const VersionHistory& versions() const;
  std::uint64_t applied_index() const;

  // Writes the first log entry of a new store: the configuration with these members. Returns false if the
  // store is not empty or fails.
  static bool bootstrap(DurableStore& store, const std::vector<RaftMember>& voters);
  // Replaces the members, whatever the log says. An operator's last resort after a majority of the voters is
  // lost for good.
  static bool force_voters(DurableStore& store, const std::vector<RaftMember>& voters);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnhub::shared_config
