#include "cli/serve.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <stdexcept>

#include "base/log.h"
#include "cluster/admin_api.h"
#include "cluster/cluster_node.h"
#include "dispatch/endpoint_registry.h"
#include "frontend/opensearch/opensearch_frontend.h"
#include "frontend/two_phase/two_phase_frontend.h"
#include "options/options.h"
#include "server/broker.h"

namespace cairnhub::cli {

using dispatch::Config;
using dispatch::read_config;
using server::Broker;

namespace {

// What a signal does, on the loop and not where it strikes.
class OnSignal {
 public:
  OnSignal(event_base* base, int signal, std::function<void()> what) : what_(std::move(what)) {
    event_ = evsignal_new(
        base, signal,
        [](evutil_socket_t, short, void* self) { guarded("signal", static_cast<OnSignal*>(self)->what_); },
        this);
    event_add(event_, nullptr);
  }
  ~OnSignal() { event_free(event_); }
  OnSignal(const OnSignal&) = delete;
  OnSignal& operator=(const OnSignal&) = delete;

 private:
  std::function<void()> what_;
  event* event_;
};

// What the search front tells of nodes, from the list.
class Around : public frontend::opensearch::Surroundings {
 public:
  Around(const dispatch::EndpointRegistry& members, const settings::Settings& s)
      : members_(members), cells_(s.whole("family-info.positions")), width_(s.whole("family-info.width")) {}
  std::string node_name(EndpointId id) const override { return members_.name_of(id); }
  std::vector<std::string> holders(int block) const override {
    std::vector<std::string> all;
    for (int j = 0; j < width_; ++j)
      for (auto& name : members_.ready_at((block + j) % cells_)) all.push_back(std::move(name));
    return all;
  }
  int nodes() const override { return members_.ready_count(); }

 private:
  const dispatch::EndpointRegistry& members_;
  int cells_, width_;
};

}  // namespace

int serve(const std::string& path, const std::string& options) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // Danger: one that comes before the loop is ready would end the program.
  event_config* how = event_config_new();
  event_config_set_flag(how, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(how);
  event_config_free(how);
  int status = 0;
  try {
    if (path.empty()) throw std::runtime_error("RELAY_CONFIG is not set");
    const Config config = read_config(path);
    server::BrokerOptions extras;
    std::unique_ptr<cluster::Fleet> fleet;
    std::unique_ptr<cluster::Operators> operators;
    std::vector<frontend::opensearch::Index> indices;
    opensearch::Limits limits;
    if (!options.empty()) {
      const auto stated = options::read(options);
      for (const auto& p : options::resolve(stated, config.settings))
        extras.two_phase_classes.push_back({p.op_type, p.op, p.terms});
      for (const auto& x : options::resolve_indices(stated, config.settings))
        indices.push_back({x.index.name, x.index.first, x.index.blocks, x.op_type, x.index.timeout});
      options::check_fleet(stated, config.settings);
      if (stated.fleet) {
        fleet = std::make_unique<cluster::Fleet>(base, *stated.fleet, config.settings, config.seed);
        if (!stated.fleet->operators.empty()) operators = std::make_unique<cluster::Operators>(base, *fleet);
        extras.cluster_control = fleet.get();
      }
      if (stated.search) {
        extras.search_flavor = stated.search->flavor,
        extras.max_search_body_bytes = stated.search->answer_most;
        limits.window_most = stated.search->window_most, limits.items_most = stated.search->items_most;
      }
    }
    if (fleet) {
      fleet->start();
      // The door opens once it is known what may be acted on, or the wait stated is over.
      bool stopped = false;
      const OnSignal stop(base, SIGTERM, [&] { stopped = true; });
      while (!stopped && !fleet->ready()) {
        const timeval tick{0, 20000};
        event_base_loopexit(base, &tick);
        event_base_dispatch(base);
      }
      if (stopped) {
        fleet->leave();
        fleet->gone();
        fleet.reset();
        event_base_free(base);
        return 0;
      }
    }
    Broker broker(base, config, extras);
    frontend::two_phase::Front two_phase_front(broker.request_parser(), broker.two_phase_runner());
    if (!extras.two_phase_classes.empty()) broker.add_frontend(two_phase_front);
    const Around around(broker.endpoints(), config.settings);
    frontend::opensearch::Front search_front(indices, limits, broker.in_flight_requests(),
                                             broker.dispatcher(), around);
    if (!indices.empty()) broker.add_frontend(search_front);
    const auto leave = [&] {
      log("stop", "finishing what is in hand");
      if (fleet) fleet->leave();
      broker.shut_down([base, &fleet] {
        if (fleet) fleet->gone();
        event_base_loopexit(base, nullptr);
      });
    };
    const OnSignal stop(base, SIGTERM, leave);
    if (fleet)
      fleet->attach({[&broker] { broker.dispatcher().run_actions(); },
                     [&broker] { broker.refresh_endpoint_list(); },
                     [&broker](const std::string& node) { return broker.drain_endpoint(node); },
                     [&broker] { broker.set_not_ready(); }, leave});
    // Danger: a file that is missing, half written or wrong. Nothing of it is taken.
    const OnSignal reload(base, SIGHUP, [&] {
      if (fleet) fleet->change_keys();
      try {
        broker.apply_config(read_config(path));
      } catch (const std::exception& e) {
        log("config", "the old one stays in force: %s", e.what());
      }
    });
    event_base_dispatch(base);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cairnhub: %s\n", e.what());
    status = 1;
  }
  event_base_free(base);
  return status;
}

}  // namespace cairnhub::cli
