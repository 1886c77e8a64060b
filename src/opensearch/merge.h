// Merges the answers of shards into one page of hits, a total and aggregations. No I/O.
//
// Hits are ordered by score or sort values, then shard, then id. A heap of each shard's next hit finds the
// page without reading further hits. A total is exact only if every shard of the index has answered with an
// exact total; otherwise its relation is `gte`. `terms` aggregations carry the error bounds of the API. `sum`
// and `avg` use compensated summation (Kahan 1965) in the order of shards, so that the same answers give the
// same bytes. `cardinality` merges sketches.
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
  std::vector<RankedHit> page;  // without the first `from` hits
  std::uint64_t total = 0;
  bool is_total_exact = true;
  std::optional<double> max_score;  // unset if the search sorts by fields, or no hit is in the window
  json aggregations = json::object();
};

// Merges `inputs`, which are in order of shard. `has_all_shards`: every shard of the index has answered.
// Returns an error if an aggregation can't be merged. The result points into the answers.
Parsed<MergedResult> merge(const Search& search, const std::vector<MergeInput>& inputs, bool has_all_shards);

// Returns the same page by sorting all hits; the reference that merge() is compared with.
std::vector<MergedResult::RankedHit> merge_by_sorting(const Search& search,
                                                      const std::vector<MergeInput>& inputs);

}  // namespace cairnhub::opensearch
