// What the cases of the second review share: a record of what was seen, processes of the program, and small
// stand-ins for discovery, hosts that speak HTTP, hosts that speak frames, and clients. Every address is of
// the loopback network, every port is one that the system found free.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
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
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kLongestRunMs = 115000;

inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// ---- The record ----

class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const std::string& text) {
    const std::lock_guard guard(lock_);
    if (!file_) return;
    std::fprintf(file_, "%9.3f  %s\n", ms() / 1000, text.c_str());
    std::fflush(file_);
  }
  // Milliseconds since the start.
  double ms() const { return std::chrono::duration<double, std::milli>(Clock::now() - start_).count(); }

 private:
  std::mutex lock_;
  std::FILE* file_ = nullptr;
  const Clock::time_point start_ = Clock::now();
};

__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
  char text[4096];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Record::get().line(text);
}
inline double now_ms() { return Record::get().ms(); }

// Thrown where a case can't be judged.
struct CouldNotRun {
  std::string reason;
};

inline bool wait_for(int ms, const std::function<bool()>& holds) {
  const auto until = Clock::now() + std::chrono::milliseconds(ms);
  for (;;) {
    if (holds()) return true;
    if (Clock::now() >= until) return false;
    sleep_ms(5);
  }
}
inline void need(int ms, const char* what, const std::function<bool()>& holds) {
  if (!wait_for(ms, holds)) throw CouldNotRun{what};
}

// ---- Surroundings ----

// Whether the run is one with the disruption.
inline bool has_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

// Set by run.sh: the project's root, the deploy file's `run`, and the folder of the case.
inline std::string environment(const char* name) {
  const char* value = std::getenv(name);
  if (!value) throw CouldNotRun{std::string(name) + " is not set"};
  return value;
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string made = (std::filesystem::temp_directory_path() / "cairnhub-review-XXXXXX").string();
    if (!mkdtemp(made.data())) throw CouldNotRun{"no temporary folder"};
    path_ = made;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}
inline std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

// A port that is free for TCP and UDP, and that this process gives out once.
inline int free_port() {
  static std::set<int> given;
  for (int i = 0; i < 200; ++i) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(0);
    socklen_t length = sizeof at;
    int port = 0;
    if (bind(tcp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
        getsockname(tcp, reinterpret_cast<sockaddr*>(&at), &length) == 0 &&
        bind(udp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) {
      port = ntohs(at.sin_port);
    }
    close(tcp);
    close(udp);
    if (port && given.insert(port).second) return port;
  }
  throw CouldNotRun{"no free port"};
}

// ---- Sockets ----

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)), in_(std::move(other.in_)) {}
  Socket& operator=(Socket&& other) noexcept {
    end();
    fd_ = std::exchange(other.fd_, -1);
    in_ = std::move(other.in_);
    return *this;
  }
  ~Socket() { end(); }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void end() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  bool write(const std::string& bytes) const {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  std::string& in() { return in_; }
  enum class Read { kBytes, kNothing, kEnd };
  Read read(int ms) {
    pollfd p{fd_, POLLIN, 0};
    if (poll(&p, 1, ms) <= 0) return Read::kNothing;
    char some[65536];
    const ssize_t n = recv(fd_, some, sizeof some, 0);
    if (n <= 0) return Read::kEnd;
    in_.append(some, static_cast<std::size_t>(n));
    return Read::kBytes;
  }

 private:
  int fd_ = -1;
  std::string in_;
};

inline Socket connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    close(fd);
    return {};
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return Socket(fd);
}

// Accepts connections and serves each in a thread of its own, until it is destroyed.
class Listener {
 public:
  using Serve = std::function<void(Socket&, const std::atomic<bool>& is_over)>;
  explicit Listener(Serve serve, int port = 0) : serve_(std::move(serve)) {
    port_ = port ? port : free_port();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port_);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd_, 256) != 0) {
      throw CouldNotRun{"a stand-in can't listen"};
    }
    thread_ = std::thread([this] { accept_all(); });
  }
  ~Listener() { stop(); }
  void stop() {
    if (is_over_.exchange(true)) return;
    thread_.join();
    close(fd_);
    for (std::thread& served : served_) served.join();
  }
  int port() const { return port_; }

 private:
  void accept_all() {
    while (!is_over_) {
      pollfd p{fd_, POLLIN, 0};
      if (poll(&p, 1, 20) <= 0) continue;
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      served_.emplace_back([this, fd] {
        Socket accepted(fd);
        serve_(accepted, is_over_);
      });
    }
  }
  const Serve serve_;
  int port_ = 0;
  int fd_ = -1;
  std::atomic<bool> is_over_{false};
  std::list<std::thread> served_;
  std::thread thread_;
};

