#include "server/broker.h"

#include <event2/event.h>

#include <algorithm>
#include <unordered_map>

#include "backend/framed/framed_client.h"
#include "backend/opensearch/search_client.h"
#include "base/clock.h"
#include "dispatch/discovery_watch.h"
#include "dispatch/two_phase_runner.h"
#include "frontend/http/http_server.h"
#include "frontend/platform/request_parser.h"

namespace cairnhub::server {

namespace {

// Clients may still connect for this long after a shutdown is requested.
constexpr Time kShutdownGracePeriod = 450 * kSecond / 1000;
constexpr Time kShutdownPollInterval = 5 * kSecond / 1000;
// A flood of new connections keeps the listener open for at most this many turns of the event loop.
constexpr int kMaxBacklogTurns = 50;
// An idle connection to an endpoint is closed after this share of the time after which the endpoint would
// close it.
constexpr double kIdleTimeShare = 0.75;
// Descriptors reserved for the event loop, the log, the discovery watch and the listener, with some to spare.
constexpr std::size_t kReservedDescriptors = 24;
// Divides the other descriptors; the quotient is the number for connections to endpoints.
constexpr std::size_t kEndpointDescriptorDivisor = 4;
// Divides all descriptors; idle clients may hold the quotient.
constexpr std::size_t kIdleClientDivisor = 8;
// Limits the text of a discovery answer. A fraction of the memory limits it too, because the parsed answer
// takes several times as much memory as the text.
constexpr std::size_t kMaxListBytes = std::size_t{4} << 20;
constexpr std::size_t kListMemoryDivisor = 32;
// Divides the memory limit; a list may have as many JSON values. A value takes up to a hundred bytes once it
// is parsed, and a list a quarter of the memory.
constexpr std::size_t kListValueDivisor = 400;

backend::FramedClientLimits framed_client_limits(const dispatch::Config& config) {
  const auto& settings = config.settings;
  const Time idle_time =
      static_cast<Time>(kIdleTimeShare * static_cast<double>(settings.duration("ceilings.keepalive", 10)));
  return {std::max(1, settings.integer("ceilings.multiplex", 1)),
          std::max(1, settings.integer("family-info.parts-a-call", 1)),
          settings.duration("ceilings.connect-timeout", 1), idle_time,
          (config.max_descriptors - kReservedDescriptors) / kEndpointDescriptorDivisor};
}

backend::SearchClientLimits search_client_limits(const dispatch::Config& config,
                                                 const BrokerOptions& options) {
  const backend::FramedClientLimits limits = framed_client_limits(config);
  return {static_cast<std::size_t>(limits.max_batches_per_connection), limits.max_connections,
          options.max_search_body_bytes, limits.idle_timeout};
}

// If the list must be subscribed to, one service answers all brokers, and each request adds to its load.
dispatch::DiscoveryWatchTiming watch_timing(const settings::Settings& settings) {
  return settings.text("registry-mode", "automatic") == "subscribe"
             ? dispatch::DiscoveryWatchTiming::polled()
             : dispatch::DiscoveryWatchTiming::pushed();
}

// Returns the descriptor from which on no further client connection is accepted.
int accept_limit(const dispatch::Config& config) {
  return static_cast<int>(config.max_descriptors - kReservedDescriptors / 2 -
                          (config.max_descriptors - kReservedDescriptors) / kEndpointDescriptorDivisor);
}

}  // namespace

struct Broker::Parts {
  const int class_count;  // request classes in the settings
  const std::shared_ptr<dispatch::ClientMemory> memory;
  RequestPolicy policy;
  dispatch::InFlightRequests requests;
  backend::FramedClient framed_client;
  backend::SearchClient search_client;
  backend::MultiProtocolBackend backends;
  dispatch::RequestDispatcher dispatcher;
  dispatch::TwoPhaseRunner two_phase_runner;
  dispatch::EndpointRegistry registry;
  frontend::platform::RequestParser request_parser;
  dispatch::DiscoveryWatch watch;
  frontend::HttpServer http_server;
  dispatch::Config config;  // the configuration in force
  std::function<void()> done;
  Timer shutdown_timer;
  bool has_stopped_accepting = false;
  int backlog_turns = 0;  // turns of the event loop for which the listener was kept open
  dispatch::ClusterControl* cluster = nullptr;
  // Attempts in flight by endpoint, counted only with a cluster; must not be iterated over.
  std::unordered_map<EndpointId, int> attempts_in_flight;

