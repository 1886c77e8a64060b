// Every choice of a request's life: whether it is admitted, which endpoints its shard requests are sent to,
// when they are sent again, and how it is responded to. No I/O, no clock, no threads.
//
// Use: configure a RequestPolicy once; report inputs as they happen, each with the time it happened at; after
// each batch of inputs carry out what next() returns, in that order, until it returns nothing. Inputs only
// update what is known.
//
// The rules, in the order in which next() asks them, each in the module of that name:
//
//   discovery_refresh      asks for the endpoint list, and again after a failure
//   endpoint_table         forgets an endpoint that was removed long ago
//
// then, for each request whose state has changed or whose wake-up is due:
//
//   completion             responds as soon as enough weight is in; ends what can't be useful any more with
//                          a partial response, a rejection or a failure; one final response for each
//   admission_controller   on arrival: rejects what can't be in time
//   shard_request_draw     on admission: draws as many shard requests as are required, and one more
//   outlier_detector       marks overdue and stalled attempts; ejects endpoints that fail or are silent
//   hedging                sends what is drawn, retries what never ran, hedges what is overdue:
//     replica_selection      to the replica with the fewest of this broker's batches in flight
//     attempt_guard          that every rule allows: deadlines, idempotency, readiness, and the limits in
//                            slow_start_limiter, locality_router and retry_budget
//   request_lifecycle      asks to be woken before anything about the request falls due
//
// and last:
//
//   attempt_canceller      cancels attempts that are needed no longer
//
// deadline_policy tells when a response stops being useful, latency_estimator what is expected of an
// endpoint. Constants and how to measure them: docs/capacity.md.
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

  // Brokers that share the endpoints, this one included.
  void set_brokers(int brokers);
  // Classes are numbered from 0 in the order in which they are added.
  void add_request_class(const RequestClass& request_class);
  // Shard s is held at the ring positions s .. s + replicas - 1, modulo ring_size.
  void set_layout(int ring_size, int replicas, int max_shard_requests_per_batch);
  // @param may_hedge  a shard request may have several attempts in flight
  // @param may_cancel attempts that are needed no longer may be cancelled
  void set_attempts(int max_attempts_per_shard_request, bool may_hedge, bool may_cancel);
  // At most `free_retries` further attempts, and `share` of the arrivals, in each window. Not called: no such
  // budget.
  // @param latest_begin how long an attempt may wait for its connection before it begins
  void set_retry_budget(double free_retries, double share, Time window, Time latest_begin = 0);
  // Whether rejections may carry Retry-After, and its longest value.
  void set_retry_after(bool may_advise, Time longest);
  // Whether clients mark their retries.
  void set_clients_mark_retries(bool mark_retries);
  // An endpoint's capacity rises from initial_share to 1 over `warmup` from its start, and it must not get
  // more than overload_multiple times that over any overload_span.
  void set_slow_start(double initial_share, Time warmup, double overload_multiple, Time overload_span);
  // Whether changes of the endpoint list must be subscribed to, and the interval at which asking is owed, of
  // which the backoff after a failure is a share. Silence is not noticed here: report it with list_failed().
  void set_discovery(bool must_subscribe, Time interval);
  // The shortest wake-up that makes sense, and by how much a response must come before the client's deadline.
  void set_tick(Time tick);

  // ---- Limits that may change at any time ----

  // Tightens a class, requests in flight included: its latency objective to at most, and its share of weight
  // under which no response may be given to at least, these. kNever and 0: as configured.
  void limit_request_class(int request_class, Time max_latency_objective, double min_response_share);
  // Zones by number, this broker's own the first; none: locality counts for nothing. A replica elsewhere
  // counts as if `step` more batches were in flight to it; the share `exploration_share` of the shard
  // requests prefers a zone drawn at random.
  void set_zone_limits(std::vector<ZoneLimit> zones, int step, double exploration_share);
  void keep_in_region(int request_class, bool stays);
  // Nothing of the class goes to another zone but for shards that have lost all replicas in the own one.
  void keep_in_zone(int request_class, bool stays);

  // ---- Inputs ----

  void start();
  // The endpoint list: list_begins, list_endpoint for each entry, list_ends. What a complete list doesn't
  // name is removed. @param started_at of the endpoint's process; 0: long past
  void list_begins(Time now, bool is_complete);
  void list_endpoint(EndpointId id, EndpointState state, Time started_at, int ring_position, int zone = 0);
  void list_ends();
  void list_failed(Time now);

  // Report a request and all its shard requests, their weights adding up to 1, before the next call of
  // next(): what is missing by then counts as lost. The same holds for the shard requests of a second step.
  // @param number    what its shard requests name it by; unique among the requests that have not ended
  // @param time_left the client's remaining wait
  // @throws std::out_of_range where the class is unknown
  void request_arrived(Time now, RequestId id, int request_class, float number, bool is_client_retry,
                       Time time_left);
  // Ignored where its request has ended; starts the second step where that is awaited.
  void shard_request_arrived(Time now, RequestId id, float number, int shard, double weight);
  // @param latency  from the attempt's begin
  // @param is_final no further attempt of the shard request may follow
  void attempt_ended(Time now, RequestId shard_request, int attempt_index, AttemptOutcome outcome,
                     Time latency, bool is_final, const LoadReport& load_report);
  void request_abandoned(RequestId id);  // its client has gone
  // Reports that the duration of a kWake is over.
  void woken(std::uint64_t token);

  // @return what to do next; nothing: report further inputs first.
  std::optional<PolicyAction> next(Time now);

 private:
  struct Modules;
  std::unique_ptr<Modules> modules_;
};

}  // namespace cairnhub
