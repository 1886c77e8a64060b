// Selects the shard requests of an admitted request that are sent at once.
//
// Decides: which shard requests are selected: as many as reach the required weight, drawn at random, and
// one more. The others stay unsent until Hedging needs them. Shard requests with a high expected latency
// are drawn last, and the additional one is never among them.
//
// Inputs: weights, the required share of the class, and expected latencies (seconds).
//
// Why: without the additional shard request, one straggler would make the request late. It must not go to a
// shard without spare capacity.
#pragma once
#include "policy/locality_router.h"
#include "policy/request.h"

namespace cairnhub {

class ShardRequestDraw {
 public:
  ShardRequestDraw(const LocalityRouter& locality, RandomSource& random)
      : locality_(locality), random_(random) {}

  // Marks the selected shard requests.
  // @param slow_from_s expected latency (seconds) above which a shard request counts as slow
  void select(Request& request, double slow_from_s);

 private:
  const LocalityRouter& locality_;
  RandomSource& random_;
};

}  // namespace cairnhub