  Parts(event_base* base, const dispatch::Config& initial, const BrokerOptions& options)
      : class_count(static_cast<int>(settings::request_classes(initial.settings).size())),
        memory(std::make_shared<dispatch::ClientMemory>(initial.memory_bytes)),
        policy(initial.seed),
        requests(policy, memory),
        framed_client(
            base, framed_client_limits(initial), memory,
            [this](dispatch::Attempt& attempt, const dispatch::AttemptResult& result) {
              record_attempt_end(attempt, result);
            },
            [this] { dispatcher.run_actions(); }),
        search_client(
            base, search_client_limits(initial, options), memory,
            [this](dispatch::Attempt& attempt, const dispatch::AttemptResult& result) {
              record_attempt_end(attempt, result);
            },
            [this] { dispatcher.run_actions(); }),
        backends(framed_client, search_client),
        dispatcher(
            base, policy, requests, backends,
            [this](EndpointId id) {
              registry.forget(id);
              backends.forget_endpoint(id);
            },
            [this] { return two_phase_runner.advance_plans(); },
            [this](EndpointId id) { return registry.name_of(id); }),
        two_phase_runner(base, policy, requests, dispatcher, class_count),
        registry(policy,
                 [this](EndpointId id, const dispatch::EndpointRegistry::Entry& entry) {
                   backends.set_endpoint_flavor(id, entry.flavor);
                   backends.update_endpoint(id, entry.id, entry.address, entry.state);
                 }),
        request_parser(initial.settings, requests, dispatcher),
        watch(base, initial.discovery_address, watch_timing(initial.settings), initial.seed,
              std::min(kMaxListBytes, initial.memory_bytes / kListMemoryDivisor), registry,
              [this](bool is_updated) {
                if (!is_updated) policy.list_failed(now());
                if (registry.ready_count() > 0) http_server.set_can_serve();
                dispatcher.run_actions();
              }),
        http_server(base, initial.listen_address, accept_limit(initial),
                    initial.max_descriptors / kIdleClientDivisor, request_parser, dispatcher, memory),
        config(initial),
        shutdown_timer(base, [this] { continue_shutdown(); }) {
    settings::apply(initial.settings, policy);
    registry.limit_values(initial.memory_bytes / kListValueDivisor);
    const Time retry_after = initial.settings.flag("ceilings.retry-after", false)
                                 ? initial.settings.duration("ceilings.max-retry-after", 0)
                                 : 0;
    dispatcher.set_rejection_retry_after(retry_after);
    dispatcher.set_departure_check([this] { http_server.abandon_departed(); });
    backends.set_before_write([this] {
      dispatcher.refresh_cluster_rules();
      dispatcher.check_departures();
    });
    if (options.cluster_control) {
      cluster = options.cluster_control;
      registry.set_cluster_control(*options.cluster_control);
      backends.set_byte_counter([this](const dispatch::TransferredBytes& bytes) { record_bytes(bytes); });
      dispatcher.set_cluster_control(
          *options.cluster_control,
          {[this] {
             const auto& settings = config.settings;
             policy.set_attempts(std::min(settings.integer("ceilings.try-limit", 1), cluster->max_attempts()),
                                 settings.flag("ceilings.second-copies", false) && cluster->may_hedge(),
                                 settings.flag("ceilings.cancel", false));
             for (int i = 0; i < class_count; ++i) {
               const dispatch::RequestClassLimits& limits = cluster->limits(i);
               policy.limit_request_class(i, limits.max_latency_objective, limits.min_answer_share);
               two_phase_runner.limit_class(i, limits);
             }
             apply_region_rules();
             policy.set_zone_limits(cluster->zones(), cluster->zone_step(), cluster->exploration_share());
             registry.update_withheld();
           },
           [this] { apply_zone_budgets(); },
           [this](dispatch::Attempt& attempt) {
             attempt.account = {dispatcher.base_class(attempt.shard_request->request->request_class),
                                registry.zone_of(attempt.endpoint), false};
             ++attempts_in_flight[attempt.endpoint];
             attempt.account.is_over_budget =
                 cluster->record_attempt(attempt.account.zone, attempt.account.request_class);
             apply_zone_budgets();
           },
           retry_after});
    }
    backends.set_search_flavor(options.search_flavor);
    for (const auto& two_phase : options.two_phase_classes) {
      two_phase_runner.add_class(two_phase.request_class, two_phase.definition, two_phase.terms);
    }
    if (cluster) apply_region_rules();
    policy.start();
    if (!initial.known_endpoints.empty()) {
      if (const char* fault = registry.apply_list(initial.known_endpoints)) {
        log("discovery", "the endpoint list in the configuration is not used: %s", fault);
      }
    }
    if (registry.ready_count() > 0) http_server.set_can_serve();
    dispatcher.run_actions();
    watch.request_list();
  }

