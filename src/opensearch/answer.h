// Parses and validates the answer of an endpoint to the search of one shard. An answer that isn't certain to
// be the complete answer of the requested shard is rejected with a reason and never merged. No I/O.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "opensearch/request.h"

namespace cairnhub::opensearch {

struct Hit {
  std::string_view raw;  // the JSON text as received
  std::string id;
  double score = 0;
  json sort;  // one value per sort key; null if the search sorts by score
};

struct ShardAnswer {
  std::string bytes;      // the answer as received; Hit::raw points into it
  std::vector<Hit> hits;  // best first
  std::uint64_t total = 0;
  bool is_total_exact = true;
  json aggregations = json::object();

  std::size_t memory_bytes() const;  // approximate
};

// Parses `value`, the answer of the shard with the number `shard` within `index`. Returns null, or the reason
// why the answer is invalid. `into` must not be moved or copied afterwards, since its hits point into it.
const char* parse_shard_answer(std::string_view value, const Search& search, const std::string& index,
                               int shard, ShardAnswer& into);

// Compares by score or sort values only. Returns a negative number if `a` ranks before `b`, 0 if they tie.
int compare_hits(const Search& search, const Hit& a, const Hit& b);

}  // namespace cairnhub::opensearch
