// What the operator states of one class of requests, and the latency measured for its shard requests.
#pragma once
#include "base/time.h"

namespace cairnhub {

enum class Idempotency {
  kIdempotent,    // may be repeated at any time
  kDeduplicated,  // repeats are dropped within the deduplication window
  kAtMostOnce,    // may be repeated only where no attempt can have run
};

struct RequestClass {
  Idempotency idempotency = Idempotency::kIdempotent;
  Time latency_objective = 0;     // a response within it earns the class's full value
  Time request_timeout = 0;       // the client's whole wait, all its tries together
  Time deduplication_window = 0;  // from the first attempt that may have run; kDeduplicated only
  double importance = 1;
  double late_value_share = 0;     // what a response past the latency objective still earns
  double required_share = 1;       // share of weight that makes a complete response
  double min_response_share = 1;   // share of weight under which no response may be given
  double partial_value_share = 0;  // what a partial response earns, times share / required_share
  int second_step_shard_requests = 0;
  bool stays_in_region = false;
  bool stays_in_zone =
      false;  // for the moment, except for shards that have lost all replicas in the own zone

  // As configured; latency_objective and min_response_share may be tightened for a while.
  Time configured_latency_objective = 0;
  double configured_min_response_share = 1;

  // Measured: smoothed latency of a shard request and its mean deviation.
  Time smoothed_latency = 0;
  Time latency_deviation = 0;
  Time first_try_time_left = 0;  // that clients give a first try, by majority
  long first_try_votes = 0;
};

}  // namespace cairnhub
