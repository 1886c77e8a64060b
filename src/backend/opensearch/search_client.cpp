#include "backend/opensearch/search_client.h"

#include <event2/http.h>

#include <algorithm>
#include <utility>

#include "backend/opensearch/search_connection.h"
#include "base/clock.h"

namespace cairnhub::backend {

namespace {

// How long an endpoint gets one request a connection after it has sent the response to another request.
constexpr Time kSingleRequestPeriod = 60 * kSecond;

dispatch::AttemptEnd end_of_status(int status) {
  if (status == 200) return dispatch::AttemptEnd::kReturned;
  return status == 429 || status == 503 ? dispatch::AttemptEnd::kQueueFull : dispatch::AttemptEnd::kError;
}

}  // namespace

struct SearchClient::InFlightAttempt {
  dispatch::Attempt* attempt = nullptr;
  EndpointPool* pool = nullptr;
  Connection* connection = nullptr;  // null while the attempt waits for a connection
  std::unique_ptr<Timer> timeout;
};

struct SearchClient::Connection {
  EndpointPool* pool = nullptr;
  std::unique_ptr<SearchConnection> http;
  InFlightAttempt* in_flight = nullptr;
  bool is_over_limit = false;  // has received bytes while the memory was exhausted
  Time idle_since = 0;
};

struct SearchClient::EndpointPool {
  EndpointId id = 0;
  std::string name, host;
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<Connection>> connections;
  std::deque<InFlightAttempt*> waiting;
  std::vector<InFlightAttempt*> to_flush;
  // Whether the last response stated the id of its request. Where it didn't, nothing tells the responses on
  // one connection apart.
  bool returns_ids = true;
  Time single_request_until = 0;

