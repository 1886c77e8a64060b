#include "stand_ins/register_host.h"

#include <fcntl.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace cairnhub::stand_ins {

namespace {

std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
std::string ended(const std::string& part, const char* how, const std::string& value = "") {
  return framed('E', part + " " + how + " 7 -\n" + value);
}

}  // namespace

std::string Stall::detail() const {
  nlohmann::ordered_json all{{"stall", id}, {"market", market}, {"levy", levy}};
  if (padding > 0) all["history"] = std::string(padding, '-');
  return all.dump();
}

std::vector<Stall> Register::block(int block, int version) const {
  std::mt19937 rng(seed_ + 7919u * static_cast<std::uint32_t>(block));
  std::vector<Stall> all;
  for (int i = 0; i < stalls_; ++i) {
    Stall s{"s" + std::to_string(block) + "-" + std::to_string(i), "M" + std::to_string(rng() % 8),
            static_cast<double>(rng() % 1000) / 8};
    if (version > 0 && i % 5 == 0) s.score = std::fmod(s.score + 31.5 * version, 125);
    s.levy = s.score / 4, s.padding = padding_;
    all.push_back(std::move(s));
  }
  return all;
}

std::vector<Stall> Register::matching(int number, int version, const std::string& query) const {
  std::vector<Stall> found = block(number, version);
  std::istringstream words(query);
  for (std::string w; words >> w;) {
    if (w == "none") found.clear();
    if (w == "same")
      for (Stall& s : found) s.score = 1;
    if (w.rfind("market=", 0) == 0)
      std::erase_if(found, [&](const Stall& s) { return s.market != w.substr(7); });
    if (w.rfind("score>=", 0) == 0)
      std::erase_if(found, [&](const Stall& s) { return s.score < std::stod(w.substr(7)); });
    if (w.rfind("block%", 0) == 0 && number % std::stoi(w.substr(6)) != std::stoi(w.substr(w.find('=') + 1)))
      found.clear();
  }
  std::sort(found.begin(), found.end(), [](const Stall& a, const Stall& b) {
    return a.score != b.score ? a.score > b.score : a.id < b.id;
  });
  return found;
}

// ---- A host ----

void RegisterHost::on(Phase phase, int nth, Do what, bool only) {
  const std::lock_guard g(home->lock_);
  rules[static_cast<int>(phase)].push_back({nth, only, what});
}
void RegisterHost::release() {
  {
    const std::lock_guard g(home->lock_);
    for (auto& a : held) home->later_.push({0, a.connection, a.bytes});
    held.clear();
  }
  home->wake();
}
void RegisterHost::await(Phase phase, int n) {
  home->wait([&] { return counts[static_cast<int>(phase)] >= n; }, "a host isn't asked");
}
int RegisterHost::asked(Phase phase) const {
  const std::lock_guard g(home->lock_);
  return counts[static_cast<int>(phase)];
}
int RegisterHost::given_up() const {
  const std::lock_guard g(home->lock_);
  return given_up_;
}
void RegisterHost::slow(double by, double spread) {
  const std::lock_guard g(home->lock_);
  ms = by, cv = spread;
}
void RegisterHost::lies(const std::string& how) {
  const std::lock_guard g(home->lock_);
  lie = how;
}
void RegisterHost::revive() {
  {
    const std::lock_guard g(home->lock_);
    if (!door) door = std::make_unique<Listener>(port);
    for (auto& r : rules) r.clear();
  }
  home->wake();
}

// ---- All of them ----

Hosts::Hosts(const Register& data, int count, const Documents* documents)
    : data_(data), documents_(documents) {
  for (int n = 1; n <= count; ++n) {
    auto h = std::make_unique<RegisterHost>();
    h->home = this, h->number = n, h->port = kNode + n;
    h->door = std::make_unique<Listener>(h->port, 512);
    hosts_.push_back(std::move(h));
  }
  if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0) stand_ins::give_up("no pipe");
  thread_ = std::thread([this] { serve(); });
}
Hosts::~Hosts() {
  {
    const std::lock_guard g(lock_);
    over_ = true;
  }
  wake();
  thread_.join();
  close(pipe_[0]), close(pipe_[1]);
}
void Hosts::wake() { static_cast<void>(!write(pipe_[1], "x", 1)); }

