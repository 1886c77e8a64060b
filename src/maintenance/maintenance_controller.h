// The course of works, as the leader conducts it: what to say next in the log. No I/O and no clock.
//
// A machine is taken out in this order, each step waiting for the one before:
//   1. the common ground is narrowed by its nodes, while the work still waits for its turn where that can be:
//   who
//      loses its lease sends them nothing
//   2. a version is made without them: once it is in force, nobody who holds a lease sends them anything
//   3. every broker says that nothing of it is out there; of one whose lease has lapsed it is so once the
//      longest send there is has had its time, as it can have begun none since 2
//   4. brokers on the machine give up their votes and the lead, and leave
// Only then is it empty, and handed over. What is put back goes the other way: version, then ground.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "maintenance/job_queue.h"
#include "maintenance/job_scheduler.h"
#include "shared_config/leases.h"
#include "shared_config/version_history.h"

namespace cairnhub::maintenance {

struct ConductTerms {
  Time every = kSecond / 10;       // between two looks
  Time facts_every = kSecond / 4;  // between two sayings of what is seen
  Time longest_send = 0;           // a part is out no longer
  Time warm_after = 0;             // a node that has started is cold for so long
  double drift = 0.01;
  double load_step = 0.2;  // a change of a zone's load that is worth saying
};

// What a broker says of nodes that are out: how many of its sends are still there.
struct Clear {
  Time at = 0;            // when it was heard
  std::uint64_t low = 0;  // of the lease it acted under; 0: none
  std::map<std::string, int> out;
};

// What the leader sees beside the log.
struct Seen {
  Facts facts;  // terms included
  std::map<std::string, shared_config::LeaseManager::BrokerState> held;
  std::set<std::string> alive, voters;  // brokers; voters as the log has them now
};

class Conduct {
 public:
  Conduct(const ConductTerms& terms, std::string self) : terms_(terms), self_(std::move(self)) {}

  Time wake() const { return next_; }
  void heard(Time now, const std::string& from, Clear clear);
  void gone(const std::string& broker) { clears_.erase(broker); }
  // Where this broker leads, at every look: what to propose, if anything; then told how it ended. What was
  // taken may make the next thing due at once; what was refused waits for the next look.
  std::optional<shared_config::ConfigEntry> lead(Time now, Time wall,
                                                 const shared_config::VersionHistory& book, const Seen& seen);
  void settled(bool taken) {
    out_ = false;
    if (taken) next_ = 0;
  }
  void leads_no_more();
  void looked(Time now) { next_ = now + terms_.every; }

  // Brokers of machines that are being taken out, and of them those that are to leave now.
  std::set<std::string> retiring(const Works& works) const;
  const std::set<std::string>& stand_down() const { return stand_down_; }
  // All that its further way depends on, spans counted from `now`, for the exhaustive check.
  void describe(Time now, std::string& into) const;
  // By work under way: what its next step waits for.
  const std::map<std::uint64_t, std::string>& waits() const { return waits_; }

 private:
  shared_config::ConfigEntry entry(shared_config::ConfigEntry::Kind kind, Time now, const std::string& why);
  shared_config::ConfigEntry move(Time now, Time wall, const Work& work, Step to, const std::string& why);
  std::optional<shared_config::ConfigEntry> withhold(Time now, const shared_config::VersionHistory& book,
                                                     const Works& works);
  std::optional<shared_config::ConfigEntry> advance(Time now, Time wall,
                                                    const shared_config::VersionHistory& book,
                                                    const Works& works, const Seen& seen);
  std::optional<shared_config::ConfigEntry> begin(
      Time now, Time wall, const std::shared_ptr<const shared_config::ReplicatedStateMachine>& board,
      const Works& works);
  bool overdue(Time now, Time wall, const Work& work, Time length, const Facts& facts);
  std::string not_clear(Time now, const Work& work, const shared_config::VersionHistory& book,
                        const Seen& seen);
  bool worth_saying(const Facts& said, const Facts& seen) const;

  ConductTerms terms_;
  std::string self_;
  Time next_ = 0, facts_next_ = 0;
  bool out_ = false;  // an entry is on its way
  std::uint64_t said_ = 0;
  std::map<std::string, Clear> clears_;           // by broker: as many as the roster
  std::map<std::uint64_t, Time> withheld_since_;  // works: since when their nodes are surely sent nothing
  // Works: the step that this leader sees them at, and since when. Danger: steps are stamped by wall clocks,
  // each by whoever said it; one that is off by an hour would make a machine lost that has just come back.
  struct At {
    Step step;
    Time since;
  };
  std::map<std::uint64_t, At> seen_at_;
  std::map<std::uint64_t, std::string> waits_;
  std::set<std::string> stand_down_;
  // The plan is made anew when the works have changed, and each second for the time that has passed.
  std::shared_ptr<const shared_config::ReplicatedStateMachine> planned_for_;
  Time planned_at_ = 0;
  // Works whose turn has come and that may not begin: since when; and of them those that others pass by.
  std::map<std::uint64_t, Time> stuck_since_;
  std::set<std::uint64_t> passed_;
  std::vector<Planned> plan_;
};

}  // namespace cairnhub::maintenance
