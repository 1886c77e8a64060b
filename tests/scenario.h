// Feeds a RequestPolicy with the inputs of a test scenario and prints each input and the actions that follow
// it, one line per input. tests/traces.cpp compares the output with tests/traces/*.txt.
#pragma once
#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "policy/request_policy.h"

namespace cairnhub {

constexpr Time kMs = kSecond / 1000;

struct Scenario {
  RequestPolicy policy;
  Time now = 0;
  std::multimap<Time, std::uint64_t> wake_ups;  // tokens by time
  std::map<RequestId, int> attempt_counts;      // attempts sent so far, by shard request
  bool is_line_open = false;                    // the present line has output

  // One request class, two brokers. Shard s is held at ring positions s .. s + replicas - 1.
  explicit Scenario(RequestClass request_class, int ring_size = 2, int replicas = 2,
                    int max_shard_requests_per_batch = 1, int max_attempts = 3)
      : policy(7) {
    policy.set_brokers(2);
    policy.add_request_class(request_class);
    policy.set_layout(ring_size, replicas, max_shard_requests_per_batch);
    policy.set_attempts(max_attempts, true, true);
    policy.set_retry_after(true, kSecond);
    policy.set_tick(5 * kMs);
    policy.set_slow_start(0.2, 10 * kSecond, 2, kSecond);
  }
  static RequestClass request_class(double required_share = 1,
                                    Idempotency idempotency = Idempotency::kIdempotent) {
    RequestClass result;
    result.latency_objective = kSecond;
    result.request_timeout = 3 * kSecond;
    result.deduplication_window = 500 * kMs;
    result.late_value_share = 0.5;
    result.required_share = required_share;
    result.min_response_share = required_share;
    result.idempotency = idempotency;
    return result;
  }
  // Lists ready endpoints 1 .. count at ring positions 0 .. count - 1.
  void list_endpoints(int count, Time started_at = 0) {
    policy.start();
    policy.list_begins(now, true);
    for (int i = 0; i < count; ++i) {
      policy.list_endpoint(i + 1, EndpointState::kReady, started_at, i);
    }
    policy.list_ends();
  }
  void list_change(EndpointId id, EndpointState state, Time started_at = 0) {
    print("list: node %llu %s", printable(id), state == EndpointState::kReady ? "ready" : "away");
    policy.list_begins(now, false);
    policy.list_endpoint(id, state, started_at, static_cast<int>(id) - 1);
    policy.list_ends();
    print_actions();
  }
  // Reports request `id` with shard requests id * 10, id * 10 + 1, ... of equal weight for these shards.
  void request_arrives(RequestId id, const std::vector<int>& shards, Time time_left = 3 * kSecond) {
    print("ask %u", id);
    const int count = static_cast<int>(shards.size());
    policy.request_arrived(now, id, 0, static_cast<float>(id), false, time_left);
    for (int i = 0; i < count; ++i) {
      policy.shard_request_arrived(now, id * 10 + i, static_cast<float>(id), shards[i], 1.0 / count);
    }
    print_actions();
  }
  // @param index of the attempt; below 0: the latest attempt
  void attempt_ends(RequestId shard_request, AttemptOutcome outcome, Time latency = 100 * kMs,
                    int index = -1) {
    static const char* names[] = {"ok",    "error",     "full",    "timed out", "connect failed",
                                  "reset", "cancelled", "not sent"};
    const int attempt_index = index < 0 ? attempt_counts[shard_request] - 1 : index;
    print("back %u.%d %s", shard_request, attempt_index, names[static_cast<int>(outcome)]);
    policy.attempt_ended(now, shard_request, attempt_index, outcome, latency, outcome == AttemptOutcome::kOk,
                         {});
    print_actions();
  }
  // Carries out and prints all actions that are due, and ends the line.
  void print_actions() {
    while (const auto action = policy.next(now)) carry_out(*action);
    if (std::exchange(is_line_open, false)) std::printf("\n");
  }
  // Wakes the policy as it has asked, until the given time.
  void run_until(long long end_ms) {
    while (!wake_ups.empty() && wake_ups.begin()->first <= end_ms * kMs) {
      now = std::max(now, wake_ups.begin()->first);
      policy.woken(wake_ups.begin()->second);
      wake_ups.erase(wake_ups.begin());
      print_actions();
    }
    now = end_ms * kMs;
  }

 private:
  long long now_ms() const { return now / kMs; }
  static unsigned long long printable(EndpointId id) { return id; }
  // Appends to the line of the present input or wake-up. A wake-up without actions prints nothing.
  template <class... Args>
  void print(const char* format, Args... args) {
    if (std::exchange(is_line_open, true)) {
      std::printf("; ");
    } else {
      std::printf("%5lld  ", now_ms());
    }
    std::printf(format, args...);
  }
  void carry_out(const PolicyAction& action) {
    using Kind = PolicyAction::Kind;
    const RequestId id = action.request;
    if (action.kind == Kind::kWake) {
      wake_ups.emplace(now + action.duration, action.token);
      return;
    }
    if (action.kind == Kind::kSendAttempt) {
      print("send %u.%d to node %llu", id, attempt_counts[id]++, printable(action.endpoint));
    }
    if (action.kind == Kind::kCancelAttempt) print("cancel %u.%d", id, action.attempt_index);
    if (action.kind == Kind::kRespond) print("answer %u %s", id, action.is_complete ? "whole" : "in part");
    if (action.kind == Kind::kReject) {
      print("push back %u, come back in %lld", id, static_cast<long long>(action.duration / kMs));
    }
    if (action.kind == Kind::kFail) print("fail %u", id);
    if (action.kind == Kind::kSubscribe) print("subscribe");
    if (action.kind == Kind::kForgetEndpoint) print("forget node %llu", printable(action.endpoint));
  }
};

}  // namespace cairnhub
