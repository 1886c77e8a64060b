#include "opensearch/request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <set>

namespace cairnhub::opensearch {

namespace {

ApiError parsing(std::string reason) { return {400, "parsing_exception", std::move(reason)}; }
ApiError illegal(std::string reason) { return {400, "illegal_argument_exception", std::move(reason)}; }
std::string bracketed(const std::string& s) { return "[" + s.substr(0, 80) + "]"; }

// A plain value that a field can be compared with.
bool plain(const json& v) { return v.is_string() || v.is_number() || v.is_boolean(); }
bool whole(const json& v, std::uint64_t most) {
  return v.is_number_unsigned() && v.get<std::uint64_t>() <= most;
}

// Members of an object, each known and read by what is given for it.
using Maybe = std::optional<ApiError>;

class Checker {
 public:
  explicit Checker(const Limits& limits) : limits_(limits), clauses_left_(limits.max_clauses) {}

  Maybe query(const json& q, int depth) {
    if (depth > limits_.max_bool_depth)
      return illegal("bool queries nested deeper than " + std::to_string(limits_.max_bool_depth));
    if (clauses_left_-- == 0)
      return ApiError{400, "too_many_clauses",
                      "more than " + std::to_string(limits_.max_clauses) + " clauses"};
    if (!q.is_object() || q.size() != 1) return parsing("a query is an object with one key, its kind");
    const std::string kind = q.begin().key();
    const json& body = q.begin().value();
    if (!body.is_object()) return parsing(bracketed(kind) + " query malformed, an object is needed");
    if (kind == "match_all") return members(body, kind, {"boost"});
    if (kind == "term" || kind == "prefix")
      return on_field(kind, body, "value", [](const json& v) { return plain(v); });
    if (kind == "terms") return terms(body);
    if (kind == "ids") return ids(body);
    if (kind == "exists") return exists(body);
    if (kind == "range") return range(body);
    if (kind == "bool") return boolean(body, depth);
    return parsing("unknown query " + bracketed(kind));
  }

 private:
  Maybe boost(const json& body) {
    const auto b = body.find("boost");
    if (b != body.end() && (!b->is_number() || b->get<double>() < 0))
      return illegal("[boost] is a number from 0 up");
    return {};
  }
  Maybe members(const json& body, const std::string& kind, std::initializer_list<const char*> known) {
    for (const auto& [key, v] : body.items())
      if (std::find_if(known.begin(), known.end(), [&, k = key](const char* n) { return k == n; }) ==
          known.end())
        return parsing(bracketed(kind) + " query does not support " + bracketed(key));
    return boost(body);
  }
  template <class F>
  Maybe on_field(const std::string& kind, const json& body, const char* key, F good) {
    if (body.size() != 1) return parsing(bracketed(kind) + " query is on one field");
    if (body.begin().key().empty()) return illegal("field name is null or empty");
    const json& v = body.begin().value();
    if (good(v)) return {};
    if (!v.is_object() || !v.contains(key) || !good(v[key]))
      return parsing(bracketed(kind) + " query malformed, no value");
    return members(v, kind, {key, "boost"});
  }
  Maybe list(const std::string& kind, const json& v) {
    if (!v.is_array()) return parsing(bracketed(kind) + " query needs a list of values");
    if (v.size() > limits_.max_terms)
      return illegal("the number of terms " + std::to_string(v.size()) +
                     " has exceeded the allowed maximum of " + std::to_string(limits_.max_terms));
    for (const json& one : v)
      if (!plain(one)) return parsing(bracketed(kind) + " query: a value is no text, number or truth value");
    return {};
  }
  Maybe terms(const json& body) {
    int fields = 0;
    for (const auto& [key, v] : body.items()) {
      if (key == "boost") continue;
      if (++fields > 1) return parsing("[terms] query is on one field");
      if (auto f = list("terms", v)) return f;
    }
    if (fields == 0) return parsing("[terms] query requires a field name");
    return boost(body);
  }
  Maybe ids(const json& body) {
    if (!body.contains("values")) return parsing("[ids] requires providing a values key");
    if (auto f = list("ids", body["values"])) return f;
    for (const json& v : body["values"])
      if (!v.is_string()) return parsing("[ids] values are texts");
    return members(body, "ids", {"values", "boost"});
  }
  Maybe exists(const json& body) {
    if (!body.contains("field") || !body["field"].is_string())
      return parsing("[exists] must be provided with a [field]");
    return members(body, "exists", {"field", "boost"});
  }
  Maybe range(const json& body) {
    if (body.size() != 1 || !body.begin().value().is_object())
      return parsing("[range] query is on one field");
    for (const auto& [key, v] : body.begin().value().items()) {
      if (key == "boost") continue;
      if (key != "gt" && key != "gte" && key != "lt" && key != "lte")
        return parsing("[range] query does not support " + bracketed(key));
      if (!v.is_string() && !v.is_number()) return parsing("[range] query: a bound is a number or a text");
    }
    return boost(body.begin().value());
  }
  Maybe boolean(const json& body, int depth) {
    for (const auto& [key, v] : body.items()) {
      if (key == "boost") continue;
      if (key == "minimum_should_match") {
        if (!whole(v, limits_.max_clauses)) return illegal("[minimum_should_match] is a whole number here");
        continue;
      }
      if (key != "must" && key != "should" && key != "filter" && key != "must_not")
        return parsing("[bool] query does not support " + bracketed(key));
      if (v.is_array()) {
        for (const json& clause : v)
          if (auto f = query(clause, depth + 1)) return f;
      } else if (auto f = query(v, depth + 1)) {
        return f;
      }
    }
    return boost(body);
  }

