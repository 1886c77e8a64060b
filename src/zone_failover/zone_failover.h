// Zone failover at one broker: it counts its own attempts by zone, reports them to the voters and limits its
// traffic by the decision in force. The leader also decides for all brokers: it runs the state machines of
// all zones and proposes one table of shares as a new version of the shared configuration. Does no I/O and
// reads no clock.
//
// Regions have state machines of their own, one level above the zones. The demand that the zones of a region
// cannot handle together leaves the region once the overload has lasted for the region's confirmation time,
// and returns after the region's dwell time; at all other times no more than the minimum share crosses
// regions. The status of a region depends on the demand that its zones leave unplaced.
//
// A version (docs/accord.md) gives a broker the shares that its zone may send to each other zone, a rule
// whose meet is the lower of two shares; and, as a note beside the rules, the share that should stay local.
// The note forbids nothing: a broker without a table keeps its traffic local, within the common ground.
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
  double endpoint_capacity_per_second = 0;  // shard requests that one endpoint can handle; 0: not known
};

struct ZoneFailoverOptions {
  std::string home_zone;
  std::vector<ZoneOptions> zones;
  ZoneHealthOptions health;
  FailoverOptions zone_failover, region_failover;
  TrafficSplitOptions traffic_split;
  Time load_window = kSecond;  // averaging window of ZoneLoad
  Time report_interval = kSecond / 2;
  Time increase_delay = 10 * kSecond;  // delay before a table that only allows more is proposed
  // Relative changes of a share that are worth a new version.
  double decrease_threshold = 0.125;
  double increase_threshold = 0.25;
  int local_queue_advantage = 8;    // batches by which a local endpoint's queue may be longer
  double exploration_share = 0.01;  // share of the shard requests sent to other zones to learn their state
};

// The state and local share of every zone and region, as the note of a version holds them.
struct FailoverDecision {
  struct Target {
    FailoverState state = FailoverState::kLocal;
    int local_share_thousandths = 1000;
  };
  std::map<std::string, Target> zones, regions;  // no regions if there is only one
};
std::string text_of(const FailoverDecision& decision);
FailoverDecision parse_decision(const std::string& text);  // leaves out what it cannot parse

// Returns the region's name in notes and operators' orders; an order for a region applies to all its zones.
std::string region_key(const std::string& region);

// Why a zone or region is in its state, for operators.
struct ZoneExplanation {
  std::string zone;  // or the key of a region
  FailoverState state;
  int local_share_thousandths;
  std::string order;  // the operator's order in force; empty: none
  ZoneHealth health;
};

class ZoneFailover {
 public:
  ZoneFailover(const ZoneFailoverOptions& options, const std::string& broker);

  // Record the attempt results and the demand of this broker; see ZoneLoad.
  void record_attempt_result(Time now, const std::string& zone, EndpointId endpoint, AttemptOutcome outcome,
                             Time latency);
  void record_demand(Time now, double shard_requests, double remote_only) {
    load_.record_demand(now, shard_requests, remote_only);
  }
  // Sets, by zone, the number of endpoints in service and the number of warm endpoints they are equal to.
  void set_endpoints(const std::map<std::string, std::pair<int, double>>& by_zone);

  Time next_report_at() const { return next_report_at_; }
  // Returns the report for the voters if it is due, and adds it to this broker's own evaluation.
  std::optional<ZoneReport> make_due_report(Time now);
  // Adds the report of another broker. Ignores a report whose home zone is not configured here.
  void add_report(Time now, const std::string& broker, ZoneReport report);
  void remove_broker(const std::string& broker) { evaluator_.remove_broker(broker); }

  // Returns the entry to propose, if any. The leader calls this after each of its reports, with its versions.
  std::optional<shared_config::ConfigEntry> propose_change(Time now,
                                                           const shared_config::VersionHistory& versions);
  void stop_leading() { is_leading_ = false; }

  // Returns the limits that this broker acts on, by zone number. `note` is the note of the newest version
  // that the broker holds a lease on, null without a lease.
  std::vector<ZoneLimit> zone_limits(const shared_config::RuleSet& rules, const std::string* note) const;
  // Zones are numbered, the home zone is 0. A zone that is not configured gets the number after the last.
  int zone_number(const std::string& zone) const;
  const std::string& zone_name(int number) const;  // empty for the number after the last
  const ZoneFailoverOptions& options() const { return options_; }

  // Return the last decision of this broker as the leader, the health that the decision was based on, and the
  // reason why the broker proposed a change or none.
  std::vector<ZoneExplanation> explain() const;
  const ZoneHealthView& health_view() const { return health_view_; }
  const std::string& reason() const { return reason_; }

 private:
  struct Previous {
    FailoverDecision decision;
    shared_config::ZoneShares shares;
  };
  // Returns whether the new decision and split differ enough from the previous ones; sets `reason` if they
  // do.
  bool is_worth_proposing(Time now, const Previous& previous, const FailoverDecision& decision,
                          const TrafficSplit& split, std::string& reason);
  const shared_config::ZoneOrder* order_for(const std::string& zone_or_region) const;
  void update_regions(Time now, std::vector<ZoneTraffic>& traffic, bool newest_is_in_force,
                      const FailoverDecision& previous, FailoverDecision& decision);

  std::string make_proposal_id(Time now);
  ZoneFailoverOptions options_;
  std::string broker_;
  std::vector<std::string> zone_names_;  // by number
  std::map<std::string, const ZoneOptions*> zone_options_;
  ZoneLoad load_;
  ZoneHealthEvaluator evaluator_;
  ZoneHealthView health_view_;
  std::map<std::string, FailoverStateMachine> zones_, regions_;
  std::map<std::string, ZoneHealth> region_health_;
  std::map<std::string, shared_config::ZoneOrder> orders_;
  Time next_report_at_ = 0;
  Time changed_at_ = 0;
  bool is_leading_ = false;
  std::uint64_t proposals_ = 0;
  std::uint64_t pending_base_ = 0;    // newest version when a table was last proposed
  std::uint64_t pending_ground_ = 0;  // common ground when a lower common ground was last proposed
  Time pending_until_ = 0;            // until then no proposal on the same base
  std::string reason_;
};

}  // namespace cairnhub::zone_failover
