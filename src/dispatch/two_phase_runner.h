// Runs two-phase queries: sends each round of their plans (two_phase/query_plan.h) as a request of its own
// through the dispatcher and the policy, and reports the results to the plans. Makes no choices of its own.
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

// Callbacks by which a frontend handles the end of a two-phase query. One of them is called, once; none is
// called if the client abandons the query.
class TwoPhaseCallbacks {
 public:
  virtual ~TwoPhaseCallbacks() = default;
  virtual void on_response(const two_phase::QueryPlan& plan, bool is_complete) = 0;
  // Called if the query is rejected; a retry is harmless.
  // @param retry_after 0: no advice

  virtual void on_rejected(Time retry_after) = 0;
};

// Runs the two-phase queries in progress.
class TwoPhaseRunner {
 public:
  // @param class_count number of classes that the settings have added to the policy; the classes of rounds
  //                    are numbered after these
  TwoPhaseRunner(event_base* base, RequestPolicy& policy, InFlightRequests& requests,
                 RequestDispatcher& dispatcher, int class_count);
  ~TwoPhaseRunner();

  // Allows two-phase queries of a request class. Must be called once for each such class, after the settings'
  // own classes have been added. The class must allow retries: a plan may query a shard again.
  void add_class(int request_class, const RequestClass& definition, const two_phase::PlanOptions& terms);
  // Tightens a class, as RequestPolicy::limit_request_class() does.
  void limit_class(int request_class, const RequestClassLimits& limits);
  bool is_allowed(int request_class) const {
    return classes_.count(request_class) != 0 && dispatcher_.may_run_two_phase(request_class);
  }
  int class_count() const { return class_count_; }  // all classes of the policy, rounds included
  // Returns whether a query of the name awaits its response.
  bool contains(const std::string& name) const { return names_.count(name) != 0; }

  // Starts a query. @return a function to call if the client abandons the query
  std::function<void()> start(const std::string& name, int request_class, bool is_client_retry,
                              two_phase::Query query, std::unique_ptr<TwoPhaseCallbacks> callbacks);
  // Advances the plans that have had input. Must be called at the end of each turn.
  // @return whether any plan had input
  bool advance_plans();

 private:
  struct ClassState;
  struct RunningQuery;
  class RoundCallbacks;
  using QueryId = std::uint64_t;

  void advance(RunningQuery& running);
  void start_round(RunningQuery& running, int round);
  void finish(RunningQuery& running, const two_phase::Decision& decision);
  void stop(RunningQuery& running);
  void abandon(QueryId id);
  void enqueue(RunningQuery& running);
  void update_memory(RunningQuery& running);
  void set_wake_up(RunningQuery& running, Time wakes_at);

  RequestPolicy& policy_;
  InFlightRequests& requests_;
  RequestDispatcher& dispatcher_;
  int class_count_;  // classes of the policy, including those added here
  std::map<int, std::unique_ptr<ClassState>> classes_;
  std::map<QueryId, std::unique_ptr<RunningQuery>> running_;
  std::set<std::string> names_;
  std::deque<QueryId> queue_;  // queries whose plans have had input
  std::set<std::pair<Time, QueryId>> wake_ups_;
  Timer wake_timer_;
  QueryId last_id_ = 0;
};

}  // namespace cairnhub::dispatch
