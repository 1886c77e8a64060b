// Two events that cross, forced in one order over loopback: a close against a request, a silence against a
// change, a departure against an attempt, a shutdown against all of them. One scenario a name; CTest diffs
// what it prints with tests/traces/cross_NAME.txt. docs/crossings.md says which line of the program each one
// holds to account. The program is stopped (SIGSTOP) where both events must lie before it when it goes on; no
// wait is proof of anything.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/node.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;

namespace {

using Scenario = void (*)();

const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

std::string request(const char* name, const char* op = "all", const char* left = "5") {
  return Client::request(name, op, Client::parts({0}), left);
}

// Stops the program for as long as it lives, and waits until it has stopped.
struct Stopped {
  pid_t pid;
  explicit Stopped(const World& w) : pid(w.pid) {
    kill(pid, SIGSTOP);
    int status = 0;
    if (waitpid(pid, &status, WUNTRACED) != pid || !WIFSTOPPED(status)) give_up("the program doesn't stop");
  }
  ~Stopped() { kill(pid, SIGCONT); }
};

void pass(int ms) { poll(nullptr, 0, ms); }

// Three requests for shard 0 all go to this node.
void serves_all(Node& node) {
  Client c;
  for (const char* name : {"m1", "m2", "m3"}) {
    c.asks(name, "all", {0});
    node.hits(node.reads(), "v");
    c.gets();
  }
}

// ---- The discovery watch ----

void watch_silent() {  // a watch says nothing: another call on a new connection is told what it missed
  World w({.cells = 2, .replicas = 2});
  Node one(1), two(2);
  w.ready();
  w.asked();
  w.asked();  // ends with the connection, which the program has given up
  w.asked();
  w.tells(w.list(4, true, "in_service", 2));
  w.asked();
  serves_all(two);
}

void watch_endless() {  // an answer comes byte by byte and never ends: it is given up like a silent one
  World w({.cells = 2, .replicas = 2});
  w.ready();
  w.asked();
  w.watch->write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"revision\":2,");
  for (int i = 0; !readable(w.watch->fd, 50); ++i) {
    if (i == 200) give_up("an answer without end is waited for");
    w.watch->write(" ");
  }
  w.asked();
  w.asked();
}

// Discovery is down, and answers at its return the call that still waits: it was made after a silent one, and
// not given up for longer than discovery was away.
void watch_returns() {
  World w({.cells = 2, .replicas = 2});
  w.ready();
  w.asked();
  w.asked();  // ends with the connection
  w.asked();
  pass(1000);
  const std::string changed = w.list(2, false, "terminating", 1);
  w.watch->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(changed.size()) + "\r\n\r\n" +
                 changed);
  w.asked();
}

// An answer comes a second time: with the answer, and once a later request waits. Neither is the answer to
// that request, and no older list comes back by it. Guards against
// docs/incidents/another-searches-documents.md.
void watch_copied() {
  World w({.cells = 2, .replicas = 2});
  const auto answer = [](const std::string& list) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  };
  w.ready();
  w.asked();
  const std::string second = answer(w.list(2, true, "in_service"));
  w.watch->write(second);
  w.asked();
  w.watch->write(answer(w.list(3, false, "terminating", 1)));
  w.asked();
  std::printf("the answer of revision 2 comes again\n");
  w.watch->write(second);
  w.asked();  // ends with the connection
  w.asked();
  std::printf("the answer of revision 4 comes twice at once\n");
  const std::string fourth = answer(w.list(4, false, "terminating", 1));
  w.watch->write(fourth + fourth);
  w.asked();  // ends with the connection
  w.asked();
}

// An agent that closes its connection after an answer may have been started anew with an older list. The next
// connection owes nothing to the one before: its list counts at once.
void watch_anew() {
  World w({.cells = 2, .replicas = 2});
  w.ready();
  w.asked();
  const std::string fifth = w.list(5, true, "in_service");
  w.watch->write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(fifth.size()) +
                 "\r\n\r\n" + fifth);
  w.watch.reset();
  w.asked();
  w.tells(w.list(2, true, "in_service"));
  w.asked();
}

void watch_cut_off() {  // an answer without a length is broken off by a reset: a reset is no end of a body
  World w({.cells = 2, .replicas = 2});
  w.ready();
  w.asked();
  w.watch->write("HTTP/1.1 200 OK\r\n\r\n" + w.list(2, true, "terminating"));
  w.watch->reset();
  w.watch.reset();
  w.asked();
  w.tells(w.list(3, true, "in_service"));
  w.asked();
}

