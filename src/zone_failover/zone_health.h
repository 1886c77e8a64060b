// What the accounts of all brokers tell of zones, held against each other. No I/O and no clock.
//
// It tells apart: hosts of a zone dead (all who see it say so, its own brokers among them), a link cut (only
// those across it say so), a zone with more than it bears, a zone that fails in part, and a reporter that is
// itself ill (it finds all zones bad that others find good: outvoted and named). Where all zones are alike
// slow nothing is wrong with any of them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "zone_failover/zone_load.h"

namespace cairnhub::zone_failover {

struct ZoneHealthOptions {
  Time max_report_age = 3 * kSecond / 2;  // older reports don't count
  double min_attempts_per_second = 10;    // parts a second under which what became of them tells nothing
  // Shares of parts lost: from the least on a zone fails in part, from the most on it is dead.
  double partial_loss_share = 0.1, dead_loss_share = 0.7;
  double overload_rejected_share =
      0.05;                           // share turned away by full hosts, from which on a zone bears too much
  double overload_latency_ratio = 3;  // times the latency of the other zones
  double overload_capacity_share = 0.95;  // of the capacity
};

enum class ZoneStatus { kUnknown, kGood, kOverloaded, kPartial, kDead };
const char* name_of(ZoneStatus look);

struct ZoneReport {
  std::string home_zone;
  Time received_at = 0;          // when it was heard
  double demand_per_second = 0;  // parts a second
  double remote_only_demand_per_second =
      0;  // of them, those whose shard has no holder in service in its home
  std::map<std::string, ZoneStats> zones;
};

struct ZoneHealth {
  ZoneStatus status = ZoneStatus::kUnknown;
  double demand_per_second = 0;              // parts a second that its brokers' clients ask for
  double remote_only_demand_per_second = 0;  // of them, those whose shard has no holder there
  double load_per_second = 0;                // parts a second that came to its hosts
  double capacity_per_second = 0;            // 0: not known
  double sustainable_share =
      1;  // share of what its brokers ask for that it can bear, where it is over or fails in part
  int reporting_brokers = 0, endpoints_in_service = 0;  // brokers that report; hosts in service
  std::string reason;                                   // one line
};

struct ZoneHealthView {
  std::map<std::string, ZoneHealth> zones;
  std::set<std::pair<std::string, std::string>>
      broken_links;                           // from the brokers of one to the hosts of the other
  std::vector<std::string> outvoted_brokers;  // reporters
};

class ZoneHealthEvaluator {
 public:
  explicit ZoneHealthEvaluator(const ZoneHealthOptions& terms) : terms_(terms) {}
  void add_report(Time now, const std::string& from, ZoneReport report);
  void remove_broker(const std::string& broker) { reports_.erase(broker); }
  ZoneHealthView evaluate(Time now) const;

 private:
  ZoneHealthOptions terms_;
  std::map<std::string, ZoneReport> reports_;  // by broker
};

}  // namespace cairnhub::zone_failover
