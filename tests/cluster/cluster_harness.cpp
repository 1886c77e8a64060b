#include "cluster/cluster_harness.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <sqlite3.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "stand_ins/net.h"

namespace cairnhub::cluster {

namespace {

namespace fs = std::filesystem;
using stand_ins::address;

constexpr int kClients = 9000, kTalk = 9100, kOperators = 9200, kAgents = 8500, kHosts = 10000,
              kLinks = 20000;
constexpr int kEach = 64;  // brokers or hosts, at most

std::string at(int port) { return stand_ins::text(port); }
int host_port(int broker, int host) { return kHosts + broker * kEach + host; }
int link_port(int from, int to) { return kLinks + from * kEach + to; }

std::int64_t monotonic() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1'000'000'000LL + t.tv_nsec;
}

evconnlistener* listen_at(event_base* base, int port, evconnlistener_cb cb, void* self) {
  const sockaddr_in a = address(port);
  evconnlistener* l = evconnlistener_new_bind(
      base, cb, self, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 64,
      reinterpret_cast<const sockaddr*>(&a), sizeof a);
  if (!l) stand_ins::give_up("no address to listen at");
  return l;
}

std::string zone_name(int z) { return "z" + std::to_string(z); }
std::string host_name(int h) { return "s-" + std::to_string(h); }

}  // namespace

