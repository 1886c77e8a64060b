// Writes one line for each request as it ends: how the request ended, after how long, and the result of each
// attempt, by endpoint. The line has the id that the client gave, so that a request can be followed through
// every broker that handled it.
//
// Enabled by CAIRNHUB_TRACE=1 in the environment when the broker starts. The lines go to standard error and
// are exempt from the log's rate limit. At hundreds of requests a second they would crowd out the log and
// slow the broker, so the trace is meant for debugging and not for regular service.
#pragma once
#include <functional>
#include <string>

#include "dispatch/request.h"

namespace cairnhub::dispatch {

// Writes the trace lines if the trace is enabled.
class RequestTrace {
 public:
  using EndpointNames = std::function<std::string(EndpointId)>;  // the name in the list; empty if unknown
  explicit RequestTrace(EndpointNames endpoint_names);
  bool is_enabled() const { return is_enabled_; }
  // @param result      how the request ended
  // @param retry_after as sent to the client; 0: no advice
  void record_end(const Request& request, const char* result, Time retry_after) const;

 private:
  EndpointNames endpoint_names_;
  bool is_enabled_;
};

// Returns the line for a request that ended at `ended_at`, without the end of line.
std::string format_trace_line(const Request& request, const char* result, Time retry_after, Time ended_at,
                              const RequestTrace::EndpointNames& endpoint_names);

}  // namespace cairnhub::dispatch
