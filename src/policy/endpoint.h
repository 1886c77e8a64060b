// The record of one endpoint: its entry in the endpoint list, the attempts in flight to it, and its
// measurements.
#pragma once
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"

namespace cairnhub {

struct Attempt;

// Shard requests sent to one endpoint in one turn, in one frame.
struct Batch {
  int shard_requests = 0;
  int shard_requests_in_flight = 0;
};

struct Endpoint {
  EndpointId id = 0;

  // From the endpoint list.
  bool is_ready = false;
  Time started_at = 0;                 // when its present process started; 0 = long ago
  std::uint64_t last_list_number = 0;  // EndpointList's number of the last list that named it
  int ring_position = -1;              // determines which shards it holds; -1 = none assigned
  int zone = 0;                        // 0 = this broker's own
  Time removed_at = kNever;            // kNever = still listed

  // In flight.
  std::vector<Attempt*> attempts;  // oldest first
  int batches_in_flight = 0;
  Batch* open_batch = nullptr;  // the latest batch, while it is in flight
  std::uint64_t open_batch_turn = 0;

  // Measurements.
  Time last_response_at = 0;
  double latency_s = 0;       // smoothed
  double queue_length = 0;    // smoothed; shard requests in flight at a send, the sent one included
  double service_time_s = 0;  // latency_s / queue_length
  long samples = 0;
  Time sampled_at = 0;      // time of the latest sample
  double failure_rate = 0;  // smoothed, 0 to 1
  bool is_ejected = false;
  Time next_probe_at = 0;
  Time probe_interval = 0;
  LoadReport load_report;
  int recent_responses = 0;      // successful, within the span that EndpointTable counts
  double slow_start_credit = 0;  // attempts that it may get while it is warming up
  Time slow_start_credit_at = 0;
};

}  // namespace cairnhub
