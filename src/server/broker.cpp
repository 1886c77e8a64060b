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
          s.span("ceilings.connect-timeout", 1), idle, (c.descriptors - kOwnDescriptors) / kNodeShare};
}
backend::SearchLimits search_limits(const dispatch::Config& c, const Extras& extras) {
  const backend::SendLimits frames = send_limits(c);
  return {static_cast<std::size_t>(frames.calls_a_connection), frames.connections, extras.search_body_most,
          frames.idle_at_most};
}
// Of the memory, what an answer of discovery may take as text; read, it takes several times that.
constexpr std::size_t kLargestList = std::size_t{4} << 20, kListShare = 32;
// Where the list must be subscribed to, each call loads a service that all brokers share.
dispatch::WatchTiming watch_timing(const settings::Settings& s) {
  return s.text("registry-mode", "automatic") == "subscribe" ? dispatch::WatchTiming::polled()
                                                             : dispatch::WatchTiming::pushed();
}
int pause_at(const dispatch::Config& c) {
  return static_cast<int>(c.descriptors - kOwnDescriptors / 2 -
                          (c.descriptors - kOwnDescriptors) / kNodeShare);
}

}  // namespace

struct Broker::Stages {
  const int op_types;  // of the settings
  RequestPolicy policy;
  dispatch::Book book;
  backend::Sender sender;
  backend::Searcher searcher;
  backend::MixedHosts hosts;
  dispatch::Route route;
  dispatch::Phased phased;
  dispatch::Members members;
  frontend::platform::Admit admit;
  dispatch::Watch watch;
  frontend::TakeIn take_in;
  dispatch::Config in_force;
  std::function<void()> done;
  Timer closing;
  bool door_closed = false;
  int backlog_turns = 0;  // that the listener was kept open for
  dispatch::Common* common = nullptr;
  std::unordered_map<EndpointId, int> out;  // sends, where something is in common; looked up, never walked

  Stages(event_base* base, const dispatch::Config& c, const Extras& extras)
      : op_types(static_cast<int>(settings::op_types(c.settings).size())),
        policy(c.seed),
        book(policy, c.memory),
        sender(
            base, send_limits(c), [this](dispatch::Attempt& e, const dispatch::Result& r) { ended(e, r); },
            [this] { route.turn(); }),
        searcher(
            base, search_limits(c, extras),
            [this](dispatch::Attempt& e, const dispatch::Result& r) { ended(e, r); },
            [this] { route.turn(); }),
        hosts(sender, searcher),
        route(
            base, policy, book, hosts,
            [this](EndpointId id) {
              members.forget(id);
              hosts.forget(id);
            },
            [this] { return phased.follow_up(); }, [this](EndpointId id) { return members.name_of(id); }),
        phased(base, policy, book, route, op_types),
        members(policy,
                [this](EndpointId id, const dispatch::Members::Entry& e) {
                  hosts.flavored(id, e.flavor);
                  hosts.node(id, e.id, e.address, e.state);
                }),
        admit(c.settings, book, route),
        watch(base, c.discovery, watch_timing(c.settings), c.seed,
              std::min(kLargestList, c.memory / kListShare), members,
              [this](bool told) {
                if (!told) policy.list_failed(now());
                if (members.ready() > 0) take_in.can_serve();
                route.turn();
              }),
        take_in(base, c.listen, pause_at(c), c.descriptors / kIdleClients, c.memory / kUnfinishedShare, admit,
                route),
        in_force(c),
        closing(base, [this] { close(); }) {
    settings::apply(c.settings, policy);
    route.on_departures([this] { take_in.tell_departures(); });
    hosts.look([this] {
      route.look();
      route.look_at_clients();
    });
    if (extras.common) {
      common = extras.common;
      members.hold(*extras.common);
      const Time come_back =
          c.settings.flag("ceilings.retry-after", false) ? c.settings.span("ceilings.max-retry-after", 0) : 0;
      hosts.count([this](const dispatch::Carried& c) { carried(c); });
      route.hold(*extras.common,
                 {[this] {
                    const auto& s = in_force.settings;
                    policy.set_attempts(std::min(s.whole("ceilings.try-limit", 1), common->sends_most()),
                                        s.flag("ceilings.second-copies", false) && common->second_copies(),
                                        s.flag("ceilings.cancel", false));
                    for (int i = 0; i < op_types; ++i) {
                      const dispatch::OpLimits& l = common->limits(i);
                      policy.limit_request_class(i, l.budget_most, l.least);
                      phased.limit(i, l);
                    }
                    keep_in_regions();
                    policy.set_zone_limits(common->zones(), common->zone_step(), common->look_around());
                    members.reconsider();
                  },
                  [this] { keep_near(); },
                  [this](dispatch::Attempt& e) {
                    e.account = {route.counted_as(e.part->query->op_type), members.zone_of(e.node), false};
                    ++out[e.node];
                    e.account.over_budget = common->sent(e.account.zone, e.account.op_type);
                    keep_near();
                  },
                  come_back});
    }
    hosts.set_flavor(extras.search_flavor);
    for (const auto& t : extras.two_phase) phased.allow(t.op_type, t.op, t.terms);
    if (common) keep_in_regions();
    policy.start();
    if (!c.known.empty())
      if (const char* wrong = members.take(c.known))
        log("discovery", "the list in the configuration: %s", wrong);
    if (members.ready() > 0) take_in.can_serve();
    route.turn();
    watch.call();
  }

