// The requests in flight: finds the requests that the policy's actions name, records how their attempts
// ended, and reports the results to the policy.
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
  // @param memory_bytes memory limit of the process. Values are accepted only while requests in flight take
  //                     less than half of the limit.
  InFlightRequests(RequestPolicy& policy, std::size_t memory_bytes)
      : policy_(policy), max_memory_bytes_(memory_bytes / 2) {}

  Request& add(std::unique_ptr<Request> request);        // assigns ids to the request and its shard requests
  RequestId next_id() const { return last_id_ + 1; }     // the id that the next added request gets
  Request* find_request(RequestId id) const;             // null if the id is unknown
  ShardRequest* find_shard_request(RequestId id) const;  // null if the id is unknown
  // Returns whether a request of the name awaits its response.
  bool contains(const std::string& name) const { return names_.count(name) != 0; }
  // Returns the number of requests that await their response.
  std::size_t count() const { return names_.size(); }
  std::size_t memory_bytes() const { return memory_bytes_; }  // approximate
  // Returns whether new requests must be rejected, so that a flood of them can't exhaust the memory: requests
  // in flight take a quarter of the memory limit. The rest is for values still to arrive, connections and the
  // program. No attempt was sent for a request rejected on arrival, so that a retry is harmless.
  bool is_full() const { return memory_bytes_ >= max_memory_bytes_ / 2; }
  // Accounts for memory that a frontend holds beside the requests. @param before, after bytes before and
  // after a change
  void adjust_memory(std::size_t before, std::size_t after) { memory_bytes_ += after - before; }

  // Records the attempt's result. The attempt may be destroyed when this returns.
  AttemptOutcome record_attempt_end(Attempt& attempt, const AttemptResult& result);
  // Reports the recorded results to the policy. @return whether there were any
  bool report_attempt_ends();
  // Ends a request that was responded to or abandoned; it is kept until its last attempt has ended.
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
  std::unordered_map<std::string, Request*> names_;  // requests that await their response, by name
  std::vector<EndedAttempt> ended_attempts_;
};

}  // namespace cairnhub::dispatch
