// Two clients search for one market each. Hosts speak HTTP, and send one answer in twenty a second time right
// behind. Looks whether a whole answer holds the other market's documents.
#include "common.h"

using namespace review;

namespace {

constexpr int kBroker = 9000, kDiscovery = 8500, kHost = 9100, kHosts = 4, kSearches = 200, kEvery = 20;

std::string block_answer(int block, const std::string& market) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  std::string hits;
  for (int i = 0; i < 3; ++i) {
    hits += (i ? "," : "") + std::string(R"({"_index":"register","_id":")") + market + "-" +
            std::to_string(block) + "-" + std::to_string(i) + R"(","_score":1.0,"_shard":")" + shard +
            R"(","_source":{"market":")" + market + R"("}})";
  }
  return R"({"took":1,"timed_out":false,"_shard":")" + shard +
         R"(","_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":3,)" +
         R"("relation":"eq"},"max_score":1.0,"hits":[)" + hits + "]}}";
}

std::atomic<int> answers = 0, copies = 0;

void serve_host(int host, int fd) {
  std::string in, head, body;
  while (read_http(fd, in, head, body, 600)) {
    const auto block = head.find("_shards:");
    if (block == std::string::npos) break;
    const std::string market = body.find("north") != std::string::npos ? "north" : "south";
    const std::string answer = http_answer(block_answer(std::atoi(head.c_str() + block + 8), market));
    const bool twice = trouble && ++answers % kEvery == 0;
    copies += twice;
    record("s-%d runs a search for market %s and answers it%s", host, market.c_str(), twice ? " twice" : "");
    if (!send_all(fd, twice ? answer + answer : answer)) break;
  }
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  std::vector<Member> members;
  for (int i = 0; i < kHosts; ++i) {
    members.push_back({"s-" + std::to_string(i), kHost + i, i, "in_service", "s"});
    const int door = listen_at(kHost + i);
    std::thread([door, i] {
      for (;;) {
        const int fd = accept4(door, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread(serve_host, i, fd).detach();
      }
    }).detach();
  }
  Agent agent(kDiscovery, members);
  start_broker(
      "b0",
      R"({"name":"b0","listen":")" + text(kBroker) + R"(","discovery":")" + text(kDiscovery) +
          R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{)" +
          R"("balancers":2,"tick":0.005,"classes":[{"name":"stall-full","promise":1.5,"deadline":3,)" +
          R"("late-share":0.1,"effect":"free"}],"family-info":{"positions":4,"ranges":4,"width":2,)" +
          R"("need-by-class":[1],"min-share":[1]},"ceilings":{"cancel":true,"second-copies":true,"try-limit":3,)" +
          R"("multiplex":32,"connect-timeout":0.25,"keepalive":15}}})",
      "search { flavor: \"s\" index { name: \"register\" blocks: 4 op_type: \"stall-full\" } }\n");
  wait_ready(kBroker);
  std::atomic<int> whole = 0, foreign = 0;
  std::vector<std::thread> clients;
  for (const std::string market : {"north", "south"}) {
    clients.emplace_back([&, market] {
      const std::string other = market == "north" ? "south" : "north";
      for (int i = 0; i < kSearches; ++i) {
        record("client of market %s sends search %d", market.c_str(), i);
        const Answer answer = ask(kBroker, "POST", "/register/_search", "Content-Type: application/json\r\n",
                                  R"({"query":{"term":{"market":")" + market + R"("}},"size":20})", 5);
        const bool is_whole = answer.status == 200 && answer.body.find("\"failed\":0") != std::string::npos;
        const bool is_foreign = is_whole && answer.body.find("\"_id\":\"" + other) != std::string::npos;
        whole += is_whole;
        foreign += is_foreign;
        record("client of market %s: %d, %s%s", market.c_str(), answer.status,
               is_whole ? "whole" : "not whole",
               is_foreign ? (", with documents of market " + other).c_str() : "");
        if (is_foreign && foreign <= 2) record("  %s", answer.body.substr(0, 700).c_str());
        pause(0.003);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  record("searches: %d; whole: %d; of these with the other market's documents: %d; answers sent twice: %d",
         2 * kSearches, whole.load(), foreign.load(), copies.load());
  if (whole == 0 || (trouble && copies == 0)) finish(kCouldNotRun, "nothing to judge");
  if (!trouble && whole < 2 * kSearches) finish(kCouldNotRun, "sound hosts, and not all answers are whole");
  if (foreign > 0) finish(kBroken, "whole answers hold another search's documents");
  finish(kHeld, "no whole answer holds another search's documents");
}
