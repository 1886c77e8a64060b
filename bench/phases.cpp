// Benchmarks of the two-phase planner: the top-k merge against a plain sort, parsing of a match value, and a
// plan's time per event.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

#include "two_phase/query_plan.h"

using namespace cairnhub;
using namespace cairnhub::two_phase;

namespace {

// Spreads `matches` over 12 blocks, best first in each.
std::vector<MatchList> lists(std::size_t matches) {
  std::mt19937 rng(1);
  std::vector<MatchList> all(12);
  for (std::size_t b = 0; b < all.size(); ++b) {
    std::vector<std::pair<double, std::string>> found;
    for (std::size_t i = b; i < matches; i += all.size())
      found.emplace_back(-static_cast<double>(rng() % 100000), "stall-" + std::to_string(i));
    std::sort(found.begin(), found.end());
    MatchList& m = all[b];
    m.version = "1";
    m.total = found.size();
    for (const auto& [minus, id] : found) {
      m.entries.push_back(
          {-minus, static_cast<std::uint32_t>(m.ids.size()), static_cast<std::uint16_t>(id.size())});
      m.ids += id;
    }
  }
  return all;
}
std::vector<const MatchList*> pointers(const std::vector<MatchList>& all) {
  std::vector<const MatchList*> p;
  for (const auto& m : all) p.push_back(&m);
  return p;
}
std::size_t limit_of(const benchmark::State& s) {
  return s.range(1) < 0 ? kUnlimited : static_cast<std::size_t>(s.range(1));
}

void by_threshold(benchmark::State& s) {
  const auto all = lists(static_cast<std::size_t>(s.range(0)));
  const auto p = pointers(all);
  for (auto _ : s) benchmark::DoNotOptimize(merge_top_k(p, limit_of(s)));
}
void by_sort(benchmark::State& s) {
  const auto all = lists(static_cast<std::size_t>(s.range(0)));
  const auto p = pointers(all);
  for (auto _ : s) benchmark::DoNotOptimize(sort_all(p, limit_of(s)));
}
void sizes(benchmark::internal::Benchmark* b) {
  for (const int matches : {10, 1000, 100000})
    for (const int limit : {10, -1}) b->Args({matches, limit});
}
BENCHMARK(by_threshold)->Apply(sizes);
BENCHMARK(by_sort)->Apply(sizes);

std::string value(std::size_t n) {
  std::string v = "{\"version\":\"1\",\"total\":" + std::to_string(n) + ",\"more\":false,\"matches\":[";
  for (std::size_t i = 0; i < n; ++i)
    v +=
        (i ? "," : "") + std::string("[\"stall-") + std::to_string(i) + "\"," + std::to_string(n - i) + ".5]";
  return v + "]}";
}
void read_a_match(benchmark::State& s) {
  const std::string v = value(static_cast<std::size_t>(s.range(0)));
  for (auto _ : s) {
    MatchList m;
    if (parse_match(v, 100000, nullptr, m)) s.SkipWithError("spoilt");
  }
  s.SetBytesProcessed(static_cast<std::int64_t>(s.iterations() * v.size()));
}
BENCHMARK(read_a_match)->Arg(10)->Arg(1000);

// Runs a two-phase query of so many blocks with one match each. An event is a value or the end of a round.
void plan(benchmark::State& s) {
  const int blocks = static_cast<int>(s.range(0));
  QueryPlanner planner({});
  const std::string match = value(1), fetch = R"({"version":"1","stalls":[{"stall":"stall-0","detail":{}}]})";
  std::int64_t events = 0;
  for (auto _ : s) {
    two_phase::Query q;
    for (int b = 0; b < blocks; ++b) q.blocks.push_back({b, 1.0 / blocks});
    q.time_left = kSecond;
    q.limit = 10;
    QueryPlan p(planner, std::move(q), 0);
    std::vector<int> fetches;
    const auto run_decisions = [&] {
      while (const auto d = p.next_decision(1000))
        if (d->kind == Decision::Kind::kRunRound && d->round > 0) fetches.push_back(d->round);
    };
    run_decisions();
    for (int b = 0; b < blocks; ++b) {
      p.record_value(0, b, match);
      run_decisions();
      ++events;
    }
    p.record_round_result(1000, 0, RoundResult::kComplete, 0);
    run_decisions();
    ++events;
    for (std::size_t i = 0; i < fetches.size(); ++i) {
      p.record_value(fetches[i], p.round(fetches[i]).blocks[0], fetch);
      run_decisions();
      ++events;
      p.record_round_result(1000, fetches[i], RoundResult::kComplete, 0);
      run_decisions();
      ++events;
    }
    if (!p.has_ended()) s.SkipWithError("not ended");
  }
  s.counters["an_event"] = benchmark::Counter(static_cast<double>(events),
                                              benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(plan)->Arg(10)->Arg(1000);

}  // namespace

BENCHMARK_MAIN();
