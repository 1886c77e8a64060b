#include "dispatch/request_dispatcher.h"

#include <algorithm>

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// No attempt may begin later than 100 ms after its client has gone.
constexpr Time kDepartureCheckInterval = 50 * kSecond / 1000;

// Sets a flag until the end of the scope. An exception that left the flag set would block every later turn.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

}  // namespace

RequestDispatcher::RequestDispatcher(event_base* base, RequestPolicy& policy, InFlightRequests& requests,
                                     Backend& backend, std::function<void(EndpointId)> endpoint_forgotten,
                                     std::function<bool()> follow_up,
                                     RequestTrace::EndpointNames endpoint_names)
    : policy_(policy),
      requests_(requests),
      backend_(backend),
      endpoint_forgotten_(std::move(endpoint_forgotten)),
      follow_up_(std::move(follow_up)),
      wake_timer_(base, [this] { run_actions(); }),
      trace_(std::move(endpoint_names)) {}

void RequestDispatcher::set_cluster_control(ClusterControl& cluster, ClusterHooks hooks) {
  cluster_ = &cluster;
  hooks_ = std::move(hooks);
  hooks_.apply_rules();
}

void RequestDispatcher::add_derived_class(int request_class, int base_class) {
  base_classes_[request_class] = base_class;
}

int RequestDispatcher::base_class(int request_class) const {
  const auto it = base_classes_.find(request_class);
  return it == base_classes_.end() ? request_class : it->second;
}

const RequestClassLimits& RequestDispatcher::limits(int request_class) {
  static const RequestClassLimits kUnlimited;
  if (!cluster_) return kUnlimited;
  refresh_cluster_rules();
  return cluster_->limits(base_class(request_class));
}

bool RequestDispatcher::may_run_two_phase(int request_class) {
  refresh_cluster_rules();
  return !cluster_ || cluster_->may_run_two_phase(request_class);
}

bool RequestDispatcher::serves_index(const std::string& name) {
  refresh_cluster_rules();
  return !cluster_ || cluster_->serves_index(name);
}

void RequestDispatcher::refresh_cluster_rules() {
  if (!cluster_) return;
  if (cluster_->refresh_rules()) hooks_.apply_rules();
  hooks_.refresh_budgets();
}

RequestId RequestDispatcher::start_request(std::unique_ptr<Request> started) {
  Request& request = requests_.add(std::move(started));
  if (cluster_) {
    cluster_->record_request(base_class(request.request_class), request);
    const RequestClassLimits& limits = this->limits(request.request_class);
    if (!class_limiter_.admit(base_class(request.request_class), limits.is_served, limits.max_in_flight)) {
      const RequestId id = request.id;
      request.callbacks->on_rejected(request, hooks_.retry_after);
      end_request(request);
      return id;
    }
    request.time_left = std::min(request.time_left, limits.max_time);
  }
  // Links the request to its shard requests in the policy's inputs; a float holds numbers below 2^24 exactly.
  const float number = static_cast<float>(++arrival_count_ % (1 << 24));
  const Time arrived_at = now();
  request.arrived_at = arrived_at;
  policy_.request_arrived(arrived_at, request.id, request.request_class, number, request.is_client_retry,
                          request.time_left);
  for (const auto& shard_request : request.shard_requests) {
    policy_.shard_request_arrived(arrived_at, shard_request->id, number, shard_request->shard,
                                  shard_request->weight);
  }
  const RequestId id = request.id;
  run_actions();
  return id;
}

void RequestDispatcher::abandon_request(RequestId id) {
  if (Request* request = requests_.find_request(id)) {
    if (request->callbacks) trace_.record_end(*request, "left by its client", 0);
    policy_.request_abandoned(id);
    end_request(*request);
  }
  run_actions();
}

// Cancels the attempts that still wait for a connection, even if the policy may not cancel: no attempt may be
// sent after the response.
void RequestDispatcher::end_request(Request& request) {
  if (cluster_) class_limiter_.release(base_class(request.request_class));
  for (const auto& shard_request : request.shard_requests) {
    for (const auto& attempt : shard_request->attempts) backend_.cancel_unwritten(*attempt);
  }
  requests_.close(request);
}

