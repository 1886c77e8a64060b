// Replays random inputs through RequestPolicy and hashes every action, so that a change that must not alter
// behaviour can be checked. For each seed a small deterministic simulation draws the settings, sends
// requests, endpoint lists and faults, and carries out each action. All fields of the actions and their times
// go into one XXH3 hash per seed, and these into one hash over all seeds. Random numbers are `engine() % n`
// only, each drawn in a statement of its own, so that they are the same with every compiler and standard
// library.
//   policy_replay GOLDEN           compares all seeds with the golden file; exit 1 if one differs
//   policy_replay GOLDEN FROM TO   the same for these seeds
//   policy_replay print            prints the text of the golden file
//   policy_replay stats            prints to stderr how often each kind of input and action occurred
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/request_policy.h"

namespace cairnhub {
namespace {

constexpr int kSeeds = 200;
constexpr int kInputsPerSeed = 10'000;
constexpr int kMaxActionsPerInput = 100'000;
constexpr Time kMillisecond = kSecond / 1000;
constexpr Time kStartSeconds = 1000;
constexpr Time kNetworkDelay = kMillisecond / 2;
constexpr Time kMaxEndpointBacklog = 1500 * kMillisecond;
constexpr Time kBurstPeriod = 4 * kSecond;
constexpr Time kBurstLength = kSecond / 2;
constexpr int kBurstFactor = 3;
constexpr double kWeightShortfall = 0.00008;

// Draws all random numbers. It uses no distribution of the standard library, as their results differ by
// library.
class Draws {
 public:
  explicit Draws(int seed) : engine_(static_cast<std::uint32_t>(seed)) {}
  int below(int bound) { return static_cast<int>(engine_() % static_cast<std::uint32_t>(bound)); }
  int between(int min, int max) { return min + below(max - min + 1); }
  bool one_in(int chances) { return below(chances) == 0; }
  Time milliseconds(int min, int max) {
    const Time whole = between(min, max) * kMillisecond;
    return whole + below(static_cast<int>(kMillisecond));
  }

 private:
  std::mt19937 engine_;
};

enum class Behaviour {
  kNormal,
  kSlow,
  kHung,           // never responds
  kFailing,        // returns errors at once
  kQueueFull,      // rejects at once
  kDisconnecting,  // refuses or resets connections
};

struct Endpoint {
  EndpointId id = 0;
  EndpointState state = EndpointState::kReady;
  Time started_at = 0;
  int ring_position = 0;
  int zone = 0;
  Behaviour behaviour = Behaviour::kNormal;
  Time busy_until = 0;
};

struct Request {
  float correlation_id = 0;
  int request_class = 0;
  Time deadline = 0;
  int step = 1;
};

struct Attempt {
  Time sent_at = 0;
  bool has_ended = false;
};

struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kOk;
  Time delay = 0;
};

enum class EventKind {
  kRequestArrives,
  kSecondStepArrives,
  kClientLeaves,
  kClientRetries,
  kAttemptEnds,
  kWakeDue,
  kEarlyWake,
  kListDue,
  kCompleteList,
  kEndpointListed,
  kEndpointChanges,
  kEndpointAdded,
  kLimitsChange,
  kZonesChange,
  kStrayResult,
};

struct Event {
  Time at = 0;
  std::uint64_t order = 0;
  EventKind kind = EventKind::kRequestArrives;
  std::uint64_t id = 0;  // a request, a shard request, an endpoint or a wake-up token, by kind
  int index = 0;         // of an attempt; a client's request class
  AttemptOutcome outcome = AttemptOutcome::kOk;
  Time deadline = 0;
  bool operator<(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
};

using Counts = std::map<std::string, long>;

class Replay {
 public:
  explicit Replay(int seed)
      : draws_(seed),
        policy_(static_cast<std::uint64_t>(seed)),
        hash_state_(XXH3_createState(), XXH3_freeState) {
    XXH3_64bits_reset(hash_state_.get());
  }

  // @return the hash of all actions of the run
  std::uint64_t run() {
    apply_settings();
    add_endpoints();
    schedule_recurring_events();
    policy_.start();
    send_list(true);
    carry_out_actions();
    while (input_count_ < kInputsPerSeed) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      handle(event);
      carry_out_actions();
    }
    counts_["simulated seconds"] = static_cast<long>(now_ / kSecond - kStartSeconds);
    return XXH3_64bits_digest(hash_state_.get());
  }
  const Counts& counts() const { return counts_; }

