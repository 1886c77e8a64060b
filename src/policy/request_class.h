// The configured properties of a class of requests, and the measured latency of its shard requests.
#pragma once
#include "base/time.h"

namespace cairnhub {

enum class Idempotency {
  kIdempotent,    // may be repeated at any time
  kDeduplicated,  // repeats are dropped within the deduplication window
  kAtMostOnce,    // may be repeated only if no attempt can have run
};

struct RequestClass {
  Idempotency idempotency = Idempotency::kIdempotent;
  Time latency_objective = 0;     // a response within it earns the full value
  Time request_timeout = 0;       // how long a client waits in all, including its retries
  Time deduplication_window = 0;  // from the first attempt that may have run; kDeduplicated only
  double importance = 1;
  double late_value_share = 0;     // share of the value that a later response earns
  double required_share = 1;       // share of the weight that makes a response complete
  double min_response_share = 1;   // share of the weight without which no response is sent
  double partial_value_share = 0;  // a partial response earns this * received share / required_share
  int second_step_shard_requests = 0;
  bool stays_in_region = false;
  // Temporary; does not apply to shards that have lost all replicas in this broker's zone.
  bool stays_in_zone = false;

  // The configured values; latency_objective and min_response_share may be stricter for a while.
  Time configured_latency_objective = 0;
  double configured_min_response_share = 1;

  // Measurements: the smoothed latency of a shard request and its smoothed mean deviation.
  Time smoothed_latency = 0;
  Time latency_deviation = 0;
  // The time that most clients give a first try, found by a running majority vote.
  Time first_try_time_left = 0;
  long first_try_votes = 0;
};

}  // namespace cairnhub
