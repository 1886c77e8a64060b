// What the cases share: addresses, a record, brokers started as the deploy file says, a discovery agent, an
// HTTP client and framed connections.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double seconds_now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}
inline const double began = seconds_now();
inline double at() { return seconds_now() - began; }
inline void pause(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

inline std::FILE* record_file = nullptr;
inline std::mutex record_lock;
inline void record(const char* form, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* form, ...) {
  const std::lock_guard<std::mutex> held(record_lock);
  va_list arguments;
  va_start(arguments, form);
  std::fprintf(record_file, "%8.3f ", at());
  std::vfprintf(record_file, form, arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
  va_end(arguments);
}

inline std::vector<pid_t> children;  // ended by finish()
inline std::string folder;           // temporary

// Ends every process that the case started, says the verdict and exits.
[[noreturn]] inline void finish(int code, const char* why) {
  for (const pid_t pid : children) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  record("%s: %s", code == kHeld ? "HELD" : code == kBroken ? "BROKEN" : "COULD NOT RUN", why);
  std::printf("%s: %s\n", code == kHeld ? "held" : code == kBroken ? "broken" : "could not run", why);
  std::fflush(stdout);
  std::error_code ignored;
  if (!std::getenv("KEEP")) std::filesystem::remove_all(folder, ignored);
  std::_Exit(code);
}

// Arguments: the root of the checkout, the folder of the case.
inline std::string root;
inline bool trouble = true;
inline void set_up(int argc, char** argv) {
  if (argc < 3) std::_Exit(kCouldNotRun);
  root = argv[1];
  record_file = std::fopen((std::string(argv[2]) + "/record.txt").c_str(), "w");
  if (!record_file) std::_Exit(kCouldNotRun);
  const char* said = std::getenv("TROUBLE");
  trouble = !said || std::string(said) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  char made[] = "/tmp/cairnhub-review-XXXXXX";
  if (!mkdtemp(made)) std::_Exit(kCouldNotRun);
  folder = made;
  std::thread([] {
    pause(110);
    finish(kCouldNotRun, "longer than 110 seconds");
  }).detach();
  record("trouble %s", trouble ? "on" : "off");
}

// An address of this process alone, so that cases can run side by side.
inline sockaddr_in address(int port) {
  static const int self = getpid();
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(127u << 24 | (96u + (self >> 16 & 31)) << 16 | (self & 0xffff));
  return to;
}
inline std::string text(int port) {
  char ip[INET_ADDRSTRLEN];
  const sockaddr_in to = address(port);
  inet_ntop(AF_INET, &to.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(port);
}

inline int listen_at(int port, int backlog = 1024, const std::function<void(int)>& prepare = {}) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (prepare) prepare(fd);
  const sockaddr_in to = address(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(fd, backlog) != 0) {
    finish(kCouldNotRun, "no address to listen at");
  }
  return fd;
}
inline int connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = address(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
  close(fd);
  return -1;
}
inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}
// Appends what comes. False at the end of the connection, or when nothing came in time.
inline bool receive(int fd, std::string& into, double within = 60) {
  pollfd waits{fd, POLLIN, 0};
  if (poll(&waits, 1, static_cast<int>(within * 1000)) <= 0) return false;
  char some[65536];
  const ssize_t n = recv(fd, some, sizeof some, 0);
  if (n > 0) into.append(some, static_cast<std::size_t>(n));
  return n > 0;
}

// One HTTP message with a stated length. @return false at the end of the connection or past the time
inline bool read_http(int fd, std::string& in, std::string& head, std::string& body, double within = 60) {
  const double until = seconds_now() + within;
  for (;;) {
    const auto end = in.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::size_t length = 0;
      const auto stated = in.find("Content-Length: ");
      if (stated < end) length = std::strtoul(in.c_str() + stated + 16, nullptr, 10);
      if (in.size() >= end + 4 + length) {
        head = in.substr(0, end);
        body = in.substr(end + 4, length);
        in.erase(0, end + 4 + length);
        return true;
      }
    }
    if (!receive(fd, in, std::max(0.0, until - seconds_now()))) return false;
  }
}
inline std::string http_answer(const std::string& body, const char* type = "application/json") {
  return std::string("HTTP/1.1 200 OK\r\nContent-Type: ") + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
struct Answer {
  int status = 0;  // 0: none
  std::string body;
  double began = 0, ended = 0;
};
inline Answer ask(int port, const std::string& method, const std::string& target, const std::string& headers,
                  const std::string& body, double within = 60) {
  Answer answer;
  answer.began = at();
  const int fd = connect_to(port);
  if (fd < 0) return answer;
  std::string in, head;
  send_all(fd, method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + headers +
                   (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                   "\r\n" + body);
  if (read_http(fd, in, head, answer.body, within)) {
    answer.status = std::atoi(head.c_str() + 9);
  } else if (!in.empty()) {
    record("only %zu bytes of an answer came: %s", in.size(), in.substr(0, in.find("\r\n\r\n")).c_str());
  }
  answer.ended = at();
  close(fd);
  return answer;
}

inline std::string run_command() {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  finish(kCouldNotRun, "the deploy file has no run command");
}
// Starts a broker with the deploy file's command.
inline pid_t start_broker(const std::string& name, const std::string& config, const std::string& options) {
  const std::string base = folder + "/" + name;
  std::ofstream(base + ".json") << config;
  if (!options.empty()) std::ofstream(base + ".txtpb") << options;
  const std::string command = run_command();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("RELAY_NAME", name.c_str(), 1);
    setenv("RELAY_CONFIG", (base + ".json").c_str(), 1);
    if (!options.empty()) setenv("CAIRNHUB_OPTIONS", (base + ".txtpb").c_str(), 1);
    if (!std::freopen((base + ".log").c_str(), "a", stderr)) _exit(127);
    if (chdir(root.c_str()) == 0) execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  children.push_back(pid);
  record("broker %s started, process %d", name.c_str(), pid);
  return pid;
}
inline void wait_ready(int port) {
  for (int i = 0; i < 1500; ++i) {
    if (ask(port, "GET", "/_health", "", "", 2).status == 200) return;
    pause(0.01);
  }
  finish(kCouldNotRun, "a broker never became ready");
}

struct Member {
  std::string id;
  int port = 0;
  int cell = 0;
  std::string phase = "in_service";
  std::string flavor = "m";
};
// Discovery's agent: answers with what it has at once, or waits for a change.
class Agent {
 public:
  Agent(int port, std::vector<Member> members) : members_(std::move(members)), fd_(listen_at(port)) {
    std::thread([this] { serve(); }).detach();
  }
  void set_phase(const std::string& id, const std::string& phase) {
    const std::lock_guard<std::mutex> held(lock_);
    for (Member& member : members_) {
      if (member.id == id) member.phase = phase;
    }
    ++revision_;
  }
  // The time at which a list with the present revision was first written to a broker; 0: not yet.
  double told_at() {
    const std::lock_guard<std::mutex> held(lock_);
    return told_revision_ == revision_ ? told_at_ : 0;
  }
  std::string list() {
    const std::lock_guard<std::mutex> held(lock_);
    return list_locked();
  }

 private:
  std::string list_locked() const {
    std::string out = "{\"revision\":" + std::to_string(revision_) + ",\"complete\":true,\"members\":[";
    for (std::size_t i = 0; i < members_.size(); ++i) {
      const Member& m = members_[i];
      out += (i ? "," : "") + std::string("{\"id\":\"") + m.id + "\",\"host_port\":\"" + text(m.port) +
             "\",\"locality\":\"a\",\"flavor\":\"" + m.flavor + "\",\"cell\":" + std::to_string(m.cell) +
             ",\"phase\":\"" + m.phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }
    return out + "]}";
  }
  void serve() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] { talk(fd); }).detach();
    }
  }
  void talk(int fd) {
    std::string in, head, body;
    while (read_http(fd, in, head, body, 600)) {
      const auto since_at = head.find("since="), wait_at = head.find("timeout_ms=");
      const bool watches = since_at != std::string::npos && wait_at != std::string::npos;
      const long since = watches ? std::atol(head.c_str() + since_at + 6) : -1;
      const double until = seconds_now() + (watches ? std::atof(head.c_str() + wait_at + 11) / 1000 : 0);
      for (;;) {
        {
          const std::lock_guard<std::mutex> held(lock_);
          if (revision_ != since || seconds_now() >= until) {
            if (!send_all(fd, http_answer(list_locked()))) return void(close(fd));
            if (told_revision_ != revision_) {
              told_revision_ = revision_;
              told_at_ = at();
            }
            break;
          }
        }
        pause(0.002);
      }
    }
    close(fd);
  }
  std::mutex lock_;
  std::vector<Member> members_;
  long revision_ = 1, told_revision_ = 0;
  double told_at_ = 0;
  int fd_;
};

