// Replays drawn inputs through the decision module and hashes every decision, so that a change that is meant
// to keep behaviour is held to it. For each seed a small deterministic world draws the settings, brings
// requests, endpoint lists and faults, and carries out each decision; all its fields and the time it was
// given at go into one XXH3 value a seed, and these into one over all seeds. Draws are `engine() % n` alone,
// each in a statement of its own, so that they are the same with any compiler and library.
//   policy_replay GOLDEN           compares all seeds with the golden file; exit 1 where one differs
//   policy_replay GOLDEN FROM TO   the same for these seeds
//   policy_replay print            the golden file's text
//   policy_replay stats            how often each kind of decision was given, on stderr
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
constexpr int kMaxDecisionsPerPull = 100'000;
constexpr Time kMillisecond = kSecond / 1000;
constexpr Time kStartSeconds = 1000;
constexpr Time kNetworkDelay = kMillisecond / 2;
constexpr Time kMaxEndpointBacklog = 1500 * kMillisecond;
constexpr Time kBurstPeriod = 4 * kSecond;
constexpr Time kBurstLength = kSecond / 2;
constexpr int kBurstFactor = 3;
constexpr double kWeightShortfall = 0.00008;

// Every draw of the world; nothing of the standard library's distributions, whose results differ by library.
class Draws {
 public:
  explicit Draws(int seed) : engine_(static_cast<std::uint32_t>(seed)) {}
  int below(int bound) { return static_cast<int>(engine_() % static_cast<std::uint32_t>(bound)); }
  int between(int least, int most) { return least + below(most - least + 1); }
  bool one_in(int chances) { return below(chances) == 0; }
  Time milliseconds(int least, int most) {
    const Time whole = between(least, most) * kMillisecond;
    return whole + below(static_cast<int>(kMillisecond));
  }

 private:
  std::mt19937 engine_;
};

enum class Behaviour { normal, slow, hung, erring, full, breaking };

struct Endpoint {
  EndpointId id = 0;
  EndpointState state = EndpointState::kReady;
  Time started = 0;
  int ring_position = 0;
  int zone = 0;
  Behaviour behaviour = Behaviour::normal;
  Time busy_until = 0;
};

struct Request {
  float number = 0;
  int request_class = 0;
  Time deadline = 0;
  int step = 1;
};

struct Attempt {
  Time sent_at = 0;
  bool ended = false;
};

struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kOk;
  Time delay = 0;
};

enum class EventKind {
  request_arrives,
  second_step_arrives,
  client_leaves,
  client_retries,
  attempt_ends,
  wake_due,
  early_wake,
  list_due,
  complete_list,
  endpoint_listed,
  endpoint_changes,
  endpoint_added,
  limits_change,
  zones_change,
  stray_result,
};

struct Event {
  Time at = 0;
  std::uint64_t order = 0;
  EventKind kind = EventKind::request_arrives;
  std::uint64_t id = 0;  // of what it is about: a request, an endpoint, a token
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

