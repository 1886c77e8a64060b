// Limits further attempts: all attempts of a shard request after its first.
//
// Decides: whether a further attempt is within the configured budget, which covers a moving window, and
// whether a token is available for an extra attempt (see Hedging).
//
// Inputs: the times of arrivals and of further attempts (nanoseconds), and the number of first attempts.
//
// Why: retries and hedges multiply the load just when servers are overloaded.
#pragma once
#include <deque>

#include "base/time.h"

namespace cairnhub {

class RetryBudget {
 public:
  RetryBudget();

  // See RequestPolicy::set_retry_budget. A window of 0 means that there is no budget.
  void configure(double free_retries, double share, Time window, Time max_start_delay);

  // Records the arrival of a request or a shard request.
  void record_arrival(Time now);
  // Records the first attempt of a shard request, which adds a part of a token.
  void record_first_attempt();
  void record_further_attempt(Time now);
  // Whether the budget allows one further attempt now.
  bool allows(Time now);

  bool has_extra_attempt_token() const { return extra_attempt_tokens_ >= 1; }
  void spend_extra_attempt_token() { extra_attempt_tokens_ -= 1; }
  // Called when an attempt is lost through a fault of its endpoint while the servers have capacity to spare.
  void refund_extra_attempt_token();

 private:
  double free_retries_ = 0;
  double share_ = 0;
  double extra_attempt_tokens_;
  Time window_ = 0;
  Time max_start_delay_ = 0;
  std::deque<Time> arrivals_;  // both oldest first
  std::deque<Time> further_attempts_;
};

}  // namespace cairnhub