 private:
  // ---- Settings ----

  void apply_settings() {
    const int brokers = draws_.between(1, 20);
    policy_.set_brokers(brokers);
    service_time_ = draws_.milliseconds(10, 60);
    const int request_classes = draws_.between(1, 3);
    for (int i = 0; i < request_classes; ++i) {
      classes_.push_back(draw_request_class());
      policy_.add_request_class(classes_.back());
    }
    ring_size_ = draws_.between(3, 8);
    replicas_ = draws_.between(2, 3);
    const int max_shard_requests_per_batch = draws_.between(1, 8);
    policy_.set_layout(ring_size_, replicas_, max_shard_requests_per_batch);
    const int max_attempts = draws_.between(1, 6);
    const bool may_hedge = !draws_.one_in(4);
    const bool may_cancel = !draws_.one_in(3);
    policy_.set_attempts(max_attempts, may_hedge, may_cancel);
    apply_optional_rules();
  }

  void apply_optional_rules() {
    if (draws_.one_in(2)) {
      apply_retry_budget();
    }
    const bool may_send_retry_after = draws_.one_in(2);
    const Time longest_retry_after = draws_.milliseconds(200, 2000);
    policy_.set_retry_after(may_send_retry_after, longest_retry_after);
    clients_mark_retries_ = draws_.one_in(2);
    policy_.set_clients_mark_retries(clients_mark_retries_);
    if (!draws_.one_in(3)) {
      apply_slow_start();
    }
    is_subscribed_ = draws_.one_in(2);
    list_interval_ = draws_.milliseconds(500, 2000);
    policy_.set_discovery(is_subscribed_, list_interval_);
    list_success_percent_ = draws_.one_in(2) ? 85 : 30;
    const Time tick = draws_.milliseconds(1, 5);
    policy_.set_tick(tick);
    zones_ = draws_.one_in(2) ? 1 : draws_.between(2, 3);
    if (draws_.one_in(2)) {
      has_zone_limits_ = true;
      draw_zone_limits();
    }
  }

  void apply_retry_budget() {
    const double free_retries = draws_.between(0, 6);
    const double share = draws_.between(0, 10) / 100.0;
    const Time window = draws_.milliseconds(500, 3000);
    const Time max_start_delay = draws_.one_in(2) ? draws_.milliseconds(50, 1000) : 0;
    policy_.set_retry_budget(free_retries, share, window, max_start_delay);
  }

  void apply_slow_start() {
    const double initial_share = draws_.between(5, 50) / 100.0;
    const Time warmup = draws_.milliseconds(1000, 3000);
    const double overload_multiple = draws_.between(10, 30) / 10.0;
    const Time overload_span = draws_.milliseconds(200, 1000);
    policy_.set_slow_start(initial_share, warmup, overload_multiple, overload_span);
  }

  RequestClass draw_request_class() {
    constexpr std::array kIdempotencies = {Idempotency::kIdempotent, Idempotency::kIdempotent,
                                           Idempotency::kDeduplicated, Idempotency::kDeduplicated,
                                           Idempotency::kAtMostOnce};
    RequestClass drawn;
    drawn.idempotency = kIdempotencies[draws_.below(static_cast<int>(kIdempotencies.size()))];
    drawn.latency_objective = service_time_ * draws_.between(6, 40);
    drawn.request_timeout = drawn.latency_objective * draws_.between(2, 5) / 2;
    drawn.deduplication_window = drawn.latency_objective * draws_.between(1, 12) / 8;
    drawn.importance = draws_.between(1, 5);
    if (draws_.one_in(2)) {
      drawn.late_value_share = draws_.between(1, 9) / 10.0;
    }
    if (draws_.one_in(2)) {
      drawn.required_share = draws_.between(4, 9) / 10.0;
    }
    drawn.min_response_share = drawn.required_share;
    if (draws_.one_in(2)) {
      drawn.min_response_share = drawn.required_share * draws_.between(2, 9) / 10.0;
      drawn.partial_value_share = draws_.between(1, 9) / 10.0;
    }
    if (draws_.one_in(3)) {
      drawn.second_step_shard_requests = draws_.between(1, 4);
    }
    drawn.stays_in_region = draws_.one_in(4);
    return drawn;
  }

