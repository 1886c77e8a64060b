// The connection to a host that speaks HTTP comes up late, and the host begins to drain meanwhile. Nothing
// new may reach it later than the grace after the broker was told.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr int kClients = 6;
constexpr double kGraceMs = 250 + 50;  // on sockets every time limit is 50 ms longer
constexpr double kLatestUpMs = 1500;   // a connection that comes up late does so within this

std::string answer_for(int block) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  const json hit{
      {"_index", "register"}, {"_shard", shard}, {"_id", "d"}, {"_score", 1.0}, {"_source", json::object()}};
  return http_response(
      200,
      json{
          {"took", 1},
          {"timed_out", false},
          {"_shard", shard},
          {"_shards", {{"total", 1}, {"successful", 1}, {"skipped", 0}, {"failed", 0}}},
          {"hits",
           {{"total", {{"value", 1}, {"relation", "eq"}}}, {"max_score", 1.0}, {"hits", json::array({hit})}}}}
          .dump());
}

// A sound host. While its door is shut, connections to it don't come up: its queue of them is full.
class Host {
 public:
  Host(std::string name, bool comes_up_late) : name_(std::move(name)), port_(free_port()) {
    door_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(door_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port_);
    if (bind(door_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(door_, comes_up_late ? 0 : 64) != 0) {
      throw CouldNotRun{"a host can't listen"};
    }
  }
  ~Host() {
    is_over_ = true;
    if (accepting_.joinable()) accepting_.join();
    for (std::thread& served : served_) served.join();
    close(door_);
  }
  int port() const { return port_; }
  void shut_door() {
    for (int i = 0; i < 3; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in at = loopback(port_);
      static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at));
      fillers_.emplace_back(fd);
      sleep_ms(20);
    }
    note("%s: connections to it come up late from now on", name_.c_str());
  }
  void open_door() {
    if (!fillers_.empty()) note("%s: connections to it come up again", name_.c_str());
    fillers_.clear();
    accepting_ = std::thread([this] {
      while (!is_over_) {
        pollfd p{door_, POLLIN, 0};
        if (poll(&p, 1, 5) <= 0) continue;
        const int fd = accept4(door_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) served_.emplace_back([this, fd] { serve(Socket(fd)); });
      }
    });
  }
  std::vector<double> began() const {
    const std::lock_guard guard(lock_);
    return began_;
  }

 private:
  void serve(Socket socket) {
    while (!is_over_) {
      const bool had_bytes = !socket.in().empty();
      const auto read = socket.read(20);
      if (read == Socket::Read::kEnd) return;
      if (read == Socket::Read::kNothing) continue;
      if (!had_bytes) {
        const std::lock_guard guard(lock_);
        began_.push_back(now_ms());
        note("  %s: the first byte of a search arrives", name_.c_str());
      }
      while (auto request = take_http(socket.in())) {
        note("  %s runs %s", name_.c_str(), request->first_line.c_str());
        if (!socket.write(answer_for(0))) return;
      }
    }
  }
  const std::string name_;
  const int port_;
  int door_ = -1;
  std::list<Socket> fillers_;
  std::atomic<bool> is_over_{false};
  std::thread accepting_;
  std::list<std::thread> served_;
  mutable std::mutex lock_;
  std::vector<double> began_;
};

bool rule_holds() {
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Member> members;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "s-" + std::to_string(i);
    hosts.push_back(std::make_unique<Host>(name, has_trouble() && i == 0));
    members.push_back({name, hosts.back()->port(), i, "in_service", "search"});
  }
  Host& late = *hosts[0];
  if (has_trouble()) late.shut_door();
  for (auto& host : hosts) {
    if (host.get() != &late || !has_trouble()) host->open_door();
  }
  Discovery discovery;
  discovery.set(1, members);
  const int listen = free_port();
  const json settings{
      {"balancers", 1},
      {"tick", 0.005},
      {"classes", json::array({{{"name", "lookup"}, {"promise", 1.5}, {"deadline", 4}, {"effect", "free"}}})},
      {"family-info",
       {{"positions", kHosts}, {"ranges", kHosts}, {"width", 3}, {"need-by-class", {1}}, {"min-share", {1}}}},
      {"ceilings",
       {{"cancel", true},
        {"second-copies", false},
        {"try-limit", 3},
        {"multiplex", 32},
        {"connect-timeout", 1.5},
        {"keepalive", 15}}}};
  write_file(folder / "config.json", config_text("n0", listen, discovery.port(), settings));
  write_file(
      folder / "options.txtpb",
      "search {\n  flavor: \"search\"\n  index { name: \"register\" blocks: 1 op_type: \"lookup\" }\n}\n");
  Process broker("the broker", environment("CASE_RUN"),
                 {{"RELAY_CONFIG", folder / "config.json"}, {"CAIRNHUB_OPTIONS", folder / "options.txtpb"}},
                 folder / "log");
  await_ready(listen);
  need(5000, "the broker never got the list", [&] { return discovery.told_at(1) > 0; });
  sleep_ms(300);

  const double began = now_ms();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([i, listen] {
      HttpClient client(listen);
      note("client %d searches", i);
      const auto answer =
          client.post("/register/_search", json{{"query", {{"match_all", json::object()}}}}.dump());
      note("client %d gets %s", i,
           answer ? (std::to_string(answer->status()) + " " + answer->body.substr(0, 160)).c_str()
                  : "nothing");
    });
  }
  sleep_ms(300);
  members[0].phase = "terminating";
  discovery.set(2, members);
  const bool was_told = wait_for(3000, [&] { return discovery.told_at(2) > 0; });
  const double told = discovery.told_at(2);
  if (was_told) note("the broker is told that s-0 drains");
  sleep_ms(300);
  if (has_trouble()) late.open_door();
  for (std::thread& client : clients) client.join();
  sleep_ms(500);
  if (!was_told) throw CouldNotRun{"the broker was never told"};
  if (!broker.is_running()) throw CouldNotRun{"the broker has ended"};
  bool is_broken = false;
  for (const double at : late.began()) {
    note("s-0: a search began %.0f ms after the broker was told of its drain", at - told);
    if (at - told <= kGraceMs) continue;
    if (at - began > kLatestUpMs) throw CouldNotRun{"the connection came up later than the pages allow"};
    is_broken = true;
  }
  return !is_broken;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
