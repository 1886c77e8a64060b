// Machines taken out at size, from seeds: the plan beside one after the other and as many at once by
// discovery alone.
//
//   build-bench/bench/bench_upkeep [SEEDS [FROM [WITHOUT]]]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster/work_world.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

namespace {
constexpr int kOneByOneMost = 50;
}

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 20, from = argc > 2 ? std::atoi(argv[2]) : 1;
  const int without = argc > 3 ? std::atoi(argv[3]) : 0;
  const WorkWorldSize size;
  struct Row {
    const char* name;
    Way way;
    double served = 0, worst = 2, whole = 0, times = 0, longest = 0;
    int worst_seed = 0, reached = 0, below = 0, cold = 0, fewest = 1 << 30, done = 0, lost = 0, open = 0,
        back = 0, held_up = 0;
  };
  std::vector<Row> rows{{"planned", Way::planned}, {"one by one", Way::one_by_one}, {"blind", Way::blind}};
  if (without) rows.resize(1);
  if (seeds > kOneByOneMost) rows.erase(rows.begin() + 1);  // six times as long as the others
  for (int seed = from; seed < from + seeds; ++seed)
    for (Row& r : rows) {
      WorkWorld world(static_cast<std::uint64_t>(seed), size, r.way, without);
      const WorkRun run = world.play();
      const double served = static_cast<double>(run.served) / static_cast<double>(run.asked);
      if (served < r.worst) r.worst = served, r.worst_seed = seed;
      r.served += served / seeds, r.whole += run.whole / seeds;
      const double shared = run.sum / (r.way == Way::one_by_one ? 1 : size.at_once);
      r.times += run.whole / shared / seeds, r.longest = std::max(r.longest, run.whole / shared);
      r.reached += run.reached, r.below += run.below, r.cold += run.cold,
          r.fewest = std::min(r.fewest, run.fewest);
      r.done += run.done, r.lost += run.lost, r.open += run.open, r.back += run.called_back,
          r.held_up += run.held_up;
      if (r.way == Way::planned && !without && (run.reached || run.below || run.cold || run.open))
        std::printf("seed %d: reached %d, below %d, still open %d: %s\n", seed, run.reached, run.below,
                    run.open, world.open_works().c_str());
    }
  std::printf("%d seeds from %d, %d brokers, %d hosts, %d works, %d at once, %d holders at least\n", seeds,
              from, size.brokers, size.hosts, size.works, size.at_once, size.least);
  for (const Row& r : rows)
    std::printf(
        "%-10s served %.4f, worst %.4f (seed %d); parts at a machine at work %d; shards below %d, fewest "
        "holders %d; "
        "over while cold %d, back %d, lost %d, held up by those %d, open %d, called back %d; %.1f s, %.2f "
        "times the works shared "
        "out (worst %.2f)\n",
        r.name, r.served, r.worst, r.worst_seed, r.reached, r.below, r.fewest, r.cold, r.done, r.lost,
        r.held_up, r.open, r.back, r.whole, r.times, r.longest);
  return 0;
}
