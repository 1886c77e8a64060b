#include "zone_failover/traffic_split.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace cairnhub::zone_failover {

namespace {

constexpr int kMaxFillRounds = 64;
constexpr double kNegligibleShare = 1e-6;  // of the demand of all zones

}  // namespace

TrafficSplit split_traffic(const std::vector<ZoneTraffic>& zones, const BrokenLinks& broken_links,
                           const TrafficSplitOptions& options) {
  const std::size_t n = zones.size();
  TrafficSplit split;
  split.shares.default_thousandths = options.min_share_thousandths;
  const double min_share = options.min_share_thousandths / 1000.0;
  double total_demand = 0;
  for (const ZoneTraffic& zone : zones) total_demand += zone.demand_per_second;
  std::vector<std::vector<bool>> links(n, std::vector<bool>(n, false));
  for (std::size_t from = 0; from < n; ++from)
    for (std::size_t to = 0; to < n; ++to)
      links[from][to] = from != to && zones[to].accepts_remote_traffic &&
                        !broken_links.count({zones[from].zone, zones[to].zone}) &&
                        (zones[from].region == zones[to].region || (zones[from].max_region_egress_share > 0 &&
                                                                    zones[to].region_accepts_remote_traffic));
  const auto is_open = [&](std::size_t from, std::size_t to) { return links[from][to]; };
  const auto crosses_regions = [&](std::size_t from, std::size_t to) {
    return zones[from].region != zones[to].region;
  };
  std::vector<double> excess(n);
  std::vector<double> spare(n);
  std::vector<std::vector<double>> flow(n, std::vector<double>(n, 0));
  for (std::size_t z = 0; z < n; ++z) {
    const ZoneTraffic& zone = zones[z];
    excess[z] = zone.demand_per_second * (1 - zone.local_share);
    // All others may use their minimum share at any time, so it is subtracted from the spare first.
    if (zone.accepts_remote_traffic)
      spare[z] = std::max(0.0, (1 - options.headroom_share) * zone.capacity_per_second -
                                   zone.demand_per_second * zone.local_share -
                                   min_share * (total_demand - zone.demand_per_second));
  }
  // Water filling: each zone spreads its remaining excess over the zones open to it, in proportion to their
  // spare. A zone that is offered more than its spare takes the same fraction of each offer.
  std::vector<double> movable(n);  // part of the excess that may be placed in this pass
  const auto place = [&](bool to_other_regions) {
    for (int round = 0; round < kMaxFillRounds; ++round) {
      std::vector<std::vector<double>> offer(n, std::vector<double>(n, 0));
      std::vector<double> offered(n, 0);
      for (std::size_t from = 0; from < n; ++from) {
        double room = 0;
        for (std::size_t to = 0; to < n; ++to)
          if (is_open(from, to) && crosses_regions(from, to) == to_other_regions) room += spare[to];
        if (room <= 0 || movable[from] <= 0) continue;
        for (std::size_t to = 0; to < n; ++to)
          if (is_open(from, to) && crosses_regions(from, to) == to_other_regions)
            offered[to] += offer[from][to] = movable[from] * spare[to] / room;
      }
      double moved = 0;
      std::vector<double> taken(n, 0);
      for (std::size_t from = 0; from < n; ++from)
        for (std::size_t to = 0; to < n; ++to) {
          if (offer[from][to] <= 0) continue;
          const double amount = offer[from][to] * std::min(1.0, spare[to] / offered[to]);
          flow[from][to] += amount;
          taken[to] += amount;
          excess[from] -= amount;
          movable[from] -= amount;
          moved += amount;
        }
      for (std::size_t to = 0; to < n; ++to) spare[to] = std::max(0.0, spare[to] - taken[to]);
      if (moved <= kNegligibleShare * total_demand) break;
    }
  };
  movable = excess;
  place(false);
  // The traffic that leaves a region is limited for all its zones together; each zone moves the same fraction
  // of its remaining excess.
  std::map<std::string, std::pair<double, double>> egress;  // by region: limit and wanted rate, per second
  for (std::size_t z = 0; z < n; ++z) {
    auto& [limit, wanted] = egress[zones[z].region];
    limit += zones[z].max_region_egress_share * zones[z].demand_per_second;
    wanted += excess[z];
  }
  for (std::size_t z = 0; z < n; ++z) {
    const auto& [limit, wanted] = egress[zones[z].region];
    movable[z] = wanted > limit ? excess[z] * limit / wanted : excess[z];
  }
  place(true);
  // The zones open to the remaining excess may be full of flow that could also go elsewhere. Move that flow.
  for (std::size_t from = 0; from < n; ++from)
    for (std::size_t to = 0; to < n && excess[from] > 0; ++to) {
      if (!is_open(from, to)) continue;
      for (std::size_t other = 0; other < n; ++other)
        for (std::size_t detour = 0; detour < n && excess[from] > 0 && flow[other][to] > 0; ++detour) {
          if (other == from || detour == to || !is_open(other, detour) || spare[detour] <= 0) continue;
          if (crosses_regions(other, detour) && !crosses_regions(other, to) &&
              zones[other].max_region_egress_share < 1)
            continue;
          const double moved = std::min({excess[from], flow[other][to], spare[detour],
                                         crosses_regions(from, to) ? movable[from] : excess[from]});
          if (moved <= 0) continue;
          flow[other][to] -= moved;
          flow[other][detour] += moved;
          spare[detour] -= moved;
          flow[from][to] += moved;
          excess[from] -= moved;
          if (crosses_regions(from, to)) movable[from] -= moved;
        }
    }
  for (std::size_t z = 0; z < n; ++z)
    if (excess[z] > kNegligibleShare * total_demand) split.unplaced_per_second[zones[z].zone] = excess[z];
  for (std::size_t to = 0; to < n; ++to) {
    double other_demand = 0;
    for (std::size_t from = 0; from < n; ++from)
      if (is_open(from, to)) other_demand += zones[from].demand_per_second;
    const double allowance = other_demand > 0 ? std::min(1.0, spare[to] / other_demand) : 0;
    for (std::size_t from = 0; from < n; ++from) {
      if (from == to) continue;
      if (flow[from][to] > 0) split.planned_per_second[{zones[from].zone, zones[to].zone}] = flow[from][to];
      const double share =
          (zones[from].demand_per_second > 0 ? flow[from][to] / zones[from].demand_per_second : 0) +
          (is_open(from, to) ? allowance : 0) + min_share;
      // Rounded down: if every share were rounded up, their sum could exceed the zone's spare.
      split.shares.set_thousandths(
          zones[from].zone, zones[to].zone,
          std::clamp(static_cast<int>(std::floor(1000 * share + 1e-9)), options.min_share_thousandths, 1000));
    }
  }
  return split;
}

}  // namespace cairnhub::zone_failover
