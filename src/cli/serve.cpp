#include "cli/serve.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <stdexcept>

#include "broker/log.h"
#include "fronts/two_phase/front.h"
#include "options/options.h"
#include "server/broker.h"

namespace cairnhub::cli {

using broker::Broker;
using broker::Config;
using broker::guarded;
using broker::log;
using broker::read_config;

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
    std::vector<broker::TwoPhase> two_phase;
    if (!options.empty())
      for (const auto& p : options::resolve(options::read(options), config.settings))
        two_phase.push_back({p.op_type, p.op, p.terms});
    Broker broker(base, config, two_phase);
    fronts::two_phase::Front two_phase_front(broker.admit(), broker.phased());
    if (!two_phase.empty()) broker.add(two_phase_front);
    const OnSignal stop(base, SIGTERM, [&] {
      log("stop", "finishing what is in hand");
      broker.shut_down([base] { event_base_loopexit(base, nullptr); });
    });
    // Danger: a file that is missing, half written or wrong. Nothing of it is taken.
    const OnSignal reload(base, SIGHUP, [&] {
      try {
        broker.change(read_config(path));
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
