#include "policy/endpoint_table.h"

#include <utility>

namespace cairnhub {

void EndpointTable::set_layout(int ring_size, int replicas) {
  ring_.resize(ring_size);
  replicas_ = replicas;
}

Endpoint& EndpointTable::find_or_add(EndpointId id) {
  auto& slot = endpoints_[id];
  if (!slot) {
    slot = std::make_unique<Endpoint>();
    slot->id = id;
  }
  return *slot;
}

void EndpointTable::place(Endpoint& endpoint, int ring_position) {
  const bool is_outside = ring_position < 0 || ring_position >= static_cast<int>(ring_.size());
  if (endpoint.ring_position == ring_position || is_outside) return;
  if (endpoint.ring_position >= 0) std::erase(ring_[endpoint.ring_position], &endpoint);
  endpoint.ring_position = ring_position;
  ring_[ring_position].push_back(&endpoint);
}

void EndpointTable::set_ready(Endpoint& endpoint, bool is_ready) {
  if (endpoint.is_ready == is_ready) return;
  endpoint.is_ready = is_ready;
  ready_count_ += is_ready ? 1 : -1;
  responses_of_ready_ += is_ready ? endpoint.recent_responses : -endpoint.recent_responses;
}

void EndpointTable::mark_removed(Endpoint& endpoint, Time now) {
  if (endpoint.removed_at != kNever) return;
  endpoint.removed_at = now;
  removals_.push_back({now, endpoint.id});
}

std::vector<Endpoint*> EndpointTable::replicas(int shard) const {
  std::vector<Endpoint*> found;
  found.reserve(replicas_);  // most ring positions have one endpoint
  for (int offset = 0; offset < replicas_; ++offset) {
    for (Endpoint* endpoint : ring_[(shard + offset) % ring_.size()]) found.push_back(endpoint);
  }
  return found;
}

void EndpointTable::record_response(Endpoint& endpoint, Time now, Time since) {
  responses_.push_back({now, &endpoint});
  count_response(endpoint, 1);
  while (responses_.front().at < since) {
    count_response(*responses_.front().endpoint, -1);
    responses_.pop_front();
  }
}

double EndpointTable::mean_recent_responses() const {
  return ready_count_ ? static_cast<double>(responses_of_ready_) / ready_count_ : 0;
}

std::optional<EndpointId> EndpointTable::forget_one(Time before) {
  while (!removals_.empty() && removals_.front().at < before) {
    const Removal removal = removals_.front();
    const auto found = endpoints_.find(removal.id);
    if (found == endpoints_.end() || found->second->removed_at != removal.at) {  // it was listed again
      removals_.pop_front();
      continue;
    }
    Endpoint& endpoint = *found->second;
    if (!endpoint.attempts.empty() || endpoint.recent_responses > 0) return std::nullopt;
    if (endpoint.ring_position >= 0) std::erase(ring_[endpoint.ring_position], &endpoint);
    endpoints_.erase(found);
    removals_.pop_front();
    return removal.id;
  }
  return std::nullopt;
}

void EndpointTable::count_response(Endpoint& endpoint, int change) {
  endpoint.recent_responses += change;
  if (endpoint.is_ready) responses_of_ready_ += change;
}

}  // namespace cairnhub