  void draw_zone_limits() {
    std::vector<ZoneLimit> limits;
    if (!draws_.one_in(8)) {  // otherwise locality is ignored
      for (int zone = 0; zone < zones_; ++zone) {
        ZoneLimit limit;
        limit.max_share = (zone == 0 ? draws_.between(70, 110) : draws_.between(5, 60)) / 100.0;
        limit.is_other_region = zone > 0 && draws_.one_in(3);
        limits.push_back(limit);
      }
    }
    const int remote_penalty = draws_.between(1, 4);
    const double exploration_share = draws_.below(20) / 100.0;
    policy_.set_zone_limits(std::move(limits), remote_penalty, exploration_share);
  }

  // ---- Time and events ----

  void schedule(Time delay, EventKind kind, std::uint64_t id = 0, int index = 0,
                AttemptOutcome outcome = AttemptOutcome::kOk, Time deadline = 0) {
    Event event;
    event.at = now_ + delay;
    event.order = ++event_count_;
    event.kind = kind;
    event.id = id;
    event.index = index;
    event.outcome = outcome;
    event.deadline = deadline;
    events_.push(event);
  }

  void schedule_recurring_events() {
    now_ = kStartSeconds * kSecond;
    load_percent_ = draws_.between(10, 80);
    for (const EventKind kind :
         {EventKind::kRequestArrives, EventKind::kListDue, EventKind::kEndpointChanges, EventKind::kEarlyWake,
          EventKind::kStrayResult, EventKind::kLimitsChange, EventKind::kZonesChange}) {
      schedule(kMillisecond, kind);
    }
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case EventKind::kRequestArrives:
        return request_arrives();
      case EventKind::kSecondStepArrives:
        return second_step_arrives(static_cast<RequestId>(event.id));
      case EventKind::kClientLeaves:
        return client_leaves(static_cast<RequestId>(event.id));
      case EventKind::kClientRetries:
        return send_request(event.index, true, event.deadline - now_);
      case EventKind::kAttemptEnds:
        return attempt_ends(event);
      case EventKind::kWakeDue:
        return wake(event.id);
      case EventKind::kEarlyWake:
        return wake_early();
      case EventKind::kListDue:
        return list_due();
      case EventKind::kCompleteList:
        return answer_subscription();
      case EventKind::kEndpointListed:
        return list_one_endpoint(event.id);
      case EventKind::kEndpointChanges:
        return change_endpoint();
      case EventKind::kEndpointAdded:
        return add_endpoint(event.index);
      case EventKind::kLimitsChange:
        return change_limits();
      case EventKind::kZonesChange:
        return change_zones();
      case EventKind::kStrayResult:
        return stray_result();
    }
  }

  // ---- Requests ----

  void request_arrives() {
    schedule(request_interval(), EventKind::kRequestArrives);
    const int request_class = draws_.below(static_cast<int>(classes_.size()));
    const Time timeout = classes_[request_class].request_timeout;
    send_request(request_class, false, timeout);
  }

  // At a load of 100 percent, first attempts alone keep all endpoints busy.
  Time request_interval() {
    constexpr int kMeanShardRequests = 5;
    const bool is_burst = now_ % kBurstPeriod < kBurstLength;
    const Time endpoints = static_cast<Time>(endpoints_.size());
    const Time mean = service_time_ * kMeanShardRequests * 100 / (endpoints * load_percent_);
    const Time interval = mean * draws_.between(1, 199) / 100;
    return is_burst ? interval / kBurstFactor : interval;
  }

  void send_request(int request_class, bool is_retry, Time time_left) {
    if (time_left <= 0) {
      return;
    }
    const RequestId id = ++last_id_;
    Request& request = requests_[id];
    request.correlation_id = static_cast<float>(++last_correlation_id_);
    request.request_class = request_class;
    request.deadline = now_ + time_left;
    const bool is_marked = clients_mark_retries_ && is_retry;
    policy_.request_arrived(now_, id, request_class, request.correlation_id, is_marked, time_left);
    count_input("input: request");
    const float correlation_id = request.correlation_id;
    if (draws_.one_in(16)) {
      schedule(draws_.milliseconds(0, 500), EventKind::kClientLeaves, id);
    }
    if (draws_.one_in(64)) {  // reviewed before its shard requests have arrived
      carry_out_actions();
    }
    const int shard_request_count = draws_.between(1, 9);
    send_shard_requests(correlation_id, shard_request_count);
  }

