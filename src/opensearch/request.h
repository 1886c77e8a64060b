// Parses and validates requests of the OpenSearch-style query API. docs/opensearch.md lists what is
// supported; anything else is an ApiError with the type and reason of the API and is never ignored. No I/O.
//
// The query is validated and forwarded to the endpoints, which evaluate it. The members that the broker needs
// for merging (size, order, aggregations) are parsed.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "opensearch/json.h"

namespace cairnhub::opensearch {

struct Limits {
  std::size_t max_window = 10000;   // from + size
  std::size_t max_terms = 65536;    // in one terms or ids query
  std::size_t max_clauses = 1024;   // in one request
  int max_bool_depth = 20;          // of bool queries nested in bool queries
  std::size_t max_buckets = 10000;  // that a terms aggregation may request
  std::size_t max_items = 1000;     // in one _msearch or _mget
};

struct ApiError {
  int status = 400;
  std::string type;
  std::string reason;
};
// Returns the error as a response body of the API.
std::string error_body(const ApiError& error);

struct SortKey {
  std::string field;  // may be "_score" or "_id"
  bool is_descending = false;
  bool puts_missing_first = false;
};

struct Aggregation {
  enum class Kind { kTerms, kMin, kMax, kSum, kAvg, kValueCount, kHistogram, kCardinality };
  std::string name;
  std::string field;
  Kind kind = Kind::kTerms;
  std::size_t size = 10;            // terms
  std::size_t shard_size = 25;      // terms: buckets requested from each shard
  double interval = 0;              // histogram
  std::uint64_t min_doc_count = 0;  // histogram
};

struct Search {
  json query = {{"match_all", json::object()}};
  std::size_t from = 0;
  std::size_t size = 10;
  std::vector<SortKey> sort;  // empty: by score
  json search_after;          // null, or one value per sort key
  json source = true;         // `_source` as received
  std::optional<Time> timeout;
  std::uint64_t terminate_after = 0;  // documents per shard; 0: no limit
  // track_total_hits: all hits are counted, or up to max_tracked_total, or (tracks_total is false) none.
  bool tracks_exact_total = true;
  std::uint64_t max_tracked_total = 10000;
  bool tracks_total = true;
  std::optional<bool> allows_partial;  // allow_partial_search_results
  std::vector<Aggregation> aggregations;

  // Returns how many of the best hits each shard is asked for.
  std::size_t window() const { return from + size; }
};

template <class T>
using Parsed = std::variant<T, ApiError>;

Parsed<Search> parse_search(std::string_view body, const Limits& limits);
// Applies a URL parameter that stands for a member of the body (size, from, ...). Returns an error if the
// parameter is unknown or its value is invalid.
std::optional<ApiError> parse_parameter(const std::string& name, const std::string& value, Search& into,
                                        const Limits& limits);
std::optional<ApiError> check_query(const json& query, const Limits& limits);

// A search of an _msearch request. An error concerns this item alone.
struct MsearchItem {
  std::string index;
  Parsed<Search> search;
};
// `index` is the default for items that name none.
Parsed<std::vector<MsearchItem>> parse_msearch(std::string_view body, const std::string& index,
                                               const Limits& limits);

// A document of an _mget request.
struct MgetItem {
  std::string index;
  std::string id;
};
// `index` is the default for items that name none.
Parsed<std::vector<MgetItem>> parse_mget(std::string_view body, const std::string& index,
                                         const Limits& limits);

// Returns the body of the search of each shard. It asks for the whole window, since all of the best hits may
// lie in one shard.
std::string shard_search_body(const Search& search);
// Returns the body of a search for the documents with these ids.
std::string shard_get_body(const std::vector<std::string>& ids);

}  // namespace cairnhub::opensearch