// ---- Frames ----

inline std::string framed(char letter, const std::string& rest) {
  std::string out;
  for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>((rest.size() + 1) >> (8 * i)));
  return out + letter + rest;
}
// Takes one whole frame off the front. @return false if there is none
inline bool take_frame(std::string& in, std::string& frame) {
  if (in.size() < 4) return false;
  std::size_t length = 0;
  for (int i = 3; i >= 0; --i)
    length = length << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
  if (in.size() < 4 + length) return false;
  frame = in.substr(4, length);
  in.erase(0, 4 + length);
  return true;
}
struct Part {
  std::string name;
  int shard = 0;
  std::string list;  // "d=" and the milliseconds that the broker waits
  std::string body;
};
inline std::vector<Part> parts_of(const std::string& frame) {
  std::vector<Part> parts;
  if (frame.empty() || frame[0] != 'A') return parts;
  for (std::size_t from = 1; from < frame.size();) {
    const auto line_end = frame.find('\n', from);
    if (line_end == std::string::npos) break;
    std::istringstream line(frame.substr(from, line_end - from));
    Part part;
    std::size_t length = 0;
    line >> part.name >> part.shard >> part.list >> length;
    part.body = frame.substr(line_end + 1, length);
    parts.push_back(part);
    from = line_end + 1 + length;
  }
  return parts;
}
inline std::string hit(const std::string& name, const std::string& value) {
  return framed('E', name + " hit 7 -\n" + value);
}

}  // namespace review