// A call is reset, the next one's answer spoilt: each is followed by another on a new connection; an indented
// list is one.
void watch_down() {
  World w({.cells = 2, .replicas = 2});
  w.ready();
  w.asked();
  w.watch->reset();
  w.watch.reset();
  w.asked();
  w.tells("{\"revision\":9,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"phase\":\"in_serv");
  w.asked();
  w.tells("\n{\n  \"revision\" : 5,\n  \"complete\" : true,\n  \"members\" : [ ]\n}\n");
  w.asked();
  Client c;
  c.asks("m1", "all", {0});
  c.gets();
}

// Lists in chunks: one that comes in pieces is taken when its last chunk is in; one whose connection ends
// before that is no list.
void watch_chunked() {
  World w({.cells = 2, .replicas = 2});
  Node two(2);
  w.ready();
  const auto chunk = [](const std::string& bytes) {
    char length[16];
    std::snprintf(length, sizeof length, "%zx\r\n", bytes.size());
    return length + bytes + "\r\n";
  };
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  w.asked();
  w.watch->write(head + chunk(w.list(2, true, "terminating")));
  w.watch->end();
  w.watch.reset();
  w.asked();
  const std::string sound = w.list(3, true, "in_service", 2);
  w.watch->write(head);
  for (const char byte : sound) w.watch->write(chunk(std::string(1, byte)));
  w.watch->write("0\r\n\r\n");
  w.asked();
  serves_all(two);
}