// ---- HTTP ----

struct HttpMessage {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in small letters
  std::string body;
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

// Takes one whole message from the start of `in`. Knows lengths and chunks.
inline std::optional<HttpMessage> take_http(std::string& in) {
  const auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  HttpMessage message;
  std::istringstream head(in.substr(0, end + 2));
  std::string line;
  std::getline(head, message.first_line);
  if (!message.first_line.empty() && message.first_line.back() == '\r') message.first_line.pop_back();
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    message.headers[name] = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
  }
  std::size_t at = end + 4;
  if (message.headers.count("transfer-encoding")) {
    for (;;) {
      const auto line_end = in.find("\r\n", at);
      if (line_end == std::string::npos) return std::nullopt;
      const std::size_t length = std::stoul(in.substr(at, line_end - at), nullptr, 16);
      if (in.size() < line_end + 2 + length + 2) return std::nullopt;
      message.body += in.substr(line_end + 2, length);
      at = line_end + 2 + length + 2;
      if (length == 0) break;
    }
  } else if (const auto length = message.headers.find("content-length"); length != message.headers.end()) {
    const std::size_t bytes = std::stoul(length->second);
    if (in.size() < at + bytes) return std::nullopt;
    message.body = in.substr(at, bytes);
    at += bytes;
  }
  in.erase(0, at);
  return message;
}

inline std::string http_response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A client with one connection, which it keeps.
class HttpClient {
 public:
  explicit HttpClient(int port) : port_(port) {}
  // Returns nothing where the connection ended, or nothing came in time.
  std::optional<HttpMessage> ask(const std::string& head, const std::string& body, int ms = 10000) {
    if (!socket_.is_open()) socket_ = connect_to(port_);
    if (!socket_.is_open()) return std::nullopt;
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!socket_.write(head + "Host: x\r\n" + length + "\r\n" + body)) {
      socket_.end();
      return std::nullopt;
    }
    const auto until = Clock::now() + std::chrono::milliseconds(ms);
    for (;;) {
      if (auto message = take_http(socket_.in())) {
        if (message->headers["connection"] == "close") socket_ = Socket();
        return message;
      }
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
      if (left <= 0 || socket_.read(static_cast<int>(left)) != Socket::Read::kBytes) {
        socket_ = Socket();
        return std::nullopt;
      }
    }
  }
  std::optional<HttpMessage> get(const std::string& path, int ms = 2000) {
    return ask("GET " + path + " HTTP/1.1\r\n", "", ms);
  }
  std::optional<HttpMessage> post(const std::string& path, const std::string& body, int ms = 10000) {
    return ask("POST " + path + " HTTP/1.1\r\nContent-Type: application/json\r\n", body, ms);
  }

 private:
  int port_;
  Socket socket_;
};

// ---- Discovery ----

struct Member {
  std::string id;
  int port = 0;
  int cell = 0;
  std::string phase = "in_service";
  std::string flavor = "m";
};

// The agent on the brokers' machine: answers at once with what it has, and holds a watch until there is
// something newer than its version, or its time is over.
class Discovery {
 public:
  explicit Discovery(std::string name = "discovery") : name_(std::move(name)) {}
  // Sets the whole list.
  void set(int revision, const std::vector<Member>& members) {
    const std::lock_guard guard(lock_);
    revision_ = revision;
    for (const Member& member : members) {
      const auto held = members_.find(member.id);
      const bool has_changed = held == members_.end() || held->second.first.phase != member.phase ||
                               held->second.first.port != member.port;
      members_[member.id] = {member, has_changed ? revision : held->second.second};
    }
    note("%s has revision %d: %s", name_.c_str(), revision, list(0).c_str());
  }
  // When a broker was last told of this revision; 0: not yet.
  double told_at(int revision) const {
    const std::lock_guard guard(lock_);
    const auto it = told_.find(revision);
    return it == told_.end() ? 0 : it->second;
  }
  int calls() const { return calls_; }
  int port() const { return listener_.port(); }

