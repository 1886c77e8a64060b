// When the bytes of one connection came, so that a request that waited behind another one knows how long. No
// I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace cairnhub::frontend {

class ArrivalTimes {
 public:
  // Bytes were read into the connection's buffer.
  void read(std::size_t bytes, Time at);
  // Unread bytes were seen at the socket while nothing is read: the next ones read count as come by then.
  void seen_unread(Time at);
  // When the last of the bytes taken out of the buffer so far had come; `buffered` bytes are still in it.
  // Forgets what came before.
  Time last_taken(std::size_t buffered, Time now);

 private:
  struct Mark {
    std::uint64_t upto;  // of the connection's bytes, counted from its beginning
    Time at;
  };
  std::deque<Mark> marks_;
  std::uint64_t total_ = 0;
  std::optional<Time> unread_since_;
};

}  // namespace cairnhub::frontend
