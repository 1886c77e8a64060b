// Computes until when the response to a request is useful.
//
// Decides: when the latency objective of a request ends, and when a response earns nothing any more.
//
// Inputs: the request's arrival and the time that the client will still wait (nanoseconds), whether the
// request is a client's retry, and the value of a late response.
//
// Why: work for responses that are no longer useful delays other requests.
#pragma once
#include "policy/request.h"

namespace cairnhub {

class DeadlinePolicy {
 public:
  void set_clients_mark_retries(bool mark_retries) { clients_mark_retries_ = mark_retries; }
  // See RequestPolicy::set_tick.
  void set_tick(Time tick) { tick_ = tick; }
  Time tick() const { return tick_; }

  // Learns, by a running majority vote over arrivals, how much time the clients of a class give a first try.
  void record_arrival(RequestClass& request_class, Time time_left) const;

  // Returns when a response stops earning its full value. A client's retry arrives with the rest of that
  // client's timeout, which shows how long the client has already waited.
  Time objective_deadline(const Request& request) const;
  // Returns when a response stops earning anything, at the latest one tick before the client's deadline.
  Time useful_until(const Request& request) const;

 private:
  bool clients_mark_retries_ = false;
  Time tick_ = 0;
};

}  // namespace cairnhub