  void send_shard_requests(float correlation_id, int shard_request_count) {
    std::vector<int> weights;
    int sum = 0;
    for (int i = 0; i < shard_request_count; ++i) {
      weights.push_back(draws_.between(1, 8));
      sum += weights.back();
    }
    const int first_shard = draws_.below(ring_size_);
    const double shortfall =
        draws_.one_in(8) ? kWeightShortfall * draws_.between(1, 2) : 0;  // as caused by rounding
    for (int i = 0; i < shard_request_count; ++i) {
      const RequestId id = ++last_id_;
      const double weight = (1 - shortfall) * weights[i] / sum;
      policy_.shard_request_arrived(now_, id, correlation_id, first_shard + i, weight);
      count_input("input: shard request");
    }
  }

  void second_step_arrives(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      return;
    }
    found->second.step = 2;
    const RequestClass& request_class = classes_[found->second.request_class];
    send_shard_requests(found->second.correlation_id, request_class.second_step_shard_requests);
  }

  void client_leaves(RequestId id) {
    policy_.request_abandoned(id);
    requests_.erase(id);
    count_input("input: abandoned");
  }

  void request_responded(const PolicyAction& action) {
    const Request& request = requests_.at(action.request);
    const bool has_second_step = classes_[request.request_class].second_step_shard_requests > 0;
    if (request.step == 2 || !has_second_step) {
      requests_.erase(action.request);
      return;
    }
    if (!draws_.one_in(16)) {  // otherwise the second step never arrives
      schedule(draws_.milliseconds(0, 20), EventKind::kSecondStepArrives, action.request);
    }
  }

  void request_rejected(const PolicyAction& action) {
    const Request request = requests_.at(action.request);
    requests_.erase(action.request);
    if (draws_.one_in(2)) {
      const Time delay = action.duration + draws_.milliseconds(0, 20);
      schedule(delay, EventKind::kClientRetries, 0, request.request_class, AttemptOutcome::kOk,
               request.deadline);
    }
  }

  // ---- Attempts ----

  void start_attempt(const PolicyAction& action) {
    std::vector<Attempt>& attempts = attempts_[action.request];
    const int index = static_cast<int>(attempts.size());
    for (const Attempt& earlier : attempts) {
      if (!earlier.has_ended) {
        ++counts_["  of sends: hedged"];
        break;
      }
    }
    counts_["  of sends: retries and hedged"] += index > 0;
    counts_["  of sends: to begin within a time"] += action.max_start_delay != kNever;
    attempts.push_back({now_, false});
    const AttemptEnd end = draw_end(action);
    schedule(end.delay, EventKind::kAttemptEnds, action.request, index, end.outcome);
  }

  AttemptEnd draw_end(const PolicyAction& action) {
    const Time timeout = std::max<Time>(action.duration, 0);
    const Time connect_wait = draws_.one_in(16) ? draws_.milliseconds(1, 60) : 0;
    if (connect_wait > action.max_start_delay) {
      return {AttemptOutcome::kNotSent, std::max<Time>(action.max_start_delay, 0)};
    }
    const auto found = endpoints_.find(action.endpoint);
    if (found == endpoints_.end()) {
      return {AttemptOutcome::kConnectFailed, connect_wait + kNetworkDelay};
    }
    if (draws_.one_in(100)) {
      constexpr std::array kFailures = {AttemptOutcome::kError, AttemptOutcome::kQueueFull,
                                        AttemptOutcome::kConnectFailed, AttemptOutcome::kReset,
                                        AttemptOutcome::kNotSent};
      const int failure = draws_.below(static_cast<int>(kFailures.size()));
      return {kFailures[failure], connect_wait + kNetworkDelay};
    }
    AttemptEnd end = serve(found->second);
    end.delay += connect_wait;
    return end.delay > timeout ? AttemptEnd{AttemptOutcome::kTimedOut, timeout} : end;
  }

  AttemptEnd serve(Endpoint& endpoint) {
    const Time backlog = std::max<Time>(endpoint.busy_until - now_, 0);
    const bool is_slow = endpoint.behaviour == Behaviour::kSlow;
    const Time service_time = service_time_ * draws_.between(50, 150) / 100 * (is_slow ? 5 : 1);
    switch (endpoint.behaviour) {
      case Behaviour::kHung:
        return {AttemptOutcome::kTimedOut, kNever / 2};
      case Behaviour::kFailing:
        return {AttemptOutcome::kError, kNetworkDelay};
      case Behaviour::kQueueFull:
        return {AttemptOutcome::kQueueFull, kNetworkDelay};
      case Behaviour::kDisconnecting:
        return {draws_.one_in(2) ? AttemptOutcome::kReset : AttemptOutcome::kConnectFailed, service_time / 2};
      default:
        break;
    }
    if (backlog > kMaxEndpointBacklog) {
      return {AttemptOutcome::kQueueFull, kNetworkDelay};
    }
    endpoint.busy_until = now_ + backlog + service_time;
    return {AttemptOutcome::kOk, backlog + service_time + kNetworkDelay};
  }

  void cancel_attempt(const PolicyAction& action) {
    if (draws_.one_in(16)) {  // the cancellation comes too late
      return;
    }
    const Time delay = draws_.below(static_cast<int>(2 * kMillisecond));
    schedule(delay, EventKind::kAttemptEnds, action.request, action.attempt_index,
             AttemptOutcome::kCancelled);
  }

  void attempt_ends(const Event& event) {
    const RequestId id = static_cast<RequestId>(event.id);
    Attempt& attempt = attempts_.at(id).at(event.index);
    if (attempt.has_ended && !draws_.one_in(16)) {  // otherwise reported a second time
      return;
    }
    attempt.has_ended = true;
    const bool is_final = event.outcome != AttemptOutcome::kOk && draws_.one_in(16);
    report_end(id, event.index, event.outcome, now_ - attempt.sent_at, is_final);
  }

  void report_end(RequestId id, int index, AttemptOutcome outcome, Time latency, bool is_final) {
    LoadReport report;
    if (draws_.one_in(2)) {
      report.in_flight = draws_.below(20);
      report.cpu_share = draws_.below(101) / 100.0;
      report.service_ms = draws_.below(100);
    }
    policy_.attempt_ended(now_, id, index, outcome, latency, is_final, report);
    count_input("input: attempt ended " + std::to_string(static_cast<int>(outcome)));
  }

  // Reports a result for an attempt that may be unknown or still in flight.
  void stray_result() {
    schedule(draws_.milliseconds(20, 200), EventKind::kStrayResult);
    const RequestId id = static_cast<RequestId>(draws_.below(static_cast<int>(last_id_) + 2));
    const int index = draws_.between(-1, 4);
    const AttemptOutcome outcome = static_cast<AttemptOutcome>(draws_.below(8));
    const Time latency = draws_.milliseconds(0, 100);
    report_end(id, index, outcome, latency, false);
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && index >= 0 && index < static_cast<int>(found->second.size())) {
      found->second[index].has_ended = true;
    }
  }

  // ---- Wake-ups ----

  void wake(std::uint64_t token) {
    last_woken_token_ = token;
    policy_.woken(token);
    count_input("input: woken");
  }

  void wake_early() {
    schedule(draws_.milliseconds(5, 100), EventKind::kEarlyWake);
    const std::uint64_t token = draws_.one_in(2) ? requested_token_ : last_woken_token_;
    policy_.woken(token);
    count_input("input: woken early");
  }

  // ---- Endpoints and their list ----

  void add_endpoints() {
    const int endpoints_per_position = draws_.between(1, 2);
    for (int position = 0; position < ring_size_; ++position) {
      for (int i = 0; i < endpoints_per_position; ++i) {
        Endpoint& endpoint = new_endpoint(position);
        endpoint.started_at = 0;
      }
    }
  }

  Endpoint& new_endpoint(int ring_position) {
    const EndpointId id = ++last_endpoint_;
    Endpoint& endpoint = endpoints_[id];
    endpoint.id = id;
    endpoint.ring_position = ring_position;
    endpoint.zone = draws_.below(zones_);
    endpoint.started_at = now_;
    if (draws_.one_in(16)) {
      endpoint.behaviour = draw_fault();
    }
    return endpoint;
  }

  Behaviour draw_fault() {
    constexpr std::array kFaults = {Behaviour::kSlow,         Behaviour::kSlow,    Behaviour::kHung,
                                    Behaviour::kHung,         Behaviour::kFailing, Behaviour::kQueueFull,
                                    Behaviour::kDisconnecting};
    const int fault = draws_.below(static_cast<int>(kFaults.size()));
    return kFaults[fault];
  }

  void add_endpoint(int ring_position) {
    const Endpoint& endpoint = new_endpoint(ring_position);
    announce(endpoint.id);
  }

  // With a subscription a change is listed soon, otherwise with the next list.
  void announce(EndpointId id) {
    if (is_subscribed_) {
      schedule(draws_.milliseconds(0, 100), EventKind::kEndpointListed, id);
    }
  }

  Endpoint& draw_endpoint() {
    auto chosen = endpoints_.begin();
    std::advance(chosen, draws_.below(static_cast<int>(endpoints_.size())));
    return chosen->second;
  }

  void change_endpoint() {
    schedule(draws_.milliseconds(50, 400), EventKind::kEndpointChanges);
    Endpoint& endpoint = draw_endpoint();
    const int change = draws_.below(10);
    if (change < 4) {  // the list does not show this change
      const bool is_faulty = endpoint.behaviour != Behaviour::kNormal;
      endpoint.behaviour = is_faulty || draws_.one_in(2) ? Behaviour::kNormal : draw_fault();
      return;
    }
    const EndpointId id = endpoint.id;
    if (change < 6) {
      remove_endpoint(endpoint);
    } else if (change == 6) {
      endpoint.started_at = now_;
      endpoint.busy_until = now_;
      endpoint.state = EndpointState::kReady;
    } else if (change == 7) {
      const bool is_ready = endpoint.state == EndpointState::kReady;
      endpoint.state = is_ready ? EndpointState::kDraining : EndpointState::kReady;
    } else if (change == 8) {
      endpoint.ring_position = draws_.below(ring_size_);
    } else {
      endpoint.zone = draws_.below(zones_);
    }
    announce(id);
  }

  // A new endpoint replaces the removed one later. At times a removed endpoint returns.
  void remove_endpoint(const Endpoint& endpoint) {
    const int ring_position = endpoint.ring_position;
    if (draws_.one_in(3)) {
      removed_.push_back(endpoint);
    }
    endpoints_.erase(endpoint.id);
    schedule(draws_.milliseconds(0, 300), EventKind::kEndpointAdded, 0, ring_position);
    if (removed_.size() >= 3) {
      Endpoint& returned = endpoints_[removed_.front().id];
      returned = removed_.front();
      returned.started_at = now_;
      removed_.erase(removed_.begin());
    }
  }

  void list_due() {
    schedule(list_interval_, EventKind::kListDue);
    if (draws_.below(100) >= list_success_percent_) {
      policy_.list_failed(now_);
      count_input("input: list failed");
      return;
    }
    const bool is_complete = !is_subscribed_ || draws_.one_in(2);
    send_list(is_complete);
  }

  void answer_subscription() {
    if (draws_.below(100) >= list_success_percent_) {
      policy_.list_failed(now_);
      count_input("input: list failed");
      return;
    }
    send_list(true);
  }

  void send_list(bool is_complete) {
    policy_.list_begins(now_, is_complete);
    for (const auto& [id, endpoint] : endpoints_) {
      if (is_complete || draws_.one_in(2)) {
        list_endpoint(endpoint, endpoint.state);
      }
    }
    policy_.list_ends();
    count_input("input: list of several");
  }

  void list_one_endpoint(EndpointId id) {
    policy_.list_begins(now_, false);
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
      list_endpoint(found->second, found->second.state);
    } else {
      Endpoint removed;
      removed.id = id;
      removed.ring_position = -1;
      list_endpoint(removed, EndpointState::kRemoved);
    }
    policy_.list_ends();
    count_input("input: list of one");
  }

  void list_endpoint(const Endpoint& endpoint, EndpointState state) {
    policy_.list_endpoint(endpoint.id, state, endpoint.started_at, endpoint.ring_position, endpoint.zone);
    count_input("input: endpoint listed");
  }

  // ---- Limits that change while requests are in flight ----

  void change_limits() {
    schedule(draws_.milliseconds(200, 1500), EventKind::kLimitsChange);
    if (draws_.one_in(2)) {
      return;
    }
    const int request_class = draws_.below(static_cast<int>(classes_.size()));
    const RequestClass& configured = classes_[request_class];
    Time max_objective = kNever;
    double min_share = 0;
    if (draws_.one_in(2)) {
      max_objective = configured.latency_objective * draws_.between(40, 100) / 100;
      min_share = configured.required_share * draws_.between(0, 100) / 100.0;
    }
    policy_.limit_request_class(request_class, max_objective, min_share);
    count_input("input: class limited");
  }

  void change_zones() {
    schedule(draws_.milliseconds(300, 2000), EventKind::kZonesChange);
    if (!has_zone_limits_) {
      return;
    }
    const int request_class = draws_.below(static_cast<int>(classes_.size()));
    const int change = draws_.below(3);
    const bool stays = draws_.one_in(2);
    if (change == 0) {
      draw_zone_limits();
    } else if (change == 1) {
      policy_.keep_in_region(request_class, stays);
    } else {
      policy_.keep_in_zone(request_class, stays);
    }
    count_input("input: zones limited");
  }

  // ---- Decisions ----

  void carry_out_actions() {
    for (int count = 0; count < kMaxActionsPerInput; ++count) {
      const std::optional<PolicyAction> action = policy_.next(now_);
      if (!action) {
        return;
      }
      hash_action(*action);
      count_action(*action);
      carry_out(*action);
    }
    throw std::runtime_error("more than " + std::to_string(kMaxActionsPerInput) + " actions after one input");
  }

  void carry_out(const PolicyAction& action) {
    switch (action.kind) {
      case PolicyAction::Kind::kSendAttempt:
        return start_attempt(action);
      case PolicyAction::Kind::kCancelAttempt:
        return cancel_attempt(action);
      case PolicyAction::Kind::kRespond:
        return request_responded(action);
      case PolicyAction::Kind::kReject:
        return request_rejected(action);
      case PolicyAction::Kind::kFail:
        requests_.erase(action.request);
        return;
      case PolicyAction::Kind::kSubscribe:
        return schedule(draws_.milliseconds(1, 20), EventKind::kCompleteList);
      case PolicyAction::Kind::kWake:
        requested_token_ = action.token;
        return schedule(std::max<Time>(action.duration, 0), EventKind::kWakeDue, action.token);
      case PolicyAction::Kind::kProbe:
      case PolicyAction::Kind::kForgetEndpoint:
        return;
    }
  }

  void hash_action(const PolicyAction& action) {
    const std::array<std::uint64_t, 9> words = {static_cast<std::uint64_t>(now_),
                                                static_cast<std::uint64_t>(action.kind),
                                                action.request,
                                                action.endpoint,
                                                static_cast<std::uint64_t>(action.attempt_index),
                                                action.is_complete,
                                                static_cast<std::uint64_t>(action.duration),
                                                action.token,
                                                static_cast<std::uint64_t>(action.max_start_delay)};
    XXH3_64bits_update(hash_state_.get(), words.data(), sizeof words);
  }

  void count_action(const PolicyAction& action) {
    static constexpr std::array kNames = {"send",  "cancel",    "answer", "push_back", "fail",
                                          "probe", "subscribe", "forget", "wake"};
    ++counts_[kNames[static_cast<std::size_t>(action.kind)]];
    if (action.kind == PolicyAction::Kind::kRespond) {
      counts_["  of answers: partial"] += !action.is_complete;
      counts_["  of answers: of a second step"] += requests_.at(action.request).step == 2;
    }
    if (action.kind == PolicyAction::Kind::kReject) {
      counts_["  of push_backs: with Retry-After"] += action.duration > 0;
    }
  }

  void count_input(const std::string& name) {
    ++input_count_;
    ++counts_[name];
  }

  Draws draws_;
  RequestPolicy policy_;
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> hash_state_;
  Counts counts_;
  int input_count_ = 0;

  std::vector<RequestClass> classes_;  // as configured
  int ring_size_ = 1;
  int replicas_ = 1;
  int zones_ = 1;
  bool has_zone_limits_ = false;
  bool clients_mark_retries_ = false;
  bool is_subscribed_ = false;
  int list_success_percent_ = 100;
  Time list_interval_ = kSecond;
  Time service_time_ = kMillisecond;
  int load_percent_ = 100;

  Time now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t event_count_ = 0;
  RequestId last_id_ = 0;
  int last_correlation_id_ = 0;
  EndpointId last_endpoint_ = 0;
  std::uint64_t requested_token_ = 0;
  std::uint64_t last_woken_token_ = 0;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<Endpoint> removed_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<RequestId, std::vector<Attempt>> attempts_;  // by shard request, then by index
};

