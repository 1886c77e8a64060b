#include "opensearch/answer.h"

#include <cmath>
#include <set>

#include "opensearch/sketch.h"

namespace cairnhub::opensearch {

namespace {

constexpr std::size_t kMaxHistogramBuckets = 100000;  // in the answer of one shard

// Finds the text of the values within JSON that is known to be well-formed.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view text) : text_(text) {}
  // Moves to the value of the member `key` of the object at the current position. Returns false if no key is
  // written exactly so.
  bool enter_member(std::string_view key) {
    skip_space();
    if (current() != '{') return false;
    ++position_;
    skip_space();
    while (current() != '}') {
      const std::string_view name = next_value();
      skip_space();
      ++position_;  // the colon
      skip_space();
      if (name.size() == key.size() + 2 && name.substr(1, key.size()) == key) return true;
      next_value();
      skip_space();
      if (current() == ',') {
        ++position_;
        skip_space();
      }
    }
    return false;
  }
  // Returns the text of each element of the array at the current position.
  std::vector<std::string_view> elements() {
    std::vector<std::string_view> texts;
    skip_space();
    if (current() != '[') return texts;
    ++position_;
    skip_space();
    while (current() != ']') {
      texts.push_back(next_value());
      skip_space();
      if (current() == ',') {
        ++position_;
        skip_space();
      }
    }
    return texts;
  }

