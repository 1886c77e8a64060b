// A request, its shard requests, and the attempts made for each shard request.
#pragma once
#include <memory>
#include <vector>

#include "policy/attempt_outcome.h"
#include "policy/endpoint.h"
#include "policy/request_class.h"

namespace cairnhub {

struct Request;
struct ShardRequest;

struct Attempt {
  ShardRequest* shard_request = nullptr;
  Endpoint* endpoint = nullptr;
  std::shared_ptr<Batch> batch;
  int index = 0;
  Time sent_at = 0;
  int queue_length_before = 0;  // this broker's shard requests at the endpoint when it was sent
  Time expected_latency = 0;
  bool has_ended = false;
  bool is_cancelled = false;
  bool is_overdue = false;
  bool is_stalled = false;  // overdue, and not merely queued at the endpoint
  int overtaken_by = 0;     // later attempts at the endpoint that ended successfully before it
  AttemptOutcome outcome = AttemptOutcome::kOk;

  bool may_have_run() const { return !has_ended || !proves_not_run(outcome); }
};

struct ShardRequest {
  RequestId id = 0;
  Request* request = nullptr;
  int shard = 0;
  int step = 1;  // of the request, 1 or 2
  double weight = 0;
  double expected_latency_s = 0;  // estimated on admission
  bool is_selected = false;       // chosen to be sent; the others stay unsent
  int preferred_zone = 0;
  bool explores_zone = false;  // preferred_zone was drawn, to measure that zone's latency
  bool has_response = false;
  bool is_closed = false;  // no further attempt may be sent
  std::vector<std::unique_ptr<Attempt>> attempts;

  int attempts_in_flight() const {
    int count = 0;
    for (const auto& attempt : attempts) {
      count += !attempt->has_ended;
    }
    return count;
  }
  // Whether it is proved that no attempt so far has run.
  bool has_never_run() const {
    for (const auto& attempt : attempts) {
      if (attempt->may_have_run()) return false;
    }
    return true;
  }
  // Whether an attempt is in flight that is neither overdue nor cancelled.
  bool is_pending() const {
    for (const auto& attempt : attempts) {
      if (!attempt->has_ended && !attempt->is_overdue && !attempt->is_cancelled) return true;
    }
    return false;
  }
};

// Rounding of the weights on the wire may make their sum this much smaller than the required share.
constexpr double kWeightTolerance = 0.0001;

enum class RequestPhase { kCollecting, kAwaitingSecondStep, kEnded };

struct Request {
  RequestId id = 0;
  RequestClass* request_class = nullptr;
  float correlation_id = 0;  // shared by a request and its shard requests
  bool is_client_retry = false;
  Time arrived_at = 0;
  Time expires_at = 0;
  int step = 1;
  bool is_first_step_complete = false;
  RequestPhase phase = RequestPhase::kCollecting;
  bool is_admitted = false;
  bool is_due_for_review = false;
  Time wakes_at = kNever;  // earliest wake-up requested so far
  std::vector<std::unique_ptr<ShardRequest>> shard_requests;

  // Returns the weight of the shard requests of the present step that have a response.
  double received_weight() const {
    double sum = 0;
    for (const auto& shard_request : shard_requests) {
      if (shard_request->step == step && shard_request->has_response) sum += shard_request->weight;
    }
    return sum;
  }
  // Returns the weight that makes the response of the present step complete. A second step needs all of its
  // shard requests.
  double required_weight() const {
    return (step == 2 ? 1 : request_class->required_share) - kWeightTolerance;
  }
};

// Returns the number of this broker's shard requests that wait or run at the endpoint. Stalled ones are
// assumed to do neither.
inline int queue_length(const Endpoint& endpoint) {
  int count = 0;
  for (const Attempt* attempt : endpoint.attempts) {
    count += !attempt->is_stalled;
  }
  return count;
}

}  // namespace cairnhub
