// Time on the broker's one clock, in whole nanoseconds; the origin is arbitrary.
#pragma once
#include <cstdint>

namespace cairnhub {

using Time = std::int64_t;  // a moment, or a span between two
constexpr Time kSecond = 1'000'000'000;
constexpr Time kNever = INT64_MAX;

inline double seconds(Time t) { return static_cast<double>(t) / kSecond; }

}  // namespace cairnhub
