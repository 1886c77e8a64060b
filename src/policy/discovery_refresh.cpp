#include "policy/discovery_refresh.h"

#include <algorithm>
#include <utility>

namespace cairnhub {

namespace {

// The interval is divided by these to get the shortest and the longest backoff.
constexpr int kShortestBackoffDivisor = 20;
constexpr int kLongestBackoffDivisor = 2;

}  // namespace

void DiscoveryRefresh::configure(bool must_subscribe, Time interval) {
  must_subscribe_ = must_subscribe;
  interval_ = interval;
}

void DiscoveryRefresh::list_failed(Time now, RandomSource& random) {
  backoff_ =
      std::clamp(2 * backoff_, interval_ / kShortestBackoffDivisor, interval_ / kLongestBackoffDivisor);
  wakes_at_ = now + static_cast<Time>((0.5 + random.unit()) * static_cast<double>(backoff_));
}

std::optional<PolicyAction> DiscoveryRefresh::next(Time now) {
  if (std::exchange(is_due_, false)) return PolicyAction{.kind = PolicyAction::Kind::kSubscribe};
  if (wakes_at_ == kNever) return std::nullopt;
  const Time wakes_at = std::exchange(wakes_at_, kNever);
  return PolicyAction{.kind = PolicyAction::Kind::kWake, .duration = wakes_at - now, .token = kWakeToken};
}

}  // namespace cairnhub