// Relays what one broker sends another.
class Link {
 public:
  Link(Rig& rig, int from, int to) : rig_(rig), from_(from), to_(to) {
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in a = address(link_port(from, to));
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0)
      stand_ins::give_up("no address for a link");
    readable_ = event_new(
        rig.base_, fd_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* p) { static_cast<Link*>(p)->datagram(); }, this);
    event_add(readable_, nullptr);
    listener_ = listen_at(
        rig.base_, link_port(from, to),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* p) {
          static_cast<Link*>(p)->accepted(fd);
        },
        this);
    tick_ = event_new(
        rig.base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* p) { static_cast<Link*>(p)->pump_all(true); }, this);
    const timeval tv{0, 10000};
    event_add(tick_, &tv);
  }
  ~Link() {
    streams_.clear();
    event_free(readable_), event_free(tick_);
    evconnlistener_free(listener_);
    close(fd_);
  }
  Trouble trouble;

 private:
  struct Stream {
    Link& link;
    bufferevent *near, *far;
    std::int64_t passed = 0;
    bool near_over = false, far_over = false;
    Stream(Link& l, bufferevent* n, bufferevent* f) : link(l), near(n), far(f) {}
    ~Stream() { bufferevent_free(near), bufferevent_free(far); }
  };
  void datagram() {
    char bytes[65536];
    for (int i = 0; i < 64; ++i) {
      const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0) return;
      if (trouble.cut) continue;
      if (trouble.again > 0) {  // what has passed before comes again
        passed_.emplace_back(bytes, static_cast<std::size_t>(n));
        if (passed_.size() > 64) passed_.pop_front();
        for (int k = 0; k < trouble.again; ++k) forward(passed_[rig_.chance_() % passed_.size()]);
      }
      std::uniform_real_distribution<double> unit;
      for (int copies = unit(rig_.chance_) < trouble.twice ? 2 : 1; copies > 0; --copies) {
        if (unit(rig_.chance_) < trouble.lose) continue;
        const int wait =
            trouble.delay_ms +
            (trouble.spread_ms ? static_cast<int>(rig_.chance_() % static_cast<unsigned>(trouble.spread_ms))
                               : 0);
        std::string copy(bytes, static_cast<std::size_t>(n));
        if (wait == 0)
          forward(copy);
        else
          rig_.later(wait, [this, copy = std::move(copy)] { forward(copy); });
      }
    }
  }
  void forward(const std::string& bytes) {
    const sockaddr_in to = address(kTalk + to_);
    sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  void accepted(evutil_socket_t fd) {
    evutil_make_socket_nonblocking(fd);
    auto s = std::make_unique<Stream>(*this, bufferevent_socket_new(rig_.base_, fd, BEV_OPT_CLOSE_ON_FREE),
                                      bufferevent_socket_new(rig_.base_, -1, BEV_OPT_CLOSE_ON_FREE));
    const sockaddr_in to = address(kTalk + to_);
    for (bufferevent* b : {s->near, s->far}) {
      bufferevent_setcb(
          b,
          [](bufferevent*, void* p) { static_cast<Stream*>(p)->link.pump(*static_cast<Stream*>(p), false); },
          nullptr,
          [](bufferevent* which, short what, void* p) {
            Stream& mine = *static_cast<Stream*>(p);
            if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) return;
            (which == mine.near ? mine.near_over : mine.far_over) = true;
          },
          s.get());
      bufferevent_enable(b, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(s->far, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    streams_.push_back(std::move(s));
  }
  void pump_all(bool tick) {
    for (auto& s : streams_) pump(*s, tick);
    // The end of one side ends the other once all has passed.
    std::erase_if(streams_, [&](const auto& s) {
      const bool broken = trouble.break_after >= 0 && s->passed >= trouble.break_after;
      const bool over = (s->near_over && evbuffer_get_length(bufferevent_get_input(s->near)) == 0 &&
                         evbuffer_get_length(bufferevent_get_output(s->far)) == 0) ||
                        s->far_over;
      return broken || over;
    });
  }
  void pump(Stream& s, bool tick) {
    move(s.near, s.far, trouble, tick, &s.passed);
    const auto back = rig_.links_.find({to_, from_});
    if (back != rig_.links_.end()) move(s.far, s.near, back->second->trouble, tick, nullptr);
  }
  static void move(bufferevent* from, bufferevent* to, const Trouble& t, bool tick, std::int64_t* passed) {
    evbuffer* in = bufferevent_get_input(from);
    std::size_t n = evbuffer_get_length(in);
    if (t.cut || n == 0) return;
    if (t.bytes_a_tick > 0) {
      if (!tick) return;
      n = std::min(n, static_cast<std::size_t>(t.bytes_a_tick));
    }
    if (passed && t.break_after >= 0)
      n = std::min(n, static_cast<std::size_t>(std::max<std::int64_t>(0, t.break_after - *passed)));
    evbuffer_remove_buffer(in, bufferevent_get_output(to), n);
    if (passed) *passed += static_cast<std::int64_t>(n);
  }

  Rig& rig_;
  std::deque<std::string> passed_;
  int from_, to_, fd_;
  event *readable_, *tick_;
  evconnlistener* listener_;
  std::vector<std::unique_ptr<Stream>> streams_;
};

// An agent of discovery on a broker's machine: tells what it holds, or nothing.
class Agent {
 public:
  Agent(Rig& rig, int broker) : rig_(rig) {
    listener_ = listen_at(
        rig.base_, kAgents + broker,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* p) {
          static_cast<Agent*>(p)->accepted(fd);
        },
        this);
    const timeval tv{0, 20000};
    tick_ = event_new(
        rig.base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* p) { static_cast<Agent*>(p)->answer_due(); }, this);
    event_add(tick_, &tv);
    broker_ = broker;
  }
  ~Agent() {
    open_.clear();
    event_free(tick_);
    evconnlistener_free(listener_);
  }
  std::uint64_t holds = 1;
  bool silent = false;
  void answer_due() {
    const std::int64_t now = monotonic();
    for (auto& c : open_)
      if (c->asked && !silent && (c->since != holds || now >= c->until)) {
        const std::string body = rig_.list_for(broker_, holds);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n";
        bufferevent_write(c->bev, head.data(), head.size());
        bufferevent_write(c->bev, body.data(), body.size());
        c->asked = false;
      }
    std::erase_if(open_, [](const auto& c) { return c->over; });
  }

 private:
  struct Connection {
    Agent& agent;
    bufferevent* bev;
    bool asked = false, over = false;
    std::uint64_t since = UINT64_MAX;
    std::int64_t until = 0;
    Connection(Agent& a, bufferevent* b) : agent(a), bev(b) {}
    ~Connection() { bufferevent_free(bev); }
  };
  void accepted(evutil_socket_t fd) {
    evutil_make_socket_nonblocking(fd);
    open_.push_back(
        std::make_unique<Connection>(*this, bufferevent_socket_new(rig_.base_, fd, BEV_OPT_CLOSE_ON_FREE)));
    Connection* c = open_.back().get();
    bufferevent_setcb(
        c->bev,
        [](bufferevent* b, void* p) {
          Connection& mine = *static_cast<Connection*>(p);
          evbuffer* in = bufferevent_get_input(b);
          const evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
          if (end.pos < 0) return;
          std::string head(static_cast<std::size_t>(end.pos), '\0');
          evbuffer_remove(in, head.data(), head.size());
          evbuffer_drain(in, 4);
          const auto s = head.find("since=");
          const auto t = head.find("timeout_ms=");
          mine.since = s == std::string::npos ? UINT64_MAX : std::strtoull(head.c_str() + s + 6, nullptr, 10);
          mine.until =
              monotonic() + (t == std::string::npos ? 0 : std::atoll(head.c_str() + t + 11)) * 1'000'000;
          mine.asked = true;
          mine.agent.answer_due();
        },
        nullptr, [](bufferevent*, short, void* p) { static_cast<Connection*>(p)->over = true; }, c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
  }
  Rig& rig_;
  int broker_ = 0;
  evconnlistener* listener_;
  event* tick_;
  std::vector<std::unique_ptr<Connection>> open_;
};

// A register host, reached by each broker at an address of its own.
class Host {
 public:
  Host(Rig& rig, int number, int brokers) : rig_(rig), number_(number) {
    for (int b = 0; b < brokers; ++b) {
      doors_.push_back(std::make_unique<Door>(Door{*this, b, nullptr}));
      listen(*doors_.back());
    }
  }
  ~Host() {
    open_.clear();
    for (auto& d : doors_)
      if (d->listener) evconnlistener_free(d->listener);
  }
  bool mute = false;  // takes parts and answers none
  bool off = false;   // its machine is being worked on: whatever comes is counted, and lost
  std::set<int> cut;  // brokers whose bytes don't come through
  int slow_ms = 0;
  int peak = 0;  // parts that came in the fullest second
  void die() {   // its connections break, and none is taken up
    for (auto& d : doors_)
      if (d->listener) evconnlistener_free(std::exchange(d->listener, nullptr));
    open_.clear();
  }
  bool lives() const { return !doors_.empty() && doors_.front()->listener; }
  void live() {
    for (auto& d : doors_)
      if (!d->listener) listen(*d);
  }

 private:
  struct Door {
    Host& host;
    int broker;
    evconnlistener* listener;
  };
  void listen(Door& door) {
    door.listener = listen_at(
        rig_.base_, host_port(door.broker, number_),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* p) {
          Door& d = *static_cast<Door*>(p);
          d.host.accepted(fd, d.broker);
        },
        &door);
  }
  struct Connection {
    Host& host;
    int broker;
    bufferevent* bev;
    std::uint64_t id;
    ~Connection() { bufferevent_free(bev); }
  };
  void accepted(evutil_socket_t fd, int broker) {
    evutil_make_socket_nonblocking(fd);
    open_.push_back(std::unique_ptr<Connection>(new Connection{
        *this, broker, bufferevent_socket_new(rig_.base_, fd, BEV_OPT_CLOSE_ON_FREE), ++last_}));
    Connection* c = open_.back().get();
    bufferevent_setcb(
        c->bev,
        [](bufferevent*, void* p) { static_cast<Connection*>(p)->host.read(*static_cast<Connection*>(p)); },
        nullptr,
        [](bufferevent*, short, void* p) {
          Connection* mine = static_cast<Connection*>(p);
          Host& h = mine->host;
          std::erase_if(h.open_, [&](const auto& o) { return o.get() == mine; });
        },
        c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
  }
  void read(Connection& c) {
    evbuffer* in = bufferevent_get_input(c.bev);
    if (cut.count(c.broker)) return static_cast<void>(evbuffer_drain(in, evbuffer_get_length(in)));
    while (evbuffer_get_length(in) >= 4) {
      unsigned char l[4];
      evbuffer_copyout(in, l, 4);
      const std::size_t n = l[0] | l[1] << 8 | l[2] << 16 | static_cast<std::size_t>(l[3]) << 24;
      if (evbuffer_get_length(in) < 4 + n) return;
      evbuffer_drain(in, 4);
      std::string frame(n, '\0');
      evbuffer_remove(in, frame.data(), n);
      carried(c, static_cast<long long>(4 + n), 0);
      if (frame.empty() || frame[0] != 'A') continue;
      for (std::size_t at_byte = 1; at_byte < frame.size();) {
        const auto end = frame.find('\n', at_byte);
        std::istringstream line(frame.substr(at_byte, end - at_byte));
        std::string name, shard, wait;
        std::size_t length = 0;
        line >> name >> shard >> wait >> length;
        at_byte = end + 1 + length;
        rig_.known_.arrivals.push_back({monotonic(), "b" + std::to_string(c.broker), host_name(number_)});
        ++rig_.parts_[host_name(number_) + " b" + std::to_string(c.broker)];
        rig_.parts_at_off_ += off;
        if (mute || off) continue;
        const std::int64_t at = monotonic();
        came_.push_back(at);
        while (came_.front() < at - 1'000'000'000) came_.pop_front();
        peak = std::max(peak, static_cast<int>(came_.size()));
        const unsigned rate = rig_.script_.host_rate();
        if (rate) free_at_ = std::max(free_at_, at) + 1'000'000'000 / rate;
        const int takes = slow_ms + (rate ? static_cast<int>((free_at_ - at) / 1'000'000) : 0);
        const std::string answer = stand_ins::framed('E', name + " hit 7 -\nvalue");
        if (takes == 0) {
          answers(c, answer);
          continue;
        }
        rig_.later(takes, [this, id = c.id, answer] {
          for (auto& o : open_)
            if (o->id == id) answers(*o, answer);
        });
      }
    }
  }
  void carried(const Connection& c, long long out, long long in) {
    auto& b = rig_.bytes_[{c.broker, number_}];
    b.out += out, b.in += in;
  }
  void answers(Connection& c, const std::string& bytes) {
    carried(c, 0, static_cast<long long>(bytes.size()));
    bufferevent_write(c.bev, bytes.data(), bytes.size());
  }
  Rig& rig_;
  int number_;
  std::uint64_t last_ = 0;
  std::int64_t free_at_ = 0;
  std::deque<std::int64_t> came_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<std::unique_ptr<Connection>> open_;
};

// A client at one broker: one request after the other, for as long as the play lasts.
class Caller {
 public:
  Caller(Rig& rig, int broker, int number) : rig_(rig), broker_(broker), number_(number) { connect(); }
  ~Caller() {
    *here_ = false;
    if (bev_) bufferevent_free(bev_);
  }
  bool waits() const { return waits_; }

 private:
  void later(int ms, void (Caller::*what)()) {
    rig_.later(ms, [this, here = here_, what] {
      if (*here) (this->*what)();
    });
  }
  void connect() {
    const sockaddr_in a = address(kClients + broker_);
    bev_ = bufferevent_socket_new(rig_.base_, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        bev_, [](bufferevent*, void* p) { static_cast<Caller*>(p)->read(); }, nullptr,
        [](bufferevent*, short what, void* p) {
          Caller& me = *static_cast<Caller*>(p);
          if (what & BEV_EVENT_CONNECTED) return me.ask();
          if (std::exchange(me.waits_, false)) ++rig_unanswered(me);
          bufferevent_free(std::exchange(me.bev_, nullptr));
          me.later(20, &Caller::connect);
        },
        this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev_, reinterpret_cast<const sockaddr*>(&a), sizeof a);
  }
  static std::uint64_t& rig_unanswered(Caller& c) { return c.rig_.unanswered_; }
  void ask() {
    if (!bev_ || waits_) return;
    if (rig_.hushed_) return later(20, &Caller::ask);
    const int hosts = static_cast<int>(rig_.script_.hosts());
    std::set<int> shards;
    while (static_cast<int>(shards.size()) < std::min(3, hosts))
      shards.insert(static_cast<int>(rig_.chance_() % static_cast<unsigned>(hosts)));
    std::string list;
    for (const int s : shards)
      list += (list.empty() ? "" : ",") + std::string("{\"bucket\":") + std::to_string(s) +
              ",\"part\":" + std::to_string(1.0 / static_cast<double>(shards.size())) + "}";
    const std::string body = "{\"buckets\":[" + list + "],\"body\":\"c41e\"}";
    const std::string request =
        "POST /" + rig_.script_.op_type() + " HTTP/1.1\r\nHost: x\r\nX-Txn: c" + std::to_string(broker_) +
        "-" + std::to_string(number_) + "-" + std::to_string(++asked_) +
        "\r\nX-Lane: " + rig_.script_.op_type() +
        "\r\nX-Org: a\r\nX-Remaining: 5\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    waits_ = true, asked_at_ = monotonic();
    bufferevent_write(bev_, request.data(), request.size());
  }
  void read() {
    evbuffer* in = bufferevent_get_input(bev_);
    for (;;) {
      const evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
      if (end.pos < 0) return;
      std::string head(static_cast<std::size_t>(end.pos), '\0');
      evbuffer_copyout(in, head.data(), head.size());
      const auto l = head.find("Content-Length: ");
      const std::size_t n = l == std::string::npos ? 0 : std::strtoul(head.c_str() + l + 16, nullptr, 10);
      if (evbuffer_get_length(in) < static_cast<std::size_t>(end.pos) + 4 + n) return;
      std::string all(static_cast<std::size_t>(end.pos) + 4 + n, '\0');
      evbuffer_remove(in, all.data(), all.size());
      if (!std::exchange(waits_, false)) {
        ++rig_.doubled_;  // an answer to nothing
        continue;
      }
      ++rig_.answered_;
      const std::string status = head.substr(9, 3);
      if (status == "200" && all.find("\"finished\":false") != std::string::npos)
        ++rig_.in_part_, rig_.slowest_part_ = std::max(rig_.slowest_part_, monotonic() - asked_at_);
      else if (status == "200")
        ++rig_.whole_;
      else if (status == "503")
        ++rig_.pushed_back_;
      else
        ++rig_.failed_;
      rig_.answers_.push_back({monotonic(), status == "200"});
      if (head.find("Connection: close") != std::string::npos) {
        bufferevent_free(std::exchange(bev_, nullptr));
        later(20, &Caller::connect);
        return;
      }
      later(static_cast<int>(rig_.script_.think_ms()), &Caller::ask);
    }
  }
  Rig& rig_;
  int broker_, number_;
  bufferevent* bev_ = nullptr;
  bool waits_ = false;
  std::uint64_t asked_ = 0;
  std::int64_t asked_at_ = 0;
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

Rig::Rig(const std::string& program, const fleet::Script& script)
    : program_(program),
      script_(script),
      base_(event_base_new()),
      chance_(static_cast<std::mt19937::result_type>(script.seed())) {
  std::signal(SIGPIPE, SIG_IGN);
  char made[] = "/tmp/cairnhub-fleet-XXXXXX";
  folder_ = mkdtemp(made);
  take_previous_program();
  const int n = static_cast<int>(script.brokers()), hosts = static_cast<int>(script.hosts());
  catalogue_[1] = {std::vector<std::string>(static_cast<std::size_t>(hosts), "in_service"),
                   std::vector<std::uint64_t>(static_cast<std::size_t>(hosts), 0)};
  for (int h = 0; h < hosts; ++h) hosts_.push_back(std::make_unique<Host>(*this, h, n));
  for (int i = 0; i < n; ++i) {
    agents_.push_back(std::make_unique<Agent>(*this, i));
    for (int j = 0; j < n; ++j)
      if (i != j) links_[{i, j}] = std::make_unique<Link>(*this, i, j);
  }
  std::string classes;
  for (const char* op : {"all", "any", "some"})
    classes += std::string(classes.empty() ? "" : ",") + R"({"name":")" + op + R"(","promise":)" +
               std::to_string(script.promise_ms() / 1000.0) + R"(,"deadline":)" +
               std::to_string(script.deadline_ms() / 1000.0) + R"(,"late-share":)" +
               (op[0] == 's' ? "0" : "0.5") + R"(,"effect":"free"})";
  for (int i = 0; i < n; ++i) {
    brokers_.push_back(std::make_unique<Broker>());
    Broker& b = *brokers_.back();
    b.number = i, b.name = "b" + std::to_string(i), b.folder = folder_ + "/" + b.name;
    fs::create_directory(b.folder);
    fs::create_directory(b.folder + "/store");
    write_keys(b, "a");
    std::ofstream(b.folder + "/config.json")
        << R"({"listen":")" << at(kClients + i) << R"(","discovery":")" << at(kAgents + i)
        << R"(","seed":"00000000000000)" << std::hex << 16 + i << std::dec
        << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":256},"settings":{"balancers":)" << n
        << R"(,"ceilings":{"cancel":true,"connect-timeout":0.25,"keepalive":15,"max-retry-after":0.5,"multiplex":64,)"
        << R"("retry-after":true,"second-copies":true,"try-limit":3},"classes":[)" << classes
        << R"(],"family-info":{"class-partial":[0,0,1],"min-share":[1,0.5,0.3],"need-by-class":[1,0.5,1],"parts-a-call":1,"positions":)"
        << hosts << R"(,"ranges":)" << hosts << R"(,"width":)"
        << std::min(static_cast<int>(script.replicas()), hosts)
        << R"(},"rules":{"cold":1,"cold-from":0.2,"fall-multiple":2,"overload-for":2},"tick":0.005}})";
    if (script.alone()) continue;
    std::ofstream o(b.folder + "/options.txtpb");
    o << "fleet {\n  name: \"" << b.name << "\"\n  listen: \"" << at(kTalk + i) << "\"\n  key_file: \""
      << b.folder << "/key\"\n  operators: \"" << at(kOperators + i) << "\"\n  records: \"" << b.folder
      << "/records.jsonl\"\n"
      << "  probe_ms: " << script.probe_ms() << "\n  answer_within_ms: " << script.probe_ms() / 2 << "\n";
    for (int j = 0; j < n; ++j)
      if (j != i) o << "  peer { name: \"b" << j << "\" address: \"" << at(link_port(i, j)) << "\" }\n";
    if (script.voters() > 0) {
      o << "  accord {\n    stated_time_ms: " << script.stated_ms()
        << "\n    replace_voter_after_ms: " << script.replace_ms() << "\n    start_wait_ms: 4000\n";
      for (unsigned v = 0; v < script.voters(); ++v) o << "    voter: \"b" << v << "\"\n";
      if (i < static_cast<int>(script.voters() + script.folders()))
        o << "    folder: \"" << b.folder << "/store\"\n";
      o << "  }\n";
    }
    if (script_.at_once() > 0)
      o << "  upkeep { holders_least: " << script_.holders_least() << " at_once: " << script_.at_once()
        << " a_rack: 100 a_zone: 100 a_region: 100 lost_after_ms: " << script_.lost_after_ms()
        << " around_ms: 1000 stop_on_loss: " << (script_.stop_on_loss() ? "true" : "false")
        << " notice_ms: 200 look_ms: 50 }\n";
    if (script_.zones() > 0 && !script_.labels_only()) {
      o << "  zones {\n    home: \"" << zone_name(home_of(i))
        << "\"\n    region_confirm_ms: " << script_.region_confirm_ms() << "\n    confirm_ms: 400\n"
        << "    dwell_ms: " << script_.dwell_ms() << "\n    step_ms: 300\n";
      for (unsigned z = 0; z < script_.zones(); ++z)
        o << "    zone { name: \"" << zone_name(static_cast<int>(z)) << "\" region: \"r"
          << (script_.regions() > 1 ? z * script_.regions() / script_.zones() : 0)
          << "\" host_parts_a_second: "
          << (script_.stated_rate() ? script_.stated_rate()
              : script_.host_rate() ? script_.host_rate()
                                    : 1000)
          << " }\n";
      if (script_.crossing())
        o << "    crossing { op_type: \"" << script_.op_type() << "\" bytes_a_second: " << script_.crossing()
          << " }\n";
      o << "  }\n";
    }
    o << "}\n";
    o.close();
    if (i < static_cast<int>(script.voters())) {
      const std::string run =
          program_of(b) + " accord init --options " + b.folder + "/options.txtpb > /dev/null";
      if (std::system(run.c_str()) != 0) stand_ins::give_up("accord init fails");
    }
  }
}

void Rig::later(int ms, std::function<void()> what) {
  later_.push_back(std::make_unique<Later>(Later{*this, std::move(what), nullptr, {}}));
  Later& l = *later_.back();
  l.self = std::prev(later_.end());
  l.due = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* p) {
        Later& mine = *static_cast<Later*>(p);
        const auto kept = std::move(*mine.self);
        mine.rig.later_.erase(kept->self);
        kept->what();
      },
      &l);
  const timeval tv{ms / 1000, ms % 1000 * 1000};
  evtimer_add(l.due, &tv);
}

