// Register hosts that match and fetch over a small data set made from a seed, on threads of their own, and do
// what a story's schedule says: the n-th match or fetch that a host is asked for is held, spoilt, refused,
// its last. The schedule counts events, never time, so that a story has the same outcome each time; only load
// tools delay.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/net.h"
#include "stand_ins/search_data.h"

namespace cairnhub::stand_ins {

struct Stall {
  std::string id, market;
  double score = 0, levy = 0;
  std::size_t padding = 0;
  std::string detail() const;
};

// Which stalls a block holds at a version: a function of the seed alone. Queries are words that must all
// hold: `all`, `none`, `market=M3`, `score>=50`, `block%10=0`, `same` (all scores alike).
class Register {
 public:
  // `padding`: bytes that each detail is longer.
  Register(std::uint32_t seed, int stalls_a_block, int padding = 0)
      : seed_(seed), stalls_(stalls_a_block), padding_(static_cast<std::size_t>(padding)) {}
  std::vector<Stall> block(int block, int version) const;
  std::vector<Stall> matching(int block, int version, const std::string& query) const;  // best first

 private:
  std::uint32_t seed_;
  int stalls_;
  std::size_t padding_;
};

enum class Phase { match, fetch };
enum class Do {
  answer,
  hold,    // until release()
  hang,    // never
  die,     // resets its connections and refuses new ones
  spoil,   // a value that can't be used
  fault,   // the node's own word for an error
  full,    // turned away
  change,  // its data change, then it answers by the new ones
};

class Hosts;

class RegisterHost {
 public:
  // From its n-th on (1 = the first); `only`: that one alone.
  void on(Phase phase, int nth, Do what, bool only = true);
  void release();            // answers what is held
  void await(Phase, int n);  // until so many have come
  int asked(Phase) const;
  int given_up() const;
  // For load tools: each answer waits so long, spread by a lognormal of this coefficient of variation.
  void slow(double ms, double cv = 0.3);
  void revive();  // one that died listens again
  // What it says to searches from now on: "" sound, `omit` a hit left out, `timed_out`, `failed`, `sum` (of
  // _shards), `other_block`, `cut` (half a body), `429`, `503`, `500`, `no_http`, `hang`, or `cut=N` the
  // first N bytes.
  void lies(const std::string& how);

 private:
  friend class Hosts;
  struct Rule {
    int nth;
    bool only;
    Do what;
  };
  struct Answer {
    std::uint64_t connection;
    std::string bytes;
  };
  Hosts* home = nullptr;
  int number = 0, version = 0, port = 0, counts[2] = {0, 0}, given_up_ = 0;
  std::uint64_t in = 0, out = 0;
  double ms = 0, cv = 0;
  std::string lie;
  std::vector<Rule> rules[2];
  std::vector<Answer> held;
  std::unique_ptr<Listener> door;
};

// All hosts of a story, served by one thread. Host n listens at kNode + n.
class Hosts {
 public:
  Hosts(const Register& data, int count, const Documents* documents = nullptr);
  ~Hosts();
  RegisterHost& operator[](int number) { return *hosts_[number - 1]; }
  int asked(Phase phase) const;  // by all together
  std::uint64_t bytes() const;
  void forget_counts();
  void await_total(Phase phase, int n);
  void await_given_up(int n);
  void await_connections(int n);  // until so many are left

 private:
  friend class RegisterHost;
  struct Connection {
    RegisterHost* host;
    Peer peer;
    std::string out;
  };
  struct Later {
    std::int64_t at;
    std::uint64_t connection;
    std::string bytes;
    bool operator<(const Later& o) const { return at > o.at; }
  };
  void serve();
  bool read(std::uint64_t id, Connection& c);
  void part(std::uint64_t id, RegisterHost& h, const std::string& name, int block, const std::string& text);
  void say(std::uint64_t connection, RegisterHost& h, const std::string& bytes);
  void wake();
  int sum(Phase phase) const;  // under the lock
  void wait(const std::function<bool()>& holds, const char* else_what);
  // Searches, over either protocol: status and body.
  std::pair<int, std::string> search(RegisterHost& h, const std::string& target, const std::string& body);
  void http(std::uint64_t id, Connection& c);

  // What was looked up last, as a host asked for page after page looks up the same.
  const std::vector<Stall>& stalls(int block, int version, const std::string* query);

  const Register& data_;
  const Documents* documents_;
  std::map<std::string, std::vector<Stall>> looked_up_;
  std::vector<std::unique_ptr<RegisterHost>> hosts_;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t last_ = 0;
  std::priority_queue<Later> later_;
  std::mt19937 rng_{5};
  mutable std::mutex lock_;
  std::condition_variable told_;
  int pipe_[2];
  bool over_ = false;
  std::thread thread_;
};

}  // namespace cairnhub::stand_ins
