// Takes each request from its arrival to its final response.
//
// Decides: in which order the modules review a request, and when the request asks to be woken.
//
// Inputs: arrivals, clients that leave, and wake-ups.
//
// Why: a request that is never reviewed again would never end.
#pragma once
#include <cstdint>
#include <optional>

#include "policy/completion.h"
#include "policy/hedging.h"

namespace cairnhub {

class RequestLifecycle {
 public:
  RequestLifecycle(RequestTable& requests, AdmissionController& admission, Completion& completion,
                   Hedging& hedging, const OutlierDetector& outliers, const DeadlinePolicy& deadlines,
                   RetryBudget& retries)
      : requests_(requests),
        admission_(admission),
        completion_(completion),
        hedging_(hedging),
        outliers_(outliers),
        deadlines_(deadlines),
        retries_(retries) {}

  // See the inputs with these names in RequestPolicy.
  void request_arrived(Time now, RequestId id, RequestClass& request_class, float correlation_id,
                       bool is_client_retry, Time time_left);
  void shard_request_arrived(Time now, RequestId id, float correlation_id, int shard, double weight);
  void request_abandoned(RequestId id);
  void woken(RequestId id);

  // @return the next action for the request; nothing once its review is finished
  std::optional<PolicyAction> review(Request& request, Time now);

 private:
  std::optional<PolicyAction> review_collecting(Request& request, Time now);
  void review_attempts(Request& request, Time now);
  std::optional<PolicyAction> schedule_wake(Request& request, Time now) const;
  Time next_review_at(const Request& request, Time now) const;

  RequestTable& requests_;
  AdmissionController& admission_;
  Completion& completion_;
  Hedging& hedging_;
  const OutlierDetector& outliers_;
  const DeadlinePolicy& deadlines_;
  RetryBudget& retries_;
};

}  // namespace cairnhub
