// Decides for one zone how much of its brokers' demand stays local, and whether other zones may send there.
// Traffic leaves a bad zone at once and returns in steps. Does no I/O and reads no clock; tests/courses.cpp
// checks every sequence of inputs.
//
//   local -> spilling -> local                   its brokers' demand exceeds what it can handle
//   any -> failed over                           its endpoints are dead
//   any -> evacuating -> failed over             an operator's order, in steps
//   failed over, spilling -> returning -> local  good for a dwell time; in steps, as its endpoints warm up
//
// A returning step that makes the zone bad is reverted, and the next dwell is twice as long, so a flapping
// zone moves traffic at most once per dwell.
#pragma once
#include <string>

#include "zone_failover/zone_health.h"

namespace cairnhub::zone_failover {

struct FailoverOptions {
  Time confirmation_time = kSecond;  // a status counts once it has lasted this long
  Time min_dwell = 10 * kSecond;     // time that a zone must be good before traffic returns
  Time max_dwell = 160 * kSecond;
  Time step_interval = 2 * kSecond;  // between two steps
  int first_step_thousandths = 125;  // local share after the first returning step
  int probe_thousandths = 10;        // local share of a dead zone, so that its recovery is noticed
};

enum class FailoverState { kLocal, kSpilling, kEvacuating, kFailedOver, kReturning };
// Returns the name used in JSON and in stored decisions: near, spilling, evacuating, away, returning.
const char* name_of(FailoverState state);
enum class OperatorOrder { kNone, kEvacuate, kHold };

class FailoverStateMachine {
 public:
  explicit FailoverStateMachine(const FailoverOptions& options) : options_(options) {}
  // Continues from the state in the last version, as a new leader does; all times start over.
  void resume(Time now, FailoverState state, int local_share_thousandths);

  // Updates the state from the zone's present status. `sustainable_share` is the share of its brokers' demand
  // that the zone can handle; it is used only if the zone is overloaded or partial. `is_in_force` is whether
  // all brokers act on the last state and share. A returning zone gets no further step until they do: brokers
  // that apply several steps at once would return its whole load in one step.
  void update(Time now, ZoneStatus status, double sustainable_share, OperatorOrder order,
              bool is_in_force = true);

  FailoverState state() const { return state_; }
  int local_share_thousandths() const { return local_share_; }  // of its brokers' demand
  // Returns whether other zones may send this zone more than the minimum share.
  bool accepts_remote_traffic() const {
    return state_ == FailoverState::kLocal && confirmed_status_ != ZoneStatus::kDead &&
           confirmed_status_ != ZoneStatus::kOverloaded;
  }
  // Returns everything that later decisions depend on, as one key for the exhaustive test.
  std::string state_key(Time now) const;

 private:
  void move_to(Time now, FailoverState state, int local_share_thousandths);
  FailoverOptions options_;
  FailoverState state_ = FailoverState::kLocal;
  int local_share_ = 1000;  // thousandths
  ZoneStatus confirmed_status_ = ZoneStatus::kGood;
  ZoneStatus last_status_ = ZoneStatus::kGood;
  Time status_since_ = 0;
  Time stepped_at_ = 0;
  Time good_since_ = kNever;
  Time dwell_ = 0;
  bool has_status_ = false;  // an update came since the start or resume()
};

}  // namespace cairnhub::zone_failover
