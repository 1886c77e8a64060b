// The book of multigets in hand: finds what the decisions name, notes how sends ended, and hands that back to
// the policy.
#pragma once
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/backend.h"
#include "dispatch/request.h"

namespace cairnhub::dispatch {

class InFlightRequests {
 public:
  // `memory`: of the process; values come in only while half of it isn't taken.
  InFlightRequests(RequestPolicy& policy, std::size_t memory) : policy_(policy), most_(memory / 2) {}

  Request& add(std::unique_ptr<Request> query);       // gives it and its parts their ids
  RequestId next_id() const { return last_id_ + 1; }  // of the next opened
  Request* find_request(RequestId id) const;
  ShardRequest* find_shard_request(RequestId id) const;
  bool contains(const std::string& name) const { return names_.count(name) != 0; }
  std::size_t count() const { return names_.size(); }
  std::size_t memory_bytes() const { return bytes_; }  // taken by what is in hand, about
  // Multigets are taken while those in hand take less than a quarter of the memory; the rest is for values to
  // come, connections and the program. Danger: a flood. What is turned away has sent nothing, so trying again
  // is harmless.
  bool is_full() const { return bytes_ >= most_ / 2; }
  // What is held for a client beside its multigets, before and after a change of it.
  void adjust_memory(std::size_t before, std::size_t after) { bytes_ += after - before; }

  // What became of it; the attempt itself may be gone once this returns.
  AttemptOutcome record_attempt_end(Attempt& attempt, const AttemptResult& result);
  bool report_attempt_ends();  // what was noted goes to the policy; false where there was nothing
  void close(Request& query);  // answered or abandoned: kept until its last send has ended

 private:
  struct Note {
    RequestId part;
    int index;
    AttemptOutcome outcome;
    Time latency;
  };
  void forget_if_done(Request& query);

  RequestPolicy& policy_;
  std::size_t most_, bytes_ = 0;
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Request>> queries_;  // looked up, never walked
  std::unordered_map<RequestId, ShardRequest*> parts_;
  std::unordered_map<std::string, Request*> names_;  // of those still open
  std::vector<Note> notes_;
};

}  // namespace cairnhub::dispatch
