#include "opensearch/merge.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "opensearch/sketch.h"

namespace cairnhub::opensearch {

namespace {

constexpr std::size_t kMaxBuckets = 65536;  // in one merged histogram

bool ranks_before(const Search& search, const MergedResult::RankedHit& a, const MergedResult::RankedHit& b) {
  if (const int order = compare_hits(search, *a.hit, *b.hit)) return order < 0;
  if (a.shard != b.shard) return a.shard < b.shard;
  return a.hit->id < b.hit->id;
}

// Compensated summation (Kahan 1965).
class CompensatedSum {
 public:
  void add(double value) {
    const double corrected = value - compensation_;
    const double new_sum = sum_ + corrected;
    compensation_ = (new_sum - sum_) - corrected;
    sum_ = new_sum;
  }
  double value() const { return sum_; }

 private:
  double sum_ = 0;
  double compensation_ = 0;
};

// Merges the largest terms of each shard. A term that a shard did not return may occur there up to as often
// as the rarest term that it did return; the error bounds add this up over the shards.
json merge_terms(const Aggregation& aggregation, const std::vector<const json*>& shard_results) {
  struct Term {
    json key;
    std::uint64_t count = 0;
    std::uint64_t known_bounds = 0;  // the error bounds of the shards that returned the term
  };
  std::map<std::string, Term> terms;
  std::uint64_t total_bound = 0;
  std::uint64_t other_count = 0;
  for (const json* result : shard_results) {
    const json& buckets = (*result)["buckets"];
    const auto omitted_count = (*result)["sum_other_doc_count"].get<std::uint64_t>();
    std::uint64_t bound = (*result)["doc_count_error_upper_bound"].get<std::uint64_t>();
    if (omitted_count > 0 && !buckets.empty()) {
      bound += std::min(omitted_count, buckets.back()["doc_count"].get<std::uint64_t>());
    }
    total_bound += bound;
    other_count += omitted_count;
    for (const json& bucket : buckets) {
      Term& term = terms[bucket["key"].dump()];
      term.key = bucket["key"];
      term.count += bucket["doc_count"].get<std::uint64_t>();
      term.known_bounds += bound;
    }
  }
  std::vector<const Term*> sorted;
  for (const auto& [key, term] : terms) sorted.push_back(&term);
  const auto key_before = [](const json& a, const json& b) {
    return a.is_string() != b.is_string() ? b.is_string() : a < b;
  };
  std::stable_sort(sorted.begin(), sorted.end(), [&](const Term* a, const Term* b) {
    return a->count != b->count ? a->count > b->count : key_before(a->key, b->key);
  });
  json buckets = json::array();
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    if (i < aggregation.size) {
      buckets.push_back({{"key", sorted[i]->key},
                         {"doc_count", sorted[i]->count},
                         {"doc_count_error_upper_bound", total_bound - sorted[i]->known_bounds}});
    } else {
      other_count += sorted[i]->count;
    }
  }
  return {{"doc_count_error_upper_bound", total_bound},
          {"sum_other_doc_count", other_count},
          {"buckets", std::move(buckets)}};
}

Parsed<json> merge_histogram(const Aggregation& aggregation, const std::vector<const json*>& shard_results) {
  std::map<double, std::uint64_t> counts;  // by bucket key
  for (const json* result : shard_results) {
    for (const json& bucket : (*result)["buckets"]) {
      counts[bucket["key"].get<double>()] += bucket["doc_count"].get<std::uint64_t>();
    }
  }
  if (aggregation.min_doc_count == 0 && !counts.empty()) {  // adds the empty buckets in between
    const double first = counts.begin()->first;
    const double steps = (counts.rbegin()->first - first) / aggregation.interval;
    if (steps > static_cast<double>(kMaxBuckets)) {
      return ApiError{400, "too_many_buckets_exception",
                      "[" + aggregation.name + "] would give more than 65536 buckets"};
    }
    for (double i = 0; i < steps; ++i) {
      counts[std::round(first / aggregation.interval + i) * aggregation.interval];
    }
  }
  json buckets = json::array();
  for (const auto& [key, count] : counts) {
    if (count >= aggregation.min_doc_count) buckets.push_back({{"key", key}, {"doc_count", count}});
  }
  return json{{"buckets", std::move(buckets)}};
}

Parsed<json> merge_aggregation(const Aggregation& aggregation,
                               const std::vector<const json*>& shard_results) {
  using Kind = Aggregation::Kind;
  std::optional<double> extreme;
  CompensatedSum sum;
  std::uint64_t count = 0;
  DistinctCountSketch merged_sketch;
  switch (aggregation.kind) {
    case Kind::kTerms:
      return merge_terms(aggregation, shard_results);
    case Kind::kHistogram:
      return merge_histogram(aggregation, shard_results);
    case Kind::kMin:
    case Kind::kMax:
      for (const json* result : shard_results) {
        if ((*result)["value"].is_null()) continue;
        const double value = (*result)["value"].get<double>();
        extreme = !extreme                         ? value
                  : aggregation.kind == Kind::kMin ? std::min(*extreme, value)
                                                   : std::max(*extreme, value);
      }
      return json{{"value", extreme ? json(*extreme) : json(nullptr)}};
    case Kind::kSum:
      for (const json* result : shard_results) {
        sum.add((*result)["value"].is_null() ? 0 : (*result)["value"].get<double>());
      }
      return json{{"value", sum.value()}};
    case Kind::kValueCount:
      for (const json* result : shard_results) count += (*result)["value"].get<std::uint64_t>();
      return json{{"value", count}};
    case Kind::kAvg:
      for (const json* result : shard_results) {
        count += (*result)["count"].get<std::uint64_t>();
        sum.add((*result)["sum"].is_null() ? 0 : (*result)["sum"].get<double>());
      }
      return json{{"value", count ? json(sum.value() / static_cast<double>(count)) : json(nullptr)}};
    case Kind::kCardinality:
      for (const json* result : shard_results) {
        DistinctCountSketch sketch;
        if (!DistinctCountSketch::parse_hex((*result)["sketch"].get_ref<const std::string&>(), sketch)) {
          return ApiError{502, "illegal_state_exception",
                          "[" + aggregation.name + "]: a sketch that can't be read"};
        }
        merged_sketch.merge(sketch);
      }
      return json{{"value", static_cast<std::uint64_t>(std::llround(merged_sketch.estimate()))}};
  }
  return json();
}

}  // namespace

