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

RequestDispatcher::RequestDispatcher(event_base* base, RequestPolicy& policy, InFlightRequests& book,
                                     Backend& hosts, std::function<void(EndpointId)> forget,
                                     std::function<bool()> follow_up, RequestTrace::EndpointNames names)
    : policy_(policy),
      book_(book),
      hosts_(hosts),
      forget_(std::move(forget)),
      follow_up_(std::move(follow_up)),
      wake_(base, [this] { run_actions(); }),
      trace_(std::move(names)) {}

void RequestDispatcher::set_cluster_control(ClusterControl& common, ClusterHooks held) {
  common_ = &common, with_ = std::move(held);
  with_.apply_rules();
}

void RequestDispatcher::add_derived_class(int op_type, int from) { derived_[op_type] = from; }

int RequestDispatcher::base_class(int op_type) const {
  const auto it = derived_.find(op_type);
  return it == derived_.end() ? op_type : it->second;
}

const RequestClassLimits& RequestDispatcher::limits(int op_type) {
  static const RequestClassLimits none;
  if (!common_) return none;
  refresh_cluster_rules();
  return common_->limits(base_class(op_type));
}

bool RequestDispatcher::may_run_two_phase(int op_type) {
  refresh_cluster_rules();
  return !common_ || common_->may_run_two_phase(op_type);
}

bool RequestDispatcher::serves_index(const std::string& name) {
  refresh_cluster_rules();
  return !common_ || common_->serves_index(name);
}

void RequestDispatcher::refresh_cluster_rules() {
  if (!common_) return;
  if (common_->refresh_rules()) with_.apply_rules();
  with_.refresh_budgets();
}

RequestId RequestDispatcher::start_request(std::unique_ptr<Request> query) {
  Request& q = book_.add(std::move(query));
  if (common_) {
    common_->record_request(base_class(q.request_class), q);
    const RequestClassLimits& limits = this->limits(q.request_class);
    if (!class_limiter_.admit(base_class(q.request_class), limits.is_served, limits.max_in_flight)) {
      const RequestId id = q.id;
      q.callbacks->on_rejected(q, with_.retry_after);
      end(q);
      return id;
    }
    q.time_left = std::min(q.time_left, limits.max_time);
  }
  // What ties a multiget and its parts together at the policy's door: small enough for a float to hold.
  const float number = static_cast<float>(++arrivals_ % (1 << 24));
  const Time at = now();
  q.arrived_at = at;
  policy_.request_arrived(at, q.id, q.request_class, number, q.is_client_retry, q.time_left);
  for (const auto& p : q.shard_requests)
    policy_.shard_request_arrived(at, p->id, number, p->shard, p->weight);
  const RequestId id = q.id;
  run_actions();
  return id;
}

void RequestDispatcher::abandon_request(RequestId id) {
  if (Request* q = book_.find_request(id)) {
    if (q->callbacks) trace_.record_end(*q, "left by its client", 0);
    policy_.request_abandoned(id);
    end(*q);
  }
  run_actions();
}

// Rule 1. Danger: what waits for its connection would be sent after the answer, where nothing may be called
// off.
void RequestDispatcher::end(Request& q) {
  if (common_) class_limiter_.release(base_class(q.request_class));
  for (const auto& p : q.shard_requests)
    for (const auto& e : p->attempts) hosts_.cancel_unwritten(*e);
  book_.close(q);
}

// Danger: the timer is started anew in each turn, and libevent drops a call that is due by then. With
// something to read in every turn of the loop no wake-up would ever come, and multigets stay unanswered past
// their time; so each turn sees to those that are due.
void RequestDispatcher::wake_due() {
  while (!wakes_.empty() && wakes_.begin()->first <= now()) {
    policy_.woken(wakes_.begin()->second);
    wakes_.erase(wakes_.begin());
  }
}

// Danger: after the process was held up, what makes for an attempt (an answer, a timer, a connection that
// came up) may be seen before the end of a client's connection, which lies behind it in the same turn of the
// loop.
void RequestDispatcher::check_departures() {
  if (turning_ || !departures_ || now() - clients_seen_ < kLookAtClientsEvery) return;
  clients_seen_ = now();
  const Mark mark(turning_);  // what follows is decided once all have been looked at
  departures_();
}

void RequestDispatcher::run_actions() {
  if (turning_) return;
  refresh_cluster_rules();
  check_departures();
  wake_due();
  {
    const Mark mark(turning_);
    do {
      while (const auto d = policy_.next(now())) carry_out(*d);
      hosts_.flush();
    } while (follow_up_() || book_.report_attempt_ends());
  }
  if (!wakes_.empty()) wake_.start(wakes_.begin()->first - now());
}

void RequestDispatcher::carry_out(const PolicyAction& d) {
  using Kind = PolicyAction::Kind;
  switch (d.kind) {
    case Kind::kSendAttempt:
      return send(d);
    case Kind::kCancelAttempt:
      if (ShardRequest* p = book_.find_shard_request(d.request))
        hosts_.cancel(*p->attempts.at(d.attempt_index));
      return;
    case Kind::kWake:
      wakes_.emplace(now() + d.duration, d.token);
      return;
    case Kind::kRespond:
    case Kind::kReject:
    case Kind::kFail:
      if (Request* q = book_.find_request(d.request); q && q->callbacks) {
        if (trace_.is_enabled())
          trace_.record_end(*q,
                            d.kind == Kind::kReject ? "pushed back"
                            : d.kind == Kind::kFail ? "failed"
                            : d.is_complete         ? "answered whole"
                                                    : "answered in part",
                            d.kind == Kind::kReject ? d.duration : 0);
        if (d.kind == Kind::kRespond)
          q->callbacks->on_response(*q, d.is_complete);
        else if (d.kind == Kind::kReject)
          q->callbacks->on_rejected(*q, d.duration);
        else
          q->callbacks->on_failed(*q);
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

void RequestDispatcher::send(const PolicyAction& d) {
  ShardRequest* p = book_.find_shard_request(d.request);
  if (!p) return;
  auto e = std::make_unique<Attempt>();
  e->shard_request = p, e->endpoint = d.endpoint, e->index = static_cast<int>(p->attempts.size());
  e->sent_at = now(), e->expires_at = e->sent_at + d.duration;
  if (d.begin_within != kNever) e->begins_by = e->sent_at + d.begin_within;
  p->attempts.push_back(std::move(e));
  if (common_) with_.record_attempt(*p->attempts.back());
  hosts_.send(*p->attempts.back(), d.endpoint);
}

}  // namespace cairnhub::dispatch
