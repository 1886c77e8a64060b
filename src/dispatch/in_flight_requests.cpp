#include "dispatch/in_flight_requests.h"

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// What a part takes here, at its sends and in the policy, beside its bytes; and a multiget as much again.
constexpr std::size_t kPartBytes = 2048;

AttemptOutcome outcome(const Result& r) {
  switch (r.end) {
    case End::returned:
      return AttemptOutcome::kOk;
    case End::error:
      return AttemptOutcome::kError;
    case End::full:
      return AttemptOutcome::kQueueFull;
    case End::broken:
      return r.reached == Reached::wholly_written ? AttemptOutcome::kReset : AttemptOutcome::kConnectFailed;
    case End::spoilt:  // the node's connection failed, not the node; it may have run
      return r.reached == Reached::wholly_written ? AttemptOutcome::kError : AttemptOutcome::kConnectFailed;
    case End::timed_out:
      return r.reached == Reached::wholly_written ? AttemptOutcome::kTimedOut : AttemptOutcome::kNotSent;
    case End::given_up:
      return r.reached == Reached::wholly_written ? AttemptOutcome::kCancelled : AttemptOutcome::kNotSent;
  }
  return AttemptOutcome::kError;
}

}  // namespace

Query& Book::open(std::unique_ptr<Query> query) {
  Query& q = *query;
  q.id = ++last_id_;
  q.bytes = q.text.size() + kPartBytes * (1 + q.parts.size());
  for (auto& p : q.parts) q.bytes += p->text ? p->text->size() : 0;
  bytes_ += q.bytes;
  for (auto& p : q.parts) {
    p->id = ++last_id_;
    p->query = &q;
    parts_[p->id] = p.get();
  }
  names_[q.name] = &q;
  queries_[q.id] = std::move(query);
  return q;
}

Query* Book::query(RequestId id) const {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : it->second.get();
}

Part* Book::part(RequestId id) const {
  const auto it = parts_.find(id);
  return it == parts_.end() ? nullptr : it->second;
}

AttemptOutcome Book::ended(Attempt& e, const Result& result) {
  e.ended = true, e.ended_at = now();
  Part& p = *e.part;
  Query& q = *p.query;
  AttemptOutcome how = outcome(result);
  if (how == AttemptOutcome::kOk && q.client && !p.value) {
    // Danger: values without bound. One that can't stand in any answer is as good as none.
    const std::size_t n = result.value.size();
    const bool room = q.value_bytes + n <= q.values_most && bytes_ + n <= most_;
    const auto use = room ? q.client->use(p, result.value) : Client::Use::spoilt;
    if (use == Client::Use::spoilt)
      how = AttemptOutcome::kError;
    else if (use == Client::Use::taken)
      p.value.emplace();
    else
      p.value = result.value, q.value_bytes += n, q.bytes += n, bytes_ += n;
  }
  e.how = how;
  notes_.push_back({p.id, e.index, how, now() - e.sent_at});
  forget_if_done(q);
  return how;
}

bool Book::hand_over() {
  const auto notes = std::exchange(notes_, {});
  for (const Note& n : notes)  // the report that came along is not read: no decision uses it
    policy_.attempt_ended(now(), n.part, n.index, n.outcome, n.latency, n.outcome == AttemptOutcome::kOk, {});
  return !notes.empty();
}

void Book::close(Query& q) {
  q.client.reset();
  names_.erase(q.name);
  forget_if_done(q);
}

void Book::forget_if_done(Query& q) {
  if (q.client) return;
  for (const auto& p : q.parts)
    for (const auto& e : p->attempts)
      if (!e->ended) return;
  for (const auto& p : q.parts) parts_.erase(p->id);
  bytes_ -= q.bytes;
  queries_.erase(q.id);
}

}  // namespace cairnhub::dispatch
