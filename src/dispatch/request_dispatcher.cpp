#include "dispatch/request_dispatcher.h"

#include <algorithm>

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// No attempt may begin later than 0.1 s after its client has gone.
constexpr Time kLookAtClientsEvery = 50 * kSecond / 1000;

// Sets a mark for as long as it lives. Danger: an exception that left the mark behind would be the last turn.
class Mark {
 public:
  explicit Mark(bool& mark) : mark_(mark) { mark_ = true; }
  ~Mark() { mark_ = false; }
  Mark(const Mark&) = delete;
  Mark& operator=(const Mark&) = delete;

 private:
  bool& mark_;
};

}  // namespace

Route::Route(event_base* base, RequestPolicy& policy, Book& book, Hosts& hosts,
             std::function<void(EndpointId)> forget, std::function<bool()> follow_up, Trace::Names names)
    : policy_(policy),
      book_(book),
      hosts_(hosts),
      forget_(std::move(forget)),
      follow_up_(std::move(follow_up)),
      wake_(base, [this] { turn(); }),
      trace_(std::move(names)) {}

void Route::hold(Common& common, Held held) {
  common_ = &common, with_ = std::move(held);
  with_.apply();
}

void Route::derived(int op_type, int from) { derived_[op_type] = from; }

int Route::counted_as(int op_type) const {
  const auto it = derived_.find(op_type);
  return it == derived_.end() ? op_type : it->second;
}

const OpLimits& Route::limits(int op_type) {
  static const OpLimits none;
  if (!common_) return none;
  look();
  return common_->limits(counted_as(op_type));
}

bool Route::two_phase(int op_type) {
  look();
  return !common_ || common_->two_phase(op_type);
}

bool Route::index(const std::string& name) {
  look();
  return !common_ || common_->index(name);
}

void Route::look() {
  if (!common_) return;
  if (common_->changed()) with_.apply();
  with_.refresh();
}

RequestId Route::arrived(std::unique_ptr<Query> query) {
  Query& q = book_.open(std::move(query));
  if (common_) {
    common_->asked(counted_as(q.op_type), q);
    const OpLimits& limits = this->limits(q.op_type);
    if (!class_limiter_.admit(counted_as(q.op_type), limits.served, limits.held_most)) {
      const RequestId id = q.id;
      q.client->pushed_back(q, with_.come_back);
      end(q);
      return id;
    }
    q.left = std::min(q.left, limits.time_most);
  }
  // What ties a multiget and its parts together at the policy's door: small enough for a float to hold.
  const float number = static_cast<float>(++arrivals_ % (1 << 24));
  const Time at = now();
  q.arrived = at;
  policy_.request_arrived(at, q.id, q.op_type, number, q.client_retry, q.left);
  for (const auto& p : q.parts) policy_.shard_request_arrived(at, p->id, number, p->shard, p->weight);
  const RequestId id = q.id;
  turn();
  return id;
}

void Route::abandoned(RequestId id) {
  if (Query* q = book_.query(id)) {
    if (q->client) trace_.ended(*q, "left by its client", 0);
    policy_.request_abandoned(id);
    end(*q);
  }
  turn();
}

// Rule 1. Danger: what waits for its connection would be sent after the answer, where nothing may be called
// off.
void Route::end(Query& q) {
  if (common_) class_limiter_.release(counted_as(q.op_type));
  for (const auto& p : q.parts)
    for (const auto& e : p->attempts) hosts_.withdraw(*e);
  book_.close(q);
}

// Danger: the timer is started anew in each turn, and libevent drops a call that is due by then. With
// something to read in every turn of the loop no wake-up would ever come, and multigets stay unanswered past
// their time; so each turn sees to those that are due.
void Route::wake_due() {
  while (!wakes_.empty() && wakes_.begin()->first <= now()) {
    policy_.woken(wakes_.begin()->second);
    wakes_.erase(wakes_.begin());
  }
}

// Danger: after the process was held up, what makes for an attempt (an answer, a timer, a connection that
// came up) may be seen before the end of a client's connection, which lies behind it in the same turn of the
// loop.
void Route::look_at_clients() {
  if (turning_ || !departures_ || now() - clients_seen_ < kLookAtClientsEvery) return;
  clients_seen_ = now();
  const Mark mark(turning_);  // what follows is decided once all have been looked at
  departures_();
}

void Route::turn() {
  if (turning_) return;
  look();
  look_at_clients();
  wake_due();
  {
    const Mark mark(turning_);
    do {
      while (const auto d = policy_.next(now())) carry_out(*d);
      hosts_.flush();
    } while (follow_up_() || book_.hand_over());
  }
  if (!wakes_.empty()) wake_.start(wakes_.begin()->first - now());
}

void Route::carry_out(const PolicyAction& d) {
  using Kind = PolicyAction::Kind;
  switch (d.kind) {
    case Kind::kSendAttempt:
      return send(d);
    case Kind::kCancelAttempt:
      if (Part* p = book_.part(d.request)) hosts_.give_up(*p->attempts.at(d.attempt_index));
      return;
    case Kind::kWake:
      wakes_.emplace(now() + d.duration, d.token);
      return;
    case Kind::kRespond:
    case Kind::kReject:
    case Kind::kFail:
      if (Query* q = book_.query(d.request); q && q->client) {
        if (trace_.on())
          trace_.ended(*q,
                       d.kind == Kind::kReject ? "pushed back"
                       : d.kind == Kind::kFail ? "failed"
                       : d.is_complete         ? "answered whole"
                                               : "answered in part",
                       d.kind == Kind::kReject ? d.duration : 0);
        if (d.kind == Kind::kRespond)
          q->client->answered(*q, d.is_complete);
        else if (d.kind == Kind::kReject)
          q->client->pushed_back(*q, d.duration);
        else
          q->client->failed(*q);
        end(*q);
      }
      return;
    case Kind::kForgetEndpoint:
      return forget_(d.endpoint);
    case Kind::kProbe:
    case Kind::kSubscribe:  // the watch always runs
      return;
  }
}

void Route::send(const PolicyAction& d) {
  Part* p = book_.part(d.request);
  if (!p) return;
  auto e = std::make_unique<Attempt>();
  e->part = p, e->node = d.endpoint, e->index = static_cast<int>(p->attempts.size());
  e->sent_at = now(), e->until = e->sent_at + d.duration;
  if (d.max_start_delay != kNever) e->begin_by = e->sent_at + d.max_start_delay;
  p->attempts.push_back(std::move(e));
  if (common_) with_.sent(*p->attempts.back());
  hosts_.send(*p->attempts.back(), d.endpoint);
}

}  // namespace cairnhub::dispatch
