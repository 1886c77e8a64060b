#include "policy/retry_budget.h"

#include <algorithm>

namespace cairnhub {

namespace {

constexpr double kTokensPerFirstAttempt = 0.1;
constexpr double kMaxTokens = 16;
constexpr double kInitialTokens = kMaxTokens / 4;

}  // namespace

RetryBudget::RetryBudget() : extra_attempt_tokens_(kInitialTokens) {}

void RetryBudget::configure(double free_retries, double share, Time window, Time max_start_delay) {
  free_retries_ = free_retries;
  share_ = share;
  window_ = window;
  max_start_delay_ = max_start_delay;
}

void RetryBudget::record_arrival(Time now) {
  if (window_ > 0) arrivals_.push_back(now);
}

void RetryBudget::record_first_attempt() {
  extra_attempt_tokens_ = std::min(kMaxTokens, extra_attempt_tokens_ + kTokensPerFirstAttempt);
}

void RetryBudget::record_further_attempt(Time now) {
  if (window_ > 0) further_attempts_.push_back(now);
}

void RetryBudget::refund_extra_attempt_token() {
  extra_attempt_tokens_ = std::min(kMaxTokens, extra_attempt_tokens_ + 1);
}

bool RetryBudget::allows(Time now) {
  if (window_ <= 0) return true;
  // No window in which attempts start may exceed the budget. So at the window's edge an arrival no longer
  // counts but an attempt still does, and the attempt counts longer by the time that it may wait for its
  // connection.
  while (!arrivals_.empty() && arrivals_.front() <= now - window_) arrivals_.pop_front();
  while (!further_attempts_.empty() && further_attempts_.front() + max_start_delay_ < now - window_) {
    further_attempts_.pop_front();
  }
  const double attempts = static_cast<double>(further_attempts_.size()) + 1;
  return attempts <= free_retries_ + share_ * static_cast<double>(arrivals_.size());
}

}  // namespace cairnhub
