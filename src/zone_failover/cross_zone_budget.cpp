#include "zone_failover/cross_zone_budget.h"

#include <algorithm>

namespace cairnhub::zone_failover {

namespace {

// How much of the most that one send was seen to carry each further one takes off it: a value of unusual size
// is forgotten after some hundred.
constexpr double kForget = 1.0 / 128;

void follow(double& most, double seen) { most = std::max(seen, most + kForget * (seen - most)); }

}  // namespace

double CrossZoneBudget::left(Time now, const Op& op) const {
  return std::min(full(op), op.left + op.a_second * seconds(now - op.at));
}

void CrossZoneBudget::set_limit(Time now, int op_type, double bytes_a_second) {
  Op& op = op_types_.at(static_cast<std::size_t>(op_type));
  if (op.a_second == bytes_a_second) return;
  const bool had = op.a_second != kNoBudget;
  limited_ += (bytes_a_second != kNoBudget) - had;
  const double saved = had ? left(now, op) : kNoBudget;
  op.a_second = bytes_a_second, op.at = now;
  op.left = bytes_a_second == kNoBudget ? 0 : std::min(saved, full(op));
}

bool CrossZoneBudget::is_exhausted(Time now, int op_type) const {
  const Op& op = op_types_.at(static_cast<std::size_t>(op_type));
  if (op.a_second == kNoBudget) return false;
  const double has = left(now, op), one = op.most_out + op.most_in;
  // Danger: a value larger than all that is ever saved would never cross. It does alone, from a full budget.
  if (op.sends_out == 0 && has >= full(op) && has > 0) return false;
  if (one == 0) return op.sends_out > 0 || has <= 0;  // nothing known yet: one at a time
  return has < one * (op.sends_out + 1);
}

bool CrossZoneBudget::start_attempt(Time now, int zone, int op_type) {
  ZoneTrafficCounters& c = table_[{zone, op_type}];
  ++c.attempts;
  if (zone == 0) return false;
  const bool over = is_exhausted(now, op_type);
  if (over)
    ++c.attempts_over_budget;
  else
    ++op_types_.at(static_cast<std::size_t>(op_type)).sends_out;
  return over;
}

void CrossZoneBudget::record_bytes(Time now, int zone, int op_type, bool over, long long out, long long in) {
  ZoneTrafficCounters& c = table_[{zone, op_type}];
  c.bytes_out += out, c.bytes_in += in;
  if (over) c.bytes_over_budget += out + in;
  if (op_type < 0) return;
  Op& op = op_types_.at(static_cast<std::size_t>(op_type));
  if (out > 0) follow(op.most_out, static_cast<double>(out));
  if (in > 0) follow(op.most_in, static_cast<double>(in));
  if (zone == 0 || over || op.a_second == kNoBudget) return;
  op.left = left(now, op) - static_cast<double>(out + in), op.at = now;
}

void CrossZoneBudget::finish_attempt(int zone, int op_type, bool over) {
  if (zone != 0 && !over) --op_types_.at(static_cast<std::size_t>(op_type)).sends_out;
}

CrossZoneBudget::BudgetState CrossZoneBudget::budget_state(Time now, int op_type) const {
  const Op& op = op_types_.at(static_cast<std::size_t>(op_type));
  return {op.a_second, op.a_second == kNoBudget ? kNoBudget : left(now, op), op.most_out + op.most_in,
          op.sends_out};
}

}  // namespace cairnhub::zone_failover
