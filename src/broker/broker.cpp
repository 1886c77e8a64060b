#include "broker/broker.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include "broker/admit.h"
#include "broker/clock.h"
#include "broker/take_in.h"
#include "broker/watch.h"

namespace cairnhub::broker {

namespace {

// For so long after a stop is asked for, clients may still come.
constexpr Time kStillComing = 450 * kSecond / 1000;
constexpr Time kLookAgain = 5 * kSecond / 1000;
// An idle connection to a node is let go after this share of the time after which the node would.
constexpr double kIdleShare = 0.75;
// Of the descriptors, for the loop, the log, the watch and the listener, with some to spare; of the rest a
// quarter is for nodes.
constexpr std::size_t kOwnDescriptors = 24, kNodeShare = 4;

SendLimits send_limits(const Config& c) {
  const auto& s = c.settings;
  const Time idle = static_cast<Time>(kIdleShare * static_cast<double>(s.span("ceilings.keepalive", 10)));
  return {std::max(1, s.whole("ceilings.multiplex", 1)), std::max(1, s.whole("family-info.parts-a-call", 1)),
          s.span("ceilings.connect-timeout", 1), idle, (c.descriptors - kOwnDescriptors) / kNodeShare};
}
int pause_at(const Config& c) {
  return static_cast<int>(c.descriptors - kOwnDescriptors / 2 -
                          (c.descriptors - kOwnDescriptors) / kNodeShare);
}

}  // namespace

struct Broker::Stages {
  Decider decider;
  Book book{decider};
  Sender sender;
  Route route;
  Members members;
  Admit admit;
  Watch watch;
  TakeIn take_in;
  std::function<void()> done;
  Timer closing;
  bool door_closed = false;

  Stages(event_base* base, const Config& c)
      : decider(c.seed),
        sender(
            base, send_limits(c), [this](Errand& e, const Result& r) { book.ended(e, r); },
            [this] { route.turn(); }),
        route(base, decider, book, sender),
        members(decider, [this](NodeId id, const std::string& name, const Address& at,
                                NodeState s) { sender.node(id, name, at, s); }),
        admit(c.settings, c.memory, book, route),
        watch(base, c.discovery, members,
              [this](bool told) {
                if (!told) decider.list_failed(now());
                route.turn();
              }),
        take_in(base, c.listen, pause_at(c), admit, route),
        closing(base, [this] { close(); }) {
    settings::apply(c.settings, decider);
    decider.start();
    if (!c.known.empty())
      if (const char* wrong = members.take(c.known))
        log("discovery", "the list in the configuration: %s", wrong);
    route.turn();
    watch.call();
  }

  void close() {
    if (!std::exchange(door_closed, true)) take_in.close_door();
    if (book.held() > 0 || !take_in.quiet()) return closing.start(kLookAgain);
    done();
  }
};

Broker::Broker(event_base* base, const Config& config) : stages_(std::make_unique<Stages>(base, config)) {}
Broker::~Broker() = default;

void Broker::shut_down(std::function<void()> done) {
  if (stages_->done) return;
  stages_->done = std::move(done);
  stages_->take_in.last_answers();
  stages_->closing.start(kStillComing);
}

int run() {
  std::signal(SIGPIPE, SIG_IGN);
  event_config* how = event_config_new();
  event_config_set_flag(how, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(how);
  event_config_free(how);
  int status = 0;
  try {
    const char* path = std::getenv("RELAY_CONFIG");
    if (!path) throw std::runtime_error("RELAY_CONFIG is not set");
    Broker broker(base, read_config(path));
    struct Stop {
      Broker* broker;
      event_base* base;
    } stop{&broker, base};
    event* term = evsignal_new(
        base, SIGTERM,
        [](evutil_socket_t, short, void* at) {
          guarded("stop", [s = static_cast<Stop*>(at)] {
            log("stop", "finishing what is in hand");
            s->broker->shut_down([s] { event_base_loopexit(s->base, nullptr); });
          });
        },
        &stop);
    event_add(term, nullptr);
    event_base_dispatch(base);
    event_free(term);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cairnhub: %s\n", e.what());
    status = 1;
  }
  event_base_free(base);
  return status;
}

}  // namespace cairnhub::broker
