// The broker as a library: takes an event loop and a configuration, and serves until it is shut down.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/cluster_control.h"
#include "dispatch/config.h"
#include "two_phase/query_plan.h"

struct event_base;

namespace cairnhub::dispatch {
class EndpointRegistry;
class InFlightRequests;
class RequestDispatcher;
class TwoPhaseRunner;
}  // namespace cairnhub::dispatch

namespace cairnhub::frontend {
class Frontend;
}  // namespace cairnhub::frontend

namespace cairnhub::frontend::platform {
class RequestParser;
}  // namespace cairnhub::frontend::platform

namespace cairnhub::server {

// A request class that allows two-phase queries, with the operator's terms for them.
struct TwoPhaseClass {
  int request_class;
  RequestClass definition;
  two_phase::PlanOptions terms;
};

// Options that the operator states in addition to the platform's settings.
struct BrokerOptions {
  std::vector<TwoPhaseClass> two_phase_classes;
  std::string search_flavor;  // endpoints of this flavor speak the search API; empty: none do
  std::size_t max_search_body_bytes = 1 << 20;  // limit of one response of these endpoints
  // Null: the broker runs alone. Must outlive the broker.
  dispatch::ClusterControl* cluster_control = nullptr;
};

// A broker, from the clients' listener to the connections to endpoints.
class Broker {
 public:
  // @throws std::exception with a message of one line, if the configuration is invalid
  Broker(event_base* base, const dispatch::Config& config, const BrokerOptions& options = {});
  ~Broker();

  // Return the components that further frontends need. A frontend that is added must outlive the event loop.
  frontend::platform::RequestParser& request_parser();
  dispatch::TwoPhaseRunner& two_phase_runner();
  dispatch::InFlightRequests& in_flight_requests();
  dispatch::RequestDispatcher& dispatcher();
  const dispatch::EndpointRegistry& endpoints() const;
  void add_frontend(frontend::Frontend& frontend);

  // Requests the complete endpoint list at once.
  void refresh_endpoint_list();
  // Closes the connections to an endpoint that gets no new attempts, once no attempts are in flight to it.
  // The caller repeats the call until it returns 0.
  // @return number of attempts still in flight to the endpoint
  int drain_endpoint(const std::string& name);
  // Makes health checks fail from now on, so that clients use other brokers.
  void set_not_ready();
  // Applies the settings that may change while the broker runs, and logs the changes that need a restart.
  void apply_config(const dispatch::Config& config);
  // Serves for as long as clients may still connect, finishes the requests in flight, and then calls `done`,
  // once.
  void shut_down(std::function<void()> done);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace cairnhub::server
