// Ejects endpoints that fail or do not respond.
//
// Decides: when an attempt is overdue or stalled, when an endpoint is ejected, and when an ejected endpoint
// is probed with an attempt.
//
// Inputs: the ages (nanoseconds) and outcomes of this broker's own attempts. The endpoint list and load
// reports are not used, as they may be wrong.
//
// Why: a server that hangs or rejects at once looks idle and would attract all traffic. Ejected endpoints
// rank behind all others; if all replicas of a shard are ejected, the least loaded one is still used.
#pragma once
#include "policy/request.h"

namespace cairnhub {

class OutlierDetector {
 public:
  // Returns the age (nanoseconds) past which an attempt is overdue.
  Time overdue_after(const RequestClass& request_class) const;
  // Returns the age past which an attempt may be marked stalled. It is at most half the latency objective, so
  // that a hedge still has time.
  Time stalled_after(const RequestClass& request_class) const;

  // Whether the endpoint is ejected and either is not due for a probe or has attempts in flight. An ejected
  // endpoint that is due and idle ranks like a healthy one, and the next attempt sent to it is the probe.
  bool is_ejected_now(const Endpoint& endpoint, Time now) const;

  // Records that an attempt is sent to an ejected endpoint.
  void record_probe(Endpoint& endpoint, const RequestClass& request_class, Time now) const;
  void record_success(const Attempt& attempt, const RequestClass& request_class, Time now) const;
  // @param is_severe a broken connection, no response or a full queue; one such failure ejects the endpoint
  void record_failure(Endpoint& endpoint, bool is_severe, const RequestClass& request_class, Time now) const;

  // Marks the attempt as overdue or stalled if it is.
  // @return whether this call marked it as stalled
  bool review(Attempt& attempt, const RequestClass& request_class, Time now) const;
};

// The first probe of an ejected endpoint comes this many smoothed latencies after the failure; the latency is
// that of the class whose attempt failed.
constexpr int kFirstProbeLatencies = 4;
// The longest interval between probes, as a multiple of the first.
constexpr int kMaxProbeFactor = 8;

}  // namespace cairnhub
