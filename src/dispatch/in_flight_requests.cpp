#include "dispatch/in_flight_requests.h"

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// Memory of a shard request in addition to its body and value, with its attempts and its state in the policy;
// a request takes the same amount once more.
constexpr std::size_t kShardRequestBytes = 2048;

AttemptOutcome outcome_of(const AttemptResult& result) {
  const bool is_fully_written = result.write_progress == WriteProgress::kFullyWritten;
  switch (result.end) {
    case AttemptEnd::kReturned:
      return AttemptOutcome::kOk;
    case AttemptEnd::kError:
      return AttemptOutcome::kError;
    case AttemptEnd::kQueueFull:
      return AttemptOutcome::kQueueFull;
    case AttemptEnd::kConnectionLost:
      return is_fully_written ? AttemptOutcome::kReset : AttemptOutcome::kConnectFailed;
    case AttemptEnd::kInvalidResponse:  // the connection failed, not the endpoint; the attempt may have run
      return is_fully_written ? AttemptOutcome::kError : AttemptOutcome::kConnectFailed;
    case AttemptEnd::kTimedOut:
      return is_fully_written ? AttemptOutcome::kTimedOut : AttemptOutcome::kNotSent;
    case AttemptEnd::kCancelled:
    case AttemptEnd::kNoMemory:
      return is_fully_written ? AttemptOutcome::kCancelled : AttemptOutcome::kNotSent;
  }
  return AttemptOutcome::kError;
}

}  // namespace

Request& InFlightRequests::add(std::unique_ptr<Request> added) {
  Request& request = *added;
  request.id = ++last_id_;
  std::size_t bytes = request.body.size() + kShardRequestBytes * (1 + request.shard_requests.size());
  for (auto& shard_request : request.shard_requests) {
    bytes += shard_request->body ? shard_request->body->size() : 0;
  }
  request.request_memory = MemoryReservation(memory_, MemoryUse::kRequests, bytes);
  request.value_memory = MemoryReservation(memory_, MemoryUse::kAnswers);
  for (auto& shard_request : request.shard_requests) {
    shard_request->id = ++last_id_;
    shard_request->request = &request;
    shard_requests_[shard_request->id] = shard_request.get();
  }
  names_[request.name] = &request;
  requests_[request.id] = std::move(added);
  return request;
}

Request* InFlightRequests::find_request(RequestId id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : it->second.get();
}

ShardRequest* InFlightRequests::find_shard_request(RequestId id) const {
  const auto it = shard_requests_.find(id);
  return it == shard_requests_.end() ? nullptr : it->second;
}

AttemptOutcome InFlightRequests::record_attempt_end(Attempt& attempt, const AttemptResult& result) {
  attempt.has_ended = true;
  attempt.ended_at = now();
  ShardRequest& shard_request = *attempt.shard_request;
  Request& request = *shard_request.request;
  AttemptOutcome outcome = outcome_of(result);
  attempt.lacked_memory = result.end == AttemptEnd::kNoMemory;
  if (outcome == AttemptOutcome::kOk && request.callbacks && !shard_request.value) {
    const auto use = offer_value(shard_request, result.value);
    if (use == RequestCallbacks::ValueUse::kInvalid) {
      outcome = AttemptOutcome::kError;
    } else if (use == RequestCallbacks::ValueUse::kNoMemory) {
      outcome = AttemptOutcome::kCancelled;
      attempt.lacked_memory = true;
    } else if (use == RequestCallbacks::ValueUse::kTaken) {
      shard_request.value.emplace();
    } else {
      shard_request.value = result.value;
      request.value_memory.add(result.value.size());
    }
  }
  attempt.outcome = outcome;
  // Another attempt's response would take as much memory.
  const bool is_final = outcome == AttemptOutcome::kOk || attempt.lacked_memory;
  ended_attempts_.push_back({shard_request.id, attempt.index, outcome, now() - attempt.sent_at, is_final});
  remove_if_done(request);
  return outcome;
}

// Values must not grow without bound. A value that doesn't fit into any response counts as an error of the
// endpoint; a lack of memory doesn't.
RequestCallbacks::ValueUse InFlightRequests::offer_value(const ShardRequest& shard_request,
                                                         std::string_view value) const {
  const Request& request = *shard_request.request;
  if (request.value_memory.bytes() + value.size() > request.max_value_bytes) {
    return RequestCallbacks::ValueUse::kInvalid;
  }
  if (!memory_->limiter().admits_value(memory_->held_bytes(), value.size())) {
    return RequestCallbacks::ValueUse::kNoMemory;
  }
  return request.callbacks->on_value(shard_request, value);
}

bool InFlightRequests::report_attempt_ends() {
  const auto ended_attempts = std::exchange(ended_attempts_, {});
  // The endpoints' load reports are left out: no decision uses them.
  for (const EndedAttempt& ended : ended_attempts) {
    policy_.attempt_ended(now(), ended.shard_request, ended.index, ended.outcome, ended.latency,
                          ended.is_final, {});
  }
  return !ended_attempts.empty();
}

void InFlightRequests::close(Request& request) {
  request.callbacks.reset();
  names_.erase(request.name);
  remove_if_done(request);
}

void InFlightRequests::remove_if_done(Request& request) {
  if (request.callbacks) return;
  for (const auto& shard_request : request.shard_requests) {
    for (const auto& attempt : shard_request->attempts) {
      if (!attempt->has_ended) return;
    }
  }
  for (const auto& shard_request : request.shard_requests) shard_requests_.erase(shard_request->id);
  requests_.erase(request.id);
}

}  // namespace cairnhub::dispatch
