#include "opensearch/request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <set>

namespace cairnhub::opensearch {

namespace {

constexpr std::size_t kMaxQuotedBytes = 80;  // of a client's text in an error message
constexpr std::size_t kMaxSortKeys = 16;
constexpr std::size_t kMaxAggregations = 64;
constexpr std::size_t kMaxIdBytes = 512;
constexpr std::uint64_t kMaxMinDocCount = 1000000000;
constexpr std::uint64_t kMaxTerminateAfter = 1000000000000;

ApiError parsing_error(std::string reason) { return {400, "parsing_exception", std::move(reason)}; }
ApiError argument_error(std::string reason) { return {400, "illegal_argument_exception", std::move(reason)}; }
std::string bracketed(const std::string& text) { return "[" + text.substr(0, kMaxQuotedBytes) + "]"; }

// Whether a field can be compared with the value.
bool is_scalar(const json& value) { return value.is_string() || value.is_number() || value.is_boolean(); }
bool is_integer_up_to(const json& value, std::uint64_t max) {
  return value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
}

using MaybeError = std::optional<ApiError>;

// Validates a query. Every member of every clause must be known.
class QueryChecker {
 public:
  explicit QueryChecker(const Limits& limits) : limits_(limits), clauses_left_(limits.max_clauses) {}

  // `depth`: the number of bool queries around this one.
  MaybeError check(const json& query, int depth) {
    if (depth > limits_.max_bool_depth) {
      return argument_error("bool queries nested deeper than " + std::to_string(limits_.max_bool_depth));
    }
    if (clauses_left_-- == 0) {
      return ApiError{400, "too_many_clauses",
                      "more than " + std::to_string(limits_.max_clauses) + " clauses"};
    }
    if (!query.is_object() || query.size() != 1) {
      return parsing_error("a query is an object with one key, its kind");
    }
    const std::string kind = query.begin().key();
    const json& body = query.begin().value();
    if (!body.is_object()) return parsing_error(bracketed(kind) + " query malformed, an object is needed");
    if (kind == "match_all") return check_members(body, kind, {"boost"});
    if (kind == "term" || kind == "prefix") {
      return check_field_query(kind, body, "value", [](const json& value) { return is_scalar(value); });
    }
    if (kind == "terms") return check_terms(body);
    if (kind == "ids") return check_ids(body);
    if (kind == "exists") return check_exists(body);
    if (kind == "range") return check_range(body);
    if (kind == "bool") return check_bool(body, depth);
    return parsing_error("unknown query " + bracketed(kind));
  }

