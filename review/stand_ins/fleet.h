// A fleet of brokers that agree, with upkeep, before six hosts of one index.
#pragma once
#include "common.h"

namespace review {

constexpr int kClients = 9000, kTalk = 9200, kOperators = 9300, kAgents = 8500, kHosts = 9100, kHostCount = 6;

inline std::string block_answer(int block) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  return R"({"took":1,"timed_out":false,"_shard":")" + shard +
         R"(","_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,)" +
         R"("relation":"eq"},"max_score":null,"hits":[]}})";
}

// The text of a member of a JSON object, for texts without escapes; the first of that name.
inline std::string member(const std::string& json, const std::string& name) {
  const auto found = json.find("\"" + name + "\":\"");
  if (found == std::string::npos) return "";
  const auto from = found + name.size() + 4;
  return json.substr(from, json.find('"', from) - from);
}

// Hosts that answer at once; s-0 keeps one part for a time.
class HeldPart {
 public:
  explicit HeldPart(double held_for) : held_for_(held_for) {
    for (int i = 0; i < kHostCount; ++i) {
      const int door = listen_at(kHosts + i);
      std::thread([this, door, i] {
        for (;;) {
          const int fd = accept4(door, nullptr, nullptr, SOCK_CLOEXEC);
          if (fd >= 0) std::thread([this, i, fd] { serve(i, fd); }).detach();
        }
      }).detach();
    }
  }
  // Sends searches to a broker until s-0 keeps a part of one.
  void await(int broker) {
    {
      const std::lock_guard<std::mutex> held(lock_);
      keeps_next_ = true;
      over_ = false;
      name_.clear();
    }
    for (int i = 0; i < 100; ++i) {
      std::thread([broker] {
        const Answer answer = ask(kClients + broker, "POST", "/register/_search",
                                  "Content-Type: application/json\r\n", "{}", 30);
        record("client of b%d: a search of %.2f s ends with status %d", broker, answer.ended - answer.began,
               answer.status);
      }).detach();
      pause(0.02);
      const std::lock_guard<std::mutex> held(lock_);
      if (!name_.empty()) return;
    }
    finish(kCouldNotRun, "s-0 was never asked");
  }
  bool is_over() {
    const std::lock_guard<std::mutex> held(lock_);
    return over_;
  }
  // What s-0 was told of the part's time, and how long it has had the part.
  std::string list() {
    const std::lock_guard<std::mutex> held(lock_);
    return list_;
  }
  double age() {
    const std::lock_guard<std::mutex> held(lock_);
    return at() - since_;
  }

 private:
  void end(const char* why) {
    if (name_.empty() || over_) return;
    over_ = true;
    record("s-0 no longer has part %s: %s", name_.c_str(), why);
  }
  void serve(int host, int fd) {
    std::string in, frame, mine;
    for (;;) {
      while (take_frame(in, frame)) {
        const std::lock_guard<std::mutex> held(lock_);
        if (frame[0] == 'B' && !mine.empty() && frame.substr(1) == mine) end("given up by its broker");
        for (const Part& part : parts_of(frame)) {
          if (host == 0 && keeps_next_ && name_.empty()) {
            mine = name_ = part.name;
            shard_ = part.shard;
            list_ = part.list;
            since_ = at();
            record("s-0 begins part %s, its broker waits %s ms", part.name.c_str(), part.list.c_str());
            continue;
          }
          record("s-%d runs part %s", host, part.name.c_str());
          send_all(fd, hit(part.name, block_answer(part.shard)));
        }
      }
      pollfd waits{fd, POLLIN, 0};
      if (poll(&waits, 1, 20) > 0 && !receive(fd, in)) break;
      const std::lock_guard<std::mutex> held(lock_);
      if (!mine.empty() && !over_ && at() >= since_ + held_for_) {
        send_all(fd, hit(mine, block_answer(shard_)));
        end("answered");
      }
    }
    const std::lock_guard<std::mutex> held(lock_);
    if (!mine.empty()) end("its connection has ended");
    close(fd);
  }
  const double held_for_;
  std::mutex lock_;
  bool keeps_next_ = false, over_ = false;
  std::string name_, list_;
  int shard_ = 0;
  double since_ = 0;
};

