// The requests in flight: finds the requests that the policy's actions name, records how their attempts
// ended, and reports the results to the policy.
#pragma once
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/backend.h"
#include "dispatch/client_memory.h"
#include "dispatch/request.h"

namespace cairnhub::dispatch {

// Owns the requests from their arrival until their last attempt has ended.
class InFlightRequests {
 public:
  // @param memory the account in which requests and their values are reserved
  InFlightRequests(RequestPolicy& policy, std::shared_ptr<ClientMemory> memory)
      : policy_(policy), memory_(std::move(memory)) {}

  Request& add(std::unique_ptr<Request> request);        // assigns ids to the request and its shard requests
  RequestId next_id() const { return last_id_ + 1; }     // the id that the next added request gets
  Request* find_request(RequestId id) const;             // null if the id is unknown
  ShardRequest* find_shard_request(RequestId id) const;  // null if the id is unknown
  // Returns whether a request of the name awaits its response.
  bool contains(const std::string& name) const { return names_.count(name) != 0; }
  // Returns the number of requests that await their response.
  std::size_t count() const { return names_.size(); }
  // Returns whether new requests must be rejected, so that a flood of them can't exhaust the memory. No
  // attempt was sent for a request rejected on arrival, so that a retry is harmless.
  bool is_full() const { return memory_->is_full(); }
  // Returns the account, in which frontends reserve what they hold beside the requests.
  const std::shared_ptr<ClientMemory>& memory() const { return memory_; }

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
    bool is_final;  // no further attempt may be made for the shard request
  };
  RequestCallbacks::ValueUse offer_value(const ShardRequest& shard_request, std::string_view value) const;
  void remove_if_done(Request& request);

  RequestPolicy& policy_;
  std::shared_ptr<ClientMemory> memory_;
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Request>> requests_;  // must not be iterated over
  std::unordered_map<RequestId, ShardRequest*> shard_requests_;
  std::unordered_map<std::string, Request*> names_;  // requests that await their response, by name
  std::vector<EndedAttempt> ended_attempts_;
};

}  // namespace cairnhub::dispatch
