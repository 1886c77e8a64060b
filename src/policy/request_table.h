// Holds the requests of a broker, by the ids used in the policy's interface, and the queue of requests that
// are due for review. An ended request is kept until its last attempt has ended.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "policy/request.h"

namespace cairnhub {

class RequestTable {
 public:
  void add(std::unique_ptr<Request> request);
  void add(Request& request, std::unique_ptr<ShardRequest> shard_request);

  // These return null if there is none. request_by_correlation_id() finds only requests that have not ended.
  Request* request(RequestId id) const;
  Request* request_by_correlation_id(float correlation_id) const;
  ShardRequest* shard_request(RequestId id) const;

  void schedule_review(Request& request);
  void schedule_review_of_all();
  Request* first_due() const { return due_.empty() ? nullptr : due_.front(); }
  // Removes the first request from the queue, and from the table if it has ended and nothing is in flight.
  void finish_first_review();

  // Marks the request as ended. It stays in the table until forget_if_done().
  void end(Request& request);
  // Erases the request if it has ended, is not due for review and has no attempts in flight.
  void forget_if_done(Request& request);

 private:
  std::unordered_map<RequestId, std::unique_ptr<Request>> requests_;  // never iterated
  std::unordered_map<RequestId, ShardRequest*> shard_requests_;
  std::map<float, Request*> by_correlation_id_;
  std::deque<Request*> due_;
};

}  // namespace cairnhub
