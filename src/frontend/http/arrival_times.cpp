#include "frontend/http/arrival_times.h"

#include <algorithm>
#include <utility>

namespace cairnhub::frontend {

namespace {

// Reads closer together share a mark. Danger: a client that writes byte by byte would fill the memory with
// marks.
constexpr Time kResolution = kSecond / 1000;

}  // namespace

void ArrivalTimes::read(std::size_t bytes, Time at) {
  const std::optional<Time> seen = std::exchange(unread_since_, std::nullopt);
  const Time came = seen ? std::min(*seen, at) : at;
  total_ += bytes;
  if (!marks_.empty() && came - marks_.back().at < kResolution)
    marks_.back().upto = total_;
  else
    marks_.push_back({total_, came});
}

void ArrivalTimes::seen_unread(Time at) {
  if (!unread_since_) unread_since_ = at;
}

Time ArrivalTimes::last_taken(std::size_t buffered, Time now) {
  const std::uint64_t taken = total_ - std::min<std::uint64_t>(buffered, total_);
  while (!marks_.empty() && marks_.front().upto < taken) marks_.pop_front();
  return marks_.empty() || taken == 0 ? now : marks_.front().at;
}

}  // namespace cairnhub::frontend
