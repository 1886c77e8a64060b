#include "policy/memory_limiter.h"

namespace cairnhub {

namespace {

// Each divides the memory limit of the process.
constexpr std::size_t kRequestDivisor = 4;
constexpr std::size_t kHeldDivisor = 2;

}  // namespace

MemoryLimiter::MemoryLimiter(std::size_t process_limit_bytes)
    : max_request_bytes_(process_limit_bytes / kRequestDivisor),
      max_held_bytes_(process_limit_bytes / kHeldDivisor) {}

bool MemoryLimiter::admits_value(std::size_t held_bytes, std::size_t value_bytes) const {
  return held_bytes + value_bytes <= max_held_bytes_;
}

}  // namespace cairnhub