int Hosts::sum(Phase phase) const {
  int n = 0;
  for (const auto& h : hosts_) n += h->counts[static_cast<int>(phase)];
  return n;
}
int Hosts::asked(Phase phase) const {
  const std::lock_guard g(lock_);
  return sum(phase);
}
void Hosts::forget_counts() {
  const std::lock_guard g(lock_);
  for (const auto& h : hosts_) h->counts[0] = h->counts[1] = 0, h->in = h->out = 0;
}
std::uint64_t Hosts::bytes() const {
  const std::lock_guard g(lock_);
  std::uint64_t n = 0;
  for (const auto& h : hosts_) n += h->in + h->out;
  return n;
}
void Hosts::wait(const std::function<bool()>& holds, const char* else_what) {
  std::unique_lock l(lock_);
  if (!told_.wait_for(l, std::chrono::milliseconds(kPatienceMs), holds)) stand_ins::give_up(else_what);
}
void Hosts::await_total(Phase phase, int n) {
  wait([&] { return sum(phase) >= n; }, "the hosts aren't asked");
}
void Hosts::await_given_up(int n) {
  const auto given_up = [&] {
    int all = 0;
    for (const auto& h : hosts_) all += h->given_up_;
    return all >= n;
  };
  wait(given_up, "nothing is given up");
}
void Hosts::await_connections(int n) {
  wait([&] { return static_cast<int>(connections_.size()) <= n; }, "a connection stays");
}