  // The hash of all decisions of the run.
  std::uint64_t run() {
    apply_settings();
    add_endpoints();
    schedule_recurring_events();
    policy_.start();
    send_list(true);
    carry_out_decisions();
    while (input_count_ < kInputsPerSeed) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      handle(event);
      carry_out_decisions();
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
      classes_.push_back(drawn_request_class());
      policy_.add_request_class(classes_.back());
    }
    ring_size_ = draws_.between(3, 8);
    replicas_ = draws_.between(2, 3);
    const int parts_a_call = draws_.between(1, 8);
    policy_.set_layout(ring_size_, replicas_, parts_a_call);
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
    const bool may_say_when = draws_.one_in(2);
    const Time longest_wait = draws_.milliseconds(200, 2000);
    policy_.set_retry_after(may_say_when, longest_wait);
    clients_mark_retries_ = draws_.one_in(2);
    policy_.set_clients_mark_retries(clients_mark_retries_);
    if (!draws_.one_in(3)) {
      apply_slow_start();
    }
    is_watched_ = draws_.one_in(2);
    ask_every_ = draws_.milliseconds(500, 2000);
    policy_.set_discovery(is_watched_, ask_every_);
    list_success_percent_ = draws_.one_in(2) ? 85 : 30;
    const Time tick = draws_.milliseconds(1, 5);
    policy_.set_tick(tick);
    zones_ = draws_.one_in(2) ? 1 : draws_.between(2, 3);
    if (draws_.one_in(2)) {
      has_zone_limits_ = true;
      set_zone_limits();
    }
  }

  void apply_retry_budget() {
    const double free = draws_.between(0, 6);
    const double share = draws_.between(0, 10) / 100.0;
    const Time window = draws_.milliseconds(500, 3000);
    const Time latest_begin = draws_.one_in(2) ? draws_.milliseconds(50, 1000) : 0;
    policy_.set_retry_budget(free, share, window, latest_begin);
  }

  void apply_slow_start() {
    const double cold_from = draws_.between(5, 50) / 100.0;
    const Time warm_after = draws_.milliseconds(1000, 3000);
    const double fall_multiple = draws_.between(10, 30) / 10.0;
    const Time fall_span = draws_.milliseconds(200, 1000);
    policy_.set_slow_start(cold_from, warm_after, fall_multiple, fall_span);
  }

  RequestClass drawn_request_class() {
    constexpr std::array kEffects = {Idempotency::kIdempotent, Idempotency::kIdempotent,
                                     Idempotency::kDeduplicated, Idempotency::kDeduplicated,
                                     Idempotency::kAtMostOnce};
    RequestClass drawn;
    drawn.idempotency = kEffects[draws_.below(static_cast<int>(kEffects.size()))];
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

  void set_zone_limits() {
    std::vector<ZoneLimit> limits;
    if (!draws_.one_in(8)) {  // else nearness counts for nothing
      for (int zone = 0; zone < zones_; ++zone) {
        ZoneLimit limit;
        limit.max_share = (zone == 0 ? draws_.between(70, 110) : draws_.between(5, 60)) / 100.0;
        limit.is_other_region = zone > 0 && draws_.one_in(3);
        limits.push_back(limit);
      }
    }
    const int step = draws_.between(1, 4);
    const double look_around = draws_.below(20) / 100.0;
    policy_.set_zone_limits(std::move(limits), step, look_around);
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
         {EventKind::request_arrives, EventKind::list_due, EventKind::endpoint_changes, EventKind::early_wake,
          EventKind::stray_result, EventKind::limits_change, EventKind::zones_change}) {
      schedule(kMillisecond, kind);
    }
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case EventKind::request_arrives:
        return request_arrives();
      case EventKind::second_step_arrives:
        return second_step_arrives(static_cast<RequestId>(event.id));
      case EventKind::client_leaves:
        return client_leaves(static_cast<RequestId>(event.id));
      case EventKind::client_retries:
        return bring_request(event.index, true, event.deadline - now_);
      case EventKind::attempt_ends:
        return attempt_ends(event);
      case EventKind::wake_due:
        return wake(event.id);
      case EventKind::early_wake:
        return wake_early();
      case EventKind::list_due:
        return list_due();
      case EventKind::complete_list:
        return answer_subscription();
      case EventKind::endpoint_listed:
        return list_one_endpoint(event.id);
      case EventKind::endpoint_changes:
        return change_endpoint();
      case EventKind::endpoint_added:
        return add_endpoint(event.index);
      case EventKind::limits_change:
        return change_limits();
      case EventKind::zones_change:
        return change_zones();
      case EventKind::stray_result:
        return stray_result();
    }
  }

  // ---- Requests ----

  void request_arrives() {
    schedule(request_interval(), EventKind::request_arrives);
    const int request_class = draws_.below(static_cast<int>(classes_.size()));
    const Time timeout = classes_[request_class].request_timeout;
    bring_request(request_class, false, timeout);
  }

  // At 100 percent load all endpoints are just busy with first attempts.
  Time request_interval() {
    constexpr int kMeanParts = 5;
    const bool is_burst = now_ % kBurstPeriod < kBurstLength;
    const Time endpoints = static_cast<Time>(endpoints_.size());
    const Time mean = service_time_ * kMeanParts * 100 / (endpoints * load_percent_);
    const Time interval = mean * draws_.between(1, 199) / 100;
    return is_burst ? interval / kBurstFactor : interval;
  }

  void bring_request(int request_class, bool is_retry, Time time_left) {
    if (time_left <= 0) {
      return;
    }
    const RequestId id = ++last_id_;
    Request& request = requests_[id];
    request.number = static_cast<float>(++last_number_);
    request.request_class = request_class;
    request.deadline = now_ + time_left;
    const bool is_marked = clients_mark_retries_ && is_retry;
    policy_.request_arrived(now_, id, request_class, request.number, is_marked, time_left);
    count_input("input: request");
    const float number = request.number;
    if (draws_.one_in(16)) {
      schedule(draws_.milliseconds(0, 500), EventKind::client_leaves, id);
    }
    if (draws_.one_in(64)) {  // looked at before its parts have come
      carry_out_decisions();
    }
    const int parts = draws_.between(1, 9);
    bring_shard_requests(number, parts);
  }

  void bring_shard_requests(float number, int parts) {
    std::vector<int> weights;
    int sum = 0;
    for (int i = 0; i < parts; ++i) {
      weights.push_back(draws_.between(1, 8));
      sum += weights.back();
    }
    const int first_shard = draws_.below(ring_size_);
    const double shortfall =
        draws_.one_in(8) ? kWeightShortfall * draws_.between(1, 2) : 0;  // as by rounding
    for (int i = 0; i < parts; ++i) {
      const RequestId id = ++last_id_;
      const double weight = (1 - shortfall) * weights[i] / sum;
      policy_.shard_request_arrived(now_, id, number, first_shard + i, weight);
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
    bring_shard_requests(found->second.number, request_class.second_step_shard_requests);
  }

  void client_leaves(RequestId id) {
    policy_.request_abandoned(id);
    requests_.erase(id);
    count_input("input: abandoned");
  }

  void request_answered(const PolicyAction& decision) {
    const Request& request = requests_.at(decision.request);
    const bool has_second_step = classes_[request.request_class].second_step_shard_requests > 0;
    if (request.step == 2 || !has_second_step) {
      requests_.erase(decision.request);
      return;
    }
    if (!draws_.one_in(16)) {  // else the second step never comes
      schedule(draws_.milliseconds(0, 20), EventKind::second_step_arrives, decision.request);
    }
  }

  void request_rejected(const PolicyAction& decision) {
    const Request request = requests_.at(decision.request);
    requests_.erase(decision.request);
    if (draws_.one_in(2)) {
      const Time delay = decision.duration + draws_.milliseconds(0, 20);
      schedule(delay, EventKind::client_retries, 0, request.request_class, AttemptOutcome::kOk,
               request.deadline);
    }
  }

  // ---- Attempts ----

  void start_attempt(const PolicyAction& decision) {
    std::vector<Attempt>& attempts = attempts_[decision.request];
    const int index = static_cast<int>(attempts.size());
    for (const Attempt& earlier : attempts) {
      if (!earlier.ended) {
        ++counts_["  of sends: hedged"];
        break;
      }
    }
    counts_["  of sends: retries and hedged"] += index > 0;
    counts_["  of sends: to begin within a time"] += decision.max_start_delay != kNever;
    attempts.push_back({now_, false});
    const AttemptEnd end = drawn_end(decision);
    schedule(end.delay, EventKind::attempt_ends, decision.request, index, end.outcome);
  }

  AttemptEnd drawn_end(const PolicyAction& decision) {
    const Time timeout = std::max<Time>(decision.duration, 0);
    const Time connect_wait = draws_.one_in(16) ? draws_.milliseconds(1, 60) : 0;
    if (connect_wait > decision.max_start_delay) {
      return {AttemptOutcome::kNotSent, std::max<Time>(decision.max_start_delay, 0)};
    }
    const auto found = endpoints_.find(decision.endpoint);
    if (found == endpoints_.end()) {
      return {AttemptOutcome::kConnectFailed, connect_wait + kNetworkDelay};
    }
    if (draws_.one_in(100)) {
      constexpr std::array kMishaps = {AttemptOutcome::kError, AttemptOutcome::kQueueFull,
                                       AttemptOutcome::kConnectFailed, AttemptOutcome::kReset,
                                       AttemptOutcome::kNotSent};
      const int mishap = draws_.below(static_cast<int>(kMishaps.size()));
      return {kMishaps[mishap], connect_wait + kNetworkDelay};
    }
    AttemptEnd end = served(found->second);
    end.delay += connect_wait;
    return end.delay > timeout ? AttemptEnd{AttemptOutcome::kTimedOut, timeout} : end;
  }

  AttemptEnd served(Endpoint& endpoint) {
    const Time backlog = std::max<Time>(endpoint.busy_until - now_, 0);
    const bool is_slow = endpoint.behaviour == Behaviour::slow;
    const Time service_time = service_time_ * draws_.between(50, 150) / 100 * (is_slow ? 5 : 1);
    switch (endpoint.behaviour) {
      case Behaviour::hung:
        return {AttemptOutcome::kTimedOut, kNever / 2};
      case Behaviour::erring:
        return {AttemptOutcome::kError, kNetworkDelay};
      case Behaviour::full:
        return {AttemptOutcome::kQueueFull, kNetworkDelay};
      case Behaviour::breaking:
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

  void cancel_attempt(const PolicyAction& decision) {
    if (draws_.one_in(16)) {  // it comes too late
      return;
    }
    const Time delay = draws_.below(static_cast<int>(2 * kMillisecond));
    schedule(delay, EventKind::attempt_ends, decision.request, decision.attempt_index,
             AttemptOutcome::kCancelled);
  }

  void attempt_ends(const Event& event) {
    const RequestId id = static_cast<RequestId>(event.id);
    Attempt& attempt = attempts_.at(id).at(event.index);
    if (attempt.ended && !draws_.one_in(16)) {  // else told a second time
      return;
    }
    attempt.ended = true;
    const bool is_over = event.outcome != AttemptOutcome::kOk && draws_.one_in(16);
    report_end(id, event.index, event.outcome, now_ - attempt.sent_at, is_over);
  }

  void report_end(RequestId id, int index, AttemptOutcome outcome, Time latency, bool is_over) {
    LoadReport report;
    if (draws_.one_in(2)) {
      report.in_flight = draws_.below(20);
      report.cpu_share = draws_.below(101) / 100.0;
      report.service_ms = draws_.below(100);
    }
    policy_.attempt_ended(now_, id, index, outcome, latency, is_over, report);
    count_input("input: attempt ended " + std::to_string(static_cast<int>(outcome)));
  }

  // A result of an attempt that may be unknown, or be out still.
  void stray_result() {
    schedule(draws_.milliseconds(20, 200), EventKind::stray_result);
    const RequestId id = static_cast<RequestId>(draws_.below(static_cast<int>(last_id_) + 2));
    const int index = draws_.between(-1, 4);
    const AttemptOutcome outcome = static_cast<AttemptOutcome>(draws_.below(8));
    const Time latency = draws_.milliseconds(0, 100);
    report_end(id, index, outcome, latency, false);
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && index >= 0 && index < static_cast<int>(found->second.size())) {
      found->second[index].ended = true;
    }
  }

  // ---- Wake-ups ----

  void wake(std::uint64_t token) {
    latest_token_ = token;
    policy_.woken(token);
    count_input("input: woken");
  }

  void wake_early() {
    schedule(draws_.milliseconds(5, 100), EventKind::early_wake);
    const std::uint64_t token = draws_.one_in(2) ? asked_token_ : latest_token_;
    policy_.woken(token);
    count_input("input: woken early");
  }

  // ---- Endpoints and their list ----

  void add_endpoints() {
    const int a_position = draws_.between(1, 2);
    for (int position = 0; position < ring_size_; ++position) {
      for (int i = 0; i < a_position; ++i) {
        Endpoint& endpoint = new_endpoint(position);
        endpoint.started = 0;
      }
    }
  }

  Endpoint& new_endpoint(int ring_position) {
    const EndpointId id = ++last_endpoint_;
    Endpoint& endpoint = endpoints_[id];
    endpoint.id = id;
    endpoint.ring_position = ring_position;
    endpoint.zone = draws_.below(zones_);
    endpoint.started = now_;
    if (draws_.one_in(16)) {
      endpoint.behaviour = drawn_fault();
    }
    return endpoint;
  }

  Behaviour drawn_fault() {
    constexpr std::array kFaults = {Behaviour::slow,   Behaviour::slow, Behaviour::hung,    Behaviour::hung,
                                    Behaviour::erring, Behaviour::full, Behaviour::breaking};
    const int fault = draws_.below(static_cast<int>(kFaults.size()));
    return kFaults[fault];
  }

  void add_endpoint(int ring_position) {
    const Endpoint& endpoint = new_endpoint(ring_position);
    announce(endpoint.id);
  }

  // A watched list tells a change at once; a polled one at its next time.
  void announce(EndpointId id) {
    if (is_watched_) {
      schedule(draws_.milliseconds(0, 100), EventKind::endpoint_listed, id);
    }
  }

  Endpoint& drawn_endpoint() {
    auto chosen = endpoints_.begin();
    std::advance(chosen, draws_.below(static_cast<int>(endpoints_.size())));
    return chosen->second;
  }

  void change_endpoint() {
    schedule(draws_.milliseconds(50, 400), EventKind::endpoint_changes);
    Endpoint& endpoint = drawn_endpoint();
    const int change = draws_.below(10);
    if (change < 4) {  // the list doesn't tell of it
      const bool is_faulty = endpoint.behaviour != Behaviour::normal;
      endpoint.behaviour = is_faulty || draws_.one_in(2) ? Behaviour::normal : drawn_fault();
      return;
    }
    const EndpointId id = endpoint.id;
    if (change < 6) {
      remove_endpoint(endpoint);
    } else if (change == 6) {
      endpoint.started = now_;
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

  // Another takes its place later: a new one, and at times the old one comes back.
  void remove_endpoint(const Endpoint& endpoint) {
    const int ring_position = endpoint.ring_position;
    if (draws_.one_in(3)) {
      removed_.push_back(endpoint);
    }
    endpoints_.erase(endpoint.id);
    schedule(draws_.milliseconds(0, 300), EventKind::endpoint_added, 0, ring_position);
    if (removed_.size() >= 3) {
      Endpoint& returned = endpoints_[removed_.front().id];
      returned = removed_.front();
      returned.started = now_;
      removed_.erase(removed_.begin());
    }
  }

  void list_due() {
    schedule(ask_every_, EventKind::list_due);
    if (draws_.below(100) >= list_success_percent_) {
      policy_.list_failed(now_);
      count_input("input: list failed");
      return;
    }
    const bool is_complete = !is_watched_ || draws_.one_in(2);
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
      Endpoint gone;
      gone.id = id;
      gone.ring_position = -1;
      list_endpoint(gone, EndpointState::kRemoved);
    }
    policy_.list_ends();
    count_input("input: list of one");
  }

  void list_endpoint(const Endpoint& endpoint, EndpointState state) {
    policy_.list_endpoint(endpoint.id, state, endpoint.started, endpoint.ring_position, endpoint.zone);
    count_input("input: endpoint listed");
  }

  // ---- Limits that change while requests are in flight ----

  void change_limits() {
    schedule(draws_.milliseconds(200, 1500), EventKind::limits_change);
    if (draws_.one_in(2)) {
      return;
    }
    const int request_class = draws_.below(static_cast<int>(classes_.size()));
    const RequestClass& stated = classes_[request_class];
    Time max_budget = kNever;
    double min_share = 0;
    if (draws_.one_in(2)) {
      max_budget = stated.latency_objective * draws_.between(40, 100) / 100;
      min_share = stated.required_share * draws_.between(0, 100) / 100.0;
    }
    policy_.limit_request_class(request_class, max_budget, min_share);
    count_input("input: class limited");
  }

  void change_zones() {
    schedule(draws_.milliseconds(300, 2000), EventKind::zones_change);
    if (!has_zone_limits_) {
      return;
    }
    const int request_class = draws_.below(static_cast<int>(classes_.size()));
    const int change = draws_.below(3);
    const bool stays = draws_.one_in(2);
    if (change == 0) {
      set_zone_limits();
    } else if (change == 1) {
      policy_.keep_in_region(request_class, stays);
    } else {
      policy_.keep_in_zone(request_class, stays);
    }
    count_input("input: zones limited");
  }

  // ---- Decisions ----

  void carry_out_decisions() {
    for (int pulled = 0; pulled < kMaxDecisionsPerPull; ++pulled) {
      const std::optional<PolicyAction> decision = policy_.next(now_);
      if (!decision) {
        return;
      }
      hash_decision(*decision);
      count_decision(*decision);
      carry_out(*decision);
    }
    throw std::runtime_error("decisions without end");
  }

  void carry_out(const PolicyAction& decision) {
    switch (decision.kind) {
      case PolicyAction::Kind::kSendAttempt:
        return start_attempt(decision);
      case PolicyAction::Kind::kCancelAttempt:
        return cancel_attempt(decision);
      case PolicyAction::Kind::kRespond:
        return request_answered(decision);
      case PolicyAction::Kind::kReject:
        return request_rejected(decision);
      case PolicyAction::Kind::kFail:
        requests_.erase(decision.request);
        return;
      case PolicyAction::Kind::kSubscribe:
        return schedule(draws_.milliseconds(1, 20), EventKind::complete_list);
      case PolicyAction::Kind::kWake:
        asked_token_ = decision.token;
        return schedule(std::max<Time>(decision.duration, 0), EventKind::wake_due, decision.token);
      case PolicyAction::Kind::kProbe:
      case PolicyAction::Kind::kForgetEndpoint:
        return;
    }
  }

  void hash_decision(const PolicyAction& decision) {
    const std::array<std::uint64_t, 9> words = {static_cast<std::uint64_t>(now_),
                                                static_cast<std::uint64_t>(decision.kind),
                                                decision.request,
                                                decision.endpoint,
                                                static_cast<std::uint64_t>(decision.attempt_index),
                                                decision.is_complete,
                                                static_cast<std::uint64_t>(decision.duration),
                                                decision.token,
                                                static_cast<std::uint64_t>(decision.max_start_delay)};
    XXH3_64bits_update(hash_state_.get(), words.data(), sizeof words);
  }

  void count_decision(const PolicyAction& decision) {
    static constexpr std::array kNames = {"send",  "cancel",    "answer", "push_back", "fail",
                                          "probe", "subscribe", "forget", "wake"};
    ++counts_[kNames[static_cast<std::size_t>(decision.kind)]];
    if (decision.kind == PolicyAction::Kind::kRespond) {
      counts_["  of answers: partial"] += !decision.is_complete;
      counts_["  of answers: of a second step"] += requests_.at(decision.request).step == 2;
    }
    if (decision.kind == PolicyAction::Kind::kReject) {
      counts_["  of push_backs: with Retry-After"] += decision.duration > 0;
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

  std::vector<RequestClass> classes_;  // as stated
  int ring_size_ = 1;
  int replicas_ = 1;
  int zones_ = 1;
  bool has_zone_limits_ = false;
  bool clients_mark_retries_ = false;
  bool is_watched_ = false;
  int list_success_percent_ = 100;
  Time ask_every_ = kSecond;
  Time service_time_ = kMillisecond;
  int load_percent_ = 100;

  Time now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t event_count_ = 0;
  RequestId last_id_ = 0;
  int last_number_ = 0;
  EndpointId last_endpoint_ = 0;
  std::uint64_t asked_token_ = 0;
  std::uint64_t latest_token_ = 0;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<Endpoint> removed_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<RequestId, std::vector<Attempt>> attempts_;  // of a shard request, by index
};

// ---- The golden file: a line a seed, then one for the values of all seeds folded ----

struct Golden {
  std::map<int, std::uint64_t> seeds;
  std::uint64_t all = 0;
};

std::uint64_t folded(const std::map<int, std::uint64_t>& seeds) {
  std::vector<std::uint64_t> values;
  for (const auto& [seed, value] : seeds) {
    values.push_back(value);
  }
  return XXH3_64bits(values.data(), values.size() * sizeof(std::uint64_t));
}

Golden replayed(int first_seed, int last_seed) {
  Golden result;
  for (int seed = first_seed; seed <= last_seed; ++seed) {
    Replay replay(seed);
    result.seeds[seed] = replay.run();
  }
  result.all = folded(result.seeds);
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
  if (!is_complete || folded(golden.seeds) != golden.all) {
    throw std::runtime_error(std::string(path) + " isn't a complete golden file");
  }
  return golden;
}

int compare(const char* path, int first_seed, int last_seed) {
  const Golden golden = read_golden(path);
  const Golden result = replayed(first_seed, last_seed);
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
    print(replayed(1, kSeeds));
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
  std::fprintf(stderr, "policy_replay GOLDEN [FROM TO] | print | stats\n");
  return 2;
}
