// Client of endpoints that speak the platform's frames: connection pools, batching and timeouts.
#pragma once
#include <event2/bufferevent.h>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/timer.h"
#include "dispatch/backend.h"
#include "dispatch/request.h"

namespace cairnhub::backend {

// Limits and timeouts of a FramedClient.
struct FramedClientLimits {
  int max_batches_per_connection, max_shard_requests_per_batch;
  Time connect_timeout, idle_timeout;
  std::size_t max_connections;  // to all endpoints together
};

// Sends attempts in batches over pooled connections. The attempts sent to an endpoint in one turn share
// batches.
class FramedClient : public dispatch::Backend {
 public:
  // @param memory the account in which the connections' buffers are reserved
  // @param on_attempt_ended called once for each attempt
  // @param run_actions called at the end of each event that may have ended attempts
  FramedClient(event_base* base, FramedClientLimits limits, std::shared_ptr<dispatch::ClientMemory> memory,
               AttemptEnded on_attempt_ended, std::function<void()> run_actions);
  ~FramedClient() override;

  void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                       EndpointState state) override;
  void forget_endpoint(EndpointId id) override;
  void close_idle_connections(EndpointId id) override;
  void send(dispatch::Attempt& attempt, EndpointId to) override;
  void cancel(dispatch::Attempt& attempt) override;
  void cancel_unwritten(dispatch::Attempt& attempt) override;
  void flush() override;

 private:
  struct Batch;
  struct Connection;
  struct EndpointPool;
  struct InFlightAttempt;

  // Attempts that are to be sent in one frame.
  using AttemptSpan = std::span<InFlightAttempt* const>;

  static bool has_same_name(const InFlightAttempt& in_flight, const dispatch::ShardRequest& shard_request);
  // Returns how many of the attempts, from the first on, one batch may hold.
  std::size_t batch_size(AttemptSpan attempts) const;
  Connection* connection_for_batch(EndpointPool& pool, AttemptSpan attempts);
  Connection* open_connection(EndpointPool& pool);
  void close_longest_idle_connection();
  void write_batches(Connection& connection);
  void abort_expired(Connection& connection);
  void handle_readable(Connection& connection);
  void handle_event(Connection& connection, short events);
  // Returns why the frame is invalid, or null.
  const char* handle_frame(Connection& connection, std::string_view frame);
  // @param reason logged; null if the connection isn't at fault
  void close_connection(Connection& connection, const char* reason,
                        dispatch::AttemptEnd end = dispatch::AttemptEnd::kConnectionLost);
  void finish(InFlightAttempt& in_flight, const dispatch::AttemptResult& result);
  void abort_attempt(InFlightAttempt& in_flight, dispatch::AttemptEnd end);
  dispatch::WriteProgress write_progress(const InFlightAttempt& in_flight) const;
  void count_buffered_bytes(Connection& connection, const dispatch::Attempt& attempt, std::size_t bytes);

  event_base* base_;
  FramedClientLimits limits_;
  std::shared_ptr<dispatch::ClientMemory> memory_;
  AttemptEnded on_attempt_ended_;
  std::function<void()> run_actions_;
  std::size_t open_connections_ = 0;
  std::map<EndpointId, std::unique_ptr<EndpointPool>> pools_;
  std::map<dispatch::Attempt*, std::unique_ptr<InFlightAttempt>> in_flight_;
  std::vector<EndpointPool*> pools_to_flush_;  // in the order of their first attempt in this turn
};

}  // namespace cairnhub::backend
