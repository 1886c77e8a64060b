#include "cli/serve.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <stdexcept>

#include "backend/framed/frame_codec.h"
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

constexpr long kReadinessPollUs = 20000;

// Calls a function when a signal arrives, on the event loop rather than in the signal handler.
class SignalWatcher {
 public:
  SignalWatcher(event_base* base, int signal, std::function<void()> callback)
      : callback_(std::move(callback)) {
    event_ = evsignal_new(
        base, signal,
        [](evutil_socket_t, short, void* self) {
          guarded("signal", static_cast<SignalWatcher*>(self)->callback_);
        },
        this);
    event_add(event_, nullptr);
  }
  ~SignalWatcher() { event_free(event_); }
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  std::function<void()> callback_;
  event* event_;
};

// Gives the search frontend access to the endpoint registry.
class EndpointRegistryView : public frontend::opensearch::EndpointView {
 public:
  EndpointRegistryView(const dispatch::EndpointRegistry& endpoints, const settings::Settings& settings)
      : endpoints_(endpoints),
        ring_positions_(settings.integer("family-info.positions")),
        replicas_(settings.integer("family-info.width")) {}
  std::string endpoint_name(EndpointId id) const override { return endpoints_.name_of(id); }
  std::vector<std::string> replica_names(int shard) const override {
    std::vector<std::string> names;
    for (int i = 0; i < replicas_; ++i) {
      for (auto& name : endpoints_.ready_at((shard + i) % ring_positions_)) names.push_back(std::move(name));
    }
    return names;
  }
  int ready_count() const override { return endpoints_.ready_count(); }

 private:
  const dispatch::EndpointRegistry& endpoints_;
  int ring_positions_;
  int replicas_;  // replicas of each shard
};

// Returns the most that one host's answer may take, over HTTP or in a frame.
std::size_t max_answer_bytes(const options::Options& options) {
  const std::size_t max_http_bytes = options.search ? options.search->max_response_bytes : 0;
  return std::max(max_http_bytes, backend::framed::kMaxFrameBytes);
}

}  // namespace

int serve(const std::string& config_path, const std::string& options_path) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // A SIGHUP that arrives before the watcher is set up would end the process.
  event_config* event_options = event_config_new();
  event_config_set_flag(event_options, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(event_options);
  event_config_free(event_options);
  int status = 0;
  try {
    if (config_path.empty()) throw std::runtime_error("RELAY_CONFIG is not set");
    const Config config = read_config(config_path);
    server::BrokerOptions broker_options;
    std::unique_ptr<cluster::ClusterNode> cluster_node;
    std::unique_ptr<cluster::AdminApi> admin_api;
    std::vector<frontend::opensearch::IndexDefinition> indices;
    opensearch::Limits search_limits;
    if (!options_path.empty()) {
      const auto options = options::read(options_path);
      for (const auto& two_phase_class : options::resolve_two_phase_classes(options, config.settings)) {
        broker_options.two_phase_classes.push_back(
            {two_phase_class.class_index, two_phase_class.properties, two_phase_class.terms});
      }
      for (const auto& resolved : options::resolve_search_indices(options, config.settings)) {
        indices.push_back({resolved.index.name, resolved.index.first_shard, resolved.index.shard_count,
                           resolved.class_index, resolved.index.timeout, max_answer_bytes(options)});
      }
      options::check_cluster(options, config.settings);
      if (options.cluster) {
        cluster_node =
            std::make_unique<cluster::ClusterNode>(base, *options.cluster, config.settings, config.seed);
        if (!options.cluster->admin_address.empty()) {
          admin_api = std::make_unique<cluster::AdminApi>(base, *cluster_node);
        }
        broker_options.cluster_control = cluster_node.get();
      }
      if (options.search) {
        broker_options.search_flavor = options.search->flavor;
        broker_options.max_search_body_bytes = options.search->max_response_bytes;
        search_limits.max_window = options.search->max_window;
        search_limits.max_items = options.search->max_items;
      }
    }
    if (cluster_node) {
      cluster_node->start();
      // The broker listens for clients only once the node has an active configuration, or the configured wait
      // for one is over.
      bool is_stopped = false;
      const SignalWatcher stop(base, SIGTERM, [&] { is_stopped = true; });
      while (!is_stopped && !cluster_node->is_ready()) {
        const timeval poll_interval{0, kReadinessPollUs};
        event_base_loopexit(base, &poll_interval);
        event_base_dispatch(base);
      }
      if (is_stopped) {
        cluster_node->leave();
        cluster_node->announce_departure();
        cluster_node.reset();
        event_base_free(base);
        return 0;
      }
    }
    Broker broker(base, config, broker_options);
    frontend::two_phase::TwoPhaseFrontend two_phase_front(broker.request_parser(), broker.two_phase_runner());
    if (!broker_options.two_phase_classes.empty()) broker.add_frontend(two_phase_front);
    const EndpointRegistryView endpoint_view(broker.endpoints(), config.settings);
    frontend::opensearch::OpenSearchFrontend search_front(
        base, indices, search_limits, broker.in_flight_requests(), broker.dispatcher(), endpoint_view);
    if (!indices.empty()) broker.add_frontend(search_front);
    const auto shut_down = [&] {
      log("stop", "shutting down: finishing the requests in flight");
      if (cluster_node) cluster_node->leave();
      broker.shut_down([base, &cluster_node] {
        if (cluster_node) cluster_node->announce_departure();
        event_base_loopexit(base, nullptr);
      });
    };
    const SignalWatcher stop(base, SIGTERM, shut_down);
    if (cluster_node) {
      cluster_node->set_process_hooks(
          {[&broker] { broker.dispatcher().run_actions(); }, [&broker] { broker.refresh_endpoint_list(); },
           [&broker](const std::string& endpoint) { return broker.drain_endpoint(endpoint); },
           [&broker] { broker.set_not_ready(); }, shut_down});
    }
    // A configuration file that is missing, incomplete or invalid changes nothing.
    const SignalWatcher reload(base, SIGHUP, [&] {
      if (cluster_node) cluster_node->reload_keys();
      try {
        broker.apply_config(read_config(config_path));
      } catch (const std::exception& e) {
        log("config", "%s not reloaded, the previous configuration stays in effect: %s", config_path.c_str(),
            e.what());
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
