// The course of one zone: how much of what its brokers ask for may stay at home, and whether others may send
// there. Goes away at once where it must, comes back slowly. No I/O and no clock; tests/courses.cpp plays
// every order of what can happen to it.
//
//   near -> spilling -> near            it bears less than its brokers ask for: the excess goes elsewhere
//   near, spilling -> away              its hosts are dead
//   any -> evacuating -> away           an operator's order, step by step
//   away, spilling -> returning -> near once it has been good for a dwell, step by step as hosts warm
//
// A step that makes it worse is taken back, and the next dwell is twice as long: a zone that flaps moves
// traffic once a dwell.
#pragma once
#include <string>

#include "zone_failover/zone_health.h"

namespace cairnhub::zone_failover {

struct FailoverOptions {
  Time confirmation_time = kSecond;  // a look must last so long before anything follows from it
  Time min_dwell = 10 * kSecond;     // good for so long before the first step back
  Time max_dwell = 160 * kSecond;
  Time step_interval = 2 * kSecond;  // between two steps
  int first_step_thousandths = 125;  // thousandths, of the first step back
  int probe_thousandths = 10;        // that go on being asked of a dead zone, so that its return is seen
};

enum class FailoverState { kLocal, kSpilling, kEvacuating, kFailedOver, kReturning };
const char* name_of(FailoverState s);
enum class OperatorOrder { kNone, kEvacuate, kHold };

class FailoverStateMachine {
 public:
  explicit FailoverStateMachine(const FailoverOptions& terms) : terms_(terms) {}
  // As the last version has it: a leader that is new begins from there, its times counted anew.
  void resume(Time now, FailoverState state, int share);

  // A look at it; `bears`: share of its brokers' parts, counted where it is over or fails in part.
  // `in_force`: all brokers act on the state and share told last; until then a returning zone is given no
  // more, as brokers that get several steps at once would bring back all its load in one.
  void update(Time now, ZoneStatus look, double bears, OperatorOrder ordered, bool in_force = true);

  FailoverState state() const { return state_; }
  int local_share_thousandths() const {
    return share_;
  }  // thousandths of its brokers' parts that may stay at home
  // Others may send there more than the ground allows.
  bool accepts_remote_traffic() const {
    return state_ == FailoverState::kLocal && looks_ != ZoneStatus::kDead &&
           looks_ != ZoneStatus::kOverloaded;
  }
  // All that its further way depends on, for the exhaustive check.
  std::string state_key(Time now) const;

 private:
  void to(Time now, FailoverState state, int share);
  FailoverOptions terms_;
  FailoverState state_ = FailoverState::kLocal;
  int share_ = 1000;
  ZoneStatus looks_ = ZoneStatus::kGood, before_ = ZoneStatus::kGood;  // confirmed; the last told
  Time since_ = 0, stepped_ = 0, good_since_ = kNever, dwell_ = 0;
  bool begun_ = false;
};

}  // namespace cairnhub::zone_failover
