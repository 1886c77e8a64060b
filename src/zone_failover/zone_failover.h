// Zones at one broker: its own account, what it tells the voters, what it acts on; and, where it leads, the
// decision for all: the courses of all zones and one table of shares, proposed as a version. No I/O and no
// clock.
//
// Regions stand one level above: what the zones of one can't bear together leaves it once that has lasted for
// a time of its own, and comes back after a dwell of its own; until then no more than the ground crosses. A
// region has the course of a zone, looked at by what its zones have left over.
//
// What a broker acts on comes with a version (docs/accord.md): how much may go from its zone to each other, a
// rule whose meet is the less of two; and, as a note beside the rules, how much should stay at home. The note
// forbids nothing: a broker that knows no table stays near, within the common ground.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/request_policy.h"
#include "shared_config/version_history.h"
#include "zone_failover/failover_state_machine.h"
#include "zone_failover/traffic_split.h"
#include "zone_failover/zone_health.h"
#include "zone_failover/zone_load.h"

namespace cairnhub::zone_failover {

struct Zone {
  std::string name, region;
  double host_capacity = 0;  // parts a second of one host; 0: not known
};

struct Terms {
  std::string home;
  std::vector<Zone> zones;
  EvidenceTerms evidence;
  CourseTerms course, region_course;
  FillTerms fill;
  Time window = kSecond;  // of the account
  Time report_every = kSecond / 2;
  Time wider_after = 10 * kSecond;        // a table that allows more, and does no more, waits so long
  double narrower = 0.125, wider = 0.25;  // changes of a share that are worth a version
  int near_step = 8;                      // calls
  double look_around = 0.01;
};

// What was decided last, as the note of a version tells it.
struct Note {
  struct One {
    State state = State::near;
    int share = 1000;
  };
  std::map<std::string, One> zones, regions;  // no regions where there is but one
};
std::string text_of(const Note& note);
Note parse_note(const std::string& text);  // what can't be used of it is left out

// An order for all zones of a region is one for this name; in notes it stands under it too.
std::string region_key(const std::string& region);

struct Explained {
  std::string zone;  // or the key of a region
  State state;
  int share;
  std::string ordered;
  ZoneView view;
};

class Zones {
 public:
  Zones(const Terms& terms, const std::string& self);

  // Its own account.
  void ended(Time now, const std::string& zone, EndpointId host, AttemptOutcome how, Time latency);
  void asked(Time now, double parts, double far) { account_.asked(now, parts, far); }
  void hosts(
      const std::map<std::string, std::pair<int, double>>& by_zone);  // in service; warm ones' worth of them

  Time wake() const { return next_; }
  std::optional<Report> report(Time now);  // for the voters, when it is due
  void heard(Time now, const std::string& from, Report report);
  void gone(const std::string& broker) { evidence_.gone(broker); }

  // Where this broker leads: called after each report, answers what is to be proposed. `book`: the leader's.
  std::optional<shared_config::ConfigEntry> lead(Time now, const shared_config::VersionHistory& book);
  void leads_no_more() { led_ = false; }

  // What this broker acts on: the rules, and the note of the newest version it holds a lease on; none:
  // without a lease. By number of the zones stated, its own the first.
  std::vector<ZoneLimit> limits(const shared_config::RuleSet& rules, const std::string* note) const;
  int number_of(const std::string& zone) const;  // one past the last where it is not stated
  const std::string& name_of(int number) const;  // empty for that one: it tells nothing of any zone
  const Terms& terms() const { return terms_; }

  std::vector<Explained> explain() const;  // as it decided last, where it leads
  const View& view() const { return view_; }
  const std::string& why() const { return why_; }  // nothing was proposed, or what

 private:
  struct Had {
    Note note;
    shared_config::ZoneShares shares;
  };
  bool worth_it(Time now, const Had& had, const Note& note, const Filled& filled, std::string& why);
  const shared_config::ZoneOrder* ordered(const std::string& zone_or_region) const;
  void look_at_regions(Time now, std::vector<Place>& places, bool newest_in_force, const Note& had,
                       Note& note);

  std::string fresh_id(Time now);
  Terms terms_;
  std::string self_;
  std::vector<std::string> order_;  // zones by number
  std::map<std::string, const Zone*> stated_;
  Account account_;
  Evidence evidence_;
  View view_;
  std::map<std::string, Course> courses_, regions_;
  std::map<std::string, ZoneView> region_views_;
  std::map<std::string, shared_config::ZoneOrder> ordered_;
  Time next_ = 0, changed_at_ = 0;
  bool led_ = false;
  std::uint64_t proposals_ = 0, waits_on_ = 0, waits_ground_ = 0;
  Time waits_until_ = 0;
  std::string why_;
};

}  // namespace cairnhub::zone_failover
