#include "policy/slow_start_limiter.h"

namespace cairnhub {

namespace {

constexpr double kSafetyShare = 0.8;     // the rest allows for shard requests heavier than the average
constexpr double kMaxSavedAttempts = 4;  // credit that an endpoint keeps
constexpr int kResponseSpans = 4;        // responses are counted over this many overload spans

}  // namespace

void SlowStartLimiter::configure(double initial_share, Time warmup, double overload_multiple,
                                 Time overload_span) {
  initial_share_ = initial_share;
  warmup_ = warmup;
  overload_multiple_ = overload_multiple;
  overload_span_ = std::max<Time>(overload_span, 1);
}

double SlowStartLimiter::capacity_share(const Endpoint& endpoint, Time now) const {
  if (!is_warming_up(endpoint, now)) return 1;
  const double progress = std::max(0.0, seconds(now - endpoint.started_at) / seconds(warmup_));
  return initial_share_ + (1 - initial_share_) * progress;
}

void SlowStartLimiter::endpoint_started(Endpoint& endpoint, Time now, RandomSource& random) const {
  endpoint.slow_start_credit = random.unit() + kSafetyShare * overload_multiple_ * initial_share_;
  endpoint.slow_start_credit_at = now;
}

bool SlowStartLimiter::allows(Endpoint& endpoint, Time now) const {
  if (!is_warming_up(endpoint, now)) return true;
  const double share =
      (capacity_share(endpoint, endpoint.slow_start_credit_at) + capacity_share(endpoint, now)) / 2;
  // The rate of an endpoint that runs shard requests one at a time, divided among all brokers. It holds even
  // before any response was measured.
  const double min_rate = 1 / (brokers_ * seconds(longest_latency_));
  const double rate = std::max(best_response_rate_, min_rate);
  const double gained =
      kSafetyShare * overload_multiple_ * share * rate * seconds(now - endpoint.slow_start_credit_at);
  endpoint.slow_start_credit = std::min(kMaxSavedAttempts, endpoint.slow_start_credit + gained);
  endpoint.slow_start_credit_at = now;
  return endpoint.slow_start_credit >= 1;
}

void SlowStartLimiter::record_attempt(Endpoint& endpoint, Time now) const {
  if (is_warming_up(endpoint, now)) endpoint.slow_start_credit -= 1;
}

void SlowStartLimiter::record_response(Endpoint& endpoint, Time now, EndpointTable& endpoints) {
  const Time span = kResponseSpans * overload_span_;
  endpoints.record_response(endpoint, now, now - span);
  best_response_rate_ = std::max(best_response_rate_, endpoints.mean_recent_responses() / seconds(span));
}

}  // namespace cairnhub