 private:
  char current() const { return position_ < text_.size() ? text_[position_] : '\0'; }
  void skip_space() {
    while (position_ < text_.size() &&
           (current() == ' ' || current() == '\t' || current() == '\n' || current() == '\r')) {
      ++position_;
    }
  }
  std::string_view next_value() {
    const std::size_t begin = position_;
    int depth = 0;
    do {
      const char c = current();
      if (c == '"') {
        for (++position_; current() != '"'; ++position_) {
          if (current() == '\\') ++position_;
        }
        ++position_;
      } else if (c == '{' || c == '[') {
        ++depth;
        ++position_;
      } else if (c == '}' || c == ']') {
        --depth;
        ++position_;
      } else if (depth > 0) {
        ++position_;
      } else {  // a number or a literal
        while (position_ < text_.size() &&
               std::string_view(",]} \t\r\n").find(current()) == std::string_view::npos) {
          ++position_;
        }
      }
    } while (depth > 0);
    return text_.substr(begin, position_ - begin);
  }
  std::string_view text_;
  std::size_t position_ = 0;
};

// Returns null if `object` is no object or has no such member.
const json* find_member(const json& object, const char* name) {
  const auto it = object.is_object() ? object.find(name) : object.end();
  return object.is_object() && it != object.end() ? &*it : nullptr;
}
bool parse_count(const json* value, std::uint64_t& into) {
  if (!value || !value->is_number_unsigned()) return false;
  into = value->get<std::uint64_t>();
  return true;
}

// Sorts numbers before strings, and null (a missing value) first or last as the sort key says.
int compare_values(const json& a, const json& b, const SortKey& key) {
  if (a.is_null() || b.is_null()) {
    if (a.is_null() && b.is_null()) return 0;
    return a.is_null() == key.puts_missing_first ? -1 : 1;
  }
  int order = 0;
  if (a.is_string() != b.is_string()) {
    order = a.is_string() ? 1 : -1;
  } else if (a.is_string()) {
    order = a.get_ref<const std::string&>().compare(b.get_ref<const std::string&>());
  } else if (a.is_number_integer() && b.is_number_integer()) {
    // Compared as integers, since a double has only 53 bits.
    order = a < b ? -1 : b < a ? 1 : 0;
  } else {
    const double x = a.is_boolean() ? a.get<bool>() : a.get<double>();
    const double y = b.is_boolean() ? b.get<bool>() : b.get<double>();
    order = x < y ? -1 : x > y ? 1 : 0;
  }
  return key.is_descending ? -order : order;
}

const char* parse_hit(const json& value, std::string_view raw, const Search& search, const std::string& index,
                      int shard, Hit& into) {
  const json* hit_index = find_member(value, "_index");
  const json* id = find_member(value, "_id");
  const json* score = find_member(value, "_score");
  const json* hit_shard = find_member(value, "_shard");
  const json* sort = find_member(value, "sort");
  if (!hit_index || *hit_index != index) return "a hit of another index";
  if (!hit_shard || *hit_shard != "[" + index + "][" + std::to_string(shard) + "]") {
    return "a hit of a block that was not asked";
  }
  if (!id || !id->is_string() || id->get_ref<const std::string&>().empty()) return "a hit has no id";
  into.raw = raw;
  into.id = id->get<std::string>();
  if (!score || !(score->is_number() || score->is_null())) return "a hit's score is not a number";
  into.score = score->is_number() ? score->get<double>() : 0;
  if (search.sort.empty()) return sort ? "sort values that were not asked for" : nullptr;
  if (!sort || !sort->is_array() || sort->size() != search.sort.size()) {
    return "a hit without its sort values";
  }
  for (const json& sort_value : *sort) {
    if (sort_value.is_structured()) return "a sort value that can't be sorted by";
  }
  into.sort = *sort;
  return nullptr;
}

bool is_number_or_null(const json* value) { return value && (value->is_number() || value->is_null()); }

const char* check_buckets(const json& result, bool keys_are_numbers, std::size_t max_buckets) {
  const json* buckets = find_member(result, "buckets");
  if (!buckets || !buckets->is_array()) return "an aggregation without its buckets";
  if (buckets->size() > max_buckets) return "more buckets than asked for";
  std::set<std::string> keys;
  for (const json& bucket : *buckets) {
    const json* key = find_member(bucket, "key");
    std::uint64_t count = 0;
    if (!key || !(key->is_number() || (!keys_are_numbers && (key->is_string() || key->is_boolean())))) {
      return "a bucket has no key";
    }
    if (!parse_count(find_member(bucket, "doc_count"), count)) return "a bucket has no count";
    if (!keys.insert(key->dump()).second) return "a bucket twice";
  }
  return nullptr;
}

const char* check_aggregation(const Aggregation& aggregation, const json& result) {
  using Kind = Aggregation::Kind;
  std::uint64_t count = 0;
  switch (aggregation.kind) {
    case Kind::kTerms: {
      if (!parse_count(find_member(result, "doc_count_error_upper_bound"), count) ||
          !parse_count(find_member(result, "sum_other_doc_count"), count)) {
        return "a terms aggregation without its bounds";
      }
      if (const char* error = check_buckets(result, false, aggregation.shard_size)) return error;
      std::uint64_t previous_count = UINT64_MAX;
      for (const json& bucket : result["buckets"]) {
        const auto bucket_count = bucket["doc_count"].get<std::uint64_t>();
        if (bucket_count > previous_count) return "buckets out of order";
        previous_count = bucket_count;
      }
      // `count` is sum_other_doc_count. Terms omitted from a list that isn't full have no error bound.
      return count > 0 && result["buckets"].size() < aggregation.shard_size
                 ? "terms are left out though there is room"
                 : nullptr;
    }
    case Kind::kHistogram:
      return check_buckets(result, true, kMaxHistogramBuckets);
    case Kind::kValueCount:
      return parse_count(find_member(result, "value"), count) ? nullptr : "an aggregation without its value";
    case Kind::kAvg:  // requested as stats, since an average of averages would be wrong
      return parse_count(find_member(result, "count"), count) && is_number_or_null(find_member(result, "sum"))
                 ? nullptr
                 : "an aggregation without its value";
    case Kind::kCardinality: {
      const json* sketch_text = find_member(result, "sketch");
      DistinctCountSketch sketch;
      return sketch_text && sketch_text->is_string() &&
                     DistinctCountSketch::parse_hex(sketch_text->get_ref<const std::string&>(), sketch)
                 ? nullptr
                 : "a cardinality without its sketch";
    }
    default:
      return is_number_or_null(find_member(result, "value")) ? nullptr : "an aggregation without its value";
  }
}

}  // namespace

std::size_t ShardAnswer::memory_bytes() const {
  std::size_t total_bytes = bytes.capacity() + hits.capacity() * sizeof(Hit);
  for (const Hit& hit : hits) total_bytes += hit.id.capacity() + opensearch::memory_bytes(hit.sort);
  return total_bytes + opensearch::memory_bytes(aggregations);
}

int compare_hits(const Search& search, const Hit& a, const Hit& b) {
  if (search.sort.empty()) return a.score > b.score ? -1 : a.score < b.score ? 1 : 0;
  for (std::size_t i = 0; i < search.sort.size(); ++i) {
    if (const int order = compare_values(a.sort[i], b.sort[i], search.sort[i])) return order;
  }
  return 0;
}

