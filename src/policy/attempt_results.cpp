#include "policy/attempt_results.h"

#include <vector>

#include "policy/batch_tracker.h"

namespace cairnhub {

void AttemptResults::record(Time now, RequestId shard_request_id, int attempt_index, AttemptOutcome outcome,
                            Time latency, bool is_final, const LoadReport& load_report) {
  Attempt* attempt = find_in_flight(shard_request_id, attempt_index);
  if (!attempt) return;
  attempt->has_ended = true;
  attempt->outcome = outcome;
  Endpoint& endpoint = *attempt->endpoint;
  std::erase(endpoint.attempts, attempt);
  BatchTracker::leave(*attempt);
  const bool has_report =
      load_report.in_flight >= 0 || load_report.cpu_share >= 0 || load_report.service_ms >= 0;
  if (has_report) endpoint.load_report = load_report;
  if (outcome == AttemptOutcome::kOk) {
    record_response(*attempt, latency, now);
  } else {
    record_failure(*attempt, now);
  }
  if (outcome == AttemptOutcome::kCancelled || outcome == AttemptOutcome::kTimedOut) {
    latencies_.record_no_response(*attempt, now);
  }
  ShardRequest& shard_request = *attempt->shard_request;
  if (is_final && !shard_request.has_response) shard_request.is_closed = true;
  Request& request = *shard_request.request;
  if (request.phase == RequestPhase::kEnded) {
    requests_.forget_if_done(request);
  } else {
    requests_.schedule_review(request);
  }
}

Attempt* AttemptResults::find_in_flight(RequestId shard_request_id, int attempt_index) const {
  ShardRequest* shard_request = requests_.shard_request(shard_request_id);
  if (!shard_request || attempt_index < 0) return nullptr;
  if (attempt_index >= static_cast<int>(shard_request->attempts.size())) return nullptr;
  Attempt* attempt = shard_request->attempts[attempt_index].get();
  return attempt->has_ended ? nullptr : attempt;
}

void AttemptResults::record_response(Attempt& attempt, Time latency, Time now) {
  ShardRequest& shard_request = *attempt.shard_request;
  RequestClass& request_class = *shard_request.request->request_class;
  latencies_.record_response(attempt, request_class, latency, now);
  outliers_.record_success(attempt, request_class, now);
  slow_start_.record_response(*attempt.endpoint, now, endpoints_);
  slow_start_.record_smoothed_latency(request_class.smoothed_latency);
  if (!shard_request.is_closed) shard_request.has_response = true;
  canceller_.cancel_attempts(shard_request);
}

void AttemptResults::record_failure(const Attempt& attempt, Time now) const {
  Endpoint& endpoint = *attempt.endpoint;
  const AttemptOutcome outcome = attempt.outcome;
  const bool is_broken = outcome == AttemptOutcome::kConnectFailed || outcome == AttemptOutcome::kReset;
  const bool is_full = outcome == AttemptOutcome::kQueueFull;
  const bool is_silent = outcome == AttemptOutcome::kTimedOut &&
                         endpoint.last_response_at <= attempt.sent_at && !attempt.is_stalled;
  const bool is_severe = is_broken || is_full || is_silent;
  if (!is_severe && outcome != AttemptOutcome::kError) return;
  const RequestClass& request_class = *attempt.shard_request->request->request_class;
  outliers_.record_failure(endpoint, is_severe, request_class, now);
}

}  // namespace cairnhub
