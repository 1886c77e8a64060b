// Bytes of a client that arrive in the very turn of the loop in which its connection is to be closed, after
// the loop has looked for bytes and before the closing timer is called. The broker runs in this process, so
// that the order is forced: a timer of the test, due just before the broker's own, writes the bytes; both
// fall due while the loop stands still.
// Also a broker that has something to do in every turn of the loop, ahead of its own timer.
//   closing_order idle | slow_writer | busy
#include <event2/event.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include "base/timer.h"
#include "broker/route.h"
#include "server/broker.h"
#include "stand_ins/client.h"

using namespace cairnhub::stand_ins;
using cairnhub::Timer;
using cairnhub::broker::Broker;
using cairnhub::broker::Config;

namespace {

constexpr cairnhub::Time kMs = cairnhub::kSecond / 1000;
const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

Config config() {
  char name[] = "/tmp/cairnhub-test-XXXXXX";
  const int fd = mkstemp(name);
  if (fd < 0) give_up("no file for the configuration");
  close(fd);
  std::ofstream(name) << R"({"listen":")" << text(kBroker) << R"(","discovery":")" << text(kDiscovery)
                      << R"(","seed":"1f","limits":{"memory_mb":192,"sockets":256},)"
                      << R"("known":{"revision":1,"complete":true,"members":[{"id":"s-1","cell":0,)"
                      << R"("phase":"in_service","up_since_ms":0,"host_port":")" << text(kNode) << R"("}]},)"
                      << R"("settings":{"ceilings":{"try-limit":3},"classes":[)"
                      << R"({"name":"all","promise":1,"deadline":1}],)"
                      << R"("family-info":{"positions":1,"width":1,"ranges":1}}})";
  Config read = cairnhub::broker::read_config(name);
  unlink(name);
  return read;
}

struct Rig {
  event_base* base = event_base_new();
  Listener discovery{kDiscovery};
  std::unique_ptr<Broker> broker = std::make_unique<Broker>(base, config(), cairnhub::broker::Extras{});
  Client client;

  ~Rig() {
    broker.reset();
    event_base_free(base);
  }
  void turn() const { event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK); }
  // Until the client has something to read: what it reads, as one line.
  std::string answer() {
    for (int i = 0; i < kPatienceMs; ++i) {
      turn();
      if (readable(client.peer.fd, 1)) return client.reads();
    }
    give_up("the client hears nothing");
  }
  // The loop stands still for so long; then its timers fall due in their order, in one turn.
  void stand_still(int ms) const {
    poll(nullptr, 0, ms);
    turn();
  }
};

// A resting connection's next request arrives as the shutdown closes resting connections.
std::string idle() {
  Rig rig;
  rig.client.peer.write(kHealth);
  rig.answer();
  Timer just_before(rig.base, [&] { rig.client.peer.write(kHealth); });
  just_before.start(440 * kMs);
  rig.broker->shut_down([] {});
  rig.stand_still(600);
  return rig.answer();
}

// The last bytes of a request arrive as the time for a whole request is over.
std::string slow_writer() {
  Rig rig;
  rig.client.peer.write(kHealth.substr(0, 10));
  rig.turn();
  rig.turn();  // the connection is known, and looked at again after 50 ms
  Timer just_before(rig.base, [&] { rig.client.peer.write(kHealth.substr(10)); });
  just_before.start(5 * kMs);
  rig.stand_still(2600);
  return rig.answer();
}

// A request's time is up, while in each turn something is read that makes the broker take its decisions.
std::string busy() {
  Rig rig;
  int pipe_ends[2];
  if (pipe(pipe_ends) != 0 || write(pipe_ends[1], "x", 1) != 1) give_up("no pipe");
  event* always = event_new(
      rig.base, pipe_ends[0], EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* broker) { static_cast<Broker*>(broker)->route().turn(); },
      rig.broker.get());
  event_add(always, nullptr);
  // Its one server refuses connections, so that no attempt's end makes the broker look at it again.
  rig.client.peer.write(Client::request("m1", "all", Client::parts({0}), "0.3"));
  std::string got = rig.answer();
  event_free(always);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  return got;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const std::string name = argv[1];
  const std::string got = name == "idle" ? idle() : name == "busy" ? busy() : slow_writer();
  std::printf("%s: %s\n", argv[1], got.c_str());
  return got == "connection ended" ? 1 : 0;
}
