#include "policy/memory_limiter.h"

namespace cairnhub {

namespace {

// Each divides the memory limit of the process.
constexpr std::size_t kBatchDivisor = 8;
constexpr std::size_t kIncompleteDivisor = 8;
constexpr std::size_t kRequestDivisor = 4;
constexpr std::size_t kReceivedDivisor = 4;
constexpr std::size_t kHeldDivisor = 2;

// Divides the bound of incomplete requests: what is freed beyond the excess.
constexpr std::size_t kIncompleteSlackDivisor = 8;

}  // namespace

MemoryLimiter::MemoryLimiter(std::size_t process_limit_bytes)
    : max_batch_bytes_(process_limit_bytes / kBatchDivisor),
      max_incomplete_bytes_(process_limit_bytes / kIncompleteDivisor),
      max_request_bytes_(process_limit_bytes / kRequestDivisor),
      max_received_bytes_(process_limit_bytes / kReceivedDivisor),
      max_held_bytes_(process_limit_bytes / kHeldDivisor) {}

std::size_t MemoryLimiter::incomplete_bytes_to_free(std::size_t incomplete_bytes) const {
  if (incomplete_bytes <= max_incomplete_bytes_) return 0;
  return incomplete_bytes - max_incomplete_bytes_ + max_incomplete_bytes_ / kIncompleteSlackDivisor;
}

// What is received takes many small blocks, which the process keeps after they are freed, so that their bound
// leaves room for the values made of them.
bool MemoryLimiter::admits_received(std::size_t held_bytes, std::size_t received_bytes) const {
  return received_bytes <= max_received_bytes_ && held_bytes <= max_held_bytes_;
}

bool MemoryLimiter::admits_value(std::size_t held_bytes, std::size_t value_bytes) const {
  return held_bytes + value_bytes <= max_held_bytes_;
}

}  // namespace cairnhub
