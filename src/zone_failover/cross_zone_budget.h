// A broker's account of the parts and bytes it exchanges with each zone, by op type, and the budgets of those
// that cross. No I/O and no clock.
//
// A budget gathers a second's bytes each second, up to what is stated as saved; what crosses is taken off it,
// both ways. A send takes as much as one was seen to carry until what it carries is known, so that many sent
// at once don't overdraw it. Spent, the op type's parts stay near; those that cross all the same, as their
// shard has no near holder left, are counted apart and take nothing off it: answering goes before the budget,
// and the budget is whole once the near holders are back.
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cairnhub::zone_failover {

constexpr double kNoBudget = std::numeric_limits<double>::infinity();

struct ZoneTrafficCounters {
  std::uint64_t attempts = 0, attempts_over_budget = 0;  // sends; of them, those beyond a spent budget
  long long bytes_out = 0, bytes_in = 0,
            bytes_over_budget = 0;  // bytes to the zone, from it; of both, those beyond a spent budget
};

class CrossZoneBudget {
 public:
  CrossZoneBudget(Time saved, std::size_t op_types) : saved_(saved), op_types_(op_types) {}

  // Bytes a second; kNoBudget: none. A first one begins full; a lesser one takes away what it would not keep.
  void set_limit(Time now, int op_type, double bytes_a_second);
  bool has_limits() const { return limited_ > 0; }
  bool is_exhausted(Time now, int op_type) const;

  bool start_attempt(Time now, int zone, int op_type);  // zone 0: the own one; true: beyond a spent budget
  // `op_type` -1: of a part no longer known.
  void record_bytes(Time now, int zone, int op_type, bool over, long long out, long long in);
  void finish_attempt(int zone, int op_type, bool over);

  struct BudgetState {
    double bytes_per_second, remaining_bytes,
        expected_attempt_bytes;  // bytes; `a_send`: what one is taken to carry, 0 where none was seen
    int attempts_in_flight;
  };
  BudgetState budget_state(Time now, int op_type) const;
  const std::map<std::pair<int, int>, ZoneTrafficCounters>& counters() const {
    return table_;
  }  // by zone and op type

 private:
  struct Op {
    double a_second = kNoBudget, left = 0;
    Time at = 0;
    int sends_out = 0;
    double most_out = 0, most_in = 0;  // of one send, forgotten slowly
  };
  double left(Time now, const Op& op) const;
  double full(const Op& op) const { return op.a_second * seconds(saved_); }

  Time saved_;
  std::vector<Op> op_types_;
  int limited_ = 0;
  std::map<std::pair<int, int>, ZoneTrafficCounters>
      table_;  // zones by number and op types of the settings: bounded
};

}  // namespace cairnhub::zone_failover
