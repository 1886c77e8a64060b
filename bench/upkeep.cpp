// Benchmark of planned maintenance in a simulated fleet, against one machine after the other and several at
// once without coordination.
//
//   build-bench/bench/bench_upkeep [SEEDS [FROM [REMOVED_DEFENCE]]]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster/maintenance_simulation.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

namespace {
// With more seeds the one-by-one method is left out, as it takes six times as long as the others.
constexpr int kMaxSeedsOneByOne = 50;
}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 20;
  const int first_seed = argc > 2 ? std::atoi(argv[2]) : 1;
  const int removed_defence = argc > 3 ? std::atoi(argv[3]) : 0;
  const SimulationSize size;
  struct Row {
    const char* name;
    Method method;
    double served_share = 0;
    double worst_served_share = 2;
    double total_seconds = 0;
    double relative_time = 0;  // to the jobs' sum, divided by the machines out at once
    double worst_relative_time = 0;
    int worst_seed = 0;
    int reached = 0;
    int below_minimum = 0;
    int done_while_cold = 0;
    int fewest_replicas = 1 << 30;
    int done = 0;
    int lost = 0;
    int open = 0;
    int called_back = 0;
    int blocked_by_lost = 0;
  };
  std::vector<Row> rows{
      {"planned", Method::kPlanned}, {"one by one", Method::kOneByOne}, {"blind", Method::kUncoordinated}};
  if (removed_defence) rows.resize(1);
  if (seeds > kMaxSeedsOneByOne) rows.erase(rows.begin() + 1);
  for (int seed = first_seed; seed < first_seed + seeds; ++seed) {
    for (Row& row : rows) {
      MaintenanceSimulation simulation(static_cast<std::uint64_t>(seed), size, row.method, removed_defence);
      const SimulationResult result = simulation.run();
      const double served_share = static_cast<double>(result.served) / static_cast<double>(result.sent);
      if (served_share < row.worst_served_share) {
        row.worst_served_share = served_share;
        row.worst_seed = seed;
      }
      row.served_share += served_share / seeds;
      row.total_seconds += result.total_seconds / seeds;
      const double shared_seconds =
          result.job_seconds_sum / (row.method == Method::kOneByOne ? 1 : size.max_machines);
      row.relative_time += result.total_seconds / shared_seconds / seeds;
      row.worst_relative_time = std::max(row.worst_relative_time, result.total_seconds / shared_seconds);
      row.reached += result.reached;
      row.below_minimum += result.below_minimum;
      row.done_while_cold += result.done_while_cold;
      row.fewest_replicas = std::min(row.fewest_replicas, result.fewest_replicas);
      row.done += result.done;
      row.lost += result.lost;
      row.open += result.open;
      row.called_back += result.called_back;
      row.blocked_by_lost += result.blocked_by_lost;
      if (row.method == Method::kPlanned && !removed_defence &&
          (result.reached || result.below_minimum || result.done_while_cold || result.open)) {
        std::printf("seed %d: reached %d, below %d, still open %d: %s\n", seed, result.reached,
                    result.below_minimum, result.open, simulation.open_jobs().c_str());
      }
    }
  }
  std::printf("%d seeds from %d, %d brokers, %d hosts, %d works, %d at once, %d holders at least\n", seeds,
              first_seed, size.brokers, size.hosts, size.jobs, size.max_machines, size.min_replicas);
  for (const Row& row : rows) {
    std::printf(
        "%-10s served %.4f, worst %.4f (seed %d); parts at a machine at work %d; shards below %d, fewest "
        "holders %d; "
        "over while cold %d, back %d, lost %d, held up by those %d, open %d, called back %d; %.1f s, %.2f "
        "times the works shared "
        "out (worst %.2f)\n",
        row.name, row.served_share, row.worst_served_share, row.worst_seed, row.reached, row.below_minimum,
        row.fewest_replicas, row.done_while_cold, row.done, row.lost, row.blocked_by_lost, row.open,
        row.called_back, row.total_seconds, row.relative_time, row.worst_relative_time);
  }
  return 0;
}
