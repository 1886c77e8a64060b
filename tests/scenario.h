// Shared helper: tells a RequestPolicy a small story and prints what it decides, for `diff` with a kept
// trace.
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

struct Story {
  RequestPolicy d;
  Time now = 0;
  std::multimap<Time, std::uint64_t> wakes;
  std::map<RequestId, int> sends;  // a part's sends so far
  bool said = false;               // something stands on this line already

  // One op type, two brokers; a shard is held by `replicas` cells in a row, of one node each.
  explicit Story(RequestClass op, int cells = 2, int replicas = 2, int parts_a_call = 1, int send_limit = 3)
      : d(7) {
    d.set_brokers(2);
    d.add_request_class(op);
    d.set_layout(cells, replicas, parts_a_call);
    d.set_attempts(send_limit, true, true);
    d.set_retry_after(true, kSecond);
    d.set_tick(5 * kMs);
    d.set_slow_start(0.2, 10 * kSecond, 2, kSecond);
  }
  static RequestClass op(double need = 1, Idempotency idempotency = Idempotency::kIdempotent) {
    RequestClass t;
    t.latency_objective = kSecond, t.request_timeout = 3 * kSecond, t.deduplication_window = 500 * kMs;
    t.late_value_share = 0.5, t.required_share = t.min_response_share = need, t.idempotency = idempotency;
    return t;
  }
  // Ready nodes 1..count in cells 0.., long started.
  void nodes(int count, Time started = 0) {
    d.start();
    d.list_begins(now, true);
    for (int i = 0; i < count; ++i) d.list_endpoint(i + 1, EndpointState::kReady, started, i);
    d.list_ends();
  }
  void change(EndpointId id, EndpointState state, Time started = 0) {
    say("list: node %llu %s", id_of(id), state == EndpointState::kReady ? "ready" : "away");
    d.list_begins(now, false);
    d.list_endpoint(id, state, started, static_cast<int>(id) - 1);
    d.list_ends();
    pull();
  }
  // Multiget `id` with parts id*10, id*10+1 .. at these shards.
  void ask(RequestId id, const std::vector<int>& shards, Time left = 3 * kSecond) {
    say("ask %u", id);
    const int k = static_cast<int>(shards.size());
    d.request_arrived(now, id, 0, static_cast<float>(id), false, left);
    for (int i = 0; i < k; ++i)
      d.shard_request_arrived(now, id * 10 + i, static_cast<float>(id), shards[i], 1.0 / k);
    pull();
  }
  void back(RequestId part, AttemptOutcome outcome, Time latency = 100 * kMs, int index = -1) {
    static const char* names[] = {"ok",    "error",     "full",    "timed out", "connect failed",
                                  "reset", "cancelled", "not sent"};
    const int i = index < 0 ? sends[part] - 1 : index;
    say("back %u.%d %s", part, i, names[static_cast<int>(outcome)]);
    d.attempt_ended(now, part, i, outcome, latency, outcome == AttemptOutcome::kOk, {});
    pull();
  }
  void pull() {
    while (const auto x = d.next(now)) show(*x);
    if (std::exchange(said, false)) std::printf("\n");
  }
  void run_to(long long at_ms) {
    while (!wakes.empty() && wakes.begin()->first <= at_ms * kMs) {
      now = std::max(now, wakes.begin()->first);
      d.woken(wakes.begin()->second);
      wakes.erase(wakes.begin());
      pull();
    }
    now = at_ms * kMs;
  }

 private:
  long long ms() const { return now / kMs; }
  static unsigned long long id_of(EndpointId id) { return id; }
  // A line for each input, or wake-up that brings something, with the decisions it led to.
  template <class... Args>
  void say(const char* format, Args... args) {
    if (std::exchange(said, true))
      std::printf("; ");
    else
      std::printf("%5lld  ", ms());
    std::printf(format, args...);
  }
  void show(const PolicyAction& x) {
    using K = PolicyAction::Kind;
    if (x.kind == K::kWake) {
      wakes.emplace(now + x.duration, x.token);
      return;
    }
    if (x.kind == K::kSendAttempt)
      say("send %u.%d to node %llu", x.request, sends[x.request]++, id_of(x.endpoint));
    if (x.kind == K::kCancelAttempt) say("cancel %u.%d", x.request, x.attempt_index);
    if (x.kind == K::kRespond) say("answer %u %s", x.request, x.is_complete ? "whole" : "in part");
    if (x.kind == K::kReject)
      say("push back %u, come back in %lld", x.request, static_cast<long long>(x.duration / kMs));
    if (x.kind == K::kFail) say("fail %u", x.request);
    if (x.kind == K::kSubscribe) say("subscribe");
    if (x.kind == K::kForgetEndpoint) say("forget node %llu", id_of(x.endpoint));
  }
};

}  // namespace cairnhub
