#include "zone_failover/failover_state_machine.h"

#include <algorithm>

namespace cairnhub::zone_failover {

namespace {

constexpr int kAllThousandths = 1000;
constexpr int kEvacuationStepThousandths = 250;
constexpr int kMaxSpillingThousandths = 950;
constexpr int kMinSpillingThousandths = 50;

}  // namespace

const char* name_of(FailoverState state) {
  switch (state) {
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

void FailoverStateMachine::resume(Time now, FailoverState state, int local_share_thousandths) {
  state_ = state;
  local_share_ = local_share_thousandths;
  status_since_ = stepped_at_ = now;
  good_since_ = kNever;
  has_status_ = false;
  confirmed_status_ = last_status_ = ZoneStatus::kUnknown;
}

void FailoverStateMachine::move_to(Time now, FailoverState state, int local_share_thousandths) {
  if (local_share_thousandths < local_share_) good_since_ = kNever;  // the zone must prove good again
  if (state != state_ || local_share_thousandths != local_share_) stepped_at_ = now;
  state_ = state;
  local_share_ = local_share_thousandths;
}

void FailoverStateMachine::update(Time now, ZoneStatus status, double sustainable_share, OperatorOrder order,
                                  bool is_in_force) {
  if (dwell_ == 0) dwell_ = options_.min_dwell;
  if (!has_status_ || status != last_status_) {
    status_since_ = now;
    has_status_ = true;
  }
  last_status_ = status;
  // A zone without requests has an unknown status: it confirms nothing and ends no confirmed status.
  if (status != ZoneStatus::kUnknown && now - status_since_ >= options_.confirmation_time)
    confirmed_status_ = status;
  if (status == ZoneStatus::kGood) {
    if (good_since_ == kNever) good_since_ = now;
  } else if (status != ZoneStatus::kUnknown) {
    good_since_ = kNever;
  }
  if (order == OperatorOrder::kHold) return;

  const bool may_step = now - stepped_at_ >= options_.step_interval;
  const bool is_bad =
      confirmed_status_ == ZoneStatus::kOverloaded || confirmed_status_ == ZoneStatus::kPartial;
  const int sustainable = static_cast<int>(kAllThousandths * std::clamp(sustainable_share, 0.0, 1.0));
  if (order == OperatorOrder::kEvacuate) {
    if (state_ == FailoverState::kFailedOver) return move_to(now, FailoverState::kFailedOver, 0);
    if (state_ != FailoverState::kEvacuating)
      return move_to(now, FailoverState::kEvacuating, std::max(0, local_share_ - kEvacuationStepThousandths));
    if (may_step)
      move_to(now,
              local_share_ <= kEvacuationStepThousandths ? FailoverState::kFailedOver
                                                         : FailoverState::kEvacuating,
              std::max(0, local_share_ - kEvacuationStepThousandths));
    return;
  }
  if (confirmed_status_ == ZoneStatus::kDead && state_ != FailoverState::kFailedOver) {
    if (state_ == FailoverState::kReturning) dwell_ = std::min(2 * dwell_, options_.max_dwell);
    return move_to(now, FailoverState::kFailedOver, options_.probe_thousandths);
  }
  // Every step that returns traffic needs a good status now, not merely the absence of a bad one.
  const bool is_good = status == ZoneStatus::kGood && confirmed_status_ == ZoneStatus::kGood;
  const bool has_dwelt = is_good && now - good_since_ >= dwell_;
  switch (state_) {
    case FailoverState::kLocal:
      if (is_bad)
        return move_to(now, FailoverState::kSpilling, std::min(sustainable, kMaxSpillingThousandths));
      if (has_dwelt && now - stepped_at_ >= options_.max_dwell) {
        dwell_ = std::max(dwell_ / 2, options_.min_dwell);
        stepped_at_ = now;
      }
      return;
    case FailoverState::kSpilling:
      // An overload was measured with the present local share, so the new share is a fraction of it. A loss
      // is independent of how much stays local.
      if (is_bad && may_step && sustainable < kAllThousandths)
        return move_to(now, FailoverState::kSpilling,
                       std::max(kMinSpillingThousandths, confirmed_status_ == ZoneStatus::kOverloaded
                                                             ? local_share_ * sustainable / kAllThousandths
                                                             : std::min(local_share_, sustainable)));
      if (has_dwelt)
        return move_to(now, FailoverState::kReturning,
                       std::min(kAllThousandths, local_share_ + options_.first_step_thousandths));
      return;
    case FailoverState::kEvacuating:  // the order ended before the evacuation did
      if (may_step)
        return move_to(now, FailoverState::kReturning,
                       std::max(local_share_, options_.first_step_thousandths));
      return;
    case FailoverState::kFailedOver:
      // A few requests must reach the zone, or its recovery would go unnoticed.
      if (local_share_ == 0) return move_to(now, FailoverState::kFailedOver, options_.probe_thousandths);
      if (has_dwelt) return move_to(now, FailoverState::kReturning, options_.first_step_thousandths);
      return;
    case FailoverState::kReturning:
      if (is_bad) {  // revert the last step
        dwell_ = std::min(2 * dwell_, options_.max_dwell);
        return move_to(now, FailoverState::kSpilling, std::max(kMinSpillingThousandths, local_share_ / 2));
      }
      if (!is_in_force) return;
      if (local_share_ >= kAllThousandths) return move_to(now, FailoverState::kLocal, kAllThousandths);
      if (may_step && is_good)
        move_to(now, FailoverState::kReturning, std::min(kAllThousandths, 2 * local_share_));
      return;
  }
}

std::string FailoverStateMachine::state_key(Time now) const {
  // A time span counts only up to the longest that any decision waits for.
  const auto span = [&](Time from, Time max_span) {
    return from == kNever ? std::string("-") : std::to_string(std::min(now - from, max_span));
  };
  return std::to_string(static_cast<int>(state_)) + ' ' + std::to_string(local_share_) + ' ' +
         std::to_string(static_cast<int>(confirmed_status_)) +
         std::to_string(static_cast<int>(last_status_)) + ' ' +
         span(status_since_, options_.confirmation_time) + ' ' +
         span(stepped_at_, std::max(options_.step_interval, options_.max_dwell)) + ' ' +
         span(good_since_, std::max(dwell_, options_.min_dwell)) + ' ' + std::to_string(dwell_) +
         (has_status_ ? "" : "b");
}

}  // namespace cairnhub::zone_failover
