#include "policy/attempt_guard.h"

#include <algorithm>

namespace cairnhub {

void AttemptGuard::configure(int max_attempts, bool may_hedge) {
  max_attempts_ = max_attempts;
  may_hedge_ = may_hedge;
}

bool AttemptGuard::may_send(const ShardRequest& shard_request, Time now) const {
  const Request& request = *shard_request.request;
  if (request.phase != RequestPhase::kCollecting || now >= request.expires_at) return false;
  if (shard_request.is_closed || shard_request.has_response) return false;
  if (static_cast<int>(shard_request.attempts.size()) >= max_attempts_) return false;
  if (!may_hedge_ && shard_request.attempts_in_flight()) return false;
  const bool is_at_most_once = request.request_class->idempotency == Idempotency::kAtMostOnce;
  if (is_at_most_once && !shard_request.has_never_run()) return false;
  return max_start_delay(shard_request, now) >= 0;
}

bool AttemptGuard::may_send(const ShardRequest& shard_request, Endpoint& endpoint, Time now) {
  return may_send(shard_request, now) && endpoint.is_ready && slow_start_.allows(endpoint, now) &&
         locality_.allows(shard_request, endpoint) &&
         (shard_request.attempts.empty() || retries_.allows(now));
}

Time AttemptGuard::max_start_delay(const ShardRequest& shard_request, Time now) const {
  const RequestClass& request_class = *shard_request.request->request_class;
  Time window_left = kNever;
  if (request_class.idempotency != Idempotency::kDeduplicated) return window_left;
  for (const auto& attempt : shard_request.attempts) {
    if (!attempt->may_have_run()) continue;
    window_left = std::min(window_left, attempt->sent_at + request_class.deduplication_window - now);
  }
  return window_left;
}

}  // namespace cairnhub
