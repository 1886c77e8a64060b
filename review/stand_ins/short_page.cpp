// Six hosts of an index in the API's shape, two for each block. One leaves out one of the hits that were
// asked for. Looks whether an answer that lacks a document is said to be whole.
#include "common.h"

using namespace review;

namespace {

constexpr int kBroker = 9000, kDiscovery = 8500, kHost = 9100, kHosts = 6, kSearches = 30, kSize = 10;

// The first documents of a block by `rank`: block b has those of rank b, b + 6, b + 12, ...; a hundred in
// all.
std::string block_answer(int block, bool with_total, bool leaves_one_out) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  std::string hits;
  for (int i = leaves_one_out ? 1 : 0; i < kSize; ++i) {
    const std::string rank = std::to_string(block + kHosts * i);
    hits += (hits.empty() ? "" : ",") + std::string(R"({"_index":"register","_id":"stall-)") + rank +
            R"(","_score":null,"_shard":")" + shard + R"(","_source":{"rank":)" + rank + R"(},"sort":[)" +
            rank + "]}";
  }
  return R"({"took":1,"timed_out":false,"_shard":")" + shard +
         R"(","_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{)" +
         (with_total ? R"("total":{"value":100,"relation":"eq"},)" : "") + R"("max_score":null,"hits":[)" +
         hits + "]}}";
}

std::atomic<int> left_out = 0;

void serve_host(int host, int fd) {
  std::string in, frame;
  do {
    while (take_frame(in, frame)) {
      for (const Part& part : parts_of(frame)) {
        const bool with_total = part.body.find("\"track_total_hits\":false") == std::string::npos;
        const bool leaves_one_out = trouble && host == 1;
        left_out += leaves_one_out;
        record("s-%d answers part %s%s", host, part.name.c_str(),
               leaves_one_out ? " and leaves a hit out" : "");
        send_all(fd, hit(part.name, block_answer(part.shard, with_total, leaves_one_out)));
      }
    }
  } while (receive(fd, in, 600));
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  std::vector<Member> members;
  for (int i = 0; i < kHosts; ++i) {
    members.push_back({"s-" + std::to_string(i), kHost + i, i});
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
          R"("late-share":0.1,"effect":"free"}],"family-info":{"positions":6,"ranges":6,"width":2,)" +
          R"("need-by-class":[1],"min-share":[1]},"ceilings":{"cancel":true,"second-copies":true,"try-limit":3,)" +
          R"("multiplex":32,"connect-timeout":0.25,"keepalive":15}}})",
      "search { index { name: \"register\" blocks: 6 op_type: \"stall-full\" } }\n");
  wait_ready(kBroker);
  int wrong = 0, right = 0, said = 0;
  for (int i = 0; i < kSearches; ++i) {
    const std::string search =
        R"({"query":{"match_all":{}},"sort":[{"rank":"asc"}],"size":10,"track_total_hits":false})";
    record("client sends search %d: %s", i, search.c_str());
    const Answer answer =
        ask(kBroker, "POST", "/register/_search", "Content-Type: application/json\r\n", search);
    const bool whole = answer.status == 200 && answer.body.find("\"failed\":0") != std::string::npos &&
                       answer.body.find("\"timed_out\":false") != std::string::npos;
    std::string ranks;
    bool complete = true;
    for (int rank = 0; rank < kSize; ++rank) {
      const bool there = answer.body.find("\"stall-" + std::to_string(rank) + "\"") != std::string::npos;
      complete = complete && there;
      if (!there) ranks += " stall-" + std::to_string(rank);
    }
    record("search %d: status %d, %s; lacks%s", i, answer.status, whole ? "said to be whole" : "not whole",
           complete ? " nothing" : ranks.c_str());
    if (i == 0) record("  %s", answer.body.substr(0, 300).c_str());
    ++(!whole ? said : complete ? right : wrong);
  }
  record("whole and right: %d; whole and wrong: %d; not whole: %d; answers with a hit left out: %d", right,
         wrong, said, left_out.load());
  if (trouble && left_out == 0) finish(kCouldNotRun, "the host that leaves hits out was never asked");
  if (!trouble && right != kSearches) finish(kCouldNotRun, "sound hosts, and not all answers are whole");
  if (wrong > 0) finish(kBroken, "answers that lack a document are said to be whole");
  finish(kHeld, "no answer that lacks a document is said to be whole");
}
