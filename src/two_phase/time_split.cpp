#include "two_phase/time_split.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace cairnhub::two_phase {

namespace {

// The quantile of both phases' durations that the split is made for.
constexpr double kSplitQuantile = 0.9;
// The least share of either phase, whatever the durations so far: they may change.
constexpr double kMinShare = 0.1;

Time share_of(double share, Time total) { return static_cast<Time>(share * static_cast<double>(total)); }

}  // namespace

std::optional<Time> RecentDurations::quantile(double q) const {
  const std::size_t n = std::min(count_, kKept);
  if (n < kMinForQuantile) return std::nullopt;
  std::vector<Time> sorted(spans_.begin(), spans_.begin() + static_cast<std::ptrdiff_t>(n));
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(n - 1) + 0.5);
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

std::size_t TimeSplit::size_class(std::size_t blocks) {
  return std::min<std::size_t>(std::bit_width(std::max<std::size_t>(blocks, 1)) - 1, kSizeClasses - 1);
}

// The quantile of the size class of `blocks`, or of the nearest one with enough durations: a neighbour is a
// better estimate than the initial values.
std::optional<Time> TimeSplit::known_quantile(const std::array<RecentDurations, kSizeClasses>& phases,
                                              std::size_t blocks, double q) const {
  if (!learns_) return std::nullopt;
  const std::size_t own = size_class(blocks);
  for (std::size_t off = 0; off < kSizeClasses; ++off) {
    if (own + off < kSizeClasses)
      if (const auto t = phases[own + off].quantile(q)) return t;
    if (off <= own)
      if (const auto t = phases[own - off].quantile(q)) return t;
  }
  return std::nullopt;
}

Time TimeSplit::match_time(std::size_t blocks, Time total) const {
  const auto match = known_quantile(matches_, blocks, kSplitQuantile);
  const auto fetch = known_quantile(fetches_, blocks, kSplitQuantile);
  double share = initial_match_share_;
  if (match && fetch && *match + *fetch > 0)
    share = std::clamp(seconds(*match) / seconds(*match + *fetch), kMinShare, 1 - kMinShare);
  return share_of(share, total);
}

Time TimeSplit::typical_fetch_time(std::size_t blocks, Time total) const {
  return known_quantile(fetches_, blocks, 0.5).value_or(share_of((1 - initial_match_share_) / 2, total));
}
Time TimeSplit::typical_match_time(std::size_t blocks, Time total) const {
  return known_quantile(matches_, blocks, 0.5).value_or(share_of(initial_match_share_ / 2, total));
}
Time TimeSplit::min_fetch_time(std::size_t blocks) const {
  return known_quantile(completed_fetches_, blocks, 0.1).value_or(initial_min_fetch_time_);
}

}  // namespace cairnhub::two_phase
