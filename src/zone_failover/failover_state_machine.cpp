#include "zone_failover/failover_state_machine.h"

#include <algorithm>

namespace cairnhub::zone_failover {

const char* name_of(FailoverState s) {
  switch (s) {
    case FailoverState::kLocal:
      return "near";
    case FailoverState::kSpilling:
      return "spilling";
    case FailoverState::kEvacuating:
      return "evacuating";
    case FailoverState::kFailedOver:
      return "away";
    case FailoverState::kReturning:
      return "returning";
  }
  return "?";
}

void FailoverStateMachine::resume(Time now, FailoverState state, int share) {
  state_ = state, share_ = share;
  since_ = stepped_ = now, good_since_ = kNever, begun_ = false;
  looks_ = before_ = ZoneStatus::kUnknown;
}

void FailoverStateMachine::to(Time now, FailoverState state, int share) {
  if (share < share_) good_since_ = kNever;  // what follows a fall must prove good anew
  if (state != state_ || share != share_) stepped_ = now;
  state_ = state, share_ = share;
}

void FailoverStateMachine::update(Time now, ZoneStatus look, double bears, OperatorOrder ordered,
                                  bool in_force) {
  if (dwell_ == 0) dwell_ = terms_.min_dwell;
  if (!begun_ || look != before_) since_ = now, begun_ = true;
  before_ = look;
  // Nothing is known of a zone that nobody asks: that confirms nothing, and ends no look.
  if (look != ZoneStatus::kUnknown && now - since_ >= terms_.confirmation_time) looks_ = look;
  if (look == ZoneStatus::kGood) {
    if (good_since_ == kNever) good_since_ = now;
  } else if (look != ZoneStatus::kUnknown) {
    good_since_ = kNever;
  }
  if (ordered == OperatorOrder::kHold) return;  // as it stands, until the operator ends it

  const bool may_step = now - stepped_ >= terms_.step_interval;
  const bool bad = looks_ == ZoneStatus::kOverloaded || looks_ == ZoneStatus::kPartial;
  const int bears_most = static_cast<int>(1000 * std::clamp(bears, 0.0, 1.0));
  if (ordered == OperatorOrder::kEvacuate) {
    if (state_ == FailoverState::kFailedOver) return to(now, FailoverState::kFailedOver, 0);
    if (state_ != FailoverState::kEvacuating)
      return to(now, FailoverState::kEvacuating, std::max(0, share_ - 250));
    if (may_step)
      to(now, share_ <= 250 ? FailoverState::kFailedOver : FailoverState::kEvacuating,
         std::max(0, share_ - 250));
    return;
  }
  if (looks_ == ZoneStatus::kDead && state_ != FailoverState::kFailedOver) {
    if (state_ == FailoverState::kReturning) dwell_ = std::min(2 * dwell_, terms_.max_dwell);
    return to(now, FailoverState::kFailedOver, terms_.probe_thousandths);
  }
  // Every step back needs a look that is good now, not one that is only not bad.
  const bool good = look == ZoneStatus::kGood && looks_ == ZoneStatus::kGood;
  const bool dwelt = good && now - good_since_ >= dwell_;
  switch (state_) {
    case FailoverState::kLocal:
      if (bad) return to(now, FailoverState::kSpilling, std::min(bears_most, 950));
      if (dwelt && now - stepped_ >= terms_.max_dwell)
        dwell_ = std::max(dwell_ / 2, terms_.min_dwell), stepped_ = now;
      return;
    case FailoverState::kSpilling:
      // What is over is so with what stays now; what is lost is lost whatever stays.
      if (bad && may_step && bears_most < 1000)
        return to(now, FailoverState::kSpilling,
                  std::max(50, looks_ == ZoneStatus::kOverloaded ? share_ * bears_most / 1000
                                                                 : std::min(share_, bears_most)));
      if (dwelt)
        return to(now, FailoverState::kReturning, std::min(1000, share_ + terms_.first_step_thousandths));
      return;
    case FailoverState::kEvacuating:  // the order was ended on the way
      if (may_step)
        return to(now, FailoverState::kReturning, std::max(share_, terms_.first_step_thousandths));
      return;
    case FailoverState::kFailedOver:
      if (share_ == 0)
        return to(now, FailoverState::kFailedOver,
                  terms_.probe_thousandths);  // asked a little, so that it is seen
      if (dwelt) return to(now, FailoverState::kReturning, terms_.first_step_thousandths);
      return;
    case FailoverState::kReturning:
      if (bad) {  // the step made it worse: it is taken back
        dwell_ = std::min(2 * dwell_, terms_.max_dwell);
        return to(now, FailoverState::kSpilling, std::max(50, share_ / 2));
      }
      if (!in_force) return;
      if (share_ >= 1000) return to(now, FailoverState::kLocal, 1000);
      if (may_step && good) to(now, FailoverState::kReturning, std::min(1000, 2 * share_));
      return;
  }
}

std::string FailoverStateMachine::state_key(Time now) const {
  // Of a span only so much counts as anything waits for.
  const auto span = [&](Time from, Time most) {
    return from == kNever ? std::string("-") : std::to_string(std::min(now - from, most));
  };
  return std::to_string(static_cast<int>(state_)) + ' ' + std::to_string(share_) + ' ' +
         std::to_string(static_cast<int>(looks_)) + std::to_string(static_cast<int>(before_)) + ' ' +
         span(since_, terms_.confirmation_time) + ' ' +
         span(stepped_, std::max(terms_.step_interval, terms_.max_dwell)) + ' ' +
         span(good_since_, std::max(dwell_, terms_.min_dwell)) + ' ' + std::to_string(dwell_) +
         (begun_ ? "" : "b");
}

}  // namespace cairnhub::zone_failover
