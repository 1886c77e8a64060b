#include "dispatch/two_phase_runner.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace cairnhub::dispatch {

// The state of a request class that allows two-phase queries, with the request classes of its rounds.
struct TwoPhaseRunner::ClassState {
  two_phase::QueryPlanner planner;
  int match_class;
  int rematch_class;
  int fetch_class;
};

struct TwoPhaseRunner::RunningQuery {
  QueryId id = 0;
  ClassState& class_state;
  std::string name;
  bool is_client_retry = false;
  std::unique_ptr<TwoPhaseCallbacks> callbacks;
  two_phase::QueryPlan plan;
  std::vector<Request*> round_requests;  // by round; null once ended
  MemoryReservation query_memory;
  MemoryReservation plan_memory;  // of matches and details, and of the response made of them
  Time wakes_at = kNever;
  bool is_queued = false;
};

// Reports the results of one round to the plan.
class TwoPhaseRunner::RoundCallbacks : public RequestCallbacks {
 public:
  RoundCallbacks(TwoPhaseRunner& runner, RunningQuery& running, int round)
      : runner_(runner), running_(running), round_(round) {}
  ValueUse on_value(const ShardRequest& shard_request, std::string_view value) override {
    const auto& shard_requests = shard_request.request->shard_requests;
    const auto it = std::find_if(shard_requests.begin(), shard_requests.end(),
                                 [&](const auto& candidate) { return candidate.get() == &shard_request; });
    const int block =
        running_.plan.round(round_).blocks[static_cast<std::size_t>(it - shard_requests.begin())];
    const char* fault = running_.plan.record_value(round_, block, value);
    runner_.update_memory(running_);
    runner_.enqueue(running_);
    if (fault) log("phases", "%s: %s", shard_request.name.c_str(), fault);
    return fault ? ValueUse::kInvalid : ValueUse::kTaken;
  }
  void on_response(const Request& request, bool is_complete) override {
    end_round(request, is_complete ? two_phase::RoundResult::kComplete : two_phase::RoundResult::kPartial, 0);
  }
  void on_rejected(const Request& request, Time retry_after) override {
    const bool was_sent =
        std::any_of(request.shard_requests.begin(), request.shard_requests.end(),
                    [](const auto& shard_request) { return !shard_request->attempts.empty(); });
    end_round(request, was_sent ? two_phase::RoundResult::kFailed : two_phase::RoundResult::kRejected,
              retry_after);
  }
  void on_failed(const Request& request) override { end_round(request, two_phase::RoundResult::kFailed, 0); }

  // Reports to the plan which blocks a match round was sent to: shard requests that weren't drawn stay
  // unsent.
  static void report_sent(RunningQuery& running, int round_index, const Request& request) {
    const two_phase::Round& round = running.plan.round(round_index);
    if (round.kind != two_phase::RoundKind::kMatch) return;
    for (std::size_t i = 0; i < request.shard_requests.size(); ++i) {
      if (!request.shard_requests[i]->attempts.empty()) running.plan.record_sent(round.blocks[i]);
    }
  }

 private:
  void end_round(const Request& request, two_phase::RoundResult end, Time retry_after) {
    report_sent(running_, round_, request);
    running_.round_requests[round_] = nullptr;
    running_.plan.record_round_result(now(), round_, end, retry_after);
    runner_.enqueue(running_);
  }
  TwoPhaseRunner& runner_;
  RunningQuery& running_;
  int round_;
};

TwoPhaseRunner::TwoPhaseRunner(event_base* base, RequestPolicy& policy, InFlightRequests& requests,
                               RequestDispatcher& dispatcher, int class_count)
    : policy_(policy),
      requests_(requests),
      dispatcher_(dispatcher),
      class_count_(class_count),
      wake_timer_(base, [this] {
        while (!wake_ups_.empty() && wake_ups_.begin()->first <= now()) {
          RunningQuery& running = *running_.at(wake_ups_.begin()->second);
          set_wake_up(running, kNever);
          enqueue(running);
        }
        if (!wake_ups_.empty()) wake_timer_.start(wake_ups_.begin()->first - now());
        dispatcher_.run_actions();
      }) {}

TwoPhaseRunner::~TwoPhaseRunner() = default;

void TwoPhaseRunner::add_class(int request_class, const RequestClass& definition,
                               const two_phase::PlanOptions& terms) {
  // Each round has a time limit of its own that ends it; until then a late response is worth as much.
  RequestClass round_class = definition;
  round_class.late_value_share = 1;
  round_class.request_timeout = 0;  // a round with little time left is not the retry of a client
  round_class.second_step_shard_requests = 0;
  classes_[request_class] = std::make_unique<ClassState>(ClassState{two_phase::QueryPlanner(terms), 0, 0, 0});
  ClassState& state = *classes_[request_class];
  const auto add_round_class = [&](const RequestClass& added) {
    policy_.add_request_class(added);
    dispatcher_.add_derived_class(class_count_, request_class);
    return class_count_++;
  };
  state.match_class = add_round_class(round_class);
  // Rematch and fetch rounds have one block each: a response is complete with that block, and the plan
  // decides whether the query is complete.
  round_class.required_share = 1;
  round_class.min_response_share = 1;
  state.rematch_class = add_round_class(round_class);
  state.fetch_class = add_round_class(round_class);
  limit_class(request_class, dispatcher_.limits(request_class));
}