Rig::Later::~Later() {
  if (due) event_free(due);
}

Rig::~Rig() {
  for (auto& b : brokers_)
    if (b->pid > 0) kill(b->pid, SIGKILL), waitpid(b->pid, nullptr, 0);
  callers_.clear();
  crew_.reset(), blind_.reset();
  links_.clear();
  agents_.clear();
  hosts_.clear();
  later_.clear();
  event_base_free(base_);
  if (!std::getenv("KEEP_FLEET")) {
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }
}

std::string Rig::list_for(int broker, std::uint64_t revision) const {
  const State& s = catalogue_.at(revision);
  std::string members;
  for (std::size_t h = 0; h < s.phase.size(); ++h) {
    if (s.phase[h] == "absent") continue;
    members += (members.empty() ? "" : ",") + std::string("{\"id\":\"") + host_name(static_cast<int>(h)) +
               "\",\"host_port\":\"" + at(host_port(broker, static_cast<int>(h))) + "\",\"locality\":\"" +
               (unlabelled_.count(broker) ? std::string()
                : script_.zones()         ? zone_name(zone_of_host(static_cast<int>(h)))
                                          : "a") +
               "\",\"flavor\":\"m\",\"cell\":" + std::to_string(h) + ",\"phase\":\"" + s.phase[h] +
               "\",\"size\":1.0,\"up_since_ms\":" + std::to_string(s.up[h]) + "}";
  }
  return "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[" + members + "]}";
}

int Rig::home_of(int broker) const {
  if (script_.home_size()) return static_cast<int>(script_.home(broker % script_.home_size()));
  return broker % static_cast<int>(script_.zones());
}
int Rig::zone_of_host(int host) const {
  if (script_.stands_size()) return static_cast<int>(script_.stands(host % script_.stands_size()));
  return host % static_cast<int>(script_.zones());
}

std::string Rig::step_of(std::uint64_t work) const {
  const int l = leader();
  if (l < 0) return "";
  const auto j = nlohmann::json::parse(asked(l, "/upkeep"), nullptr, false);
  if (j.is_object() && j.value("leads", false))
    for (const auto& w : j["works"])
      if (w["number"].get<std::uint64_t>() == work) return w["step"].get<std::string>();
  return "";
}

// None where a broker doesn't answer.
std::optional<Rig::CrossingReadings> Rig::read_crossing(const std::vector<int>& brokers) const {
  CrossingReadings readings;
  for (const int broker : brokers) {
    const auto told = nlohmann::json::parse(asked(broker, "/zones/crossing"), nullptr, false);
    if (!told.is_object()) return std::nullopt;
    CrossingReading& reading = readings[broker];
    for (const auto& row : told["table"]) reading.over_budget += row["bytes_over_budget"].get<long long>();
    for (const auto& [key, bytes] : bytes_) {
      const auto [sender, host] = key;
      if (sender == broker && zone_of_host(host) != home_of(broker)) reading.bytes += bytes.out + bytes.in;
    }
  }
  return readings;
}

// Hosts and brokers count the same bytes at different moments, which on a busy machine lie far apart; so the
// reading is taken while no client asks, once every client has its answer and two readings in a row are
// alike.
bool Rig::await_crossing_at_rest(const std::vector<int>& brokers, CrossingReadings& into) {
  const bool was_hushed = std::exchange(hushed_, true);
  std::optional<CrossingReadings> last;
  const bool at_rest = await(
      [&] {
        if (std::any_of(callers_.begin(), callers_.end(), [](const auto& c) { return c->waits(); }))
          return false;
        const auto previous = std::exchange(last, read_crossing(brokers));
        return last && previous == last;
      },
      "bytes at rest");
  hushed_ = was_hushed;
  if (at_rest) into = *last;
  return at_rest;
}

bool Rig::load(std::uint64_t answers) {
  before_answered_ = answered_;
  before_pushed_back_ = pushed_back_;
  before_in_part_ = in_part_;
  slowest_part_ = 0;
  load_size_ = answers;
  read_records();
  leases_lost_before_load_ = leases_lost();
  return await([&] { return answered_ >= before_answered_ + answers; }, "answers");
}

// Leases that running brokers lost so far, with those that they are without now.
int Rig::leases_lost() const {
  int lost = 0;
  for (const auto& b : brokers_) {
    if (b->pid <= 0 || b->stopped || b->seen.count("lease") == 0) continue;
    const auto grounds = b->seen.find("ground");
    lost += (grounds == b->seen.end() ? 0 : grounds->second) + (b->grounded ? 1 : 0);
  }
  return lost;
}

// Where no link is disturbed, only a broker or a leader that isn't run for a good part of the stated time
// loses a lease; it then acts on the common ground, as docs/accord.md has it, and pushes back what that
// doesn't allow.
bool Rig::a_held_up_broker_lost_its_lease() {
  const bool disturbed = std::any_of(links_.begin(), links_.end(),
                                     [](const auto& link) { return link.second->trouble != Trouble{}; });
  read_records();
  return !disturbed && leases_lost() != leases_lost_before_load_;
}

