// Interface to the protocol that endpoints speak. A backend sends attempts and reports how each attempt ended
// and how much of it had been written.
#pragma once
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "dispatch/endpoint_registry.h"
#include "dispatch/request.h"

namespace cairnhub::dispatch {

// How much of an attempt had been written when it ended. Only a fully written attempt can have run.
enum class WriteProgress { kNotConnected, kPartlyWritten, kFullyWritten };

// How an attempt ended.
enum class AttemptEnd {
  kReturned,
  kError,
  kQueueFull,
  kConnectionLost,
  kInvalidResponse,  // the endpoint sent invalid data, so the broker closed the connection
  kTimedOut,
  kCancelled,
  kNoMemory,  // the broker lacks the memory for the response, so it stopped reading
};

// The end of an attempt, as a backend reports it.
struct AttemptResult {
  AttemptEnd end;
  WriteProgress write_progress;
  std::string_view value;  // kReturned only
};

// Sends attempts to endpoints over one protocol.
class Backend {
 public:
  virtual ~Backend() = default;
  // Sets the function called with the bytes exchanged with endpoints. Without it, bytes aren't counted.
  using ByteCounter = std::function<void(const TransferredBytes&)>;
  virtual void set_byte_counter(ByteCounter counter) { byte_counter_ = std::move(counter); }
  // Sets the function called before attempts that waited for a connection are written. A process that was
  // suspended finds its connections still up when it resumes, and would otherwise write attempts that are no
  // longer allowed.
  virtual void set_before_write(std::function<void()> before_write) {
    before_write_ = std::move(before_write);
  }
  // Closes the idle connections to the endpoint, and discards the bytes that the kernel has still queued on
  // them.
  virtual void close_idle_connections(EndpointId id) = 0;
  // Called exactly once for each attempt; it may only record the result.
  using AttemptEnded = std::function<void(Attempt&, const AttemptResult&)>;

  // Adds an endpoint, or updates it as the endpoint list states. @param name for the log
  virtual void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                               EndpointState state) = 0;
  // Removes the endpoint, which must have no attempts in flight.
  virtual void forget_endpoint(EndpointId id) = 0;
  // Queues the attempt for the next flush(). It must live until its end is reported.
  virtual void send(Attempt& attempt, EndpointId to) = 0;
  virtual void cancel(Attempt& attempt) = 0;            // does nothing if the attempt has ended
  virtual void cancel_unwritten(Attempt& attempt) = 0;  // cancels the attempt unless its writing has begun
  virtual void flush() = 0;                             // writes the attempts queued in this turn

 protected:
  ByteCounter byte_counter_;
  std::function<void()> before_write_;
};

}  // namespace cairnhub::dispatch
