#include "stand_ins/search_data.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "opensearch/sketch.h"

namespace cairnhub::stand_ins {

Documents::Documents(std::uint32_t seed, int blocks, int a_block)
    : blocks_(static_cast<std::size_t>(blocks)) {
  std::mt19937 rng(seed);
  for (int b = 0; b < blocks; ++b)
    for (int i = 0; i < a_block; ++i) {
      json d{{"_id", "s" + std::to_string(b) + "-" + std::to_string(i)}};
      d["market"] = "M" + std::to_string(rng() % 12);
      d["levy"] = static_cast<double>(rng() % 800) / 4;
      d["size"] = rng() % 9;
      d["open"] = rng() % 3 > 0;
      if (rng() % 5 > 0) d["owner"] = "o" + std::to_string(rng() % 60);
      blocks_[static_cast<std::size_t>(b)].push_back(std::move(d));
    }
}

namespace {

const json* field(const json& doc, const std::string& name) {
  const auto it = doc.find(name);
  return it == doc.end() ? nullptr : &*it;
}
bool same(const json& a, const json& b) {
  return a.is_number() && b.is_number() ? a.get<double>() == b.get<double>() : a == b;
}
int compare(const json& a, const json& b) {
  if (a.is_number() && b.is_number())
    return a.get<double>() < b.get<double>() ? -1 : a.get<double>() > b.get<double>();
  return a < b ? -1 : b < a;
}
bool in_range(const json& v, const json& bounds) {
  for (const auto& [key, bound] : bounds.items()) {
    if (key == "boost") continue;
    if (v.is_string() != bound.is_string()) return false;
    const int c = compare(v, bound);
    if (key == "gt" ? c <= 0 : key == "gte" ? c < 0 : key == "lt" ? c >= 0 : c > 0) return false;
  }
  return true;
}
std::vector<const json*> clauses(const json& body, const char* name) {
  const auto it = body.find(name);
  if (it == body.end()) return {};
  if (!it->is_array()) return {&*it};
  std::vector<const json*> all;
  for (const json& one : *it) all.push_back(&one);
  return all;
}
json sort_values(const json& sort, const json& doc, double score) {
  json out = json::array();
  for (const json& k : sort) {
    const std::string name = k.is_string() ? k.get<std::string>() : k.begin().key();
    const json* v = field(doc, name);
    out.push_back(name == "_score" ? json(score) : v ? *v : json(nullptr));
  }
  return out;
}
struct Order {
  bool descending = false, missing_first = false;
};
Order order(const json& k) {
  Order o;
  const std::string name = k.is_string() ? k.get<std::string>() : k.begin().key();
  o.descending = name == "_score";
  if (k.is_object()) {
    const json& how = k.begin().value();
    if (how.is_string()) o.descending = how == "desc";
    if (how.is_object() && how.contains("order")) o.descending = how["order"] == "desc";
    if (how.is_object() && how.contains("missing")) o.missing_first = how["missing"] == "_first";
  }
  return o;
}
int compare_sorts(const json& sort, const json& a, const json& b) {
  for (std::size_t i = 0; i < sort.size(); ++i) {
    const Order o = order(sort[i]);
    if (a[i].is_null() || b[i].is_null()) {
      if (a[i].is_null() && b[i].is_null()) continue;
      return a[i].is_null() == o.missing_first ? -1 : 1;
    }
    if (const int c = compare(a[i], b[i])) return o.descending ? -c : c;
  }
  return 0;
}

}  // namespace

double score(const json& query, const json& doc) {
  const std::string kind = query.begin().key();
  const json& body = query.begin().value();
  if (kind == "match_all") return body.value("boost", 1.0);
  if (kind == "exists") return field(doc, body["field"]) ? body.value("boost", 1.0) : -1;
  if (kind == "ids") {
    for (const json& v : body["values"])
      if (v == doc["_id"]) return body.value("boost", 1.0);
    return -1;
  }
  if (kind == "bool") {
    double sum = 0;
    for (const json* c : clauses(body, "must")) {
      const double s = score(*c, doc);
      if (s < 0) return -1;
      sum += s;
    }
    for (const json* c : clauses(body, "filter"))
      if (score(*c, doc) < 0) return -1;
    for (const json* c : clauses(body, "must_not"))
      if (score(*c, doc) >= 0) return -1;
    const auto should = clauses(body, "should");
    std::size_t matched = 0;
    for (const json* c : should)
      if (const double s = score(*c, doc); s >= 0) ++matched, sum += s;
    const bool alone = clauses(body, "must").empty() && clauses(body, "filter").empty();
    const std::size_t least =
        body.value("minimum_should_match", std::size_t{alone && !should.empty() ? 1u : 0u});
    return matched < least ? -1 : sum * body.value("boost", 1.0);
  }
  std::string name;
  json what;
  double boost = 1;
  for (const auto& [key, v] : body.items())
    if (key == "boost")
      boost = v;
    else
      name = key, what = v;
  const json* v = field(doc, name);
  if (!v) return -1;
  if (kind == "terms") {
    for (const json& one : what)
      if (same(*v, one)) return boost;
    return -1;
  }
  if (kind == "range") return in_range(*v, what) ? what.value("boost", 1.0) : -1;
  if (what.is_object()) boost = what.value("boost", 1.0), what = json(what["value"]);
  if (kind == "term") return same(*v, what) ? boost : -1;
  return v->is_string() && v->get<std::string>().rfind(what.get<std::string>(), 0) == 0 ? boost
                                                                                        : -1;  // prefix
}

std::vector<Found> find(const Documents& data, const std::vector<int>& blocks, const json& search) {
  std::vector<Found> all;
  const json query = search.value("query", json{{"match_all", json::object()}});
  const json sort = !search.contains("sort")    ? json()
                    : search["sort"].is_array() ? search["sort"]
                                                : json::array({search["sort"]});
  for (const int b : blocks)
    for (const json& d : data.block(b)) {
      const double s = score(query, d);
      if (s < 0) continue;
      Found f{b, d["_id"], s, sort.is_null() ? json() : sort_values(sort, d, s), &d};
      if (search.contains("search_after") && compare_sorts(sort, search["search_after"], f.sort) >= 0)
        continue;
      all.push_back(std::move(f));
    }
  std::sort(all.begin(), all.end(), [&](const Found& x, const Found& y) {
    if (sort.is_null()) {
      if (x.score != y.score) return x.score > y.score;
    } else if (const int c = compare_sorts(sort, x.sort, y.sort)) {
      return c < 0;
    }
    return x.block != y.block ? x.block < y.block : x.id < y.id;
  });
  return all;
}

json aggregate(const json& aggs, const std::vector<const json*>& docs) {
  json out = json::object();
  for (const auto& [name, a] : aggs.items()) {
    const std::string kind = a.begin().key();
    const json& how = a.begin().value();
    std::map<json, std::uint64_t> counts;
    std::vector<double> numbers;
    opensearch::DistinctCountSketch distinct;
    std::uint64_t n = 0;
    for (const json* d : docs)
      if (const json* v = field(*d, how["field"])) {
        ++n, ++counts[*v], distinct.add(v->dump());
        if (v->is_number()) numbers.push_back(v->get<double>());
      }
    json& one = out[name];
    double sum = 0;
    for (const double x : numbers) sum += x;
    if (kind == "terms") {
      std::vector<std::pair<json, std::uint64_t>> order(counts.begin(), counts.end());
      std::stable_sort(order.begin(), order.end(), [](auto& x, auto& y) { return x.second > y.second; });
      const std::size_t size = how.value("size", std::size_t{10});
      std::uint64_t other = 0;
      json buckets = json::array();
      for (std::size_t i = 0; i < order.size(); ++i)
        if (i < size)
          buckets.push_back({{"key", order[i].first}, {"doc_count", order[i].second}});
        else
          other += order[i].second;
      one = {{"doc_count_error_upper_bound", 0}, {"sum_other_doc_count", other}, {"buckets", buckets}};
    } else if (kind == "histogram") {
      std::map<double, std::uint64_t> bars;
      const double step = how["interval"];
      for (const double x : numbers) ++bars[std::floor(x / step) * step];
      json buckets = json::array();
      for (const auto& [key, c] : bars) buckets.push_back({{"key", key}, {"doc_count", c}});
      one = {{"buckets", buckets}};
    } else if (kind == "cardinality") {
      one = {{"value", counts.size()}, {"sketch", distinct.to_hex()}};
    } else if (kind == "value_count") {
      one = {{"value", n}};
    } else if (kind == "stats") {
      one = {{"count", numbers.size()}, {"sum", sum}};
    } else if (kind == "sum") {
      one = {{"value", sum}};
    } else if (numbers.empty()) {
      one = {{"value", nullptr}};
    } else if (kind == "avg") {
      one = {{"value", sum / static_cast<double>(numbers.size())}};
    } else {
      const auto [least, most] = std::minmax_element(numbers.begin(), numbers.end());
      one = {{"value", kind == "min" ? *least : *most}};
    }
  }
  return out;
}

std::string block_answer(const Documents& data, const std::string& index, int block, const json& search) {
  json whole = search;
  whole.erase("search_after");
  const auto matching = find(data, {block}, whole);
  const auto found = search.contains("search_after") ? find(data, {block}, search) : matching;
  json hits = json::array();
  const std::size_t size = search.value("size", std::size_t{10});
  for (std::size_t i = 0; i < std::min(size, found.size()); ++i) {
    const Found& f = found[i];
    json source = *f.doc;
    source.erase("_id");
    json h{{"_index", index}, {"_shard", "[" + index + "][" + std::to_string(block) + "]"}, {"_id", f.id}};
    h["_score"] = f.sort.is_null() ? json(f.score) : json(nullptr);
    if (search.value("_source", json(true)) != false) h["_source"] = source;
    if (!f.sort.is_null()) h["sort"] = f.sort;
    hits.push_back(std::move(h));
  }
  json out{{"took", 1}, {"timed_out", false}};
  out["_shard"] = "[" + index + "][" + std::to_string(block) + "]";
  out["_shards"] = {{"total", 1}, {"successful", 1}, {"skipped", 0}, {"failed", 0}};
  out["hits"] = {
      {"total", {{"value", matching.size()}, {"relation", "eq"}}},
      {"max_score", !found.empty() && found[0].sort.is_null() ? json(found[0].score) : json(nullptr)},
      {"hits", std::move(hits)}};
  if (search.contains("search_after")) out["hits"]["remaining"] = found.size();
  if (search.contains("aggs")) {
    std::vector<const json*> docs;
    for (const Found& f : matching) docs.push_back(f.doc);
    out["aggregations"] = aggregate(search["aggs"], docs);
  }
  return out.dump();
}

}  // namespace cairnhub::stand_ins
