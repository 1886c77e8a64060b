#include "policy/admission_controller.h"

#include <algorithm>
#include <vector>

namespace cairnhub {

namespace {

// Bounds of the share of the time left that an estimated latency may take. The share falls by a factor after
// a late request and rises by a fixed amount after a request in time.
constexpr double kMaxObjectiveShare = 0.75;
constexpr double kMinObjectiveShare = 0.2;
constexpr double kLateDecreaseShare = 0.25;
constexpr double kInTimeIncrease = 0.02;
// Share of the limit to which the estimate must have fallen before a rejected client should retry.
constexpr double kRetryAfterShare = 2.0 / 3;
// Share of the time left past which a shard request is expected to be slow.
constexpr double kSlowShare = 0.25;

}  // namespace

AdmissionController::AdmissionController(ReplicaSelection& replicas, const LatencyEstimator& latencies,
                                         const DeadlinePolicy& deadlines, LocalityRouter& locality,
                                         ShardRequestDraw& draw)
    : replicas_(replicas),
      latencies_(latencies),
      deadlines_(deadlines),
      locality_(locality),
      draw_(draw),
      max_objective_share_(kMaxObjectiveShare) {}

std::optional<Time> AdmissionController::admit(Request& request, Time now) {
  // The shortest objective of all classes limits the queues. A class with a longer objective would otherwise
  // fill the queues up to its own limit, and requests of the shorter class would always be rejected.
  const Time objective_left = deadlines_.objective_deadline(request) - now;
  const double time_left_s = seconds(std::min(objective_left, latencies_.shortest_objective()));
  const double shard_requests = static_cast<double>(request.shard_requests.size());
  locality_.record_demand(request.request_class->required_share * shard_requests);
  const double estimate_s = estimate_latency_s(request, now);
  if (estimate_s > max_objective_share_ * time_left_s) {
    record_in_time();
    const double excess_s = std::max(0.0, estimate_s - kRetryAfterShare * max_objective_share_ * time_left_s);
    return static_cast<Time>(excess_s * kSecond);
  }
  request.is_admitted = true;
  draw_.select(request, kSlowShare * time_left_s);
  return std::nullopt;
}

void AdmissionController::record_late() {
  max_objective_share_ = std::max(kMinObjectiveShare, (1 - kLateDecreaseShare) * max_objective_share_);
}

void AdmissionController::record_in_time() {
  max_objective_share_ = std::min(kMaxObjectiveShare, max_objective_share_ + kInTimeIncrease);
}

double AdmissionController::estimate_latency_s(Request& request, Time now) {
  std::vector<const ShardRequest*> by_latency;
  for (auto& shard_request : request.shard_requests) {
    const Endpoint* endpoint = replicas_.pick(*shard_request, now);
    shard_request->expected_latency_s = endpoint ? latencies_.expected_latency_s(*endpoint, now)
                                                 : seconds(request.request_class->latency_objective);
    by_latency.push_back(shard_request.get());
    if (endpoint) locality_.reserve(*endpoint);
  }
  locality_.release_reservations();
  std::stable_sort(by_latency.begin(), by_latency.end(),
                   [](const ShardRequest* left, const ShardRequest* right) {
                     return left->expected_latency_s < right->expected_latency_s;
                   });
  double weight = 0;
  for (const ShardRequest* shard_request : by_latency) {
    weight += shard_request->weight;
    if (weight >= request.required_weight()) return shard_request->expected_latency_s;
  }
  return by_latency.empty() ? 0 : by_latency.back()->expected_latency_s;
}

}  // namespace cairnhub
