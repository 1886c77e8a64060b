#include "backend/framed/framed_client.h"

#include <event2/buffer.h>

#include <algorithm>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>

#include "backend/buffer_memory.h"
#include "backend/framed/frame_codec.h"
#include "backend/framed/recent_names.h"
#include "base/clock.h"
#include "base/sockets.h"

namespace cairnhub::backend {

namespace {

// While this many bytes are unwritten, no further batch is buffered for writing, so that the batch can still
// be withdrawn.
constexpr std::size_t kMaxBufferedBytes = 16384;
// A connection that left attempts unanswered for longer than this fraction of the connect timeout gets no new
// attempts, because a new connection would be established sooner.
constexpr Time kSilenceDivisor = 2;
// A connection remembers this many cancelled names, because a result may cross the cancel frame.
constexpr std::size_t kMaxCancelledNames = 256;
// A connection is closed if more unwritten bytes than this remain after a cancel frame, because the endpoint
// does not read.
constexpr std::size_t kMaxUnreadBytes = 262144;

}  // namespace

// The attempts sent in one frame.
struct FramedClient::Batch {
  std::vector<InFlightAttempt*> attempts;  // attempts that have not ended
  std::uint64_t end_offset = 0;  // end of the frame in the connection's output; 0 until the frame is buffered
};

struct FramedClient::InFlightAttempt {
  dispatch::Attempt* attempt = nullptr;
  EndpointPool* pool = nullptr;
  Connection* connection = nullptr;
  Batch* batch = nullptr;
  std::unique_ptr<Timer> timeout;

  // A buffered frame is always written to its end.
  bool is_buffered() const { return batch && batch->end_offset != 0; }
};

// Returns whether the attempt is for another shard request of the same name.
bool FramedClient::has_same_name(const InFlightAttempt& in_flight,
                                 const dispatch::ShardRequest& shard_request) {
  const dispatch::ShardRequest& other = *in_flight.attempt->shard_request;
  return other.id != shard_request.id && other.name == shard_request.name;
}

struct FramedClient::Connection {
  struct CancelledName {
    std::size_t name_hash;
    dispatch::TrafficAccount account;
  };
  // Bytes that are buffered and may not be written yet; kept only if bytes are counted.
  struct BufferedSpan {
    std::uint64_t end_offset;
    std::size_t bytes;
    dispatch::TrafficAccount account;
  };
  explicit Connection(const std::shared_ptr<dispatch::ClientMemory>& memory)
      : input_memory(memory, dispatch::MemoryUse::kReceived),
        output_memory(memory, dispatch::MemoryUse::kRequests) {}

  FramedClient* client = nullptr;
  EndpointPool* pool = nullptr;
  Address address;
  bufferevent* bev = nullptr;
  BufferMemory input_memory;
  BufferMemory output_memory;
  bool is_connected = false;
  std::uint64_t buffered_bytes = 0;  // since the connection was opened
  std::uint64_t counted_bytes = 0;   // buffered bytes for which spans were added
  std::list<std::unique_ptr<Batch>> waiting, buffered;
  // Attempts by the names sent to the endpoint; must not be iterated over.
  std::unordered_map<std::string_view, InFlightAttempt*> attempts_by_name;
  std::unique_ptr<Timer> connect_or_idle_timer;  // connect timeout, then idle timeout
  std::unique_ptr<Timer> frame_timer;            // runs while a frame is incomplete
  Time idle_since = 0;                           // when the last batch ended, on a connection without batches
  Time silence_counted_to = 0;                   // the last valid frame, or the time that silence includes
  Time silence = 0;                              // spent on unanswered attempts since the last valid frame
  int unanswered_attempts = 0;                   // attempts aborted since the last valid frame
  std::deque<CancelledName> cancelled_names;     // oldest first
  std::deque<BufferedSpan> spans;                // oldest first
  std::string last_result_name;
  framed::RecentNames recent_names;

