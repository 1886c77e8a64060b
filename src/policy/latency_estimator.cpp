#include "policy/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace cairnhub {

namespace {

constexpr double kLatencyGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kMinEndpointGain = 1.0 / 4;
// The weight of a sample falls to 1/e within this many of the shortest latency objectives.
constexpr double kSampleDecayObjectives = 10;
constexpr double kMedianGain = 1.0 / 32;
constexpr double kSlownessRatio = 1.4;  // service time per slowness level

Time scaled(double gain, Time difference) { return static_cast<Time>(gain * difference); }

}  // namespace

void LatencyEstimator::set_objectives(const std::deque<RequestClass>& classes) {
  shortest_objective_ = kNever;
  for (const RequestClass& request_class : classes) {
    shortest_objective_ = std::min(shortest_objective_, request_class.latency_objective);
  }
}

void LatencyEstimator::record_response(const Attempt& attempt, RequestClass& request_class, Time latency,
                                       Time now) {
  const Time deviation = std::abs(latency - request_class.smoothed_latency);
  request_class.latency_deviation += scaled(kDeviationGain, deviation - request_class.latency_deviation);
  request_class.smoothed_latency += scaled(kLatencyGain, latency - request_class.smoothed_latency);
  const double service_time_s = seconds(latency) / (attempt.queue_length_before + 1);
  if (median_service_time_s_ == 0) median_service_time_s_ = service_time_s;
  median_service_time_s_ *= service_time_s > median_service_time_s_ ? 1 + kMedianGain : 1 - kMedianGain;
  add_sample(*attempt.endpoint, latency, attempt.queue_length_before + 1, now);
}

void LatencyEstimator::record_no_response(const Attempt& attempt, Time now) const {
  const double age_s = seconds(now - attempt.sent_at);
  const double usual_s = std::max(median_service_time_s_, attempt.endpoint->service_time_s);
  if (age_s > usual_s * (attempt.queue_length_before + 1)) {
    add_sample(*attempt.endpoint, now - attempt.sent_at, attempt.queue_length_before + 1, now);
  }
}

double LatencyEstimator::expected_latency_s(const Endpoint& endpoint, Time now) const {
  const double default_s = median_service_time_s_ / slow_start_.capacity_share(endpoint, now);
  return blended_service_time_s(endpoint, default_s, now) * (queue_length(endpoint) + 1);
}

int LatencyEstimator::slowness_level(const Endpoint& endpoint, Time now) const {
  const double median_s = median_service_time_s_;
  const double ratio = median_s > 0 ? blended_service_time_s(endpoint, median_s, now) / median_s : 1;
  return ratio > 1 ? static_cast<int>(std::log(ratio) / std::log(kSlownessRatio)) : 0;
}

// Latency and queue length are smoothed separately, because a mean of their ratios would hide the responses
// that had to queue.
void LatencyEstimator::add_sample(Endpoint& endpoint, Time latency, int queue_length, Time now) const {
  const bool has_samples = endpoint.samples++ > 0;
  const double gain = has_samples ? std::max(kMinEndpointGain, 1 - sample_weight(endpoint, now)) : 1;
  endpoint.latency_s += gain * (seconds(latency) - endpoint.latency_s);
  endpoint.queue_length += gain * (queue_length - endpoint.queue_length);
  endpoint.service_time_s = endpoint.latency_s / endpoint.queue_length;
  endpoint.sampled_at = now;
}

// Returns the weight of the endpoint's measurements: 1 right after a sample, then falling towards 0.
double LatencyEstimator::sample_weight(const Endpoint& endpoint, Time now) const {
  if (!endpoint.samples) return 0;
  return std::exp(-seconds(now - endpoint.sampled_at) /
                  (kSampleDecayObjectives * seconds(shortest_objective_)));
}

// Returns the endpoint's measured service time, blended with default_s by the weight of the measurements.
double LatencyEstimator::blended_service_time_s(const Endpoint& endpoint, double default_s, Time now) const {
  return default_s + sample_weight(endpoint, now) * (endpoint.service_time_s - default_s);
}

}  // namespace cairnhub
