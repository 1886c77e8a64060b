// Connects the policy to the rest of the broker: reports to it what happens, and carries out the actions that
// it returns. Makes no choices of its own.
#pragma once
#include <map>

#include "base/timer.h"
#include "dispatch/cluster_control.h"
#include "dispatch/in_flight_requests.h"
#include "dispatch/request_trace.h"
#include "policy/request_class_limiter.h"

namespace cairnhub::dispatch {

// Carries requests from their arrival to their end.
class RequestDispatcher {
 public:
  // @param endpoint_forgotten told of each endpoint that the policy has forgotten
  // @param follow_up          called at the end of each turn to carry on what waits for ended requests;
  //                           returns whether there was anything
  // @param endpoint_names     names of endpoints for the request trace
  RequestDispatcher(event_base* base, RequestPolicy& policy, InFlightRequests& requests, Backend& backend,
                    std::function<void(EndpointId)> endpoint_forgotten, std::function<bool()> follow_up,
                    RequestTrace::EndpointNames endpoint_names = {});

  // Callbacks of the owner, which applies the rules of the cluster.
  struct ClusterHooks {
    std::function<void()> apply_rules;  // called when the rules of the cluster have changed
    // Called whenever the rules are refreshed, since budgets change with each attempt and each byte.
    std::function<void()> refresh_budgets;
    std::function<void(Attempt&)> record_attempt;  // called before an attempt is sent
    Time retry_after = 0;  // told to clients whose requests a class limit rejects; 0: no advice
  };
  // From now on the rules of the cluster are refreshed before anything is decided.
  void set_cluster_control(ClusterControl& cluster, ClusterHooks hooks);
  // Counts requests of a class as requests of its base class: the rounds of a two-phase query.
  void add_derived_class(int request_class, int base_class);
  int base_class(int request_class) const;  // the class itself where it isn't derived
  // The limits of the request class at present; none apply where there is no cluster.
  const RequestClassLimits& limits(int request_class);
  bool may_run_two_phase(int request_class);
  bool serves_index(const std::string& name);

  // Applies the rules of the cluster where they have changed. Does nothing where there is no cluster.
  void refresh_cluster_rules();
  // Calls the departure check unless it ran within the last 50 ms. Call it before anything is decided or
  // sent.
  void check_departures();
  // Sets the function that abandons the requests whose clients have gone.
  void set_departure_check(std::function<void()> departure_check) {
    departure_check_ = std::move(departure_check);
  }
  // Reports the request to the policy and carries out what follows. @return its id
  RequestId start_request(std::unique_ptr<Request> request);
  void abandon_request(RequestId id);  // its client has gone
  // Carries out the policy's actions until there are none left.
  void run_actions();

 private:
  void run_due_wake_ups();
  void carry_out(const PolicyAction& action);
  void send_attempt(const PolicyAction& action);
  void end_request(Request& request);

  RequestPolicy& policy_;
  InFlightRequests& requests_;
  Backend& backend_;
  std::function<void(EndpointId)> endpoint_forgotten_;
  std::function<bool()> follow_up_;
  std::multimap<Time, std::uint64_t> wake_ups_;  // tokens of the policy by the time when they are due
  Timer wake_timer_;
  RequestTrace trace_;
  ClusterControl* cluster_ = nullptr;
  ClusterHooks hooks_;
  std::map<int, int> base_classes_;    // by derived class
  RequestClassLimiter class_limiter_;  // used where there is a cluster
  std::function<void()> departure_check_;
  Time departures_checked_at_ = 0;
  bool is_running_ = false;
  std::uint32_t arrival_count_ = 0;
};

}  // namespace cairnhub::dispatch
