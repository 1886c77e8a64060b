// Creates an attempt and reports it to every limit.
//
// Decides: nothing. It turns a shard request and the endpoint picked for it into a kSendAttempt action with
// its timeout. Every attempt is created here, after ReplicaSelection has found it allowed.
//
// Inputs: the shard request, the endpoint, and the time (nanoseconds).
//
// Why: a limit that misses an attempt would allow too many.
#pragma once
#include "policy/attempt_guard.h"
#include "policy/batch_tracker.h"
#include "policy/deadline_policy.h"
#include "policy/latency_estimator.h"
#include "policy/outlier_detector.h"
#include "policy/policy_action.h"

namespace cairnhub {

class AttemptSender {
 public:
  AttemptSender(const AttemptGuard& guard, SlowStartLimiter& slow_start, RetryBudget& retries,
                LocalityRouter& locality, const OutlierDetector& outliers, const LatencyEstimator& latencies,
                const BatchTracker& batches, const DeadlinePolicy& deadlines)
      : guard_(guard),
        slow_start_(slow_start),
        retries_(retries),
        locality_(locality),
        outliers_(outliers),
        latencies_(latencies),
        batches_(batches),
        deadlines_(deadlines) {}

  // Records the attempt and returns the action that sends it.
  // @param is_extra the attempt spends an extra-attempt token of the retry budget
  PolicyAction send(ShardRequest& shard_request, Endpoint& endpoint, Time now, bool is_extra);

 private:
  const AttemptGuard& guard_;
  SlowStartLimiter& slow_start_;
  RetryBudget& retries_;
  LocalityRouter& locality_;
  const OutlierDetector& outliers_;
  const LatencyEstimator& latencies_;
  const BatchTracker& batches_;
  const DeadlinePolicy& deadlines_;
};

}  // namespace cairnhub
