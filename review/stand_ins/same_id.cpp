// A usual client is answered as soon as enough of its parts are in; one part is still out. Another client
// sends a request with that request's id and a body of its own. Looks whose value it gets.
#include "common.h"

using namespace review;

namespace {

constexpr int kBroker = 9000, kDiscovery = 8500, kNode = 9100, kNodes = 6, kRounds = 5;

// Makes the value of a part from the part's text. Node s-5 takes longer.
void serve_node(int node, int fd) {
  std::string in, frame;
  std::mutex writing;
  std::atomic<int> out = 0;
  do {
    while (take_frame(in, frame)) {
      for (const Part& part : parts_of(frame)) {
        record("s-%d runs part %s with text %s", node, part.name.c_str(), part.body.c_str());
        ++out;
        std::thread([&, part] {
          pause(node == 5 ? 0.8 : 0.2);
          {
            const std::lock_guard<std::mutex> held(writing);
            record("s-%d answers part %s: made-of-%s", node, part.name.c_str(), part.body.c_str());
            send_all(fd, hit(part.name, "made-of-" + part.body));
          }
          --out;
        }).detach();
      }
    }
  } while (receive(fd, in, 600));
  while (out > 0) pause(0.01);
  close(fd);
}

std::string head_of(const std::string& name, std::size_t length) {
  return "POST /stall-sample HTTP/1.1\r\nHost: x\r\nX-Txn: " + name +
         "\r\nX-Lane: stall-sample\r\nX-Remaining: 4\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  std::vector<Member> members;
  for (int i = 0; i < kNodes; ++i) {
    members.push_back({"s-" + std::to_string(i), kNode + i, i});
    const int door = listen_at(kNode + i);
    std::thread([door, i] {
      for (;;) {
        const int fd = accept4(door, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread(serve_node, i, fd).detach();
      }
    }).detach();
  }
  Agent agent(kDiscovery, members);
  const pid_t broker = start_broker(
      "b0",
      R"({"name":"b0","listen":")" + text(kBroker) + R"(","discovery":")" + text(kDiscovery) +
          R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{)" +
          R"("balancers":2,"tick":0.005,"classes":[{"name":"stall-sample","promise":1.5,"deadline":4,)" +
          R"("late-share":0.3,"effect":"free"}],"family-info":{"positions":6,"ranges":6,"width":1,)" +
          R"("need-by-class":[0.67],"min-share":[0.67]},"ceilings":{"cancel":false,"second-copies":true,)" +
          R"("try-limit":3,"multiplex":32,"connect-timeout":0.25,"keepalive":15}}})",
      "");
  wait_ready(kBroker);
  int foreign = 0, whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string name = "9b1f03aa5c7e2d4" + std::to_string(round);
    const std::string mine = "usual" + std::to_string(round), theirs = "other" + std::to_string(round);
    std::string list;
    for (int i = 0; i < kNodes; ++i) {
      list += (i ? "," : "") + std::string("{\"bucket\":") + std::to_string(i) + ",\"part\":0.166667}";
    }
    const std::string usual = "{\"buckets\":[" + list + "],\"body\":\"" + mine + "\"}";
    const std::string other = "{\"buckets\":[{\"bucket\":5,\"part\":1}],\"body\":\"" + theirs + "\"}";
    const int first = connect_to(kBroker), second = connect_to(kBroker);
    record("usual client asks %s: %s", name.c_str(), usual.c_str());
    send_all(first, head_of(name, usual.size()) + usual);
    pause(0.1);
    // The usual client's request is open. Written slowly, the other one is whole only later.
    const std::string used = trouble ? name : "8a" + name.substr(2);
    record("other client asks %s: %s", used.c_str(), other.c_str());
    send_all(second, head_of(used, other.size()) + other.substr(0, other.size() - 1));
    std::string in, head, body;
    if (!read_http(first, in, head, body, 5)) finish(kCouldNotRun, "the usual client got no answer");
    record("usual client gets %s: %s", head.substr(9, 3).c_str(), body.c_str());
    pause(0.1);
    send_all(second, other.substr(other.size() - 1));
    std::string other_in, other_head, other_body;
    const bool answered = read_http(second, other_in, other_head, other_body, 6);
    record("other client gets %s: %s", answered ? other_head.substr(9, 3).c_str() : "a close",
           other_body.c_str());
    if (answered && other_head.substr(9, 3) == "200") {
      ++whole;
      if (other_body.find("made-of-" + theirs) == std::string::npos) ++foreign;
    }
    close(first);
    close(second);
    pause(1);
    if (waitpid(broker, nullptr, WNOHANG) != 0) finish(kBroken, "the broker crashed");
  }
  if (!trouble && whole != kRounds) finish(kCouldNotRun, "a sound request was not served");
  record("%d of %d requests were served a value that was made for another client's request", foreign,
         kRounds);
  if (foreign > 0) finish(kBroken, "a client was served a value that was made for another client's request");
  finish(kHeld, "no client was served a value that was made for another's request");
}
