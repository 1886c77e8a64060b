#include "dispatch/two_phase_runner.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace cairnhub::dispatch {

// An op type, and the numbers under which the decision module knows its rounds.
struct TwoPhaseRunner::Op {
  two_phase::Planner planner;
  int match, again, fetch;
};

struct TwoPhaseRunner::Run {
  RunId id = 0;
  Op& op;
  std::string name;
  bool client_retry = false;
  std::unique_ptr<TwoPhaseCallbacks> client;
  two_phase::Plan plan;
  std::vector<dispatch::Request*> open;  // by round; null once ended
  std::size_t held = 0;                  // as counted in the book
  Time due = kNever;
  bool queued = false;
};

// The client of one round: tells the plan what comes.
class TwoPhaseRunner::Sub : public RequestCallbacks {
 public:
  Sub(TwoPhaseRunner& home, Run& run, int round) : home_(home), run_(run), round_(round) {}
  ValueUse on_value(const ShardRequest& part, std::string_view value) override {
    const auto& parts = part.request->shard_requests;
    const auto at = std::find_if(parts.begin(), parts.end(), [&](const auto& p) { return p.get() == &part; });
    const int block = run_.plan.round(round_).blocks[static_cast<std::size_t>(at - parts.begin())];
    const char* wrong = run_.plan.came(round_, block, value);
    home_.recount(run_);
    home_.look_at(run_);
    if (wrong) log("phases", "%s: %s", part.name.c_str(), wrong);
    return wrong ? ValueUse::kInvalid : ValueUse::kTaken;
  }
  void on_response(const dispatch::Request& q, bool whole) override {
    ended(q, whole ? two_phase::RoundEnd::whole : two_phase::RoundEnd::in_part, 0);
  }
  void on_rejected(const dispatch::Request& q, Time come_back) override {
    const bool sent = std::any_of(q.shard_requests.begin(), q.shard_requests.end(),
                                  [](const auto& p) { return !p->attempts.empty(); });
    ended(q, sent ? two_phase::RoundEnd::failed : two_phase::RoundEnd::pushed_back, come_back);
  }
  void on_failed(const dispatch::Request& q) override { ended(q, two_phase::RoundEnd::failed, 0); }

  // Which blocks were really asked: undrawn parts stay unsent.
  static void note_sent(Run& run, int round, const dispatch::Request& q) {
    const two_phase::Round& r = run.plan.round(round);
    if (r.kind != two_phase::RoundKind::match) return;
    for (std::size_t i = 0; i < q.shard_requests.size(); ++i)
      if (!q.shard_requests[i]->attempts.empty()) run.plan.sent(r.blocks[i]);
  }

 private:
  void ended(const dispatch::Request& q, two_phase::RoundEnd how, Time come_back) {
    note_sent(run_, round_, q);
    run_.open[round_] = nullptr;
    run_.plan.round_ended(now(), round_, how, come_back);
    home_.look_at(run_);
  }
  TwoPhaseRunner& home_;
  Run& run_;
  int round_;
};

TwoPhaseRunner::TwoPhaseRunner(event_base* base, RequestPolicy& policy, InFlightRequests& book,
                               RequestDispatcher& route, int op_types)
    : policy_(policy), book_(book), route_(route), op_types_(op_types), wake_(base, [this] {
        while (!wakes_.empty() && wakes_.begin()->first <= now()) {
          Run& run = *runs_.at(wakes_.begin()->second);
          sleep(run, kNever);
          look_at(run);
        }
        if (!wakes_.empty()) wake_.start(wakes_.begin()->first - now());
        route_.run_actions();
      }) {}

TwoPhaseRunner::~TwoPhaseRunner() = default;

void TwoPhaseRunner::add_class(int op_type, const RequestClass& op, const two_phase::Terms& terms) {
  // Each round has a time of its own, which ends it; until then it's worth going on.
  RequestClass derived = op;
  derived.late_value_share = 1;
  derived.request_timeout = 0;  // a round that comes with little time is no client's later try
  derived.second_step_shard_requests = 0;
  ops_[op_type] = std::make_unique<Op>(Op{two_phase::Planner(terms), 0, 0, 0});
  Op& mine = *ops_[op_type];
  const auto add = [&](const RequestClass& o) {
    policy_.add_request_class(o);
    route_.add_derived_class(op_types_, op_type);
    return op_types_++;
  };
  mine.match = add(derived);
  // Of one block each; whatever comes of them is taken, and the plan judges the whole.
  derived.required_share = derived.min_answer_share = 1;
  mine.again = add(derived);
  mine.fetch = add(derived);
  limit_class(op_type, route_.limits(op_type));
}

