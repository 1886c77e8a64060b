// A line a multiget as it ends, so that the id its client gave can be followed through every broker that
// handled it: how it ended, after how long, and what became of each send, by node.
//
// Off unless the environment has CAIRNHUB_TRACE=1 when the broker starts; then each line goes to standard
// error, past the log's limit of lines a second. Danger: at hundreds of multigets a second it would crowd out
// the log and slow the broker; it is for a look at a day, not for service.
#pragma once
#include <functional>
#include <string>

#include "dispatch/request.h"

namespace cairnhub::dispatch {

class RequestTrace {
 public:
  using EndpointNames =
      std::function<std::string(EndpointId)>;  // a node's name in the list; empty where unknown
  explicit RequestTrace(EndpointNames names);
  bool is_enabled() const { return on_; }
  // `how`: what the client was told, or that it left; `come_back` where it was told when (0: not told).
  void record_end(const Request& query, const char* how, Time come_back) const;

 private:
  EndpointNames names_;
  bool on_;
};

// The line itself at `now`, without its end of line.
std::string format_trace_line(const Request& query, const char* how, Time come_back, Time now,
                              const RequestTrace::EndpointNames& names);

}  // namespace cairnhub::dispatch
