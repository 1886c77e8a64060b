// Checks the failover state machine of one zone exhaustively: every sequence of statuses, operators' orders
// and leader changes, with time in whole steps. A history kept beside the state machine tells what must hold.
//
// `courses break N` removes safeguard N and must then find a state in which something does not hold.
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

constexpr int kMinDwell = 3;
constexpr int kConfirmationTime = 2;

FailoverOptions failover_options(int removed_safeguard) {
  FailoverOptions options;
  options.confirmation_time = kConfirmationTime;
  options.min_dwell = kMinDwell;
  options.max_dwell = 6;
  options.step_interval = 1;
  if (removed_safeguard == 1) {  // traffic returns as soon as the zone is good
    options.min_dwell = 1;
    options.max_dwell = 2;
  }
  if (removed_safeguard == 2) options.confirmation_time = 4;  // traffic leaves too late
  return options;
}

struct CheckedState {
  Time now = 1;
  FailoverStateMachine machine{failover_options(0)};
  // The history, in steps; each count is capped where it no longer matters.
  int good_steps = 0;
  int dead_steps = 0;
  int evacuating_steps = 0;
  int steps_since_fall = 99;
  bool is_resumed = false;
  std::string key() const {
    return machine.state_key(now) + '|' + std::to_string(good_steps) + std::to_string(dead_steps) +
           std::to_string(evacuating_steps) + ' ' + std::to_string(steps_since_fall) +
           (is_resumed ? "r" : "");
  }
};

// Returns what does not hold after `status` and `order` led from `was` to `is`; empty if all holds.
std::string violation(const CheckedState& was, const CheckedState& is, ZoneStatus status, OperatorOrder order,
                      bool is_in_force) {
  const int before = was.machine.local_share_thousandths();
  const int after = is.machine.local_share_thousandths();
  const auto from = was.machine.state();
  const auto to = is.machine.state();
  if (order == OperatorOrder::kHold && (before != after || from != to))
    return "something moved while it was held";
  if (order == OperatorOrder::kEvacuate && after > before) return "more stayed while it was being evacuated";
  if (is.evacuating_steps > 6 && (to != FailoverState::kFailedOver || after != 0))
    return "it was not evacuated in time";
  if (is.dead_steps > kConfirmationTime && order == OperatorOrder::kNone &&
      (to != FailoverState::kFailedOver || after > 10))
    return "a dead zone was not left in time";
  // Traffic returns only after the zone was good for a dwell. The probes of a dead zone do not count as a
  // return.
  const bool is_first_step = from != FailoverState::kReturning && to == FailoverState::kReturning;
  if (is_first_step && from != FailoverState::kEvacuating && is.good_steps < kMinDwell)
    return "it came back too soon";
  if (is_first_step && from != FailoverState::kEvacuating && was.steps_since_fall < kMinDwell)
    return "it came back within a dwell";
  if (after > before && status != ZoneStatus::kGood && from != FailoverState::kEvacuating && after > 10)
    return "more stayed though it looked bad";
  if (from == FailoverState::kReturning && !is_in_force && (after > before || to == FailoverState::kLocal))
    return "a step back was taken before all brokers acted on the last one";
  if (to != FailoverState::kLocal && is.machine.accepts_remote_traffic())
    return "others were let in while it was not well";
  if (to == FailoverState::kLocal && after != 1000) return "near, and not all stays";
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  const int removed_safeguard = argc > 2 && std::string(argv[1]) == "break" ? std::atoi(argv[2]) : 0;
  CheckedState first;
  first.machine = FailoverStateMachine(failover_options(removed_safeguard));
  std::unordered_set<std::string> seen{first.key()};
  std::vector<CheckedState> todo{first};
  std::uint64_t transitions = 0;
  while (!todo.empty()) {
    const CheckedState state = std::move(todo.back());
    todo.pop_back();
    const auto check = [&](CheckedState next, ZoneStatus status, OperatorOrder order, bool is_in_force) {
      ++transitions;
      if (const std::string what = violation(state, next, status, order, is_in_force); !what.empty()) {
        std::printf(removed_safeguard ? "with a defence out: %s\n" : "BROKEN: %s: %s\n", what.c_str(),
                    next.key().c_str());
        std::exit(removed_safeguard ? 0 : 1);
      }
      if (seen.insert(next.key()).second) todo.push_back(std::move(next));
    };
    for (const ZoneStatus status : {ZoneStatus::kGood, ZoneStatus::kOverloaded, ZoneStatus::kPartial,
                                    ZoneStatus::kDead, ZoneStatus::kUnknown})
      for (const OperatorOrder order : {OperatorOrder::kNone, OperatorOrder::kEvacuate, OperatorOrder::kHold})
        for (const auto& [sustainable_share, is_in_force] :
             {std::pair(0.8, true), std::pair(0.8, false), std::pair(0.4, true), std::pair(0.4, false)}) {
          if (sustainable_share < 0.8 && status != ZoneStatus::kOverloaded && status != ZoneStatus::kPartial)
            continue;
          CheckedState next = state;
          ++next.now;
          next.is_resumed = false;
          next.machine.update(next.now, status, sustainable_share, order,
                              is_in_force || removed_safeguard == 3);
          // An unknown status proves nothing either way: the count that began with a good status goes on.
          const bool counts_as_good =
              status == ZoneStatus::kGood || (status == ZoneStatus::kUnknown && next.good_steps > 0);
          next.good_steps = counts_as_good ? std::min(kMinDwell, next.good_steps + 1) : 0;
          next.dead_steps = status == ZoneStatus::kDead && order == OperatorOrder::kNone
                                ? std::min(kConfirmationTime + 1, next.dead_steps + 1)
                                : 0;
          next.evacuating_steps =
              order == OperatorOrder::kEvacuate ? std::min(7, next.evacuating_steps + 1) : 0;
          next.steps_since_fall =
              next.machine.local_share_thousandths() < state.machine.local_share_thousandths()
                  ? 0
                  : std::min(kMinDwell, next.steps_since_fall + 1);
          check(next, status, order, is_in_force);
        }
    if (!state.is_resumed) {  // a new leader knows only the state and the share
      CheckedState next = state;
      next.machine = FailoverStateMachine(failover_options(removed_safeguard));
      next.machine.resume(next.now, state.machine.state(), state.machine.local_share_thousandths());
      next.good_steps = next.dead_steps = next.evacuating_steps = 0;
      next.is_resumed = true;
      check(next, ZoneStatus::kGood, OperatorOrder::kHold, true);
    }
  }
  if (removed_safeguard) {
    std::printf("with a defence out: NOTHING found\n");
    return 1;
  }
  std::printf("%zu states, %llu ways, all there are: all of it holds\n", seen.size(),
              static_cast<unsigned long long>(transitions));
  return 0;
}