// Since the last load began; n: thousandths. A share too small is measured anew, over as many answers, where
// a broker was held up for so long that it lost its lease; a few times at most, as leases that are lost again
// and again are a fault.
bool Rig::check_share_served(const fleet::Step& s) {
  constexpr int kMaxMeasurements = 6;
  for (int measurement = 1;; ++measurement) {
    const std::uint64_t all = answered_ - before_answered_;
    const std::uint64_t back = pushed_back_ - before_pushed_back_;
    const bool enough = 1000 * (all - back) >= s.n() * all;
    if (std::getenv("SHOW"))
      std::printf("  [%llu of %llu pushed back]\n", static_cast<unsigned long long>(back),
                  static_cast<unsigned long long>(all));
    if (enough || measurement == kMaxMeasurements || !a_held_up_broker_lost_its_lease()) {
      std::printf("  served at least %.1f%%: %s\n", static_cast<double>(s.n()) / 10, enough ? "yes" : "NO");
      return true;
    }
    std::fprintf(stderr, "measured anew: %llu of %llu pushed back, leases were lost\n",
                 static_cast<unsigned long long>(back), static_cast<unsigned long long>(all));
    if (!load(load_size_)) return false;
  }
}

// What crossed since the mark at each broker, against its budget, or against n bytes a second.
bool Rig::crossed_within_budget(const fleet::Step& s, const std::vector<int>& brokers) {
  const double seconds_long = static_cast<double>(monotonic() - marked_at_) / 1e9;
  const double bytes_per_second = s.has_n() ? static_cast<double>(s.n()) : script_.crossing();
  CrossingReadings now;
  if (!await_crossing_at_rest(brokers, now)) return false;
  bool within = true;
  for (const int broker : brokers) {
    const CrossingReading& before = crossing_at_mark_[broker];
    const long long over = now[broker].over_budget - before.over_budget;  // the stated exception
    const long long crossed = now[broker].bytes - before.bytes - over;
    // What is saved, and one send that may go from a full budget whatever it carries.
    within = within && static_cast<double>(crossed) <= bytes_per_second * (seconds_long + 2) + 400;
    if (std::getenv("SHOW"))
      std::printf("  [b%d %lld bytes crossed in %.1f s, %.0f a second; %lld more beyond the budget]\n",
                  broker, crossed, seconds_long, static_cast<double>(crossed) / seconds_long, over);
  }
  std::printf("  what crossed is within the budget: %s\n", within ? "yes" : "NO");
  return true;
}

// What brokers tell of bytes against what hosts counted, zone by zone.
bool Rig::crossing_told(const std::vector<int>& who) {
  bool same = true;
  for (const int b : who) {
    const auto j = nlohmann::json::parse(asked(b, "/zones/crossing"), nullptr, false);
    if (!j.is_object()) return false;
    std::map<std::string, Bytes> told, seen;
    for (const auto& t : j["table"])
      told[t["zone"]].out += t["out"].get<long long>(), told[t["zone"]].in += t["in"].get<long long>();
    for (const auto& [key, bytes] : bytes_)
      if (key.first == b)
        seen[zone_name(zone_of_host(key.second))].out += bytes.out,
            seen[zone_name(zone_of_host(key.second))].in += bytes.in;
    for (const auto* all : {&told, &seen})
      for (const auto& [zone, ignored] : *all)
        if (told[zone].out != seen[zone].out || told[zone].in != seen[zone].in) {
          same = false;
          if (std::getenv("SHOW"))
            std::printf("  [b%d %s told %lld %lld seen %lld %lld]\n", b, zone.c_str(), told[zone].out,
                        told[zone].in, seen[zone].out, seen[zone].in);
        }
  }
  return same;
}

// Of each letter a key that is that letter 64 times; the first seals.
void Rig::write_keys(const Broker& b, const std::string& letters) {
  std::ofstream out(b.folder + "/key");
  for (const char c : letters) out << static_cast<int>(c) << " " << std::string(64, c) << "\n";
}

void Rig::take_previous_program() {
  const char* previous = std::getenv("CAIRNHUB_PREVIOUS");
  if (!previous) {
    return;
  }
  if (access(previous, X_OK) != 0) {
    stand_ins::give_up("CAIRNHUB_PREVIOUS is no program");
  }
  const int last = static_cast<int>(script_.brokers()) - 1;
  const char* broker = std::getenv("CAIRNHUB_PREVIOUS_BROKER");
  previous_program_ = fs::absolute(previous).string();
  previous_broker_ = broker ? std::atoi(broker) : last;
  if (previous_broker_ < 0 || previous_broker_ > last) {
    stand_ins::give_up("CAIRNHUB_PREVIOUS_BROKER is no broker");
  }
  std::fprintf(stderr, "b%d runs %s\n", previous_broker_, previous_program_.c_str());
}

const std::string& Rig::program_of(const Broker& broker) const {
  return broker.number == previous_broker_ ? previous_program_ : program_;
}

// The limit that stands for a full disk holds for every file of the process, also for the one that tells the
// play what it does; so that one begins small.
void Rig::start_new_event_file(Broker& b) {
  read_records();
  fs::rename(b.folder + "/records.jsonl", b.folder + "/records-before-full.jsonl");
  b.read = 0;
}

