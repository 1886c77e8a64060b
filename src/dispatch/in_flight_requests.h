// The requests in flight: finds those that the policy's actions name, records how attempts ended, and reports
// that to the policy.
#pragma once
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/backend.h"
#include "dispatch/request.h"

namespace cairnhub::dispatch {

// Owns the requests from their arrival until their last attempt has ended.
class InFlightRequests {
 public:
  // @param memory_bytes the limit of the process. Values are accepted only while requests in flight take less
  //                     than half of it.
  InFlightRequests(RequestPolicy& policy, std::size_t memory_bytes)
      : policy_(policy), max_memory_bytes_(memory_bytes / 2) {}

  Request& add(std::unique_ptr<Request> request);        // assigns ids to it and its shard requests
  RequestId next_id() const { return last_id_ + 1; }     // that the next request added gets
  Request* find_request(RequestId id) const;             // null where it is unknown
  ShardRequest* find_shard_request(RequestId id) const;  // likewise
  // Whether a request of the name awaits its response.
  bool contains(const std::string& name) const { return names_.count(name) != 0; }
  // Requests that await their response.
  std::size_t count() const { return names_.size(); }
  std::size_t memory_bytes() const { return memory_bytes_; }  // approximate
  // Whether new requests must be rejected, so that a flood of them can't exhaust the memory: those in flight
  // take a quarter of it. The rest is for values to come, connections and the program. A request rejected on
  // arrival has sent nothing, so that a retry is harmless.
  bool is_full() const { return memory_bytes_ >= max_memory_bytes_ / 2; }
  // Accounts for what a frontend holds beside the requests, before and after a change.
  void adjust_memory(std::size_t before, std::size_t after) { memory_bytes_ += after - before; }

  // Records the attempt's result. The attempt may be destroyed when this returns.
  AttemptOutcome record_attempt_end(Attempt& attempt, const AttemptResult& result);
  // Reports the recorded results to the policy. @return whether there were any
  bool report_attempt_ends();
  // The request was responded to or abandoned; it is kept until its last attempt has ended.
  void close(Request& request);

 private:
  struct EndedAttempt {
    RequestId shard_request;
    int index;
    AttemptOutcome outcome;
    Time latency;
  };
  void remove_if_done(Request& request);

  RequestPolicy& policy_;
  std::size_t max_memory_bytes_;
  std::size_t memory_bytes_ = 0;
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Request>> requests_;  // must not be iterated over
  std::unordered_map<RequestId, ShardRequest*> shard_requests_;
  std::unordered_map<std::string, Request*> names_;  // of requests that await their response
  std::vector<EndedAttempt> ended_attempts_;
};

}  // namespace cairnhub::dispatch
