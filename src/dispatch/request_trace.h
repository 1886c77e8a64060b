// Writes one line for each request as it ends, so that a request can be followed through every broker that
// handled it by the id that its client gave: how it ended, after how long, and the result of each attempt, by
// endpoint.
//
// Enabled by CAIRNHUB_TRACE=1 in the environment when the broker starts. The lines go to standard error and
// are exempt from the log's rate limit: at hundreds of requests a second they would crowd out the log and
// slow the broker, so that the trace is meant for debugging and not for regular service.
#pragma once
#include <functional>
#include <string>

#include "dispatch/request.h"

namespace cairnhub::dispatch {

// Writes the trace lines where the trace is enabled.
class RequestTrace {
 public:
  using EndpointNames = std::function<std::string(EndpointId)>;  // the name in the list; empty where unknown
  explicit RequestTrace(EndpointNames endpoint_names);
  bool is_enabled() const { return is_enabled_; }
  // @param result      how the request ended
  // @param retry_after as told to the client; 0: no advice
  void record_end(const Request& request, const char* result, Time retry_after) const;

 private:
  EndpointNames endpoint_names_;
  bool is_enabled_;
};

// The line for a request that ended at `ended_at`, without the end of line.
std::string format_trace_line(const Request& request, const char* result, Time retry_after, Time ended_at,
                              const RequestTrace::EndpointNames& endpoint_names);

}  // namespace cairnhub::dispatch
