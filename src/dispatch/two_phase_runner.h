// Runs two-phase multigets: carries out what their plans (two_phase/query_plan.h) ask for, each round as a
// multiget of its own through route and the decision module, and tells the plans what came of it. Chooses
// nothing.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "dispatch/in_flight_requests.h"
#include "dispatch/request_dispatcher.h"
#include "two_phase/query_plan.h"

namespace cairnhub::dispatch {

// Who waits for a two-phase multiget. A front stands behind this. One of the two is called, once.
class TwoPhaseCallbacks {
 public:
  virtual ~TwoPhaseCallbacks() = default;
  virtual void on_response(const two_phase::Plan& plan, bool whole) = 0;
  virtual void on_rejected(Time come_back) = 0;  // 0 = no advice; trying again is harmless
};

class TwoPhaseRunner {
 public:
  // `op_types`: how many the settings have told the policy; those of rounds come after them.
  TwoPhaseRunner(event_base* base, RequestPolicy& policy, InFlightRequests& book, RequestDispatcher& route,
                 int op_types);
  ~TwoPhaseRunner();

  // Lets multigets of an op type have two phases; once each, after the settings' own op types. Only retriable
  // ones: a plan may ask a block again.
  void add_class(int op_type, const RequestClass& op, const two_phase::Terms& terms);
  void limit_class(int op_type, const RequestClassLimits& limits);  // as the policy's of that op type
  bool is_allowed(int op_type) const { return ops_.count(op_type) != 0 && route_.may_run_two_phase(op_type); }
  int class_count() const { return op_types_; }  // of the policy, those of rounds included
  bool contains(const std::string& name) const { return names_.count(name) != 0; }

  // Returns what to call should the client leave.
  std::function<void()> start(const std::string& name, int op_type, bool client_retry, two_phase::Query query,
                              std::unique_ptr<TwoPhaseCallbacks> client);
  // At the end of each turn: what follows for the plans that were told something. False where nothing did.
  bool advance_plans();

 private:
  struct Op;
  struct Run;
  class Sub;
  using RunId = std::uint64_t;

  void pull(Run& run);
  void ask(Run& run, int round);
  void finish(Run& run, const two_phase::Decision& d);
  void stop(Run& run);
  void left(RunId id);
  void look_at(Run& run);
  void recount(Run& run);
  void sleep(Run& run, Time until);

  RequestPolicy& policy_;
  InFlightRequests& book_;
  RequestDispatcher& route_;
  int op_types_;  // of the policy, those added here included
  std::map<int, std::unique_ptr<Op>> ops_;
  std::map<RunId, std::unique_ptr<Run>> runs_;
  std::set<std::string> names_;
  std::deque<RunId> agenda_;
  std::set<std::pair<Time, RunId>> wakes_;
  Timer wake_;
  RunId last_id_ = 0;
};

}  // namespace cairnhub::dispatch
