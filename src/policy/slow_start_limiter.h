// Limits the load on an endpoint that has just started.
//
// Decides: whether an endpoint that is warming up may get an attempt.
//
// Inputs: the endpoint's start time, the slow-start settings, and the successful responses of all
// endpoints. An attempt spends one credit of its endpoint. Credit accrues at the highest response rate that
// this broker has seen from the average endpoint, times the share of its capacity that the endpoint has
// reached.
//
// Why: all brokers together would overload a cold server. The response rates of all brokers add up to no
// more than the servers' capacity, so brokers need not know of each other. The highest rate is kept,
// because a limit that fell with the traffic after many failures would never let it recover.
#pragma once
#include <algorithm>

#include "base/random_source.h"
#include "policy/endpoint_table.h"

namespace cairnhub {

class SlowStartLimiter {
 public:
  // See RequestPolicy::set_slow_start.
  void configure(double initial_share, Time warmup, double overload_multiple, Time overload_span);
  void set_brokers(int brokers) { brokers_ = brokers; }

  Time warmup() const { return warmup_; }
  // Returns the share of its full capacity that the endpoint has reached, 0 to 1.
  double capacity_share(const Endpoint& endpoint, Time now) const;

  // Gives a newly started endpoint its initial credit. Part of it is random, so that not all brokers send a
  // first attempt at once.
  void endpoint_started(Endpoint& endpoint, Time now, RandomSource& random) const;
  // Whether the endpoint may get an attempt now. Also updates the endpoint's credit.
  bool allows(Endpoint& endpoint, Time now) const;
  void record_attempt(Endpoint& endpoint, Time now) const;
  void record_response(Endpoint& endpoint, Time now, EndpointTable& endpoints);
  void record_smoothed_latency(Time latency) { longest_latency_ = std::max(longest_latency_, latency); }

 private:
  bool is_warming_up(const Endpoint& endpoint, Time now) const {
    return endpoint.started_at > 0 && now - endpoint.started_at < warmup_;
  }

  double initial_share_ = 1;
  double overload_multiple_ = 1;
  double best_response_rate_ = 0;  // responses per second from the average endpoint to this broker
  double brokers_ = 1;
  Time warmup_ = 0;
  Time overload_span_ = kSecond;
  Time longest_latency_ = 1;
};

}  // namespace cairnhub
