// Evaluates the health of each zone by comparing the reports of all brokers. Does no I/O and reads no clock.
//
// It distinguishes these causes of lost attempts:
// - dead endpoints: all brokers that see the zone lose their attempts, its own brokers among them;
// - a broken link: only the brokers on the other side of the link lose their attempts;
// - a partial failure: the zone's own brokers lose a part of their attempts;
// - a faulty broker: every zone that it sees is bad by its report and good by the reports of most others, so
//   its report is left out and the broker is listed as outvoted.
//
// A zone is overloaded if it rejects attempts, exceeds its capacity or is slower than the other zones. If all
// zones are equally slow, none of them is overloaded.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "zone_failover/zone_load.h"

namespace cairnhub::zone_failover {

struct ZoneHealthOptions {
  Time max_report_age = 3 * kSecond / 2;  // older reports are ignored
  double min_attempts_per_second = 10;    // below this rate the lost and rejected shares are not used
  // Share of attempts lost from which a zone is partial, and from which it is dead.
  double partial_loss_share = 0.1;
  double dead_loss_share = 0.7;
  // A zone is overloaded from this share of rejected attempts on, above this multiple of the other zones'
  // median latency, or above this share of its capacity.
  double overload_rejected_share = 0.05;
  double overload_latency_ratio = 3;
  double overload_capacity_share = 0.95;
};

enum class ZoneStatus { kUnknown, kGood, kOverloaded, kPartial, kDead };
// Returns the name used in JSON and in reasons: unknown, good, over, partial, dead.
const char* name_of(ZoneStatus status);

// The report of one broker; zone_report.h encodes it.
struct ZoneReport {
  std::string home_zone;
  Time received_at = 0;
  double demand_per_second = 0;              // shard requests of its clients
  double remote_only_demand_per_second = 0;  // part of the demand, without a replica in the home zone
  std::map<std::string, ZoneStats> zones;
};

// The health of one zone, and the sums over all reports that it was derived from.
struct ZoneHealth {
  ZoneStatus status = ZoneStatus::kUnknown;
  double demand_per_second = 0;              // shard requests of the clients of its brokers
  double remote_only_demand_per_second = 0;  // part of the demand, without a replica in the zone
  double load_per_second = 0;                // attempts that its endpoints got from all brokers
  double capacity_per_second = 0;            // 0: not known
  double sustainable_share = 1;              // share of its brokers' demand; used if overloaded or partial
  int reporting_brokers = 0;
  int endpoints_in_service = 0;
  std::string reason;  // one line
};

struct ZoneHealthView {
  std::map<std::string, ZoneHealth> zones;
  // Pairs of zones between which the link is broken: brokers in the first cannot reach endpoints in the
  // second.
  std::set<std::pair<std::string, std::string>> broken_links;
  std::vector<std::string> outvoted_brokers;
};

class ZoneHealthEvaluator {
 public:
  explicit ZoneHealthEvaluator(const ZoneHealthOptions& options) : options_(options) {}
  // Replaces the broker's last report. Reports of new brokers beyond a fixed number are dropped.
  void add_report(Time now, const std::string& broker, ZoneReport report);
  void remove_broker(const std::string& broker) { reports_.erase(broker); }
  ZoneHealthView evaluate(Time now) const;

 private:
  ZoneHealthOptions options_;
  std::map<std::string, ZoneReport> reports_;  // by broker
};

}  // namespace cairnhub::zone_failover
