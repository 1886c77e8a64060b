// Agreement at 10 to 1,000 brokers in a seeded world, three voters, T of 2 s: the time from a proposal until
// all act on it and nothing else, with all reachable and with a tenth cut off; what the leader sends and a
// broker costs. And the look at what may be acted on, which stands before everything a broker does.
//
//   build-bench/bench/bench_accord
#include <chrono>
#include <cstdio>

#include "cluster/shared_config_cluster.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

int main() {
  std::printf(
      "brokers  all on a new version, ms  with a tenth cut off, ms  messages/s a broker  bytes/s a broker\n");
  for (const int n : {10, 100, 300, 1000}) {
    Seeded world(static_cast<std::uint64_t>(n));
    shared_config::SharedConfigSettings terms;
    Accords f(world, n, 3, terms, 0.01);
    f.start_all();
    if (!world.play(world.now() + 60 * kSecond, [&] { return f.settled(); }))
      return std::printf("%d: not settled\n", n), 1;
    world.play(world.now() + 3 * kSecond);
    bool ground = false;
    f.propose(n - 1, "op_type { name: \"x\" held_most: 5 }", true, 1, "g",
              [&](const auto&) { ground = true; });
    world.play(world.now() + 10 * kSecond,
               [&] { return ground && f.all[0].accord->raft_node()->versions().baseline().number == 2; });
    world.play(world.now() + 3 * kSecond);
    const auto sent = world.sent, bytes = world.bytes;
    const Time calm = world.now();
    world.play(calm + 10 * kSecond);
    const double a_second = static_cast<double>(world.sent - sent) / 10 / n,
                 weight = static_cast<double>(world.bytes - bytes) / 10 / n;
    Time at = world.now();
    f.propose(n - 1, "op_type { name: \"x\" held_most: 50 }", false, 1, "v2");
    const bool all = world.play(at + 20 * kSecond, [&] { return f.settled(2); });
    const double ms = seconds(world.now() - at) * 1000;
    for (int a = n - std::max(1, n / 10); a < n; ++a)
      for (int b = 0; b < n; ++b) world.cut_both(a, b);
    at = world.now();
    f.propose(3, "op_type { name: \"x\" held_most: 40 }", false, 2, "v3");
    const bool forced = world.play(at + 20 * kSecond, [&] { return f.top_force >= 3; });
    std::printf("%7d %25.1f %25.1f %20.1f %17.0f%s\n", n, ms, seconds(world.now() - at) * 1000, a_second,
                weight, all && forced && f.longest == 0 ? "" : "  NOT as it should be");
    std::fflush(stdout);
  }
  shared_config::LeaseClient holder({}, {});
  using Clock = std::chrono::steady_clock;
  constexpr int kLooks = 20'000'000;
  std::uint64_t sum = 0;
  const auto began = Clock::now();
  for (int i = 0; i < kLooks; ++i)
    sum += holder.active_config(i)->low +
           static_cast<std::uint64_t>(holder.active_config(i)->rules->max_attempts);
  const double ns = std::chrono::duration<double, std::nano>(Clock::now() - began).count() / kLooks;
  std::printf("a look at what may be acted on: %.2f ns%s\n", ns, sum == 0 ? " " : "");
}
