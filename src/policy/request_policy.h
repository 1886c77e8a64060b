// Makes every decision in the life of a request: whether it is admitted, to which endpoints its shard
// requests are sent, when they are sent again, and how the request ends. It does no I/O, reads no clock and
// starts no threads.
//
// Use: configure a RequestPolicy once. Report each input when it happens, with its time. After each group
// of inputs, call next() and carry out its actions in order until it returns nothing. Inputs only update
// the state; all actions come from next().
//
// next() consults the modules in this order; each module has the name of its file:
//
//   discovery_refresh      subscribes to the endpoint list, again after a failure
//   endpoint_table         forgets an endpoint that was removed long ago
//
// then, for each request whose state has changed or whose wake-up is due:
//
//   completion             responds as soon as the required weight has arrived; ends a request that can no
//                          longer succeed with a partial response, a rejection or a failure
//   admission_controller   on arrival: rejects a request that cannot be answered in time
//   shard_request_draw     on admission: selects as many shard requests as are required, and one more
//   outlier_detector       marks overdue and stalled attempts; ejects endpoints that fail or do not respond
//   hedging                sends the selected shard requests, retries those that never ran, hedges overdue
//                          ones; each attempt is subject to two modules:
//     replica_selection      picks the replica with the fewest of this broker's batches in flight
//     attempt_guard          checks deadlines, idempotency, readiness, and the limits of
//                            slow_start_limiter, locality_router and retry_budget
//   request_lifecycle      asks to be woken before anything about the request falls due
//
// and last:
//
//   attempt_canceller      cancels attempts that are no longer needed
//
// deadline_policy computes when a response stops being useful, and latency_estimator the expected latency
// of an endpoint. docs/capacity.md explains the constants and how to measure them.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"
#include "policy/policy_action.h"
#include "policy/request_class.h"
#include "policy/zone_limit.h"

namespace cairnhub {

class RequestPolicy {
 public:
  // The same seed and the same inputs give the same actions.
  explicit RequestPolicy(std::uint64_t seed);
  ~RequestPolicy();
  RequestPolicy(const RequestPolicy&) = delete;
  RequestPolicy& operator=(const RequestPolicy&) = delete;

  // ---- Configuration: once, before the first input; set_brokers first ----

  // @param brokers number of brokers that share the endpoints, this one included
  void set_brokers(int brokers);
  // Adds a class. Classes are numbered from 0 in the order in which they are added.
  void add_request_class(const RequestClass& request_class);
  // Shard s is held at the ring positions s .. s + replicas - 1, modulo ring_size.
  void set_layout(int ring_size, int replicas, int max_shard_requests_per_batch);
  // @param may_hedge  a shard request may have several attempts in flight
  // @param may_cancel attempts that are no longer needed may be cancelled
  void set_attempts(int max_attempts_per_shard_request, bool may_hedge, bool may_cancel);
  // Limits further attempts in each window (nanoseconds) to `free_retries` plus `share` times the number of
  // requests and shard requests that have arrived. Without this call there is no such limit.
  // @param max_start_delay how long an attempt may wait for its connection before it starts
  void set_retry_budget(double free_retries, double share, Time window, Time max_start_delay = 0);
  // Sets whether rejections may carry a Retry-After, and its longest value (nanoseconds).
  void set_retry_after(bool may_send_retry_after, Time longest);
  // @param mark_retries whether clients mark their retries, so that is_client_retry can be relied on
  void set_clients_mark_retries(bool mark_retries);
  // The share of its capacity that an endpoint can use rises from initial_share to 1 during `warmup` after
  // its start. In no overload_span may the endpoint get more than overload_multiple times that capacity.
  void set_slow_start(double initial_share, Time warmup, double overload_multiple, Time overload_span);
  // @param must_subscribe whether the policy asks to subscribe to changes of the endpoint list
  // @param interval       how often the list is due; the backoff after a failure is a share of it
  // The policy does not detect that the subscription is silent: the caller reports that with list_failed().
  void set_discovery(bool must_subscribe, Time interval);
  // @param tick the shortest useful delay of a wake-up, and how long before its client's deadline a request
  // ends
  void set_tick(Time tick);

  // ---- Limits that may change at any time ----

  // Makes the limits of a class stricter, also for requests in flight: the latency objective becomes at most
  // max_latency_objective, and min_response_share at least the given share. kNever and 0 restore the
  // configured values.
  void limit_request_class(int request_class, Time max_latency_objective, double min_response_share);
  // Replaces the limits of all zones, indexed by zone number; zone 0 is this broker's own. With no zones,
  // locality is ignored.
  // @param remote_penalty    batches added to the load of a replica in another zone
  // @param exploration_share share of the shard requests that prefer a zone drawn at random
  void set_zone_limits(std::vector<ZoneLimit> zones, int remote_penalty, double exploration_share);
  // Keeps shard requests of the class out of zones in other regions.
  void keep_in_region(int request_class, bool stays);
  // Keeps shard requests of the class in this broker's zone, except for shards that have lost all replicas
  // there.
  void keep_in_zone(int request_class, bool stays);

  // ---- Inputs ----

  void start();
  // The endpoint list: list_begins(), list_endpoint() for each entry, list_ends(). Endpoints that a complete
  // list does not name are removed.
  // @param started_at start of the endpoint's process; 0 = long ago
  void list_begins(Time now, bool is_complete);
  void list_endpoint(EndpointId id, EndpointState state, Time started_at, int ring_position, int zone = 0);
  void list_ends();
  // The list could not be fetched, or the subscription failed or fell silent.
  void list_failed(Time now);

  // Reports a request. All its shard requests must be reported before the next call of next(), with weights
  // that add up to 1; weight that is missing by then counts as lost. The same holds for a second step.
  // @param correlation_id unique among requests that have not ended; its shard requests carry it, too
  // @param time_left      how long the client will still wait
  // @throws std::out_of_range if the class is unknown
  void request_arrived(Time now, RequestId id, int request_class, float correlation_id, bool is_client_retry,
                       Time time_left);
  // Reports a shard request. It is ignored if its request has ended, and starts the second step if the
  // request awaits one.
  void shard_request_arrived(Time now, RequestId id, float correlation_id, int shard, double weight);
  // @param latency  time since the attempt started
  // @param is_final no further attempt of the shard request may follow
  void attempt_ended(Time now, RequestId shard_request, int attempt_index, AttemptOutcome outcome,
                     Time latency, bool is_final, const LoadReport& load_report);
  // The client no longer waits for the request.
  void request_abandoned(RequestId id);
  // The duration of the kWake action with this token is over.
  void woken(std::uint64_t token);

  // @return the next action to carry out; nothing until further inputs are reported
  std::optional<PolicyAction> next(Time now);

 private:
  struct Modules;
  std::unique_ptr<Modules> modules_;
};

}  // namespace cairnhub
