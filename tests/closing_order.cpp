// Bytes of a client that arrive in the very turn of the loop in which its connection is to be closed, after
// the loop has looked for bytes and before the closing timer is called. The broker runs in this process, so
// that the order is forced: a timer of the test, due just before the broker's own, writes the bytes; both
// fall due while the loop stands still.
// Also a broker that has something to do in every turn of the loop, ahead of its own timer; and one that
// decides on attempts, after it stood still, before the loop has told it of a client's leaving.
//   closing_order idle | slow_writer | busy | left_before_copy | left_before_connected | no_delay |
//   slow_reader
#include <event2/event.h>
#include <netinet/tcp.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/timer.h"
#include "dispatch/request_dispatcher.h"
#include "server/broker.h"
#include "stand_ins/client.h"
#include "stand_ins/node.h"

using namespace cairnhub::stand_ins;
using cairnhub::Timer;
using cairnhub::dispatch::Config;
using cairnhub::server::Broker;

namespace {

constexpr cairnhub::Time kMs = cairnhub::kSecond / 1000;
constexpr const char* kSearchFlavor = "s";  // of the second server, where its protocol counts
const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

// As many servers, each of which holds all there is; requests may take so many seconds.
Config config(int servers, const std::string& ceilings, const std::string& seconds) {
  char name[] = "/tmp/cairnhub-test-XXXXXX";
  const int fd = mkstemp(name);
  if (fd < 0) give_up("no file for the configuration");
  close(fd);
  std::string members;
  for (int n = 0; n < servers; ++n)
    members += (n > 0 ? "," : "") + std::string(R"({"id":"s-)") + std::to_string(n) +
               R"(","cell":0,"flavor":")" + (n == 1 ? kSearchFlavor : "m") +
               R"(","phase":"in_service","up_since_ms":0,"host_port":")" + text(kNode + n) + "\"}";
  std::ofstream(name) << R"({"listen":")" << text(kBroker) << R"(","discovery":")" << text(kDiscovery)
                      << R"(","seed":"1f","limits":{"memory_mb":192,"sockets":256},)"
                      << R"("known":{"revision":1,"complete":true,"members":[)" << members << "]},"
                      << R"("settings":{"ceilings":{)" << ceilings << R"("try-limit":3},"classes":[)"
                      << R"({"name":"all","promise":)" << seconds << R"(,"deadline":)" << seconds << "}],"
                      << R"("family-info":{"positions":1,"width":1,"ranges":1}}})";
  Config read = cairnhub::dispatch::read_config(name);
  unlink(name);
  return read;
}

struct Rig {
  event_base* base = event_base_new();
  Listener discovery{kDiscovery};
  std::unique_ptr<Broker> broker;
  Client client;

  explicit Rig(int servers = 1, const std::string& ceilings = {}, const std::string& seconds = "1",
               const cairnhub::server::BrokerOptions& extras = {})
      : broker(std::make_unique<Broker>(base, config(servers, ceilings, seconds), extras)) {}
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;
  ~Rig() {
    broker.reset();
    event_base_free(base);
  }
  void turn() const { event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK); }
  // The loop runs until this holds.
  template <class Condition>
  void turn_until(Condition holds, const char* otherwise) const {
    for (int i = 0; !holds(); ++i) {
      if (i == kPatienceMs) give_up(otherwise);
      turn();
    }
  }
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
      [](evutil_socket_t, short, void* broker) { static_cast<Broker*>(broker)->dispatcher().run_actions(); },
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

// What a server has been written once the broker has nothing in hand any more.
std::string written_to(const Rig& rig, Peer& server) {
  const auto nothing_in_hand = [&] {
    return poll(nullptr, 0, 1) == 0 && rig.broker->in_flight_requests().count() == 0;
  };
  rig.turn_until(nothing_in_hand, "the broker keeps the request");
  rig.turn();
  char some[4096];
  const ssize_t n = recv(server.fd, some, sizeof some, MSG_DONTWAIT);
  return n > 0 ? "an attempt was begun" : "nothing was begun";
}

// A client leaves; before the loop tells so, something else makes the broker decide, when the attempt that is
// out is overdue and would have a copy at the other server.
std::string left_before_copy() {
  Rig rig(2, R"("second-copies":true,)");
  Node servers[] = {Node(0), Node(1)};
  // Both connections are up: requests are answered until each server has had one.
  for (int i = 0; !servers[0].peer || !servers[1].peer; ++i) {
    rig.client.peer.write(Client::request("w" + std::to_string(i), "all", Client::parts({0}), "1"));
    Node* asked = nullptr;
    for (int turns = 0; !asked; ++turns) {
      if (turns == kPatienceMs) give_up("no server is asked");
      rig.turn();
      for (Node& server : servers)
        if (readable(server.peer ? server.peer->fd : server.door->fd, 1)) asked = &server;
      if (asked && !asked->peer) asked->accept(), asked = nullptr;
    }
    const std::string call = asked->reads(false);
    asked->peer->write(framed('E', call.substr(1, call.find(' ') - 1) + " hit 7 -\nv"));
    rig.answer();
  }
  rig.client.peer.write(Client::request("m1", "all", Client::parts({0}), "1"));
  const auto is_asked = [&](int n) { return readable(servers[n].peer->fd, 1); };
  rig.turn_until([&] { return is_asked(0) || is_asked(1); }, "no server is asked");
  const int first = is_asked(0) ? 0 : 1;
  rig.client.peer.end();
  poll(nullptr, 0, 700);  // of the second that the request has; it is overdue after half of it at the latest
  rig.broker->dispatcher().run_actions();
  return written_to(rig, *servers[1 - first].peer);
}