  void ended(dispatch::Attempt& e, const dispatch::Result& r) {
    // Danger: the book forgets a multiget with its last send, and the attempt with it.
    const EndpointId node = e.node;
    const Time latency = now() - e.sent_at;
    const dispatch::Account whose = e.account;
    const AttemptOutcome how = book.ended(e, r);
    if (!common) return;
    if (const auto it = out.find(node); it != out.end() && --it->second == 0) out.erase(it);
    common->ended(whose, node, how, latency);
  }
  void carried(dispatch::Carried c) {
    if (c.whose.zone < 0) c.whose.zone = members.zone_of(c.node);
    common->carried(c);
  }
  // Rounds of plans too, each with the op type it comes from.
  void each_op_type(const std::function<void(int, int)>& what) {
    for (int i = 0; i < phased.op_types(); ++i) what(i, route.counted_as(i));
  }
  void keep_in_regions() {
    each_op_type([this](int i, int from) { policy.keep_in_region(i, common->stays_in_region(from)); });
  }
  void keep_near() {
    if (!common->budgets()) return;
    each_op_type([this](int i, int from) { policy.keep_in_zone(i, common->stays_near(from)); });
  }

  // Danger: connections that the system has completed and nobody has accepted would be reset with the
  // listener.
  void close() {
    if (!door_closed && take_in.has_backlog() && backlog_turns++ < kBacklogTurns) {
      take_in.make_room();
      return closing.start(0);
    }
    if (!std::exchange(door_closed, true)) take_in.stop_accepting();
    if (book.held() > 0 || !take_in.quiet()) return closing.start(kLookAgain);
    done();
  }
};

Broker::Broker(event_base* base, const dispatch::Config& config, const Extras& extras)
    : stages_(std::make_unique<Stages>(base, config, extras)) {}
Broker::~Broker() = default;

frontend::platform::Admit& Broker::admit() { return stages_->admit; }
dispatch::Phased& Broker::phased() { return stages_->phased; }
dispatch::Book& Broker::book() { return stages_->book; }
dispatch::Route& Broker::route() { return stages_->route; }
const dispatch::Members& Broker::members() const { return stages_->members; }
void Broker::ask_agent() { stages_->watch.refresh(); }
int Broker::clear(const std::string& node) {
  const EndpointId id = stages_->members.id_of(node);
  if (id == 0) return 0;
  const auto it = stages_->out.find(id);
  if (it != stages_->out.end()) return it->second;
  stages_->hosts.let_go(id);
  return 0;
}
void Broker::not_ready() { stages_->take_in.not_ready(); }
void Broker::add(frontend::Front& front) { stages_->take_in.add(front); }

void Broker::change(const dispatch::Config& c) {
  dispatch::Config& had = stages_->in_force;
  if (c.listen != had.listen) log("config", "listen has changed; that takes a restart");
  if (c.memory != had.memory || c.descriptors != had.descriptors)
    log("config", "limits have changed; that takes a restart");
  if (!(c.settings == had.settings)) log("config", "settings have changed; that takes a restart");
  log("config", "read anew; discovery %s %s", c.discovery == had.discovery ? "stays at" : "is now at",
      c.discovery.c_str());
  if (c.discovery != had.discovery) stages_->watch.move(had.discovery = c.discovery);
}

void Broker::shut_down(std::function<void()> done) {
  if (stages_->done) return;
  stages_->done = std::move(done);
  stages_->take_in.last_answers();
  stages_->closing.start(kStillComing);
}

}  // namespace cairnhub::server
