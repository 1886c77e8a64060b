// How the time of a two-phase multiget is shared out between its phases, learnt from what both took, by op
// type and by the number of blocks. No I/O, no clock; times are spans in nanoseconds.
//
// What is kept of each size class (a power of two of blocks) is the last 64 phases, so quantiles are exact
// over these, old ones fade, and memory is bounded whatever is asked. A phase that was cut counts at the age
// it was cut at: left out, only the quick ones would be heard of.
#pragma once
#include <array>
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace cairnhub::two_phase {

class RecentDurations {
 public:
  static constexpr std::size_t kKept = 64, kEnough = 8;
  void add(Time span) { spans_[count_++ % kKept] = span; }
  std::optional<Time> quantile(double q) const;  // none until enough is known

 private:
  std::array<Time, kKept> spans_{};
  std::size_t count_ = 0;
};

class TimeSplit {
 public:
  // `stated`: the share of the time that is the first phase's until enough is known; `shortest`: no second
  // phase is begun with less left, as long as nothing is known.
  TimeSplit(double stated, Time shortest, bool learns)
      : stated_(stated), shortest_(shortest), learns_(learns) {}

  void record_match(std::size_t blocks, Time span) { matches_[size_class(blocks)].add(span); }
  void record_fetch(std::size_t blocks, Time span, bool finished) {
    fetches_[size_class(blocks)].add(span);
    if (finished) finished_[size_class(blocks)].add(span);
  }

  // Of `whole`, what the first phase may take: both phases get the same multiple of what nine in ten take.
  Time match_time(std::size_t blocks, Time whole) const;
  // What a second phase of so many blocks usually takes; of `whole`, where nothing is known.
  Time typical_fetch_time(std::size_t blocks, Time whole) const;
  Time typical_match_time(std::size_t blocks, Time whole) const;
  // With less time left than the quickest tenth took, it can't finish.
  Time min_fetch_time(std::size_t blocks) const;

 private:
  static constexpr std::size_t kClasses = 17;
  static std::size_t size_class(std::size_t blocks);
  std::optional<Time> known(const std::array<RecentDurations, kClasses>& of, std::size_t blocks,
                            double q) const;

  double stated_;
  Time shortest_;
  bool learns_;
  std::array<RecentDurations, kClasses> matches_, fetches_, finished_;
};

}  // namespace cairnhub::two_phase
