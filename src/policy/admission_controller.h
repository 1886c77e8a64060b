// Rejects requests on arrival that cannot be answered in time.
//
// Decides: whether a request is admitted and, if it is rejected, when the client should retry.
//
// Inputs: the expected latency of each shard request (seconds), the time left for the request's latency
// objective, and whether earlier admitted requests ended in time.
//
// Why: under overload, queues would otherwise grow until every response is late.
#pragma once
#include <optional>

#include "policy/deadline_policy.h"
#include "policy/latency_estimator.h"
#include "policy/replica_selection.h"
#include "policy/shard_request_draw.h"

namespace cairnhub {

class AdmissionController {
 public:
  AdmissionController(ReplicaSelection& replicas, const LatencyEstimator& latencies,
                      const DeadlinePolicy& deadlines, LocalityRouter& locality, ShardRequestDraw& draw);

  // Admits the request and selects its shard requests, or rejects it.
  // @return nothing if the request is admitted; otherwise the Retry-After in nanoseconds, which is the amount
  // by which the estimated latency exceeds two thirds of the longest latency that is admitted
  std::optional<Time> admit(Request& request, Time now);

  // Report how an admitted request ended. A request without a response in time, including an abandoned one,
  // lowers the share of the remaining time that an estimated latency may take, because estimates are too low
  // where queues grow. A response in time raises the share again. So does a rejection: a controller that
  // rejects every request would otherwise never recover.
  void record_late();
  void record_in_time();

 private:
  // Returns the expected latency (seconds) at which the required weight has arrived, if all shard requests
  // are sent now.
  double estimate_latency_s(Request& request, Time now);

  ReplicaSelection& replicas_;
  const LatencyEstimator& latencies_;
  const DeadlinePolicy& deadlines_;
  LocalityRouter& locality_;
  ShardRequestDraw& draw_;
  double max_objective_share_;
};

}  // namespace cairnhub
