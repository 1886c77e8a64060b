#include "backend/opensearch/search_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <algorithm>
#include <utility>

#include "backend/buffer_memory.h"
#include "base/clock.h"
#include "base/http_message_memory.h"
#include "base/sockets.h"

namespace cairnhub::backend {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16384;

}  // namespace

struct SearchClient::InFlightAttempt {
  dispatch::Attempt* attempt = nullptr;
  EndpointPool* pool = nullptr;
  Connection* connection = nullptr;  // null while the attempt waits for a connection
  std::unique_ptr<Timer> timeout;
};

struct SearchClient::Connection {
  explicit Connection(const std::shared_ptr<dispatch::ClientMemory>& memory)
      : output_memory(memory, dispatch::MemoryUse::kRequests),
        response_memory(memory, dispatch::MemoryUse::kReceived) {}

  SearchClient* client = nullptr;
  EndpointPool* pool = nullptr;
  evhttp_connection* http = nullptr;
  evhttp_request* request = nullptr;
  InFlightAttempt* in_flight = nullptr;
  // Bytes of the current request.
  std::size_t queued_bytes = 0, written_bytes = 0;
  std::size_t received_bytes = 0;
  BufferMemory output_memory;
  HttpMessageMemory response_message = {};      // the response, as the parser keeps it
  dispatch::MemoryReservation response_memory;  // of the response, as far as it has been received
  bool is_over_limit = false;                   // has received bytes while the memory was exhausted
  bool has_dropped_input = false;               // so that the response can't be completed
  int error = -1;                               // evhttp_request_error, or -1
  Time idle_since = 0;

  static void count_output(evbuffer*, const evbuffer_cb_info* info, void* context) {
    Connection& connection = *static_cast<Connection*>(context);
    connection.queued_bytes += info->n_added;
    connection.written_bytes += info->n_deleted;
  }
  // Called before the parser gets the bytes, so that a response that finds no room is not parsed further.
  static void count_input(evbuffer*, const evbuffer_cb_info* info, void* context) {
    if (info->n_added == 0) return;
    auto& connection = *static_cast<Connection*>(context);
    connection.client->record_received(connection, info->n_added);
  }
  // Keeps the response from being read on, until its attempt is aborted.
  void drop_input() const {
    bufferevent* bev = evhttp_connection_get_bufferevent(http);
    bufferevent_disable(bev, EV_READ);
    evbuffer_drain(bufferevent_get_input(bev), evbuffer_get_length(bufferevent_get_input(bev)));
  }
  void attach() {
    bufferevent* bev = evhttp_connection_get_bufferevent(http);
    evbuffer_add_cb(bufferevent_get_output(bev), count_output, this);
    evbuffer_add_cb(bufferevent_get_input(bev), count_input, this);
    output_memory.attach(bufferevent_get_output(bev));
  }
  void detach() {
    bufferevent* bev = evhttp_connection_get_bufferevent(http);
    evbuffer_remove_cb(bufferevent_get_output(bev), count_output, this);
    evbuffer_remove_cb(bufferevent_get_input(bev), count_input, this);
    output_memory.detach(bufferevent_get_output(bev));
  }
  bool is_fully_written() const { return queued_bytes > 0 && written_bytes >= queued_bytes; }
  dispatch::WriteProgress write_progress() const {
    return queued_bytes == 0 || written_bytes == 0 ? dispatch::WriteProgress::kNotConnected
           : is_fully_written()                    ? dispatch::WriteProgress::kFullyWritten
                                                   : dispatch::WriteProgress::kPartlyWritten;
  }
};

struct SearchClient::EndpointPool {
  EndpointId id = 0;
  std::string name, host;
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<Connection>> connections;
  std::deque<InFlightAttempt*> waiting;
  std::vector<InFlightAttempt*> to_flush;
};