  // Returns whether each connection carries one request only.
  bool has_single_request_connections() const { return !returns_ids || now() < single_request_until; }
};

SearchClient::SearchClient(event_base* base, SearchClientLimits limits,
                           std::shared_ptr<dispatch::ClientMemory> memory, AttemptEnded on_attempt_ended,
                           std::function<void()> run_actions)
    : base_(base),
      limits_(limits),
      memory_(std::move(memory)),
      on_attempt_ended_(std::move(on_attempt_ended)),
      run_actions_(std::move(run_actions)),
      cleanup_timer_(base, [this] { free_unused_connections(); }),
      over_limit_timer_(base, [this] { abort_over_limit(); }),
      unexpected_input_timer_(base, [this] { close_unusable_connections(); }) {}

SearchClient::~SearchClient() = default;

void SearchClient::free_unused_connections() {
  closed_connections_.clear();
  const Time idle_limit = now() - limits_.idle_timeout;
  bool has_connections = false;
  for (auto& [id, pool] : pools_) {
    std::erase_if(pool->connections, [&](const auto& connection) {
      if (connection->in_flight || connection->idle_since > idle_limit) {
        has_connections = true;
        return false;
      }
      --open_connections_;
      return true;
    });
  }
  if (has_connections && !cleanup_timer_.pending()) cleanup_timer_.start(limits_.idle_timeout / 4 + 1);
}

void SearchClient::update_endpoint(EndpointId id, const std::string& name, const Address& address,
                                   EndpointState state) {
  auto& slot = pools_[id];
  if (!slot) slot = std::make_unique<EndpointPool>();
  EndpointPool& pool = *slot;
  char host[64] = "";
  const auto* in = reinterpret_cast<const sockaddr_in*>(&address.at);
  const auto* in6 = reinterpret_cast<const sockaddr_in6*>(&address.at);
  const bool is_ipv6 = address.at.ss_family == AF_INET6;
  evutil_inet_ntop(address.at.ss_family, is_ipv6 ? static_cast<const void*>(&in6->sin6_addr) : &in->sin_addr,
                   host, sizeof host);
  pool.id = id;
  pool.name = name;
  pool.host = host;
  pool.port = ntohs(is_ipv6 ? in6->sin6_port : in->sin_port);
  if (state == EndpointState::kReady) return;
  // Attempts that wait for a connection are withdrawn: they would be sent long after the endpoint stated that
  // it drains.
  std::vector<InFlightAttempt*> withdrawn(pool.waiting.begin(), pool.waiting.end());
  withdrawn.insert(withdrawn.end(), pool.to_flush.begin(), pool.to_flush.end());
  for (InFlightAttempt* in_flight : withdrawn) abort_attempt(*in_flight, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::forget_endpoint(EndpointId id) {
  const auto it = pools_.find(id);
  if (it == pools_.end()) return;
  EndpointPool& pool = *it->second;
  while (!pool.connections.empty()) close_connection(*pool.connections.back());
  std::erase(pools_to_flush_, &pool);
  pools_.erase(it);
}

void SearchClient::close_idle_connections(EndpointId id) {
  const auto it = pools_.find(id);
  if (it == pools_.end()) return;
  std::vector<Connection*> idle;
  for (auto& connection : it->second->connections)
    if (!connection->in_flight) idle.push_back(connection.get());
  for (Connection* connection : idle) close_connection(*connection);
}

void SearchClient::send(dispatch::Attempt& attempt, EndpointId to) {
  EndpointPool& pool = *pools_.at(to);
  auto& in_flight = in_flight_[&attempt] = std::make_unique<InFlightAttempt>();
  in_flight->attempt = &attempt;
  in_flight->pool = &pool;
  in_flight->timeout = std::make_unique<Timer>(base_, [this, expired = in_flight.get()] {
    abort_attempt(*expired, dispatch::AttemptEnd::kTimedOut);
    run_actions_();
  });
  in_flight->timeout->start(attempt.expires_at - now());
  if (pool.to_flush.empty()) pools_to_flush_.push_back(&pool);
  pool.to_flush.push_back(in_flight.get());
}

void SearchClient::flush() {
  for (EndpointPool* pool : std::exchange(pools_to_flush_, {})) {
    for (InFlightAttempt* in_flight : std::exchange(pool->to_flush, {})) pool->waiting.push_back(in_flight);
    start_waiting(*pool);
  }
}

// Starts waiting attempts while connections are free.
void SearchClient::start_waiting(EndpointPool& pool) {
  while (!pool.waiting.empty()) {
    Connection* connection = idle_connection(pool);
    if (!connection) return;  // an endpoint that hangs holds only its own connections
    InFlightAttempt* in_flight = pool.waiting.front();
    pool.waiting.pop_front();
    // After begins_by the endpoint may no longer drop repeats, and a repeated attempt could run twice.
    if (in_flight->attempt->begins_by < now()) {
      finish(*in_flight, {dispatch::AttemptEnd::kCancelled, dispatch::WriteProgress::kNotConnected, {}});
    } else {
      start_request(*in_flight, *connection);
    }
  }
}

SearchClient::Connection* SearchClient::idle_connection(EndpointPool& pool) {
  std::vector<Connection*> idle;
  for (auto& connection : pool.connections) {
    if (!connection->in_flight) idle.push_back(connection.get());
  }
  for (Connection* connection : idle) {
    if (!pool.has_single_request_connections() && connection->http->is_reusable()) return connection;
    close_connection(*connection);
  }
  return open_connection(pool);
}

SearchClient::Connection* SearchClient::open_connection(EndpointPool& pool) {
  if (pool.connections.size() >= limits_.max_connections_per_endpoint) return nullptr;
  if (open_connections_ >= limits_.max_connections) return nullptr;
  auto opened = std::make_unique<Connection>();
  Connection* connection = opened.get();
  connection->pool = &pool;
  connection->http =
      SearchConnection::make(base_, pool.host, pool.port, limits_.max_body_bytes, memory_,
                             {.on_received = [this, connection] { limit_received(*connection); },
                              // The connection can't be closed from within the read that calls this.
                              .on_unexpected_input = [this] { unexpected_input_timer_.start(0); },
                              .on_response =
                                  [this, connection](evhttp_request* response) {
                                    handle_response(*connection, response);
                                    run_actions_();
                                  }});
  if (!connection->http) return nullptr;
  ++open_connections_;
  pool.connections.push_back(std::move(opened));
  return connection;
}

void SearchClient::start_request(InFlightAttempt& in_flight, Connection& connection) {
  const dispatch::ShardRequest& shard_request = *in_flight.attempt->shard_request;
  in_flight.connection = &connection;
  connection.in_flight = &in_flight;
  const bool is_started =
      connection.http->start({.target = shard_request.http_target,
                              .body = shard_request.body ? *shard_request.body : shard_request.request->body,
                              .opaque_id = opaque_ids_.next(),
                              .timeout = in_flight.attempt->expires_at - now(),
                              .is_last = connection.pool->has_single_request_connections()});
  if (is_started) return;
  finish(in_flight, {dispatch::AttemptEnd::kConnectionLost, dispatch::WriteProgress::kNotConnected, {}});
  close_connection(connection);
}

void SearchClient::handle_response(Connection& connection, evhttp_request* response) {
  InFlightAttempt* in_flight = connection.in_flight;
  if (!in_flight) return;  // cancelled; the connection is being closed
  const int status = response ? evhttp_request_get_response_code(response) : 0;
  if (status == 0) return handle_failure(connection, failure_reason(connection));
  EndpointPool& pool = *connection.pool;
  const ResponseId id = connection.http->id_of(response);
  if (!connection.http->answers_request(response, id)) {
    pool.single_request_until = now() + kSingleRequestPeriod;
    return handle_failure(connection,
                          {"response to another request", dispatch::AttemptEnd::kInvalidResponse});
  }
  pool.returns_ids = id == ResponseId::kSame;
  evbuffer* body = evhttp_request_get_input_buffer(response);
  const std::size_t body_bytes = evbuffer_get_length(body);
  const std::string_view value(body_bytes ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "",
                               body_bytes);
  const bool has_excess_input = connection.http->has_excess_input();
  if (has_excess_input) log("node", "%s: bytes behind a response", pool.name.c_str());
  // An endpoint may refuse a request before reading all of it. If the connection were reused, the endpoint
  // would take the rest for the start of the next request.
  const bool is_reusable = pool.returns_ids && !has_excess_input && connection.http->is_fully_written();
  finish(*in_flight, {end_of_status(status), dispatch::WriteProgress::kFullyWritten, value});
  if (!is_reusable) close_connection(connection);
  start_waiting(pool);
}

SearchClient::Failure SearchClient::failure_reason(const Connection& connection) {
  const int error = connection.http->error();
  if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG ||
      error == EVREQ_HTTP_BUFFER_ERROR) {
    return {"response is not valid HTTP or too long", dispatch::AttemptEnd::kInvalidResponse};
  }
  if (connection.http->write_progress() == dispatch::WriteProgress::kNotConnected) {
    return {"connection refused or not established", dispatch::AttemptEnd::kConnectionLost};
  }
  return {"connection lost during a search", dispatch::AttemptEnd::kConnectionLost};
}

// Ends the attempt in flight with its connection.
void SearchClient::handle_failure(Connection& connection, const Failure& failure) {
  EndpointPool& pool = *connection.pool;
  log("node", "%s: %s", pool.name.c_str(), failure.reason);
  finish(*connection.in_flight, {failure.end, connection.http->write_progress(), {}});
  close_connection(connection);
  start_waiting(pool);
}

// Closes the connections on which bytes were received while no response was due, and ends the attempts that
// were to be written on them.
void SearchClient::close_unusable_connections() {
  // Looked for anew each time, because closing one may close others.
  while (Connection* connection = find_unusable_connection()) close_unusable_connection(*connection);
  run_actions_();
}

SearchClient::Connection* SearchClient::find_unusable_connection() {
  for (auto& [id, pool] : pools_) {
    for (auto& connection : pool->connections) {
      if (connection->http->has_unexpected_input()) return connection.get();
    }
  }
  return nullptr;
}

void SearchClient::close_unusable_connection(Connection& connection) {
  if (connection.in_flight) {
    return handle_failure(connection,
                          {"bytes before a request was written", dispatch::AttemptEnd::kInvalidResponse});
  }
  log("node", "%s: bytes on a connection without a request", connection.pool->name.c_str());
  EndpointPool& pool = *connection.pool;
  close_connection(connection);
  start_waiting(pool);
}

// Called before the parser gets what was received, so that a response that finds no room is not parsed
// further.
void SearchClient::limit_received(Connection& connection) {
  if (memory_->admits_received()) return;
  connection.is_over_limit = true;
  // Of a body, one read more is kept at most; of a head, the parser would make many times its bytes.
  if (connection.http->is_in_head()) connection.http->drop_response();
  // The connection can't be closed from within the read that calls this.
  if (!std::exchange(is_over_limit_, true)) over_limit_timer_.start(0);
}

void SearchClient::abort_over_limit() {
  is_over_limit_ = false;
  std::vector<InFlightAttempt*> over_limit;
  for (auto& [id, pool] : pools_)
    for (auto& connection : pool->connections)
      if (std::exchange(connection->is_over_limit, false) && connection->in_flight)
        over_limit.push_back(connection->in_flight);
  for (InFlightAttempt* in_flight : over_limit) {
    if (memory_->admits_received() && !in_flight->connection->http->has_dropped_response()) continue;
    log("memory", "exhausted: the response of %s is not read further", in_flight->pool->name.c_str());
    abort_attempt(*in_flight, dispatch::AttemptEnd::kNoMemory);
  }
  run_actions_();
}

void SearchClient::cancel(dispatch::Attempt& attempt) {
  const auto it = in_flight_.find(&attempt);
  if (it != in_flight_.end()) abort_attempt(*it->second, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::cancel_unwritten(dispatch::Attempt& attempt) {
  const auto it = in_flight_.find(&attempt);
  if (it == in_flight_.end()) return;
  // An attempt that waits to be written, or for its connection, must not be sent after the answer to its
  // request.
  const Connection* connection = it->second->connection;
  if (!connection || connection->http->written_bytes() == 0)
    abort_attempt(*it->second, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::abort_attempt(InFlightAttempt& in_flight, dispatch::AttemptEnd end) {
  Connection* connection = in_flight.connection;
  // libevent keeps writing what it has buffered until the connection is closed, which happens below.
  const dispatch::WriteProgress progress =
      connection ? connection->http->write_progress() : dispatch::WriteProgress::kNotConnected;
  EndpointPool& pool = *in_flight.pool;
  finish(in_flight, {end, progress, {}});
  if (connection) close_connection(*connection);
  start_waiting(pool);
}

// Ends an attempt and reports the result; called for every attempt.
void SearchClient::finish(InFlightAttempt& in_flight, const dispatch::AttemptResult& result) {
  std::erase(in_flight.pool->to_flush, &in_flight);
  std::erase(in_flight.pool->waiting, &in_flight);
  if (in_flight.connection) {
    if (byte_counter_)
      byte_counter_({in_flight.pool->id, in_flight.attempt->account,
                     static_cast<long long>(in_flight.connection->http->written_bytes()),
                     static_cast<long long>(in_flight.connection->http->received_bytes())});
    in_flight.connection->in_flight = nullptr;
    in_flight.connection->idle_since = now();
    if (!cleanup_timer_.pending()) cleanup_timer_.start(limits_.idle_timeout / 4 + 1);
  }
  Connection* connection = in_flight.connection;
  const auto kept = in_flight_.extract(in_flight.attempt);  // destroyed after the end is reported
  on_attempt_ended_(*in_flight.attempt, result);
  if (connection) connection->http->release_response_memory();
}

// Stops all reading and writing on a connection at once. The connection is freed later, outside libevent's
// callbacks.
void SearchClient::close_connection(Connection& connection) {
  connection.http->close();
  --open_connections_;
  auto& connections = connection.pool->connections;
  const auto it = std::find_if(connections.begin(), connections.end(),
                               [&](const auto& other) { return other.get() == &connection; });
  closed_connections_.push_back(std::move(*it));
  connections.erase(it);
  cleanup_timer_.start(0);
}

}  // namespace cairnhub::backend