// ---- The golden file: one line per seed, then the combined hash of all seeds ----

struct Golden {
  std::map<int, std::uint64_t> seeds;
  std::uint64_t all = 0;
};

std::uint64_t combined_hash(const std::map<int, std::uint64_t>& seeds) {
  std::vector<std::uint64_t> values;
  for (const auto& [seed, value] : seeds) {
    values.push_back(value);
  }
  return XXH3_64bits(values.data(), values.size() * sizeof(std::uint64_t));
}

Golden replay_seeds(int first_seed, int last_seed) {
  Golden result;
  for (int seed = first_seed; seed <= last_seed; ++seed) {
    Replay replay(seed);
    result.seeds[seed] = replay.run();
  }
  result.all = combined_hash(result.seeds);
  return result;
}

void print(const Golden& golden) {
  for (const auto& [seed, value] : golden.seeds) {
    std::printf("%d %016" PRIx64 "\n", seed, value);
  }
  std::printf("all %016" PRIx64 "\n", golden.all);
}

Golden read_golden(const char* path) {
  std::ifstream file(path);
  Golden golden;
  std::string name;
  std::string value;
  while (file >> name >> value) {
    const std::uint64_t number = std::stoull(value, nullptr, 16);
    if (name == "all") {
      golden.all = number;
    } else {
      golden.seeds[std::stoi(name)] = number;
    }
  }
  const bool is_complete = golden.seeds.size() == kSeeds && golden.seeds.begin()->first == 1 &&
                           golden.seeds.rbegin()->first == kSeeds;
  if (!is_complete || combined_hash(golden.seeds) != golden.all) {
    throw std::runtime_error(std::string(path) + " is not a complete golden file of " +
                             std::to_string(kSeeds) + " seeds");
  }
  return golden;
}

