// A seeded world for the packages that brokers have in common: time that only moves when something is due, a
// network that delays, loses, doubles and cuts, all of it from one seed.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random_source.h"
#include "base/time.h"

namespace cairnhub::cluster {

class Seeded {
 public:
  explicit Seeded(std::uint64_t seed) : chance(seed) {}

  Time now() const { return now_; }
  void at(Time when, std::function<void()> what) {
    due_.push({std::max(when, now_), ++order_, std::move(what)});
  }
  void after(Time span, std::function<void()> what) { at(now_ + span, std::move(what)); }
  // Plays until `until`, or until `done` holds; false where it never did.
  bool play(Time until, const std::function<bool()>& done = {}) {
    while (!due_.empty() && due_.top().when <= until) {
      const auto what = std::move(const_cast<Due&>(due_.top()).what);
      now_ = due_.top().when;
      due_.pop();
      what();
      if (done && done()) return true;
    }
    now_ = until;
    return false;
  }

  // The network: each direction between two numbered places by itself.
  Time delay_least = kSecond / 5000, delay_spread = kSecond / 1000;
  double loss = 0, doubled = 0;
  std::set<std::pair<int, int>> cut;
  std::uint64_t sent = 0, bytes = 0;
  void carry(int from, int to, std::size_t size, const std::function<void()>& arrives) {
    ++sent, bytes += size;
    if (size > max_message_bytes) {
      ++too_long;
      return;
    }
    if (cut.count({from, to})) return;
    for (int copies = chance.unit() < doubled ? 2 : 1; copies > 0; --copies) {
      if (chance.unit() < loss) continue;
      after(delay_least + static_cast<Time>(chance.unit() * static_cast<double>(delay_spread)), arrives);
    }
  }
  void cut_both(int a, int b) { cut.insert({a, b}), cut.insert({b, a}); }

  Chance chance;
  std::size_t max_message_bytes = SIZE_MAX;  // a longer message is lost
  std::uint64_t too_long = 0;                // messages lost for their length

 private:
  struct Due {
    Time when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Due& o) const { return when != o.when ? when > o.when : order > o.order; }
  };
  std::priority_queue<Due> due_;
  std::uint64_t order_ = 0;
  Time now_ = kSecond;
};

}  // namespace cairnhub::cluster
