#include "policy/search_admission.h"

#include <algorithm>

namespace cairnhub {

namespace {

// A search that takes less than expected lowers the expectation to this fraction at most.
constexpr std::size_t kDecayDivisor = 2;
// One search reserves at most the bound of batches divided by this.
constexpr std::size_t kReservationDivisor = 4;

}  // namespace

void SearchAdmission::record_search(std::size_t bytes) {
  expected_bytes_ = std::max(bytes, expected_bytes_ / kDecayDivisor);
}

std::size_t SearchAdmission::reserved_bytes() const {
  return std::min(expected_bytes_, limiter_.max_batch_bytes() / kReservationDivisor);
}

bool SearchAdmission::may_start(std::size_t held_bytes, bool has_search_in_hand) const {
  if (!has_search_in_hand) return limiter_.admits_request(held_bytes);
  return held_bytes + expected_bytes_ <= limiter_.max_batch_bytes();
}

}  // namespace cairnhub
