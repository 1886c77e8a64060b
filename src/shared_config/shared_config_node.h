// One broker's part in the shared configuration: its lease client and, if it may vote, the replicated log and
// the lease manager. No I/O and no clock: the caller passes in messages and the time and takes messages out.
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
struct Terms {
  LeaseTerms lease;
  EngineTerms engine;
  std::vector<std::string> voters;     // as configured; the first to be asked for the leader
  Time replace_after = 30 * kSecond;   // a voter that is lost for so long is replaced
  Time propose_within = 10 * kSecond;  // a proposal without an answer is given up
  std::uint32_t life = 0;              // incarnation of the process; grows with each restart
};

// The state of a SharedConfigNode, for operators.
struct Status {
  Acting acting;
  Time lease_left = 0;  // 0: no lease
  std::string leader;   // empty: unknown
  std::uint64_t term = 0;
  std::uint64_t have = 0;         // newest version held
  std::uint64_t ground = 0;       // number of the baseline
  std::uint64_t ground_next = 0;  // number of the next baseline; 0: none
  bool leads = false;
  bool votes = false;
  bool store_failed = false;
  // Set only if this broker runs a Raft node:
  std::uint64_t newest = 0;
  std::uint64_t in_force = 0;
  std::vector<Voter> voters;
  // Set only at the leader: the brokers that delay the newest version or the next baseline.
  std::vector<std::string> force_waits_for;
  std::vector<std::string> ground_waits_for;
};

class Accord {
 public:
  // `store`: null for a broker that never votes. `ground`: the baseline until a stored or received one
  // replaces it. `board`: the initial state of the additional state machine, if the log drives one.
  Accord(const Terms& terms, const std::string& self, Store* store, Rules ground, std::uint64_t seed,
         std::shared_ptr<const Board> board = nullptr);
  ~Accord();

  void start(Time now);
  // To be called at the time that `wake` returns.
  void woken(Time now);
  Time wake() const;
  // Handles a message of the broker `from`.
  void received(Time now, const std::string& from, const accord::wire::Packet& packet);
  struct Outgoing {
    std::string to;
    std::string bytes;  // a wire::Packet
  };
  // Returns the next message to send; to be called until it returns none, after each of the calls above.
  std::optional<Outgoing> send();

  const std::shared_ptr<const Acting>& acting(Time now) const { return holder_.acting(now); }
  // True once any leader has answered this process.
  bool ever_answered() const { return ever_answered_; }
  // Restores the baseline that an earlier process stored. To be called before `start`.
  void keep_ground(const Version& ground) { holder_.keep(ground); }

  // Takes up what the membership protocol knows of another broker.
  void peer(Time now, const std::string& name, bool alive);

  // Proposes an entry to the log. `done` is called once, with the result, or with none if time ran out.
  using Done = std::function<void(const std::optional<Verdict>&)>;
  void propose(Time now, Entry entry, Done done);
  // Names the brokers that are about to be taken out of service. Voters among them are replaced at once; if
  // this broker is among them and leads, it transfers leadership.
  void retire(std::set<std::string> names) { retiring_ = std::move(names); }
  // The leases that this broker has granted as leader.
  const Leases& leases() const { return leases_; }
  // Hands back its lease and, if it leads, transfers leadership.
  void leave(Time now);

  // Returns the known versions: those of the log if this broker runs a Raft node, else those of its grants.
  std::vector<Version> history() const;
  const Holder& holder() const { return holder_; }
  // The last known leader; empty: unknown.
  const std::string& leader() const { return leader_; }
  // Null if this broker has no store.
  const Engine* engine() const { return engine_.get(); }
  Status status(Time now) const;
  // Called for each entry that the log applies here. Optional.
  std::function<void(const Entry&, const Verdict&)> applied;

 private:
  struct PendingProposal {
    Entry entry;
    Done done;
    Time deadline;
    Time next_try;
  };
  void post(const std::string& to, const accord::wire::Packet& packet);
  void run(Time now);
  void do_leader_work(Time now);
  void request_lease(Time now);
  void forward_proposals(Time now);
  void handle_lease_request(Time now, const std::string& by, const Ask& ask);
  void start_confirmation_round(Time now);
  void repair_voters(Time now);
  std::string possible_leader();
  void finish_proposal(const std::string& id, const std::optional<Verdict>& result);
  void send_grant(Time now, const std::string& to, const Grant& grant);

  Terms terms_;
  std::string self_;
  Chance chance_;
  Holder holder_;
  std::unique_ptr<Engine> engine_;
  Leases leases_;
  std::string leader_;           // last known
  int unanswered_requests_ = 0;  // since the leader last answered
  bool ever_answered_ = false;
  bool started_ = false;
  bool leaving_ = false;
  bool was_leader_ = false;  // as of the last run of the leader's work
  bool force_in_progress_ = false;
  bool ground_in_progress_ = false;
  std::uint64_t led_term_ = 0;
  std::uint64_t announced_versions_ = 0;  // sum of the newest version and the one in force
  std::uint64_t announced_ground_ = 0;
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
