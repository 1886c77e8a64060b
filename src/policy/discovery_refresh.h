// Keeps up the subscription to the endpoint list.
//
// Decides: when to subscribe: at the start, and after each reported failure once a backoff of 1/20 to 1/2
// of the configured interval (nanoseconds), times a random factor of 0.5 to 1.5, has passed.
//
// Inputs: the settings and the reported failures. This class does not detect silence; the caller reports it
// with list_failed(). Until a new list arrives, endpoints stay as last listed.
//
// Why: without a subscription, requests go to servers that are down. Brokers that all subscribe again at
// the same moment overload discovery, so the backoff doubles with each failure and is randomized.
#pragma once
#include <cstdint>
#include <optional>

#include "base/random_source.h"
#include "policy/policy_action.h"

namespace cairnhub {

class DiscoveryRefresh {
 public:
  static constexpr std::uint64_t kWakeToken = ~std::uint64_t{0};

  // See RequestPolicy::set_discovery.
  void configure(bool must_subscribe, Time interval);
  void start() { is_due_ = must_subscribe_; }
  // The wake-up with kWakeToken is due.
  void woken() { is_due_ = must_subscribe_; }
  // A list has arrived, so the next backoff starts from the shortest one.
  void list_received() { backoff_ = 0; }
  void list_failed(Time now, RandomSource& random);
  // @return a kSubscribe or kWake action, if one is due
  std::optional<PolicyAction> next(Time now);

 private:
  bool must_subscribe_ = false;
  bool is_due_ = false;
  Time interval_ = 10 * kSecond;
  Time backoff_ = 0;
  Time wakes_at_ = kNever;
};

}  // namespace cairnhub
