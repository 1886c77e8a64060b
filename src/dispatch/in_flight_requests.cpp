#include "dispatch/in_flight_requests.h"

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// What a part takes here, at its sends and in the policy, beside its bytes; and a multiget as much again.
constexpr std::size_t kPartBytes = 2048;

AttemptOutcome outcome(const AttemptResult& r) {
  switch (r.end) {
    case AttemptEnd::kReturned:
      return AttemptOutcome::kOk;
    case AttemptEnd::kError:
      return AttemptOutcome::kError;
    case AttemptEnd::kQueueFull:
      return AttemptOutcome::kQueueFull;
    case AttemptEnd::kConnectionLost:
      return r.write_progress == WriteProgress::kFullyWritten ? AttemptOutcome::kReset
                                                              : AttemptOutcome::kConnectFailed;
    case AttemptEnd::kInvalidResponse:  // the node's connection failed, not the node; it may have run
      return r.write_progress == WriteProgress::kFullyWritten ? AttemptOutcome::kError
                                                              : AttemptOutcome::kConnectFailed;
    case AttemptEnd::kTimedOut:
      return r.write_progress == WriteProgress::kFullyWritten ? AttemptOutcome::kTimedOut
                                                              : AttemptOutcome::kNotSent;
    case AttemptEnd::kCancelled:
      return r.write_progress == WriteProgress::kFullyWritten ? AttemptOutcome::kCancelled
                                                              : AttemptOutcome::kNotSent;
  }
  return AttemptOutcome::kError;
}

}  // namespace

Request& InFlightRequests::add(std::unique_ptr<Request> query) {
  Request& q = *query;
  q.id = ++last_id_;
  q.memory_bytes = q.body.size() + kPartBytes * (1 + q.shard_requests.size());
  for (auto& p : q.shard_requests) q.memory_bytes += p->body ? p->body->size() : 0;
  bytes_ += q.memory_bytes;
  for (auto& p : q.shard_requests) {
    p->id = ++last_id_;
    p->request = &q;
    parts_[p->id] = p.get();
  }
  names_[q.name] = &q;
  queries_[q.id] = std::move(query);
  return q;
}

Request* InFlightRequests::find_request(RequestId id) const {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : it->second.get();
}

ShardRequest* InFlightRequests::find_shard_request(RequestId id) const {
  const auto it = parts_.find(id);
  return it == parts_.end() ? nullptr : it->second;
}

AttemptOutcome InFlightRequests::record_attempt_end(Attempt& e, const AttemptResult& result) {
  e.has_ended = true, e.ended_at = now();
  ShardRequest& p = *e.shard_request;
  Request& q = *p.request;
  AttemptOutcome how = outcome(result);
  if (how == AttemptOutcome::kOk && q.callbacks && !p.value) {
    // Danger: values without bound. One that can't stand in any answer is as good as none.
    const std::size_t n = result.value.size();
    const bool room = q.value_bytes + n <= q.max_value_bytes && bytes_ + n <= most_;
    const auto use = room ? q.callbacks->on_value(p, result.value) : RequestCallbacks::ValueUse::kInvalid;
    if (use == RequestCallbacks::ValueUse::kInvalid)
      how = AttemptOutcome::kError;
    else if (use == RequestCallbacks::ValueUse::kTaken)
      p.value.emplace();
    else
      p.value = result.value, q.value_bytes += n, q.memory_bytes += n, bytes_ += n;
  }
  e.outcome = how;
  notes_.push_back({p.id, e.index, how, now() - e.sent_at});
  forget_if_done(q);
  return how;
}

bool InFlightRequests::report_attempt_ends() {
  const auto notes = std::exchange(notes_, {});
  for (const Note& n : notes)  // the report that came along is not read: no decision uses it
    policy_.attempt_ended(now(), n.part, n.index, n.outcome, n.latency, n.outcome == AttemptOutcome::kOk, {});
  return !notes.empty();
}

void InFlightRequests::close(Request& q) {
  q.callbacks.reset();
  names_.erase(q.name);
  forget_if_done(q);
}

void InFlightRequests::forget_if_done(Request& q) {
  if (q.callbacks) return;
  for (const auto& p : q.shard_requests)
    for (const auto& e : p->attempts)
      if (!e->has_ended) return;
  for (const auto& p : q.shard_requests) parts_.erase(p->id);
  bytes_ -= q.memory_bytes;
  queries_.erase(q.id);
}

}  // namespace cairnhub::dispatch
