#include "policy/outlier_detector.h"

#include <algorithm>
#include <utility>

namespace cairnhub {

namespace {

constexpr int kOverdueDeviations = 4;
constexpr int kStalledAfterOvertaken = 3;
constexpr double kFailureRateGain = 1.0 / 4;
constexpr double kEjectionFailureRate = 0.6;

}  // namespace

Time OutlierDetector::overdue_after(const RequestClass& request_class) const {
  return std::max<Time>(
      2 * request_class.smoothed_latency,
      request_class.smoothed_latency + kOverdueDeviations * request_class.latency_deviation);
}

Time OutlierDetector::stalled_after(const RequestClass& request_class) const {
  return std::min(overdue_after(request_class), request_class.latency_objective / 2);
}

bool OutlierDetector::is_ejected_now(const Endpoint& endpoint, Time now) const {
  return endpoint.is_ejected && (now < endpoint.next_probe_at || !endpoint.attempts.empty());
}

void OutlierDetector::record_probe(Endpoint& endpoint, const RequestClass& request_class, Time now) const {
  const Time longest = Time{kFirstProbeLatencies} * kMaxProbeFactor * request_class.smoothed_latency;
  endpoint.probe_interval = std::min<Time>(2 * endpoint.probe_interval, longest);
  endpoint.next_probe_at = now + endpoint.probe_interval;
}

void OutlierDetector::record_success(const Attempt& attempt, const RequestClass& request_class,
                                     Time now) const {
  Endpoint& endpoint = *attempt.endpoint;
  endpoint.last_response_at = now;
  if (!attempt.is_overdue) endpoint.failure_rate -= kFailureRateGain * endpoint.failure_rate;
  for (Attempt* other : endpoint.attempts) {
    if (other->sent_at < attempt.sent_at) ++other->overtaken_by;
  }
  if (!endpoint.is_ejected || attempt.is_overdue) return;
  endpoint.next_probe_at = now;
  endpoint.probe_interval = kFirstProbeLatencies * request_class.smoothed_latency;
  if (endpoint.failure_rate < kEjectionFailureRate / 2) endpoint.is_ejected = false;
}

void OutlierDetector::record_failure(Endpoint& endpoint, bool is_severe, const RequestClass& request_class,
                                     Time now) const {
  endpoint.failure_rate += kFailureRateGain * (1 - endpoint.failure_rate);
  if (is_severe) endpoint.failure_rate = std::max(endpoint.failure_rate, kEjectionFailureRate);
  if (endpoint.failure_rate < kEjectionFailureRate) return;
  const bool was_ejected = std::exchange(endpoint.is_ejected, true);
  if (!was_ejected) endpoint.probe_interval = kFirstProbeLatencies * request_class.smoothed_latency;
  endpoint.next_probe_at = now + endpoint.probe_interval;
}

bool OutlierDetector::review(Attempt& attempt, const RequestClass& request_class, Time now) const {
  if (attempt.has_ended || attempt.is_stalled) return false;
  const Time age = now - attempt.sent_at;
  const Time stalled_age = stalled_after(request_class);
  const bool is_overtaken = attempt.overtaken_by >= kStalledAfterOvertaken && age >= stalled_age;
  // An attempt is silent only past twice its expected latency: an endpoint that is warming up or has a queue
  // is slow, but not silent.
  const bool is_silent = attempt.endpoint->last_response_at <= attempt.sent_at &&
                         age >= std::max(stalled_age, 2 * attempt.expected_latency);
  attempt.is_overdue = attempt.is_overdue || is_silent || is_overtaken || age >= overdue_after(request_class);
  if (!is_silent && !is_overtaken) return false;
  attempt.is_stalled = true;
  record_failure(*attempt.endpoint, is_silent, request_class, now);
  return true;
}

}  // namespace cairnhub
