// Agreement among brokers: the log of versions where this broker votes, leases on them, and proposals, put
// together. No I/O and no clock: feed it messages and the time, pull what goes out.
//
// Every broker is a holder and asks the leader for leases. Those with a store run the log's engine and may
// vote; the leader's engine keeps the book from which leases are granted.
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

struct Terms {
  LeaseTerms lease;
  RaftSettings engine;
  std::vector<std::string> voters;     // as stated: where to ask first
  Time replace_after = 30 * kSecond;   // a voter lost for so long gives way to another
  Time propose_within = 10 * kSecond;  // an operator's proposal is given up then
  std::uint32_t life = 0;              // of this process: another each time it starts
};

struct Status {
  Acting acting;
  Time lease_left = 0;  // 0: none
  std::string leader;
  std::uint64_t term = 0, have = 0, ground = 0, ground_next = 0;
  bool leads = false, votes = false, store_failed = false;
  // Of the log, where this broker's engine runs:
  std::uint64_t newest = 0, in_force = 0;
  std::vector<RaftMember> voters;
  std::vector<std::string> force_waits_for, ground_waits_for;  // at the leader
};

class Accord {
 public:
  // `store` null: it learns and does not vote. `ground`: what it acts on as long as it knows no other.
  // `board`: the empty one, where the log carries one.
  Accord(const Terms& terms, const std::string& self, DurableStore* store, Rules ground, std::uint64_t seed,
         std::shared_ptr<const Board> board = nullptr);
  ~Accord();

  void start(Time now);
  void woken(Time now);
  Time wake() const;
  void received(Time now, const std::string& from, const accord::wire::Packet& packet);
  struct Outgoing {
    std::string to;
    std::string bytes;  // a wire::Packet
  };
  std::optional<Outgoing> send();

  const std::shared_ptr<const Acting>& acting(Time now) const { return holder_.acting(now); }
  bool ever_answered() const { return ever_answered_; }
  void keep_ground(const Version& ground) { holder_.keep(ground); }  // of an earlier life, before the start

  // What is known of another broker from outside, by membership.
  void peer(Time now, const std::string& name, bool alive);

  // An operator's entry, made here. `done` is told once: the verdict, or none where time ran out.
  using Done = std::function<void(const std::optional<Verdict>&)>;
  void propose(Time now, Entry entry, Done done);
  // Brokers that are about to be taken out: where they vote, others take their place at once; where this one
  // leads and is among them, it hands over the lead.
  void retire(std::set<std::string> names) { retiring_ = std::move(names); }
  // Who holds a lease, as this broker knows where it leads.
  const Leases& leases() const { return leases_; }
  void leave(Time now);  // hands back its lease and, where it leads, the lead

  // What is known here of the versions: the log's book where the engine runs, else what leases brought.
  std::vector<Version> history() const;
  const Holder& holder() const { return holder_; }
  const std::string& leader() const { return leader_; }  // last heard of; empty: not known
  const RaftNode* engine() const { return engine_.get(); }
  Status status(Time now) const;
  // Told each entry that the log applied here.
  std::function<void(const Entry&, const Verdict&)> applied;

 private:
  struct Pending {
    Entry entry;
    Done done;
    Time until, again;
  };
  void post(const std::string& to, const accord::wire::Packet& packet);
  void turn(Time now);
  void lead(Time now);
  void ask(Time now);
  void forward(Time now);
  void asked(Time now, const std::string& by, const Ask& ask);
  void confirm_round(Time now);
  void mend_voters(Time now);
  std::string somewhere();
  void settled(const std::string& id, const std::optional<Verdict>& verdict);
  void answer(Time now, const std::string& to, const Grant& grant);

  Terms terms_;
  std::string self_;
  Chance chance_;
  Holder holder_;
  std::unique_ptr<RaftNode> engine_;
  Leases leases_;
  std::string leader_;  // last heard of
  int unanswered_ = 0;  // askings since the leader last answered
  bool ever_answered_ = false, started_ = false, leaving_ = false;
  bool led_ = false, force_out_ = false, ground_out_ = false;
  std::uint64_t led_term_ = 0, told_newest_ = 0, told_ground_ = 0;
  std::set<std::string> enlist_out_;
  std::map<std::string, Time> dead_since_;  // others, as membership tells
  std::set<std::string> alive_, retiring_;
  std::vector<Pending> pending_;
  Time next_tick_ = kNever, next_mend_ = kNever;
  std::deque<Outgoing> out_;
};

}  // namespace cairnhub::shared_config
