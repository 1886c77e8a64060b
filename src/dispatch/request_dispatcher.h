// Connects the policy to the rest of the broker: reports events to the policy, and carries out the actions
// that the policy returns. Makes no choices of its own.
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
  // @param endpoint_forgotten called with each endpoint that the policy has forgotten
  // @param follow_up          called at the end of each turn to continue work that waits for ended requests;
  //                           returns whether there was any
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
    Time retry_after = 0;  // sent to clients whose requests a class limit rejects; 0: no advice
  };
  // From now on the rules of the cluster are refreshed before each decision.
  void set_cluster_control(ClusterControl& cluster, ClusterHooks hooks);
  // Counts the requests of a class, which are rounds of two-phase queries, as requests of its base class.
  void add_derived_class(int request_class, int base_class);
  int base_class(int request_class) const;  // the class itself if it isn't derived
  // Returns the present limits of the request class; without a cluster there are none.
  const RequestClassLimits& limits(int request_class);
  bool may_run_two_phase(int request_class);
  bool serves_index(const std::string& name);

  // Applies the rules of the cluster if they have changed. Does nothing without a cluster.
  void refresh_cluster_rules();
  // Calls the departure check unless it ran within the last 50 ms. Must be called before each decision and
  // each attempt.
  void check_departures();
  // Sets the function that abandons the requests whose clients have gone.
  void set_departure_check(std::function<void()> departure_check) {
    departure_check_ = std::move(departure_check);
  }
  // Sets what clients are advised whose requests are rejected for lack of memory. 0: no advice.
  void set_rejection_retry_after(Time retry_after) { rejection_retry_after_ = retry_after; }
  Time rejection_retry_after() const { return rejection_retry_after_; }
  // Reports the request to the policy and carries out the actions that follow. @return the request's id
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
  std::multimap<Time, std::uint64_t> wake_ups_;  // tokens of the policy, by due time
  Timer wake_timer_;
  RequestTrace trace_;
  ClusterControl* cluster_ = nullptr;
  ClusterHooks hooks_;
  std::map<int, int> base_classes_;    // by derived class
  RequestClassLimiter class_limiter_;  // used only with a cluster
  std::function<void()> departure_check_;
  Time departures_checked_at_ = 0;
  Time rejection_retry_after_ = 0;
  bool is_running_ = false;
  std::uint32_t arrival_count_ = 0;
};

}  // namespace cairnhub::dispatch