  const Limits& limits_;
  std::size_t clauses_left_;
};

std::optional<Time> time_value(const json& v) {
  if (!v.is_string()) return std::nullopt;
  const std::string t = v.get<std::string>();
  double number = 0;
  const auto [end, error] = std::from_chars(t.data(), t.data() + t.size(), number);
  const std::string unit(end, t.data() + t.size());
  if (error != std::errc{} || !(number > 0) || number > 1e9) return std::nullopt;
  const double ns = unit == "ms" ? 1e6 : unit == "s" ? 1e9 : unit == "m" ? 6e10 : unit == "micros" ? 1e3 : 0;
  if (ns == 0 || number * ns > 1e18) return std::nullopt;
  return static_cast<Time>(number * ns);
}

Maybe sort_key(const json& v, std::vector<SortKey>& into) {
  SortKey k;
  if (v.is_string()) {
    k.field = v.get<std::string>();
    k.descending = k.field == "_score";
  } else if (v.is_object() && v.size() == 1) {
    k.field = v.begin().key();
    k.descending = k.field == "_score";
    const json& how = v.begin().value();
    const auto order = [&](const json& o) {
      if (o != "asc" && o != "desc") return false;
      k.descending = o == "desc";
      return true;
    };
    if (how.is_string()) {
      if (!order(how)) return illegal("unknown sort order, must be [asc] or [desc]");
    } else if (how.is_object()) {
      for (const auto& [key, o] : how.items()) {
        if (key == "order" ? !order(o) : key == "missing" ? (o != "_first" && o != "_last") : true)
          return illegal("[sort] on " + bracketed(k.field) + " does not support " + bracketed(key) + " so");
        if (key == "missing") k.puts_missing_first = o == "_first";
      }
    } else {
      return parsing("[sort] malformed");
    }
  } else {
    return parsing("[sort] malformed");
  }
  if (k.field.empty()) return illegal("[sort] on no field");
  into.push_back(std::move(k));
  return {};
}

Maybe read_sort(const json& v, Search& s) {
  if (!v.is_array()) return sort_key(v, s.sort);
  if (v.size() > 16) return illegal("[sort] on more than 16 fields");
  for (const json& k : v)
    if (auto f = sort_key(k, s.sort)) return f;
  return {};
}

Maybe read_source(const json& v, Search& s) {
  const auto texts = [](const json& l) {
    return l.is_string() ||
           (l.is_array() && std::all_of(l.begin(), l.end(), [](const json& t) { return t.is_string(); }));
  };
  bool good = v.is_boolean() || texts(v);
  if (v.is_object()) {
    good = true;
    for (const auto& [key, l] : v.items())
      good = good && (key == "includes" || key == "excludes") && texts(l);
  }
  if (!good) return parsing("[_source] is a truth value, names, or includes and excludes");
  s.source = v;
  return {};
}

Maybe read_aggregation(const std::string& name, const json& v, const Limits& limits, Search& s) {
  if (name.empty() || name.find_first_of("[]>") != std::string::npos)
    return parsing("invalid aggregation name " + bracketed(name));
  if (!v.is_object() || v.size() != 1 || !v.begin().value().is_object())
    return parsing("aggregation " + bracketed(name) +
                   " needs one kind, and no sub-aggregations are supported");
  Aggregation a;
  a.name = name;
  const std::string kind = v.begin().key();
  static const std::vector<std::pair<const char*, Aggregation::Kind>> kinds = {
      {"terms", Aggregation::Kind::kTerms},
      {"min", Aggregation::Kind::kMin},
      {"max", Aggregation::Kind::kMax},
      {"sum", Aggregation::Kind::kSum},
      {"avg", Aggregation::Kind::kAvg},
      {"value_count", Aggregation::Kind::kValueCount},
      {"histogram", Aggregation::Kind::kHistogram},
      {"cardinality", Aggregation::Kind::kCardinality}};
  const auto known = std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return kind == k.first; });
  if (known == kinds.end()) return parsing("unknown aggregation type " + bracketed(kind));
  a.kind = known->second;
  bool shard_size_said = false;
  for (const auto& [key, p] : v.begin().value().items()) {
    if (key == "field" && p.is_string()) {
      a.field = p.get<std::string>();
    } else if (a.kind == Aggregation::Kind::kTerms && key == "size" && whole(p, limits.max_buckets) &&
               p != 0) {
      a.size = p.get<std::size_t>();
    } else if (a.kind == Aggregation::Kind::kTerms && key == "shard_size" && whole(p, limits.max_buckets) &&
               p != 0) {
      a.shard_size = p.get<std::size_t>(), shard_size_said = true;
    } else if (a.kind == Aggregation::Kind::kHistogram && key == "interval" && p.is_number() &&
               p.get<double>() > 0) {
      a.interval = p.get<double>();
    } else if (a.kind == Aggregation::Kind::kHistogram && key == "min_doc_count" && whole(p, 1000000000)) {
      a.min_doc_count = p.get<std::uint64_t>();
    } else {
      return parsing(bracketed(kind) + " aggregation does not support " + bracketed(key) + " so");
    }
  }
  if (a.field.empty()) return illegal("required one of fields [field], but none were specified");
  if (a.kind == Aggregation::Kind::kHistogram && a.interval == 0)
    return illegal("[interval] must be greater than 0");
  // The API's own rule for how many terms each block names: half as many again, and ten.
  if (!shard_size_said) a.shard_size = std::min(limits.max_buckets, a.size + a.size / 2 + 10);
  a.shard_size = std::max(a.shard_size, a.size);
  s.aggregations.push_back(std::move(a));
  return {};
}

