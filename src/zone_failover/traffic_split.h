// Computes what share of its demand each zone may send to each other zone, so that no zone gets more than its
// spare capacity from all others together. Does no I/O and reads no clock.
//
// The excess of a zone is the demand of its brokers that may not stay local. Its spare is its capacity minus
// the headroom and minus the demand that stays local. The excess is placed into the spare of other zones,
// those of the same region first. The remaining spare of a zone is allowed to all other zones in equal
// shares, so that they can use it without a new decision if their own zone fails. Excess for which there is
// no spare is left unplaced, and the brokers of its zone reject it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shared_config/rule_set.h"

namespace cairnhub::zone_failover {

// Demand and capacity of one zone. Rates count shard requests.
struct ZoneTraffic {
  std::string zone, region;
  double demand_per_second = 0;    // demand of the clients of its brokers
  double local_share = 1;          // share of the demand that may stay local
  double capacity_per_second = 0;  // 0: not known; then the zone has no spare
  bool accepts_remote_traffic = true;
  double max_region_egress_share = 1;  // share of the demand that may leave the zone's region
  bool region_accepts_remote_traffic = true;
};

struct TrafficSplit {
  shared_config::ZoneShares shares;
  // Traffic planned from the first zone of the pair to the second, without the allowance.
  std::map<std::pair<std::string, std::string>, double> planned_per_second;
  std::map<std::string, double> unplaced_per_second;  // by the zone whose demand it is
};

struct TrafficSplitOptions {
  double headroom_share = 0.1;  // share of the capacity that is kept free
  // Share that each zone may always send to each other zone; the common ground also allows this share.
  int min_share_thousandths = 30;
};

// Pairs of zones between which the link is broken: brokers in the first cannot reach endpoints in the second.
using BrokenLinks = std::set<std::pair<std::string, std::string>>;
TrafficSplit split_traffic(const std::vector<ZoneTraffic>& zones, const BrokenLinks& broken_links,
                           const TrafficSplitOptions& options);

}  // namespace cairnhub::zone_failover
