// Arrival times of the bytes of one connection, from which the time that a pipelined request has waited is
// computed. No I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace cairnhub::frontend {

class ArrivalTimes {
 public:
  // Records bytes that were read into the connection's buffer.
  void record_read(std::size_t bytes, Time at);
  // Records that the socket holds unread bytes while reading is suspended: the bytes read next count as
  // arrived at that time.
  void record_unread(Time at);
  // @param buffered_bytes that are still in the buffer
  // @return when the last byte that has left the buffer arrived. Earlier arrivals are forgotten.
  Time last_consumed_at(std::size_t buffered_bytes, Time now);

 private:
  struct Arrival {
    std::uint64_t end_offset;  // in the connection's bytes
    Time at;
  };
  std::deque<Arrival> arrivals_;
  std::uint64_t total_bytes_ = 0;
  std::optional<Time> unread_since_;
};

}  // namespace cairnhub::frontend
