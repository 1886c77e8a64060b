#include "policy/hedging.h"

#include <algorithm>

namespace cairnhub {

namespace {

// Whether the present step of the request still lacks this response.
bool is_awaited(const Request& request, const ShardRequest& shard_request) {
  return shard_request.step == request.step && !shard_request.has_response;
}

bool awaits_first_attempt(const ShardRequest& shard_request) {
  return shard_request.is_selected && shard_request.attempts.empty();
}

double received_and_pending_weight(const Request& request) {
  double weight = request.received_weight();
  for (const auto& shard_request : request.shard_requests) {
    if (is_awaited(request, *shard_request) && shard_request->is_pending()) weight += shard_request->weight;
  }
  return weight;
}

}  // namespace

std::optional<PolicyAction> Hedging::send_next(Request& request, Time now) {
  if (auto action = send_first_attempt(request, now)) return action;
  if (received_and_pending_weight(request) >= request.required_weight()) return std::nullopt;
  if (auto action = retry_never_run(request, now)) return action;
  if (!retries_.has_extra_attempt_token() || !completion_.has_time_for_extra_attempts(request, now)) {
    return std::nullopt;
  }
  if (auto action = send_extra_attempt(request, false, now)) return action;
  return send_extra_attempt(request, true, now);
}

std::optional<PolicyAction> Hedging::send_first_attempt(Request& request, Time now) {
  for (auto& shard_request : request.shard_requests) {
    if (!is_awaited(request, *shard_request) || !awaits_first_attempt(*shard_request)) continue;
    Endpoint* endpoint = replicas_.pick(*shard_request, now);
    if (endpoint) return sender_.send(*shard_request, *endpoint, now, false);
  }
  return std::nullopt;
}

std::optional<PolicyAction> Hedging::retry_never_run(Request& request, Time now) {
  for (auto& shard_request : request.shard_requests) {
    if (!is_awaited(request, *shard_request) || shard_request->attempts.empty()) continue;
    if (shard_request->attempts_in_flight() || !shard_request->has_never_run()) continue;
    Endpoint* endpoint = replicas_.pick(*shard_request, now);
    if (endpoint) return sender_.send(*shard_request, *endpoint, now, false);
  }
  return std::nullopt;
}

std::optional<PolicyAction> Hedging::send_extra_attempt(Request& request, bool is_selected, Time now) {
  for (auto& shard_request : request.shard_requests) {
    if (!is_awaited(request, *shard_request) || shard_request->is_selected != is_selected) continue;
    if (shard_request->is_pending() || awaits_first_attempt(*shard_request)) continue;
    Endpoint* endpoint = replicas_.pick(*shard_request, now);
    if (!endpoint || !may_send_extra_attempt(*shard_request, *endpoint, now)) continue;
    shard_request->is_selected = true;
    return sender_.send(*shard_request, *endpoint, now, true);
  }
  return std::nullopt;
}

// A shard request with an attempt at a merely slow endpoint is hedged only if that takes no capacity from
// other requests.
bool Hedging::may_send_extra_attempt(const ShardRequest& shard_request, const Endpoint& endpoint,
                                     Time now) const {
  const bool is_merely_slow =
      std::any_of(shard_request.attempts.begin(), shard_request.attempts.end(), [](const auto& attempt) {
        return !attempt->has_ended && !attempt->is_stalled && !attempt->endpoint->is_ejected;
      });
  if (!is_merely_slow) return true;
  return endpoint.batches_in_flight == 0 && endpoint.zone == 0 && !outliers_.is_ejected_now(endpoint, now);
}

}  // namespace cairnhub
