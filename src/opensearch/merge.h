// Blocks' answers made one: the best window over all of them, totals and aggregations. No I/O.
//
// Order: score or sort values, then block, then id. The window is found by a heap of the blocks' next hits,
// without a look at the rest. Totals are exact only where every block is in and each said so; else `gte`.
// Aggregations: `terms` carries the API's error bounds, `sum` and `avg` are summed with compensation (Kahan
// 1965) in the order of blocks so that the same answers give the same bytes, `cardinality` merges sketches.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "opensearch/answer.h"

namespace cairnhub::opensearch {

struct MergeInput {
  int shard = 0;
  const ShardAnswer* answer = nullptr;
};

struct MergedResult {
  struct RankedHit {
    int shard;
    const Hit* hit;
  };
  std::vector<RankedHit> page;  // after `from`
  std::uint64_t total = 0;
  bool total_exact = true;
  std::optional<double> max_score;
  json aggregations = json::object();
};

// `all_in`: every block of the index is. Parts in order of block. A fault where aggregations can't be made.
Parsed<MergedResult> merge(const Search& search, const std::vector<MergeInput>& parts, bool all_in);

// The plain way, to compare with: all hits together, sorted.
std::vector<MergedResult::RankedHit> merge_by_sorting(const Search& search,
                                                      const std::vector<MergeInput>& parts);

}  // namespace cairnhub::opensearch
