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

struct ZoneOptions {
  std::string name, region;
  double endpoint_capacity_per_second = 0;  // parts a second of one host; 0: not known
};

struct ZoneFailoverOptions {
  std::string home_zone;
  std::vector<ZoneOptions> zones;
  ZoneHealthOptions health;
  FailoverOptions zone_failover, region_failover;
  TrafficSplitOptions traffic_split;
  Time load_window = kSecond;  // of the account
  Time report_interval = kSecond / 2;
  Time increase_delay = 10 * kSecond;  // a table that allows more, and does no more, waits so long
  double decrease_threshold = 0.125,
         increase_threshold = 0.25;  // changes of a share that are worth a version
  int local_queue_advantage = 8;     // calls
  double exploration_share = 0.01;
};

// What was decided last, as the note of a version tells it.
struct FailoverDecision {
  struct Target {
    FailoverState state = FailoverState::kLocal;
    int local_share_thousandths = 1000;
  };
  std::map<std::string, Target> zones, regions;  // no regions where there is but one
};
std::string text_of(const FailoverDecision& note);
FailoverDecision parse_decision(const std::string& text);  // what can't be used of it is left out

// An order for all zones of a region is one for this name; in notes it stands under it too.
std::string region_key(const std::string& region);

struct ZoneExplanation {
  std::string zone;  // or the key of a region
  FailoverState state;
  int local_share_thousandths;
  std::string order;
  ZoneHealth health;
};

class ZoneFailover {
 public:
  ZoneFailover(const ZoneFailoverOptions& terms, const std::string& self);

  // Its own account.
  void record_attempt_result(Time now, const std::string& zone, EndpointId host, AttemptOutcome how,
                             Time latency);
  void record_demand(Time now, double parts, double far) { account_.record_demand(now, parts, far); }
  void set_endpoints(
      const std::map<std::string, std::pair<int, double>>& by_zone);  // in service; warm ones' worth of them

  Time next_report_at() const { return next_; }
  std::optional<ZoneReport> make_due_report(Time now);  // for the voters, when it is due
  void add_report(Time now, const std::string& from, ZoneReport report);
  void remove_broker(const std::string& broker) { evidence_.remove_broker(broker); }

  // Where this broker leads: called after each report, answers what is to be proposed. `book`: the leader's.
  std::optional<shared_config::Entry> propose_change(Time now, const shared_config::Versions& book);
  void stop_leading() { led_ = false; }

  // What this broker acts on: the rules, and the note of the newest version it holds a lease on; none:
  // without a lease. By number of the zones stated, its own the first.
  std::vector<ZoneLimit> zone_limits(const shared_config::Rules& rules, const std::string* note) const;
  int zone_number(const std::string& zone) const;  // one past the last where it is not stated
  const std::string& zone_name(int number) const;  // empty for that one: it tells nothing of any zone
  const ZoneFailoverOptions& options() const { return terms_; }

  std::vector<ZoneExplanation> explain() const;  // as it decided last, where it leads
  const ZoneHealthView& health_view() const { return view_; }
  const std::string& reason() const { return why_; }  // nothing was proposed, or what

 private:
  struct Had {
    FailoverDecision note;
    shared_config::ZoneShares shares;
  };
  bool worth_it(Time now, const Had& had, const FailoverDecision& note, const TrafficSplit& filled,
                std::string& why);
  const shared_config::Order* ordered(const std::string& zone_or_region) const;
  void look_at_regions(Time now, std::vector<ZoneTraffic>& places, bool newest_in_force,
                       const FailoverDecision& had, FailoverDecision& note);

  std::string fresh_id(Time now);
  ZoneFailoverOptions terms_;
  std::string self_;
  std::vector<std::string> order_;  // zones by number
  std::map<std::string, const ZoneOptions*> stated_;
  ZoneLoad account_;
  ZoneHealthEvaluator evidence_;
  ZoneHealthView view_;
  std::map<std::string, FailoverStateMachine> courses_, regions_;
  std::map<std::string, ZoneHealth> region_views_;
  std::map<std::string, shared_config::Order> ordered_;
  Time next_ = 0, changed_at_ = 0;
  bool led_ = false;
  std::uint64_t proposals_ = 0, waits_on_ = 0, waits_ground_ = 0;
  Time waits_until_ = 0;
  std::string why_;
};

}  // namespace cairnhub::zone_failover
