// Leases: which versions of the rules a broker may act on, and until when. No I/O and no clock.
//
// The client counts a lease from the moment of its request and the leader from the moment of its grant, each
// on its own monotonic clock, whose rate is within `drift` of true time. A client with a lease (low, high)
// acts on the meet of the versions from low to high; a client without one acts on the baseline.
//
// The leader issues a grant only after a majority of voters has confirmed its leadership since the request
// arrived. No grant ends below the newest version. A version takes effect only after every lease that ends
// below that version was replaced or has expired. So the intervals of any two clients overlap at any moment,
// and no broker does what the version of another one forbids (docs/accord.md has the proof; tests/leases.cpp
// checks all event orders of a small model).
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "shared_config/version_history.h"

namespace cairnhub::shared_config {

struct LeaseTerms {
  Time stated = 2 * kSecond;  // the longest time that two brokers may act on contradicting versions
  double drift = 0.01;        // the largest error of a clock's rate, as a share
  // The duration of a lease in true time. The rest of the stated time covers the commits before and after it.
  Time span() const { return stated * 6 / 10; }
  Time for_holder() const { return static_cast<Time>(static_cast<double>(span()) * (1 - drift)); }
  Time for_leader() const { return static_cast<Time>(static_cast<double>(span()) * (1 + drift)); }
  Time renew_after() const { return span() / 3; }
  Time ask_again() const { return span() / 8; }
};

// A broker's request for a lease.
struct Ask {
  std::uint64_t sequence = 0;  // upper half: incarnation of the process; lower half: a counter
  std::uint64_t taken = 0;     // sequence of the grant that it acts under; it never returns to an earlier one
  std::uint64_t have = 0;      // the newest version whose content it holds
  std::uint64_t ground = 0;    // the newest baseline that it keeps to, settled or next
  std::uint64_t settled = 0;   // the newest baseline that it knows to be settled
  bool may_vote = false;
  bool bye = false;            // hands the lease back
  std::uint64_t voter_id = 0;  // identity of its store; 0 if it can't vote
};

// The leader's answer to a request.
struct Grant {
  std::uint64_t sequence = 0;  // of the request
  std::uint64_t low = 0;       // the first version of the lease; 0: no lease
  std::uint64_t high = 0;      // the last version of the lease
  std::uint64_t term = 0;
  std::vector<Version> versions;  // those that the receiver lacks
  std::optional<Version> ground;  // the baselines, if the receiver's are out of date
  std::optional<Version> ground_next;
};

// The configuration that a broker acts on; immutable.
struct Acting {
  std::uint64_t low = 0;   // the first version of the lease; 0: no lease, the baseline applies
  std::uint64_t high = 0;  // the last version of the lease
  std::uint64_t ground = 0;
  std::shared_ptr<const Rules> rules;
};

// The lease client of each broker.
class Holder {
 public:
  // `life` is the incarnation of the process; it grows with each restart. Without it, a grant to a request of
  // an earlier process could be accepted: that lease would be unknown to the leader, and the grant would omit
  // a baseline that only the earlier process had received.
  Holder(const LeaseTerms& terms, Rules ground, std::uint32_t life = 0);

  // Returns the configuration in effect at `now`. Cheap, as it is called before each operation.
  const std::shared_ptr<const Acting>& acting(Time now) const { return now < until_ ? leased_ : grounded_; }
  Time until() const { return until_; }

  Time wake() const { return next_ask_; }
  // Makes a new request; earlier ones may still be answered.
  Ask ask(Time now);
  // Takes up a grant; returns false if it answers no request of this process.
  bool answered(Time now, const Grant& grant);
  // The broker that was asked isn't the leader: the next request follows soon.
  void not_there(Time now);
  void ask_soon(Time now) { next_ask_ = std::min(next_ask_, now); }
  void handed_back() { until_ = 0; }
  // Restores the baseline that an earlier process stored. To be called before the first request.
  void keep(const Version& ground);
  const Version& ground() const { return ground_; }
  const std::optional<Version>& ground_next() const { return ground_next_; }
  // The rules in effect without a lease.
  const Rules& grounded() const { return *grounded_->rules; }
  // The newest version that is held, with all from the lease's first version on; 0: none.
  std::uint64_t have() const { return have_; }
  const std::map<std::uint64_t, Version>& versions() const { return versions_; }
  // Appends the whole state, with times relative to `now`: equal output means equal future behaviour. For
  // model checking.
  void describe(Time now, std::string& into) const;

