#include "policy/endpoint_list.h"

namespace cairnhub {

void EndpointList::begin(Time now, bool is_complete) {
  received_at_ = now;
  is_complete_ = is_complete;
  ++list_number_;
}

void EndpointList::add(EndpointId id, EndpointState state, Time started_at, int ring_position, int zone) {
  Endpoint& endpoint = endpoints_.find_or_add(id);
  endpoint.zone = zone;
  endpoints_.place(endpoint, ring_position);
  endpoint.last_list_number = list_number_;
  if (state != EndpointState::kRemoved) endpoint.removed_at = kNever;
  const bool is_ready = state == EndpointState::kReady;
  if (is_ready && endpoint.started_at != started_at) reset_for_new_process(endpoint, started_at);
  endpoints_.set_ready(endpoint, is_ready);
  if (state != EndpointState::kRemoved) return;
  endpoints_.mark_removed(endpoint, received_at_);
  mark_attempts_stalled(endpoint);
}

void EndpointList::end() {
  discovery_.list_received();
  if (!is_complete_) return;
  endpoints_.for_each([this](Endpoint& endpoint) {
    if (endpoint.last_list_number == list_number_) return;
    endpoints_.set_ready(endpoint, false);
    endpoints_.mark_removed(endpoint, received_at_);
  });
}

void EndpointList::reset_for_new_process(Endpoint& endpoint, Time started_at) {
  endpoint.is_ejected = false;
  endpoint.failure_rate = 0;
  endpoint.samples = 0;
  endpoint.started_at = started_at;
  slow_start_.endpoint_started(endpoint, received_at_, random_);
}

void EndpointList::mark_attempts_stalled(Endpoint& endpoint) {
  for (Attempt* attempt : endpoint.attempts) {
    attempt->is_overdue = true;
    attempt->is_stalled = true;
    requests_.schedule_review(*attempt->shard_request->request);
  }
}

}  // namespace cairnhub
