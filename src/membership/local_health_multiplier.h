// Lifeguard's local health multiplier.
#pragma once
#include <algorithm>

#include "base/time.h"

namespace cairnhub::membership {

// Lengthens a member's own waits while the evidence speaks against itself (its probes fail, helpers are
// silent, it has to refute), so that a slow or cut-off member doesn't accuse sound ones.
class LocalHealthMultiplier {
 public:
  explicit LocalHealthMultiplier(int max_score) : max_score_(max_score) {}

  void record_failure() { score_ = std::min(score_ + 1, max_score_); }
  void record_success() { score_ = std::max(score_ - 1, 0); }
  int score() const { return score_; }  // 0: healthy
  Time scale(Time span) const { return span * (1 + score_); }

 private:
  int max_score_;
  int score_ = 0;
};

}  // namespace cairnhub::membership
