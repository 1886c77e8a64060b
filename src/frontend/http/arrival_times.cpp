#include "frontend/http/arrival_times.h"

#include <algorithm>
#include <utility>

namespace cairnhub::frontend {

namespace {

// Reads closer together share an entry, so that a client that writes byte by byte can't exhaust the memory.
constexpr Time kResolution = kSecond / 1000;

}  // namespace

void ArrivalTimes::record_read(std::size_t bytes, Time at) {
  const std::optional<Time> unread_since = std::exchange(unread_since_, std::nullopt);
  const Time arrived_at = unread_since ? std::min(*unread_since, at) : at;
  total_bytes_ += bytes;
  if (!arrivals_.empty() && arrived_at - arrivals_.back().at < kResolution) {
    arrivals_.back().end_offset = total_bytes_;
  } else {
    arrivals_.push_back({total_bytes_, arrived_at});
  }
}

void ArrivalTimes::record_unread(Time at) {
  if (!unread_since_) unread_since_ = at;
}

Time ArrivalTimes::last_consumed_at(std::size_t buffered_bytes, Time now) {
  const std::uint64_t consumed = total_bytes_ - std::min<std::uint64_t>(buffered_bytes, total_bytes_);
  while (!arrivals_.empty() && arrivals_.front().end_offset < consumed) arrivals_.pop_front();
  return arrivals_.empty() || consumed == 0 ? now : arrivals_.front().at;
}

}  // namespace cairnhub::frontend
