// Applies the endpoint list.
//
// Decides: nothing. It updates the endpoint table from a list, which is either complete or holds changes
// only.
//
// Inputs: the entries of the list.
//
// Why: attempts at a removed endpoint will not return. A new process at a known endpoint must not inherit
// the measurements of the old process, nor get its full load at once.
#pragma once
#include "policy/discovery_refresh.h"
#include "policy/endpoint_table.h"
#include "policy/request_table.h"
#include "policy/slow_start_limiter.h"

namespace cairnhub {

class EndpointList {
 public:
  EndpointList(EndpointTable& endpoints, RequestTable& requests, const SlowStartLimiter& slow_start,
               DiscoveryRefresh& discovery, RandomSource& random)
      : endpoints_(endpoints),
        requests_(requests),
        slow_start_(slow_start),
        discovery_(discovery),
        random_(random) {}

  // Called once for each list: begin(), add() for each entry, then end(). See RequestPolicy::list_begins.
  void begin(Time now, bool is_complete);
  void add(EndpointId id, EndpointState state, Time started_at, int ring_position, int zone);
  void end();

 private:
  void reset_for_new_process(Endpoint& endpoint, Time started_at);
  void mark_attempts_stalled(Endpoint& endpoint);

  EndpointTable& endpoints_;
  RequestTable& requests_;
  const SlowStartLimiter& slow_start_;
  DiscoveryRefresh& discovery_;
  RandomSource& random_;
  Time received_at_ = 0;
  bool is_complete_ = false;
  std::uint64_t list_number_ = 0;
};

}  // namespace cairnhub
