// Client of endpoints that speak the OpenSearch-style search API: one HTTP/1.1 request for each shard
// request, on pooled connections. An attempt is cancelled by closing its connection, which such endpoints
// handle as the client's disconnection.
//
// A connection is reused only if its last response stated the id of its request (response_owner.h) and
// nothing has been received since. An endpoint whose responses state no id gets one request a connection.
//
// Outcomes, as dispatch::AttemptEnd:
//
//   200                                  kReturned, with the body as the value
//   429, 503                             kQueueFull: refused, has not run
//   any other status                     kError: may have run
//   connection refused, or lost          kConnectionLost: may have run only if the request's last byte was
//                                        written
//   head or body not HTTP, or too long   kInvalidResponse: may have run
//   response to another request          kInvalidResponse: may have run
//   bytes before the request is written  kInvalidResponse: may have run only if the request's last byte was
//                                        written by then
//   no complete response in time         kTimedOut: may have run only if the request's last byte was written
//   memory exhausted as it is received   kNoMemory: may have run only if the request's last byte was written
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "backend/opensearch/response_owner.h"
#include "base/timer.h"
#include "dispatch/backend.h"

struct evhttp_request;

namespace cairnhub::backend {

// Limits and the timeout of a SearchClient.
struct SearchClientLimits {
  std::size_t max_connections_per_endpoint;  // each carries one attempt
  std::size_t max_connections;               // to all endpoints together
  std::size_t max_body_bytes;                // longest body of a response
  Time idle_timeout;
};

// Sends each attempt as an HTTP request. Attempts wait while all connections that their endpoint may have are
// in use.
class SearchClient : public dispatch::Backend {
 public:
  // @param memory the account in which requests being written and responses being received are reserved
  // @param on_attempt_ended called once for each attempt
  // @param run_actions called at the end of each event that may have ended attempts
  SearchClient(event_base* base, SearchClientLimits limits, std::shared_ptr<dispatch::ClientMemory> memory,
               AttemptEnded on_attempt_ended, std::function<void()> run_actions);
  ~SearchClient() override;

  void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                       EndpointState state) override;
  void forget_endpoint(EndpointId id) override;
  void close_idle_connections(EndpointId id) override;
  void send(dispatch::Attempt& attempt, EndpointId to) override;
  void cancel(dispatch::Attempt& attempt) override;
  void cancel_unwritten(dispatch::Attempt& attempt) override;
  void flush() override;

 private:
  struct Connection;
  struct EndpointPool;
  struct InFlightAttempt;

  // Why an attempt failed with its connection.
  struct Failure {
    const char* reason;  // for the log
    dispatch::AttemptEnd end;
  };

  void start_request(InFlightAttempt& in_flight, Connection& connection);
  // Returns an idle connection that is in order, or opens one if the limits allow it; null otherwise.
  Connection* idle_connection(EndpointPool& pool);
  Connection* open_connection(EndpointPool& pool);
  void handle_response(Connection& connection, evhttp_request* response);
  static Failure failure_reason(const Connection& connection);
  void handle_failure(Connection& connection, const Failure& failure);
  void close_unusable_connections();
  Connection* find_unusable_connection();  // null if there is none
  void close_unusable_connection(Connection& connection);
  void abort_attempt(InFlightAttempt& in_flight, dispatch::AttemptEnd end);
  void finish(InFlightAttempt& in_flight, const dispatch::AttemptResult& result);
  void close_connection(Connection& connection);
  void free_unused_connections();
  void start_waiting(EndpointPool& pool);
  void limit_received(Connection& connection);
  // Ends attempts whose responses arrive while the memory is exhausted, until the rest fits.
  void abort_over_limit();

  event_base* base_;
  SearchClientLimits limits_;
  std::shared_ptr<dispatch::ClientMemory> memory_;
  AttemptEnded on_attempt_ended_;
  std::function<void()> run_actions_;
  OpaqueIds opaque_ids_;
  std::size_t open_connections_ = 0;
  std::map<EndpointId, std::unique_ptr<EndpointPool>> pools_;
  std::map<dispatch::Attempt*, std::unique_ptr<InFlightAttempt>> in_flight_;
  std::vector<EndpointPool*> pools_to_flush_;
  std::vector<std::unique_ptr<Connection>> closed_connections_;  // to be freed by the cleanup timer
  Timer cleanup_timer_;
  bool is_over_limit_ = false;  // the timer below has been started
  Timer over_limit_timer_;
  Timer unexpected_input_timer_;
};

// Passes each call to the backend that speaks the endpoint's protocol.
class MultiProtocolBackend : public dispatch::Backend {
 public:
  MultiProtocolBackend(dispatch::Backend& framed, dispatch::Backend& search)
      : framed_(framed), search_(search) {}
  // Sets the flavor by which the endpoint list marks endpoints that speak the search API; empty for none.
  void set_search_flavor(std::string flavor) { flavor_ = std::move(flavor); }
  bool is_search_flavor(const std::string& flavor) const { return !flavor_.empty() && flavor == flavor_; }
  void set_endpoint_flavor(EndpointId id, const std::string& flavor) {
    backends_[id] = is_search_flavor(flavor) ? &search_ : &framed_;
  }

  void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                       EndpointState state) override {
    backend_of(id).update_endpoint(id, name, address, state);
  }
  void forget_endpoint(EndpointId id) override {
    backend_of(id).forget_endpoint(id);
    backends_.erase(id);
  }
  void send(dispatch::Attempt& attempt, EndpointId to) override { backend_of(to).send(attempt, to); }
  void cancel(dispatch::Attempt& attempt) override { backend_of(attempt.endpoint).cancel(attempt); }
  void cancel_unwritten(dispatch::Attempt& attempt) override {
    backend_of(attempt.endpoint).cancel_unwritten(attempt);
  }
  void flush() override {
    framed_.flush();
    search_.flush();
  }
  void set_before_write(std::function<void()> before_write) override {
    framed_.set_before_write(before_write);
    search_.set_before_write(std::move(before_write));
  }
  void close_idle_connections(EndpointId id) override { backend_of(id).close_idle_connections(id); }
  void set_byte_counter(ByteCounter counter) override {
    framed_.set_byte_counter(counter);
    search_.set_byte_counter(std::move(counter));
  }

 private:
  dispatch::Backend& backend_of(EndpointId id) {
    const auto it = backends_.find(id);
    return it == backends_.end() ? framed_ : *it->second;
  }
  dispatch::Backend &framed_, &search_;
  std::string flavor_;
  std::map<EndpointId, dispatch::Backend*> backends_;
};

}  // namespace cairnhub::backend
