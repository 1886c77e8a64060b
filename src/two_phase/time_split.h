// Divides the time of a two-phase query between its match phase and its fetch phase, from the recent
// durations of both, by number of blocks. One instance serves one request class. No I/O, no clock; times are
// durations in nanoseconds.
//
// The numbers of blocks are grouped into size classes by powers of two. Each class keeps the last 64
// durations of each phase: quantiles over them are exact, old ones drop out, and memory is bounded. A phase
// that was cut off counts with its duration until then: without it, only quick phases would be recorded.
#pragma once
#include <array>
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace cairnhub::two_phase {

// The last kKept durations of a phase.
class RecentDurations {
 public:
  static constexpr std::size_t kKept = 64;
  static constexpr std::size_t kMinForQuantile = 8;
  void add(Time span) { spans_[count_++ % kKept] = span; }
  std::optional<Time> quantile(double q) const;  // none with fewer than kMinForQuantile

 private:
  std::array<Time, kKept> spans_{};
  std::size_t count_ = 0;
};

// The time split of one request class.
class TimeSplit {
 public:
  // @param initial_match_share the match phase's share of the time until enough durations are known
  // @param initial_min_fetch_time what min_fetch_time() returns until then
  // @param learns false: always use the initial values
  TimeSplit(double initial_match_share, Time initial_min_fetch_time, bool learns)
      : initial_match_share_(initial_match_share),
        initial_min_fetch_time_(initial_min_fetch_time),
        learns_(learns) {}

  void record_match(std::size_t blocks, Time span) { matches_[size_class(blocks)].add(span); }
  void record_fetch(std::size_t blocks, Time span, bool is_complete) {
    fetches_[size_class(blocks)].add(span);
    if (is_complete) completed_fetches_[size_class(blocks)].add(span);
  }

  // The time that the match phase may take, as a part of `total`: both phases get the same multiple of their
  // 90th percentile.
  Time match_time(std::size_t blocks, Time total) const;
  // The median duration of a phase over so many blocks; where none is known, half of the phase's initial
  // share of `total`.
  Time typical_fetch_time(std::size_t blocks, Time total) const;
  Time typical_match_time(std::size_t blocks, Time total) const;
  // The 10th percentile of the fetch phases that completed. With less time left a fetch phase isn't expected
  // to complete.
  Time min_fetch_time(std::size_t blocks) const;

 private:
  static constexpr std::size_t kSizeClasses = 17;
  static std::size_t size_class(std::size_t blocks);
  std::optional<Time> known_quantile(const std::array<RecentDurations, kSizeClasses>& phases,
                                     std::size_t blocks, double q) const;

  double initial_match_share_;
  Time initial_min_fetch_time_;
  bool learns_;
  std::array<RecentDurations, kSizeClasses> matches_, fetches_, completed_fetches_;
};

}  // namespace cairnhub::two_phase
