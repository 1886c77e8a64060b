// Failover between zones at size, in flows, from seeds: the common table beside each broker deciding alone,
// the broker as it was, and a policy that is told the true state late.
//
//   build-bench/bench/bench_zones [SEEDS [FROM]]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "cluster/zone_world.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 20, from = argc > 2 ? std::atoi(argv[2]) : 1;
  const ZoneWorldSize size;
  struct Row {
    const char* name;
    Policy policy;
    double served = 0, worst = 2, over = 0, calm = 0;
    int worst_seed = 0, under = 0, versions = 0, turns = 0;
  };
  std::vector<Row> rows{
      {"common table", Policy::common}, {"each alone", Policy::alone}, {"as before", Policy::before}};
  double told_served = 0;
  for (int seed = from; seed < from + seeds; ++seed) {
    const ZoneRun told = ZoneWorld(static_cast<std::uint64_t>(seed), size, Policy::told).play();
    told_served += told.served / told.asked / seeds;
    for (Row& r : rows) {
      const ZoneRun run = ZoneWorld(static_cast<std::uint64_t>(seed), size, r.policy).play();
      const double against = run.served / told.served;
      if (against < r.worst) r.worst = against, r.worst_seed = seed;
      r.under += against < 0.95;
      r.served += run.served / run.asked / seeds, r.over += run.over / seeds,
          r.calm += run.calm_crossing / seeds;
      r.versions += run.versions, r.turns += run.turns;
    }
  }
  std::printf("%d seeds from %d, %d brokers, %d hosts, %d zones; told the truth late: served %.4f\n", seeds,
              from, size.brokers, size.hosts, size.zones, told_served);
  std::printf(
      "policy        served  worst against told (seed)  under 0.95  over, s a play  crossing in calm  "
      "versions "
      "a play  turns a play\n");
  for (const Row& r : rows)
    std::printf("%-13s %.4f  %.4f (%d) %20d %14.2f %16.2f%% %16.1f %12.2f\n", r.name, r.served, r.worst,
                r.worst_seed, r.under, r.over, 100 * r.calm, static_cast<double>(r.versions) / seeds,
                static_cast<double>(r.turns) / seeds);
}
