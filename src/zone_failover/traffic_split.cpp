#include "zone_failover/traffic_split.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace cairnhub::zone_failover {

Filled fill(const std::vector<Place>& places, const Cut& cut, const FillTerms& terms) {
  const std::size_t n = places.size();
  Filled out;
  out.shares.default_thousandths = terms.ground;
  const double ground = terms.ground / 1000.0;
  double all = 0;
  for (const Place& p : places) all += p.wanted;
  std::vector<std::vector<bool>> ways(n, std::vector<bool>(n, false));
  for (std::size_t h = 0; h < n; ++h)
    for (std::size_t t = 0; t < n; ++t)
      ways[h][t] =
          h != t && places[t].takes_in && !cut.count({places[h].zone, places[t].zone}) &&
          (places[h].region == places[t].region || (places[h].leaves > 0 && places[t].region_takes_in));
  const auto open = [&](std::size_t h, std::size_t t) { return ways[h][t]; };
  const auto crosses = [&](std::size_t h, std::size_t t) { return places[h].region != places[t].region; };
  std::vector<double> excess(n), spare(n);
  std::vector<std::vector<double>> flow(n, std::vector<double>(n, 0));
  for (std::size_t z = 0; z < n; ++z) {
    const Place& p = places[z];
    excess[z] = p.wanted * (1 - p.share);
    // The ground is everyone's at any time: it comes off the spare first.
    if (p.takes_in)
      spare[z] =
          std::max(0.0, (1 - terms.headroom) * p.capacity - p.wanted * p.share - ground * (all - p.wanted));
  }
  // Water filling, the own region first: each home spreads what it still has over the zones open to it by
  // their spare; one that is asked for more than it has gives each the same share of what they ask.
  std::vector<double> may(n);  // of the excess, what may go where it is being poured
  const auto pour = [&](bool other_regions) {
    for (int round = 0; round < 64; ++round) {
      std::vector<std::vector<double>> ask(n, std::vector<double>(n, 0));
      std::vector<double> asked(n, 0);
      for (std::size_t h = 0; h < n; ++h) {
        double room = 0;
        for (std::size_t t = 0; t < n; ++t)
          if (open(h, t) && crosses(h, t) == other_regions) room += spare[t];
        if (room <= 0 || may[h] <= 0) continue;
        for (std::size_t t = 0; t < n; ++t)
          if (open(h, t) && crosses(h, t) == other_regions) asked[t] += ask[h][t] = may[h] * spare[t] / room;
      }
      double moved = 0;
      std::vector<double> given(n, 0);
      for (std::size_t h = 0; h < n; ++h)
        for (std::size_t t = 0; t < n; ++t) {
          if (ask[h][t] <= 0) continue;
          const double got = ask[h][t] * std::min(1.0, spare[t] / asked[t]);
          flow[h][t] += got, given[t] += got, excess[h] -= got, may[h] -= got, moved += got;
        }
      for (std::size_t t = 0; t < n; ++t) spare[t] = std::max(0.0, spare[t] - given[t]);
      if (moved <= 1e-6 * all) break;
    }
  };
  may = excess;
  pour(false);
  // What leaves a region is bounded for all its zones together; each gives the same share of what it has
  // left.
  std::map<std::string, std::pair<double, double>> regions;  // may leave, would
  for (std::size_t z = 0; z < n; ++z) {
    auto& [most, would] = regions[places[z].region];
    most += places[z].leaves * places[z].wanted, would += excess[z];
  }
  for (std::size_t z = 0; z < n; ++z) {
    const auto& [most, would] = regions[places[z].region];
    may[z] = would > most ? excess[z] * most / would : excess[z];
  }
  pour(true);
  // What is left finds its only ways taken by homes that have others: those make room.
  for (std::size_t h = 0; h < n; ++h)
    for (std::size_t t = 0; t < n && excess[h] > 0; ++t) {
      if (!open(h, t)) continue;
      for (std::size_t other = 0; other < n; ++other)
        for (std::size_t to = 0; to < n && excess[h] > 0 && flow[other][t] > 0; ++to) {
          if (other == h || to == t || !open(other, to) || spare[to] <= 0) continue;
          if (crosses(other, to) && !crosses(other, t) && places[other].leaves < 1) continue;
          const double moved =
              std::min({excess[h], flow[other][t], spare[to], crosses(h, t) ? may[h] : excess[h]});
          if (moved <= 0) continue;
          flow[other][t] -= moved, flow[other][to] += moved, spare[to] -= moved;
          flow[h][t] += moved, excess[h] -= moved;
          if (crosses(h, t)) may[h] -= moved;
        }
    }
  for (std::size_t z = 0; z < n; ++z)
    if (excess[z] > 1e-6 * all) out.left[places[z].zone] = excess[z];
  for (std::size_t t = 0; t < n; ++t) {
    double others = 0;
    for (std::size_t h = 0; h < n; ++h)
      if (open(h, t)) others += places[h].wanted;
    const double allowance = others > 0 ? std::min(1.0, spare[t] / others) : 0;
    for (std::size_t h = 0; h < n; ++h) {
      if (h == t) continue;
      if (flow[h][t] > 0) out.flow[{places[h].zone, places[t].zone}] = flow[h][t];
      const double share =
          (places[h].wanted > 0 ? flow[h][t] / places[h].wanted : 0) + (open(h, t) ? allowance : 0) + ground;
      // Downwards: what is rounded up by all would be more than the zone can spare.
      out.shares.set_thousandths(
          places[h].zone, places[t].zone,
          std::clamp(static_cast<int>(std::floor(1000 * share + 1e-9)), terms.ground, 1000));
    }
  }
  return out;
}

}  // namespace cairnhub::zone_failover