// The most memory that the program has held, in kB.
long peak_memory(const World& w) {
  std::ifstream status("/proc/" + std::to_string(w.pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
  give_up("no figure of the memory");
}

void unfinished() {  // clients write nearly a whole body each and stop: the largest go, memory and the others
                     // stay
  World w({.sockets = 256, .memory_mb = 16});
  Node one(1);
  w.ready();
  const long before = peak_memory(w);
  const std::string most = Client::request("x", "all", Client::parts({0}, std::string(60000, 'x')));
  std::vector<std::unique_ptr<Client>> crowd;
  crowd.reserve(150);
  for (int i = 0; i < 150; ++i) {
    crowd.push_back(std::make_unique<Client>());
    crowd.back()->peer.write(most.substr(0, most.size() - 1));
  }
  Client c;
  c.asks("m1", "all", {0});
  one.hits(one.reads(), "v");
  c.gets();
  int refused = 0;
  for (auto& client : crowd) refused += client->reads().rfind("503 last", 0) == 0;
  std::printf("told that they were too slow: %s\n", refused == 150 ? "all" : std::to_string(refused).c_str());
  const long grown = peak_memory(w) - before;
  std::printf("memory has grown by %s\n", grown < 7000 ? "less than 7 MB" : std::to_string(grown).c_str());
}

void watch_spoilt() {  // lists of little more than brackets: refused, and the memory stays within bounds
  World w({.memory_mb = 48});
  Node one(1);
  w.ready();
  const long before = peak_memory(w);
  const std::string start = R"({"revision":9,"complete":true,"members":[)", nested(1000000, '[');
  std::string objects, numbers;
  for (int i = 0; i < 400000; ++i) objects += "{},", numbers += "0,";
  for (const std::string& spoilt : {start + nested, start + objects + "{}]}", start + numbers + "0]}"}) {
    w.asked();
    w.tells(spoilt);
    w.watch.reset();  // closed by the program
  }
  w.asked();
  const long grown = peak_memory(w) - before;
  std::printf("memory has grown by %s\n", grown < 40000 ? "less than 40 MB" : std::to_string(grown).c_str());
  Client c;
  c.asks("m1", "all", {0});
  one.hits(one.reads(), "v");
  c.gets();
}

// SIGHUP moves discovery to an address that is silent at first; a node is gone by the time it speaks, and an
// answer that the old address gives late is not heard.
void reload_silent() {
  World w({.cells = 2, .replicas = 2});
  Node two(2);
  w.ready();
  w.asked();
  const auto old = std::move(w.watch);
  Listener moved(kDiscovery + 1);
  std::string config = w.config;
  w.writes(config.replace(config.find(text(kDiscovery)), text(kDiscovery).size(), text(kDiscovery + 1)));
  kill(w.pid, SIGHUP);
  w.watch = std::make_unique<Peer>(moved.accept());
  w.asked();
  const std::string late = w.list(9, true, "in_service");
  static_cast<void>(send(old->fd, late.data(), late.size(), MSG_NOSIGNAL));  // it may be closed
  w.asked();  // silent: ends with the connection
  w.watch = std::make_unique<Peer>(moved.accept());
  w.asked();
  w.tells(w.list(3, true, "in_service", 2));
  w.asked();
  serves_all(two);
}

// Calls that cost, with waits that differ. A refused one is repeated as it was; one that fell silent is given
// up and followed by one that waits for a short time.
void watch_polled() {
  World w({.cells = 2, .replicas = 2, .subscribe = true});
  w.ready();
  const auto asked = [&](const char* how) {
    if (!w.watch) w.watch = std::make_unique<Peer>(w.discovery.accept());
    while (w.watch->in.find("\r\n\r\n") == std::string::npos)
      if (!w.watch->more()) return std::printf("%s: given up\n", how), w.watch.reset();
    const std::string line = w.watch->in.substr(0, w.watch->in.find(" HTTP"));
    w.watch->in.clear();
    const auto at = line.find("timeout_ms=");
    const int wait = at == std::string::npos ? 0 : std::atoi(line.c_str() + at + 11);
    std::printf("%s: since the list in hand, wait %s\n", how,
                wait >= 3000 && wait <= 5000 ? "long"
                : wait == 500                ? "short"
                                             : "?");
  };
  asked("first");
  w.watch->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  asked("refused");
  asked("repeated");
  asked("silent");
  asked("repeated");
  w.tells(w.list(2, false, "in_service"));
  asked("goes on");
}

void no_servers() {  // a process that knows no server isn't ready; the first list that names one makes it so
  World w({.known = false});
  Node one(1);
  w.asked();
  Client c;
  c.peer.write(kHealth);
  c.gets();
  w.tells(w.list(1, true, "terminating"));
  w.asked();
  c.peer.write(kHealth);
  c.gets();
  w.tells(w.list(2, false, "in_service"));
  w.asked();
  c.peer.write(kHealth);
  c.gets();
}

// ---- Clients that leave, and requests that wait behind others ----

void left_unread() {  // a client has written its request and gone before either was read: nothing is sent for
                      // it
  World w(Setup{});
  Node one(1);
  w.ready();
  Client first;  // the connection to the node is up
  first.asks("m0", "all", {0});
  one.hits(one.reads(), "v");
  first.gets();
  {
    const Stopped stopped(w);
    Client early;
    early.asks("m1", "all", {0});
    std::printf("client leaves\n");
  }
  Client c;
  c.asks("m2", "all", {0});
  one.hits(one.reads(), "v");
  c.gets();
}

void left_behind_bytes() {  // a client writes a second request ahead of its time and goes: the first is given
                            // up
  World w({.budget = "30"});
  Node one(1);
  w.ready();
  {
    Client c;
    c.peer.write(request("m1", "all", "60"));
    one.reads();
    c.peer.write(request("m2", "all", "60"));
    Client probe;  // once it is answered the early bytes have been seen
    probe.peer.write(kHealth);
    probe.reads();
    std::printf("client leaves\n");
  }
  one.reads();
}

void waited_behind() {  // a request's time passes while the one before it is out: it isn't sent on
  World w({.cells = 2});
  Node one(1), two(2);
  w.ready();
  Client c;
  c.asks("m0", "all", {1});  // node 2 is quick
  two.hits(two.reads(), "v");
  c.gets();
  const std::string at_two = Client::parts({1});
  c.peer.write(request("m1") + Client::request("m2", "all", at_two, "0.2") +
               Client::request("m3", "all", at_two));
  const std::string call = one.reads();
  pass(300);
  one.hits(call, "v");
  c.gets();
  c.gets();
  two.hits(two.reads(), "v");
  c.gets();
}

void waited_unread() {  // a request's time passes while it lies unread at its socket: it isn't sent on
  World w(Setup{});
  Node one(1);
  w.ready();
  Client late;
  {
    const Stopped stopped(w);
    late.asks("m1", "all", {0}, "0.2");
    pass(300);
  }
  late.gets();
  Client c;
  c.asks("m2", "all", {0});
  one.hits(one.reads(), "v");
  c.gets();
}

void late_connection_left() {  // a connection comes up after the client of its attempt has gone: nothing is
                               // written
  World w({.connect_within = "60"});
  Node one(1, 0);
  FullBacklog full(one);
  w.ready();
  {
    Client early;
    early.asks("m1", "all", {0});
    Client probe;  // once it is answered the request before it has been read
    probe.peer.write(kHealth);
    probe.reads();
    std::printf("client leaves\n");
  }
  Client c;
  c.asks("m2", "all", {0});
  full.empty(one);
  one.hits(one.reads(), "v");
  c.gets();
}

// ---- Attempts at nodes ----

// A request that may not be repeated is served; its connection to the node is idle then.
void serves_one(Node& node, Client& c) {
  c.asks("m1", "once", {0});
  node.hits(node.reads(), "v");
  c.gets();
}

void idle_ended() {  // a node ends its idle connection as a request comes: it isn't written where it would be
                     // lost
  World w(Setup{});
  Node one(1);
  w.ready();
  Client c;
  serves_one(one, c);
  {
    const Stopped stopped(w);
    c.asks("m2", "once", {0});
    one.peer->end();
    std::printf("node 1 ends its connection\n");
  }
  one.accept();
  one.hits(one.reads(), "v");
  c.gets();
}

void idle_half_line() {  // half a frame lies on an idle connection as a request comes: it takes another
  World w(Setup{});
  Node one(1);
  w.ready();
  Client c;
  serves_one(one, c);
  const auto first = std::move(one.peer);
  {
    const Stopped stopped(w);
    c.asks("m2", "once", {0});
    first->write(framed('E', "m2.0 hit 7 -\nforged").substr(0, 9));
    std::printf("node 1 writes half a frame\n");
  }
  one.accept();
  one.hits(one.reads(), "v");
  c.gets();
}

void window_over() {  // a connection comes up after the window for repeats: what may have run isn't repeated
  World w({.cells = 2, .replicas = 2, .connect_within = "60"});
  Node one(1, 0), two(2);
  FullBacklog full(one);
  w.ready();
  Client c;
  c.asks("m1", "keyed", {0}, "3");  // with this seed the tie falls to node 2
  two.reads();
  two.peer->reset();
  two.door.reset();
  std::printf("node 2 resets, and is gone\n");
  pass(600);  // the window is 0.5 s
  full.empty(one);
  c.gets();
  c.asks("m2", "all", {0});
  one.hits(one.reads(), "v");
  c.gets();
}

void window_open() {  // the same within the window: the part is repeated at the other holder
  World w({.cells = 2, .replicas = 2, .window = "60"});
  Node one(1), two(2);
  w.ready();
  Client c;
  c.asks("m1", "keyed", {0}, "3");
  two.reads();
  two.peer->reset();
  std::printf("node 2 resets\n");
  one.hits(one.reads(), "v");
  c.gets();
}

// ---- Shutdown ----

// SIGTERM, and then the program stands still until it should have closed its door.
struct PastTheDoor {
  const World& w;
  std::unique_ptr<Stopped> stopped;
  explicit PastTheDoor(const World& world) : w(world) {
    kill(w.pid, SIGTERM);
    w.stopping();
    stopped = std::make_unique<Stopped>(w);
  }
  void go_on() {
    pass(500);
    stopped.reset();
  }
};

// Whether the request or the door comes first in the program's turn is the system's to say; it is answered in
// either order: served, or refused without having been sent on.
void gets_an_answer(Client& c, Node& node) {
  pollfd either[] = {{c.peer.fd, POLLIN, 0}, {node.door->fd, POLLIN, 0}};
  if (poll(either, 2, kPatienceMs) <= 0) give_up("neither an answer nor an attempt");
  const bool sent_on = either[1].revents != 0;
  if (sent_on) {
    const std::string call = node.reads(false);
    node.peer->write(framed('E', call.substr(1, call.find(' ') - 1) + " hit 7 -\nv"));
  }
  const std::string got = c.reads();
  const std::string due = sent_on ? "200 last" : "503 last";
  std::printf("client gets: %s\n", got.rfind(due, 0) == 0 ? "an answer, the last" : got.c_str());
}

void stop_backlog() {  // a connection and its request lie before the door as it closes: answered
  World w(Setup{});
  Node one(1);
  w.ready();
  PastTheDoor door(w);
  Client late;
  late.asks("m1", "all", {0});
  door.go_on();
  gets_an_answer(late, one);
  w.ends();
}

// The same, behind a crowd of connections that say nothing and take all descriptors that clients may have.
void stop_crowd() {
  World w({.sockets = 64});
  Node one(1);
  w.ready();
  PastTheDoor door(w);
  std::vector<std::unique_ptr<Client>> crowd;
  crowd.reserve(100);
  for (int i = 0; i < 100; ++i) crowd.push_back(std::make_unique<Client>());
  Client late;
  late.asks("m1", "all", {0});
  door.go_on();
  gets_an_answer(late, one);
  w.ends();
}

void stop_half() {  // half of a request was read as the door closes: answered when it is whole, not sent on
  World w(Setup{});
  Node one(1);
  w.ready();
  Client c;
  const std::string all = request("m1");
  c.peer.write(all.substr(0, all.size() / 2));
  kill(w.pid, SIGTERM);
  w.stopping();
  for (int i = 0; Client().peer.fd >= 0; ++i) {
    if (i == kPatienceMs) give_up("the door stays open");
    pass(1);
  }
  c.peer.write(all.substr(all.size() / 2));
  c.gets();
  w.ends();
}

void stop_pipelined() {  // two requests were read together before SIGTERM: both are answered
  World w(Setup{});
  Node one(1);
  w.ready();
  Client c;
  c.peer.write(request("m1") + request("m2"));
  const std::string first = one.reads();
  kill(w.pid, SIGTERM);
  w.stopping();
  one.hits(first, "v1");
  c.gets();
  one.hits(one.reads(), "v2");
  c.gets();
  std::printf("then: %s\n", c.reads().c_str());
  w.ends();
}

void stop_thrice() {  // SIGTERM twice with SIGHUP between, and work out: answered once, ended once
  World w(Setup{});
  Node one(1);
  w.ready();
  Client c;
  c.asks("m1", "all", {0});
  const std::string call = one.reads();
  {
    const Stopped stopped(w);
    for (const int signal : {SIGTERM, SIGHUP, SIGTERM}) kill(w.pid, signal);
  }
  w.stopping();
  one.hits(call, "v");
  c.gets();
  w.ends();
}

// SIGTERM and SIGHUP as the program starts: before it listens, as soon as it does, and as soon as it is
// ready. It ends as it was told, by the signal where it had not begun to take requests.
void stop_at_start() {
  for (const char* when : {"at once", "as it listens", "as it is ready"}) {
    World w(Setup{});
    if (std::strcmp(when, "as it is ready") == 0) {
      w.ready();
    } else if (std::strcmp(when, "as it listens") == 0) {
      for (int i = 0; Client().peer.fd < 0; ++i) {
        if (i == kPatienceMs) give_up("the program doesn't listen");
        pass(1);
      }
    }
    const bool took_requests = std::strcmp(when, "as it is ready") == 0;
    if (took_requests) kill(w.pid, SIGHUP);  // before that it may find no handler yet
    kill(w.pid, SIGTERM);
    int status = 0;
    waitpid(w.pid, &status, 0);
    w.pid = 0;
    const bool exited = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    const bool by_signal = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM;
    std::printf("SIGTERM %s: %s\n", when,
                exited || (by_signal && !took_requests) ? "ends" : "ends otherwise");
  }
}

// ---- Descriptors ----

void crowd_and_discovery() {  // idle clients fill the descriptors while discovery is down: the watch comes
                              // back
  World w({.sockets = 64});
  Node one(1);
  w.ready();
  w.asked();
  std::vector<std::unique_ptr<Client>> crowd;
  crowd.reserve(100);
  for (int i = 0; i < 100; ++i) crowd.push_back(std::make_unique<Client>());
  w.watch->reset();
  w.watch.reset();
  w.asked();
  w.tells(w.list(2, true, "in_service"));
  w.asked();
  Client c;
  c.asks("m1", "all", {0});
  one.hits(one.reads(), "v");
  c.gets();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  program = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::map<std::string, Scenario> scenarios = {
      {"watch_silent", watch_silent},
      {"watch_endless", watch_endless},
      {"watch_returns", watch_returns},
      {"watch_copied", watch_copied},
      {"watch_anew", watch_anew},
      {"watch_cut_off", watch_cut_off},
      {"watch_down", watch_down},
      {"watch_chunked", watch_chunked},
      {"unfinished", unfinished},
      {"watch_spoilt", watch_spoilt},
      {"reload_silent", reload_silent},
      {"watch_polled", watch_polled},
      {"no_servers", no_servers},
      {"left_unread", left_unread},
      {"left_behind_bytes", left_behind_bytes},
      {"waited_behind", waited_behind},
      {"waited_unread", waited_unread},
      {"late_connection_left", late_connection_left},
      {"idle_ended", idle_ended},
      {"idle_half_line", idle_half_line},
      {"window_over", window_over},
      {"window_open", window_open},
      {"stop_backlog", stop_backlog},
      {"stop_crowd", stop_crowd},
      {"stop_half", stop_half},
      {"stop_pipelined", stop_pipelined},
      {"stop_thrice", stop_thrice},
      {"stop_at_start", stop_at_start},
      {"crowd_and_discovery", crowd_and_discovery},
  };
  const auto it = scenarios.find(argv[2]);
  if (it == scenarios.end()) return 2;
  it->second();
  return 0;
}