const char* parse_shard_answer(std::string_view value, const Search& search, const std::string& index,
                               int shard, ShardAnswer& into) {
  into.bytes = value;
  json answer;
  if (const char* error = parse_json(into.bytes, answer)) return error;
  if (!answer.is_object()) return "not an object";
  const json* timed_out = find_member(answer, "timed_out");
  const json* shards = find_member(answer, "_shards");
  const json* hits = find_member(answer, "hits");
  if (!timed_out || !timed_out->is_boolean()) return "timed_out is missing";
  if (timed_out->get<bool>()) return "timed out at the host";
  // Without this check, the total of another shard would be taken if the answer has no hits.
  const json* answer_shard = find_member(answer, "_shard");
  if (!answer_shard || *answer_shard != "[" + index + "][" + std::to_string(shard) + "]") {
    return "an answer for a block that was not asked";
  }
  std::uint64_t total = 0;
  std::uint64_t successful = 0;
  std::uint64_t failed = 0;
  std::uint64_t skipped = 0;
  if (!shards || !parse_count(find_member(*shards, "total"), total) ||
      !parse_count(find_member(*shards, "successful"), successful) ||
      !parse_count(find_member(*shards, "failed"), failed)) {
    return "_shards is missing or no counts";
  }
  if (const json* skipped_value = find_member(*shards, "skipped");
      skipped_value && !parse_count(skipped_value, skipped)) {
    return "_shards is missing or no counts";
  }
  if (failed > 0) return "the host says that its shard failed";
  if (total != 1 || successful != 1 || skipped > 0) return "_shards doesn't add up to the one block asked";
  if (!hits || !hits->is_object()) return "hits are missing";

  const json* hit_list = find_member(*hits, "hits");
  if (!hit_list || !hit_list->is_array()) return "hits are missing";
  if (search.tracks_total) {
    const json* hits_total = find_member(*hits, "total");
    const json* relation = hits_total ? find_member(*hits_total, "relation") : nullptr;
    if (!hits_total || !parse_count(find_member(*hits_total, "value"), into.total) || !relation ||
        (*relation != "eq" && *relation != "gte")) {
      return "hits.total is missing";
    }
    into.is_total_exact = *relation == "eq";
  } else {
    into.is_total_exact = false;
  }
  const std::size_t hit_count = hit_list->size();
  if (hit_count > search.window()) return "more hits than asked for";
  if (search.tracks_total && into.total < hit_count) return "more hits than its total";
  // Detects omitted hits. With search_after the total doesn't tell how many hits remain, so that endpoints
  // state `remaining`.
  std::uint64_t remaining = into.total;
  if (!search.search_after.is_null() && !parse_count(find_member(*hits, "remaining"), remaining)) {
    return "hits.remaining is missing";
  }
  const bool is_remaining_known =
      !search.search_after.is_null() || (search.tracks_total && into.is_total_exact);
  if (is_remaining_known && search.terminate_after == 0 &&
      hit_count != std::min<std::uint64_t>(search.window(), remaining)) {
    return "hits are left out";
  }
  JsonScanner scanner(into.bytes);
  if (!scanner.enter_member("hits") || !scanner.enter_member("hits")) return "hits are missing";
  const auto raw_hits = scanner.elements();
  if (raw_hits.size() != hit_count) return "hits can't be taken apart";
  std::set<std::string> ids;
  Hit search_after;
  if (!search.search_after.is_null()) search_after.sort = search.search_after;
  into.hits.resize(hit_count);
  for (std::size_t i = 0; i < hit_count; ++i) {
    if (const char* error = parse_hit((*hit_list)[i], raw_hits[i], search, index, shard, into.hits[i])) {
      return error;
    }
    if (!ids.insert(into.hits[i].id).second) return "a hit twice";
    if (i > 0) {
      const int order = compare_hits(search, into.hits[i - 1], into.hits[i]);
      if (order > 0 || (order == 0 && into.hits[i - 1].id > into.hits[i].id)) return "hits out of order";
    }
    if (!search.search_after.is_null() && compare_hits(search, search_after, into.hits[i]) >= 0) {
      return "a hit from before the page";
    }
  }
  const json* aggregations = find_member(answer, "aggregations");
  for (const Aggregation& aggregation : search.aggregations) {
    const json* result = aggregations ? find_member(*aggregations, aggregation.name.c_str()) : nullptr;
    if (!result) return "an aggregation is missing";
    if (const char* error = check_aggregation(aggregation, *result)) return error;
  }
  if (aggregations) {
    if (aggregations->size() != search.aggregations.size()) return "aggregations that were not asked for";
    into.aggregations = *aggregations;
  }
  return nullptr;
}

}  // namespace cairnhub::opensearch