SearchClient::SearchClient(event_base* base, SearchClientLimits limits,
                           std::shared_ptr<dispatch::ClientMemory> memory, AttemptEnded on_attempt_ended,
                           std::function<void()> run_actions)
    : base_(base),
      limits_(limits),
      memory_(std::move(memory)),
      on_attempt_ended_(std::move(on_attempt_ended)),
      run_actions_(std::move(run_actions)),
      cleanup_timer_(base,
                     [this] {
                       for (auto& connection : std::exchange(closed_connections_, {}))
                         if (connection->http) evhttp_connection_free(connection->http);
                       const Time idle_limit = now() - limits_.idle_timeout;
                       bool has_connections = false;
                       for (auto& [id, pool] : pools_) {
                         std::erase_if(pool->connections, [&](const auto& connection) {
                           if (connection->in_flight || connection->idle_since > idle_limit) {
                             has_connections = true;
                             return false;
                           }
                           --open_connections_;
                           connection->detach();
                           evhttp_connection_free(connection->http);
                           return true;
                         });
                       }
                       if (has_connections && !cleanup_timer_.pending())
                         cleanup_timer_.start(limits_.idle_timeout / 4 + 1);
                     }),
      over_limit_timer_(base, [this] { abort_over_limit(); }) {}

SearchClient::~SearchClient() {
  for (auto& connection : closed_connections_)
    if (connection->http) evhttp_connection_free(connection->http);
  for (auto& [id, pool] : pools_)
    for (auto& connection : pool->connections) {
      if (connection->request) evhttp_cancel_request(connection->request);
      connection->detach();
      evhttp_connection_free(connection->http);
    }
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
  for (auto& connection : pool.connections)
    if (!connection->in_flight) return connection.get();
  if (pool.connections.size() >= limits_.max_connections_per_endpoint ||
      open_connections_ >= limits_.max_connections)
    return nullptr;
  auto connection = std::make_unique<Connection>(memory_);
  connection->http =
      evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, pool.host.c_str(), pool.port);
  if (!connection->http) return nullptr;
  connection->client = this;
  connection->pool = &pool;
  evhttp_connection_set_max_headers_size(connection->http, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection->http, static_cast<ev_ssize_t>(limits_.max_body_bytes));
  evhttp_connection_set_retries(connection->http, 0);
  connection->attach();
  ++open_connections_;
  pool.connections.push_back(std::move(connection));
  return pool.connections.back().get();
}