class Fleet {
 public:
  // The first three brokers vote.
  Fleet(int count, int search_timeout_ms) : count_(count), search_timeout_ms_(search_timeout_ms) {
    std::ofstream(folder + "/key") << "1 " << std::string(64, 'a') << "\n";
    chmod((folder + "/key").c_str(), 0600);
    std::vector<Member> members;
    for (int i = 0; i < kHostCount; ++i) members.push_back({"s-" + std::to_string(i), kHosts + i, i});
    for (int i = 0; i < count_; ++i) {
      agents_.push_back(std::make_unique<Agent>(kAgents + i, members));
      std::ofstream(options_file(i)) << options(i);
      if (i >= kVoters) continue;
      std::filesystem::create_directory(folder + "/store" + std::to_string(i));
      if (!run("accord init", i)) finish(kCouldNotRun, "accord init fails");
    }
    for (int i = 0; i < count_; ++i) {
      const std::string n = std::to_string(i);
      pids_.push_back(start_broker(
          "b" + n,
          R"({"name":"b)" + n + R"(","listen":")" + text(kClients + i) + R"(","discovery":")" +
              text(kAgents + i) + R"(","seed":"8c1f30d27a5be96)" + n +
              R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":)" +
              std::to_string(count_) +
              R"(,"tick":0.005,"classes":[{"name":"lookup","promise":1.5,"deadline":2,"late-share":0.3,)" +
              R"("effect":"free"}],"family-info":{"positions":6,"ranges":6,"width":3,"need-by-class":[1],)" +
              R"("min-share":[1]},"rules":{"cold":1,"cold-from":0.2,"fall-multiple":2,"overload-for":2},)" +
              R"("ceilings":{"cancel":true,"second-copies":false,"try-limit":4,"multiplex":32,)" +
              R"("connect-timeout":0.25,"keepalive":15}}})",
          options(i)));
    }
    for (int i = 0; i < count_; ++i) wait_ready(kClients + i);
  }
  std::string options_file(int broker) const { return folder + "/b" + std::to_string(broker) + ".txtpb"; }
  // One of the program's sub-commands. @return whether it ended with 0
  bool run(const std::string& command, int broker) const {
    return std::system((root + "/build/cairnhub " + command + " --options " + options_file(broker) +
                        " >/dev/null 2>&1")
                           .c_str()) == 0;
  }
  std::string operators(int broker, const std::string& path) const {
    return ask(kOperators + broker, "GET", path, "", "", 1).body;
  }
  // The broker that says it leads, or -1 after a while. `but`: isn't asked.
  int leader(int but = -1) const {
    for (int tries = 0; tries < 200; ++tries) {
      for (int i = 0; i < kVoters; ++i) {
        if (i != but && operators(i, "/accord/status").find("\"leads\":true") != std::string::npos) return i;
      }
      pause(0.05);
    }
    return -1;
  }
  pid_t pid(int broker) const { return pids_[static_cast<std::size_t>(broker)]; }
  static constexpr int kVoters = 3;

 private:
  std::string options(int broker) const {
    const auto name = [](int i) { return "b" + std::to_string(i); };
    std::string out = "search { index { name: \"register\" blocks: 6 op_type: \"lookup\"" +
                      (search_timeout_ms_ ? " timeout_ms: " + std::to_string(search_timeout_ms_) : "") +
                      " } }\n";
    out += "fleet {\n  name: \"" + name(broker) + "\"\n  listen: \"" + text(kTalk + broker) +
           "\"\n  key_file: \"" + folder + "/key\"\n  operators: \"" + text(kOperators + broker) + "\"\n";
    for (int i = 0; i < count_; ++i) {
      if (i != broker) out += "  peer { name: \"" + name(i) + "\" address: \"" + text(kTalk + i) + "\" }\n";
    }
    out += "  accord {\n    stated_time_ms: 1000\n";
    if (broker < kVoters) out += "    folder: \"" + folder + "/store" + std::to_string(broker) + "\"\n";
    for (int i = 0; i < kVoters; ++i) out += "    voter: \"" + name(i) + "\"\n";
    return out + "  }\n  upkeep { holders_least: 2 }\n}\n";
  }
  int count_, search_timeout_ms_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<pid_t> pids_;
};

}  // namespace review
