// The parts of the OpenSearch-style API: merging against a plain sort, reading a block's answer, a request,
// sketches.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <random>

#include "opensearch/merge.h"
#include "opensearch/sketch.h"

using namespace cairnhub::opensearch;

namespace {

std::string answer(int block, int hits) {
  std::mt19937 rng(static_cast<std::uint32_t>(block));
  std::vector<double> scores;
  for (int i = 0; i < hits; ++i) scores.push_back(static_cast<double>(rng() % 100000) / 8);
  std::sort(scores.rbegin(), scores.rend());
  std::string list;
  for (int i = 0; i < hits; ++i)
    list += (i ? "," : "") + std::string("{\"_index\":\"r\",\"_shard\":\"[r][") + std::to_string(block) +
            "]\",\"_id\":\"" + std::to_string(1000000 + i) +
            "\",\"_score\":" + std::to_string(scores[static_cast<std::size_t>(i)]) +
            ",\"_source\":{\"market\":\"M3\",\"levy\":12.5,\"owner\":\"o17\"}}";
  return "{\"took\":1,\"timed_out\":false,\"_shard\":\"[r][" + std::to_string(block) +
         "]\",\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":"
         "0},"
         "\"hits\":{\"total\":{\"value\":" +
         std::to_string(hits) + ",\"relation\":\"eq\"},\"max_score\":1,\"hits\":[" + list + "]}}";
}

struct Answers {
  Search search;
  std::deque<ShardAnswer> all;
  std::vector<MergeInput> parts;
  Answers(int blocks, int hits) {
    search.size = static_cast<std::size_t>(hits);
    for (int b = 0; b < blocks; ++b) {
      all.emplace_back();
      if (parse_shard_answer(answer(b, hits), search, "r", b, all.back())) std::abort();
      parts.push_back({b, &all.back()});
    }
  }
};

void by_heap(benchmark::State& s) {
  const Answers a(static_cast<int>(s.range(0)), static_cast<int>(s.range(1)));
  for (auto _ : s) benchmark::DoNotOptimize(merge(a.search, a.parts, true));
}
void by_sort(benchmark::State& s) {
  const Answers a(static_cast<int>(s.range(0)), static_cast<int>(s.range(1)));
  for (auto _ : s) benchmark::DoNotOptimize(merge_by_sorting(a.search, a.parts));
}
void sizes(benchmark::internal::Benchmark* b) {
  for (const int blocks : {4, 16, 64})
    for (const int hits : {10, 1000}) b->Args({blocks, hits});
}
BENCHMARK(by_heap)->Apply(sizes);
BENCHMARK(by_sort)->Apply(sizes);

void read_an_answer(benchmark::State& s) {
  const std::string text = answer(1, static_cast<int>(s.range(0)));
  Search search;
  search.size = static_cast<std::size_t>(s.range(0));
  for (auto _ : s) {
    ShardAnswer a;
    benchmark::DoNotOptimize(parse_shard_answer(text, search, "r", 1, a));
  }
  s.SetItemsProcessed(s.iterations() * s.range(0));
}
BENCHMARK(read_an_answer)->Arg(10)->Arg(1000);

void read_a_request(benchmark::State& s) {
  const std::string text =
      R"({"query":{"bool":{"must":[{"term":{"market":"M3"}},{"range":{"levy":{"gte":10}}}]}},"sort":[{"levy":"desc"}]})";
  for (auto _ : s) benchmark::DoNotOptimize(parse_search(text, {}));
}
BENCHMARK(read_a_request);

void merge_sketches(benchmark::State& s) {
  DistinctCountSketch a, b;
  for (int i = 0; i < 10000; ++i) (i % 2 ? a : b).add(std::to_string(i));
  for (auto _ : s) {
    DistinctCountSketch both = a;
    both.merge(b);
    benchmark::DoNotOptimize(both.estimate());
  }
}
BENCHMARK(merge_sketches);

}  // namespace

BENCHMARK_MAIN();
