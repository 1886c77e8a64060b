// Two hosts of an index speak HTTP. Connections to one come up late, and the list says meanwhile that it
// drains. Looks whether a search is sent to it later than the grace after that was told.
#include "common.h"

using namespace review;

namespace {

constexpr int kBroker = 9000, kDiscovery = 8500, kHost = 9100, kSearches = 8;
constexpr double kGrace = 0.5 + 0.05;  // 500 ms, and 50 ms on sockets

std::string block_answer(int block) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  return R"({"took":1,"timed_out":false,"_shard":")" + shard +
         R"(","_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,)" +
         R"("relation":"eq"},"max_score":null,"hits":[]}})";
}

std::mutex lock;
std::vector<double> searches_at[2];  // when the first byte of each search came, by host

void serve_host(int host, int fd) {
  std::string in, head, body;
  for (;;) {
    if (in.empty() && !receive(fd, in, 600)) break;
    const double first_byte_at = at();
    if (!read_http(fd, in, head, body, 5)) break;
    record("host s-%d: a search, first byte at %.3f", host, first_byte_at);
    {
      const std::lock_guard<std::mutex> held(lock);
      searches_at[host].push_back(first_byte_at);
    }
    pause(0.03);
    if (!send_all(fd, http_answer(block_answer(0)))) break;
  }
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  std::vector<Member> members;
  int doors[2];
  std::atomic<bool> accepts = !trouble;
  for (int i = 0; i < 2; ++i) {
    members.push_back({"s-" + std::to_string(i), kHost + i, i, "in_service", "s"});
    doors[i] = listen_at(kHost + i, i == 0 ? 0 : 64);
    std::thread([&, i] {
      for (;;) {
        while (i == 0 && !accepts) pause(0.002);
        const int fd = accept4(doors[i], nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread(serve_host, i, fd).detach();
      }
    }).detach();
  }
  // A host whose queue of connections is full doesn't answer new ones; they come up when it has room again.
  std::vector<int> fill;
  if (trouble) {
    for (int i = 0; i < 2; ++i) {
      fill.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      const sockaddr_in to = address(kHost);
      static_cast<void>(connect(fill.back(), reinterpret_cast<const sockaddr*>(&to), sizeof to));
    }
    record("s-0 takes no new connections");
  }
  Agent agent(kDiscovery, members);
  start_broker(
      "b0",
      R"({"name":"b0","listen":")" + text(kBroker) + R"(","discovery":")" + text(kDiscovery) +
          R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{)" +
          R"("balancers":2,"tick":0.005,"classes":[{"name":"lookup","promise":2,"deadline":4,"late-share":0.3,)" +
          R"("effect":"free"}],"family-info":{"positions":2,"ranges":2,"width":2,"need-by-class":[1],)" +
          R"("min-share":[1]},"ceilings":{"cancel":true,"second-copies":false,"try-limit":4,"multiplex":32,)" +
          R"("connect-timeout":0.25,"keepalive":15}}})",
      "search { flavor: \"s\" index { name: \"register\" blocks: 1 op_type: \"lookup\" } }\n");
  wait_ready(kBroker);
  std::vector<std::thread> clients;
  std::vector<Answer> answers(kSearches);
  for (int i = 0; i < kSearches; ++i) {
    clients.emplace_back([&, i] {
      answers[static_cast<std::size_t>(i)] =
          ask(kBroker, "POST", "/register/_search", "Content-Type: application/json\r\n", "{}", 10);
    });
    pause(0.005);
  }
  pause(0.06);
  agent.set_phase("s-0", "terminating");
  double told = 0;
  while ((told = agent.told_at()) == 0) {
    if (at() > 10) finish(kCouldNotRun, "the list was never asked for");
    pause(0.001);
  }
  record("the broker was told at %.3f that s-0 drains", told);
  pause(0.2);
  for (const int fd : fill) close(fd);
  accepts = true;
  if (trouble) record("s-0 takes connections again");
  for (std::thread& client : clients) client.join();
  pause(2);
  for (const Answer& answer : answers) {
    record("search sent %.3f, answered %d at %.3f", answer.began, answer.status, answer.ended);
  }
  const std::lock_guard<std::mutex> held(lock);
  if (searches_at[0].empty() && searches_at[1].empty()) finish(kCouldNotRun, "no host was asked");
  int late = 0;
  for (const double sent : searches_at[0]) {
    if (sent <= told + kGrace) continue;
    ++late;
    record("a search came to s-0 %.3f s after the broker was told that it drains", sent - told);
  }
  if (late > 0) finish(kBroken, "searches were sent to a draining host after the grace");
  finish(kHeld, "no search was sent to the draining host after the grace");
}
