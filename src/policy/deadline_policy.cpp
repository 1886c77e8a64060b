#include "policy/deadline_policy.h"

#include <algorithm>
#include <cstdlib>

namespace cairnhub {

void DeadlinePolicy::record_arrival(RequestClass& request_class, Time time_left) const {
  if (std::abs(time_left - request_class.first_try_time_left) <= tick_) {
    ++request_class.first_try_votes;
  } else if (--request_class.first_try_votes < 0) {
    request_class.first_try_time_left = time_left;
    request_class.first_try_votes = 1;
  }
}

Time DeadlinePolicy::objective_deadline(const Request& request) const {
  const RequestClass& request_class = *request.request_class;
  const Time time_left = request.expires_at - request.arrived_at;
  const Time objective = request_class.latency_objective;
  const bool differs_from_first_tries = std::abs(time_left - request_class.first_try_time_left) > tick_;
  const bool is_retry = clients_mark_retries_ ? request.is_client_retry : differs_from_first_tries;
  Time waited = is_retry ? std::max<Time>(0, request_class.request_timeout - time_left) : 0;
  // A client that gives each try little time looks as if it had already waited for the whole objective. It
  // gets all the time that it asks for, unless it has marked the request as a retry and a late response earns
  // nothing.
  const bool is_surely_late = clients_mark_retries_ && !(request_class.late_value_share > 0);
  if (waited >= objective && !is_surely_late) waited = 0;
  return std::min(request.arrived_at + objective - waited, request.expires_at);
}

Time DeadlinePolicy::useful_until(const Request& request) const {
  const Time latest = request.expires_at - tick_;
  return request.request_class->late_value_share > 0 ? latest : std::min(latest, objective_deadline(request));
}

}  // namespace cairnhub
