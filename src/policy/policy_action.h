// One decision of the policy, which the caller carries out.
#pragma once
#include <cstdint>

#include "base/time.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"

namespace cairnhub {

struct PolicyAction {
  enum class Kind {
    kSendAttempt,     // request (a shard request), endpoint, duration (its timeout), max_start_delay
    kCancelAttempt,   // request (a shard request), attempt_index
    kRespond,         // request, is_complete
    kReject,          // request, duration (Retry-After; 0 = no advice)
    kFail,            // request
    kProbe,           // reserved, never returned: an ejected endpoint is probed with an attempt
    kSubscribe,       // to changes of the endpoint list
    kForgetEndpoint,  // endpoint: long removed; should it come back, any id will do
    kWake,            // duration, token: call woken(token) after it
  };
  Kind kind;
  RequestId request = 0;
  EndpointId endpoint = 0;
  int attempt_index = 0;
  bool is_complete = false;
  Time duration = 0;
  std::uint64_t token = 0;
  // How much later than now an attempt that waits for its connection may begin: what makes it safe to repeat
  // ends then.
  Time max_start_delay = kNever;
};

}  // namespace cairnhub
