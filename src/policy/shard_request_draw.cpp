#include "policy/shard_request_draw.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cairnhub {

namespace {

constexpr int kMarginShardRequests = 1;  // sent beyond the required weight

}  // namespace

void ShardRequestDraw::select(Request& request, double slow_from_s) {
  std::vector<ShardRequest*> order;
  for (auto& shard_request : request.shard_requests) {
    order.push_back(shard_request.get());
  }
  if (request.request_class->required_share < 1 - kWeightTolerance) {
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random_.below(i)]);
    }
    std::stable_partition(order.begin(), order.end(), [&](const ShardRequest* shard_request) {
      return shard_request->expected_latency_s <= slow_from_s;
    });
  }
  double selected_weight = 0;
  int margin_left = kMarginShardRequests;
  for (ShardRequest* shard_request : order) {
    if (selected_weight >= request.required_weight()) {
      if (margin_left <= 0 || shard_request->expected_latency_s > slow_from_s) break;
      --margin_left;
    }
    shard_request->is_selected = true;
    selected_weight += shard_request->weight;
    locality_.draw_preferred_zone(*shard_request, random_);
  }
}

}  // namespace cairnhub