int compare(const char* path, int first_seed, int last_seed) {
  const Golden golden = read_golden(path);
  const Golden result = replay_seeds(first_seed, last_seed);
  int different = 0;
  for (const auto& [seed, value] : result.seeds) {
    const std::uint64_t expected = golden.seeds.at(seed);
    if (value != expected) {
      ++different;
      std::printf("seed %d: %016" PRIx64 " instead of %016" PRIx64 "\n", seed, value, expected);
    }
  }
  std::printf("%d of %zu seeds differ\n", different, result.seeds.size());
  return different > 0 || result.seeds.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

void print_stats() {
  Counts sums;
  std::map<std::string, int> seeds_with;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Replay replay(seed);
    replay.run();
    for (const auto& [name, count] : replay.counts()) {
      sums[name] += count;
      seeds_with[name] += count > 0;
    }
  }
  for (const auto& [name, count] : sums) {
    std::fprintf(stderr, "%-40s %9ld in %3d seeds\n", name.c_str(), count, seeds_with[name]);
  }
}

}  // namespace
}  // namespace cairnhub

int main(int argc, char** argv) {
  using namespace cairnhub;
  if (argc == 2 && std::strcmp(argv[1], "print") == 0) {
    print(replay_seeds(1, kSeeds));
    return EXIT_SUCCESS;
  }
  if (argc == 2 && std::strcmp(argv[1], "stats") == 0) {
    print_stats();
    return EXIT_SUCCESS;
  }
  if (argc == 2) {
    return compare(argv[1], 1, kSeeds);
  }
  if (argc == 4) {
    return compare(argv[1], std::atoi(argv[2]), std::atoi(argv[3]));
  }
  std::fprintf(stderr, "usage: policy_replay GOLDEN [FROM TO] | print | stats\n");
  return 2;
}
