#include "policy/request_policy.h"

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/random_source.h"
#include "policy/attempt_results.h"
#include "policy/endpoint_list.h"
#include "policy/request_lifecycle.h"

namespace cairnhub {

namespace {

// Initial estimates, used until responses have been measured. They leave time for one overdue attempt and its
// hedge.
constexpr int kInitialLatencyDivisor = 4;    // of the latency objective
constexpr int kInitialDeviationDivisor = 4;  // of the smoothed latency

}  // namespace

// Each module refers only to modules declared above it.
struct RequestPolicy::Modules {
  explicit Modules(std::uint64_t seed) : random(seed) {}

  RandomSource random;
  EndpointTable endpoints;
  RequestTable requests;
  std::deque<RequestClass> classes;  // requests point into it
  BatchTracker batches;
  DeadlinePolicy deadlines;
  DiscoveryRefresh discovery;
  AttemptCanceller canceller;
  OutlierDetector outliers;
  SlowStartLimiter slow_start;
  RetryBudget retries;
  LocalityRouter locality;
  LatencyEstimator latencies{slow_start};
  AttemptGuard guard{slow_start, locality, retries};
  ReplicaSelection replicas{endpoints, guard, locality, outliers, latencies, batches, random};
  AttemptSender sender{guard, slow_start, retries, locality, outliers, latencies, batches, deadlines};
  ShardRequestDraw draw{locality, random};
  AdmissionController admission{replicas, latencies, deadlines, locality, draw};
  Completion completion{requests, guard, replicas, locality, outliers, deadlines, admission, canceller};
  Hedging hedging{replicas, sender, retries, outliers, completion};
  RequestLifecycle lifecycle{requests, admission, completion, hedging, outliers, deadlines, retries};
  AttemptResults results{requests, endpoints, latencies, outliers, slow_start, canceller};
  EndpointList list{endpoints, requests, slow_start, discovery, random};
  Time longest_timeout = 0;

  RequestClass& request_class(int index) { return classes.at(static_cast<std::size_t>(index)); }

