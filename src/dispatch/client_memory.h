// The account of the memory that the broker holds for its clients, from the first byte read of a request to
// the last byte written of its response. Whoever keeps such bytes reserves them here; the policy's
// MemoryLimiter decides by the sum.
#pragma once
#include <array>
#include <cstddef>
#include <memory>

#include "policy/memory_limiter.h"

namespace cairnhub::dispatch {

// What the memory is held for.
enum class MemoryUse {
  kIncomplete,  // requests that have not been read completely, and bytes read behind a request in flight
  kRequests,    // requests in flight: as read, parsed, and with their attempts
  kReceived,    // values from endpoints that are still incomplete
  kAnswers,     // values from endpoints, until the response is made of them
  kResponses,   // responses that are complete or in part, until their last byte is written
};
constexpr std::size_t kMemoryUseCount = 5;

// Counts the bytes by use, and logs how they are distributed whenever their sum reaches a new peak.
class ClientMemory {
 public:
  explicit ClientMemory(std::size_t process_limit_bytes);
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  // Replaces `before` bytes of this use by `after` bytes.
  void adjust(MemoryUse use, std::size_t before, std::size_t after);
  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t held_bytes(MemoryUse use) const { return bytes_by_use_[static_cast<std::size_t>(use)]; }
  const MemoryLimiter& limiter() const { return limiter_; }
  // Returns whether more of incomplete values may be received.
  bool admits_received() const {
    return limiter_.admits_received(held_bytes_, held_bytes(MemoryUse::kReceived));
  }
  // Returns whether new requests must be rejected.
  bool is_full() const { return !limiter_.admits_request(held_bytes_); }

 private:
  void log_peak();

  MemoryLimiter limiter_;
  std::size_t process_limit_bytes_;
  std::array<std::size_t, kMemoryUseCount> bytes_by_use_{};
  std::size_t held_bytes_ = 0;
  std::size_t next_logged_peak_;
};

// Bytes reserved in the account until this object is destroyed. Shares the account, because libevent may free
// the buffers of a connection after the rest of the broker.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<ClientMemory> memory, MemoryUse use, std::size_t bytes = 0);
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  ~MemoryReservation() { resize(0); }

  void resize(std::size_t bytes);
  void add(std::size_t bytes) { resize(bytes_ + bytes); }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<ClientMemory> memory_;  // null: nothing can be reserved
  MemoryUse use_ = MemoryUse::kRequests;
  std::size_t bytes_ = 0;
};

}  // namespace cairnhub::dispatch