void Rig::start(Broker& b) {
  if (b.pid > 0) return;
  if (b.full) start_new_event_file(b);
  b.pid = fork();
  if (b.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (b.full) {  // as a disk that takes no more
      std::signal(SIGXFSZ, SIG_IGN);
      const rlimit most{static_cast<rlim_t>(fs::file_size(b.folder + "/store/accord.db")), RLIM_INFINITY};
      setrlimit(RLIMIT_FSIZE, &most);
    }
    setenv("RELAY_CONFIG", (b.folder + "/config.json").c_str(), 1);
    if (!script_.alone()) setenv("CAIRNHUB_OPTIONS", (b.folder + "/options.txtpb").c_str(), 1);
    if (const char* clock = std::getenv("CAIRNHUB_WALL_LIB"); clock && fs::exists(b.folder + "/wall")) {
      setenv("LD_PRELOAD", clock, 1);
      setenv("CAIRNHUB_WALL", (b.folder + "/wall").c_str(), 1);
      setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    const int log = open((b.folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDERR_FILENO);
    execl(program_of(b).c_str(), "cairnhub", "serve", nullptr);
    _exit(127);
  }
  b.low = b.high = 0, b.until = 0, b.grounded = true, b.revision = 0;
  b.alive.clear(), b.withheld.clear();
}

void Rig::stop(Broker& b, int signal) {
  if (b.pid <= 0) return;
  kill(b.pid, signal);
  if (signal != SIGKILL) return;
  waitpid(b.pid, nullptr, 0);
  b.pid = 0, b.stopped = false;
}

void Rig::took(Broker& b, const Record& r) {
  ++b.seen[r.what];
  if (r.what == "starts") ++b.lives, b.zones.clear();
  if (r.what == "zone_limits") {
    b.zones.clear();
    std::istringstream note(r.say("note"));
    for (std::string word; note >> word;) b.zones.insert(word.substr(0, word.rfind(':')));
    b.zones_seen.insert(b.zones.begin(), b.zones.end());
  }
  if (r.what == "lease")
    b.low = r.get("low"), b.high = r.get("high"), b.until = static_cast<std::int64_t>(r.get("until")),
    b.grounded = false;
  if (r.what == "ground" || r.what == "leaves") b.low = b.high = 0, b.until = 0, b.grounded = true;
  if (r.what == "keeps") b.ground = r.get("ground");
  if (r.what == "list") b.revision = r.get("revision");
  if (r.what == "told" || r.what == "heard") b.withheld.insert(r.say("node"));
  if (r.what == "ready") b.withheld.erase(r.say("node"));
  if (r.what == "peer") {
    if (r.say("to") == "alive" || r.say("to") == "suspect")
      b.alive.insert(r.say("name"));
    else
      b.alive.erase(r.say("name"));
  }
}

void Rig::read_records() {
  for (auto& b : brokers_) {
    std::ifstream in(b->folder + "/records.jsonl", std::ios::binary);
    if (!in) continue;
    in.seekg(b->read);
    std::string more{std::istreambuf_iterator<char>(in), {}};
    b->read += static_cast<long>(more.size());
    b->unread += more;
    std::size_t from = 0;
    for (std::size_t end; (end = b->unread.find('\n', from)) != std::string::npos; from = end + 1) {
      Record r;
      if (!read_record(b->unread.substr(from, end - from), r)) continue;
      took(*b, r);
      records_.push_back(std::move(r));
    }
    b->unread.erase(0, from);
  }
  for (auto& b : brokers_) {
    int status = 0;
    if (b->pid <= 0 || waitpid(b->pid, &status, WNOHANG) != b->pid) continue;
    b->pid = 0;
    // One that was asked to end does so with 0; no other may crash.
    const bool asked_to_end = std::exchange(b->asked_to_end, false);
    if (WIFSIGNALED(status) || (asked_to_end && WEXITSTATUS(status) != 0))
      std::printf("ENDED BADLY: %s, status %d\n", b->name.c_str(), status);
  }
}

void Rig::run_for(int ms) {
  const timeval tv{ms / 1000, ms % 1000 * 1000};
  event_base_loopexit(base_, &tv);
  event_base_dispatch(base_);
}

bool Rig::await(const std::function<bool()>& holds, const char* what, int patience_ms) {
  const std::int64_t began = monotonic();
  const auto waited = [&] { return static_cast<int>((monotonic() - began) / 1'000'000); };
  do {
    read_records();
    look_crew();
    if (holds()) {
      if (std::getenv("SHOW")) std::printf("  [%s after %d ms]\n", what, waited());
      return true;
    }
    run_for(5);
  } while (waited() <= patience_ms);
  std::printf("NEVER CAME: %s\n", what);
  // What brokers held then, beside the trace: a play that failed once elsewhere may not fail again.
  for (const auto& b : brokers_) {
    std::fprintf(stderr, "%s pid %d low %llu high %llu alive %zu revision %llu lives %d grounded %d\n",
                 b->name.c_str(), b->pid, static_cast<unsigned long long>(b->low),
                 static_cast<unsigned long long>(b->high), b->alive.size(),
                 static_cast<unsigned long long>(b->revision), b->lives, b->grounded);
    if (script_.zones() > 0)
      std::fprintf(stderr, "  zones %s\n", asked(b->number, "/zones").substr(0, 4000).c_str());
  }
  const std::size_t from = records_.size() > 200 ? records_.size() - 200 : 0;
  for (std::size_t k = from; k < records_.size(); ++k) {
    const Record& r = records_[k];
    std::fprintf(stderr, "%lld %s %s", static_cast<long long>(r.t / 1'000'000), r.who.c_str(),
                 r.what.c_str());
    for (const auto& [key, v] : r.text) std::fprintf(stderr, " %s=%s", key.c_str(), v.substr(0, 300).c_str());
    for (const auto& [key, v] : r.number)
      std::fprintf(stderr, " %s=%llu", key.c_str(), static_cast<unsigned long long>(v));
    std::fprintf(stderr, "\n");
  }
  return false;
}

bool Rig::settled(std::uint64_t least, const std::vector<int>& who) const {
  std::uint64_t n = 0;
  for (const int i : who) {
    const Broker& b = *brokers_[static_cast<std::size_t>(i)];
    if (b.pid <= 0 || b.low == 0 || b.low != b.high || b.low < least || b.until < monotonic() ||
        (n && b.low != n))
      return false;
    n = b.low;
  }
  return true;
}

// On the rig's own loop: the links go on while the answer is waited for.
std::string Rig::asked(int broker, const char* path, const std::string& body) const {
  struct State {
    bool done = false;
    std::string body;
  } state;
  const std::string where = at(kOperators + broker);
  evhttp_connection* c = evhttp_connection_base_new(base_, nullptr, where.substr(0, where.rfind(':')).c_str(),
                                                    static_cast<std::uint16_t>(kOperators + broker));
  evhttp_connection_set_timeout(c, 2);
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* got, void* p) {
        State& mine = *static_cast<State*>(p);
        mine.done = true;
        if (!got) return;
        evbuffer* in = evhttp_request_get_input_buffer(got);
        mine.body.resize(evbuffer_get_length(in));
        evbuffer_copyout(in, mine.body.data(), mine.body.size());
      },
      &state);
  evhttp_add_header(evhttp_request_get_output_headers(r), "Host", where.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  if (evhttp_make_request(c, r, body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, path) == 0)
    while (!state.done) event_base_loop(base_, EVLOOP_ONCE);
  evhttp_connection_free(c);
  return state.body;
}

int Rig::leader() const {
  for (const auto& b : brokers_) {
    if (b->pid <= 0 || b->stopped) continue;
    const auto j = nlohmann::json::parse(asked(b->number, "/accord/status"), nullptr, false);
    if (j.is_object() && j.value("leads", false)) return b->number;
  }
  return -1;
}

std::vector<int> Rig::of(const google::protobuf::RepeatedField<std::uint32_t>& list,
                         const fleet::Step& s) const {
  std::vector<int> out(list.begin(), list.end());
  if (s.leader() && &list == &s.at()) {
    const int l = leader();
    if (l >= 0) out.push_back(l);
  }
  return out.empty() ? everyone() : out;
}

void Rig::trouble(const fleet::Step& s, const std::function<void(Trouble&)>& change) {
  const std::vector<int> from = of(s.at(), s), to = of(s.to(), s);
  for (const int i : from)
    for (const int j : to)
      if (i != j && (s.to_size() > 0 || std::find(from.begin(), from.end(), j) == from.end() ||
                     from.size() == brokers_.size()))
        change(links_.at({i, j})->trouble);
}

// `cairnhub accord ...` as an operator would; what stands after a bar is a file of rules.
bool Rig::command(const fleet::Step& s) {
  std::string args = s.text(), rules;
  if (const auto bar = args.find('|'); bar != std::string::npos) {
    rules = args.substr(bar + 1);
    args = args.substr(0, bar);
    const std::string file = folder_ + "/rules-" + std::to_string(++proposals_) + ".txtpb";
    std::ofstream(file) << rules;
    args += " " + file;
  }
  const int who = of(s.at(), s).front();
  const std::string shown = s.text();
  const std::string run = program_ + " " + args + " --at " + at(kOperators + who) + " 2>&1; echo exit $?";
  const std::string out_file = folder_ + "/command-" + std::to_string(++proposals_);
  const pid_t pid = fork();
  if (pid == 0) {
    const int out = open(out_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(out, STDOUT_FILENO);
    execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    _exit(127);
  }
  int status = 0;
  if (!await([&] { return waitpid(pid, &status, WNOHANG) == pid; }, "the end of a command", 30000)) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    return false;
  }
  std::ifstream in(out_file);
  std::string all{std::istreambuf_iterator<char>(in), {}};
  for (std::size_t p; (p = all.find(folder_)) != std::string::npos;) all.replace(p, folder_.size(), "FOLDER");
  for (int i = 0; i < static_cast<int>(brokers_.size()); ++i)
    for (std::size_t p; (p = all.find(at(kOperators + i))) != std::string::npos;)
      all.replace(p, at(kOperators + i).size(), "OPERATORS" + std::to_string(i));
  for (std::size_t p;
       (p = all.find(" since ")) != std::string::npos && all.find(": ", p) != std::string::npos;)
    all.replace(p, all.find(": ", p) - p, " by now");  // a time of day
  std::printf("  cairnhub %s\n", shown.c_str());
  std::istringstream lines(all);
  for (std::string line; std::getline(lines, line);) std::printf("    %s\n", line.c_str());
  unsigned long long number = 0;
  const bool version = args.rfind("accord propose", 0) == 0 || args.rfind("accord undo", 0) == 0;
  if (std::sscanf(all.c_str(), "taken as %llu", &number) == 1 && version &&
      args.find("--ground") == std::string::npos)
    if (const auto id = args.find("--id "); id != std::string::npos) {
      const auto from = id + 5;
      known_.accepted[number] = args.substr(from, args.find(' ', from) - from);
    }
  return true;
}

// n versions one after the other, each as soon as the one before is taken.
bool Rig::burst(const fleet::Step& s) {
  const int who = of(s.at(), s).front();
  const auto history = nlohmann::json::parse(asked(who, "/accord/history"), nullptr, false);
  if (!history.is_object()) return false;
  std::uint64_t newest = history["versions"].back().value("number", std::uint64_t{0}), taken = 0;
  const std::int64_t began = monotonic();
  for (std::uint64_t k = 0; k < s.n(); ++k) {
    const nlohmann::json j{
        {"kind", "version"},
        {"rules", "op_type { name: \"" + s.text() + "\" held_most: " + std::to_string(100 + k) + " }"},
        {"base", newest},
        {"who", "ann"},
        {"why", "burst"},
        {"id", "burst-" + std::to_string(++proposals_)}};
    const auto said = nlohmann::json::parse(asked(who, "/accord/propose", j.dump()), nullptr, false);
    if (!said.is_object() || !said.contains("number")) continue;
    newest = said["number"], ++taken;
    known_.accepted[newest] = j["id"];
  }
  const auto ms = (monotonic() - began) / 1'000'000;
  if (std::getenv("SHOW")) std::printf("  [%lld ms]\n", static_cast<long long>(ms));
  std::printf("  %llu of %llu taken\n", static_cast<unsigned long long>(taken),
              static_cast<unsigned long long>(s.n()));
  return true;
}

// Datagrams that are none, of random bytes and up to 65,507 of them, and streams of such.
void Rig::noise(const fleet::Step& s) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  for (const int i : of(s.at(), s)) {
    const sockaddr_in to = address(kTalk + i);
    for (std::uint64_t k = 0; k < s.n(); ++k) {
      std::string bytes(k % 50 == 0 ? 65507 : chance_() % 300, ' ');
      for (char& c : bytes) c = static_cast<char>(chance_());
      sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&to), sizeof to);
      if (k % 100 == 99) run_for(2);
    }
    for (int k = 0; k < 5; ++k) {
      bufferevent* b = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_enable(b, EV_READ | EV_WRITE);
      bufferevent_socket_connect(b, reinterpret_cast<const sockaddr*>(&to), sizeof to);
      const std::string junk(5000, static_cast<char>(1 + k));
      bufferevent_write(b, junk.data(), junk.size());
      run_for(10);
      bufferevent_free(b);
    }
  }
  close(fd);
}

std::vector<int> Rig::everyone() const {
  std::vector<int> all;
  for (const auto& b : brokers_) all.push_back(b->number);
  return all;
}

// Told to the agents of these brokers.
void Rig::publish(int host, const std::string& phase, bool restarted, const std::vector<int>& who) {
  State next = catalogue_.rbegin()->second;
  const auto h = static_cast<std::size_t>(host);
  next.phase[h] = phase;
  if (phase == "in_service")
    drained_at_.erase(host);
  else
    drained_at_.try_emplace(host, monotonic());
  if (restarted) {
    timespec t{};
    clock_gettime(CLOCK_REALTIME, &t);
    next.up[h] =
        static_cast<std::uint64_t>(t.tv_sec) * 1000 + static_cast<std::uint64_t>(t.tv_nsec / 1000000);
  }
  const std::uint64_t revision = catalogue_.rbegin()->first + 1;
  catalogue_[revision] = std::move(next);
  for (const int i : who) {
    Agent& a = *agents_[static_cast<std::size_t>(i)];
    if (!a.silent) a.holds = revision, a.answer_due();
  }
}

std::uint64_t Rig::posted(const nlohmann::json& proposal) {
  std::vector<int> up;
  for (const auto& b : brokers_)
    if (b->pid > 0 && !b->stopped && !b->grounded) up.push_back(b->number);
  if (up.empty()) return 0;
  const int who = up[chance_() % up.size()];
  const auto said = nlohmann::json::parse(asked(who, "/accord/propose", proposal.dump()), nullptr, false);
  if (std::getenv("SHOW") && said.is_object() && said.contains("refused"))
    std::printf("  [refused: %s]\n", said["refused"].get<std::string>().c_str());
  return said.is_object() ? said.value("number", std::uint64_t{0}) : 0;
}