Parsed<MergedResult> merge(const Search& search, const std::vector<MergeInput>& inputs, bool has_all_shards) {
  MergedResult merged;
  struct Cursor {
    MergedResult::RankedHit current;
    const ShardAnswer* answer;
    std::size_t next_index;
  };
  std::vector<Cursor> cursors;
  merged.is_total_exact = has_all_shards;
  for (const MergeInput& input : inputs) {
    merged.total += input.answer->total;
    merged.is_total_exact = merged.is_total_exact && input.answer->is_total_exact;
    if (!input.answer->hits.empty()) {
      cursors.push_back({{input.shard, &input.answer->hits[0]}, input.answer, 1});
    }
  }
  const auto ranks_after = [&](const Cursor& a, const Cursor& b) {
    return ranks_before(search, b.current, a.current);
  };
  std::make_heap(cursors.begin(), cursors.end(), ranks_after);
  for (std::size_t rank = 0; !cursors.empty() && rank < search.window(); ++rank) {
    std::pop_heap(cursors.begin(), cursors.end(), ranks_after);
    Cursor& best = cursors.back();
    if (rank == 0 && search.sort.empty()) merged.max_score = best.current.hit->score;
    if (rank >= search.from) merged.page.push_back(best.current);
    if (best.next_index < best.answer->hits.size()) {
      best.current.hit = &best.answer->hits[best.next_index++];
      std::push_heap(cursors.begin(), cursors.end(), ranks_after);
    } else {
      cursors.pop_back();
    }
  }
  if (!search.tracks_exact_total && merged.total > search.max_tracked_total) {
    merged.total = search.max_tracked_total;
    merged.is_total_exact = false;
  }
  for (const Aggregation& aggregation : search.aggregations) {
    std::vector<const json*> shard_results;
    for (const MergeInput& input : inputs) {
      shard_results.push_back(&input.answer->aggregations[aggregation.name]);
    }
    auto result = merge_aggregation(aggregation, shard_results);
    if (const auto* error = std::get_if<ApiError>(&result)) return *error;
    merged.aggregations[aggregation.name] = std::move(std::get<json>(result));
  }
  return merged;
}

std::vector<MergedResult::RankedHit> merge_by_sorting(const Search& search,
                                                      const std::vector<MergeInput>& inputs) {
  std::vector<MergedResult::RankedHit> hits;
  for (const MergeInput& input : inputs) {
    for (const Hit& hit : input.answer->hits) hits.push_back({input.shard, &hit});
  }
  std::sort(hits.begin(), hits.end(),
            [&](const auto& a, const auto& b) { return ranks_before(search, a, b); });
  const std::size_t begin = std::min(search.from, hits.size());
  const std::size_t end = std::min(search.window(), hits.size());
  return {hits.begin() + static_cast<std::ptrdiff_t>(begin), hits.begin() + static_cast<std::ptrdiff_t>(end)};
}

}  // namespace cairnhub::opensearch
