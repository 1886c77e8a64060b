// Selects the endpoint to which a shard request is sent.
//
// Decides: which replica of the shard is used. Of those that may get the attempt, it is the one with the
// fewest of this broker's batches in flight. A tie goes to the replica that is not known to be slow, then
// to a random one. Ejected endpoints come last. A shard request that joins an open batch adds no batch, so
// the open batch is not counted.
//
// Inputs: batches in flight, locality, ejection, and measured service times.
//
// Why: a replica with a queue delays its shard request and thereby the whole request.
#pragma once
#include <tuple>
#include <vector>

#include "policy/attempt_guard.h"
#include "policy/batch_tracker.h"
#include "policy/endpoint_table.h"
#include "policy/latency_estimator.h"
#include "policy/outlier_detector.h"

namespace cairnhub {

class ReplicaSelection {
 public:
  ReplicaSelection(const EndpointTable& endpoints, AttemptGuard& guard, const LocalityRouter& locality,
                   const OutlierDetector& outliers, const LatencyEstimator& latencies,
                   const BatchTracker& batches, RandomSource& random)
      : endpoints_(endpoints),
        guard_(guard),
        locality_(locality),
        outliers_(outliers),
        latencies_(latencies),
        batches_(batches),
        random_(random) {}

  // @return the endpoint to send the shard request to; null if no replica may get it now
  Endpoint* pick(const ShardRequest& shard_request, Time now);

 private:
  // The replica with the lowest rank is picked.
  struct Rank {
    bool is_ejected = false;
    int load = 0;  // twice the batches, so that an open batch can rank between two counts
    int slowness_level = 0;
    bool operator<(const Rank& other) const {
      return std::tie(is_ejected, load, slowness_level) <
             std::tie(other.is_ejected, other.load, other.slowness_level);
    }
  };
  // The result of the shard request's earlier attempts at an endpoint.
  enum class History { kNone, kReturnedError, kSent };

  static History history_at(const ShardRequest& shard_request, const Endpoint& endpoint);
  static bool must_stay_in_zone(const ShardRequest& shard_request, const std::vector<Endpoint*>& replicas);
  Rank rank(const ShardRequest& shard_request, const Endpoint& endpoint, bool returned_error, Time now) const;
  bool is_likely_down(const Endpoint& endpoint, Time now) const;

  const EndpointTable& endpoints_;
  AttemptGuard& guard_;
  const LocalityRouter& locality_;
  const OutlierDetector& outliers_;
  const LatencyEstimator& latencies_;
  const BatchTracker& batches_;
  RandomSource& random_;
};

}  // namespace cairnhub
