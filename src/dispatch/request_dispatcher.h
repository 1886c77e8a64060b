// The routing stage: tells the policy what happens and carries out what it decides. Chooses nothing.
#pragma once
#include <map>

#include "base/timer.h"
#include "dispatch/cluster_control.h"
#include "dispatch/in_flight_requests.h"
#include "dispatch/request_trace.h"
#include "policy/request_class_limiter.h"

namespace cairnhub::dispatch {

class RequestDispatcher {
 public:
  // `forget` is told the nodes that the policy has forgotten; `follow_up` is asked at the end of each turn
  // for what follows from multigets that have ended: false where there was nothing; `names` gives the names
  // of nodes for the trace of multigets.
  RequestDispatcher(event_base* base, RequestPolicy& policy, InFlightRequests& book, Backend& hosts,
                    std::function<void(EndpointId)> forget, std::function<bool()> follow_up,
                    RequestTrace::EndpointNames names = {});

  // What is held in common with other brokers is asked before anything is done; `apply` follows its changes,
  // `refresh` what may change with each send and each byte. `sent` marks each send. `come_back`: advice to
  // clients whom it turns away; 0: none.
  struct ClusterHooks {
    std::function<void()> apply_rules, refresh_budgets;
    std::function<void(Attempt&)> record_attempt;
    Time retry_after = 0;
  };
  void set_cluster_control(ClusterControl& common, ClusterHooks held);
  void add_derived_class(int op_type, int from);  // rounds of a plan count as the op type they come from
  int base_class(int op_type) const;
  // Ahead of all else that a multiget's op type allows: its limits now.
  const RequestClassLimits& limits(int op_type);
  bool may_run_two_phase(int op_type);
  bool serves_index(const std::string& name);

  void refresh_cluster_rules();  // at what is in common
  // Before anything is decided or begun `departures` is called, unless it was within the last 50 ms: it
  // abandons the multigets whose clients have gone.
  void check_departures();
  void set_departure_check(std::function<void()> departures) { departures_ = std::move(departures); }
  RequestId start_request(std::unique_ptr<Request> query);
  void abandon_request(RequestId query);
  void run_actions();  // pulls decisions until none is left

 private:
  void wake_due();
  void carry_out(const PolicyAction& d);
  void send(const PolicyAction& d);
  void end(Request& query);

  RequestPolicy& policy_;
  InFlightRequests& book_;
  Backend& hosts_;
  std::function<void(EndpointId)> forget_;
  std::function<bool()> follow_up_;
  std::multimap<Time, std::uint64_t> wakes_;
  Timer wake_;
  RequestTrace trace_;
  ClusterControl* common_ = nullptr;
  ClusterHooks with_;
  std::map<int, int> derived_;
  RequestClassLimiter class_limiter_;  // asked where something is in common
  std::function<void()> departures_;
  Time clients_seen_ = 0;
  bool turning_ = false;
  std::uint32_t arrivals_ = 0;
};

}  // namespace cairnhub::dispatch
