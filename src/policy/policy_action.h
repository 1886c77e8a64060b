// One decision of the policy, for the caller to carry out.
#pragma once
#include <cstdint>

#include "base/time.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"

namespace cairnhub {

struct PolicyAction {
  // Each kind uses the fields named beside it.
  enum class Kind {
    kSendAttempt,     // request (a shard request), endpoint, duration (its timeout), max_start_delay
    kCancelAttempt,   // request (a shard request), attempt_index
    kRespond,         // request, is_complete
    kReject,          // request, duration (Retry-After; 0 = none)
    kFail,            // request
    kProbe,           // reserved, never returned: probes are sent as attempts
    kSubscribe,       // subscribe to changes of the endpoint list
    kForgetEndpoint,  // endpoint: removed long ago; if it is listed again, it may get any id
    kWake,            // duration, token: call woken(token) after the duration
  };
  Kind kind;
  RequestId request = 0;
  EndpointId endpoint = 0;
  int attempt_index = 0;
  bool is_complete = false;
  Time duration = 0;
  std::uint64_t token = 0;
  // kSendAttempt: how long the attempt may wait for its connection before it starts (nanoseconds). A later
  // start could run the shard request twice, because the deduplication window has then ended.
  Time max_start_delay = kNever;
};

}  // namespace cairnhub
