// One client sends one _msearch; hosts give sound answers. Looks at the broker's memory.
#include "common.h"

using namespace review;

namespace {

constexpr int kBroker = 9000, kDiscovery = 8500, kHost = 9100, kHosts = 2, kMemoryMb = 64;

// What a host of the index says to a search for ten documents.
std::string block_answer(int block, const std::string& filler) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  std::string hits;
  for (int i = 0; i < 10; ++i) {
    hits += (i ? "," : "") + std::string(R"({"_index":"register","_id":"s)") + std::to_string(block) + "-" +
            std::to_string(i) + R"(","_score":1.0,"_shard":")" + shard + R"(","_source":{"text":")" + filler +
            R"("}})";
  }
  return R"({"took":1,"timed_out":false,"_shard":")" + shard +
         R"(","_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":10,)" +
         R"("relation":"eq"},"max_score":1.0,"hits":[)" + hits + "]}}";
}

void serve_host(int fd, const std::string& filler) {
  std::string in, head, body;
  while (read_http(fd, in, head, body, 600)) {
    const auto block = head.find("_shards:");
    if (block == std::string::npos) break;
    const std::string answer = block_answer(std::atoi(head.c_str() + block + 8), filler);
    record("a host runs a search of block %d and answers with %zu bytes", std::atoi(head.c_str() + block + 8),
           answer.size());
    if (!send_all(fd, http_answer(answer))) break;
  }
  close(fd);
}

// Memory that no other process shares: what counts towards the limit without any doubt.
long own_kb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("RssAnon:", 0) == 0) return std::atol(line.c_str() + 8);
  }
  return -1;
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  const std::string filler(20000, 'x');
  std::vector<Member> members;
  for (int i = 0; i < kHosts; ++i) {
    members.push_back({"s-" + std::to_string(i), kHost + i, i, "in_service", "s"});
    const int door = listen_at(kHost + i);
    std::thread([door, &filler] {
      for (;;) {
        const int fd = accept4(door, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread(serve_host, fd, filler).detach();
      }
    }).detach();
  }
  Agent agent(kDiscovery, members);
  const pid_t broker = start_broker(
      "b0",
      R"({"name":"b0","listen":")" + text(kBroker) + R"(","discovery":")" + text(kDiscovery) +
          R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" + std::to_string(kMemoryMb) +
          R"(,"sockets":1024},"settings":{"balancers":2,"tick":0.005,"classes":[{"name":"lookup","promise":1.5,)" +
          R"("deadline":4,"late-share":0.3,"effect":"free"}],"family-info":{"positions":2,"ranges":2,"width":2,)" +
          R"("need-by-class":[1],"min-share":[1]},"ceilings":{"cancel":true,"second-copies":true,"try-limit":3,)" +
          R"("multiplex":32,"connect-timeout":0.25,"keepalive":15}}})",
      "search { flavor: \"s\" index { name: \"register\" blocks: 1 op_type: \"lookup\" } }\n");
  wait_ready(kBroker);
  const long before = own_kb(broker);
  std::atomic<long> peak = before;
  std::thread([&peak, broker] {
    for (;;) {
      peak = std::max(peak.load(), own_kb(broker));
      pause(0.002);
    }
  }).detach();
  const int items = trouble ? 150 : 5;
  std::string body;
  for (int i = 0; i < items; ++i) body += "{}\n{}\n";
  record("client sends an _msearch of %d items, {} and {} each", items);
  const Answer answer =
      ask(kBroker, "POST", "/register/_msearch", "Content-Type: application/x-ndjson\r\n", body);
  int whole = 0;
  for (std::size_t i = 0; (i = answer.body.find("\"failed\":0", i)) != std::string::npos; ++i) ++whole;
  record("_msearch of %d items, %zu bytes: status %d, %zu bytes, %d whole items, in %.2f s", items,
         body.size(), answer.status, answer.body.size(), whole, answer.ended - answer.began);
  record("memory of the broker's own: %ld kB before, %ld kB at most; the limit is %d kB", before, peak.load(),
         kMemoryMb * 1024);
  if (before <= 0) finish(kCouldNotRun, "the broker's memory can't be read");
  if (peak > kMemoryMb * 1024) finish(kBroken, "the broker went over memory_mb, and is killed for it");
  finish(kHeld, "the broker stayed within memory_mb");
}