  // Returns whether results on this connection can't be confused with that of the shard request: its name
  // hasn't been sent, or waits to be sent, for another.
  bool can_tell_results_of(const dispatch::ShardRequest& shard_request) const {
    const auto it = attempts_by_name.find(shard_request.name);
    if (it != attempts_by_name.end() && has_same_name(*it->second, shard_request)) return false;
    for (const auto& batch : waiting) {
      for (const InFlightAttempt* in_flight : batch->attempts) {
        if (has_same_name(*in_flight, shard_request)) return false;
      }
    }
    return !recent_names.has_other(shard_request.name, shard_request.id);
  }
  const CancelledName* find_cancelled(std::string_view name) const {
    const auto it = std::find_if(cancelled_names.begin(), cancelled_names.end(),
                                 [hash = std::hash<std::string_view>{}(name)](const auto& cancelled) {
                                   return cancelled.name_hash == hash;
                                 });
    return it == cancelled_names.end() ? nullptr : &*it;
  }
  // Records an aborted attempt. A connection can be dead although its endpoint is alive, as after a corrupted
  // frame or a network failure. Each attempt sent on the connection would be lost, and the endpoint would
  // appear to hang permanently. The cost of replacing such connections is an occasional handshake with a slow
  // endpoint.
  void record_unanswered(Time sent_at) {
    const Time at = now();
    ++unanswered_attempts;
    silence += at - std::max(sent_at, silence_counted_to);
    silence_counted_to = at;
  }
  // An unresponsive connection gets no new batches. A single unanswered attempt may just have been slow.
  bool is_unresponsive() const {
    return unanswered_attempts > 1 && silence > client->limits_.connect_timeout / kSilenceDivisor;
  }
  std::size_t batch_count() const { return waiting.size() + buffered.size(); }
  // The endpoint may close an idle connection just as the connection is used again. A batch written at that
  // moment is lost, and the broker can't know whether it has run. Bytes received on an idle connection are
  // not a result, unless an attempt was cancelled on the connection: then the connection is read first. The
  // check costs a system call per batch.
  bool is_reusable() const {
    if (!is_connected) return true;
    const bool expects_bytes = batch_count() > 0 || !cancelled_names.empty();
    if (!expects_bytes && evbuffer_get_length(bufferevent_get_input(bev)) > 0) return false;
    const short ready = ready_events(bufferevent_getfd(bev), POLLIN | POLLRDHUP);
    return (ready & kPeerClosed) == 0 && (expects_bytes || (ready & POLLIN) == 0);
  }
  void attach_memory() {
    input_memory.attach(bufferevent_get_input(bev));
    output_memory.attach(bufferevent_get_output(bev));
  }
  void free_buffers() {
    input_memory.detach(bufferevent_get_input(bev));
    output_memory.detach(bufferevent_get_output(bev));
    bufferevent_free(bev);
  }
  std::uint64_t written_bytes() const {
    return buffered_bytes - evbuffer_get_length(bufferevent_get_output(bev));
  }
};

struct FramedClient::EndpointPool {
  EndpointId id = 0;
  std::string name;
  Address address;
  std::vector<std::unique_ptr<Connection>> connections;
  std::vector<InFlightAttempt*> to_flush;
};

FramedClient::FramedClient(event_base* base, FramedClientLimits limits,
                           std::shared_ptr<dispatch::ClientMemory> memory, AttemptEnded on_attempt_ended,
                           std::function<void()> run_actions)
    : base_(base),
      limits_(limits),
      memory_(std::move(memory)),
      on_attempt_ended_(std::move(on_attempt_ended)),
      run_actions_(std::move(run_actions)) {}

FramedClient::~FramedClient() {
  for (auto& [id, pool] : pools_)
    for (auto& connection : pool->connections) connection->free_buffers();
}

void FramedClient::update_endpoint(EndpointId id, const std::string& name, const Address& address,
                                   EndpointState state) {
  auto& slot = pools_[id];
  if (!slot) slot = std::make_unique<EndpointPool>();
  slot->id = id;
  slot->name = name;
  slot->address = address;
  if (state == EndpointState::kReady) return;
  // Batches that wait for their connection are withdrawn: they would be written long after the endpoint
  // stated that it drains.
  std::vector<InFlightAttempt*> withdrawn = slot->to_flush;
  for (auto& connection : slot->connections)
    for (auto& batch : connection->waiting)
      withdrawn.insert(withdrawn.end(), batch->attempts.begin(), batch->attempts.end());
  for (InFlightAttempt* in_flight : withdrawn) abort_attempt(*in_flight, dispatch::AttemptEnd::kCancelled);
}

void FramedClient::forget_endpoint(EndpointId id) {
  const auto it = pools_.find(id);
  if (it == pools_.end()) return;
  while (!it->second->connections.empty()) close_connection(*it->second->connections.back(), nullptr);
  std::erase(pools_to_flush_, it->second.get());
  pools_.erase(it);
}

void FramedClient::close_idle_connections(EndpointId id) {
  const auto it = pools_.find(id);
  if (it == pools_.end()) return;
  std::vector<Connection*> idle;
  for (auto& connection : it->second->connections)
    if (connection->batch_count() == 0) idle.push_back(connection.get());
  for (Connection* connection : idle) {
    const linger discard_unsent{1, 0};
    setsockopt(bufferevent_getfd(connection->bev), SOL_SOCKET, SO_LINGER, &discard_unsent,
               sizeof discard_unsent);
    close_connection(*connection, nullptr);
  }
}

void FramedClient::send(dispatch::Attempt& attempt, EndpointId to) {
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

void FramedClient::cancel(dispatch::Attempt& attempt) {
  const auto it = in_flight_.find(&attempt);
  if (it != in_flight_.end()) abort_attempt(*it->second, dispatch::AttemptEnd::kCancelled);
}

void FramedClient::flush() {
  for (EndpointPool* pool : std::exchange(pools_to_flush_, {})) {
    std::vector<InFlightAttempt*> attempts = std::exchange(pool->to_flush, {});
    for (std::size_t i = 0; i < attempts.size();) {
      const AttemptSpan remaining = AttemptSpan(attempts).subspan(i);
      const std::size_t batch_end = i + batch_size(remaining);
      Connection* connection = connection_for_batch(*pool, remaining.first(batch_end - i));
      if (!connection) {  // at the limit of connections: the endpoint isn't at fault, and nothing has run
        for (; i < batch_end; ++i)
          finish(*attempts[i],
                 {dispatch::AttemptEnd::kCancelled, dispatch::WriteProgress::kNotConnected, {}});
        continue;
      }
      auto batch = std::make_unique<Batch>();
      for (; i < batch_end; ++i) {
        batch->attempts.push_back(attempts[i]);
        attempts[i]->connection = connection;
        attempts[i]->batch = batch.get();
      }
      connection->waiting.push_back(std::move(batch));
      if (connection->is_connected) connection->connect_or_idle_timer->stop();
    }
    for (auto& connection : pool->connections)
      if (connection->is_connected) write_batches(*connection);
  }
}

std::size_t FramedClient::batch_size(AttemptSpan attempts) const {
  const std::size_t max_size =
      std::min(attempts.size(), static_cast<std::size_t>(limits_.max_shard_requests_per_batch));
  for (std::size_t size = 1; size < max_size; ++size) {
    const dispatch::ShardRequest& next = *attempts[size]->attempt->shard_request;
    const AttemptSpan batch = attempts.first(size);
    const bool is_repeated = std::any_of(batch.begin(), batch.end(), [&](const InFlightAttempt* in_flight) {
      return has_same_name(*in_flight, next);
    });
    if (is_repeated) return size;
  }
  return max_size;
}

// Returns, of the connections to the endpoint's current address that can tell the attempts' results from
// others, the one with the fewest batches if it may carry another batch; otherwise a new connection. If no
// connection can be opened, returns the one with the fewest batches even though it is full.
FramedClient::Connection* FramedClient::connection_for_batch(EndpointPool& pool, AttemptSpan attempts) {
  const auto can_tell_results = [&](const Connection& connection) {
    return std::all_of(attempts.begin(), attempts.end(), [&](const InFlightAttempt* in_flight) {
      return connection.can_tell_results_of(*in_flight->attempt->shard_request);
    });
  };
  Connection* fewest = nullptr;
  std::vector<Connection*> replaced;  // idle, or a client that repeats its names would fill the pool
  for (auto& connection : pool.connections) {
    if (connection->address != pool.address || connection->is_unresponsive()) continue;
    if (fewest && connection->batch_count() >= fewest->batch_count()) continue;
    if (!can_tell_results(*connection)) {
      if (connection->is_connected && connection->batch_count() == 0) replaced.push_back(connection.get());
      continue;
    }
    if (connection->is_reusable()) fewest = connection.get();
  }
  for (Connection* connection : replaced) close_connection(*connection, nullptr);
  if (fewest && fewest->batch_count() < static_cast<std::size_t>(limits_.max_batches_per_connection))
    return fewest;
  if (open_connections_ >= limits_.max_connections && !fewest) close_longest_idle_connection();
  Connection* opened = open_connections_ < limits_.max_connections ? open_connection(pool) : nullptr;
  return opened ? opened : fewest;
}

// Closes the connection that has been idle longest, or none if all carry batches. With more endpoints than
// connections, the endpoints used first would otherwise hold all connections until the idle timeout, and each
// attempt at another endpoint would fail at once.
void FramedClient::close_longest_idle_connection() {
  Connection* longest = nullptr;
  for (auto& [id, pool] : pools_)
    for (auto& connection : pool->connections)
      if (connection->is_connected && connection->batch_count() == 0 &&
          (!longest || connection->idle_since < longest->idle_since))
        longest = connection.get();
  if (longest) close_connection(*longest, nullptr);
}

FramedClient::Connection* FramedClient::open_connection(EndpointPool& pool) {
  auto owned = std::make_unique<Connection>(memory_);
  owned->client = this;
  owned->pool = &pool;
  owned->address = pool.address;
  Connection* connection = owned.get();
  connection->bev = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  if (!connection->bev) return nullptr;
  connection->connect_or_idle_timer = std::make_unique<Timer>(base_, [this, connection] {
    close_connection(*connection, connection->is_connected ? nullptr : "not connected within the time limit");
    run_actions_();
  });
  // An endpoint that never completes a frame sends no further results on this connection, and the attempts
  // on the connection would wait until their own timeouts.
  connection->frame_timer = std::make_unique<Timer>(base_, [this, connection] {
    close_connection(*connection, "frame not completed within the time limit",
                     dispatch::AttemptEnd::kInvalidResponse);
    run_actions_();
  });
  if (bufferevent_socket_connect(connection->bev, reinterpret_cast<sockaddr*>(&connection->address.at),
                                 connection->address.length) != 0) {
    bufferevent_free(connection->bev);
    return nullptr;
  }
  connection->attach_memory();
  // Set only after connecting, so that an immediate failure isn't reported to a callback as well.
  bufferevent_setcb(
      connection->bev,
      [](bufferevent*, void* context) {
        guarded("endpoint read", [connection = static_cast<Connection*>(context),
                                  client = static_cast<Connection*>(context)->client] {
          client->handle_readable(*connection);
          client->run_actions_();
        });
      },
      [](bufferevent*, void* context) {
        guarded("endpoint write", [connection = static_cast<Connection*>(context)] {
          FramedClient* client = connection->client;
          const bool has_waiting = !connection->waiting.empty();
          if (has_waiting && client->before_write_) client->before_write_();
          client->write_batches(*connection);
          if (has_waiting) client->run_actions_();
        });
      },
      [](bufferevent*, short events, void* context) {
        guarded("endpoint event", [connection = static_cast<Connection*>(context),
                                   client = static_cast<Connection*>(context)->client, events] {
          client->handle_event(*connection, events);
          client->run_actions_();
        });
      },
      connection);
  connection->connect_or_idle_timer->start(limits_.connect_timeout);
  ++open_connections_;
  pool.connections.push_back(std::move(owned));
  return connection;
}

void FramedClient::handle_event(Connection& connection, short events) {
  if (events & BEV_EVENT_CONNECTED) {
    connection.is_connected = true;
    connection.connect_or_idle_timer->stop();
    send_without_delay(bufferevent_getfd(connection.bev));
    bufferevent_enable(connection.bev, EV_READ | EV_WRITE);
    if (before_write_) before_write_();
    return write_batches(connection);
  }
  close_connection(connection, events & BEV_EVENT_EOF    ? "closed by the endpoint"
                               : connection.is_connected ? "connection reset"
                                                         : "connection refused");
}

// Aborts the waiting attempts that have expired or may no longer begin. A connection may be established late.
// By then the timeout that an attempt would state to the endpoint may have passed; or the endpoint may no
// longer drop repeats, and the attempt could take effect twice.
void FramedClient::abort_expired(Connection& connection) {
  std::vector<std::pair<InFlightAttempt*, dispatch::AttemptEnd>> expired;
  const Time at = now();
  for (const auto& batch : connection.waiting)
    for (InFlightAttempt* in_flight : batch->attempts) {
      if (in_flight->attempt->expires_at <= at) {
        expired.emplace_back(in_flight, dispatch::AttemptEnd::kTimedOut);
      } else if (in_flight->attempt->begins_by < at) {
        expired.emplace_back(in_flight, dispatch::AttemptEnd::kCancelled);
      }
    }
  for (const auto& [in_flight, end] : expired) abort_attempt(*in_flight, end);
}

// Buffers waiting batches for writing while fewer than kMaxBufferedBytes are unwritten.
void FramedClient::write_batches(Connection& connection) {
  abort_expired(connection);
  evbuffer* output = bufferevent_get_output(connection.bev);
  while (!connection.waiting.empty() && evbuffer_get_length(output) < kMaxBufferedBytes) {
    std::unique_ptr<Batch> batch = std::move(connection.waiting.front());
    connection.waiting.pop_front();
    framed::BatchFrame frame;
    std::vector<std::size_t> payload_ends;  // by attempt; filled only if bytes are counted
    for (InFlightAttempt* in_flight : batch->attempts) {
      const dispatch::ShardRequest& shard_request = *in_flight->attempt->shard_request;
      const std::string& body = shard_request.body ? *shard_request.body : shard_request.request->body;
      frame.add(shard_request.name, shard_request.shard, in_flight->attempt->expires_at - now(),
                shard_request.http_target.empty() ? body : shard_request.http_target + "\n" + body);
      connection.attempts_by_name[shard_request.name] = in_flight;
      connection.recent_names.add(shard_request.name, shard_request.id);
      if (byte_counter_) payload_ends.push_back(frame.payload_bytes());
    }
    const std::string bytes = frame.encode();
    connection.buffered_bytes += bytes.size();
    batch->end_offset = connection.buffered_bytes;
    bufferevent_write(connection.bev, bytes.data(), bytes.size());
    // The frame's length and letter are counted with the first attempt.
    for (std::size_t i = 0; i < payload_ends.size(); ++i)
      count_buffered_bytes(connection, *batch->attempts[i]->attempt,
                           i > 0 ? payload_ends[i] - payload_ends[i - 1]
                                 : payload_ends[0] + bytes.size() - frame.payload_bytes());
    connection.buffered.push_back(std::move(batch));
  }
  if (connection.batch_count() == 0 && !connection.connect_or_idle_timer->pending()) {
    connection.connect_or_idle_timer->start(limits_.idle_timeout);
    connection.idle_since = now();
  }
}

// Counts the bytes now and records them, so that close_connection() can subtract the bytes that were never
// written.
void FramedClient::count_buffered_bytes(Connection& connection, const dispatch::Attempt& attempt,
                                        std::size_t bytes) {
  if (!byte_counter_) return;
  byte_counter_({connection.pool->id, attempt.account, static_cast<long long>(bytes), 0});
  while (!connection.spans.empty() && connection.spans.front().end_offset <= connection.written_bytes())
    connection.spans.pop_front();
  connection.counted_bytes += bytes;
  connection.spans.push_back({connection.counted_bytes, bytes, attempt.account});
}

void FramedClient::handle_readable(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev);
  for (;;) {
    unsigned char prefix[framed::kLengthBytes];
    const bool has_length =
        evbuffer_copyout(input, prefix, sizeof prefix) == static_cast<ev_ssize_t>(sizeof prefix);
    const std::size_t length = has_length ? framed::decode_length(prefix) : 1;
    if (length == 0 || length > framed::kMaxFrameBytes)
      return close_connection(connection, "frame length out of range",
                              dispatch::AttemptEnd::kInvalidResponse);
    if (!has_length || evbuffer_get_length(input) < sizeof prefix + length) break;
    const char* frame =
        reinterpret_cast<const char*>(evbuffer_pullup(input, sizeof prefix + length)) + sizeof prefix;
    if (const char* error = handle_frame(connection, {frame, length}))
      return close_connection(connection, error, dispatch::AttemptEnd::kInvalidResponse);
    evbuffer_drain(input, sizeof prefix + length);
    connection.frame_timer->stop();
  }
  if (evbuffer_get_length(input) == 0) {
    connection.frame_timer->stop();
  } else if (!connection.frame_timer->pending()) {
    connection.frame_timer->start(limits_.connect_timeout);  // the longest delay that the network may cause
  }
}

const char* FramedClient::handle_frame(Connection& connection, std::string_view frame) {
  const auto result = framed::parse_shard_result(frame);
  if (!result) return frame[0] == 'F' ? "endpoint rejected a frame" : "malformed frame";
  const auto it = connection.attempts_by_name.find(result->name);
  const Connection::CancelledName* cancelled = connection.find_cancelled(result->name);
  if (byte_counter_) {
    const dispatch::TrafficAccount account = it != connection.attempts_by_name.end()
                                                 ? it->second->attempt->account
                                             : cancelled ? cancelled->account
                                                         : dispatch::TrafficAccount{};
    byte_counter_(
        {connection.pool->id, account, 0, static_cast<long long>(frame.size() + framed::kLengthBytes)});
  }
  // A result for an ended attempt is dropped: it crossed the cancel frame, or repeats the last result. A
  // result for an unknown attempt was sent in place of a result that is still expected and will not arrive.
  if (it == connection.attempts_by_name.end())
    return cancelled || result->name == connection.last_result_name ? nullptr
                                                                    : "result for an unknown shard request";
  connection.silence_counted_to = now();
  connection.silence = 0;
  connection.unanswered_attempts = 0;
  connection.last_result_name = result->name;
  // If a cancelled name was used again, the value may belong to the earlier attempt.
  const dispatch::AttemptEnd end =
      cancelled                                                   ? dispatch::AttemptEnd::kError
      : result->status == framed::ShardResult::Status::kReturned  ? dispatch::AttemptEnd::kReturned
      : result->status == framed::ShardResult::Status::kQueueFull ? dispatch::AttemptEnd::kQueueFull
                                                                  : dispatch::AttemptEnd::kError;
  finish(*it->second, {end, dispatch::WriteProgress::kFullyWritten, result->value});
  return nullptr;
}

// Returns how much of an attempt was written to a connection that is being closed.
dispatch::WriteProgress FramedClient::write_progress(const InFlightAttempt& in_flight) const {
  if (!in_flight.connection->is_connected) return dispatch::WriteProgress::kNotConnected;
  return in_flight.is_buffered() && in_flight.connection->written_bytes() >= in_flight.batch->end_offset
             ? dispatch::WriteProgress::kFullyWritten
             : dispatch::WriteProgress::kPartlyWritten;
}

void FramedClient::cancel_unwritten(dispatch::Attempt& attempt) {
  const auto it = in_flight_.find(&attempt);
  if (it != in_flight_.end() && !it->second->is_buffered())
    abort_attempt(*it->second, dispatch::AttemptEnd::kCancelled);
}

// Ends an attempt before its result: withdraws the attempt if its frame is not buffered, else sends a cancel
// frame. A buffered frame is written to its end, so the attempt may run even if the frame's last byte was not
// written at this time.
void FramedClient::abort_attempt(InFlightAttempt& in_flight, dispatch::AttemptEnd end) {
  const bool is_buffered = in_flight.is_buffered();
  if (is_buffered) {
    const std::string frame = framed::encode_cancel(in_flight.attempt->shard_request->name);
    in_flight.connection->buffered_bytes += frame.size();
    bufferevent_write(in_flight.connection->bev, frame.data(), frame.size());
    count_buffered_bytes(*in_flight.connection, *in_flight.attempt, frame.size());
    in_flight.connection->cancelled_names.push_back(
        {std::hash<std::string_view>{}(in_flight.attempt->shard_request->name), in_flight.attempt->account});
    if (in_flight.connection->cancelled_names.size() > kMaxCancelledNames)
      in_flight.connection->cancelled_names.pop_front();
    in_flight.connection->record_unanswered(in_flight.attempt->sent_at);
  }
  Connection* connection = in_flight.connection;
  finish(in_flight,
         {end,
          is_buffered ? dispatch::WriteProgress::kFullyWritten : dispatch::WriteProgress::kNotConnected,
          {}});
  if (is_buffered && evbuffer_get_length(bufferevent_get_output(connection->bev)) > kMaxUnreadBytes)
    close_connection(*connection, "endpoint does not read");
}

// Ends an attempt and reports the result; called for every attempt.
void FramedClient::finish(InFlightAttempt& in_flight, const dispatch::AttemptResult& result) {
  dispatch::Attempt& attempt = *in_flight.attempt;
  std::erase(in_flight.pool->to_flush, &in_flight);
  if (Connection* connection = in_flight.connection) {
    const auto it = connection->attempts_by_name.find(attempt.shard_request->name);
    if (it != connection->attempts_by_name.end() && it->second == &in_flight)
      connection->attempts_by_name.erase(it);
    std::erase(in_flight.batch->attempts, &in_flight);
    if (in_flight.batch->attempts.empty()) {
      const auto has_ended = [&](const auto& other) { return other.get() == in_flight.batch; };
      connection->waiting.remove_if(has_ended);
      connection->buffered.remove_if(has_ended);
      if (connection->is_connected && connection->batch_count() == 0) {
        connection->connect_or_idle_timer->start(connection->is_unresponsive() ? 0 : limits_.idle_timeout);
        connection->idle_since = now();
      }
    }
  }
  const auto kept = in_flight_.extract(&attempt);  // destroyed after the end is reported
  on_attempt_ended_(attempt, result);
}

// Closes a connection and ends all attempts on it.
void FramedClient::close_connection(Connection& connection, const char* reason, dispatch::AttemptEnd end) {
  if (reason)
    log("node", "%s: %s; %zu batches on the connection", connection.pool->name.c_str(), reason,
        connection.batch_count());
  std::vector<std::pair<InFlightAttempt*, dispatch::WriteProgress>> lost;
  for (auto* batches : {&connection.buffered, &connection.waiting})
    for (auto& batch : *batches)
      for (InFlightAttempt* in_flight : batch->attempts)
        lost.emplace_back(in_flight, write_progress(*in_flight));
  for (auto& [in_flight, progress] : lost) finish(*in_flight, {end, progress, {}});
  const std::uint64_t written = connection.written_bytes();
  for (const Connection::BufferedSpan& span : connection.spans)
    if (span.end_offset > written)
      byte_counter_({connection.pool->id, span.account,
                     -static_cast<long long>(std::min<std::uint64_t>(span.bytes, span.end_offset - written)),
                     0});
  connection.free_buffers();
  --open_connections_;
  std::erase_if(connection.pool->connections, [&](const auto& c) { return c.get() == &connection; });
}

}  // namespace cairnhub::backend