 private:
  std::string list(int since) const {
    json members = json::array();
    for (const auto& [id, held] : members_) {
      const Member& member = held.first;
      if (held.second <= since) continue;
      members.push_back({{"id", member.id},
                         {"host_port", address(member.port)},
                         {"locality", "a"},
                         {"flavor", member.flavor},
                         {"cell", member.cell},
                         {"phase", member.phase},
                         {"size", 1.0},
                         {"up_since_ms", 0}});
    }
    return json{{"revision", revision_}, {"complete", since == 0}, {"members", members}}.dump();
  }
  void serve(Socket& socket, const std::atomic<bool>& is_over) {
    while (!is_over) {
      if (auto request = take_http(socket.in())) {
        ++calls_;
        const std::string& line = request->first_line;
        const auto number = [&](const char* key) {
          const auto at = line.find(key);
          return at == std::string::npos ? 0 : std::atoi(line.c_str() + at + std::strlen(key));
        };
        const int since = number("since=");
        const auto until = Clock::now() + std::chrono::milliseconds(number("timeout_ms="));
        std::string body;
        for (;;) {
          {
            const std::lock_guard guard(lock_);
            if (since == 0 || revision_ > since || Clock::now() >= until || is_over) {
              body = list(since);
              if (!socket.write(http_response(200, body))) return;
              told_.try_emplace(revision_, now_ms());
              break;
            }
          }
          pollfd p{socket.fd(), POLLIN, 0};
          if (poll(&p, 1, 5) > 0) return;  // a caller that waits says nothing: it has gone
        }
        continue;
      }
      if (socket.read(20) == Socket::Read::kEnd) return;
    }
  }
  const std::string name_;
  mutable std::mutex lock_;
  int revision_ = 0;
  std::map<std::string, std::pair<Member, int>> members_;  // with the revision of the last change
  std::map<int, double> told_;
  std::atomic<int> calls_{0};
  Listener listener_{[this](Socket& socket, const std::atomic<bool>& is_over) { serve(socket, is_over); }};
};

// ---- Processes of the program ----