Maybe member(const std::string& key, const json& v, const Limits& limits, Search& s) {
  if (key == "query") {
    if (auto f = check_query(v, limits)) return f;
    s.query = v;
  } else if (key == "size" || key == "from") {
    if (!v.is_number_unsigned()) return illegal("[" + key + "] parameter must be a whole number from 0 up");
    if (v.get<std::uint64_t>() > limits.max_window)
      return illegal("[" + key + "] is past the window of " + std::to_string(limits.max_window));
    (key == "size" ? s.size : s.from) = v.get<std::size_t>();
  } else if (key == "sort") {
    return read_sort(v, s);
  } else if (key == "search_after") {
    if (!v.is_array() || v.empty()) return parsing("[search_after] is a list of sort values");
    for (const json& one : v)
      if (!plain(one) && !one.is_null())
        return parsing("[search_after] holds a value that can't be sorted by");
    s.search_after = v;
  } else if (key == "_source") {
    return read_source(v, s);
  } else if (key == "timeout") {
    if (!(s.timeout = time_value(v)))
      return parsing("failed to parse [timeout]: a number with ms, s or m is needed");
  } else if (key == "terminate_after") {
    if (!whole(v, 1000000000000)) return illegal("terminateAfter must be a whole number from 0 up");
    s.terminate_after = v.get<std::uint64_t>();
  } else if (key == "track_total_hits") {
    if (v.is_boolean()) {
      s.tracks_total = s.tracks_exact_total = v.get<bool>();
    } else if (v.is_number_unsigned()) {
      s.tracks_exact_total = false, s.tracks_total = true, s.max_tracked_total = v.get<std::uint64_t>();
    } else {
      return illegal("[track_total_hits] is a truth value or a whole number");
    }
  } else if (key == "aggs" || key == "aggregations") {
    if (!v.is_object()) return parsing("[aggs] is an object");
    if (v.size() > 64) return illegal("more than 64 aggregations");
    for (const auto& [name, a] : v.items())
      if (auto f = read_aggregation(name, a, limits, s)) return f;
  } else {
    return parsing("unknown key for a search: " + bracketed(key));
  }
  return {};
}