nlohmann::json Rig::works() const {
  const int l = leader();
  if (l < 0) return nlohmann::json::array();
  const auto j = nlohmann::json::parse(asked(l, "/upkeep"), nullptr, false);
  return j.is_object() && j.value("leads", false) ? j["works"] : nlohmann::json::array();
}

void Rig::count_holders() {
  const int hosts = static_cast<int>(hosts_.size());
  for (int shard = 0; shard < hosts; ++shard) {
    int left = 0;
    for (int k = 0; k < static_cast<int>(script_.replicas()); ++k) left += !out_.count((shard + k) % hosts);
    fewest_holders_ = std::min(fewest_holders_, left);
  }
}

void Rig::takes_off(const Machine& m, bool by_plan) {
  if (m.broker >= 0) {
    read_records();
    brokers_there_ += brokers_[static_cast<std::size_t>(m.broker)]->pid > 0;
    return;
  }
  Host& h = *hosts_[static_cast<std::size_t>(m.host)];
  h.die(), h.live(), h.off = true;
  if (by_plan) out_.insert(m.host), count_holders();
}

void Rig::brings_back(const Machine& m) {
  if (m.broker >= 0) return start(*brokers_[static_cast<std::size_t>(m.broker)]);
  hosts_[static_cast<std::size_t>(m.host)]->off = false;
  out_.erase(m.host);
  publish(m.host, "in_service", true, everyone());
}

void Rig::drains(int host) {
  out_.insert(host), count_holders();
  publish(host, "terminating", false, everyone());
}

void Rig::look_crew() {
  if (crew_) crew_->look(monotonic());
  if (blind_) blind_->look(monotonic());
}

// How long the works took, against their lengths one by one and shared out over as many as may be out at
// once.
void Rig::report_works() {
  struct Span {
    std::int64_t from = INT64_MAX, until = 0;
  };
  std::map<std::uint64_t, Span> spans;
  for (const Record& r : records_) {
    if (r.what != "work") continue;
    Span& s = spans[r.get("work")];
    if (r.say("step") == "draining") s.from = std::min(s.from, r.t);
    if (r.say("step") == "in service") s.until = s.until ? std::min(s.until, r.t) : r.t;
  }
  std::int64_t from = INT64_MAX, until = 0, sum = 0;
  for (const auto& [n, s] : spans)
    if (s.until) from = std::min(from, s.from), until = std::max(until, s.until), sum += s.until - s.from;
  if (until == 0) return;
  const double whole = static_cast<double>(until - from) / 1e9, all = static_cast<double>(sum) / 1e9;
  std::printf(
      "  [works: %zu in %.1f s; one by one %.1f s; shared out over %u at once %.1f s: %.2f times that]\n",
      spans.size(), whole, all, script_.at_once(), all / script_.at_once(), whole * script_.at_once() / all);
}

void Rig::timeline(int span_ms) const {
  std::map<std::int64_t, std::pair<int, int>> spans;  // served, all
  for (const Answer& a : answers_) {
    if (a.t < marked_at_) continue;
    auto& s = spans[(a.t - marked_at_) / 1'000'000 / span_ms];
    s.first += a.served, ++s.second;
  }
  int worst_served = 0, worst_all = 0, served = 0, all = 0;
  double worst = 2;
  std::string line;
  for (const auto& [at, s] : spans) {
    const double share = static_cast<double>(s.first) / s.second;
    if (share < worst) worst = share, worst_served = s.first, worst_all = s.second;
    served += s.first, all += s.second;
    char text[32];
    std::snprintf(text, sizeof text, " %.2f(%d)", share, s.first);
    line += text;
  }
  std::printf("  served by spans of %d ms:%s\n  in all %d of %d, %.4f; worst span %d of %d\n", span_ms,
              line.c_str(), served, all, all ? static_cast<double>(served) / all : 0, worst_served,
              worst_all);
}

void Rig::report() {
  known_.cells = static_cast<int>(script_.hosts()), known_.width = static_cast<int>(script_.replicas());
  known_.holders_least = script_.at_once() ? static_cast<int>(script_.holders_least()) : 0;
  const Audit a = audit(records_, known_);
  clean_ = a.longest_contradiction == 0 && !a.out_of_order && !a.unequal && !a.lost && !a.lists_back &&
           !a.past_grace && !a.at_work && !a.below_least && !doubled_ && !failed_;
  const std::int64_t stated = static_cast<std::int64_t>(script_.stated_ms()) * 1'000'000;
  if (std::getenv("SHOW"))
    std::printf(
        "  [contradiction %.3f ms, latest part %.3f ms, news %.3f ms, answered %llu whole %llu pushed back "
        "%llu failed %llu unanswered %llu]\n",
        static_cast<double>(a.longest_contradiction) / 1e6, static_cast<double>(a.latest) / 1e6,
        static_cast<double>(a.slowest_news) / 1e6, static_cast<unsigned long long>(answered_),
        static_cast<unsigned long long>(whole_), static_cast<unsigned long long>(pushed_back_),
        static_cast<unsigned long long>(failed_), static_cast<unsigned long long>(unanswered_));
  if (script_.voters() > 0)
    std::printf(
        "audit: contradicting versions for longer than the stated time: %s; none at all: %s; out of order "
        "%d, "
        "unequal %d, lost %d\n",
        a.longest_contradiction > stated ? "YES" : "no", a.longest_contradiction == 0 ? "yes" : "NO",
        a.out_of_order, a.unequal, a.lost);
  std::printf(
      "audit: lists back %d, parts past the grace %d; answers to nothing %llu, failed %llu; served: %s\n",
      a.lists_back, a.past_grace, static_cast<unsigned long long>(doubled_),
      static_cast<unsigned long long>(failed_), whole_ > 100 ? "yes" : "NO");
  if (script_.at_once() > 0)
    std::printf(
        "audit: machines handed over and back %d, parts that came to one at work %d, shards left with too "
        "few "
        "%d\n",
        a.works_done, a.at_work, a.below_least);
}

