// Leases: who may act on which versions until when. No I/O and no clock.
//
// The holder's side counts from the moment it asked, the leader's from the moment it granted, each on its own
// monotonic clock, whose rate is within `drift` of true. A holder with a lease (low, high) acts on the meet
// of the versions low to high; one without acts on the common ground. The leader grants only what a majority
// of voters has confirmed it may since the asking came, grants nothing that ends below the newest version,
// and lets a version take force only once every lease that ends below it has been handed over or has lapsed.
// So at any moment the intervals of any two holders meet, and no one acts on what another's version forbids
// (docs/accord.md has the proof; tests/leases.cpp checks it over every order of a small model).
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
  Time stated = 2 * kSecond;  // no two act on contradicting versions for longer
  double drift = 0.01;        // of a clock's rate, at most
  // A lease's span in true time: what is left of the stated time covers the commits before and after.
  Time span() const { return stated * 6 / 10; }
  Time for_holder() const { return static_cast<Time>(static_cast<double>(span()) * (1 - drift)); }
  Time for_leader() const { return static_cast<Time>(static_cast<double>(span()) * (1 + drift)); }
  Time renew_after() const { return span() / 3; }
  Time ask_again() const { return span() / 8; }
};

// Of a sequence the upper half is the life of the process that asks, the lower one counts.
struct Ask {
  std::uint64_t sequence = 0, taken = 0;  // taken: the grant it acts under, and no earlier one ever again
  std::uint64_t have = 0, ground = 0, settled = 0;  // grounds: kept to, known to be the only one
  bool may_vote = false, bye = false;
  std::uint64_t voter_id = 0;
};

struct Grant {
  std::uint64_t sequence = 0;
  std::uint64_t low = 0, high = 0;  // 0: none
  std::uint64_t term = 0;
  std::vector<Version> versions;
  std::optional<Version> ground, ground_next;
};

// What a broker acts on; never changed once made.
struct Acting {
  std::uint64_t low = 0, high = 0;  // 0: without a lease, on the common ground
  std::uint64_t ground = 0;
  std::shared_ptr<const Rules> rules;
};

// A broker's own side.
class Holder {
 public:
  // `life` differs in each life of a broker. Danger: an answer to an asking of its earlier life, were it
  // taken for one to its own, would make a lease that nobody counts, and leave out the ground that the
  // earlier life had.
  Holder(const LeaseTerms& terms, Rules ground, std::uint32_t life = 0);

  // What may be acted on at `now`. A look at the clock and a pointer: asked before each thing done.
  const std::shared_ptr<const Acting>& acting(Time now) const { return now < until_ ? leased_ : grounded_; }
  Time until() const { return until_; }

  Time wake() const { return next_ask_; }
  Ask ask(Time now);                            // a new asking; earlier ones may still be answered
  bool answered(Time now, const Grant& grant);  // false: to nothing that this life has asked
  void not_there(Time now);                     // asked one that does not lead: ask the next one soon
  void ask_soon(Time now) { next_ask_ = std::min(next_ask_, now); }
  void handed_back() { until_ = 0; }
  // The ground kept from an earlier life, where a store holds one.
  void keep(const Version& ground);
  const Version& ground() const { return ground_; }
  const std::optional<Version>& ground_next() const { return ground_next_; }
  const Rules& grounded() const { return *grounded_->rules; }  // acted on without a lease
  std::uint64_t have() const { return have_; }
  const std::map<std::uint64_t, Version>& versions() const { return versions_; }
  // All that its further ways depend on, spans counted from `now`: two alike go on alike. For the exhaustive
  // check.
  void describe(Time now, std::string& into) const;

 private:
  void make_ground();
  LeaseTerms terms_;
  std::map<std::uint64_t, Version> versions_;
  std::uint64_t have_ = 0;
  Version ground_;
  std::optional<Version> ground_next_;
  std::uint64_t ground_term_ = 0;  // of the leader who told them
  std::shared_ptr<const Acting> leased_, grounded_;
  Time until_ = 0, next_ask_ = 0;
  std::uint64_t sequence_ = 0, taken_ = 0;
  std::map<std::uint64_t, Time> asked_;  // the last few
};

// The leader's side.
class Leases {
 public:
  explicit Leases(const LeaseTerms& terms) : terms_(terms) {}

  // It has become the leader: leases of earlier ones may run until one span from now.
  void leads(Time now, std::uint64_t term, std::set<std::string> voters, const std::string& self);
  void leads_no_more() { leading_ = false; }
  void voters(std::set<std::string> voters) { voters_ = std::move(voters); }

  // Asked by a broker, itself among them. Answered in `granted`, once a majority has confirmed.
  void asked(Time now, const std::string& by, const Ask& ask);
  void gone(const std::string& name);  // handed back
  // A round to be confirmed by the voters, where something waits for it.
  std::optional<std::uint64_t> round(Time now);
  void confirmed(Time now, const std::string& by, std::uint64_t term, std::uint64_t round,
                 const Versions& versions);
  struct Granted {
    std::string to;
    Grant grant;
  };
  std::vector<Granted> granted() { return std::exchange(granted_, {}); }

  // The newest version that may take force now; 0: none.
  std::uint64_t may_force(Time now, const Versions& versions) const;
  // The next ground may take force: all that are enlisted keep to it.
  bool may_force_ground(const Versions& versions) const;
  // Who stands in the way of that, for the operators.
  std::vector<std::string> waits_for(Time now, const Versions& versions) const;
  std::vector<std::string> ground_waits_for(const Versions& versions) const;
  // When to look again though nothing comes; kNever where nothing waits.
  Time wake(Time now, const Versions& versions) const;

  // A grant may be lost on its way, and its receiver then goes on under an earlier one: each counts until it
  // has lapsed, or until its receiver says that it acts under a later one.
  struct Out {
    std::uint64_t sequence;
    std::uint64_t high;
    Time until;
  };
  struct Held {
    std::vector<Out> out;  // oldest first
    std::uint64_t ground = 0;
    std::uint64_t life = 0, life_before = 0;  // what comes late of an earlier one is passed over
    bool live(Time now) const { return !out.empty() && out.back().until > now; }
    std::uint64_t lowest(Time now) const;  // UINT64_MAX: nothing out
    bool may_vote = false;
    std::uint64_t voter_id = 0;
  };
  const std::map<std::string, Held>& held() const { return held_; }
  void describe(Time now, std::string& into) const;  // as Holder::describe

 private:
  void grant(Time now, const std::string& to, const Ask& ask, const Versions& versions);
  LeaseTerms terms_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  Time earlier_until_ = 0;
  std::set<std::string> voters_;
  std::string self_;
  std::map<std::string, Held> held_;  // as many as the roster
  std::map<std::string, Ask> waiting_, in_round_;
  std::uint64_t round_ = 0;
  Time round_at_ = 0;
  bool round_out_ = false;
  std::set<std::string> confirmed_;
  std::vector<Granted> granted_;
};

}  // namespace cairnhub::shared_config
