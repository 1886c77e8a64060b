// The broker as a library: give it an event loop and a configuration; it serves until shut down.
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
class InFlightRequests;
class EndpointRegistry;
class TwoPhaseRunner;
class RequestDispatcher;
}  // namespace cairnhub::dispatch

namespace cairnhub::frontend {
class Front;
}  // namespace cairnhub::frontend

namespace cairnhub::frontend::platform {
class Admit;
}  // namespace cairnhub::frontend::platform

namespace cairnhub::server {

// An op type whose multigets may have two phases, with the operators' terms.
struct TwoPhaseClass {
  int request_class;
  RequestClass definition;
  two_phase::Terms terms;
};

// What operators' options add to the platform's settings.
struct BrokerOptions {
  std::vector<TwoPhaseClass> two_phase_classes;
  std::string search_flavor;                    // nodes of this flavor speak the search API; empty: none
  std::size_t max_search_body_bytes = 1 << 20;  // bytes of one of their answers
  dispatch::ClusterControl* cluster_control =
      nullptr;  // what is held in common with other brokers; it outlives this one
};

class Broker {
 public:
  // Throws std::exception with one plain line where the configuration won't do.
  Broker(event_base* base, const dispatch::Config& config, const BrokerOptions& extras = {});
  ~Broker();
  // For fronts of further forms; one that is added must outlive the loop.
  frontend::platform::Admit& request_parser();
  dispatch::TwoPhaseRunner& two_phase_runner();
  dispatch::InFlightRequests& in_flight_requests();
  dispatch::RequestDispatcher& dispatcher();
  const dispatch::EndpointRegistry& endpoints() const;
  void add_frontend(frontend::Front& front);
  void refresh_endpoint_list();  // for the whole list, at once
  // How many sends are out at a node that takes nothing new; where there are none, its connections are
  // closed.
  int drain_endpoint(const std::string& node);
  void set_not_ready();  // whoever asks for its health is told to go elsewhere
  // Takes over what may change under way; logs what takes a restart.
  void apply_config(const dispatch::Config& config);
  // Goes on for as long as clients may still come, finishes what it has taken, then calls `done`. Once.
  void shut_down(std::function<void()> done);

 private:
  struct Stages;
  std::unique_ptr<Stages> stages_;
};

}  // namespace cairnhub::server