bool Rig::step(const fleet::Step& s) {
  if (s.has_say()) std::printf("%s\n", s.say().c_str());
  const std::string& verb = s.do_();
  const std::vector<int> at_brokers = s.has_do_() ? of(s.at(), s) : std::vector<int>{};
  const auto each = [&](const std::function<void(Broker&)>& what) {
    for (const int i : at_brokers) what(*brokers_[static_cast<std::size_t>(i)]);
  };
  const int host = static_cast<int>(s.host());
  const auto newest = [&] { return catalogue_.rbegin()->first; };
  const auto every = [&](const std::function<bool(const Broker&)>& holds) {
    return std::all_of(at_brokers.begin(), at_brokers.end(),
                       [&](int i) { return holds(*brokers_[static_cast<std::size_t>(i)]); });
  };
  if (verb.empty()) return true;
  if (verb == "start")
    return each([&](Broker& b) {
             if (!crew_ || !crew_->has_broker(b.number)) start(b);
           }),
           true;
  if (verb == "crew") {  // text names machines; each is off for n ms
    if (script_.at_once() > 0)
      crew_ = std::make_unique<Crew>(
          *this, machines(s.text(), static_cast<int>(hosts_.size()), static_cast<int>(brokers_.size())),
          static_cast<int>(s.n()));
    return true;
  }
  if (verb == "crew_asks")
    return await([&] { return !crew_ || crew_->all_asked(); }, "that all machines are asked for", 60000);
  if (verb == "crew_back") {
    const bool came = await([&] { return !crew_ || crew_->all_back(); }, "all machines back",
                            static_cast<int>(60 + 6 * hosts_.size()) * 1000);
    if (crew_ && !came) {
      std::printf("  only %d machines are back\n", crew_->back());
      for (const auto& w : works())
        std::printf("  work %s: %s\n", w["machine"].get<std::string>().c_str(), w.dump().c_str());
    }
    if (std::getenv("SHOW")) report_works();
    if (crew_)
      std::printf(
          "  brokers still there as their machine was handed over: %d; fewest holders left to a shard: %d; "
          "parts at what was off: %llu\n",
          brokers_there_, fewest_holders_, static_cast<unsigned long long>(parts_at_off_));
    if (crew_ && crew_->over_cold())
      std::printf("  WORKS OVER WHILE THEIR HOST WAS COLD: %d\n", crew_->over_cold());
    return came;
  }
  if (verb == "blind") {  // the plain way: text names hosts, `host` of them at once, each off for n ms
    blind_ = std::make_unique<BlindCrew>(*this, machines(s.text(), static_cast<int>(hosts_.size()), 0),
                                         static_cast<int>(s.host()), static_cast<int>(s.n()), 1000);
    if (!await([&] { return blind_->done(); }, "all machines back", 100000)) return false;
    std::printf("  fewest holders left to a shard: %d; parts at what was off: %llu\n", fewest_holders_,
                static_cast<unsigned long long>(parts_at_off_));
    return true;
  }
  if (verb == "crossing") {  // of what brokers sent since the mark, the share that left their zones
    std::uint64_t away = 0, all = 0;
    for (const int i : at_brokers)
      for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) {
        const auto k = parts_[host_name(h) + " b" + std::to_string(i)];
        all += k;
        if (zone_of_host(h) != home_of(i)) away += k;
      }
    std::printf("  crossed: %llu of %llu parts, %.4f\n", static_cast<unsigned long long>(away),
                static_cast<unsigned long long>(all),
                all ? static_cast<double>(away) / static_cast<double>(all) : 0);
    return true;
  }
  if (verb == "zone_in_force") {  // from now until all of them act on zone n being in the state of text
    if (script_.labels_only()) return true;
    const std::int64_t from = monotonic();
    const bool came = await(
        [&] {
          return every([&](const Broker& b) {
            const auto j = nlohmann::json::parse(asked(b.number, "/zones"), nullptr, false);
            const std::string zone = zone_name(static_cast<int>(s.n()));
            return j.is_object() && j["states"].contains(zone) &&
                   j["states"][zone].value("state", "") == s.text();
          });
        },
        "the table in force", 8000);
    std::printf("  %s %s for all after %lld ms\n", zone_name(static_cast<int>(s.n())).c_str(),
                s.text().c_str(), static_cast<long long>((monotonic() - from) / 1'000'000));
    return came || script_.voters() == 0;
  }
  if (verb == "peak_since") {  // the fullest second of any host since this was asked last
    int most = 0;
    for (const auto& h : hosts_) most = std::max(most, std::exchange(h->peak, 0));
    std::printf("  fullest second of a host: %d parts of %u\n", most, script_.host_rate());
    return true;
  }
  if (verb ==
      "after_drains") {  // parts that came to what drains, past the grace after anyone's agent was told
    int parts = 0, brokers = 0;
    std::int64_t latest = 0;
    std::set<std::string> who;
    for (const Arrival& a : known_.arrivals) {
      const auto it = drained_at_.find(std::stoi(a.node.substr(2)));
      if (it == drained_at_.end() || a.t <= it->second + known_.grace) continue;
      ++parts, latest = std::max(latest, a.t - it->second), who.insert(a.broker);
    }
    brokers = static_cast<int>(who.size());
    std::printf("  %d parts past the grace, of %d brokers, the last %lld ms after the first agent was told\n",
                parts, brokers, static_cast<long long>(latest / 1'000'000));
    return true;
  }
  if (verb == "timeline") return timeline(static_cast<int>(s.n())), true;
  if (verb == "kill") return each([&](Broker& b) { stop(b, SIGKILL); }), true;
  if (verb == "term") {
    each([&](Broker& b) {
      stop(b, SIGTERM);
      b.asked_to_end = b.pid > 0;
    });
    return await([&] { return every([](const Broker& b) { return b.pid == 0; }); }, "the end of a broker");
  }
  if (verb == "keys") return each([&](Broker& b) { write_keys(b, s.text()); }), true;
  if (verb == "hup") return each([&](Broker& b) { stop(b, SIGHUP); }), true;
  if (verb == "noise") return noise(s), true;
  if (verb == "burst") return burst(s);
  if (verb == "mute") return hosts_[s.host()]->mute = s.n() != 0, true;
  const auto in_zone = [&](const std::function<void(Host&)>& what) {
    for (std::size_t h = 0; h < hosts_.size(); ++h)
      if (script_.zones() && zone_of_host(static_cast<int>(h)) == static_cast<int>(s.n())) what(*hosts_[h]);
    return true;
  };
  if (verb == "host_dies") return hosts_[s.host()]->die(), true;
  if (verb == "host_lives") return hosts_[s.host()]->live(), true;
  if (verb == "host_slow") return hosts_[s.host()]->slow_ms = static_cast<int>(s.n()), true;
  if (verb == "await_work")  // n is at the step of text
    return await([&] { return step_of(s.n()) == s.text(); },
                 ("work " + std::to_string(s.n()) + " " + s.text()).c_str(), 40000);
  if (verb == "await_waits")  // n waits for something that has text in it
    return await(
        [&] {
          const int l = leader();
          const auto j = nlohmann::json::parse(l < 0 ? "" : asked(l, "/upkeep"), nullptr, false);
          if (j.is_object() && j.value("leads", false))
            for (const auto& w : j["works"])
              if (w["number"].get<std::uint64_t>() == s.n())
                return w["waits"].get<std::string>().find(s.text()) != std::string::npos ||
                       w["last"].get<std::string>().find(s.text()) != std::string::npos;
          return false;
        },
        s.text().c_str());
  if (verb == "await_ended")  // the process has left by itself
    return await([&] { return every([](const Broker& b) { return b.pid == 0; }); }, "the end of a broker");
  if (verb == "zone_dies") return in_zone([](Host& h) { h.die(); });
  if (verb == "zone_lives") return in_zone([](Host& h) { h.live(), h.slow_ms = 0, h.mute = false; });
  if (verb == "zone_cold") {  // they live again, started anew
    in_zone([](Host& h) { h.live(), h.slow_ms = 0, h.mute = false; });
    timespec t{};
    clock_gettime(CLOCK_REALTIME, &t);
    State next = catalogue_.rbegin()->second;
    for (std::size_t h = 0; h < hosts_.size(); ++h)
      if (zone_of_host(static_cast<int>(h)) == static_cast<int>(s.n()))
        next.up[h] =
            static_cast<std::uint64_t>(t.tv_sec) * 1000 + static_cast<std::uint64_t>(t.tv_nsec / 1000000);
    catalogue_[newest() + 1] = next;
    for (auto& a : agents_)
      if (!a->silent) a->holds = newest(), a->answer_due();
    return true;
  }
  if (verb == "hush") return hushed_ = s.n() != 0, true;  // as all go on, each asks in the same instant
  if (verb == "unlabelled") return unlabelled_.insert(at_brokers.begin(), at_brokers.end()), true;
  if (verb == "bytes_told")
    return std::printf("  bytes by zone as hosts counted them: %s\n",
                       crossing_told(at_brokers) ? "yes" : "NO"),
           true;
  if (verb == "bytes_within") return crossed_within_budget(s, at_brokers);
  if (verb == "zone_mute") return in_zone([](Host& h) { h.mute = true; });
  if (verb == "zone_slow")
    return in_zone([&](Host& h) { h.slow_ms = s.text().empty() ? 0 : std::stoi(s.text()); });
  if (verb == "zone_cut")
    return in_zone([&](Host& h) { h.cut.insert(at_brokers.begin(), at_brokers.end()); });
  if (verb == "zone_heals") return in_zone([](Host& h) { h.cut.clear(); });
  if (verb == "await_zone" ||
      verb == "await_region") {  // n is in the state of text, as the brokers act on it
    const std::string zone =
        verb == "await_zone" ? zone_name(static_cast<int>(s.n())) : "region/r" + std::to_string(s.n());
    // A state that passed while nobody looked has been: a busy machine looks seldom. And a zone that is ill
    // again on its way back waits for twice as long each time.
    read_records();
    for (auto& b : brokers_) b->zones_seen = b->zones;
    return await(
        [&] { return every([&](const Broker& b) { return b.zones_seen.count(zone + "=" + s.text()) > 0; }); },
        (zone + " " + s.text()).c_str(), 100000);
  }
  if (verb == "zone_parts") {  // of what these brokers sent since the mark, the share that went to zone n
    std::uint64_t there = 0, all = 0;
    for (const int i : at_brokers)
      for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) {
        const auto k = parts_[host_name(h) + " b" + std::to_string(i)];
        all += k;
        if (zone_of_host(h) == static_cast<int>(s.n())) there += k;
      }
    const double share = all ? static_cast<double>(there) / static_cast<double>(all) : 0;
    if (std::getenv("SHOW"))
      std::printf("  [%.1f%% of %llu]\n", 100 * share, static_cast<unsigned long long>(all));
    std::printf("  to %s: %s\n", zone_name(static_cast<int>(s.n())).c_str(),
                there == 0 && s.text() != "hardly any" ? "nothing"  // where chance decides between the two
                : share < 0.05                         ? "hardly any"
                : share < 0.4                          ? "some"
                                                       : "most");
    return true;
  }
  if (verb == "peaks") {  // the fullest second of any host since the start, against what it does in one
    int most = 0;
    for (const auto& h : hosts_) most = std::max(most, h->peak);
    if (std::getenv("SHOW")) std::printf("  [%d parts in a second]\n", most);
    std::printf("  a host was given more than it does: %s\n",
                most > static_cast<int>(script_.host_rate()) ? "YES" : "no");
    return true;
  }
  if (verb == "share_served") return check_share_served(s);
  // Since the mark, against what the hosts that live do, three parts a multiget; n: thousandths of that.
  // Unlike a share of the answers it doesn't hang on how soon those come again who were turned away.
  if (verb == "served_of_capacity") {
    int live = 0;
    for (const auto& h : hosts_) live += h->lives();
    int served = 0;
    for (const Answer& a : answers_) served += a.t >= marked_at_ && a.served;
    const double could =
        live * script_.host_rate() / 3.0 * static_cast<double>(monotonic() - marked_at_) / 1e9;
    if (std::getenv("SHOW")) std::printf("  [%d served, %.0f could be]\n", served, could);
    std::printf("  served of what the hosts left can do, at least %.1f%%: %s\n",
                static_cast<double>(s.n()) / 10,
                served * 1000 >= static_cast<double>(s.n()) * could ? "yes" : "NO");
    return true;
  }
  if (verb == "in_part") {  // since the last load began; n: ms within which
    std::printf("  answered in part: %s%s\n", in_part_ > before_in_part_ ? "some" : "none",
                in_part_ == before_in_part_ || s.n() == 0                      ? ""
                : slowest_part_ < static_cast<std::int64_t>(s.n()) * 1'000'000 ? ", in time"
                                                                               : ", LATE");
    return true;
  }
  if (verb == "replay") return trouble(s, [&](Trouble& t) { t.again = static_cast<int>(s.n()); }), true;
  if (verb == "stand") return each([&](Broker& b) { stop(b, SIGSTOP), b.stopped = true; }), true;
  if (verb == "go_on") return each([&](Broker& b) { stop(b, SIGCONT), b.stopped = false; }), true;
  if (verb == "wipe") {
    return each([&](Broker& b) {
             fs::remove_all(b.folder + "/store"), fs::create_directory(b.folder + "/store");
           }),
           true;
  }
  if (verb == "flip")  // one bit of what the store holds of `text`
    return each([&](Broker& b) {
             const std::string file = b.folder + "/store/accord.db";
             // Danger: free pages and cells hold what was kept before, and a journal left by the kill puts a
             // page back: a bit flipped there spoils nothing. So the store is written out anew first.
             sqlite3* db = nullptr;
             if (sqlite3_open(file.c_str(), &db) != SQLITE_OK ||
                 sqlite3_exec(db, "VACUUM", nullptr, nullptr, nullptr) != SQLITE_OK)
               std::printf("NOT to be opened: the store\n");
             sqlite3_close(db);
             std::ifstream in(file, std::ios::binary);
             std::string all{std::istreambuf_iterator<char>(in), {}};
             const auto place = all.find(s.text());
             if (place == std::string::npos)
               return static_cast<void>(std::printf("NOT in the store: %s\n", s.text().c_str()));
             all[place] = static_cast<char>(all[place] ^ 16);
             std::ofstream(file, std::ios::binary) << all;
           }),
           true;
  if (verb == "short") {  // the store cut off after n thousandths of it
    return each([&](Broker& b) {
             const auto size = fs::file_size(b.folder + "/store/accord.db");
             fs::resize_file(b.folder + "/store/accord.db", size * s.n() / 1000);
           }),
           true;
  }
  if (verb == "wall") {  // its wall clock is off by so many seconds, from now on; needs CAIRNHUB_WALL_LIB
    return each([&](Broker& b) {
             const std::int64_t off = std::stoll(s.text());
             const int fd = open((b.folder + "/wall").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
             if (fd < 0 || write(fd, &off, sizeof off) != sizeof off) std::printf("NOT set: a clock\n");
             close(fd);
           }),
           true;
  }
  if (verb == "full") return each([&](Broker& b) { b.full = s.n() != 0; }), true;
  if (verb == "cut") {
    trouble(s, [](Trouble& t) { t.cut = true; });
    const std::vector<int> to = of(s.to(), s);
    for (const int i : at_brokers)
      for (const int j : s.to_size() ? to : of({}, s))
        if (i != j && (s.to_size() || std::find(at_brokers.begin(), at_brokers.end(), j) == at_brokers.end()))
          links_.at({j, i})->trouble.cut = true;
    return true;
  }
  if (verb == "cut_one_way") return trouble(s, [](Trouble& t) { t.cut = true; }), true;
  if (verb == "heal") {
    for (auto& [pair, link] : links_) link->trouble = Trouble{};
    return true;
  }
  if (verb == "lose") return trouble(s, [&](Trouble& t) { t.lose = static_cast<double>(s.n()) / 100; }), true;
  if (verb == "twice")
    return trouble(s, [&](Trouble& t) { t.twice = static_cast<double>(s.n()) / 100; }), true;
  if (verb == "delay") return trouble(s, [&](Trouble& t) { t.delay_ms = static_cast<int>(s.n()); }), true;
  if (verb == "reorder") return trouble(s, [&](Trouble& t) { t.spread_ms = static_cast<int>(s.n()); }), true;
  if (verb == "trickle")
    return trouble(s, [&](Trouble& t) { t.bytes_a_tick = static_cast<int>(s.n()); }), true;
  if (verb == "break_after")
    return trouble(s, [&](Trouble& t) { t.break_after = static_cast<std::int64_t>(s.n()); }), true;
  if (verb == "silent")
    return each([&](Broker& b) { agents_[static_cast<std::size_t>(b.number)]->silent = true; }), true;
  if (verb == "speak") {
    return each([&](Broker& b) {
             Agent& a = *agents_[static_cast<std::size_t>(b.number)];
             a.silent = false, a.holds = newest(), a.answer_due();
           }),
           true;
  }
  if (verb == "lag") {  // goes back to an older revision, and says so
    return each([&](Broker& b) {
             Agent& a = *agents_[static_cast<std::size_t>(b.number)];
             a.silent = false, a.holds = s.n(), a.answer_due();
           }),
           true;
  }
  if (verb == "drain") return publish(host, "terminating", false, at_brokers), true;
  if (verb == "gone") return publish(host, "absent", false, at_brokers), true;
  if (verb == "ready") return publish(host, "in_service", s.n() != 0, at_brokers), true;
  if (verb == "await_lists")
    return await([&] { return every([&](const Broker& b) { return b.revision == newest(); }); },
                 "the newest list");
  if (verb == "await_known")
    return await(
        [&] {
          return every(
              [&](const Broker& b) { return b.withheld.count(host_name(static_cast<int>(s.host()))) != 0; });
        },
        "what takes nothing new");
  if (verb == "await_heard")  // at least one of them knows
    return await(
        [&] {
          return std::any_of(at_brokers.begin(), at_brokers.end(), [&](int i) {
            return brokers_[static_cast<std::size_t>(i)]->withheld.count(
                       host_name(static_cast<int>(s.host()))) != 0;
          });
        },
        "what one takes nothing new at");
  if (verb == "await_budget")  // of bytes that cross, as each acts on it
    return await(
        [&] {
          return every([&](const Broker& b) {
            const auto j = nlohmann::json::parse(asked(b.number, "/zones/crossing"), nullptr, false);
            return j.is_object() && !j["budgets"].empty() &&
                   static_cast<std::uint64_t>(j["budgets"][0]["bytes_a_second"].get<double>()) == s.n();
          });
        },
        "the budget");
  if (verb == "await_in_use")
    return await(
        [&] {
          return every(
              [&](const Broker& b) { return b.withheld.count(host_name(static_cast<int>(s.host()))) == 0; });
        },
        "its return to use");
  if (verb == "await_alive")
    return await([&] { return every([&](const Broker& b) { return b.alive.size() == s.n(); }); },
                 "who is alive");
  if (verb == "await_settled") return await([&] { return settled(s.n(), at_brokers); }, "all on one version");
  if (verb == "await_ground")
    return await([&] { return every([&](const Broker& b) { return b.grounded || b.until < monotonic(); }); },
                 "the ground");
  if (verb == "await_kept")
    return await([&] { return every([&](const Broker& b) { return b.ground >= s.n(); }); },
                 "the new ground at all");
  if (verb == "await_votes")  // each votes, and n do in all, none on its way in or out
    return await(
        [&] {
          return every([&](const Broker& b) {
            const auto j = nlohmann::json::parse(asked(b.number, "/accord/status"), nullptr, false);
            if (!j.is_object() || !j.value("votes", false) || j["voters"].size() != s.n()) return false;
            for (const auto& v : j["voters"])
              if (!v.value("votes", false)) return false;
            return true;
          });
        },
        "its vote");
  if (verb == "await_leader") return await([&] { return leader() >= 0; }, "a leader");
  if (verb == "await_record") {  // n in all of the kind that text names
    return await(
        [&] {
          return every([&](const Broker& b) {
            const auto it = b.seen.find(s.text());
            return it != b.seen.end() && it->second >= static_cast<int>(s.n());
          });
        },
        s.text().c_str());
  }
  if (verb == "load") return load(s.n());  // until so many more were answered
  if (verb == "load_in_part") {            // until so many more were answered in part
    before_answered_ = answered_, before_pushed_back_ = pushed_back_, before_in_part_ = in_part_;
    slowest_part_ = 0;
    return await([&] { return in_part_ >= before_in_part_ + s.n(); }, "answers in part");
  }
  if (verb == "wait_ms") {
    for (const std::int64_t until = monotonic() + static_cast<std::int64_t>(s.n()) * 1'000'000;
         monotonic() < until;) {
      run_for(std::min<int>(20, static_cast<int>((until - monotonic()) / 1'000'000) + 1));
      if (crew_ || blind_) read_records(), look_crew();
    }
    return true;
  }
  if (verb == "callers") {
    for (const int i : at_brokers)
      for (unsigned c = 0; c < script_.load(); ++c)
        callers_.push_back(std::make_unique<Caller>(*this, i, static_cast<int>(callers_.size())));
    return true;
  }
  if (verb == "mark") {
    if (script_.crossing()) {
      std::vector<int> running;
      for (const auto& b : brokers_)
        if (b->pid > 0 && !b->stopped) running.push_back(b->number);
      if (!await_crossing_at_rest(running, crossing_at_mark_)) return false;
    }
    parts_.clear(), marked_at_ = monotonic();
    before_answered_ = answered_, before_pushed_back_ = pushed_back_;
    return true;
  }
  if (verb == "offline") {  // as `run`, with its options in place of its address
    const int who = of(s.at(), s).front();
    const std::string line = program_ + " " + s.text() + " --options " +
                             brokers_[static_cast<std::size_t>(who)]->folder + "/options.txtpb";
    std::fflush(stdout);
    std::printf("  cairnhub %s\n", s.text().c_str());
    std::fflush(stdout);
    return std::system(line.c_str()) == 0;
  }
  if (verb == "parts") {
    for (const int i : at_brokers)
      std::printf(
          "  %s sent %s %s\n", ("b" + std::to_string(i)).c_str(),
          host_name(static_cast<int>(s.host())).c_str(),
          parts_[host_name(static_cast<int>(s.host())) + " b" + std::to_string(i)] > 0 ? "parts" : "nothing");
    return true;
  }
  if (verb == "refused") {  // of the answers since the last load began; on a slow machine the module pushes
                            // back a few
    const std::uint64_t all = answered_ - before_answered_, back = pushed_back_ - before_pushed_back_;
    std::printf("  pushed back: %s\n", 2 * back > all ? "most" : "few");
    return true;
  }
  if (verb == "dropped") {  // whether any message was dropped for the reason that text names
    for (const int i : at_brokers) {
      const auto j = nlohmann::json::parse(asked(i, "/peers"), nullptr, false);
      const auto n = j.is_object() ? j["talk"]["dropped"].value(s.text(), std::uint64_t{0}) : 0;
      std::printf("  b%d dropped %s: %s\n", i, s.text().c_str(), n > 0 ? "some" : "none");
    }
    return true;
  }
  if (verb == "run") return command(s);
  if (verb == "tell") {  // as `run`, but nobody waits for it
    const std::string rules = folder_ + "/told-" + std::to_string(++proposals_) + ".txtpb";
    std::ofstream(rules) << s.text().substr(s.text().find('|') + 1);
    const std::string line = program_ + " " + s.text().substr(0, s.text().find('|')) + " " + rules +
                             " --at " + at(kOperators + at_brokers.front()) + " > /dev/null 2>&1 &";
    return std::system(line.c_str()) == 0;
  }
  if (verb == "audit") return run_for(100), read_records(), report(), true;
  std::printf("no such verb: %s\n", verb.c_str());
  return false;
}

bool Rig::play() {
  for (const fleet::Step& s : script_.step()) {
    if (!step(s)) return false;
    std::fflush(stdout);
  }
  read_records();
  return true;
}

}  // namespace cairnhub::cluster