void Hosts::serve() {
  std::unique_lock l(lock_);
  while (!over_) {
    std::vector<pollfd> fds{{pipe_[0], POLLIN, 0}};
    std::vector<std::uint64_t> ids{0};
    std::vector<RegisterHost*> doors{nullptr};
    for (const auto& h : hosts_)
      if (h->door) fds.push_back({h->door->fd, POLLIN, 0}), ids.push_back(0), doors.push_back(h.get());
    for (auto& [id, c] : connections_) {
      fds.push_back({c.peer.fd, static_cast<short>(POLLIN | (c.out.empty() ? 0 : POLLOUT)), 0});
      ids.push_back(id), doors.push_back(nullptr);
    }
    timespec wait{1, 0};
    if (!later_.empty()) {
      const std::int64_t us = std::clamp<std::int64_t>(later_.top().at - now_us(), 0, 1000000);
      wait = {us / 1000000, us % 1000000 * 1000};
    }
    l.unlock();
    ppoll(fds.data(), fds.size(), &wait, nullptr);
    l.lock();
    char sink[64];
    while (::read(pipe_[0], sink, sizeof sink) > 0) {
    }
    for (std::size_t i = 1; i < fds.size(); ++i) {
      if (!fds[i].revents) continue;
      if (doors[i]) {
        if (!doors[i]->door || doors[i]->door->fd != fds[i].fd) continue;
        const int fd = accept4(fds[i].fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        const int on = 1;  // answers must not wait for the last one to be acknowledged
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (fd >= 0) connections_.emplace(++last_, Connection{doors[i], Peer(fd), ""});
      } else if (const auto it = connections_.find(ids[i]); it != connections_.end()) {
        if ((fds[i].revents & ~POLLOUT) && !read(it->first, it->second)) connections_.erase(ids[i]);
      }
    }
    for (; !later_.empty() && later_.top().at <= now_us(); later_.pop())
      if (const auto it = connections_.find(later_.top().connection); it != connections_.end())
        it->second.out += later_.top().bytes, it->second.host->out += later_.top().bytes.size();
    for (auto& [id, c] : connections_) {
      if (c.out.empty()) continue;
      const ssize_t n = send(c.peer.fd, c.out.data(), c.out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) c.out.erase(0, static_cast<std::size_t>(n));
    }
    told_.notify_all();
  }
}

// False where the connection is over.
bool Hosts::read(std::uint64_t id, Connection& c) {
  char some[65536];
  const ssize_t got = recv(c.peer.fd, some, sizeof some, MSG_DONTWAIT);
  if (got <= 0) return got < 0 && errno == EAGAIN;
  c.peer.in.append(some, static_cast<std::size_t>(got));
  RegisterHost& h = *c.host;
  h.in += static_cast<std::uint64_t>(got);
  if (c.peer.in.rfind("POST ", 0) == 0) return http(id, c), true;
  for (std::string& in = c.peer.in; in.size() >= 5;) {
    std::size_t n = 0;
    for (int i = 3; i >= 0; --i) n = n << 8 | static_cast<unsigned char>(in[i]);
    if (in.size() < 4 + n) break;
    const std::string frame = in.substr(4, n);
    in.erase(0, 4 + n);
    if (frame[0] == 'B') ++h.given_up_;
    if (frame[0] != 'A') continue;
    for (std::size_t at = 1; at < frame.size();) {
      const auto end = frame.find('\n', at);
      std::istringstream line(frame.substr(at, end - at));
      std::string name, list;
      int block = 0;
      std::size_t length = 0;
      line >> name >> block >> list >> length;
      part(id, h, name, block, frame.substr(end + 1, length));
      if (!h.door) return c.peer.reset(), false;
      at = end + 1 + length;
    }
  }
  return true;
}

void Hosts::part(std::uint64_t id, RegisterHost& h, const std::string& name, int block,
                 const std::string& text) {
  if (text[0] == '/') {
    const auto end = text.find('\n');
    if (h.lie == "hang") return static_cast<void>(++h.counts[0]);
    const auto [status, body] = search(h, text.substr(0, end), text.substr(end + 1));
    return say(id, h,
               ended(name,
                     status == 200                   ? "hit"
                     : status < 500 || status == 503 ? "overload"
                                                     : "fault",
                     body));
  }
  const auto ask = nlohmann::json::parse(text);
  const bool match = ask["phase"] == "match";
  const int phase = match ? 0 : 1, nth = ++h.counts[phase];
  Do what = Do::answer;
  for (const auto& r : h.rules[phase])
    if (nth == r.nth || (nth > r.nth && !r.only)) what = r.what;
  if (what == Do::die) {
    h.door.reset();
    for (auto it = connections_.begin(); it != connections_.end();)
      if (it->second.host == &h && it->first != id)
        it->second.peer.reset(), it = connections_.erase(it);
      else
        ++it;
    return;
  }
  if (what == Do::hang) return;
  if (what == Do::fault || what == Do::full)
    return say(id, h, ended(name, what == Do::full ? "overload" : "fault"));
  if (what == Do::spoil) return say(id, h, ended(name, "hit", "{\"version\":\"0\",\"total\":0}"));
  if (what == Do::change) ++h.version;
  const std::string version = std::to_string(h.version);
  std::string value;
  if (match) {
    const std::string query = ask["query"];
    const auto& all = stalls(block, h.version, &query);
    const std::size_t page = ask["page"];
    std::size_t from = 0;
    if (ask.contains("after")) {
      const std::string last = ask["after"][0];
      const double score = ask["after"][1];
      while (from < all.size() &&
             (all[from].score > score || (all[from].score == score && all[from].id <= last)))
        ++from;
    }
    nlohmann::ordered_json out{
        {"version", version}, {"total", all.size()}, {"more", from + page < all.size()}};
    out["matches"] = nlohmann::json::array();
    for (std::size_t i = from; i < std::min(all.size(), from + page); ++i)
      out["matches"].push_back({all[i].id, all[i].score});
    value = out.dump();
  } else {
    std::set<std::string> ids;  // a `fetch` names them; `all` asks for whatever matches
    if (const std::string query = ask.value("query", ""); ask["phase"] == "all")
      for (const Stall& s : stalls(block, h.version, &query)) ids.insert(s.id);
    else
      for (const std::string i : ask["stalls"]) ids.insert(i);
    for (const Stall& s : stalls(block, h.version, nullptr))
      if (ids.count(s.id))
        value += (value.empty() ? "" : ",") + ("{\"stall\":\"" + s.id + "\",\"detail\":" + s.detail() + "}");
    value = "{\"version\":\"" + version + "\",\"stalls\":[" + value + "]}";
  }
  if (what == Do::hold) return h.held.push_back({id, ended(name, "hit", value)});
  say(id, h, ended(name, "hit", value));
}

const std::vector<Stall>& Hosts::stalls(int block, int version, const std::string* query) {
  const std::string key = std::to_string(block) + "/" + std::to_string(version) + (query ? "?" + *query : "");
  const auto it = looked_up_.find(key);
  if (it != looked_up_.end()) return it->second;
  if (looked_up_.size() > 256) looked_up_.clear();
  return looked_up_[key] = query ? data_.matching(block, version, *query) : data_.block(block, version);
}

std::pair<int, std::string> Hosts::search(RegisterHost& h, const std::string& target,
                                          const std::string& body) {
  ++h.counts[0];
  const std::string index = target.substr(1, target.find('/', 1) - 1);
  const int block = std::stoi(target.substr(target.rfind(':') + 1));
  if (h.lie == "429" || h.lie == "503" || h.lie == "500") return {std::stoi(h.lie), "{}"};
  std::string value =
      block_answer(*documents_, index, h.lie == "other_block" ? (block + 1) % documents_->blocks() : block,
                   json::parse(body));
  if (h.lie.empty() || h.lie == "other_block") return {200, value};
  if (h.lie == "cut") return {200, value.substr(0, value.size() / 2)};
  if (h.lie.rfind("cut=", 0) == 0) return {200, value.substr(0, std::stoul(h.lie.substr(4)))};
  json all = json::parse(value);
  if (h.lie == "omit" && !all["hits"]["hits"].empty())
    all["hits"]["hits"].erase(all["hits"]["hits"].size() - 1);
  if (h.lie == "timed_out") all["timed_out"] = true;
  if (h.lie == "failed") all["_shards"]["failed"] = 1, all["_shards"]["successful"] = 0;
  if (h.lie == "sum") all["_shards"]["total"] = 2;
  return {200, all.dump()};
}

void Hosts::http(std::uint64_t id, Connection& c) {
  for (std::string& in = c.peer.in;;) {
    const auto head = in.find("\r\n\r\n");
    if (head == std::string::npos) return;
    const auto length = in.find("Content-Length: ");
    const std::size_t n = length < head ? std::stoul(in.substr(length + 16)) : 0;
    if (in.size() < head + 4 + n) return;
    const std::string target = in.substr(5, in.find(' ', 5) - 5), body = in.substr(head + 4, n);
    in.erase(0, head + 4 + n);
    RegisterHost& h = *c.host;
    if (h.lie == "hang") {
      ++h.counts[0];
      continue;
    }
    const auto [status, value] = search(h, target, body);
    if (h.lie == "no_http") {
      say(id, h, "SSH-2.0-nothing to see\r\n\r\n");
      continue;
    }
    say(id, h,
        "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(value.size()) + "\r\n\r\n" + value);
  }
}

void Hosts::say(std::uint64_t connection, RegisterHost& h, const std::string& bytes) {
  std::int64_t at = 0;
  if (h.ms > 0) {
    const double sigma = std::sqrt(std::log(1 + h.cv * h.cv));
    std::lognormal_distribution<double> spread(-sigma * sigma / 2, sigma);
    at = now_us() + static_cast<std::int64_t>(1000 * h.ms * spread(rng_));
  }
  later_.push({at, connection, bytes});
}

}  // namespace cairnhub::stand_ins
