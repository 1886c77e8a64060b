#include "opensearch/merge.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "opensearch/sketch.h"

namespace cairnhub::opensearch {

namespace {

constexpr std::size_t kBucketsMost = 65536;  // in one merged aggregation

bool before(const Search& s, const MergedResult::RankedHit& a, const MergedResult::RankedHit& b) {
  if (const int c = compare_hits(s, *a.hit, *b.hit)) return c < 0;
  if (a.shard != b.shard) return a.shard < b.shard;
  return a.hit->id < b.hit->id;
}

class Sum {
 public:
  void add(double v) {
    const double y = v - lost_, t = sum_ + y;
    lost_ = (t - sum_) - y;
    sum_ = t;
  }
  double value() const { return sum_; }

 private:
  double sum_ = 0, lost_ = 0;
};

// Each block names its largest terms. One that it didn't name may still have as many as the least it named.
json merge_terms(const Aggregation& a, const std::vector<const json*>& all) {
  struct Term {
    json key;
    std::uint64_t count = 0, seen_bounds = 0;
  };
  std::map<std::string, Term> terms;
  std::uint64_t bounds = 0, other = 0;
  for (const json* one : all) {
    const json& buckets = (*one)["buckets"];
    const auto left_out = (*one)["sum_other_doc_count"].get<std::uint64_t>();
    std::uint64_t bound = (*one)["doc_count_error_upper_bound"].get<std::uint64_t>();
    if (left_out > 0 && !buckets.empty())
      bound += std::min(left_out, buckets.back()["doc_count"].get<std::uint64_t>());
    bounds += bound, other += left_out;
    for (const json& b : buckets) {
      Term& t = terms[b["key"].dump()];
      t.key = b["key"], t.count += b["doc_count"].get<std::uint64_t>(), t.seen_bounds += bound;
    }
  }
  std::vector<const Term*> order;
  for (const auto& [key, t] : terms) order.push_back(&t);
  const auto key_before = [](const json& x, const json& y) {
    return x.is_string() != y.is_string() ? y.is_string() : x < y;
  };
  std::stable_sort(order.begin(), order.end(), [&](const Term* x, const Term* y) {
    return x->count != y->count ? x->count > y->count : key_before(x->key, y->key);
  });
  json buckets = json::array();
  for (std::size_t i = 0; i < order.size(); ++i) {
    if (i < a.size)
      buckets.push_back({{"key", order[i]->key},
                         {"doc_count", order[i]->count},
                         {"doc_count_error_upper_bound", bounds - order[i]->seen_bounds}});
    else
      other += order[i]->count;
  }
  return {{"doc_count_error_upper_bound", bounds},
          {"sum_other_doc_count", other},
          {"buckets", std::move(buckets)}};
}

Parsed<json> merge_histogram(const Aggregation& a, const std::vector<const json*>& all) {
  std::map<double, std::uint64_t> counts;
  for (const json* one : all)
    for (const json& b : (*one)["buckets"])
      counts[b["key"].get<double>()] += b["doc_count"].get<std::uint64_t>();
  if (a.min_doc_count == 0 && !counts.empty()) {  // the gaps too
    const double first = counts.begin()->first, steps = (counts.rbegin()->first - first) / a.interval;
    if (steps > static_cast<double>(kBucketsMost))
      return ApiError{400, "too_many_buckets_exception",
                      "[" + a.name + "] would give more than 65536 buckets"};
    for (double i = 0; i < steps; ++i) counts[std::round(first / a.interval + i) * a.interval];
  }
  json buckets = json::array();
  for (const auto& [key, n] : counts)
    if (n >= a.min_doc_count) buckets.push_back({{"key", key}, {"doc_count", n}});
  return json{{"buckets", std::move(buckets)}};
}

Parsed<json> merge_aggregation(const Aggregation& a, const std::vector<const json*>& all) {
  using Kind = Aggregation::Kind;
  std::optional<double> extreme;
  Sum sum;
  std::uint64_t n = 0;
  DistinctCountSketch distinct;
  switch (a.kind) {
    case Kind::kTerms:
      return merge_terms(a, all);
    case Kind::kHistogram:
      return merge_histogram(a, all);
    case Kind::kMin:
    case Kind::kMax:
      for (const json* one : all) {
        if ((*one)["value"].is_null()) continue;
        const double v = (*one)["value"].get<double>();
        extreme = !extreme ? v : a.kind == Kind::kMin ? std::min(*extreme, v) : std::max(*extreme, v);
      }
      return json{{"value", extreme ? json(*extreme) : json(nullptr)}};
    case Kind::kSum:
      for (const json* one : all) sum.add((*one)["value"].is_null() ? 0 : (*one)["value"].get<double>());
      return json{{"value", sum.value()}};
    case Kind::kValueCount:
      for (const json* one : all) n += (*one)["value"].get<std::uint64_t>();
      return json{{"value", n}};
    case Kind::kAvg:
      for (const json* one : all) {
        n += (*one)["count"].get<std::uint64_t>();
        sum.add((*one)["sum"].is_null() ? 0 : (*one)["sum"].get<double>());
      }
      return json{{"value", n ? json(sum.value() / static_cast<double>(n)) : json(nullptr)}};
    case Kind::kCardinality:
      for (const json* one : all) {
        DistinctCountSketch d;
        if (!DistinctCountSketch::parse_hex((*one)["sketch"].get_ref<const std::string&>(), d))
          return ApiError{502, "illegal_state_exception", "[" + a.name + "]: a sketch that can't be read"};
        distinct.merge(d);
      }
      return json{{"value", static_cast<std::uint64_t>(std::llround(distinct.estimate()))}};
  }
  return json();
}

}  // namespace

Parsed<MergedResult> merge(const Search& s, const std::vector<MergeInput>& parts, bool all_in) {
  MergedResult out;
  struct Head {
    MergedResult::RankedHit place;
    const ShardAnswer* of;
    std::size_t next;
  };
  std::vector<Head> heads;
  out.total_exact = all_in;
  for (const MergeInput& p : parts) {
    out.total += p.answer->total;
    out.total_exact = out.total_exact && p.answer->total_exact;
    if (!p.answer->hits.empty()) heads.push_back({{p.shard, &p.answer->hits[0]}, p.answer, 1});
  }
  const auto worse = [&](const Head& a, const Head& b) { return before(s, b.place, a.place); };
  std::make_heap(heads.begin(), heads.end(), worse);
  for (std::size_t n = 0; !heads.empty() && n < s.window(); ++n) {
    std::pop_heap(heads.begin(), heads.end(), worse);
    Head& best = heads.back();
    if (n == 0 && s.sort.empty()) out.max_score = best.place.hit->score;
    if (n >= s.from) out.page.push_back(best.place);
    if (best.next < best.of->hits.size()) {
      best.place.hit = &best.of->hits[best.next++];
      std::push_heap(heads.begin(), heads.end(), worse);
    } else {
      heads.pop_back();
    }
  }
  if (!s.tracks_exact_total && out.total > s.max_tracked_total)
    out.total = s.max_tracked_total, out.total_exact = false;
  for (const Aggregation& a : s.aggregations) {
    std::vector<const json*> all;
    for (const MergeInput& p : parts) all.push_back(&p.answer->aggregations[a.name]);
    auto merged = merge_aggregation(a, all);
    if (const auto* f = std::get_if<ApiError>(&merged)) return *f;
    out.aggregations[a.name] = std::move(std::get<json>(merged));
  }
  return out;
}

std::vector<MergedResult::RankedHit> merge_by_sorting(const Search& s, const std::vector<MergeInput>& parts) {
  std::vector<MergedResult::RankedHit> all;
  for (const MergeInput& p : parts)
    for (const Hit& h : p.answer->hits) all.push_back({p.shard, &h});
  std::sort(all.begin(), all.end(), [&](const auto& a, const auto& b) { return before(s, a, b); });
  const std::size_t from = std::min(s.from, all.size()), to = std::min(s.window(), all.size());
  return {all.begin() + static_cast<std::ptrdiff_t>(from), all.begin() + static_cast<std::ptrdiff_t>(to)};
}

}  // namespace cairnhub::opensearch
