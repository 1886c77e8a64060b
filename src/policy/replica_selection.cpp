#include "policy/replica_selection.h"

#include <algorithm>

namespace cairnhub {

namespace {

constexpr int kMaxQuietServiceTimes = kFirstProbeLatencies * kMaxProbeFactor;

}  // namespace

Endpoint* ReplicaSelection::pick(const ShardRequest& shard_request, Time now) {
  Endpoint* best = nullptr;
  Rank best_rank;
  std::size_t ties = 0;
  bool is_blocked_by_zone_limit = false;  // a zone limit blocks a live replica
  const auto replicas = endpoints_.replicas(shard_request.shard);
  const bool stays_in_zone = must_stay_in_zone(shard_request, replicas);
  for (Endpoint* endpoint : replicas) {
    const History history = history_at(shard_request, *endpoint);
    if (history == History::kSent || (stays_in_zone && endpoint->zone != 0)) continue;
    const bool is_live = endpoint->is_ready && !endpoint->is_ejected;
    is_blocked_by_zone_limit =
        is_blocked_by_zone_limit || (is_live && !locality_.allows(shard_request, *endpoint));
    if (!guard_.may_send(shard_request, *endpoint, now)) continue;
    const Rank rank = this->rank(shard_request, *endpoint, history == History::kReturnedError, now);
    if (best && best_rank < rank) continue;
    if (!best || rank < best_rank) ties = 0;
    if (random_.below(++ties) == 0) best = endpoint;
    best_rank = rank;
  }
  // A shard request that zone limits keep from its live replicas must not go to a replica that is down: it
  // would fail, and the other shard requests of its request would be wasted work for the live zones.
  if (is_blocked_by_zone_limit && best_rank.is_ejected && is_likely_down(*best, now)) return nullptr;
  return best;
}

// An endpoint that returned an error may get the shard request again, but ranks one batch behind the others:
// one that returns errors at once looks idle.
ReplicaSelection::History ReplicaSelection::history_at(const ShardRequest& shard_request,
                                                       const Endpoint& endpoint) {
  History history = History::kNone;
  for (const auto& attempt : shard_request.attempts) {
    if (attempt->endpoint != &endpoint) continue;
    if (!attempt->has_ended || attempt->outcome != AttemptOutcome::kError) return History::kSent;
    history = History::kReturnedError;
  }
  return history;
}

bool ReplicaSelection::must_stay_in_zone(const ShardRequest& shard_request,
                                         const std::vector<Endpoint*>& replicas) {
  if (!shard_request.request->request_class->stays_in_zone) return false;
  return std::any_of(replicas.begin(), replicas.end(), [](const Endpoint* endpoint) {
    return endpoint->zone == 0 && endpoint->is_ready && !endpoint->is_ejected;
  });
}

ReplicaSelection::Rank ReplicaSelection::rank(const ShardRequest& shard_request, const Endpoint& endpoint,
                                              bool returned_error, Time now) const {
  const int slowness_level = latencies_.slowness_level(endpoint, now);
  const int batch_penalty = locality_.batch_penalty(shard_request, endpoint, slowness_level);
  const int batches = endpoint.batches_in_flight + returned_error + batch_penalty;
  return {.is_ejected = outliers_.is_ejected_now(endpoint, now),
          .load = 2 * batches - (batches_.has_room(endpoint) ? 3 : 0),
          .slowness_level = slowness_level};
}

// An endpoint that has responded recently is slow rather than down.
bool ReplicaSelection::is_likely_down(const Endpoint& endpoint, Time now) const {
  const double quiet_service_times =
      seconds(now - endpoint.last_response_at) / latencies_.median_service_time_s();
  return quiet_service_times > kMaxQuietServiceTimes;
}

}  // namespace cairnhub
