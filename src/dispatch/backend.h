// The sending stage as the core sees it: whatever protocol nodes speak stands behind this. Says of each send
// how it ended and how far it had come.
#pragma once
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "dispatch/endpoint_registry.h"
#include "dispatch/query.h"

namespace cairnhub::dispatch {

// How far a send had come when it ended. Only one wholly written can have run.
enum class Reached { never_connected, partly_written, wholly_written };

// `spoilt`: its connection was closed from this side, as the node had sent what can't be used there.
enum class End { returned, error, full, broken, spoilt, timed_out, given_up };

struct Result {
  End end;
  Reached reached;
  std::string_view value;  // of one that returned
};

class Hosts {
 public:
  virtual ~Hosts() = default;
  // Who counts bytes is told of them; nobody: they aren't counted.
  using Count = std::function<void(const Carried&)>;
  virtual void count(Count count) { count_ = std::move(count); }
  // Asked before what waited for a connection is written. Danger: a process that stood still goes on with its
  // connection up, and would send what it may no longer.
  virtual void look(std::function<void()> look) { look_ = std::move(look); }
  // Closes connections to a node that carry nothing; what the kernel still holds of them goes nowhere.
  virtual void let_go(EndpointId id) = 0;
  // Told each end, exactly once for each send; it must only note it down.
  using Ended = std::function<void(Attempt&, const Result&)>;

  // What the list says of a node; `name` is for the log.
  virtual void node(EndpointId id, const std::string& name, const Address& address, EndpointState state) = 0;
  virtual void forget(EndpointId id) = 0;  // one of which nothing is out
  virtual void send(Attempt& attempt, EndpointId to) = 0;
  virtual void give_up(Attempt& attempt) = 0;
  virtual void withdraw(Attempt& attempt) = 0;  // gives it up if nothing of it is begun
  virtual void flush() = 0;                     // what was sent this turn goes out

 protected:
  Count count_;
  std::function<void()> look_;
};

}  // namespace cairnhub::dispatch
