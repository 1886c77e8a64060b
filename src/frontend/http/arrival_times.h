// Records the arrival times of the bytes of one connection, to compute how long a pipelined request has
// waited. Does no I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace cairnhub::frontend {

// The arrival times of the bytes in the connection's buffer, and of the last byte that has left the buffer.
class ArrivalTimes {
 public:
  // Records bytes that were read into the connection's buffer.
  void record_read(std::size_t bytes, Time at);
  // Records that the socket holds unread bytes at the time `at`, while reading is suspended: the bytes read
  // next count as arrived at that time.
  void record_unread(Time at);
  // Returns the memory that the recorded times take.
  std::size_t memory_bytes() const { return arrivals_.size() * sizeof(Arrival); }
  // @param buffered_bytes bytes that are still in the buffer
  // @return when the last byte that has left the buffer arrived. Earlier arrivals are removed.
  Time last_consumed_at(std::size_t buffered_bytes, Time now);

 private:
  struct Arrival {
    std::uint64_t end_offset;  // counted from the connection's first byte
    Time at;
  };
  std::deque<Arrival> arrivals_;
  std::uint64_t total_bytes_ = 0;
  std::optional<Time> unread_since_;
};

}  // namespace cairnhub::frontend
