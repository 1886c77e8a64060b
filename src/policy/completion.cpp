#include "policy/completion.h"

#include <algorithm>

namespace cairnhub {

namespace {

// An extra attempt may be in time while this part of the smoothed latency is left.
constexpr int kExtraAttemptLatencyDivisor = 2;

}  // namespace

void Completion::configure(bool may_send_retry_after, Time longest_retry_after) {
  may_send_retry_after_ = may_send_retry_after;
  longest_retry_after_ = longest_retry_after;
}

std::optional<PolicyAction> Completion::respond_if_due(Request& request, Time now) {
  const double received = request.received_weight();
  bool has_response = false;
  double possible = 0;
  for (const auto& shard_request : request.shard_requests) {
    if (shard_request->step != request.step) continue;
    has_response = has_response || shard_request->has_response;
    if (shard_request->has_response || may_still_get_response(*shard_request, now)) {
      possible += shard_request->weight;
    }
  }
  if (has_response && received >= request.required_weight()) {
    return respond(request, request.step == 1 || request.is_first_step_complete, now);
  }
  const bool may_become_complete = possible >= request.required_weight();
  if (now < deadlines_.useful_until(request) && may_become_complete) return std::nullopt;
  const RequestClass& request_class = *request.request_class;
  const bool may_be_partial =
      request_class.min_response_share < request_class.required_share - kWeightTolerance &&
      request_class.partial_value_share > 0;
  if (has_response && may_be_partial && received >= request_class.min_response_share) {
    return respond(request, false, now);
  }
  return reject_or_fail(request);
}

PolicyAction Completion::reject_or_fail(Request& request, Time retry_after) {
  const bool may_client_retry =
      request.request_class->idempotency == Idempotency::kIdempotent ||
      std::all_of(request.shard_requests.begin(), request.shard_requests.end(),
                  [](const auto& shard_request) { return shard_request->has_never_run(); });
  end(request, false);
  if (!may_client_retry) return {.kind = PolicyAction::Kind::kFail, .request = request.id};
  const Time sent_retry_after = may_send_retry_after_ ? std::min(retry_after, longest_retry_after_) : 0;
  return {.kind = PolicyAction::Kind::kReject, .request = request.id, .duration = sent_retry_after};
}

void Completion::end(Request& request, bool is_in_time) {
  if (request.is_admitted && is_in_time) admission_.record_in_time();
  if (request.is_admitted && !is_in_time) admission_.record_late();
  requests_.end(request);
  for (auto& shard_request : request.shard_requests) {
    canceller_.cancel_attempts(*shard_request);
  }
}

bool Completion::has_time_for_extra_attempts(const Request& request, Time now) const {
  return deadlines_.objective_deadline(request) - now >=
         request.request_class->smoothed_latency / kExtraAttemptLatencyDivisor;
}

PolicyAction Completion::respond(Request& request, bool is_complete, Time now) {
  if (request.step == 1 && request.request_class->second_step_shard_requests > 0) {
    request.phase = RequestPhase::kAwaitingSecondStep;
    request.is_first_step_complete = is_complete;
    for (auto& shard_request : request.shard_requests) {
      shard_request->is_closed = true;
      canceller_.cancel_attempts(*shard_request);
    }
  } else {
    end(request, now <= deadlines_.objective_deadline(request));
  }
  return {.kind = PolicyAction::Kind::kRespond, .request = request.id, .is_complete = is_complete};
}

// Whether a response to the shard request can still arrive. That is no longer so once every attempt in flight
// is stalled and older than the latency objective plus overdue_after(), and no further attempt will be sent.
bool Completion::may_still_get_response(const ShardRequest& shard_request, Time now) {
  const Request& request = *shard_request.request;
  const RequestClass& request_class = *request.request_class;
  for (const auto& attempt : shard_request.attempts) {
    if (attempt->has_ended) continue;
    const Time longest_wait = request_class.latency_objective + outliers_.overdue_after(request_class);
    if (!attempt->is_stalled || now - attempt->sent_at < longest_wait) return true;
  }
  // An admitted request whose attempts no zone limit allows would otherwise make its client wait until the
  // deadline.
  if (request.is_admitted && locality_.is_enabled() && !replicas_.pick(shard_request, now)) return false;
  return guard_.may_send(shard_request, now) &&
         (shard_request.has_never_run() || has_time_for_extra_attempts(request, now));
}

}  // namespace cairnhub
