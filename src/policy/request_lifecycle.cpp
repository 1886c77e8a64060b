#include "policy/request_lifecycle.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cairnhub {

namespace {

// While the smoothed latency is less than this part of the latency objective, the servers have capacity to
// spare.
constexpr int kUnloadedDivisor = 4;
// A request with a shard request that is not pending is reviewed again after this part of the smoothed
// latency.
constexpr int kReviewDivisor = 4;

}  // namespace

void RequestLifecycle::request_arrived(Time now, RequestId id, RequestClass& request_class,
                                       float correlation_id, bool is_client_retry, Time time_left) {
  auto request = std::make_unique<Request>();
  request->id = id;
  request->request_class = &request_class;
  request->correlation_id = correlation_id;
  request->is_client_retry = is_client_retry;
  request->arrived_at = now;
  request->expires_at = now + time_left;
  deadlines_.record_arrival(request_class, time_left);
  retries_.record_arrival(now);
  requests_.add(std::move(request));
}

void RequestLifecycle::shard_request_arrived(Time now, RequestId id, float correlation_id, int shard,
                                             double weight) {
  Request* request = requests_.request_by_correlation_id(correlation_id);
  if (!request) return;
  if (request->phase == RequestPhase::kAwaitingSecondStep) {
    request->phase = RequestPhase::kCollecting;
    request->step = 2;
  }
  auto shard_request = std::make_unique<ShardRequest>();
  shard_request->id = id;
  shard_request->request = request;
  shard_request->shard = shard;
  shard_request->step = request->step;
  shard_request->weight = weight;
  shard_request->is_selected = request->step == 2;  // a second step needs all of them
  retries_.record_arrival(now);
  requests_.add(*request, std::move(shard_request));
}

void RequestLifecycle::request_abandoned(RequestId id) {
  Request* request = requests_.request(id);
  if (!request || request->phase == RequestPhase::kEnded) return;
  completion_.end(*request, false);
  requests_.schedule_review(*request);
}

void RequestLifecycle::woken(RequestId id) {
  Request* request = requests_.request(id);
  if (!request) return;
  // The wake-up is used up, even if it came too early by a rounding error; it is then requested again.
  request->wakes_at = kNever;
  requests_.schedule_review(*request);
}

std::optional<PolicyAction> RequestLifecycle::review(Request& request, Time now) {
  if (request.phase == RequestPhase::kEnded) return std::nullopt;
  if (request.phase == RequestPhase::kCollecting) {
    if (auto action = review_collecting(request, now)) return action;
  } else if (now >= deadlines_.useful_until(request)) {
    return completion_.reject_or_fail(request);
  }
  return schedule_wake(request, now);
}

std::optional<PolicyAction> RequestLifecycle::review_collecting(Request& request, Time now) {
  if (auto action = completion_.respond_if_due(request, now)) return action;
  if (!request.is_admitted) {
    if (const auto retry_after = admission_.admit(request, now)) {
      return completion_.reject_or_fail(request, *retry_after);
    }
  }
  review_attempts(request, now);
  return hedging_.send_next(request, now);
}

void RequestLifecycle::review_attempts(Request& request, Time now) {
  const RequestClass& request_class = *request.request_class;
  for (auto& shard_request : request.shard_requests) {
    for (auto& attempt : shard_request->attempts) {
      const bool has_just_stalled = outliers_.review(*attempt, request_class, now);
      const bool has_capacity =
          kUnloadedDivisor * request_class.smoothed_latency < request_class.latency_objective;
      if (has_just_stalled && has_capacity) retries_.refund_extra_attempt_token();
    }
  }
}

// Requests a wake-up for when something about the request falls due, at the latest its end.
std::optional<PolicyAction> RequestLifecycle::schedule_wake(Request& request, Time now) const {
  const Time wakes_at = next_review_at(request, now);
  if (request.wakes_at <= wakes_at) return std::nullopt;  // an earlier wake-up is still to come
  request.wakes_at = wakes_at;
  return PolicyAction{.kind = PolicyAction::Kind::kWake, .duration = wakes_at - now, .token = request.id};
}

Time RequestLifecycle::next_review_at(const Request& request, Time now) const {
  const RequestClass& request_class = *request.request_class;
  const Time tick = deadlines_.tick();
  const Time stalled_after = outliers_.stalled_after(request_class);
  const Time overdue_after = outliers_.overdue_after(request_class);
  Time review_at = std::max(deadlines_.useful_until(request), now);
  for (const auto& shard_request : request.shard_requests) {
    const bool is_awaited = shard_request->step == request.step && !shard_request->has_response;
    if (!is_awaited || !shard_request->is_selected) continue;
    if (!shard_request->is_pending()) {
      review_at =
          std::min(review_at, now + std::max<Time>(request_class.smoothed_latency / kReviewDivisor, tick));
    }
    for (const auto& attempt : shard_request->attempts) {
      if (attempt->has_ended || attempt->is_overdue) continue;
      const bool is_before_stalled = now < attempt->sent_at + stalled_after;
      const Time due_at = attempt->sent_at + (is_before_stalled ? stalled_after : overdue_after);
      review_at = std::min(review_at, std::max(due_at, now + tick));
    }
  }
  return review_at;
}

}  // namespace cairnhub
