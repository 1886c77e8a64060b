// Ids of requests and shard requests, the ways in which an attempt can end, and the load report of an
// endpoint.
#pragma once
#include <cstdint>

namespace cairnhub {

using RequestId = std::uint32_t;  // of a request or a shard request; unique across both

enum class AttemptOutcome {
  kOk,
  kError,          // the endpoint ran it and returned an error
  kQueueFull,      // the endpoint rejected it
  kTimedOut,       // no response within the attempt's timeout
  kConnectFailed,  // no connection was established
  kReset,          // the connection ended with the attempt in flight
  kCancelled,
  kNotSent,  // no byte of it was written
};

// Whether the outcome proves that the endpoint did not run the shard request.
inline bool proves_not_run(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kQueueFull || outcome == AttemptOutcome::kConnectFailed ||
         outcome == AttemptOutcome::kNotSent;
}

// The load that an endpoint reports of itself. It is stored in the endpoint's record, but no decision uses
// it. A negative value means that the figure was not reported.
struct LoadReport {
  double in_flight = -1;   // requests
  double cpu_share = -1;   // 0 to 1
  double service_ms = -1;  // recent service time
};

}  // namespace cairnhub