// Runs the wake-ups that are due in each turn, because each turn restarts the timer, and libevent then drops
// a callback that was due already. With something to read in every turn of the event loop the timer would
// never fire, and requests would stay unanswered past their deadline.
void RequestDispatcher::run_due_wake_ups() {
  while (!wake_ups_.empty() && wake_ups_.begin()->first <= now()) {
    policy_.woken(wake_ups_.begin()->second);
    wake_ups_.erase(wake_ups_.begin());
  }
}

// After the process was suspended, an event that leads to an attempt (a response, a timer, a new connection)
// may be handled before the end of a client's connection, which is handled later in the same turn of the
// event loop.
void RequestDispatcher::check_departures() {
  if (is_running_ || !departure_check_ || now() - departures_checked_at_ < kDepartureCheckInterval) return;
  departures_checked_at_ = now();
  const ScopedFlag running(is_running_);  // nothing is decided until all clients have been checked
  departure_check_();
}

void RequestDispatcher::run_actions() {
  if (is_running_) return;
  refresh_cluster_rules();
  check_departures();
  run_due_wake_ups();
  {
    const ScopedFlag running(is_running_);
    do {
      while (const auto action = policy_.next(now())) carry_out(*action);
      backend_.flush();
    } while (follow_up_() || requests_.report_attempt_ends());
  }
  if (!wake_ups_.empty()) wake_timer_.start(wake_ups_.begin()->first - now());
}

void RequestDispatcher::carry_out(const PolicyAction& action) {
  using Kind = PolicyAction::Kind;
  switch (action.kind) {
    case Kind::kSendAttempt:
      return send_attempt(action);
    case Kind::kCancelAttempt:
      if (ShardRequest* shard_request = requests_.find_shard_request(action.request)) {
        backend_.cancel(*shard_request->attempts.at(action.attempt_index));
      }
      return;
    case Kind::kWake:
      wake_ups_.emplace(now() + action.duration, action.token);
      return;
    case Kind::kRespond:
    case Kind::kReject:
    case Kind::kFail:
      if (Request* request = requests_.find_request(action.request); request && request->callbacks) {
        if (trace_.is_enabled()) {
          trace_.record_end(*request,
                            action.kind == Kind::kReject ? "pushed back"
                            : action.kind == Kind::kFail ? "failed"
                            : action.is_complete         ? "answered whole"
                                                         : "answered in part",
                            action.kind == Kind::kReject ? action.duration : 0);
        }
        if (action.kind == Kind::kRespond) {
          request->callbacks->on_response(*request, action.is_complete);
        } else if (action.kind == Kind::kReject) {
          request->callbacks->on_rejected(*request, action.duration);
        } else {
          request->callbacks->on_failed(*request);
        }
        end_request(*request);
      }
      return;
    case Kind::kForgetEndpoint:
      return endpoint_forgotten_(action.endpoint);
    case Kind::kProbe:
    case Kind::kSubscribe:  // the discovery watch is always subscribed
      return;
  }
}

void RequestDispatcher::send_attempt(const PolicyAction& action) {
  ShardRequest* shard_request = requests_.find_shard_request(action.request);
  if (!shard_request) return;
  auto attempt = std::make_unique<Attempt>();
  attempt->shard_request = shard_request;
  attempt->endpoint = action.endpoint;
  attempt->index = static_cast<int>(shard_request->attempts.size());
  attempt->sent_at = now();
  attempt->expires_at = attempt->sent_at + action.duration;
  if (action.max_start_delay != kNever) attempt->begins_by = attempt->sent_at + action.max_start_delay;
  shard_request->attempts.push_back(std::move(attempt));
  if (cluster_) hooks_.record_attempt(*shard_request->attempts.back());
  backend_.send(*shard_request->attempts.back(), action.endpoint);
}

}  // namespace cairnhub::dispatch
