#include "dispatch/client_memory.h"

#include <sys/resource.h>

#include <utility>

#include "base/log.h"

namespace cairnhub::dispatch {

namespace {

constexpr std::size_t kBytesPerKb = 1024;
// A peak is logged when it exceeds the last one by this fraction of the memory limit.
constexpr std::size_t kPeakStepDivisor = 16;

std::size_t process_peak_kb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss);
}

}  // namespace

ClientMemory::ClientMemory(std::size_t process_limit_bytes)
    : limiter_(process_limit_bytes),
      process_limit_bytes_(process_limit_bytes),
      next_logged_peak_(process_limit_bytes / kPeakStepDivisor) {}

void ClientMemory::adjust(MemoryUse use, std::size_t before, std::size_t after) {
  bytes_by_use_[static_cast<std::size_t>(use)] += after - before;
  held_bytes_ += after - before;
  if (held_bytes_ >= next_logged_peak_) log_peak();
}

void ClientMemory::log_peak() {
  next_logged_peak_ = held_bytes_ + process_limit_bytes_ / kPeakStepDivisor;
  log("memory",
      "new peak of what is held for clients: %zu kB (incomplete %zu, requests %zu, received %zu, answers "
      "%zu, responses %zu); the process has taken %zu of %zu kB",
      held_bytes_ / kBytesPerKb, held_bytes(MemoryUse::kIncomplete) / kBytesPerKb,
      held_bytes(MemoryUse::kRequests) / kBytesPerKb, held_bytes(MemoryUse::kReceived) / kBytesPerKb,
      held_bytes(MemoryUse::kAnswers) / kBytesPerKb, held_bytes(MemoryUse::kResponses) / kBytesPerKb,
      process_peak_kb(), process_limit_bytes_ / kBytesPerKb);
}

MemoryReservation::MemoryReservation(std::shared_ptr<ClientMemory> memory, MemoryUse use, std::size_t bytes)
    : memory_(std::move(memory)), use_(use) {
  resize(bytes);
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : memory_(std::move(other.memory_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  resize(0);
  memory_ = std::move(other.memory_);
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void MemoryReservation::resize(std::size_t bytes) {
  if (!memory_) return;
  memory_->adjust(use_, std::exchange(bytes_, bytes), bytes);
}

}  // namespace cairnhub::dispatch
