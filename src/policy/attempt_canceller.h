// Cancels attempts that are no longer needed.
//
// Decides: which attempts are cancelled. If the settings allow cancellation, these are all attempts in
// flight of a shard request that has its response or whose request has ended.
//
// Inputs: the setting, and the attempts of one shard request.
//
// Why: servers would otherwise work for responses that nobody reads.
#pragma once
#include <deque>
#include <utility>

#include "policy/policy_action.h"
#include "policy/request.h"

namespace cairnhub {

class AttemptCanceller {
 public:
  void configure(bool may_cancel) { may_cancel_ = may_cancel; }

  // Queues a cancellation for each attempt of the shard request that is in flight and not yet cancelled.
  void cancel_attempts(ShardRequest& shard_request) {
    if (!may_cancel_) return;
    for (auto& attempt : shard_request.attempts) {
      if (attempt->has_ended || std::exchange(attempt->is_cancelled, true)) continue;
      pending_.push_back({.kind = PolicyAction::Kind::kCancelAttempt,
                          .request = shard_request.id,
                          .attempt_index = attempt->index});
    }
  }
  bool has_pending() const { return !pending_.empty(); }
  // Only while has_pending().
  PolicyAction take_first() {
    const PolicyAction first = pending_.front();
    pending_.pop_front();
    return first;
  }

 private:
  bool may_cancel_ = false;
  std::deque<PolicyAction> pending_;
};

}  // namespace cairnhub
