#include "policy/request_class_limiter.h"

namespace cairnhub {

bool RequestClassLimiter::admit(int request_class, bool is_served, int max_in_flight) {
  int& in_flight = in_flight_[request_class];
  const bool is_admitted = is_served && in_flight < max_in_flight;
  ++in_flight;
  return is_admitted;
}

void RequestClassLimiter::release(int request_class) { --in_flight_[request_class]; }

}  // namespace cairnhub
