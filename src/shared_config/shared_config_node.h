// One broker's node of the shared configuration: its lease client and, if the broker may vote, the replicated
// log and the lease manager. The node does no I/O and reads no clock: the caller passes in messages and the
// time and takes messages out.
//
// Every broker asks the leader for leases. A broker with a store runs a Raft node and may vote; the leader's
// Raft node holds the versions that leases are granted on.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/random_source.h"
#include "shared_config/leases.h"
#include "shared_config/raft_node.h"

namespace cairnhub::accord::wire {
class Packet;
}

namespace cairnhub::shared_config {

// Settings of a SharedConfigNode.
struct SharedConfigSettings {
  LeaseSettings lease;
  RaftSettings raft;
  std::vector<std::string> voters;              // as configured; asked first for the leader
  Time voter_replacement_delay = 30 * kSecond;  // a voter that is lost for this long is replaced
  Time proposal_timeout = 10 * kSecond;         // a proposal without an answer is dropped after this time

  std::uint32_t incarnation = 0;  // incarnation of the process; grows with each restart
};

// The state of a SharedConfigNode, for operators.
struct SharedConfigStatus {
  ActiveConfig active_config;
  Time lease_remaining = 0;  // 0: no lease
  std::string leader;        // empty: unknown
  std::uint64_t term = 0;
  std::uint64_t newest_held = 0;    // newest version held
  std::uint64_t baseline = 0;       // number of the baseline
  std::uint64_t next_baseline = 0;  // number of the next baseline; 0: none
  bool is_leader = false;
  bool is_voter = false;
  bool has_store_failed = false;
  // Set only if this broker runs a Raft node:
  std::uint64_t newest = 0;
  std::uint64_t in_force = 0;
  std::vector<RaftMember> voters;
  // Set only at the leader: the brokers that delay the newest version or the next baseline.
  std::vector<std::string> brokers_delaying_version;
  std::vector<std::string> brokers_delaying_baseline;
};

// One broker's node of the shared configuration.
class SharedConfigNode {
 public:
  // `store`: null for a broker that never votes. `baseline`: used until a stored or received one
  // replaces it. `state_machine`: the initial state of the additional state machine, if the log drives one.
  SharedConfigNode(const SharedConfigSettings& settings, const std::string& self, DurableStore* store,
                   RuleSet baseline, std::uint64_t seed,
                   std::shared_ptr<const ReplicatedStateMachine> state_machine = nullptr);
  ~SharedConfigNode();

  void start(Time now);
  // Must be called at the time that `next_wake` returns.
  void handle_wake(Time now);
  Time next_wake() const;
  // Handles a message of the broker `from`.
  void handle_message(Time now, const std::string& from, const accord::wire::Packet& packet);
  struct Outgoing {
    std::string to;
    std::string bytes;  // a wire::Packet
  };
  // Returns the next message to send. Must be called after each of the calls above until it returns nothing.
  std::optional<Outgoing> take_message();

  const std::shared_ptr<const ActiveConfig>& active_config(Time now) const {
    return lease_client_.active_config(now);
  }
  // Returns true once any leader has answered this process.
  bool has_leader_answered() const { return has_leader_answered_; }
  // Restores the baseline that an earlier process stored. Must be called before `start`.
  void restore_baseline(const Version& baseline) { lease_client_.restore_baseline(baseline); }

  // Updates the membership protocol's status of another broker.
  void update_peer(Time now, const std::string& name, bool alive);

  // Proposes an entry to the log. `done` is called once, with the result, or with nothing after the timeout.
  using Done = std::function<void(const std::optional<ApplyResult>&)>;
  void propose(Time now, ConfigEntry entry, Done done);
  // Sets the brokers that are about to be taken out of service. Voters among them are replaced at once; if
  // this broker is among them and leads, it transfers leadership.
  void set_retiring_brokers(std::set<std::string> names) { retiring_ = std::move(names); }
  // Returns the manager of the leases that this broker has granted as leader.
  const LeaseManager& lease_manager() const { return lease_manager_; }
  // Releases this broker's lease and, if the broker leads, transfers leadership.
  void leave(Time now);

  // Returns the known versions: the versions in the log if this broker runs a Raft node, else the versions in
  // its grants.
  std::vector<Version> history() const;
  const LeaseClient& lease_client() const { return lease_client_; }
  // Returns the last known leader; empty: unknown.
  const std::string& leader() const { return leader_; }
  // Returns the Raft node; null if this broker has no store.
  const RaftNode* raft_node() const { return raft_node_.get(); }
  SharedConfigStatus status(Time now) const;
  // Optional callback, called for each entry that the log applies at this broker.
  std::function<void(const ConfigEntry&, const ApplyResult&)> on_applied;
  // Optional callback, called with the sender of a grant that this broker can't read, and with what of it.
  std::function<void(const std::string& from, const std::string& fault)> on_unreadable_grant;

 private:
  struct PendingProposal {
    ConfigEntry entry;
    Done done;
    Time deadline;
    Time next_try;
  };
  void post(const std::string& to, const accord::wire::Packet& packet);
  void run(Time now);
  void do_leader_work(Time now);
  void request_lease(Time now);
  void forward_proposals(Time now);
  void handle_lease_request(Time now, const std::string& by, const LeaseRequest& request);
  void start_confirmation_round(Time now);
  void repair_voters(Time now);
  std::string possible_leader();
  void finish_proposal(const std::string& id, const std::optional<ApplyResult>& result);
  void send_grant(Time now, const std::string& to, const LeaseGrant& grant);

  SharedConfigSettings settings_;
  std::string self_;
  Chance random_;
  LeaseClient lease_client_;
  std::unique_ptr<RaftNode> raft_node_;
  LeaseManager lease_manager_;
  std::string leader_;           // last known
  int unanswered_requests_ = 0;  // since the leader last answered
  bool has_leader_answered_ = false;
  bool started_ = false;
  bool leaving_ = false;
  bool was_leader_ = false;  // as of the last run of the leader's work
  bool activation_in_progress_ = false;
  bool baseline_activation_in_progress_ = false;
  std::uint64_t led_term_ = 0;
  std::uint64_t announced_versions_ = 0;  // sum of the newest version and the one in force
  std::uint64_t announced_baseline_ = 0;
  std::set<std::string> enrolling_;         // brokers whose entry is in progress
  std::map<std::string, Time> dead_since_;  // other brokers, by membership
  std::set<std::string> alive_;             // other brokers, by membership
  std::set<std::string> retiring_;
  std::vector<PendingProposal> pending_;
  Time next_tick_ = kNever;
  Time next_voter_repair_ = kNever;
  std::deque<Outgoing> out_;
};

}  // namespace cairnhub::shared_config