void SearchClient::start_request(InFlightAttempt& in_flight, Connection& connection) {
  const dispatch::ShardRequest& shard_request = *in_flight.attempt->shard_request;
  in_flight.connection = &connection;
  connection.in_flight = &in_flight;
  connection.queued_bytes = 0;
  connection.written_bytes = 0;
  connection.received_bytes = 0;
  connection.response_message.reset();
  connection.error = -1;
  connection.request = evhttp_request_new(
      [](evhttp_request* response, void* context) {
        guarded("search response", [connection = static_cast<Connection*>(context), response] {
          SearchClient* client = connection->client;
          client->handle_response(*connection, response);
          client->run_actions_();
        });
      },
      &connection);
  evhttp_request_set_error_cb(connection.request, [](evhttp_request_error error, void* context) {
    static_cast<Connection*>(context)->error = static_cast<int>(error);
  });
  evkeyvalq* headers = evhttp_request_get_output_headers(connection.request);
  evhttp_add_header(headers, "Host",
                    (connection.pool->host + ":" + std::to_string(connection.pool->port)).c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  const std::string& body = shard_request.body ? *shard_request.body : shard_request.request->body;
  evbuffer_add(evhttp_request_get_output_buffer(connection.request), body.data(), body.size());
  const timeval timeout{std::max<Time>(0, in_flight.attempt->expires_at - now()) / kSecond + 1, 0};
  evhttp_connection_set_timeout_tv(connection.http, &timeout);
  if (evhttp_make_request(connection.http, connection.request, EVHTTP_REQ_POST,
                          shard_request.http_target.c_str()) != 0) {
    connection.request = nullptr;  // freed by the failed call
    finish(in_flight, {dispatch::AttemptEnd::kConnectionLost, dispatch::WriteProgress::kNotConnected, {}});
    return close_connection(connection);
  }
  send_without_delay(bufferevent_getfd(evhttp_connection_get_bufferevent(connection.http)));
}

void SearchClient::handle_response(Connection& connection, evhttp_request* response) {
  connection.request = nullptr;
  InFlightAttempt* in_flight = connection.in_flight;
  if (!in_flight) return;  // cancelled; the connection is being closed
  const int status = response ? evhttp_request_get_response_code(response) : 0;
  if (status == 0) return handle_failure(connection, connection.error);
  evbuffer* body = evhttp_request_get_input_buffer(response);
  const std::size_t body_bytes = evbuffer_get_length(body);
  const std::string_view value(body_bytes ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "",
                               body_bytes);
  const dispatch::AttemptEnd end = status == 200                    ? dispatch::AttemptEnd::kReturned
                                   : status == 429 || status == 503 ? dispatch::AttemptEnd::kQueueFull
                                                                    : dispatch::AttemptEnd::kError;
  // An endpoint may refuse a request before reading all of it. If the connection were reused, the endpoint
  // would take the rest for the start of the next request.
  const bool is_reusable = connection.is_fully_written();
  EndpointPool& pool = *connection.pool;
  finish(*in_flight, {end, dispatch::WriteProgress::kFullyWritten, value});
  if (!is_reusable) close_connection(connection);
  start_waiting(pool);
}

void SearchClient::handle_failure(Connection& connection, int error) {
  const bool is_invalid = error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG ||
                          error == EVREQ_HTTP_BUFFER_ERROR;
  log("node", "%s: %s", connection.pool->name.c_str(),
      is_invalid ? "response is not valid HTTP or too long"
      : connection.write_progress() == dispatch::WriteProgress::kNotConnected
          ? "connection refused or not established"
          : "connection lost during a search");
  EndpointPool& pool = *connection.pool;
  finish(*connection.in_flight,
         {is_invalid ? dispatch::AttemptEnd::kInvalidResponse : dispatch::AttemptEnd::kConnectionLost,
          connection.write_progress(),
          {}});
  close_connection(connection);
  start_waiting(pool);
}

void SearchClient::record_received(Connection& connection, std::size_t bytes) {
  connection.received_bytes += bytes;
  const std::size_t memory_before = connection.response_memory.bytes();
  connection.response_message.record_read(
      bufferevent_get_input(evhttp_connection_get_bufferevent(connection.http)), bytes);
  connection.response_memory.resize(connection.response_message.bytes());
  if (memory_->admits_received()) return;
  connection.is_over_limit = true;
  // Of a body, one read more is kept at most; of a head, the parser would make many times its bytes.
  if (connection.response_message.is_in_head()) {
    connection.drop_input();
    connection.has_dropped_input = true;
    connection.response_memory.resize(memory_before);
  }
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
    if (memory_->admits_received() && !in_flight->connection->has_dropped_input) continue;
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
  if (!connection || connection->written_bytes == 0)
    abort_attempt(*it->second, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::abort_attempt(InFlightAttempt& in_flight, dispatch::AttemptEnd end) {
  Connection* connection = in_flight.connection;
  // libevent keeps writing what it has buffered until the connection is closed, which happens below.
  const dispatch::WriteProgress progress =
      connection ? connection->write_progress() : dispatch::WriteProgress::kNotConnected;
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
                     static_cast<long long>(in_flight.connection->written_bytes),
                     static_cast<long long>(in_flight.connection->received_bytes)});
    in_flight.connection->in_flight = nullptr;
    in_flight.connection->idle_since = now();
    if (!cleanup_timer_.pending()) cleanup_timer_.start(limits_.idle_timeout / 4 + 1);
  }
  Connection* connection = in_flight.connection;
  const auto kept = in_flight_.extract(in_flight.attempt);  // destroyed after the end is reported
  on_attempt_ended_(*in_flight.attempt, result);
  if (connection) connection->response_memory.resize(0);
}

// Stops all reading and writing on a connection at once. The connection is freed later, outside libevent's
// callbacks.
void SearchClient::close_connection(Connection& connection) {
  if (connection.request) evhttp_cancel_request(std::exchange(connection.request, nullptr));
  connection.detach();
  connection.response_memory.resize(0);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection.http);
  bufferevent_disable(bev, EV_READ | EV_WRITE);
  if (const int fd = bufferevent_getfd(bev); fd >= 0) shutdown(fd, SHUT_RDWR);
  --open_connections_;
  auto& connections = connection.pool->connections;
  const auto it = std::find_if(connections.begin(), connections.end(),
                               [&](const auto& other) { return other.get() == &connection; });
  closed_connections_.push_back(std::move(*it));
  connections.erase(it);
  cleanup_timer_.start(0);
}

}  // namespace cairnhub::backend
