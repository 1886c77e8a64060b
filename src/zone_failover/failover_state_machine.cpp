#include "zone_failover/failover_state_machine.h"

#include <algorithm>

namespace cairnhub::zone_failover {

const char* name_of(State s) {
  switch (s) {
    case State::near:
      return "near";
    case State::spilling:
      return "spilling";
    case State::evacuating:
      return "evacuating";
    case State::away:
      return "away";
    case State::returning:
      return "returning";
  }
  return "?";
}

void Course::resume(Time now, State state, int share) {
  state_ = state, share_ = share;
  since_ = stepped_ = now, good_since_ = kNever, begun_ = false;
  looks_ = before_ = Look::unknown;
}

void Course::to(Time now, State state, int share) {
  if (share < share_) good_since_ = kNever;  // what follows a fall must prove good anew
  if (state != state_ || share != share_) stepped_ = now;
  state_ = state, share_ = share;
}

void Course::tell(Time now, Look look, double bears, Ordered ordered, bool in_force) {
  if (dwell_ == 0) dwell_ = terms_.dwell;
  if (!begun_ || look != before_) since_ = now, begun_ = true;
  before_ = look;
  // Nothing is known of a zone that nobody asks: that confirms nothing, and ends no look.
  if (look != Look::unknown && now - since_ >= terms_.confirm) looks_ = look;
  if (look == Look::good) {
    if (good_since_ == kNever) good_since_ = now;
  } else if (look != Look::unknown) {
    good_since_ = kNever;
  }
  if (ordered == Ordered::hold) return;  // as it stands, until the operator ends it

  const bool may_step = now - stepped_ >= terms_.step;
  const bool bad = looks_ == Look::over || looks_ == Look::partial;
  const int bears_most = static_cast<int>(1000 * std::clamp(bears, 0.0, 1.0));
  if (ordered == Ordered::evacuate) {
    if (state_ == State::away) return to(now, State::away, 0);
    if (state_ != State::evacuating) return to(now, State::evacuating, std::max(0, share_ - 250));
    if (may_step) to(now, share_ <= 250 ? State::away : State::evacuating, std::max(0, share_ - 250));
    return;
  }
  if (looks_ == Look::dead && state_ != State::away) {
    if (state_ == State::returning) dwell_ = std::min(2 * dwell_, terms_.dwell_most);
    return to(now, State::away, terms_.probe);
  }
  // Every step back needs a look that is good now, not one that is only not bad.
  const bool good = look == Look::good && looks_ == Look::good;
  const bool dwelt = good && now - good_since_ >= dwell_;
  switch (state_) {
    case State::near:
      if (bad) return to(now, State::spilling, std::min(bears_most, 950));
      if (dwelt && now - stepped_ >= terms_.dwell_most)
        dwell_ = std::max(dwell_ / 2, terms_.dwell), stepped_ = now;
      return;
    case State::spilling:
      // What is over is so with what stays now; what is lost is lost whatever stays.
      if (bad && may_step && bears_most < 1000)
        return to(
            now, State::spilling,
            std::max(50, looks_ == Look::over ? share_ * bears_most / 1000 : std::min(share_, bears_most)));
      if (dwelt) return to(now, State::returning, std::min(1000, share_ + terms_.first));
      return;
    case State::evacuating:  // the order was ended on the way
      if (may_step) return to(now, State::returning, std::max(share_, terms_.first));
      return;
    case State::away:
      if (share_ == 0) return to(now, State::away, terms_.probe);  // asked a little, so that it is seen
      if (dwelt) return to(now, State::returning, terms_.first);
      return;
    case State::returning:
      if (bad) {  // the step made it worse: it is taken back
        dwell_ = std::min(2 * dwell_, terms_.dwell_most);
        return to(now, State::spilling, std::max(50, share_ / 2));
      }
      if (!in_force) return;
      if (share_ >= 1000) return to(now, State::near, 1000);
      if (may_step && good) to(now, State::returning, std::min(1000, 2 * share_));
      return;
  }
}

std::string Course::describe(Time now) const {
  // Of a span only so much counts as anything waits for.
  const auto span = [&](Time from, Time most) {
    return from == kNever ? std::string("-") : std::to_string(std::min(now - from, most));
  };
  return std::to_string(static_cast<int>(state_)) + ' ' + std::to_string(share_) + ' ' +
         std::to_string(static_cast<int>(looks_)) + std::to_string(static_cast<int>(before_)) + ' ' +
         span(since_, terms_.confirm) + ' ' + span(stepped_, std::max(terms_.step, terms_.dwell_most)) + ' ' +
         span(good_since_, std::max(dwell_, terms_.dwell)) + ' ' + std::to_string(dwell_) +
         (begun_ ? "" : "b");
}

}  // namespace cairnhub::zone_failover
