// Every rule that forbids an attempt.
//
// Decides: whether a shard request may be sent at all, to a given endpoint, and how late the attempt may
// begin.
//
// Inputs: deadlines, earlier attempts and their outcomes, the class's idempotency, the endpoint list, and
// the limits on slow starts, zones and retries. Nothing is sent without asking here.
//
// Why: repeating work that may have run corrupts data; sending to a draining or starting server, or past
// the budgets, takes servers down.
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

  // To whatever endpoint.
  bool may_send(const ShardRequest& shard_request, Time now) const;
  bool may_send(const ShardRequest& shard_request, Endpoint& endpoint, Time now);
  // How much later than now an attempt may begin: what is left of the deduplication window, counted from the
  // first attempt that may have run. kNever: no such limit; below 0: not at all.
  Time max_start_delay(const ShardRequest& shard_request, Time now) const;

 private:
  const SlowStartLimiter& slow_start_;
  const LocalityRouter& locality_;
  RetryBudget& retries_;
  int max_attempts_ = 1;
  bool may_hedge_ = false;
};

}  // namespace cairnhub
