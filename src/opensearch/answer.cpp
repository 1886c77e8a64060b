#include "opensearch/answer.h"

#include <cmath>
#include <set>

#include "opensearch/sketch.h"

namespace cairnhub::opensearch {

namespace {

// Walks text that is known to be well-formed JSON.
class Walker {
 public:
  explicit Walker(std::string_view text) : text_(text) {}
  // Steps into an object's member; false where it has none of that name written so.
  bool into(std::string_view key) {
    space();
    if (at() != '{') return false;
    ++pos_, space();
    while (at() != '}') {
      const std::string_view name = value();
      space(), ++pos_, space();  // the colon
      if (name.size() == key.size() + 2 && name.substr(1, key.size()) == key) return true;
      value(), space();
      if (at() == ',') ++pos_, space();
    }
    return false;
  }
  std::vector<std::string_view> items() {
    std::vector<std::string_view> all;
    space();
    if (at() != '[') return all;
    ++pos_, space();
    while (at() != ']') {
      all.push_back(value()), space();
      if (at() == ',') ++pos_, space();
    }
    return all;
  }

 private:
  char at() const { return pos_ < text_.size() ? text_[pos_] : '\0'; }
  void space() {
    while (pos_ < text_.size() && (at() == ' ' || at() == '\t' || at() == '\n' || at() == '\r')) ++pos_;
  }
  std::string_view value() {
    const std::size_t from = pos_;
    int depth = 0;
    do {
      const char c = at();
      if (c == '"') {
        for (++pos_; at() != '"'; ++pos_)
          if (at() == '\\') ++pos_;
        ++pos_;
      } else if (c == '{' || c == '[') {
        ++depth, ++pos_;
      } else if (c == '}' || c == ']') {
        --depth, ++pos_;
      } else if (depth > 0) {
        ++pos_;
      } else {  // a number or a word
        while (pos_ < text_.size() && std::string_view(",]} \t\r\n").find(at()) == std::string_view::npos)
          ++pos_;
      }
    } while (depth > 0);
    return text_.substr(from, pos_ - from);
  }
  std::string_view text_;
  std::size_t pos_ = 0;
};

const json* member(const json& in, const char* name) {
  const auto it = in.is_object() ? in.find(name) : in.end();
  return in.is_object() && it != in.end() ? &*it : nullptr;
}
bool count(const json* v, std::uint64_t& into) {
  if (!v || !v->is_number_unsigned()) return false;
  into = v->get<std::uint64_t>();
  return true;
}

// Numbers before texts; what is missing stands where the key says.
int compare_values(const json& a, const json& b, const SortKey& k) {
  if (a.is_null() || b.is_null()) {
    if (a.is_null() && b.is_null()) return 0;
    return a.is_null() == k.puts_missing_first ? -1 : 1;
  }
  int c = 0;
  if (a.is_string() != b.is_string()) {
    c = a.is_string() ? 1 : -1;
  } else if (a.is_string()) {
    c = a.get_ref<const std::string&>().compare(b.get_ref<const std::string&>());
  } else if (a.is_number_integer() &&
             b.is_number_integer()) {  // whole numbers past a double's 53 bits differ too
    c = a < b ? -1 : b < a ? 1 : 0;
  } else {
    const double x = a.is_boolean() ? a.get<bool>() : a.get<double>(),
                 y = b.is_boolean() ? b.get<bool>() : b.get<double>();
    c = x < y ? -1 : x > y ? 1 : 0;
  }
  return k.descending ? -c : c;
}

const char* read_hit(const json& h, std::string_view raw, const Search& s, const std::string& index,
                     int block, Hit& into) {
  const json *of = member(h, "_index"), *id = member(h, "_id"), *score = member(h, "_score"),
             *shard = member(h, "_shard"), *sort = member(h, "sort");
  if (!of || *of != index) return "a hit of another index";
  if (!shard || *shard != "[" + index + "][" + std::to_string(block) + "]")
    return "a hit of a block that was not asked";
  if (!id || !id->is_string() || id->get_ref<const std::string&>().empty()) return "a hit has no id";
  into.raw = raw, into.id = id->get<std::string>();
  if (!score || !(score->is_number() || score->is_null())) return "a hit's score is not a number";
  into.score = score->is_number() ? score->get<double>() : 0;
  if (s.sort.empty()) return sort ? "sort values that were not asked for" : nullptr;
  if (!sort || !sort->is_array() || sort->size() != s.sort.size()) return "a hit without its sort values";
  for (const json& v : *sort)
    if (v.is_structured()) return "a sort value that can't be sorted by";
  into.sort = *sort;
  return nullptr;
}

bool number_or_null(const json* v) { return v && (v->is_number() || v->is_null()); }

const char* check_buckets(const json& agg, bool numbers, std::size_t most) {
  const json* buckets = member(agg, "buckets");
  if (!buckets || !buckets->is_array()) return "an aggregation without its buckets";
  if (buckets->size() > most) return "more buckets than asked for";
  std::set<std::string> keys;
  for (const json& b : *buckets) {
    const json* key = member(b, "key");
    std::uint64_t n = 0;
    if (!key || !(key->is_number() || (!numbers && (key->is_string() || key->is_boolean()))))
      return "a bucket has no key";
    if (!count(member(b, "doc_count"), n)) return "a bucket has no count";
    if (!keys.insert(key->dump()).second) return "a bucket twice";
  }
  return nullptr;
}

const char* check_aggregation(const Aggregation& a, const json& agg) {
  using Kind = Aggregation::Kind;
  std::uint64_t n = 0;
  switch (a.kind) {
    case Kind::kTerms: {
      if (!count(member(agg, "doc_count_error_upper_bound"), n) ||
          !count(member(agg, "sum_other_doc_count"), n))
        return "a terms aggregation without its bounds";
      if (const char* wrong = check_buckets(agg, false, a.shard_size)) return wrong;
      std::uint64_t last = UINT64_MAX;
      for (const json& b : agg["buckets"]) {
        const auto c = b["doc_count"].get<std::uint64_t>();
        if (c > last) return "buckets out of order";
        last = c;
      }
      // Danger: terms left out that no bound tells of.
      return n > 0 && agg["buckets"].size() < a.shard_size ? "terms are left out though there is room"
                                                           : nullptr;
    }
    case Kind::kHistogram:
      return check_buckets(agg, true, 100000);
    case Kind::kValueCount:
      return count(member(agg, "value"), n) ? nullptr : "an aggregation without its value";
    case Kind::kAvg:  // asked as stats: a mean of means would be wrong
      return count(member(agg, "count"), n) && number_or_null(member(agg, "sum"))
                 ? nullptr
                 : "an aggregation without its value";
    case Kind::kCardinality: {
      const json* sketch = member(agg, "sketch");
      DistinctCountSketch d;
      return sketch && sketch->is_string() &&
                     DistinctCountSketch::parse_hex(sketch->get_ref<const std::string&>(), d)
                 ? nullptr
                 : "a cardinality without its sketch";
    }
    default:
      return number_or_null(member(agg, "value")) ? nullptr : "an aggregation without its value";
  }
}

}  // namespace

int compare_hits(const Search& s, const Hit& a, const Hit& b) {
  if (s.sort.empty()) return a.score > b.score ? -1 : a.score < b.score ? 1 : 0;
  for (std::size_t i = 0; i < s.sort.size(); ++i)
    if (const int c = compare_values(a.sort[i], b.sort[i], s.sort[i])) return c;
  return 0;
}

const char* parse_shard_answer(std::string_view value, const Search& s, const std::string& index, int block,
                               ShardAnswer& into) {
  into.bytes = value;
  json all;
  if (const char* wrong = parse_json(into.bytes, all)) return wrong;
  if (!all.is_object()) return "not an object";
  const json *late = member(all, "timed_out"), *shards = member(all, "_shards"), *hits = member(all, "hits");
  if (!late || !late->is_boolean()) return "timed_out is missing";
  if (late->get<bool>()) return "timed out at the host";
  // Danger: the counts of another block, where no hit would tell.
  const json* of = member(all, "_shard");
  if (!of || *of != "[" + index + "][" + std::to_string(block) + "]")
    return "an answer for a block that was not asked";
  std::uint64_t total = 0, successful = 0, failed = 0, skipped = 0;
  if (!shards || !count(member(*shards, "total"), total) ||
      !count(member(*shards, "successful"), successful) || !count(member(*shards, "failed"), failed))
    return "_shards is missing or no counts";
  if (const json* sk = member(*shards, "skipped"); sk && !count(sk, skipped))
    return "_shards is missing or no counts";
  if (failed > 0) return "the host says that its shard failed";
  if (total != 1 || successful != 1 || skipped > 0) return "_shards doesn't add up to the one block asked";
  if (!hits || !hits->is_object()) return "hits are missing";

  const json* list = member(*hits, "hits");
  if (!list || !list->is_array()) return "hits are missing";
  if (s.tracks_total) {
    const json *t = member(*hits, "total"), *relation = t ? member(*t, "relation") : nullptr;
    if (!t || !count(member(*t, "value"), into.total) || !relation ||
        (*relation != "eq" && *relation != "gte"))
      return "hits.total is missing";
    into.total_exact = *relation == "eq";
  } else {
    into.total_exact = false;
  }
  const std::size_t n = list->size();
  if (n > s.window()) return "more hits than asked for";
  if (s.tracks_total && into.total < n) return "more hits than its total";
  // Danger: hits left out that nothing tells of. After a search_after the total doesn't say how many are
  // left, so that hosts say it themselves.
  std::uint64_t left = into.total;
  if (!s.search_after.is_null() && !count(member(*hits, "remaining"), left))
    return "hits.remaining is missing";
  const bool known = !s.search_after.is_null() || (s.tracks_total && into.total_exact);
  if (known && s.terminate_after == 0 && n != std::min<std::uint64_t>(s.window(), left))
    return "hits are left out";
  Walker walker(into.bytes);
  if (!walker.into("hits") || !walker.into("hits")) return "hits are missing";
  const auto raw = walker.items();
  if (raw.size() != n) return "hits can't be taken apart";
  std::set<std::string> ids;
  Hit after;
  if (!s.search_after.is_null()) after.sort = s.search_after;
  into.hits.resize(n);
  for (std::size_t i = 0; i < n; ++i) {
    if (const char* wrong = read_hit((*list)[i], raw[i], s, index, block, into.hits[i])) return wrong;
    if (!ids.insert(into.hits[i].id).second) return "a hit twice";
    if (i > 0) {
      const int c = compare_hits(s, into.hits[i - 1], into.hits[i]);
      if (c > 0 || (c == 0 && into.hits[i - 1].id > into.hits[i].id)) return "hits out of order";
    }
    if (!s.search_after.is_null() && compare_hits(s, after, into.hits[i]) >= 0)
      return "a hit from before the page";
  }
  const json* aggs = member(all, "aggregations");
  for (const Aggregation& a : s.aggregations) {
    const json* one = aggs ? member(*aggs, a.name.c_str()) : nullptr;
    if (!one) return "an aggregation is missing";
    if (const char* wrong = check_aggregation(a, *one)) return wrong;
  }
  if (aggs) {
    if (aggs->size() != s.aggregations.size()) return "aggregations that were not asked for";
    into.aggregations = *aggs;
  }
  return nullptr;
}

}  // namespace cairnhub::opensearch
