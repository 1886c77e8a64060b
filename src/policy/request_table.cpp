#include "policy/request_table.h"

#include <utility>

namespace cairnhub {

void RequestTable::add(std::unique_ptr<Request> request) {
  by_correlation_id_[request->correlation_id] = request.get();
  schedule_review(*request);
  const RequestId id = request->id;
  requests_[id] = std::move(request);
}

void RequestTable::add(Request& request, std::unique_ptr<ShardRequest> shard_request) {
  shard_requests_[shard_request->id] = shard_request.get();
  request.shard_requests.push_back(std::move(shard_request));
  schedule_review(request);
}

Request* RequestTable::request(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

Request* RequestTable::request_by_correlation_id(float correlation_id) const {
  const auto found = by_correlation_id_.find(correlation_id);
  return found == by_correlation_id_.end() ? nullptr : found->second;
}

ShardRequest* RequestTable::shard_request(RequestId id) const {
  const auto found = shard_requests_.find(id);
  return found == shard_requests_.end() ? nullptr : found->second;
}

void RequestTable::schedule_review(Request& request) {
  if (request.is_due_for_review) return;
  request.is_due_for_review = true;
  due_.push_back(&request);
}

void RequestTable::schedule_review_of_all() {
  for (auto& [correlation_id, request] : by_correlation_id_) schedule_review(*request);
}

void RequestTable::finish_first_review() {
  Request& request = *due_.front();
  due_.pop_front();
  request.is_due_for_review = false;
  forget_if_done(request);
}

void RequestTable::end(Request& request) {
  request.phase = RequestPhase::kEnded;
  for (auto& shard_request : request.shard_requests) {
    shard_request->is_closed = true;
  }
  by_correlation_id_.erase(request.correlation_id);
}

void RequestTable::forget_if_done(Request& request) {
  if (request.phase != RequestPhase::kEnded || request.is_due_for_review) return;
  for (const auto& shard_request : request.shard_requests) {
    if (shard_request->attempts_in_flight()) return;
  }
  for (const auto& shard_request : request.shard_requests) {
    shard_requests_.erase(shard_request->id);
  }
  requests_.erase(request.id);
}

}  // namespace cairnhub
