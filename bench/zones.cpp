// Compares zone failover policies in simulated runs of many brokers: the shared table, brokers that decide
// alone, brokers that know no zones, and an oracle that learns the true state late.
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
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 20;
  const int from = argc > 2 ? std::atoi(argv[2]) : 1;
  const ZoneWorldSize size;
  struct Row {
    const char* name;
    Policy policy;
    double served_share = 0;
    double worst_ratio = 2;  // served, against the oracle
    double overload_seconds = 0;
    double fault_free_cross_zone_share = 0;
    int worst_seed = 0;
    int below_ratio = 0;
    int versions = 0;
    int reversals = 0;
  };
  std::vector<Row> rows{{"common table", Policy::kSharedTable},
                        {"each alone", Policy::kIndependent},
                        {"as before", Policy::kZoneUnaware}};
  double oracle_served_share = 0;
  for (int seed = from; seed < from + seeds; ++seed) {
    const ZoneRun oracle = ZoneWorld(static_cast<std::uint64_t>(seed), size, Policy::kOracle).run();
    oracle_served_share += oracle.served / oracle.requested / seeds;
    for (Row& row : rows) {
      const ZoneRun run = ZoneWorld(static_cast<std::uint64_t>(seed), size, row.policy).run();
      const double ratio = run.served / oracle.served;
      if (ratio < row.worst_ratio) {
        row.worst_ratio = ratio;
        row.worst_seed = seed;
      }
      row.below_ratio += ratio < 0.95;
      row.served_share += run.served / run.requested / seeds;
      row.overload_seconds += run.overload_seconds / seeds;
      row.fault_free_cross_zone_share += run.fault_free_cross_zone_share / seeds;
      row.versions += run.versions;
      row.reversals += run.reversals;
    }
  }
  std::printf("%d seeds from %d, %d brokers, %d hosts, %d zones; told the truth late: served %.4f\n", seeds,
              from, size.brokers, size.endpoints, size.zones, oracle_served_share);
  std::printf(
      "policy        served  worst against told (seed)  under 0.95  over, s a play  crossing in calm  "
      "versions "
      "a play  turns a play\n");
  for (const Row& row : rows)
    std::printf("%-13s %.4f  %.4f (%d) %20d %14.2f %16.2f%% %16.1f %12.2f\n", row.name, row.served_share,
                row.worst_ratio, row.worst_seed, row.below_ratio, row.overload_seconds,
                100 * row.fault_free_cross_zone_share, static_cast<double>(row.versions) / seeds,
                static_cast<double>(row.reversals) / seeds);
}
