#include "two_phase/time_split.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace cairnhub::two_phase {

namespace {

// The quantile of either phase that the split is made for.
constexpr double kMostTake = 0.9;
// Neither phase gets less than this share, whatever was learnt: what it took may change.
constexpr double kLeastShare = 0.1;

Time part(double share, Time of) { return static_cast<Time>(share * static_cast<double>(of)); }

}  // namespace

std::optional<Time> RecentDurations::quantile(double q) const {
  const std::size_t n = std::min(count_, kKept);
  if (n < kEnough) return std::nullopt;
  std::vector<Time> sorted(spans_.begin(), spans_.begin() + static_cast<std::ptrdiff_t>(n));
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(n - 1) + 0.5);
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

std::size_t TimeSplit::size_class(std::size_t blocks) {
  return std::min<std::size_t>(std::bit_width(std::max<std::size_t>(blocks, 1)) - 1, kClasses - 1);
}

// Of the class itself, else of the nearest one of which enough is known: what three blocks take says more of
// four than a guess does.
std::optional<Time> TimeSplit::known(const std::array<RecentDurations, kClasses>& of, std::size_t blocks,
                                     double q) const {
  if (!learns_) return std::nullopt;
  const std::size_t own = size_class(blocks);
  for (std::size_t off = 0; off < kClasses; ++off) {
    if (own + off < kClasses)
      if (const auto t = of[own + off].quantile(q)) return t;
    if (off <= own)
      if (const auto t = of[own - off].quantile(q)) return t;
  }
  return std::nullopt;
}

Time TimeSplit::match_time(std::size_t blocks, Time whole) const {
  const auto match = known(matches_, blocks, kMostTake), fetch = known(fetches_, blocks, kMostTake);
  double share = stated_;
  if (match && fetch && *match + *fetch > 0)
    share = std::clamp(seconds(*match) / seconds(*match + *fetch), kLeastShare, 1 - kLeastShare);
  return part(share, whole);
}

Time TimeSplit::typical_fetch_time(std::size_t blocks, Time whole) const {
  return known(fetches_, blocks, 0.5).value_or(part((1 - stated_) / 2, whole));
}
Time TimeSplit::typical_match_time(std::size_t blocks, Time whole) const {
  return known(matches_, blocks, 0.5).value_or(part(stated_ / 2, whole));
}
Time TimeSplit::min_fetch_time(std::size_t blocks) const {
  return known(finished_, blocks, 0.1).value_or(shortest_);
}

}  // namespace cairnhub::two_phase