  // An endpoint that is listed again within its warm-up must still be known, or it would get its initial
  // credit twice. After the longest timeout no request refers to it any more.
  std::optional<EndpointId> forget_endpoint(Time now) {
    return endpoints.forget_one(now - slow_start.warmup() - longest_timeout);
  }
};

RequestPolicy::RequestPolicy(std::uint64_t seed) : modules_(std::make_unique<Modules>(seed)) {}
RequestPolicy::~RequestPolicy() = default;

// ---- Configuration ----

void RequestPolicy::set_brokers(int brokers) { modules_->slow_start.set_brokers(std::max(1, brokers)); }

void RequestPolicy::add_request_class(const RequestClass& request_class) {
  RequestClass& added = modules_->classes.emplace_back(request_class);
  added.smoothed_latency = added.latency_objective / kInitialLatencyDivisor;
  added.latency_deviation = added.smoothed_latency / kInitialDeviationDivisor;
  added.configured_latency_objective = added.latency_objective;
  added.configured_min_response_share = added.min_response_share;
  modules_->latencies.set_objectives(modules_->classes);
  modules_->longest_timeout = std::max(modules_->longest_timeout, added.request_timeout);
  modules_->slow_start.record_smoothed_latency(added.smoothed_latency);
}

void RequestPolicy::set_layout(int ring_size, int replicas, int max_shard_requests_per_batch) {
  modules_->endpoints.set_layout(ring_size, replicas);
  modules_->batches.configure(max_shard_requests_per_batch);
}

void RequestPolicy::set_attempts(int max_attempts_per_shard_request, bool may_hedge, bool may_cancel) {
  modules_->guard.configure(max_attempts_per_shard_request, may_hedge);
  modules_->canceller.configure(may_cancel);
}

void RequestPolicy::set_retry_budget(double free_retries, double share, Time window, Time max_start_delay) {
  modules_->retries.configure(free_retries, share, window, max_start_delay);
}

void RequestPolicy::set_retry_after(bool may_send_retry_after, Time longest) {
  modules_->completion.configure(may_send_retry_after, longest);
}

void RequestPolicy::set_clients_mark_retries(bool mark_retries) {
  modules_->deadlines.set_clients_mark_retries(mark_retries);
}

void RequestPolicy::set_slow_start(double initial_share, Time warmup, double overload_multiple,
                                   Time overload_span) {
  modules_->slow_start.configure(initial_share, warmup, overload_multiple, overload_span);
}

void RequestPolicy::set_discovery(bool must_subscribe, Time interval) {
  modules_->discovery.configure(must_subscribe, interval);
}

void RequestPolicy::set_tick(Time tick) { modules_->deadlines.set_tick(tick); }

// ---- Limits that may change at any time ----

void RequestPolicy::limit_request_class(int request_class, Time max_latency_objective,
                                        double min_response_share) {
  RequestClass& limited = modules_->request_class(request_class);
  const Time objective = std::min(limited.configured_latency_objective, max_latency_objective);
  const double min_share = std::max(limited.configured_min_response_share, min_response_share);
  if (objective == limited.latency_objective && min_share == limited.min_response_share) return;
  limited.latency_objective = objective;
  limited.min_response_share = min_share;
  modules_->latencies.set_objectives(modules_->classes);
  modules_->requests.schedule_review_of_all();  // their wake-ups were set for the old objective
}

void RequestPolicy::set_zone_limits(std::vector<ZoneLimit> zones, int remote_penalty,
                                    double exploration_share) {
  modules_->locality.configure(std::move(zones), remote_penalty, exploration_share);
}

void RequestPolicy::keep_in_region(int request_class, bool stays) {
  modules_->request_class(request_class).stays_in_region = stays;
}

void RequestPolicy::keep_in_zone(int request_class, bool stays) {
  modules_->request_class(request_class).stays_in_zone = stays;
}

// ---- Inputs ----

void RequestPolicy::start() { modules_->discovery.start(); }

void RequestPolicy::list_begins(Time now, bool is_complete) { modules_->list.begin(now, is_complete); }

void RequestPolicy::list_endpoint(EndpointId id, EndpointState state, Time started_at, int ring_position,
                                  int zone) {
  modules_->list.add(id, state, started_at, ring_position, zone);
}

void RequestPolicy::list_ends() { modules_->list.end(); }

void RequestPolicy::list_failed(Time now) { modules_->discovery.list_failed(now, modules_->random); }

void RequestPolicy::request_arrived(Time now, RequestId id, int request_class, float correlation_id,
                                    bool is_client_retry, Time time_left) {
  if (request_class < 0 || request_class >= static_cast<int>(modules_->classes.size())) {
    throw std::out_of_range("request class " + std::to_string(request_class) + " is unknown, " +
                            std::to_string(modules_->classes.size()) + " classes are configured");
  }
  modules_->lifecycle.request_arrived(now, id, modules_->request_class(request_class), correlation_id,
                                      is_client_retry, time_left);
}

void RequestPolicy::shard_request_arrived(Time now, RequestId id, float correlation_id, int shard,
                                          double weight) {
  modules_->lifecycle.shard_request_arrived(now, id, correlation_id, shard, weight);
}

void RequestPolicy::attempt_ended(Time now, RequestId shard_request, int attempt_index,
                                  AttemptOutcome outcome, Time latency, bool is_final,
                                  const LoadReport& load_report) {
  modules_->results.record(now, shard_request, attempt_index, outcome, latency, is_final, load_report);
}

void RequestPolicy::request_abandoned(RequestId id) { modules_->lifecycle.request_abandoned(id); }

void RequestPolicy::woken(std::uint64_t token) {
  if (token == DiscoveryRefresh::kWakeToken) return modules_->discovery.woken();
  modules_->lifecycle.woken(static_cast<RequestId>(token));
}

// ---- Actions ----

std::optional<PolicyAction> RequestPolicy::next(Time now) {
  Modules& modules = *modules_;
  if (auto action = modules.discovery.next(now)) return action;
  if (const auto id = modules.forget_endpoint(now)) {
    return PolicyAction{.kind = PolicyAction::Kind::kForgetEndpoint, .endpoint = *id};
  }
  while (!modules.canceller.has_pending() && modules.requests.first_due()) {
    if (auto action = modules.lifecycle.review(*modules.requests.first_due(), now)) return action;
    modules.requests.finish_first_review();
  }
  if (modules.canceller.has_pending()) return modules.canceller.take_first();
  modules.batches.next_turn();
  return std::nullopt;
}

}  // namespace cairnhub
