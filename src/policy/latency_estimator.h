// Estimates the latency of endpoints.
//
// Decides: nothing. It gives the expected latency of a shard request sent now, and how much slower an
// endpoint is than the median.
//
// Inputs: the latencies of attempts (nanoseconds), and this broker's queue length at the endpoint when each
// attempt was sent.
//
// Why: one broker of a hundred rarely has an attempt in flight to a given endpoint, so its own queue length
// does not show a queue there. The estimate therefore keeps earlier samples, whose weight decays with time.
#pragma once
#include <deque>

#include "policy/request.h"
#include "policy/slow_start_limiter.h"

namespace cairnhub {

class LatencyEstimator {
 public:
  explicit LatencyEstimator(const SlowStartLimiter& slow_start) : slow_start_(slow_start) {}

  // Must be called after each change of a class's latency objective.
  void set_objectives(const std::deque<RequestClass>& classes);
  Time shortest_objective() const { return shortest_objective_; }

  void record_response(const Attempt& attempt, RequestClass& request_class, Time latency, Time now);
  // Records the age of an attempt that was cancelled or timed out as its latency, if that age is longer than
  // usual. Otherwise only the fast responses of a slow endpoint would be measured.
  void record_no_response(const Attempt& attempt, Time now) const;

  // Returns the running median of recent service times, in seconds; 0 before the first response.
  double median_service_time_s() const { return median_service_time_s_; }
  // Returns the expected latency of a shard request sent to the endpoint now, in seconds.
  double expected_latency_s(const Endpoint& endpoint, Time now) const;
  // Returns how much slower the endpoint is than the median, on a logarithmic scale: each level is a factor
  // of 1.4. 0 if the endpoint is not known to be slower.
  int slowness_level(const Endpoint& endpoint, Time now) const;

 private:
  void add_sample(Endpoint& endpoint, Time latency, int queue_length, Time now) const;
  double sample_weight(const Endpoint& endpoint, Time now) const;
  double blended_service_time_s(const Endpoint& endpoint, double default_s, Time now) const;

  const SlowStartLimiter& slow_start_;
  Time shortest_objective_ = kNever;
  double median_service_time_s_ = 0;
};

}  // namespace cairnhub
