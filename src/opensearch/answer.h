// What one block's host answered to a search, read strictly. Whatever is not surely the whole answer of just
// the block that was asked counts as none: it is named, and never merged. No I/O.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "opensearch/request.h"

namespace cairnhub::opensearch {

struct Hit {
  std::string_view raw;  // as it came
  std::string id;
  double score = 0;
  json sort;  // values, one a sort key; null where it's by score
};

struct ShardAnswer {
  std::string bytes;      // the hits look into these
  std::vector<Hit> hits;  // best first
  std::uint64_t total = 0;
  bool total_exact = true;
  json aggregations = json::object();
};

// Null where it can be merged, else what is wrong. `into` must stay where it is from then on.
const char* parse_shard_answer(std::string_view value, const Search& search, const std::string& index,
                               int block, ShardAnswer& into);

// Whether a ranks before b by score or sort values alone: below 0, 0, above 0.
int compare_hits(const Search& search, const Hit& a, const Hit& b);

}  // namespace cairnhub::opensearch
