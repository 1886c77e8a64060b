// Counts the attempts and bytes that one broker exchanges with each zone, by request class, and limits the
// bytes that cross zones. Does no I/O and reads no clock.
//
// The budget of a class is a token bucket of bytes: it fills at the class's rate up to a fixed time's worth,
// and bytes in both directions are taken from it. Until the bytes of an attempt are known, the attempt
// reserves the most that a recent attempt carried, so that many concurrent attempts do not overdraw the
// budget. Once the budget is exhausted, the class's shard requests stay in the broker's own zone. Shard
// requests without a local replica cross all the same, because a response matters more than the budget; they
// are counted separately and take nothing from the budget, so it is full again once the local replicas are
// in service again.
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cairnhub::zone_failover {

constexpr double kNoBudget = std::numeric_limits<double>::infinity();

// Traffic counters of one zone and one request class.
struct ZoneTrafficCounters {
  std::uint64_t attempts = 0;
  std::uint64_t attempts_over_budget = 0;  // sent while the budget was exhausted
  long long bytes_out = 0;                 // to the zone
  long long bytes_in = 0;                  // from the zone
  long long bytes_over_budget = 0;         // in both directions, of the attempts over budget
};

// Zones are numbered; 0 is the broker's own.
class CrossZoneBudget {
 public:
  // A full budget holds what its rate yields in `fill_time`.
  CrossZoneBudget(Time fill_time, std::size_t request_classes)
      : fill_time_(fill_time), budgets_(request_classes) {}

  // Sets the class's rate; kNoBudget removes the limit. A class without a limit so far starts with a full
  // budget; a lower rate cuts the remaining bytes to the new maximum.
  void set_limit(Time now, int request_class, double bytes_per_second);
  bool has_limits() const { return limited_classes_ > 0; }
  bool is_exhausted(Time now, int request_class) const;

  // Returns whether the attempt is over budget; the caller passes the result on to record_bytes() and
  // finish_attempt().
  bool start_attempt(Time now, int zone, int request_class);
  // `request_class` is -1 for bytes of an attempt that is no longer known.
  void record_bytes(Time now, int zone, int request_class, bool is_over_budget, long long bytes_out,
                    long long bytes_in);
  void finish_attempt(int zone, int request_class, bool is_over_budget);

  struct BudgetState {
    double bytes_per_second, remaining_bytes;
    double expected_attempt_bytes;  // 0: no attempt has carried bytes yet
    int attempts_in_flight;
  };
  BudgetState budget_state(Time now, int request_class) const;
  // Returns the counters by zone and request class.
  const std::map<std::pair<int, int>, ZoneTrafficCounters>& counters() const { return counters_; }

 private:
  struct Budget {
    double bytes_per_second = kNoBudget;
    double remaining_bytes = 0;  // at updated_at
    Time updated_at = 0;
    int attempts_in_flight = 0;
    double max_bytes_out = 0;  // of one attempt; decays slowly
    double max_bytes_in = 0;
  };
  double remaining_bytes(Time now, const Budget& budget) const;
  double full_bytes(const Budget& budget) const { return budget.bytes_per_second * seconds(fill_time_); }

  Time fill_time_;
  std::vector<Budget> budgets_;  // by request class
  int limited_classes_ = 0;
  std::map<std::pair<int, int>, ZoneTrafficCounters>
      counters_;  // bounded by the configured zones and classes
};

}  // namespace cairnhub::zone_failover
