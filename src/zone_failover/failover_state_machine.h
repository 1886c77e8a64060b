// Decides for one zone how much of its brokers' demand stays local, and whether other zones may send there.
// Traffic leaves at once if it must, and comes back slowly. Does no I/O and reads no clock; tests/courses.cpp
// checks every sequence of inputs.
//
//   local -> spilling -> local                   its brokers' demand is more than it can handle
//   any -> failed over                           its endpoints are dead
//   any -> evacuating -> failed over             an operator's order, in steps
//   failed over, spilling -> returning -> local  good for a dwell; in steps, as its endpoints warm up
//
// A returning step that makes the zone bad is taken back, and the next dwell is twice as long, so a flapping
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
// The name in JSON and in stored decisions: near, spilling, evacuating, away, returning.
const char* name_of(FailoverState state);
enum class OperatorOrder { kNone, kEvacuate, kHold };

class FailoverStateMachine {
 public:
  explicit FailoverStateMachine(const FailoverOptions& options) : options_(options) {}
  // Continues from the last version's state, as a new leader does; all times start over.
  void resume(Time now, FailoverState state, int local_share_thousandths);

  // Takes the zone's present status. `sustainable_share`, of its brokers' demand, counts if the zone is
  // overloaded or partial. `is_in_force` tells whether all brokers act on the last state and share. A
  // returning zone gets no further step until they do: brokers that apply several steps at once would bring
  // all its load back in one.
  void update(Time now, ZoneStatus status, double sustainable_share, OperatorOrder order,
              bool is_in_force = true);

  FailoverState state() const { return state_; }
  int local_share_thousandths() const { return local_share_; }  // of its brokers' demand
  // Whether other zones may send it more than the minimum share.
  bool accepts_remote_traffic() const {
    return state_ == FailoverState::kLocal && confirmed_status_ != ZoneStatus::kDead &&
           confirmed_status_ != ZoneStatus::kOverloaded;
  }
  // All that later decisions depend on, as one key for the exhaustive test.
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
