// Records how an attempt ended.
//
// Decides: nothing. It updates every module that measures attempts, and marks the shard request as answered
// or as closed to further attempts.
//
// Inputs: the outcome and the latency (nanoseconds) of an attempt, once for each attempt.
//
// Why: an attempt counted twice or never would make its endpoint look busy or idle for good.
#pragma once
#include "policy/attempt_canceller.h"
#include "policy/endpoint_table.h"
#include "policy/latency_estimator.h"
#include "policy/outlier_detector.h"
#include "policy/request_table.h"
#include "policy/slow_start_limiter.h"

namespace cairnhub {

class AttemptResults {
 public:
  AttemptResults(RequestTable& requests, EndpointTable& endpoints, LatencyEstimator& latencies,
                 const OutlierDetector& outliers, SlowStartLimiter& slow_start, AttemptCanceller& canceller)
      : requests_(requests),
        endpoints_(endpoints),
        latencies_(latencies),
        outliers_(outliers),
        slow_start_(slow_start),
        canceller_(canceller) {}

  // See RequestPolicy::attempt_ended. Results of unknown attempts, and of attempts that have already ended,
  // are ignored.
  void record(Time now, RequestId shard_request, int attempt_index, AttemptOutcome outcome, Time latency,
              bool is_final, const LoadReport& load_report);

 private:
  Attempt* find_in_flight(RequestId shard_request, int attempt_index) const;
  void record_response(Attempt& attempt, Time latency, Time now);
  void record_failure(const Attempt& attempt, Time now) const;

  RequestTable& requests_;
  EndpointTable& endpoints_;
  LatencyEstimator& latencies_;
  const OutlierDetector& outliers_;
  SlowStartLimiter& slow_start_;
  AttemptCanceller& canceller_;
};

}  // namespace cairnhub
