// The sending stage as the core sees it: whatever protocol nodes speak stands behind this. Says of each send
// how it ended and how far it had come.
#pragma once
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "dispatch/endpoint_registry.h"
#include "dispatch/request.h"

namespace cairnhub::dispatch {

// How far a send had come when it ended. Only one wholly written can have run.
enum class WriteProgress { kNotConnected, kPartlyWritten, kFullyWritten };

// `spoilt`: its connection was closed from this side, as the node had sent what can't be used there.
enum class AttemptEnd {
  kReturned,
  kError,
  kQueueFull,
  kConnectionLost,
  kInvalidResponse,
  kTimedOut,
  kCancelled
};

struct AttemptResult {
  AttemptEnd end;
  WriteProgress write_progress;
  std::string_view value;  // of one that returned
};

class Backend {
 public:
  virtual ~Backend() = default;
  // Who counts bytes is told of them; nobody: they aren't counted.
  using ByteCounter = std::function<void(const TransferredBytes&)>;
  virtual void set_byte_counter(ByteCounter count) { byte_counter_ = std::move(count); }
  // Asked before what waited for a connection is written. Danger: a process that stood still goes on with its
  // connection up, and would send what it may no longer.
  virtual void set_before_write(std::function<void()> look) { before_write_ = std::move(look); }
  // Closes connections to a node that carry nothing; what the kernel still holds of them goes nowhere.
  virtual void close_idle_connections(EndpointId id) = 0;
  // Told each end, exactly once for each send; it must only note it down.
  using AttemptEnded = std::function<void(Attempt&, const AttemptResult&)>;

  // What the list says of a node; `name` is for the log.
  virtual void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                               EndpointState state) = 0;
  virtual void forget_endpoint(EndpointId id) = 0;  // one of which nothing is out
  virtual void send(Attempt& attempt, EndpointId to) = 0;
  virtual void cancel(Attempt& attempt) = 0;
  virtual void cancel_unwritten(Attempt& attempt) = 0;  // gives it up if nothing of it is begun
  virtual void flush() = 0;                             // what was sent this turn goes out

 protected:
  ByteCounter byte_counter_;
  std::function<void()> before_write_;
};

}  // namespace cairnhub::dispatch