  void record_attempt_end(dispatch::Attempt& attempt, const dispatch::AttemptResult& result) {
    // Copied, because a request is destroyed with its last attempt, and the attempt with the request.
    const EndpointId endpoint = attempt.endpoint;
    const Time latency = now() - attempt.sent_at;
    const dispatch::TrafficAccount account = attempt.account;
    const AttemptOutcome outcome = requests.record_attempt_end(attempt, result);
    if (!cluster) return;
    if (const auto it = attempts_in_flight.find(endpoint);
        it != attempts_in_flight.end() && --it->second == 0) {
      attempts_in_flight.erase(it);
    }
    cluster->record_attempt_end(account, endpoint, outcome, latency);
  }
  void record_bytes(dispatch::TransferredBytes bytes) {
    if (bytes.account.zone < 0) bytes.account.zone = registry.zone_of(bytes.endpoint);
    cluster->record_bytes(bytes);
  }
  // Calls `apply` with each request class, the classes of two-phase rounds included, and its base class.
  void for_each_class(const std::function<void(int, int)>& apply) {
    for (int i = 0; i < two_phase_runner.class_count(); ++i) apply(i, dispatcher.base_class(i));
  }
  void apply_region_rules() {
    for_each_class([this](int request_class, int base_class) {
      policy.keep_in_region(request_class, cluster->stays_in_region(base_class));
    });
  }
  void apply_zone_budgets() {
    if (!cluster->has_byte_budgets()) return;
    for_each_class([this](int request_class, int base_class) {
      policy.keep_in_zone(request_class, cluster->stays_in_zone(base_class));
    });
  }

  // Stops accepting only once the backlog is empty: closing the listener would reset the connections that the
  // kernel has completed and the broker has not accepted.
  void continue_shutdown() {
    if (!has_stopped_accepting && http_server.has_backlog() && backlog_turns++ < kMaxBacklogTurns) {
      http_server.make_room();
      return shutdown_timer.start(0);
    }
    if (!std::exchange(has_stopped_accepting, true)) http_server.stop_accepting();
    if (requests.count() > 0 || !http_server.is_idle()) return shutdown_timer.start(kShutdownPollInterval);
    done();
  }
};

Broker::Broker(event_base* base, const dispatch::Config& config, const BrokerOptions& options)
    : parts_(std::make_unique<Parts>(base, config, options)) {}
Broker::~Broker() = default;

frontend::platform::RequestParser& Broker::request_parser() { return parts_->request_parser; }

dispatch::TwoPhaseRunner& Broker::two_phase_runner() { return parts_->two_phase_runner; }

dispatch::InFlightRequests& Broker::in_flight_requests() { return parts_->requests; }

dispatch::RequestDispatcher& Broker::dispatcher() { return parts_->dispatcher; }

const dispatch::EndpointRegistry& Broker::endpoints() const { return parts_->registry; }

void Broker::add_frontend(frontend::Frontend& frontend) { parts_->http_server.add_frontend(frontend); }

void Broker::refresh_endpoint_list() { parts_->watch.refresh(); }

int Broker::drain_endpoint(const std::string& name) {
  const EndpointId id = parts_->registry.id_of(name);
  if (id == 0) return 0;
  const auto it = parts_->attempts_in_flight.find(id);
  if (it != parts_->attempts_in_flight.end()) return it->second;
  parts_->backends.close_idle_connections(id);
  return 0;
}

void Broker::set_not_ready() { parts_->http_server.set_not_ready(); }

void Broker::apply_config(const dispatch::Config& config) {
  dispatch::Config& current = parts_->config;
  if (config.listen_address != current.listen_address) {
    log("config", "listen: changed from %s to %s, takes effect after a restart",
        current.listen_address.c_str(), config.listen_address.c_str());
  }
  if (config.memory_bytes != current.memory_bytes || config.max_descriptors != current.max_descriptors) {
    log("config", "limits: changed, take effect after a restart");
  }
  if (!(config.settings == current.settings)) log("config", "settings: changed, take effect after a restart");
  log("config", "reloaded; discovery %s %s",
      config.discovery_address == current.discovery_address ? "stays at" : "is now at",
      config.discovery_address.c_str());
  if (config.discovery_address != current.discovery_address) {
    current.discovery_address = config.discovery_address;
    parts_->watch.set_address(current.discovery_address);
  }
}

void Broker::shut_down(std::function<void()> done) {
  if (parts_->done) return;
  parts_->done = std::move(done);
  parts_->http_server.close_after_responses();
  parts_->shutdown_timer.start(kShutdownGracePeriod);
}

}  // namespace cairnhub::server
