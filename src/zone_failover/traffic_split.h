// What may go from zone to zone, so that no zone is given more by all others together than it can spare. No
// I/O and no clock.
//
// Each zone's brokers have an excess, what may not stay at home; each zone has a spare, its capacity less a
// stated headroom and less what stays there. The excess is filled in, the cheap ways first, each home alike
// in share; of what is left of the spare all homes get the same allowance, to be used without asking should
// their own zone fail in the next instant. What fits nowhere is left out, and turned away by the brokers
// whose it is.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shared_config/rule_set.h"

namespace cairnhub::zone_failover {

struct ZoneTraffic {
  std::string zone, region;
  double demand_per_second = 0;    // parts a second asked for by its brokers' clients
  double local_share = 1;          // of them that may stay at home
  double capacity_per_second = 0;  // parts a second; 0: not known, then it has no spare
  bool accepts_remote_traffic = true;
  // Of its region: the share of what its brokers ask for that may leave it, and whether it takes in from
  // others.
  double max_region_egress_share = 1;
  bool region_accepts_remote_traffic = true;
};

struct TrafficSplit {
  shared_config::ZoneShares shares;
  std::map<std::pair<std::string, std::string>, double>
      planned_per_second;                             // parts a second planned, without the allowance
  std::map<std::string, double> unplaced_per_second;  // parts a second of a zone's brokers that fit nowhere
};

struct TrafficSplitOptions {
  double headroom_share = 0.1;  // of the capacity, kept free
  int min_share_thousandths =
      30;  // thousandths that the common ground allows between any two, and each table at least
};

using BrokenLinks = std::set<std::pair<std::string, std::string>>;
TrafficSplit split_traffic(const std::vector<ZoneTraffic>& places, const BrokenLinks& cut,
                           const TrafficSplitOptions& terms);

}  // namespace cairnhub::zone_failover
