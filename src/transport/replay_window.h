// Refuses sequence numbers that were accepted before (RFC 4303, 3.4.3), while messages may overtake each
// other.
#pragma once
#include <cstdint>

namespace cairnhub::transport {

class ReplayWindow {
 public:
  static constexpr std::uint64_t kWindowSize = 64;

  // True, and the number is remembered, unless it was accepted before or is kWindowSize or more below the
  // highest that was.
  // @param sequence_number from 1 on.
  bool accept(std::uint64_t sequence_number);

 private:
  std::uint64_t highest_ = 0;   // accepted so far; 0: none
  std::uint64_t accepted_ = 0;  // bit n: highest_ - n was accepted
};

}  // namespace cairnhub::transport
