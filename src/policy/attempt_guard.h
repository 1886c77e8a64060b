// Checks every rule that can forbid an attempt.
//
// Decides: whether a shard request may be sent at all, whether it may be sent to a given endpoint, and how
// late an attempt may start.
//
// Inputs: deadlines (nanoseconds), earlier attempts and their outcomes, the idempotency of the class, the
// endpoint's readiness, and the limits for slow start, zones and retries. Every attempt is checked here
// before it is sent.
//
// Why: repeating work that may have run corrupts data, and sending to a draining or starting server, or
// beyond the budgets, can overload servers.
#pragma once
#include "policy/locality_router.h"
#include "policy/request.h"
#include "policy/retry_budget.h"
#include "policy/slow_start_limiter.h"

namespace cairnhub {

class AttemptGuard {
 public:
  AttemptGuard(const SlowStartLimiter& slow_start, const LocalityRouter& locality, RetryBudget& retries)
      : slow_start_(slow_start), locality_(locality), retries_(retries) {}
  void configure(int max_attempts, bool may_hedge);

  // Whether the shard request may be sent at all, by the rules that do not depend on the endpoint.
  bool may_send(const ShardRequest& shard_request, Time now) const;
  // Whether the shard request may be sent to this endpoint now.
  bool may_send(const ShardRequest& shard_request, Endpoint& endpoint, Time now);
  // Returns how long after `now` (nanoseconds) an attempt may still start: the remainder of the deduplication
  // window, which begins with the first attempt that may have run. kNever means no limit; a negative value
  // means that no attempt may start.
  Time max_start_delay(const ShardRequest& shard_request, Time now) const;

 private:
  const SlowStartLimiter& slow_start_;
  const LocalityRouter& locality_;
  RetryBudget& retries_;
  int max_attempts_ = 1;
  bool may_hedge_ = false;
};

}  // namespace cairnhub
