// The broker's one clock: monotonic, set once by the wall clock, so that start times given in Unix time stand
// on it too.
#pragma once
#include <chrono>

#include "base/time.h"

namespace cairnhub {

inline Time monotonic_now() {
  using namespace std::chrono;
  return duration_cast<nanoseconds>(steady_clock::now().time_since_epoch()).count();
}

// By how much now() is ahead of the monotonic clock; the same for as long as the process lasts.
inline Time clock_offset() {
  using namespace std::chrono;
  static const Time offset =
      duration_cast<nanoseconds>(system_clock::now().time_since_epoch()).count() - monotonic_now();
  return offset;
}

inline Time now() { return clock_offset() + monotonic_now(); }

}  // namespace cairnhub
