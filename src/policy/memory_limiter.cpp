#include "policy/memory_limiter.h"

namespace cairnhub {

namespace {

// Each divides the memory limit of the process.
constexpr std::size_t kBatchDivisor = 8;
constexpr std::size_t kRequestDivisor = 4;
constexpr std::size_t kReceivedDivisor = 4;
constexpr std::size_t kHeldDivisor = 2;

}  // namespace

MemoryLimiter::MemoryLimiter(std::size_t process_limit_bytes)
    : max_batch_bytes_(process_limit_bytes / kBatchDivisor),
      max_request_bytes_(process_limit_bytes / kRequestDivisor),
      max_received_bytes_(process_limit_bytes / kReceivedDivisor),
      max_held_bytes_(process_limit_bytes / kHeldDivisor) {}

// What is received takes many small blocks, which the process keeps after they are freed, so that their bound
// leaves room for the values made of them.
bool MemoryLimiter::admits_received(std::size_t held_bytes, std::size_t received_bytes) const {
  return received_bytes <= max_received_bytes_ && held_bytes <= max_held_bytes_;
}

bool MemoryLimiter::admits_value(std::size_t held_bytes, std::size_t value_bytes) const {
  return held_bytes + value_bytes <= max_held_bytes_;
}

}  // namespace cairnhub
