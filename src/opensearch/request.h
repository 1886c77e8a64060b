// Requests of the OpenSearch-style query API, read and checked. What is supported is said in
// docs/opensearch.md; everything else is a Fault with the API's own type and reason, never skipped. No I/O.
//
// The query itself is checked and goes on to the hosts, which evaluate it; what the broker must know to merge
// (size, order, aggregations) is read out.
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
  int max_bool_depth = 20;          // of bool in bool
  std::size_t max_buckets = 10000;  // asked of a terms aggregation
  std::size_t max_items = 1000;     // in one _msearch or _mget
};

struct ApiError {
  int status = 400;
  std::string type, reason;
};
// The API's error body.
std::string error_body(const ApiError& fault);

struct SortKey {
  std::string field;  // "_score" and "_id" too
  bool descending = false;
  bool puts_missing_first = false;
};

struct Aggregation {
  enum class Kind { kTerms, kMin, kMax, kSum, kAvg, kValueCount, kHistogram, kCardinality };
  std::string name, field;
  Kind kind = Kind::kTerms;
  std::size_t size = 10;            // terms
  std::size_t shard_size = 25;      // terms: asked of each block
  double interval = 0;              // histogram
  std::uint64_t min_doc_count = 0;  // histogram
};

struct Search {
  json query = {{"match_all", json::object()}};
  std::size_t from = 0, size = 10;
  std::vector<SortKey> sort;  // empty: by score
  json search_after;          // null, or as many values as sort keys
  json source = true;         // _source as stated
  std::optional<Time> timeout;
  std::uint64_t terminate_after = 0;        // a block; 0 = none
  bool tracks_exact_total = true;           // track_total_hits
  std::uint64_t max_tracked_total = 10000;  // where it doesn't count all
  bool tracks_total = true;
  std::optional<bool> allows_partial;
  std::vector<Aggregation> aggregations;

  std::size_t window() const { return from + size; }
};

template <class T>
using Parsed = std::variant<T, ApiError>;

Parsed<Search> parse_search(std::string_view body, const Limits& limits);
// Parameters of the URL that stand for members of the body (size, from, ...). False, with a fault, for an
// unknown one.
std::optional<ApiError> parse_parameter(const std::string& name, const std::string& value, Search& into,
                                        const Limits&);
std::optional<ApiError> check_query(const json& query, const Limits& limits);

struct MsearchItem {  // of _msearch: its own fault is its own answer
  std::string index;
  Parsed<Search> search;
};
Parsed<std::vector<MsearchItem>> parse_msearch(std::string_view body, const std::string& index,
                                               const Limits& limits);

struct MgetItem {
  std::string index, id;
};
Parsed<std::vector<MgetItem>> parse_mget(std::string_view body, const std::string& index,
                                         const Limits& limits);

// What a block is asked, so that its best window and the block's order are enough for the whole.
std::string shard_search_body(const Search& search);
std::string shard_get_body(const std::vector<std::string>& ids);

}  // namespace cairnhub::opensearch