 private:
  void rebuild_baseline();
  LeaseTerms terms_;
  std::map<std::uint64_t, Version> versions_;
  std::uint64_t have_ = 0;
  Version ground_;
  std::optional<Version> ground_next_;
  std::uint64_t ground_term_ = 0;  // term of the leader that sent the baselines
  std::shared_ptr<const Acting> leased_;
  std::shared_ptr<const Acting> grounded_;
  Time until_ = 0;
  Time next_ask_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t taken_ = 0;
  std::map<std::uint64_t, Time> request_times_;  // of the latest requests, by sequence
};

// The lease manager at the leader.
class Leases {
 public:
  explicit Leases(const LeaseTerms& terms) : terms_(terms) {}

  // Starts a term as leader. Leases of earlier leaders may last for one lease duration from now.
  void leads(Time now, std::uint64_t term, std::set<std::string> voters, const std::string& self);
  void leads_no_more() { leading_ = false; }
  void voters(std::set<std::string> voters) { voters_ = std::move(voters); }

  // Handles the request of any broker, this one included. `granted` returns the answer once a majority has
  // confirmed this leader.
  void asked(Time now, const std::string& by, const Ask& ask);
  // Drops the lease that a broker handed back.
  void gone(const std::string& name);
  // Starts a round of confirmation by the voters if requests wait for one; returns its number.
  std::optional<std::uint64_t> round(Time now);
  void confirmed(Time now, const std::string& by, std::uint64_t term, std::uint64_t round,
                 const Versions& versions);
  struct Granted {
    std::string to;  // name of a broker
    Grant grant;
  };
  // Returns the grants since the last call.
  std::vector<Granted> granted() { return std::exchange(granted_, {}); }

  // Returns the newest version that may take effect now; 0: none.
  std::uint64_t may_force(Time now, const Versions& versions) const;
  // True if there is a next baseline and every enrolled broker keeps to it.
  bool may_force_ground(const Versions& versions) const;
  // The brokers that the newest version, or the next baseline, still waits for. For operators.
  std::vector<std::string> waits_for(Time now, const Versions& versions) const;
  std::vector<std::string> ground_waits_for(const Versions& versions) const;
  // Returns when `may_force` may change without a message; kNever if no version waits.
  Time wake(Time now, const Versions& versions) const;

  // An issued grant. A grant may get lost, and its receiver then continues under an earlier one: each counts
  // until it expires or until its receiver reports that it acts under a later one.
  struct Out {
    std::uint64_t sequence;
    std::uint64_t high;
    Time until;
  };
  // The state of one broker, as its requests report it.
  struct Held {
    std::vector<Out> out;  // oldest first
    std::uint64_t ground = 0;
    std::uint64_t life = 0;         // its incarnation
    std::uint64_t life_before = 0;  // delayed requests of the previous incarnation are ignored
    bool live(Time now) const { return !out.empty() && out.back().until > now; }
    // Returns the lowest end of its unexpired leases; UINT64_MAX if there are none.
    std::uint64_t lowest(Time now) const;
    bool may_vote = false;
    std::uint64_t voter_id = 0;
  };
  const std::map<std::string, Held>& held() const { return held_; }
  // As Holder::describe.
  void describe(Time now, std::string& into) const;

 private:
  void grant(Time now, const std::string& to, const Ask& ask, const Versions& versions);
  LeaseTerms terms_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  Time earlier_until_ = 0;  // when the leases of earlier leaders have expired
  std::set<std::string> voters_;
  std::string self_;
  std::map<std::string, Held> held_;     // by broker; at most Versions::kRoster
  std::map<std::string, Ask> waiting_;   // requests for the next round, by broker
  std::map<std::string, Ask> in_round_;  // requests of the current round, by broker
  std::uint64_t round_ = 0;
  Time round_started_at_ = 0;
  bool round_in_progress_ = false;
  std::set<std::string> confirmed_by_;  // voters, of the current round
  std::vector<Granted> granted_;
};

}  // namespace cairnhub::shared_config
