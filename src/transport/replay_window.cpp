#include "transport/replay_window.h"

namespace cairnhub::transport {

bool ReplayWindow::accept(std::uint64_t sequence_number) {
  if (sequence_number > highest_) {
    const std::uint64_t advance = sequence_number - highest_;
    const std::uint64_t still_inside = advance >= kWindowSize ? 0 : accepted_ << advance;
    accepted_ = still_inside | 1;
    highest_ = sequence_number;
    return true;
  }
  const std::uint64_t age = highest_ - sequence_number;
  if (age >= kWindowSize) {
    return false;
  }
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((accepted_ & bit) != 0) {
    return false;
  }
  accepted_ |= bit;
  return true;
}

}  // namespace cairnhub::transport
