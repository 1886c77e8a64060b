// Four nodes, one of which hangs. Looks for parts that the broker writes to it after their request's final
// answer: what a stopped process's connection already held in the system's buffers does not count.
#include "common.h"

using namespace review;

namespace {

constexpr int kBroker = 9000, kDiscovery = 8500, kNode = 9100, kNodes = 4;
constexpr int kRequests = 100;
constexpr double kHang = 3.0;

// What an Ethernet segment carries. Loopback would offer 64 KiB, and the system then buffers megabytes.
void like_ethernet(int fd) {
  const int segment = 1448, buffer = 16384;
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
}

// A node in a process of its own. For each frame it says its connection, where in the stream it begins, and
// the part; it answers after 0.15 s, one part at a time.
struct NodeLine {
  int port;  // of the broker's end
  long begins, ends;
  char letter;
  char part[64];
  double at;
};
[[noreturn]] void run_node(int door, int out) {
  struct Talk {
    int fd, port;
    std::string in;
    long taken = 0;
  };
  std::vector<Talk> talks;
  std::vector<std::pair<int, std::string>> to_answer;
  double answer_at = 0;
  for (;;) {
    std::vector<pollfd> waits{{door, POLLIN, 0}};
    for (const Talk& talk : talks) waits.push_back({talk.fd, POLLIN, 0});
    poll(waits.data(), waits.size(), 5);
    for (std::size_t i = 0; i < talks.size(); ++i) {
      if (!(waits[i + 1].revents & (POLLIN | POLLHUP | POLLERR))) continue;
      Talk& talk = talks[i];
      if (!receive(talk.fd, talk.in)) {
        close(talk.fd);
        talk.fd = -1;
      }
      std::string frame;
      while (take_frame(talk.in, frame)) {
        NodeLine line{talk.port, talk.taken, talk.taken + 4 + static_cast<long>(frame.size()),
                      frame[0],  "",         at()};
        talk.taken = line.ends;
        const std::vector<Part> parts = parts_of(frame);
        std::snprintf(line.part, sizeof line.part, "%s",
                      parts.empty() ? frame.c_str() + 1 : parts[0].name.c_str());
        if (write(out, &line, sizeof line) != sizeof line) _exit(1);
        for (const Part& part : parts) to_answer.emplace_back(talk.fd, part.name);
      }
    }
    std::erase_if(talks, [](const Talk& talk) { return talk.fd < 0; });
    if (waits[0].revents & POLLIN) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const int fd = accept4(door, reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC);
      if (fd >= 0) talks.push_back({fd, ntohs(from.sin_port), "", 0});
    }
    if (!to_answer.empty() && at() >= answer_at) {
      if (answer_at > 0) {
        send_all(to_answer.front().first, hit(to_answer.front().second, "5be2a07c"));
        to_answer.erase(to_answer.begin());
      }
      answer_at = to_answer.empty() ? 0 : at() + 0.08;
    }
  }
}