class Process {
 public:
  // Starts `command` by the shell, from the project's root, with more environment.
  Process(std::string name, const std::string& command,
          const std::vector<std::pair<std::string, std::string>>& more, const std::string& log)
      : name_(std::move(name)) {
    const std::string root = environment("CASE_ROOT");
    note("starts %s: %s", name_.c_str(), command.c_str());
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing stays behind, however the case ends
      for (const auto& [key, value] : more) setenv(key.c_str(), value.c_str(), 1);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      if (chdir(root.c_str()) == 0) execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(127);
    }
  }
  ~Process() {
    if (!is_running()) return;
    ::kill(pid_, SIGKILL);
    ::kill(pid_, SIGCONT);
    int status = 0;
    waitpid(pid_, &status, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void signal(int number) const {
    note("%s gets signal %d (%s)", name_.c_str(), number, strsignal(number));
    ::kill(pid_, number);
  }
  bool is_running() {
    if (has_ended_) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    has_ended_ = true;
    status_ = status;
    note("%s has ended: %s %d", name_.c_str(), WIFEXITED(status) ? "exit" : "signal",
         WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
    return false;
  }
  // Waits for the end. Returns the exit status, or -1 where a signal ended it, or it runs on.
  int await_end(int ms) {
    if (!wait_for(ms, [this] { return !is_running(); })) return -1;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }

 private:
  std::string name_;
  pid_t pid_ = -1;
  bool has_ended_ = false;
  int status_ = 0;
};

// Runs a sub-command of the program to its end. Returns its exit status and what it printed.
inline std::pair<int, std::string> run_command(const std::string& arguments, const std::string& output) {
  // The program is what the deploy file's `run` starts.
  std::string program = environment("CASE_RUN");
  if (program.rfind("exec ", 0) == 0) program = program.substr(5);
  std::filesystem::remove(output);
  Process command("command", "exec " + program + " " + arguments, {}, output);
  const int status = command.await_end(30000);
  std::ifstream in(output);
  const std::string said{std::istreambuf_iterator<char>(in), {}};
  note("  exit %d, says: %s", status, said.substr(0, 1500).c_str());
  return {status, said};
}

// Writes one broker's configuration. `settings` is the settings object.
inline std::string config_text(const std::string& name, int listen, int discovery, const json& settings) {
  return json{{"name", name},
              {"listen", address(listen)},
              {"discovery", address(discovery)},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
              {"settings", settings}}
      .dump();
}

inline void await_ready(int port, int ms = 30000) {
  need(ms, "a broker never got ready", [port] {
    HttpClient client(port);
    const auto answer = client.get("/_health", 500);
    return answer && answer->status() == 200;
  });
}

// ---- Hosts that speak frames ----

inline std::string frame_of(char letter, const std::string& rest) {
  std::string out;
  for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>((rest.size() + 1) >> (8 * i)));
  return out + letter + rest;
}

// A part that a host was sent.
struct Part {
  std::string name;
  int shard = 0;
  std::string text;
};

// Answers each part with the value that `answer` gives, or not at all where it gives none.
class FramedHost {
 public:
  using Answer = std::function<std::optional<std::string>(const Part&)>;
  FramedHost(std::string name, Answer answer) : name_(std::move(name)), answer_(std::move(answer)) {}
  int port() const { return listener_.port(); }
  struct Sent {
    double at;
    Part part;
  };
  std::vector<Sent> sent() const {
    const std::lock_guard guard(lock_);
    return sent_;
  }

 private:
  void serve(Socket& socket, const std::atomic<bool>& is_over) {
    while (!is_over) {
      std::string& in = socket.in();
      if (in.size() >= 4) {
        std::size_t length = 0;
        for (int i = 3; i >= 0; --i)
          length = length << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
        if (in.size() >= 4 + length) {
          const std::string frame = in.substr(4, length);
          in.erase(0, 4 + length);
          if (!take(frame, socket)) return;
          continue;
        }
      }
      if (socket.read(20) == Socket::Read::kEnd) return;
    }
  }
  bool take(const std::string& frame, Socket& socket) {
    if (frame.empty()) return false;
    if (frame[0] == 'C') return socket.write(frame_of('C', "hit"));
    if (frame[0] == 'D') return socket.write(frame_of('D', "-"));
    if (frame[0] != 'A') return true;
    for (std::size_t at = 1; at < frame.size();) {
      const auto end = frame.find('\n', at);
      std::istringstream line(frame.substr(at, end - at));
      Part part;
      std::string list;
      std::size_t length = 0;
      line >> part.name >> part.shard >> list >> length;
      part.text = frame.substr(end + 1, length);
      at = end + 1 + length;
      {
        const std::lock_guard guard(lock_);
        sent_.push_back({now_ms(), part});
      }
      const auto value = answer_(part);
      if (is_noted) {
        note("  %s runs %s%s", name_.c_str(), part.name.c_str(), value ? "" : ", and answers nothing");
      }
      if (value && !socket.write(frame_of('E', part.name + " hit 1 -\n" + *value))) return false;
    }
    return true;
  }

 public:
  std::atomic<bool> is_noted{true};

 private:
  const std::string name_;
  const Answer answer_;
  mutable std::mutex lock_;
  std::vector<Sent> sent_;
  Listener listener_{[this](Socket& socket, const std::atomic<bool>& is_over) { serve(socket, is_over); }};
};

// A client's request in the platform's form: one part for each shard, of equal shares.
inline std::optional<HttpMessage> ask_platform(HttpClient& client, const std::string& op_type,
                                               const std::string& txn, const std::vector<int>& shards,
                                               double seconds, int ms = 10000) {
  json buckets = json::array();
  for (const int shard : shards) {
    buckets.push_back({{"bucket", shard}, {"part", 1.0 / static_cast<double>(shards.size())}});
  }
  char left[32];
  std::snprintf(left, sizeof left, "%.3f", seconds);
  return client.ask("POST /" + op_type + " HTTP/1.1\r\nX-Txn: " + txn + "\r\nX-Lane: " + op_type +
                        "\r\nX-Remaining: " + left + "\r\n",
                    json{{"buckets", buckets}, {"body", "c41e77d0"}}.dump(), ms);
}

// ---- Brokers that agree ----

// Brokers b0, b1, ... with one key, of which the first `voters` vote.
class Fleet {
 public:
  struct Broker {
    std::string name;
    int listen = free_port();
    int peers = free_port();
    int operators = free_port();
    std::string config;
    std::string options;
    std::unique_ptr<Process> process = {};
  };
  Fleet(const TemporaryFolder& folder, int brokers, int voters) : folder_(folder), voters_(voters) {
    for (int i = 0; i < brokers; ++i) {
      const std::string name = "b" + std::to_string(i);
      brokers_.push_back({name, free_port(), free_port(), free_port(), folder_ / (name + ".json"),
                          folder_ / (name + ".txtpb"), nullptr});
    }
    const std::string key = folder_ / "key";
    write_file(key, "1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n");
    chmod(key.c_str(), 0600);
  }
  Broker& operator[](int i) { return brokers_[static_cast<std::size_t>(i)]; }
  int size() const { return static_cast<int>(brokers_.size()); }
  // Writes a broker's files. `accord` and `more` go into its fleet options.
  void lay_out(int i, int discovery, const json& settings, const std::string& accord,
               const std::string& more) {
    Broker& broker = (*this)[i];
    write_file(broker.config, config_text(broker.name, broker.listen, discovery, settings));
    std::string text = "fleet {\n  name: \"" + broker.name + "\" listen: \"" + address(broker.peers) +
                       "\" key_file: \"" + (folder_ / "key") + "\" operators: \"" +
                       address(broker.operators) + "\" records: \"" + (folder_ / (broker.name + ".records")) +
                       "\"\n";
    for (const Broker& other : brokers_) {
      if (other.name != broker.name) {
        text += "  peer { name: \"" + other.name + "\" address: \"" + address(other.peers) + "\" }\n";
      }
    }
    if (voters_ > 0) {
      text += "  accord {\n    " + accord + "\n    ";
      for (int v = 0; v < voters_; ++v) text += "voter: \"b" + std::to_string(v) + "\" ";
      if (i < voters_) {
        const std::string store = folder_ / (broker.name + ".store");
        mkdir(store.c_str(), 0700);
        text += "folder: \"" + store + "\"";
      }
      text += "\n  }\n";
    }
    write_file(broker.options, text + more + "}\n");
  }
  void init_voters() {
    for (int v = 0; v < voters_; ++v) {
      const auto [status, said] =
          run_command("accord init --options " + (*this)[v].options, folder_ / "said");
      if (status != 0) throw CouldNotRun{"a voter's store could not be made"};
    }
  }
  void start(int i) {
    Broker& broker = (*this)[i];
    broker.process =
        std::make_unique<Process>(broker.name, environment("CASE_RUN"),
                                  std::vector<std::pair<std::string, std::string>>{
                                      {"RELAY_CONFIG", broker.config}, {"CAIRNHUB_OPTIONS", broker.options}},
                                  folder_ / (broker.name + ".log"));
  }
  // Runs a sub-command against a broker's operators' address.
  std::pair<int, std::string> command(int i, const std::string& arguments) {
    note("operator at %s: cairnhub %s", (*this)[i].name.c_str(), arguments.c_str());
    return run_command(arguments + " --at " + address((*this)[i].operators), folder_ / "said");
  }
  // What a broker's operators' address says; null where it doesn't answer.
  json fetch(int i, const std::string& path) {
    HttpClient client((*this)[i].operators);
    const auto answer = client.get(path, 1000);
    if (!answer || answer->status() != 200) return nullptr;
    return json::parse(answer->body, nullptr, false);
  }
  // The number of the broker that leads by its own word; -1: none of those asked.
  int leader(const std::set<int>& not_asked = {}) {
    for (int i = 0; i < size(); ++i) {
      if (not_asked.count(i)) continue;
      const json status = fetch(i, "/accord/status");
      if (status.is_object() && status.value("leads", false)) return i;
    }
    return -1;
  }
  // All brokers hold a lease, and each knows all others.
  bool is_settled() {
    for (int i = 0; i < size(); ++i) {
      const json status = fetch(i, "/accord/status");
      const json peers = fetch(i, "/peers");
      if (!status.is_object() || !status["acts_on"].is_object() || !peers.is_object() ||
          peers["alive"] != size() - 1) {
        return false;
      }
    }
    return true;
  }

 private:
  const TemporaryFolder& folder_;
  const int voters_;
  std::vector<Broker> brokers_;
};

// Runs a case: its verdict is the exit status.
inline int run_case(const std::function<bool()>& holds) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  try {
    Record::get().open(environment("CASE_FOLDER") + "/record.txt");
    note("disruption: %s", has_trouble() ? "yes" : "no");
    std::thread([] {
      sleep_ms(kLongestRunMs);
      note("verdict: the case could not run: it took too long");
      _exit(kCouldNotRun);
    }).detach();
    const bool held = holds();
    note("verdict: the rule %s", held ? "held" : "WAS BROKEN");
    std::printf("%s\n", held ? "the rule held" : "the rule was broken");
    return held ? kRuleHeld : kRuleBroken;
  } catch (const CouldNotRun& error) {
    note("verdict: the case could not run: %s", error.reason.c_str());
    std::printf("the case could not run: %s\n", error.reason.c_str());
    return kCouldNotRun;
  } catch (const std::exception& error) {
    note("verdict: the case could not run: %s", error.what());
    std::printf("the case could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

}  // namespace review
