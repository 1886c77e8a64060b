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

struct CourseTerms {
  Time confirm = kSecond;     // a look must last so long before anything follows from it
  Time dwell = 10 * kSecond;  // good for so long before the first step back
  Time dwell_most = 160 * kSecond;
  Time step = 2 * kSecond;  // between two steps
  int first = 125;          // thousandths, of the first step back
  int probe = 10;           // that go on being asked of a dead zone, so that its return is seen
};

enum class State { near, spilling, evacuating, away, returning };
const char* name_of(State s);
enum class Ordered { none, evacuate, hold };

class Course {
 public:
  explicit Course(const CourseTerms& terms) : terms_(terms) {}
  // As the last version has it: a leader that is new begins from there, its times counted anew.
  void resume(Time now, State state, int share);

  // A look at it; `bears`: share of its brokers' parts, counted where it is over or fails in part.
  // `in_force`: all brokers act on the state and share told last; until then a returning zone is given no
  // more, as brokers that get several steps at once would bring back all its load in one.
  void tell(Time now, Look look, double bears, Ordered ordered, bool in_force = true);

  State state() const { return state_; }
  int share() const { return share_; }  // thousandths of its brokers' parts that may stay at home
  // Others may send there more than the ground allows.
  bool takes_in() const { return state_ == State::near && looks_ != Look::dead && looks_ != Look::over; }
  // All that its further way depends on, for the exhaustive check.
  std::string describe(Time now) const;

 private:
  void to(Time now, State state, int share);
  CourseTerms terms_;
  State state_ = State::near;
  int share_ = 1000;
  Look looks_ = Look::good, before_ = Look::good;  // confirmed; the last told
  Time since_ = 0, stepped_ = 0, good_since_ = kNever, dwell_ = 0;
  bool begun_ = false;
};

}  // namespace cairnhub::zone_failover
