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

// For so long after a stop is asked for, clients may still come.
constexpr Time kStillComing = 450 * kSecond / 1000;
constexpr Time kLookAgain = 5 * kSecond / 1000;
// A flood of new connections keeps the listener open for so many turns of the loop at most.
constexpr int kBacklogTurns = 50;
// An idle connection to a node is let go after this share of the time after which the node would.
constexpr double kIdleShare = 0.75;
// Of the descriptors, for the loop, the log, the watch and the listener, with some to spare; of the rest a
// quarter is for nodes. Of all an eighth may be held by idle clients.
constexpr std::size_t kOwnDescriptors = 24, kNodeShare = 4, kIdleClients = 8;
// Of the memory, what requests that aren't whole yet may take.
constexpr std::size_t kUnfinishedShare = 8;

backend::SendLimits send_limits(const dispatch::Config& c) {
  const auto& s = c.settings;
  const Time idle = static_cast<Time>(kIdleShare * static_cast<double>(s.span("ceilings.keepalive", 10)));
  return {std::max(1, s.whole("ceilings.multiplex", 1)), std::max(1, s.whole("family-info.parts-a-call", 1)),
          s.span("ceilings.connect-timeout", 1), idle, (c.max_descriptors - kOwnDescriptors) / kNodeShare};
}
backend::SearchLimits search_limits(const dispatch::Config& c, const BrokerOptions& extras) {
  const backend::SendLimits frames = send_limits(c);
  return {static_cast<std::size_t>(frames.calls_a_connection), frames.connections,
          extras.max_search_body_bytes, frames.idle_at_most};
}
// Of the memory, what an answer of discovery may take as text; read, it takes several times that.
constexpr std::size_t kLargestList = std::size_t{4} << 20, kListShare = 32;
// Where the list must be subscribed to, each call loads a service that all brokers share.
dispatch::DiscoveryWatchTiming watch_timing(const settings::Settings& s) {
  return s.text("registry-mode", "automatic") == "subscribe" ? dispatch::DiscoveryWatchTiming::polled()
                                                             : dispatch::DiscoveryWatchTiming::pushed();
}
int pause_at(const dispatch::Config& c) {
  return static_cast<int>(c.max_descriptors - kOwnDescriptors / 2 -
                          (c.max_descriptors - kOwnDescriptors) / kNodeShare);
}

}  // namespace

struct Broker::Stages {
  const int op_types;  // of the settings
  RequestPolicy policy;
  dispatch::InFlightRequests book;
  backend::Sender sender;
  backend::Searcher searcher;
  backend::MixedHosts hosts;
  dispatch::RequestDispatcher route;
  dispatch::TwoPhaseRunner phased;
  dispatch::EndpointRegistry members;
  frontend::platform::Admit admit;
  dispatch::DiscoveryWatch watch;
  frontend::TakeIn take_in;
  dispatch::Config in_force;
  std::function<void()> done;
  Timer closing;
  bool door_closed = false;
  int backlog_turns = 0;  // that the listener was kept open for
  dispatch::ClusterControl* common = nullptr;
  std::unordered_map<EndpointId, int> out;  // sends, where something is in common; looked up, never walked

  Stages(event_base* base, const dispatch::Config& c, const BrokerOptions& extras)
      : op_types(static_cast<int>(settings::op_types(c.settings).size())),
        policy(c.seed),
        book(policy, c.memory_bytes),
        sender(
            base, send_limits(c),
            [this](dispatch::Attempt& e, const dispatch::AttemptResult& r) { ended(e, r); },
            [this] { route.run_actions(); }),
        searcher(
            base, search_limits(c, extras),
            [this](dispatch::Attempt& e, const dispatch::AttemptResult& r) { ended(e, r); },
            [this] { route.run_actions(); }),
        hosts(sender, searcher),
        route(
            base, policy, book, hosts,
            [this](EndpointId id) {
              members.forget(id);
              hosts.forget_endpoint(id);
            },
            [this] { return phased.advance_plans(); }, [this](EndpointId id) { return members.name_of(id); }),
        phased(base, policy, book, route, op_types),
        members(policy,
                [this](EndpointId id, const dispatch::EndpointRegistry::Entry& e) {
                  hosts.flavored(id, e.flavor);
                  hosts.update_endpoint(id, e.id, e.address, e.state);
                }),
        admit(c.settings, book, route),
        watch(base, c.discovery_address, watch_timing(c.settings), c.seed,
              std::min(kLargestList, c.memory_bytes / kListShare), members,
              [this](bool told) {
                if (!told) policy.list_failed(now());
                if (members.ready_count() > 0) take_in.can_serve();
                route.run_actions();
              }),
        take_in(base, c.listen_address, pause_at(c), c.max_descriptors / kIdleClients,
                c.memory_bytes / kUnfinishedShare, admit, route),
        in_force(c),
        closing(base, [this] { close(); }) {
    settings::apply(c.settings, policy);
    route.set_departure_check([this] { take_in.tell_departures(); });
    hosts.set_before_write([this] {
      route.refresh_cluster_rules();
      route.check_departures();
    });
    if (extras.cluster_control) {
      common = extras.cluster_control;
      members.set_cluster_control(*extras.cluster_control);
      const Time come_back =
          c.settings.flag("ceilings.retry-after", false) ? c.settings.span("ceilings.max-retry-after", 0) : 0;
      hosts.set_byte_counter([this](const dispatch::TransferredBytes& c) { carried(c); });
      route.set_cluster_control(
          *extras.cluster_control,
          {[this] {
             const auto& s = in_force.settings;
             policy.set_attempts(std::min(s.whole("ceilings.try-limit", 1), common->max_attempts()),
                                 s.flag("ceilings.second-copies", false) && common->may_hedge(),
                                 s.flag("ceilings.cancel", false));
             for (int i = 0; i < op_types; ++i) {
               const dispatch::RequestClassLimits& l = common->limits(i);
               policy.limit_request_class(i, l.max_latency_objective, l.min_answer_share);
               phased.limit_class(i, l);
             }
             keep_in_regions();
             policy.limit_zones(common->zones(), common->zone_step(), common->exploration_share());
             members.update_withheld();
           },
           [this] { keep_near(); },
           [this](dispatch::Attempt& e) {
             e.account = {route.base_class(e.shard_request->request->request_class),
                          members.zone_of(e.endpoint), false};
             ++out[e.endpoint];
             e.account.is_over_budget = common->record_attempt(e.account.zone, e.account.request_class);
             keep_near();
           },
           come_back});
    }
    hosts.set_flavor(extras.search_flavor);
    for (const auto& t : extras.two_phase_classes) phased.add_class(t.request_class, t.definition, t.terms);
    if (common) keep_in_regions();
    policy.start();
    if (!c.known_endpoints.empty())
      if (const char* wrong = members.apply_list(c.known_endpoints))
        log("discovery", "the list in the configuration: %s", wrong);
    if (members.ready_count() > 0) take_in.can_serve();
    route.run_actions();
    watch.request_list();
  }

