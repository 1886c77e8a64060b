// Stalls as documents, made from a seed, and the whole query language evaluated over them in the plainest
// way: every document looked at, all hits sorted. What the broker answers is held against this.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cairnhub::stand_ins {

using json = nlohmann::ordered_json;

class Documents {
 public:
  // One in `hole` documents lacks the field `owner`.
  Documents(std::uint32_t seed, int blocks, int a_block);
  const std::vector<json>& block(int b) const { return blocks_[static_cast<std::size_t>(b)]; }
  int blocks() const { return static_cast<int>(blocks_.size()); }

 private:
  std::vector<std::vector<json>> blocks_;
};

// Below 0: doesn't match; else its score.
double score(const json& query, const json& doc);

struct Found {
  int block;
  std::string id;
  double score;
  json sort;
  const json* doc;
};
// Those of the blocks that match, in the API's order with ties by block, then id; `search_after` is heeded.
std::vector<Found> find(const Documents& data, const std::vector<int>& blocks, const json& search);
json aggregate(const json& aggs, const std::vector<const json*>& docs);

// What a host of one block answers, in the API's shape. `window` of it is sent.
std::string block_answer(const Documents& data, const std::string& index, int block, const json& search);

}  // namespace cairnhub::stand_ins
