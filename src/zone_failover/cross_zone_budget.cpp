#include "zone_failover/cross_zone_budget.h"

#include <algorithm>

namespace cairnhub::zone_failover {

namespace {

// How far each attempt moves the maximum towards its own bytes: an unusually large value is forgotten after
// some hundred attempts.
constexpr double kMaxBytesDecay = 1.0 / 128;

void update_max(double& max_bytes, double bytes) {
  max_bytes = std::max(bytes, max_bytes + kMaxBytesDecay * (bytes - max_bytes));
}

}  // namespace

double CrossZoneBudget::remaining_bytes(Time now, const Budget& budget) const {
  return std::min(full_bytes(budget),
                  budget.remaining_bytes + budget.bytes_per_second * seconds(now - budget.updated_at));
}

void CrossZoneBudget::set_limit(Time now, int request_class, double bytes_per_second) {
  Budget& budget = budgets_.at(static_cast<std::size_t>(request_class));
  if (budget.bytes_per_second == bytes_per_second) return;
  const bool was_limited = budget.bytes_per_second != kNoBudget;
  limited_classes_ += (bytes_per_second != kNoBudget) - was_limited;
  const double remaining = was_limited ? remaining_bytes(now, budget) : kNoBudget;
  budget.bytes_per_second = bytes_per_second;
  budget.updated_at = now;
  budget.remaining_bytes = bytes_per_second == kNoBudget ? 0 : std::min(remaining, full_bytes(budget));
}

bool CrossZoneBudget::is_exhausted(Time now, int request_class) const {
  const Budget& budget = budgets_.at(static_cast<std::size_t>(request_class));
  if (budget.bytes_per_second == kNoBudget) return false;
  const double remaining = remaining_bytes(now, budget);
  const double expected_bytes = budget.max_bytes_out + budget.max_bytes_in;
  // A value larger than a full budget could otherwise never cross; it may cross alone, from a full budget.
  if (budget.attempts_in_flight == 0 && remaining >= full_bytes(budget) && remaining > 0) return false;
  if (expected_bytes == 0)
    return budget.attempts_in_flight > 0 || remaining <= 0;  // no size known yet: one attempt at a time
  return remaining < expected_bytes * (budget.attempts_in_flight + 1);
}

bool CrossZoneBudget::start_attempt(Time now, int zone, int request_class) {
  ZoneTrafficCounters& counters = counters_[{zone, request_class}];
  ++counters.attempts;
  if (zone == 0) return false;
  const bool is_over_budget = is_exhausted(now, request_class);
  if (is_over_budget)
    ++counters.attempts_over_budget;
  else
    ++budgets_.at(static_cast<std::size_t>(request_class)).attempts_in_flight;
  return is_over_budget;
}

void CrossZoneBudget::record_bytes(Time now, int zone, int request_class, bool is_over_budget,
                                   long long bytes_out, long long bytes_in) {
  ZoneTrafficCounters& counters = counters_[{zone, request_class}];
  counters.bytes_out += bytes_out;
  counters.bytes_in += bytes_in;
  if (is_over_budget) counters.bytes_over_budget += bytes_out + bytes_in;
  if (request_class < 0) return;
  Budget& budget = budgets_.at(static_cast<std::size_t>(request_class));
  if (bytes_out > 0) update_max(budget.max_bytes_out, static_cast<double>(bytes_out));
  if (bytes_in > 0) update_max(budget.max_bytes_in, static_cast<double>(bytes_in));
  if (zone == 0 || is_over_budget || budget.bytes_per_second == kNoBudget) return;
  budget.remaining_bytes = remaining_bytes(now, budget) - static_cast<double>(bytes_out + bytes_in);
  budget.updated_at = now;
}

void CrossZoneBudget::finish_attempt(int zone, int request_class, bool is_over_budget) {
  if (zone != 0 && !is_over_budget) --budgets_.at(static_cast<std::size_t>(request_class)).attempts_in_flight;
}

CrossZoneBudget::BudgetState CrossZoneBudget::budget_state(Time now, int request_class) const {
  const Budget& budget = budgets_.at(static_cast<std::size_t>(request_class));
  return {budget.bytes_per_second,
          budget.bytes_per_second == kNoBudget ? kNoBudget : remaining_bytes(now, budget),
          budget.max_bytes_out + budget.max_bytes_in, budget.attempts_in_flight};
}

}  // namespace cairnhub::zone_failover
