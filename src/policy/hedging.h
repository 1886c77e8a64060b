// Sends the attempts of admitted requests: first attempts, retries and hedges.
//
// Decides: which attempt of a request is sent next. First come the first attempts of selected shard
// requests. Then, while the received and the pending weight together fall short of the required weight: a
// retry of a shard request that never ran, a first attempt of an unselected shard request, or another
// attempt of a shard request whose attempts are overdue or have failed. The last two are extra attempts,
// and each spends a token of the retry budget.
//
// Inputs: weights, the states of attempts, the time left (nanoseconds), and the tokens.
//
// Why: without extra attempts a request would wait until its deadline for an attempt that does not return.
// Under overload they add load, so they are limited. An attempt at a merely slow endpoint is hedged only at
// an idle endpoint of the broker's own zone.
#pragma once
#include <optional>

#include "policy/attempt_sender.h"
#include "policy/completion.h"

namespace cairnhub {

class Hedging {
 public:
  Hedging(ReplicaSelection& replicas, AttemptSender& sender, const RetryBudget& retries,
          const OutlierDetector& outliers, const Completion& completion)
      : replicas_(replicas),
        sender_(sender),
        retries_(retries),
        outliers_(outliers),
        completion_(completion) {}

  // @return the next attempt to send for the request; nothing if none may or need be sent now
  std::optional<PolicyAction> send_next(Request& request, Time now);

 private:
  std::optional<PolicyAction> send_first_attempt(Request& request, Time now);
  std::optional<PolicyAction> retry_never_run(Request& request, Time now);
  // @param is_selected whether to look among the selected or among the unselected shard requests
  std::optional<PolicyAction> send_extra_attempt(Request& request, bool is_selected, Time now);
  bool may_send_extra_attempt(const ShardRequest& shard_request, const Endpoint& endpoint, Time now) const;

  ReplicaSelection& replicas_;
  AttemptSender& sender_;
  const RetryBudget& retries_;
  const OutlierDetector& outliers_;
  const Completion& completion_;
};

}  // namespace cairnhub