// A client leaves while its attempt waits for a connection, and that comes up first, in the same turn.
std::string left_before_connected() {
  Rig rig(1, R"("connect-timeout":60,)", "30");
  Node server(0, 0);
  FullBacklog full(server);
  rig.client.peer.write(Client::request("m1", "all", Client::parts({0}), "30"));
  rig.turn_until([&] { return rig.broker->in_flight_requests().count() > 0; }, "the request isn't read");
  full.empty(server);
  server.accept();
  rig.client.peer.end();
  poll(nullptr, 0, 60);
  rig.turn();
  return written_to(rig, *server.peer);
}

// The port of one end of a TCP connection; 0 for what is none.
int port_of(int fd, int (*end)(int, sockaddr*, socklen_t*)) {
  sockaddr_in at{};
  socklen_t length = sizeof at;
  if (end(fd, reinterpret_cast<sockaddr*>(&at), &length) != 0 || at.sin_family != AF_INET) return 0;
  return ntohs(at.sin_port);
}

// A long answer is on its way to a client that reads slowly as the broker is told to end: it waits for that,
// and the answer arrives whole.
std::string slow_reader() {
  Rig rig;
  Node server(0);
  rig.client.peer.write(Client::request("m1", "all", Client::parts({0}), "1"));
  rig.turn_until([&] { return readable(server.door->fd, 1); }, "the server isn't connected to");
  server.accept();
  rig.turn_until([&] { return readable(server.peer->fd, 1); }, "the server isn't asked");
  const std::string call = server.reads(false), value(60000, 'v');
  // Most of the answer stays with the broker.
  const int small = 4096;
  setsockopt(rig.client.peer.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  for (int fd = 0; fd < 256; ++fd)
    if (port_of(fd, getsockname) == kBroker && port_of(fd, getpeername) != 0)
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
  server.peer->write(framed('E', call.substr(1, call.find(' ') - 1) + " hit 7 -\n" + value));
  rig.turn_until([&] { return readable(rig.client.peer.fd, 1); }, "the client hears nothing");
  bool ended = false;
  rig.broker->shut_down([&] { ended = true; });
  rig.stand_still(600);  // past the time in which clients may still come
  rig.turn();
  if (ended) return "it ends over an answer that isn't written";
  std::string got;
  for (int i = 0; !ended && i < kPatienceMs; ++i) {
    rig.turn();
    char some[512];
    const ssize_t n = recv(rig.client.peer.fd, some, sizeof some, MSG_DONTWAIT);
    if (n > 0) got.append(some, static_cast<std::size_t>(n));
    if (n < 0) poll(nullptr, 0, 1);
  }
  while (rig.client.peer.more()) got += std::exchange(rig.client.peer.in, {});  // what the system still holds
  return got.find(value + "\"}]}") != std::string::npos ? "the whole answer" : "less than the answer";
}

// The broker's ends of its connections (clients', two servers' of either protocol, discovery's) send what is
// written at once.
std::string no_delay() {
  cairnhub::server::BrokerOptions extras;
  extras.search_flavor = kSearchFlavor;
  Rig rig(2, "", "30", extras);
  const Node servers[] = {Node(0), Node(1)};
  Client second;
  // The second request goes to the server that has nothing out.
  rig.client.peer.write(Client::request("m1", "all", Client::parts({0}), "30"));
  second.peer.write(Client::request("m2", "all", Client::parts({0}), "30"));
  rig.turn_until([&] { return readable(servers[0].door->fd, 0) && readable(servers[1].door->fd, 1); },
                 "a server isn't connected to");
  rig.turn();  // what is connected by now is told in this turn
  const std::set<int> called = {kNode, kNode + 1, kDiscovery};
  std::map<int, bool> without_delay;  // by the port called
  for (int fd = 0; fd < 256; ++fd) {
    const int local = port_of(fd, getsockname), remote = port_of(fd, getpeername);
    if (remote == 0 || (local != kBroker && called.count(remote) == 0)) continue;
    int on = 0;
    socklen_t length = sizeof on;
    getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, &length);
    bool& all = without_delay.try_emplace(local == kBroker ? kBroker : remote, true).first->second;
    all = all && on != 0;
  }
  for (const auto& [port, at_once] : without_delay)
    if (!at_once) return "what is written at port " + std::to_string(port) + " may wait";
  return without_delay.size() == 4 ? "all send at once" : "not all connections are there";
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::string (*)()> scenarios = {
      {"idle", idle},
      {"slow_writer", slow_writer},
      {"busy", busy},
      {"left_before_copy", left_before_copy},
      {"left_before_connected", left_before_connected},
      {"no_delay", no_delay},
      {"slow_reader", slow_reader},
  };
  const auto scenario = argc == 2 ? scenarios.find(argv[1]) : scenarios.end();
  if (scenario == scenarios.end()) return 2;
  const std::string got = scenario->second();
  std::printf("%s: %s\n", argv[1], got.c_str());
  if (scenario->second == no_delay) return got == "all send at once" ? 0 : 1;
  if (scenario->second == slow_reader) return got == "the whole answer" ? 0 : 1;
  return got == "connection ended" || got == "an attempt was begun" ? 1 : 0;
}