Maybe cross_check(const Search& s, const Limits& limits) {
  if (s.window() > limits.max_window)
    return illegal("result window is too large, from + size must be less than or equal to: [" +
                   std::to_string(limits.max_window) + "] but was [" + std::to_string(s.window()) + "]");
  if (s.search_after.is_null()) return {};
  if (s.from > 0) return illegal("`from` parameter must be set to 0 when `search_after` is used");
  if (s.sort.empty()) return illegal("sort must contain at least one field when using search_after");
  if (s.search_after.size() != s.sort.size())
    return illegal("search_after has " + std::to_string(s.search_after.size()) + " value(s) but sort has " +
                   std::to_string(s.sort.size()));
  return {};
}

Parsed<Search> from_json(const json& body, const Limits& limits) {
  if (!body.is_object()) return parsing("a search is an object");
  Search s;
  for (const auto& [key, v] : body.items())
    if (auto f = member(key, v, limits, s)) return *f;
  if (auto f = cross_check(s, limits)) return *f;
  return s;
}

bool blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

}  // namespace

std::string error_body(const ApiError& f) {
  const json cause{{"type", f.type}, {"reason", f.reason}};
  return json{{"error", {{"root_cause", json::array({cause})}, {"type", f.type}, {"reason", f.reason}}},
              {"status", f.status}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ApiError> check_query(const json& query, const Limits& limits) {
  return Checker(limits).query(query, 0);
}

Parsed<Search> parse_search(std::string_view body, const Limits& limits) {
  if (blank(body)) return Search{};
  json read;
  if (const char* wrong = parse_json(body, read)) return parsing(wrong);
  return from_json(read, limits);
}

std::optional<ApiError> parse_parameter(const std::string& name, const std::string& value, Search& s,
                                        const Limits& limits) {
  if (name == "allow_partial_search_results") {
    if (value != "true" && value != "false" && !value.empty())
      return illegal("[allow_partial_search_results] is true or false");
    s.allows_partial = value != "false";
    return {};
  }
  if (name == "preference" || name == "routing") {
    if (value.empty()) return illegal("[" + name + "] is empty");
    return {};  // the broker's own pick and the whole index serve either
  }
  if (name == "size" || name == "from" || name == "terminate_after" || name == "track_total_hits" ||
      name == "timeout") {
    json v;
    if (name == "timeout" || parse_json(value, v)) v = value;
    if (auto f = member(name, v, limits, s)) return f;
    return cross_check(s, limits);
  }
  return illegal("request contains unrecognized parameter: " + bracketed(name));
}

Parsed<std::vector<MsearchItem>> parse_msearch(std::string_view body, const std::string& index,
                                               const Limits& limits) {
  if (!body.empty() && body.back() != '\n')
    return illegal("The msearch request must be terminated by a newline [\\n]");
  std::vector<MsearchItem> items;
  while (!body.empty()) {
    const auto line = [&] {
      const auto end = body.find('\n');
      const std::string_view one = body.substr(0, end);
      body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
      return one;
    };
    const std::string_view head = line();
    if (blank(head) && blank(body)) break;
    if (body.empty()) return illegal("a search's header stands without its body");
    const std::string_view search = line();
    if (items.size() >= limits.max_items)
      return illegal("more than " + std::to_string(limits.max_items) + " searches in one request");
    MsearchItem item{index, Search{}};
    json h;
    std::optional<ApiError> fault;
    std::optional<bool> partial;
    if (!blank(head)) {
      if (const char* wrong = parse_json(head, h)) {
        fault = parsing(wrong);
      } else if (!h.is_object()) {
        fault = parsing("a search's header is an object");
      } else {
        for (const auto& [key, v] : h.items()) {
          if (key == "index" && v.is_string())
            item.index = v.get<std::string>();
          else if (key == "allow_partial_search_results" && v.is_boolean())
            partial = v.get<bool>();
          else if ((key == "preference" || key == "routing") && v.is_string() && !v.empty())
            continue;
          else
            fault = illegal("key " + bracketed(key) + " is not supported in the metadata section so");
        }
      }
    }
    if (fault)
      item.search = *fault;
    else
      item.search = parse_search(search, limits);
    if (auto* s = std::get_if<Search>(&item.search)) s->allows_partial = partial;
    items.push_back(std::move(item));
  }
  if (items.empty())
    return ApiError{400, "action_request_validation_exception", "Validation Failed: 1: no requests added;"};
  return items;
}

Parsed<std::vector<MgetItem>> parse_mget(std::string_view body, const std::string& index,
                                         const Limits& limits) {
  json read;
  if (const char* wrong = parse_json(body, read)) return parsing(wrong);
  if (!read.is_object() || read.size() != 1) return parsing("an mget has either [docs] or [ids]");
  const std::string key = read.begin().key();
  const json& list = read.begin().value();
  if ((key != "docs" && key != "ids") || !list.is_array())
    return parsing("unexpected key for an mget: " + bracketed(key));
  if (list.empty())
    return ApiError{400, "action_request_validation_exception", "Validation Failed: 1: no documents to get;"};
  if (list.size() > limits.max_items)
    return illegal("more than " + std::to_string(limits.max_items) + " documents in one request");
  std::vector<MgetItem> gets;
  for (const json& d : list) {
    MgetItem g{index, ""};
    if (key == "ids") {
      if (!d.is_string()) return parsing("an id is a text");
      g.id = d.get<std::string>();
    } else {
      if (!d.is_object()) return parsing("a document is an object");
      for (const auto& [k, v] : d.items()) {
        if ((k != "_index" && k != "_id") || !v.is_string())
          return parsing("unknown key for a document: " + bracketed(k));
        (k == "_index" ? g.index : g.id) = v.get<std::string>();
      }
    }
    if (g.id.empty() || g.id.size() > 512) return illegal("an id has 1 to 512 bytes");
    if (g.index.empty())
      return ApiError{400, "action_request_validation_exception", "Validation Failed: 1: index is missing;"};
    gets.push_back(std::move(g));
  }
  return gets;
}

std::string shard_search_body(const Search& s) {
  json ask{
      {"query", s.query}, {"size", s.window()}, {"_source", s.source}, {"track_total_hits", s.tracks_total}};
  json sort = json::array();
  for (const SortKey& k : s.sort)
    sort.push_back({{k.field,
                     {{"order", k.descending ? "desc" : "asc"},
                      {"missing", k.puts_missing_first ? "_first" : "_last"}}}});
  if (!s.sort.empty()) ask["sort"] = std::move(sort);
  if (!s.search_after.is_null()) ask["search_after"] = s.search_after;
  if (s.terminate_after > 0) ask["terminate_after"] = s.terminate_after;
  json aggs = json::object();
  for (const Aggregation& a : s.aggregations) {
    static const char* names[] = {"terms", "min",         "max",       "sum",
                                  "stats", "value_count", "histogram", "cardinality"};
    json one{{"field", a.field}};
    if (a.kind == Aggregation::Kind::kTerms) one["size"] = a.shard_size;
    if (a.kind == Aggregation::Kind::kHistogram) one["interval"] = a.interval;
    aggs[a.name][names[static_cast<int>(a.kind)]] = std::move(one);
  }
  if (!aggs.empty()) ask["aggs"] = std::move(aggs);
  return ask.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string shard_get_body(const std::vector<std::string>& ids) {
  return json{{"query", {{"ids", {{"values", ids}}}}}, {"size", ids.size()}, {"track_total_hits", true}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cairnhub::opensearch