 private:
  MaybeError check_boost(const json& body) {
    const auto boost = body.find("boost");
    if (boost != body.end() && (!boost->is_number() || boost->get<double>() < 0)) {
      return argument_error("[boost] is a number from 0 up");
    }
    return {};
  }
  MaybeError check_members(const json& body, const std::string& kind,
                           std::initializer_list<const char*> known_keys) {
    for (const auto& [key, value] : body.items()) {
      if (std::find_if(known_keys.begin(), known_keys.end(),
                       [&, k = key](const char* known) { return k == known; }) == known_keys.end()) {
        return parsing_error(bracketed(kind) + " query does not support " + bracketed(key));
      }
    }
    return check_boost(body);
  }
  // Checks a query on one field, which states its value directly or in the member `value_key` of an object.
  template <class Predicate>
  MaybeError check_field_query(const std::string& kind, const json& body, const char* value_key,
                               Predicate is_valid) {
    if (body.size() != 1) return parsing_error(bracketed(kind) + " query is on one field");
    if (body.begin().key().empty()) return argument_error("field name is null or empty");
    const json& value = body.begin().value();
    if (is_valid(value)) return {};
    if (!value.is_object() || !value.contains(value_key) || !is_valid(value[value_key])) {
      return parsing_error(bracketed(kind) + " query malformed, no value");
    }
    return check_members(value, kind, {value_key, "boost"});
  }
  MaybeError check_values(const std::string& kind, const json& values) {
    if (!values.is_array()) return parsing_error(bracketed(kind) + " query needs a list of values");
    if (values.size() > limits_.max_terms) {
      return argument_error("the number of terms " + std::to_string(values.size()) +
                            " has exceeded the allowed maximum of " + std::to_string(limits_.max_terms));
    }
    for (const json& value : values) {
      if (!is_scalar(value)) {
        return parsing_error(bracketed(kind) + " query: a value is no text, number or truth value");
      }
    }
    return {};
  }
  MaybeError check_terms(const json& body) {
    int fields = 0;
    for (const auto& [key, values] : body.items()) {
      if (key == "boost") continue;
      if (++fields > 1) return parsing_error("[terms] query is on one field");
      if (auto error = check_values("terms", values)) return error;
    }
    if (fields == 0) return parsing_error("[terms] query requires a field name");
    return check_boost(body);
  }
  MaybeError check_ids(const json& body) {
    if (!body.contains("values")) return parsing_error("[ids] requires providing a values key");
    if (auto error = check_values("ids", body["values"])) return error;
    for (const json& value : body["values"]) {
      if (!value.is_string()) return parsing_error("[ids] values are texts");
    }
    return check_members(body, "ids", {"values", "boost"});
  }
  MaybeError check_exists(const json& body) {
    if (!body.contains("field") || !body["field"].is_string()) {
      return parsing_error("[exists] must be provided with a [field]");
    }
    return check_members(body, "exists", {"field", "boost"});
  }
  MaybeError check_range(const json& body) {
    if (body.size() != 1 || !body.begin().value().is_object()) {
      return parsing_error("[range] query is on one field");
    }
    for (const auto& [key, bound] : body.begin().value().items()) {
      if (key == "boost") continue;
      if (key != "gt" && key != "gte" && key != "lt" && key != "lte") {
        return parsing_error("[range] query does not support " + bracketed(key));
      }
      if (!bound.is_string() && !bound.is_number()) {
        return parsing_error("[range] query: a bound is a number or a text");
      }
    }
    return check_boost(body.begin().value());
  }
  MaybeError check_bool(const json& body, int depth) {
    for (const auto& [key, value] : body.items()) {
      if (key == "boost") continue;
      if (key == "minimum_should_match") {
        if (!is_integer_up_to(value, limits_.max_clauses)) {
          return argument_error("[minimum_should_match] is a whole number here");
        }
        continue;
      }
      if (key != "must" && key != "should" && key != "filter" && key != "must_not") {
        return parsing_error("[bool] query does not support " + bracketed(key));
      }
      if (value.is_array()) {
        for (const json& clause : value) {
          if (auto error = check(clause, depth + 1)) return error;
        }
      } else if (auto error = check(value, depth + 1)) {
        return error;
      }
    }
    return check_boost(body);
  }