void TwoPhaseRunner::limit_class(int op_type, const RequestClassLimits& limits) {
  const auto it = ops_.find(op_type);
  if (it == ops_.end()) return;
  Op& op = *it->second;
  op.planner.limit(limits.max_latency_objective, limits.min_answer_share);
  policy_.limit_request_class(op.match, limits.max_latency_objective, limits.min_answer_share);
  for (const int one_block : {op.again, op.fetch})
    policy_.limit_request_class(one_block, limits.max_latency_objective, 0);
}

std::function<void()> TwoPhaseRunner::start(const std::string& name, int op_type, bool client_retry,
                                            two_phase::Query query,
                                            std::unique_ptr<TwoPhaseCallbacks> client) {
  const RunId id = ++last_id_;
  Op& op = *ops_.at(op_type);
  auto run = std::make_unique<Run>(Run{id,
                                       op,
                                       name,
                                       client_retry,
                                       std::move(client),
                                       two_phase::Plan(op.planner, std::move(query), now()),
                                       {}});
  names_.insert(name);
  recount(*run);
  look_at(*(runs_[id] = std::move(run)));
  route_.run_actions();
  return [this, id] { left(id); };
}

void TwoPhaseRunner::look_at(Run& run) {
  if (!std::exchange(run.queued, true)) agenda_.push_back(run.id);
}

// What plans hold counts towards the bound on what is in hand.
void TwoPhaseRunner::recount(Run& run) {
  const std::size_t before = std::exchange(run.held, run.plan.bytes());
  book_.adjust_memory(before, run.held);
}

bool TwoPhaseRunner::advance_plans() {
  if (agenda_.empty()) return false;
  while (!agenda_.empty()) {
    const auto it = runs_.find(agenda_.front());
    agenda_.pop_front();
    if (it != runs_.end()) pull(*it->second);
  }
  return true;
}

void TwoPhaseRunner::pull(Run& run) {
  run.queued = false;
  while (const auto d = run.plan.next(now())) {
    if (d->kind != two_phase::Decision::Kind::ask) return finish(run, *d);
    ask(run, d->round);
  }
  sleep(run, run.plan.due(now()));
}

// The one wake-up that a run has. kNever: none.
void TwoPhaseRunner::sleep(Run& run, Time until) {
  if (run.due == until) return;
  if (run.due != kNever) wakes_.erase({run.due, run.id});
  if ((run.due = until) == kNever) return;
  wakes_.emplace(until, run.id);
  wake_.start(wakes_.begin()->first - now());
}

void TwoPhaseRunner::ask(Run& run, int round) {
  const two_phase::Round& r = run.plan.round(round);
  auto q = std::make_unique<dispatch::Request>();
  q->name = run.name + "/" + std::to_string(round);
  while (book_.contains(q->name)) q->name += '\'';  // Danger: another client may have chosen the very name
  q->body = run.plan.take_text(round);
  q->request_class = r.kind == two_phase::RoundKind::match   ? run.op.match
                     : r.kind == two_phase::RoundKind::again ? run.op.again
                                                             : run.op.fetch;
  q->is_client_retry = run.client_retry && r.kind == two_phase::RoundKind::match;
  q->time_left = r.span;
  q->max_value_bytes = SIZE_MAX;  // the plan takes them, and the memory bound holds
  for (const int b : r.blocks) {
    auto p = std::make_unique<ShardRequest>();
    p->shard = run.plan.block(b).shard;
    p->weight = r.kind == two_phase::RoundKind::match ? run.plan.block(b).weight : 1;
    p->name = q->name + "." + std::to_string(p->shard);
    q->shard_requests.push_back(std::move(p));
  }
  q->callbacks = std::make_unique<Sub>(*this, run, round);
  run.open.resize(static_cast<std::size_t>(round) + 1);
  run.open[round] = q.get();
  route_.start_request(std::move(q));
}

// Rule 1: what is still out of any round ends with the answer, within the turn that gives it.
void TwoPhaseRunner::finish(Run& run, const two_phase::Decision& d) {
  for (std::size_t i = 0; i < run.open.size(); ++i)
    if (run.open[i]) Sub::note_sent(run, static_cast<int>(i), *run.open[i]);
  const auto client = std::move(run.client);
  if (d.kind == two_phase::Decision::Kind::answer)
    client->on_response(run.plan, d.whole);
  else
    client->on_rejected(d.span);
  const auto kept = std::move(runs_.extract(run.id).mapped());
  stop(*kept);
}

void TwoPhaseRunner::stop(Run& run) {
  names_.erase(run.name);
  sleep(run, kNever);
  for (dispatch::Request*& q : run.open)
    if (q) route_.abandon_request(std::exchange(q, nullptr)->id);
  book_.adjust_memory(run.held, 0);
}

void TwoPhaseRunner::left(RunId id) {
  auto node = runs_.extract(id);
  if (!node.empty()) stop(*node.mapped());
}

}  // namespace cairnhub::dispatch
