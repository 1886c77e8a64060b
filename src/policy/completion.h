// Ends each request with exactly one final response.
//
// Decides: when a request ends, and how: complete (the required weight has arrived), partial (time is up
// and the minimum share has arrived), rejected (the client can safely retry) or failed.
//
// Inputs: the weight received and the weight still possible, the deadlines (nanoseconds), and the
// idempotency of the class.
//
// Why: a client must not wait for a response that can no longer arrive, and must not be told to repeat work
// that may have run.
#pragma once
#include <optional>

#include "policy/admission_controller.h"
#include "policy/attempt_canceller.h"
#include "policy/policy_action.h"
#include "policy/request_table.h"

namespace cairnhub {

class Completion {
 public:
  Completion(RequestTable& requests, AttemptGuard& guard, ReplicaSelection& replicas,
             const LocalityRouter& locality, const OutlierDetector& outliers, const DeadlinePolicy& deadlines,
             AdmissionController& admission, AttemptCanceller& canceller)
      : requests_(requests),
        guard_(guard),
        replicas_(replicas),
        locality_(locality),
        outliers_(outliers),
        deadlines_(deadlines),
        admission_(admission),
        canceller_(canceller) {}
  // See RequestPolicy::set_retry_after.
  void configure(bool may_send_retry_after, Time longest_retry_after);

  // Ends the request's present step if its outcome is certain or its time is up.
  // @return the final or first-step response, the rejection or the failure; nothing if the step goes on
  std::optional<PolicyAction> respond_if_due(Request& request, Time now);
  // Ends the request without a response: with a rejection if the client can safely retry, otherwise with a
  // failure. Without `retry_after` (nanoseconds) the longest Retry-After is sent, as it is not known when a
  // retry would succeed.
  PolicyAction reject_or_fail(Request& request, Time retry_after);
  PolicyAction reject_or_fail(Request& request) { return reject_or_fail(request, longest_retry_after_); }
  // Ends the request and cancels its attempts in flight.
  // @param is_in_time the response was sent within the latency objective
  void end(Request& request, bool is_in_time);

  // Whether an extra attempt of this request could still be in time.
  bool has_time_for_extra_attempts(const Request& request, Time now) const;

 private:
  PolicyAction respond(Request& request, bool is_complete, Time now);
  bool may_still_get_response(const ShardRequest& shard_request, Time now);

  RequestTable& requests_;
  AttemptGuard& guard_;
  ReplicaSelection& replicas_;
  const LocalityRouter& locality_;
  const OutlierDetector& outliers_;
  const DeadlinePolicy& deadlines_;
  AdmissionController& admission_;
  AttemptCanceller& canceller_;
  bool may_send_retry_after_ = false;
  Time longest_retry_after_ = 0;
};

}  // namespace cairnhub