  const Limits& limits_;
  std::size_t clauses_left_;
};

// Parses a duration such as "400ms".
std::optional<Time> parse_duration(const json& value) {
  if (!value.is_string()) return std::nullopt;
  const std::string text = value.get<std::string>();
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string unit(end, text.data() + text.size());
  if (error != std::errc{} || !(number > 0) || number > 1e9) return std::nullopt;
  const double unit_ns = unit == "ms"       ? 1e6
                         : unit == "s"      ? 1e9
                         : unit == "m"      ? 6e10
                         : unit == "micros" ? 1e3
                                            : 0;
  if (unit_ns == 0 || number * unit_ns > 1e18) return std::nullopt;
  return static_cast<Time>(number * unit_ns);
}

MaybeError parse_sort_key(const json& value, std::vector<SortKey>& into) {
  SortKey sort_key;
  if (value.is_string()) {
    sort_key.field = value.get<std::string>();
    sort_key.is_descending = sort_key.field == "_score";
  } else if (value.is_object() && value.size() == 1) {
    sort_key.field = value.begin().key();
    sort_key.is_descending = sort_key.field == "_score";
    const json& settings = value.begin().value();
    const auto parse_order = [&](const json& order) {
      if (order != "asc" && order != "desc") return false;
      sort_key.is_descending = order == "desc";
      return true;
    };
    if (settings.is_string()) {
      if (!parse_order(settings)) return argument_error("unknown sort order, must be [asc] or [desc]");
    } else if (settings.is_object()) {
      for (const auto& [key, setting] : settings.items()) {
        if (key == "order"     ? !parse_order(setting)
            : key == "missing" ? (setting != "_first" && setting != "_last")
                               : true) {
          return argument_error("[sort] on " + bracketed(sort_key.field) + " does not support " +
                                bracketed(key) + " so");
        }
        if (key == "missing") sort_key.puts_missing_first = setting == "_first";
      }
    } else {
      return parsing_error("[sort] malformed");
    }
  } else {
    return parsing_error("[sort] malformed");
  }
  if (sort_key.field.empty()) return argument_error("[sort] on no field");
  into.push_back(std::move(sort_key));
  return {};
}

MaybeError parse_sort(const json& value, Search& search) {
  if (!value.is_array()) return parse_sort_key(value, search.sort);
  if (value.size() > kMaxSortKeys) return argument_error("[sort] on more than 16 fields");
  for (const json& sort_key : value) {
    if (auto error = parse_sort_key(sort_key, search.sort)) return error;
  }
  return {};
}

MaybeError parse_source(const json& value, Search& search) {
  const auto holds_names = [](const json& names) {
    return names.is_string() ||
           (names.is_array() &&
            std::all_of(names.begin(), names.end(), [](const json& name) { return name.is_string(); }));
  };
  bool is_valid = value.is_boolean() || holds_names(value);
  if (value.is_object()) {
    is_valid = true;
    for (const auto& [key, names] : value.items()) {
      is_valid = is_valid && (key == "includes" || key == "excludes") && holds_names(names);
    }
  }
  if (!is_valid) return parsing_error("[_source] is a truth value, names, or includes and excludes");
  search.source = value;
  return {};
}

MaybeError parse_aggregation(const std::string& name, const json& value, const Limits& limits,
                             Search& search) {
  if (name.empty() || name.find_first_of("[]>") != std::string::npos) {
    return parsing_error("invalid aggregation name " + bracketed(name));
  }
  if (!value.is_object() || value.size() != 1 || !value.begin().value().is_object()) {
    return parsing_error("aggregation " + bracketed(name) +
                         " needs one kind, and no sub-aggregations are supported");
  }
  Aggregation aggregation;
  aggregation.name = name;
  const std::string kind = value.begin().key();
  static const std::vector<std::pair<const char*, Aggregation::Kind>> kinds = {
      {"terms", Aggregation::Kind::kTerms},
      {"min", Aggregation::Kind::kMin},
      {"max", Aggregation::Kind::kMax},
      {"sum", Aggregation::Kind::kSum},
      {"avg", Aggregation::Kind::kAvg},
      {"value_count", Aggregation::Kind::kValueCount},
      {"histogram", Aggregation::Kind::kHistogram},
      {"cardinality", Aggregation::Kind::kCardinality}};
  const auto known =
      std::find_if(kinds.begin(), kinds.end(), [&](const auto& entry) { return kind == entry.first; });
  if (known == kinds.end()) return parsing_error("unknown aggregation type " + bracketed(kind));
  aggregation.kind = known->second;
  const bool is_terms = aggregation.kind == Aggregation::Kind::kTerms;
  const bool is_histogram = aggregation.kind == Aggregation::Kind::kHistogram;
  bool has_shard_size = false;
  for (const auto& [key, parameter] : value.begin().value().items()) {
    if (key == "field" && parameter.is_string()) {
      aggregation.field = parameter.get<std::string>();
    } else if (is_terms && key == "size" && is_integer_up_to(parameter, limits.max_buckets) &&
               parameter != 0) {
      aggregation.size = parameter.get<std::size_t>();
    } else if (is_terms && key == "shard_size" && is_integer_up_to(parameter, limits.max_buckets) &&
               parameter != 0) {
      aggregation.shard_size = parameter.get<std::size_t>();
      has_shard_size = true;
    } else if (is_histogram && key == "interval" && parameter.is_number() && parameter.get<double>() > 0) {
      aggregation.interval = parameter.get<double>();
    } else if (is_histogram && key == "min_doc_count" && is_integer_up_to(parameter, kMaxMinDocCount)) {
      aggregation.min_doc_count = parameter.get<std::uint64_t>();
    } else {
      return parsing_error(bracketed(kind) + " aggregation does not support " + bracketed(key) + " so");
    }
  }
  if (aggregation.field.empty()) {
    return argument_error("required one of fields [field], but none were specified");
  }
  if (is_histogram && aggregation.interval == 0) {
    return argument_error("[interval] must be greater than 0");
  }
  // The default of the API: size * 1.5 + 10.
  if (!has_shard_size) {
    aggregation.shard_size = std::min(limits.max_buckets, aggregation.size + aggregation.size / 2 + 10);
  }
  aggregation.shard_size = std::max(aggregation.shard_size, aggregation.size);
  search.aggregations.push_back(std::move(aggregation));
  return {};
}

// Parses one member of the body of a search.
MaybeError parse_member(const std::string& key, const json& value, const Limits& limits, Search& search) {
  if (key == "query") {
    if (auto error = check_query(value, limits)) return error;
    search.query = value;
  } else if (key == "size" || key == "from") {
    if (!value.is_number_unsigned()) {
      return argument_error("[" + key + "] parameter must be a whole number from 0 up");
    }
    if (value.get<std::uint64_t>() > limits.max_window) {
      return argument_error("[" + key + "] is past the window of " + std::to_string(limits.max_window));
    }
    (key == "size" ? search.size : search.from) = value.get<std::size_t>();
  } else if (key == "sort") {
    return parse_sort(value, search);
  } else if (key == "search_after") {
    if (!value.is_array() || value.empty()) return parsing_error("[search_after] is a list of sort values");
    for (const json& sort_value : value) {
      if (!is_scalar(sort_value) && !sort_value.is_null()) {
        return parsing_error("[search_after] holds a value that can't be sorted by");
      }
    }
    search.search_after = value;
  } else if (key == "_source") {
    return parse_source(value, search);
  } else if (key == "timeout") {
    if (!(search.timeout = parse_duration(value))) {
      return parsing_error("failed to parse [timeout]: a number with ms, s or m is needed");
    }
  } else if (key == "terminate_after") {
    if (!is_integer_up_to(value, kMaxTerminateAfter)) {
      return argument_error("terminateAfter must be a whole number from 0 up");
    }
    search.terminate_after = value.get<std::uint64_t>();
  } else if (key == "track_total_hits") {
    if (value.is_boolean()) {
      search.tracks_exact_total = value.get<bool>();
      search.tracks_total = search.tracks_exact_total;
    } else if (value.is_number_unsigned()) {
      search.tracks_exact_total = false;
      search.tracks_total = true;
      search.max_tracked_total = value.get<std::uint64_t>();
    } else {
      return argument_error("[track_total_hits] is a truth value or a whole number");
    }
  } else if (key == "aggs" || key == "aggregations") {
    if (!value.is_object()) return parsing_error("[aggs] is an object");
    if (value.size() > kMaxAggregations) return argument_error("more than 64 aggregations");
    for (const auto& [name, aggregation] : value.items()) {
      if (auto error = parse_aggregation(name, aggregation, limits, search)) return error;
    }
  } else {
    return parsing_error("unknown key for a search: " + bracketed(key));
  }
  return {};
}

// Checks the members of a search against each other.
MaybeError check_consistency(const Search& search, const Limits& limits) {
  if (search.window() > limits.max_window) {
    return argument_error("result window is too large, from + size must be less than or equal to: [" +
                          std::to_string(limits.max_window) + "] but was [" +
                          std::to_string(search.window()) + "]");
  }
  if (search.search_after.is_null()) return {};
  if (search.from > 0) {
    return argument_error("`from` parameter must be set to 0 when `search_after` is used");
  }
  if (search.sort.empty()) {
    return argument_error("sort must contain at least one field when using search_after");
  }
  if (search.search_after.size() != search.sort.size()) {
    return argument_error("search_after has " + std::to_string(search.search_after.size()) +
                          " value(s) but sort has " + std::to_string(search.sort.size()));
  }
  return {};
}

Parsed<Search> search_from_json(const json& body, const Limits& limits) {
  if (!body.is_object()) return parsing_error("a search is an object");
  Search search;
  for (const auto& [key, value] : body.items()) {
    if (auto error = parse_member(key, value, limits, search)) return *error;
  }
  if (auto error = check_consistency(search, limits)) return *error;
  return search;
}

bool is_blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

}  // namespace

std::string error_body(const ApiError& error) {
  const json cause{{"type", error.type}, {"reason", error.reason}};
  return json{
      {"error", {{"root_cause", json::array({cause})}, {"type", error.type}, {"reason", error.reason}}},
      {"status", error.status}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ApiError> check_query(const json& query, const Limits& limits) {
  return QueryChecker(limits).check(query, 0);
}

Parsed<Search> parse_search(std::string_view body, const Limits& limits) {
  if (is_blank(body)) return Search{};
  json parsed;
  if (const char* error = parse_json(body, parsed)) return parsing_error(error);
  return search_from_json(parsed, limits);
}

std::optional<ApiError> parse_parameter(const std::string& name, const std::string& value, Search& search,
                                        const Limits& limits) {
  if (name == "allow_partial_search_results") {
    if (value != "true" && value != "false" && !value.empty()) {
      return argument_error("[allow_partial_search_results] is true or false");
    }
    search.allows_partial = value != "false";
    return {};
  }
  if (name == "preference" || name == "routing") {
    if (value.empty()) return argument_error("[" + name + "] is empty");
    return {};  // ignored: the broker selects the replicas itself and searches the whole index
  }
  if (name == "size" || name == "from" || name == "terminate_after" || name == "track_total_hits" ||
      name == "timeout") {
    json parsed;
    if (name == "timeout" || parse_json(value, parsed)) parsed = value;
    if (auto error = parse_member(name, parsed, limits, search)) return error;
    return check_consistency(search, limits);
  }
  return argument_error("request contains unrecognized parameter: " + bracketed(name));
}

Parsed<std::vector<MsearchItem>> parse_msearch(std::string_view body, const std::string& index,
                                               const Limits& limits) {
  if (!body.empty() && body.back() != '\n') {
    return argument_error("The msearch request must be terminated by a newline [\\n]");
  }
  std::vector<MsearchItem> items;
  while (!body.empty()) {
    const auto take_line = [&] {
      const auto end = body.find('\n');
      const std::string_view line = body.substr(0, end);
      body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
      return line;
    };
    const std::string_view header_line = take_line();
    if (is_blank(header_line) && is_blank(body)) break;
    if (body.empty()) return argument_error("a search's header stands without its body");
    const std::string_view search_line = take_line();
    if (items.size() >= limits.max_items) {
      return argument_error("more than " + std::to_string(limits.max_items) + " searches in one request");
    }
    MsearchItem item{index, Search{}};
    json header;
    std::optional<ApiError> header_error;
    std::optional<bool> allows_partial;
    if (!is_blank(header_line)) {
      if (const char* error = parse_json(header_line, header)) {
        header_error = parsing_error(error);
      } else if (!header.is_object()) {
        header_error = parsing_error("a search's header is an object");
      } else {
        for (const auto& [key, value] : header.items()) {
          if (key == "index" && value.is_string()) {
            item.index = value.get<std::string>();
          } else if (key == "allow_partial_search_results" && value.is_boolean()) {
            allows_partial = value.get<bool>();
          } else if ((key == "preference" || key == "routing") && value.is_string() && !value.empty()) {
            continue;
          } else {
            header_error =
                argument_error("key " + bracketed(key) + " is not supported in the metadata section so");
          }
        }
      }
    }
    if (header_error) {
      item.search = *header_error;
    } else {
      item.search = parse_search(search_line, limits);
    }
    if (auto* search = std::get_if<Search>(&item.search)) search->allows_partial = allows_partial;
    items.push_back(std::move(item));
  }
  if (items.empty()) {
    return ApiError{400, "action_request_validation_exception", "Validation Failed: 1: no requests added;"};
  }
  return items;
}

Parsed<std::vector<MgetItem>> parse_mget(std::string_view body, const std::string& index,
                                         const Limits& limits) {
  json parsed;
  if (const char* error = parse_json(body, parsed)) return parsing_error(error);
  if (!parsed.is_object() || parsed.size() != 1) {
    return parsing_error("an mget has either [docs] or [ids]");
  }
  const std::string list_key = parsed.begin().key();
  const json& list = parsed.begin().value();
  if ((list_key != "docs" && list_key != "ids") || !list.is_array()) {
    return parsing_error("unexpected key for an mget: " + bracketed(list_key));
  }
  if (list.empty()) {
    return ApiError{400, "action_request_validation_exception", "Validation Failed: 1: no documents to get;"};
  }
  if (list.size() > limits.max_items) {
    return argument_error("more than " + std::to_string(limits.max_items) + " documents in one request");
  }
  std::vector<MgetItem> items;
  for (const json& element : list) {
    MgetItem item{index, ""};
    if (list_key == "ids") {
      if (!element.is_string()) return parsing_error("an id is a text");
      item.id = element.get<std::string>();
    } else {
      if (!element.is_object()) return parsing_error("a document is an object");
      for (const auto& [key, value] : element.items()) {
        if ((key != "_index" && key != "_id") || !value.is_string()) {
          return parsing_error("unknown key for a document: " + bracketed(key));
        }
        (key == "_index" ? item.index : item.id) = value.get<std::string>();
      }
    }
    if (item.id.empty() || item.id.size() > kMaxIdBytes) return argument_error("an id has 1 to 512 bytes");
    if (item.index.empty()) {
      return ApiError{400, "action_request_validation_exception", "Validation Failed: 1: index is missing;"};
    }
    items.push_back(std::move(item));
  }
  return items;
}

std::string shard_search_body(const Search& search) {
  json body{{"query", search.query},
            {"size", search.window()},
            {"_source", search.source},
            {"track_total_hits", search.tracks_total}};
  json sort = json::array();
  for (const SortKey& sort_key : search.sort) {
    sort.push_back({{sort_key.field,
                     {{"order", sort_key.is_descending ? "desc" : "asc"},
                      {"missing", sort_key.puts_missing_first ? "_first" : "_last"}}}});
  }
  if (!search.sort.empty()) body["sort"] = std::move(sort);
  if (!search.search_after.is_null()) body["search_after"] = search.search_after;
  if (search.terminate_after > 0) body["terminate_after"] = search.terminate_after;
  json aggregations = json::object();
  for (const Aggregation& aggregation : search.aggregations) {
    // By Aggregation::Kind. An average is requested as stats, whose sum and count can be merged.
    static const char* kinds[] = {"terms", "min",         "max",       "sum",
                                  "stats", "value_count", "histogram", "cardinality"};
    json parameters{{"field", aggregation.field}};
    if (aggregation.kind == Aggregation::Kind::kTerms) parameters["size"] = aggregation.shard_size;
    if (aggregation.kind == Aggregation::Kind::kHistogram) parameters["interval"] = aggregation.interval;
    aggregations[aggregation.name][kinds[static_cast<int>(aggregation.kind)]] = std::move(parameters);
  }
  if (!aggregations.empty()) body["aggs"] = std::move(aggregations);
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string shard_get_body(const std::vector<std::string>& ids) {
  return json{{"query", {{"ids", {{"values", ids}}}}}, {"size", ids.size()}, {"track_total_hits", true}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cairnhub::opensearch