  void ended(dispatch::Attempt& e, const dispatch::AttemptResult& r) {
    // Danger: the book forgets a multiget with its last send, and the attempt with it.
    const EndpointId node = e.endpoint;
    const Time latency = now() - e.sent_at;
    const dispatch::TrafficAccount whose = e.account;
    const AttemptOutcome how = book.record_attempt_end(e, r);
    if (!common) return;
    if (const auto it = out.find(node); it != out.end() && --it->second == 0) out.erase(it);
    common->record_attempt_end(whose, node, how, latency);
  }
  void carried(dispatch::TransferredBytes c) {
    if (c.account.zone < 0) c.account.zone = members.zone_of(c.endpoint);
    common->record_bytes(c);
  }
  // Rounds of plans too, each with the op type it comes from.
  void each_op_type(const std::function<void(int, int)>& what) {
    for (int i = 0; i < phased.class_count(); ++i) what(i, route.base_class(i));
  }
  void keep_in_regions() {
    each_op_type([this](int i, int from) { policy.keep_in_region(i, common->stays_in_region(from)); });
  }
  void keep_near() {
    if (!common->has_byte_budgets()) return;
    each_op_type([this](int i, int from) { policy.keep_in_zone(i, common->stays_in_zone(from)); });
  }

  // Danger: connections that the system has completed and nobody has accepted would be reset with the
  // listener.
  void close() {
    if (!door_closed && take_in.has_backlog() && backlog_turns++ < kBacklogTurns) {
      take_in.make_room();
      return closing.start(0);
    }
    if (!std::exchange(door_closed, true)) take_in.stop_accepting();
    if (book.count() > 0 || !take_in.quiet()) return closing.start(kLookAgain);
    done();
  }
};

Broker::Broker(event_base* base, const dispatch::Config& config, const BrokerOptions& extras)
    : stages_(std::make_unique<Stages>(base, config, extras)) {}
Broker::~Broker() = default;

frontend::platform::Admit& Broker::request_parser() { return stages_->admit; }
dispatch::TwoPhaseRunner& Broker::two_phase_runner() { return stages_->phased; }
dispatch::InFlightRequests& Broker::in_flight_requests() { return stages_->book; }
dispatch::RequestDispatcher& Broker::dispatcher() { return stages_->route; }
const dispatch::EndpointRegistry& Broker::endpoints() const { return stages_->members; }
void Broker::refresh_endpoint_list() { stages_->watch.refresh(); }
int Broker::drain_endpoint(const std::string& node) {
  const EndpointId id = stages_->members.id_of(node);
  if (id == 0) return 0;
  const auto it = stages_->out.find(id);
  if (it != stages_->out.end()) return it->second;
  stages_->hosts.close_idle_connections(id);
  return 0;
}
void Broker::set_not_ready() { stages_->take_in.not_ready(); }
void Broker::add_frontend(frontend::Front& front) { stages_->take_in.add(front); }

void Broker::apply_config(const dispatch::Config& c) {
  dispatch::Config& had = stages_->in_force;
  if (c.listen_address != had.listen_address) log("config", "listen has changed; that takes a restart");
  if (c.memory_bytes != had.memory_bytes || c.max_descriptors != had.max_descriptors)
    log("config", "limits have changed; that takes a restart");
  if (!(c.settings == had.settings)) log("config", "settings have changed; that takes a restart");
  log("config", "read anew; discovery %s %s",
      c.discovery_address == had.discovery_address ? "stays at" : "is now at", c.discovery_address.c_str());
  if (c.discovery_address != had.discovery_address)
    stages_->watch.set_address(had.discovery_address = c.discovery_address);
}

void Broker::shut_down(std::function<void()> done) {
  if (stages_->done) return;
  stages_->done = std::move(done);
  stages_->take_in.last_answers();
  stages_->closing.start(kStillComing);
}

}  // namespace cairnhub::server
