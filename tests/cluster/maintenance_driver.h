// Who works on machines in a play: asks for them to be taken out, takes off each that is handed over, has it
// for a while, brings it back cold, and says so. And the plain way beside it: as many at once as are stated,
// drained by discovery and taken off, with no knowledge of who holds what.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cairnhub::cluster {

class Rig;

struct Machine {
  int host = -1, broker = -1;  // one of them
  std::string name() const;
};
// "h3 b4", or "all".
std::vector<Machine> machines(const std::string& text, int hosts, int brokers);

class Crew {
 public:
  Crew(Rig& rig, std::vector<Machine> machines, int work_ms);

  // Asks for the next one not asked for yet; all are asked for once none is left.
  bool ask();
  bool all_asked() const { return asked_ == machines_.size(); }
  // Looks at the works as the leader tells them, and does what is due. To be called often.
  void look(std::int64_t now);
  bool all_back() const;
  bool has_broker(int broker) const;  // it is off: nobody else starts it
  int back() const;
  int over_cold() const { return over_cold_; }  // works over while their host was surely cold

 private:
  struct Job {
    Machine machine;
    std::string step;
    std::int64_t off_at = 0;  // ns; 0: it is not off
    bool on_again = false;
    std::int64_t said_at = 0, on_at = 0;
  };
  Rig& rig_;
  std::vector<Machine> machines_;
  int work_ms_;
  std::size_t asked_ = 0;
  int over_cold_ = 0;
  std::int64_t looked_at_ = 0;
  std::map<std::uint64_t, Job> jobs_;  // by work
};

class BlindCrew {
 public:
  BlindCrew(Rig& rig, std::vector<Machine> hosts, int at_once, int work_ms, int warm_ms);
  void look(std::int64_t now);
  bool done() const { return left_.empty() && jobs_.empty(); }

 private:
  struct Job {
    Machine machine;
    std::int64_t drained_at = 0, off_at = 0, on_at = 0;
  };
  Rig& rig_;
  std::deque<Machine> left_;
  int at_once_, work_ms_, warm_ms_;
  std::vector<Job> jobs_;
};

}  // namespace cairnhub::cluster