void TwoPhaseRunner::limit_class(int request_class, const RequestClassLimits& limits) {
  const auto it = classes_.find(request_class);
  if (it == classes_.end()) return;
  ClassState& state = *it->second;
  state.planner.limit(limits.max_latency_objective, limits.min_answer_share);
  policy_.limit_request_class(state.match_class, limits.max_latency_objective, limits.min_answer_share);
  for (const int one_block_class : {state.rematch_class, state.fetch_class}) {
    policy_.limit_request_class(one_block_class, limits.max_latency_objective, 0);
  }
}

std::function<void()> TwoPhaseRunner::start(const std::string& name, int request_class, bool is_client_retry,
                                            two_phase::Query query,
                                            std::unique_ptr<TwoPhaseCallbacks> callbacks) {
  const QueryId id = ++last_id_;
  const std::size_t query_bytes = query.text.capacity() + query.blocks.capacity() * sizeof(query.blocks[0]);
  ClassState& state = *classes_.at(request_class);
  auto running = std::make_unique<RunningQuery>(
      RunningQuery{id,
                   state,
                   name,
                   is_client_retry,
                   std::move(callbacks),
                   two_phase::QueryPlan(state.planner, std::move(query), now()),
                   {},
                   MemoryReservation(requests_.memory(), MemoryUse::kRequests, query_bytes),
                   MemoryReservation(requests_.memory(), MemoryUse::kAnswers)});
  names_.insert(name);
  update_memory(*running);
  enqueue(*(running_[id] = std::move(running)));
  dispatcher_.run_actions();
  return [this, id] { abandon(id); };
}

void TwoPhaseRunner::enqueue(RunningQuery& running) {
  if (!std::exchange(running.is_queued, true)) queue_.push_back(running.id);
}

// The plan's values are counted twice: their response is built while the plan is still held.
void TwoPhaseRunner::update_memory(RunningQuery& running) {
  running.plan_memory.resize(2 * running.plan.memory_bytes());
}

bool TwoPhaseRunner::advance_plans() {
  if (queue_.empty()) return false;
  while (!queue_.empty()) {
    const auto it = running_.find(queue_.front());
    queue_.pop_front();
    if (it != running_.end()) advance(*it->second);
  }
  return true;
}

void TwoPhaseRunner::advance(RunningQuery& running) {
  running.is_queued = false;
  while (const auto decision = running.plan.next_decision(now())) {
    if (decision->kind != two_phase::Decision::Kind::kRunRound) return finish(running, *decision);
    start_round(running, decision->round);
  }
  set_wake_up(running, running.plan.next_wake_up(now()));
}

// Sets the query's only wake-up. kNever: none.
void TwoPhaseRunner::set_wake_up(RunningQuery& running, Time wakes_at) {
  if (running.wakes_at == wakes_at) return;
  if (running.wakes_at != kNever) wake_ups_.erase({running.wakes_at, running.id});
  running.wakes_at = wakes_at;
  if (running.wakes_at == kNever) return;
  wake_ups_.emplace(wakes_at, running.id);
  wake_timer_.start(wake_ups_.begin()->first - now());
}

void TwoPhaseRunner::start_round(RunningQuery& running, int round_index) {
  const two_phase::Round& round = running.plan.round(round_index);
  const ClassState& state = running.class_state;
  const bool is_match = round.kind == two_phase::RoundKind::kMatch;
  auto request = std::make_unique<Request>();
  request->name = running.name + "/" + std::to_string(round_index);
  while (requests_.contains(request->name)) request->name += '\'';  // a client may have chosen the same name
  request->body = running.plan.take_text(round_index);
  request->request_class = is_match                                          ? state.match_class
                           : round.kind == two_phase::RoundKind::kMatchAgain ? state.rematch_class
                                                                             : state.fetch_class;
  request->is_client_retry = running.is_client_retry && is_match;
  request->time_left = round.time_limit;
  request->max_value_bytes = SIZE_MAX;  // the plan takes the values, and the memory limit applies to it
  for (const int block : round.blocks) {
    auto shard_request = std::make_unique<ShardRequest>();
    shard_request->shard = running.plan.block(block).shard;
    shard_request->weight = is_match ? running.plan.block(block).weight : 1;
    shard_request->name = request->name + "." + std::to_string(shard_request->shard);
    request->shard_requests.push_back(std::move(shard_request));
  }
  request->callbacks = std::make_unique<RoundCallbacks>(*this, running, round_index);
  running.round_requests.resize(static_cast<std::size_t>(round_index) + 1);
  running.round_requests[round_index] = request.get();
  dispatcher_.start_request(std::move(request));
}

// Ends the open rounds in the same turn as the response: none of their attempts may be sent after the
// response.
void TwoPhaseRunner::finish(RunningQuery& running, const two_phase::Decision& decision) {
  for (std::size_t i = 0; i < running.round_requests.size(); ++i) {
    if (running.round_requests[i]) {
      RoundCallbacks::report_sent(running, static_cast<int>(i), *running.round_requests[i]);
    }
  }
  const auto callbacks = std::move(running.callbacks);
  if (decision.kind == two_phase::Decision::Kind::kRespond) {
    callbacks->on_response(running.plan, decision.is_complete);
  } else {
    callbacks->on_rejected(decision.retry_after);
  }
  const auto kept = std::move(running_.extract(running.id).mapped());
  stop(*kept);
}

void TwoPhaseRunner::stop(RunningQuery& running) {
  names_.erase(running.name);
  set_wake_up(running, kNever);
  for (Request*& request : running.round_requests) {
    if (request) dispatcher_.abandon_request(std::exchange(request, nullptr)->id);
  }
}

void TwoPhaseRunner::abandon(QueryId id) {
  auto node = running_.extract(id);
  if (!node.empty()) stop(*node.mapped());
}

}  // namespace cairnhub::dispatch
