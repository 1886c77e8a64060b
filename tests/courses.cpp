// Every order of what can happen to one zone, over a clock of whole steps: each look at it, each order of an
// operator, a new leader. What must hold is held against a record kept beside the course.
//
// `courses break N` takes defence N out and must find a state where something doesn't hold.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "zone_failover/failover_state_machine.h"

using namespace cairnhub;
using namespace cairnhub::zone_failover;

namespace {

FailoverOptions terms(int broken) {
  FailoverOptions t;
  t.confirmation_time = 2, t.min_dwell = 3, t.max_dwell = 6, t.step_interval = 1;
  if (broken == 1) t.min_dwell = 1, t.max_dwell = 2;  // back as soon as it looks good
  if (broken == 2) t.confirmation_time = 4;           // away too late
  return t;
}
constexpr int kDwell = 3, kConfirm = 2;

struct Play {
  Time now = 1;
  FailoverStateMachine course{terms(0)};
  // The record beside it, in steps, each no further than it counts.
  int good_for = 0, dead_for = 0, evacuating_for = 0, fell_ago = 99;
  bool resumed = false;
  std::string key() const {
    return course.state_key(now) + '|' + std::to_string(good_for) + std::to_string(dead_for) +
           std::to_string(evacuating_for) + ' ' + std::to_string(fell_ago) + (resumed ? "r" : "");
  }
};

// What doesn't hold after `look` and `ordered` led from one state to the next; empty where all does.
std::string wrong(const Play& was, const Play& is, ZoneStatus look, OperatorOrder ordered, bool in_force) {
  const int before = was.course.local_share_thousandths(), after = is.course.local_share_thousandths();
  const auto from = was.course.state(), to = is.course.state();
  if (ordered == OperatorOrder::kHold && (before != after || from != to))
    return "something moved while it was held";
  if (ordered == OperatorOrder::kEvacuate && after > before)
    return "more stayed while it was being evacuated";
  if (is.evacuating_for > 6 && (to != FailoverState::kFailedOver || after != 0))
    return "it was not evacuated in time";
  if (is.dead_for > kConfirm && ordered == OperatorOrder::kNone &&
      (to != FailoverState::kFailedOver || after > 10))
    return "a dead zone was not left in time";
  // Back only after it was good for a dwell; the little that is asked of a dead zone is no return.
  const bool first_step = from != FailoverState::kReturning && to == FailoverState::kReturning;
  if (first_step && from != FailoverState::kEvacuating && is.good_for < kDwell)
    return "it came back too soon";
  if (first_step && from != FailoverState::kEvacuating && was.fell_ago < kDwell)
    return "it came back within a dwell";
  if (after > before && look != ZoneStatus::kGood && from != FailoverState::kEvacuating && after > 10)
    return "more stayed though it looked bad";
  if (from == FailoverState::kReturning && !in_force && (after > before || to == FailoverState::kLocal))
    return "a step back was taken before all brokers acted on the last one";
  if (to != FailoverState::kLocal && is.course.accepts_remote_traffic())
    return "others were let in while it was not well";
  if (to == FailoverState::kLocal && after != 1000) return "near, and not all stays";
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  const int broken = argc > 2 && std::string(argv[1]) == "break" ? std::atoi(argv[2]) : 0;
  Play first;
  first.course = FailoverStateMachine(terms(broken));
  std::unordered_set<std::string> seen{first.key()};
  std::vector<Play> todo{first};
  std::uint64_t ways = 0;
  std::string all_states;
  while (!todo.empty()) {
    const Play s = std::move(todo.back());
    todo.pop_back();
    const auto take = [&](Play n, ZoneStatus look, OperatorOrder ordered, bool in_force) {
      ++ways;
      if (const std::string what = wrong(s, n, look, ordered, in_force); !what.empty()) {
        std::printf(broken ? "with a defence out: %s\n" : "BROKEN: %s: %s\n", what.c_str(), n.key().c_str());
        std::exit(broken ? 0 : 1);
      }
      if (seen.insert(n.key()).second) todo.push_back(std::move(n));
    };
    for (const ZoneStatus look : {ZoneStatus::kGood, ZoneStatus::kOverloaded, ZoneStatus::kPartial,
                                  ZoneStatus::kDead, ZoneStatus::kUnknown})
      for (const OperatorOrder ordered :
           {OperatorOrder::kNone, OperatorOrder::kEvacuate, OperatorOrder::kHold})
        for (const auto& [bears, in_force] :
             {std::pair(0.8, true), std::pair(0.8, false), std::pair(0.4, true), std::pair(0.4, false)}) {
          if (bears < 0.8 && look != ZoneStatus::kOverloaded && look != ZoneStatus::kPartial) continue;
          Play n = s;
          ++n.now;
          n.resumed = false;
          n.course.update(n.now, look, bears, ordered, in_force || broken == 3);
          // What nobody asked of tells neither way: the time goes on from the first good look.
          const bool counts = look == ZoneStatus::kGood || (look == ZoneStatus::kUnknown && n.good_for > 0);
          n.good_for = counts ? std::min(kDwell, n.good_for + 1) : 0;
          n.dead_for = look == ZoneStatus::kDead && ordered == OperatorOrder::kNone
                           ? std::min(kConfirm + 1, n.dead_for + 1)
                           : 0;
          n.evacuating_for = ordered == OperatorOrder::kEvacuate ? std::min(7, n.evacuating_for + 1) : 0;
          n.fell_ago = n.course.local_share_thousandths() < s.course.local_share_thousandths()
                           ? 0
                           : std::min(kDwell, n.fell_ago + 1);
          take(n, look, ordered, in_force);
        }
    if (!s.resumed) {  // another leads, and knows the state and the share only
      Play n = s;
      n.course = FailoverStateMachine(terms(broken));
      n.course.resume(n.now, s.course.state(), s.course.local_share_thousandths());
      n.good_for = n.dead_for = n.evacuating_for = 0, n.resumed = true;
      take(n, ZoneStatus::kGood, OperatorOrder::kHold, true);
    }
  }
  if (broken) return std::printf("with a defence out: NOTHING found\n"), 1;
  std::printf("%zu states, %llu ways, all there are: all of it holds\n", seen.size(),
              static_cast<unsigned long long>(ways));
  return 0;
}