// Bytes in the system's buffers on the way from the broker's port to the node: unread at the node, or not yet
// there.
long bytes_in_system(int broker_port, int node_port) {
  std::ifstream table("/proc/net/tcp");
  long bytes = 0;
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned local = 0, remote = 0, local_at = 0, remote_at = 0, state = 0, unsent = 0, unread = 0;
    if (std::sscanf(line.c_str(), " %*d: %x:%x %x:%x %x %x:%x", &local_at, &local, &remote_at, &remote,
                    &state, &unsent, &unread) != 7) {
      continue;
    }
    if (remote_at == address(node_port).sin_addr.s_addr && static_cast<int>(local) == broker_port &&
        static_cast<int>(remote) == node_port) {
      bytes += unsent;
    }
    if (local_at == address(node_port).sin_addr.s_addr && static_cast<int>(local) == node_port &&
        static_cast<int>(remote) == broker_port) {
      bytes += unread;
    }
  }
  return bytes;
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  address(0);  // of this process, for its children too
  std::vector<Member> members;
  std::vector<pid_t> nodes;
  int lines[2];
  if (pipe(lines) != 0) finish(kCouldNotRun, "no pipe");
  for (int i = 0; i < kNodes; ++i) {
    members.push_back({"s-" + std::to_string(i), kNode + i, i, "in_service", "m"});
    int own[2] = {-1, -1};
    if (i == 0) {
      own[0] = lines[0], own[1] = lines[1];
    } else if (pipe(own) != 0) {
      finish(kCouldNotRun, "no pipe");
    }
    const int door = listen_at(kNode + i, 64, like_ethernet);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      run_node(door, own[1]);
    }
    close(door);
    if (i > 0) {
      const int fd = own[0];
      std::thread([fd] {
        char some[4096];
        while (read(fd, some, sizeof some) > 0) {
        }
      }).detach();
    }
    nodes.push_back(pid);
    children.push_back(pid);
  }
  std::mutex lock;
  std::vector<NodeLine> seen;  // by node s-0
  std::thread([&] {
    NodeLine line;
    while (read(lines[0], &line, sizeof line) == sizeof line) {
      const std::lock_guard<std::mutex> held(lock);
      seen.push_back(line);
    }
  }).detach();
  Agent agent(kDiscovery, members);
  start_broker(
      "b0",
      R"({"name":"b0","listen":")" + text(kBroker) + R"(","discovery":")" + text(kDiscovery) +
          R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{)" +
          R"("balancers":2,"tick":0.005,"classes":[{"name":"book","promise":2,"deadline":4,"late-share":0.3,)" +
          R"("effect":"single_shot"}],"family-info":{"positions":4,"ranges":4,"width":2,"need-by-class":[1],)" +
          R"("min-share":[1]},"ceilings":{"cancel":true,"second-copies":false,"try-limit":4,"multiplex":64,)" +
          R"("connect-timeout":0.25,"keepalive":15}}})",
      "");
  wait_ready(kBroker);
  const auto book = [](const std::string& name, const char* left, std::size_t bytes) {
    return ask(kBroker, "POST", "/book",
               "X-Txn: " + name + "\r\nX-Lane: book\r\nX-Remaining: " + left + "\r\n",
               R"({"buckets":[{"bucket":0,"part":1}],"body":")" + std::string(bytes, 'c') + "\"}", 8);
  };
  if (trouble) {
    kill(nodes[0], SIGSTOP);
    record("node s-0 hangs (SIGSTOP)");
  }
  const double hangs_until = at() + kHang;
  std::vector<Answer> answers(kRequests);
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      // Tries are given up after 60 to 100 % of the route timeout.
      answers[static_cast<std::size_t>(i)] = book("q" + std::to_string(i), i < 8 ? "4" : "2.4", 14500);
    });
    pause(0.008);
  }
  while (at() < hangs_until) pause(0.01);
  // What the system holds of each connection to s-0 was taken from the broker before the node goes on.
  std::vector<std::pair<int, long>> taken;
  if (trouble) {
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
      unsigned local = 0, remote = 0, local_at = 0, remote_at = 0;
      if (std::sscanf(line.c_str(), " %*d: %x:%x %x:%x", &local_at, &local, &remote_at, &remote) != 4)
        continue;
      if (remote_at != address(0).sin_addr.s_addr || static_cast<int>(remote) != kNode) continue;
      taken.emplace_back(static_cast<int>(local), bytes_in_system(static_cast<int>(local), kNode));
      record("broker's port %u to s-0: %ld bytes in the system's buffers", local, taken.back().second);
    }
    kill(nodes[0], SIGCONT);
    record("node s-0 goes on (SIGCONT)");
  }
  const double resumed = at();
  for (std::thread& client : clients) client.join();
  pause(1);
  for (int i = 0; i < kRequests; ++i) {
    const Answer& answer = answers[static_cast<std::size_t>(i)];
    record("q%d: sent %.3f, answered %d at %.3f", i, answer.began, answer.status, answer.ended);
  }
  int late = 0, unanswered = 0;
  for (const Answer& answer : answers) unanswered += answer.status == 0;
  const std::lock_guard<std::mutex> held(lock);
  for (const NodeLine& line : seen) {
    if (line.letter != 'A') continue;
    const Answer& answer = answers.at(static_cast<std::size_t>(std::atoi(line.part + 1)));
    long known = -1;
    for (const auto& [port, bytes] : taken) {
      if (port == line.port) known = bytes;
    }
    const bool written_later = trouble && line.at >= resumed - 0.02 && known >= 0 && line.begins >= known;
    record("s-0 reads part %s at %.3f, bytes %ld to %ld of its connection%s", line.part, line.at, line.begins,
           line.ends, written_later ? ", written after it went on" : "");
    if (!written_later || answer.status == 0 || answer.ended >= resumed) continue;
    ++late;
    record("part %s was written %.3f s or more after its client had the final answer %d", line.part,
           resumed - answer.ended, answer.status);
  }
  if (unanswered > 0 && !trouble) finish(kCouldNotRun, "requests without an answer");
  if (late > 0) finish(kBroken, "parts were sent after the final answer of their request");
  finish(kHeld, "no part was sent after the final answer of its request");
}
