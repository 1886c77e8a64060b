#include "frontend/http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/clock.h"
#include "base/http_message_memory.h"
#include "base/sockets.h"
#include "frontend/http/arrival_times.h"

namespace cairnhub::frontend {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 65536;
// At most this many bytes are buffered before the parser consumes them: a complete body, or a chunk with its
// length.
constexpr std::size_t kMaxInputBytes = kMaxBodyBytes + kMaxHeaderBytes;
// A connection without any traffic is closed after this time, whatever its state.
constexpr int kInactivityTimeoutSeconds = 10;
// Time limit from accepting to the first complete request, and from the first to the last byte of each later
// request.
constexpr Time kRequestReadTimeout = 2400 * kSecond / 1000;
// Time limit from accepting to the first byte while accepting is paused.
constexpr Time kFirstByteTimeoutPaused = 250 * kSecond / 1000;
constexpr Time kSweepInterval = 50 * kSecond / 1000;
// A disconnection must be noticed within 0.1 s. While early bytes are unread, no event reports the
// disconnection, so the connection is checked at this interval.
constexpr Time kEarlyBytesCheckInterval = 20 * kSecond / 1000;
// Time limit from accepting to the first byte while the process shuts down.
constexpr Time kFirstByteTimeoutClosing = 250 * kSecond / 1000;
// A body in pieces that is at most this long is sent whole, with its length. A longer one is sent in chunks
// of at least this size.
constexpr std::size_t kMinChunkBytes = 65536;
// Divides the descriptors that clients may have; sockets of clients that were rejected may linger on the
// quotient.
constexpr std::size_t kLingeringDivisor = 2;
// While the process shuts down, pipelined requests are answered for this long before their connection is
// closed.
constexpr Time kPipelineTimeoutClosing = kSecond;

constexpr const char* kTooSlow = "the request came too slowly; nothing of it was used";
constexpr const char* kNoRoom =
    "too many incomplete requests; nothing of this one was used, trying again is harmless";
// The target of a request is kept as text and in its parts.
constexpr std::size_t kTargetCopies = 4;

int socket_of(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}
std::size_t input_length(evhttp_connection* connection) {
  return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection)));
}
std::size_t output_length(evhttp_connection* connection) {
  return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}
int unread_bytes(evhttp_connection* connection) {
  int bytes = 0;
  ioctl(socket_of(connection), FIONREAD, &bytes);
  return bytes;
}
// Returns whether the socket holds bytes that the next turn of the loop reads. Closing the connection before
// that would reset it and lose the request that these bytes complete.
bool is_about_to_read(evhttp_connection* connection) {
  return unread_bytes(connection) > 0 && input_length(connection) < kMaxInputBytes;
}
// Checks the headers that delimit the request's body. If two readers could find the end of the body at
// different places, another request could be smuggled in the body.
// @return what is wrong, or null
const char* find_framing_error(evhttp_request* request) {
  const char* length = nullptr;
  const char* coding = nullptr;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next) {
    for (const char* c = header->key; *c; ++c) {
      if (*c <= ' ' || *c > '~') return "a header's name is no word";
    }
    const bool is_length = evutil_ascii_strcasecmp(header->key, "Content-Length") == 0;
    if (!is_length && evutil_ascii_strcasecmp(header->key, "Transfer-Encoding") != 0) continue;
    if (std::exchange(is_length ? length : coding, header->value)) return "its length is stated twice";
  }
  if (length && coding) return "its length is stated twice";
  if (length && (!*length || length[std::strspn(length, "0123456789")])) {
    return "Content-Length is not a number";
  }
  if (coding && evutil_ascii_strcasecmp(coding, "chunked") != 0) return "Transfer-Encoding is not chunked";
  if ((length || coding) && evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
    return "only a POST has a body";
  }
  return nullptr;
}

// Drops the header fields of a request whose frontend has read them, as many short ones take far more memory
// than the request. libevent still reads whether the connection stays open.
void drop_header_fields(evhttp_request* request) {
  evkeyvalq* headers = evhttp_request_get_input_headers(request);
  constexpr const char* kConnectionField = "Connection";
  const char* value = evhttp_find_header(headers, kConnectionField);
  const std::string connection = value ? value : "";
  evhttp_clear_headers(headers);
  if (!connection.empty()) evhttp_add_header(headers, kConnectionField, connection.c_str());
}

// A piece of a response's body, reserved until libevent has written its last byte or has closed the
// connection.
struct ResponsePiece {
  std::string text;
  dispatch::MemoryReservation memory;
};

// Keeps libevent from reading while a response is written: its time limit without a byte from the client
// would close the connection of a client that takes long to read. libevent reads again after the response.
void stop_reading(evhttp_connection* connection) {
  bufferevent_disable(evhttp_connection_get_bufferevent(connection), EV_READ);
}

void add_body(evbuffer* output, std::string text, const std::shared_ptr<dispatch::ClientMemory>& memory) {
  if (text.empty()) return;
  auto piece = std::make_unique<ResponsePiece>();
  piece->text = std::move(text);
  piece->memory =
      dispatch::MemoryReservation(memory, dispatch::MemoryUse::kResponses, piece->text.capacity());
  const auto free_piece = [](const void*, std::size_t, void* owned) {
    delete static_cast<ResponsePiece*>(owned);
  };
  if (evbuffer_add_reference(output, piece->text.data(), piece->text.size(), free_piece, piece.get()) == 0) {
    static_cast<void>(piece.release());  // owned by the buffer
  }
}

}  // namespace

// The state of one connection since it was accepted.
struct HttpServer::ClientState {
  ClientState(HttpServer* accepting_server, evhttp_connection* accepted)
      : server(accepting_server),
        connection(accepted),
        incomplete_memory(accepting_server->memory_, dispatch::MemoryUse::kIncomplete),
        request_memory(accepting_server->memory_, dispatch::MemoryUse::kRequests) {}

  HttpServer* server;
  evhttp_connection* connection;
  event* departure = nullptr;         // active while a request is in flight
  evhttp_request* request = nullptr;  // the request in flight
  ConnectionResponder* responder = nullptr;
  std::function<void()> abandon = {};  // abandons the request in flight; empty if there is none
  bool has_sent_request = false;       // the client has sent at least one complete request
  Time idle_since = now();             // time of the last response, or of the acceptance
  Time request_began_at = 0;           // first byte of an incomplete request; 0: there is none
  bool has_early_bytes = false;        // bytes are unread at the socket while a request is in flight
  ArrivalTimes arrival_times = {};
  HttpMessageMemory message = {};                 // the incomplete request, as the parser keeps it
  dispatch::MemoryReservation incomplete_memory;  // of the incomplete request
  dispatch::MemoryReservation request_memory;     // of the request in flight, as libevent keeps it
  bool has_no_room = false;                       // the incomplete request is to be rejected

  // Counts the bytes that the parser has not consumed as the beginning of the next request.
  void begin_request() {
    message.reset();
    evbuffer* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
    message.record_read(input, evbuffer_get_length(input));
    update_incomplete_memory();
  }
  void update_incomplete_memory() {
    incomplete_memory.resize(message.bytes() > 0 ? message.bytes() + arrival_times.memory_bytes() : 0);
  }

  ~ClientState();
  // Returns whether there is no request, complete or not, and nothing left to write.
  bool is_idle() const { return !request && !request_began_at && output_length(connection) == 0; }
  // Called before the parser gets the bytes, so that a request that finds no room is not parsed further.
  static void on_bytes(evbuffer* input, const evbuffer_cb_info* info, void* context) {
    if (info->n_added == 0) return;
    guarded("request", [&] { static_cast<ClientState*>(context)->record_read(input, info->n_added); });
  }
  void record_read(evbuffer* input, std::size_t bytes) {
    const Time at = now();
    const std::size_t bytes_before = incomplete_memory.bytes();
    message.record_read(input, bytes);
    arrival_times.record_read(bytes, at);
    update_incomplete_memory();
    if (request_began_at == 0) request_began_at = at;
    if (!server->has_room_for(*this)) drop_input(bytes_before);
  }
  // Keeps the request from being read on: it is rejected once the read that calls this is over, since the
  // connection can't be closed within.
  void drop_input(std::size_t bytes_before_read) {
    has_no_room = true;
    bufferevent* bev = evhttp_connection_get_bufferevent(connection);
    bufferevent_disable(bev, EV_READ);
    evbuffer_drain(bufferevent_get_input(bev), evbuffer_get_length(bufferevent_get_input(bev)));
    incomplete_memory.resize(bytes_before_read);
    server->request_sweep();
  }
};

// Writes the response to a request in flight; does nothing once its client has disconnected.
class HttpServer::ConnectionResponder : public dispatch::Responder {
 public:
  explicit ConnectionResponder(ClientState& client) : client_(&client) { client.responder = this; }
  ~ConnectionResponder() override {
    if (client_ && client_->responder == this) client_->responder = nullptr;
  }
  void detach() { client_ = nullptr; }
  void respond(int status, std::string_view retry_after, std::string body, const char* content_type) override;
  void respond_in_pieces(int status, const char* content_type, dispatch::BodySource& source) override;
  void resume() override;

 private:
  // Takes the request out of the connection's state, since its response is complete.
  static evhttp_request* end_request(ClientState& client);
  static void add_headers(const ClientState& client, evhttp_request* request, int status,
                          std::string_view retry_after, const char* content_type);
  void take_piece(std::string piece);
  void begin_chunks();
  void write_chunk();
  void finish();
  static void on_chunk_written(evhttp_connection* connection, void* context);

  ClientState* client_;
  // The rest is of a response in pieces.
  dispatch::BodySource* source_ = nullptr;  // null: not in pieces, or complete
  int status_ = 0;
  const char* content_type_ = nullptr;
  std::string unsent_;  // pieces that have not been passed to libevent
  dispatch::MemoryReservation unsent_memory_;
  bool has_begun_ = false;  // the head has been passed to libevent
  bool is_writing_ = false;
};

evhttp_request* HttpServer::ConnectionResponder::end_request(ClientState& client) {
  evhttp_request* request = std::exchange(client.request, nullptr);
  event_del(client.departure);
  client.has_early_bytes = false;
  client.idle_since = now();
  client.request_began_at = input_length(client.connection) > 0 ? client.idle_since : 0;
  client.request_memory.resize(0);
  return request;
}

void HttpServer::ConnectionResponder::add_headers(const ClientState& client, evhttp_request* request,
                                                  int status, std::string_view retry_after,
                                                  const char* content_type) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type",
                    content_type    ? content_type
                    : status == 200 ? "application/json"
                                    : "text/plain");
  if (!retry_after.empty()) evhttp_add_header(headers, "Retry-After", std::string(retry_after).c_str());
  // The bytes that follow an invalid request can't be trusted to begin another one.
  const bool is_last = client.server->closes_after_response(client) || (status >= 400 && status < 500);
  if (is_last) evhttp_add_header(headers, "Connection", "close");
}

void HttpServer::ConnectionResponder::respond(int status, std::string_view retry_after, std::string body,
                                              const char* content_type) {
  if (!client_) return;  // the client has disconnected
  ClientState& client = *client_;
  const auto kept = std::exchange(client.abandon, nullptr);  // may own this responder
  evhttp_request* request = end_request(client);
  add_headers(client, request, status, retry_after, content_type);
  add_body(evhttp_request_get_output_buffer(request), std::move(body), client.server->memory_);
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void HttpServer::ConnectionResponder::respond_in_pieces(int status, const char* content_type,
                                                        dispatch::BodySource& source) {
  if (!client_) return;  // the client has disconnected
  source_ = &source;
  status_ = status;
  content_type_ = content_type;
  unsent_memory_ = dispatch::MemoryReservation(client_->server->memory_, dispatch::MemoryUse::kResponses);
  resume();
}

void HttpServer::ConnectionResponder::resume() {
  if (!client_ || !source_ || is_writing_) return;
  while (unsent_.size() < kMinChunkBytes) {
    std::string piece;
    const auto state = source_->next_piece(piece);
    if (state == dispatch::BodySource::State::kComplete) return finish();
    if (state == dispatch::BodySource::State::kWaiting) {
      if (has_begun_ && !unsent_.empty()) write_chunk();
      return;
    }
    take_piece(std::move(piece));
  }
  write_chunk();
}

void HttpServer::ConnectionResponder::take_piece(std::string piece) {
  if (unsent_.empty()) {
    unsent_ = std::move(piece);
  } else {
    unsent_ += piece;
  }
  unsent_memory_.resize(unsent_.capacity());
}

void HttpServer::ConnectionResponder::begin_chunks() {
  has_begun_ = true;
  evhttp_request* request = client_->request;
  add_headers(*client_, request, status_, "", content_type_);
  // HTTP/1.0 has no chunks: there the end of the connection is the end of the body.
  const bool has_chunks = request->major > 1 || (request->major == 1 && request->minor >= 1);
  if (!has_chunks) evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  evhttp_send_reply_start(request, status_, nullptr);
}

void HttpServer::ConnectionResponder::write_chunk() {
  if (!has_begun_) begin_chunks();
  is_writing_ = true;
  evbuffer* chunk = evbuffer_new();
  add_body(chunk, std::exchange(unsent_, {}), client_->server->memory_);
  unsent_memory_.resize(0);
  evhttp_send_reply_chunk_with_cb(client_->request, chunk, on_chunk_written, client_);
  evbuffer_free(chunk);
  stop_reading(client_->connection);
}

void HttpServer::ConnectionResponder::on_chunk_written(evhttp_connection*, void* context) {
  guarded("response", [&client = *static_cast<ClientState*>(context)] {
    const auto kept = client.abandon;  // may own the responder and its source
    if (!client.responder || !client.responder->source_) return;
    client.responder->is_writing_ = false;
    client.responder->source_->on_written();
    if (client.responder) client.responder->resume();
  });
}

void HttpServer::ConnectionResponder::finish() {
  source_ = nullptr;
  if (!has_begun_) return respond(status_, "", std::exchange(unsent_, {}), content_type_);
  if (!unsent_.empty()) write_chunk();
  ClientState& client = *client_;
  const auto kept = std::exchange(client.abandon, nullptr);  // may own this responder
  evhttp_request* request = end_request(client);
  // The shutdown may have begun since the head was sent.
  if (client.server->closes_after_response(client)) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  }
  evhttp_send_reply_end(request);
  stop_reading(client.connection);
}

HttpServer::ClientState::~ClientState() {
  if (responder) responder->detach();
  if (departure) event_free(departure);
  evbuffer_remove_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection)), on_bytes, this);
}

HttpServer::HttpServer(event_base* base, const std::string& listen_address, int pause_at_descriptor,
                       std::size_t max_idle, platform::RequestParser& request_parser,
                       dispatch::RequestDispatcher& dispatcher,
                       std::shared_ptr<dispatch::ClientMemory> memory)
    : base_(base),
      pause_at_descriptor_(pause_at_descriptor),
      max_idle_(max_idle),
      sweep_timer_(base, [this] { sweep(); }),
      early_bytes_timer_(base, [this] { check_early_bytes(); }),
      resume_timer_(base,
                    [this] {
                      if (!has_stopped_accepting_ && !is_paused_) evconnlistener_enable(listener_);
                    }),
      request_parser_(request_parser),
      dispatcher_(dispatcher),
      memory_(std::move(memory)),
      lingering_sockets_(base,
                         static_cast<std::size_t>(std::max(0, pause_at_descriptor)) / kLingeringDivisor) {
  Address address;
  if (!parse_address(listen_address, address)) {
    throw std::runtime_error("configuration: listen is not an address");
  }
  http_ = evhttp_new(base);
  listener_ = evconnlistener_new_bind(base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
                                      reinterpret_cast<sockaddr*>(&address.at), address.length);
  if (!listener_) {
    throw std::runtime_error("cannot listen at " + listen_address + ": " + std::strerror(errno));
  }
  evhttp_bind_listener(http_, listener_);
  // Without a free descriptor, accept would fail in every turn of the loop. The context that libevent passes
  // to this callback is evhttp's own, so the server is found through a static member.
  accepting_server_ = this;
  evconnlistener_set_error_cb(listener_, [](evconnlistener* listener, void*) {
    const int error = errno;
    guarded("accept", [&] { log("descriptors", "accept failed: %s", evutil_socket_error_to_string(error)); });
    evconnlistener_disable(listener);
    if (accepting_server_) accepting_server_->resume_timer_.start(kSweepInterval);
  });
  evhttp_set_max_headers_size(http_, kMaxHeaderBytes);
  evhttp_set_max_body_size(http_, kMaxBodyBytes);
  evhttp_set_timeout(http_, kInactivityTimeoutSeconds);
  evhttp_set_allowed_methods(http_, 0xffff);
  evhttp_set_bevcb(
      http_,
      [](event_base* base, void* context) {
        bufferevent* bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        guarded("accept", [&] {
          auto* server = static_cast<HttpServer*>(context);
          server->update_accepting();
          if (!bev) return;
          server->request_sweep();
          server->new_connections_.push_back(bev);
          bufferevent_incref(bev);
          evbuffer_add_cb(bufferevent_get_input(bev), on_first_bytes, server);
        });
        return bev;
      },
      this);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* context) {
        guarded("request", [&] { static_cast<HttpServer*>(context)->handle_request(request); });
      },
      this);
}

HttpServer::~HttpServer() {
  accepting_server_ = nullptr;
  for (auto& [connection, client] : clients_) evhttp_connection_set_closecb(connection, nullptr, nullptr);
  clients_.clear();
  for (bufferevent* bev : new_connections_) {
    evbuffer_remove_cb(bufferevent_get_input(bev), on_first_bytes, this);
    bufferevent_decref(bev);
  }
  evhttp_free(http_);
}

// Pauses accepting while descriptors run short, so that open connections can be served. The number of the
// next descriptor shows how many are in use, since the kernel assigns the lowest free one.
void HttpServer::update_accepting() {
  if (has_stopped_accepting_) return;
  const int next = dup(evconnlistener_get_fd(listener_));
  if (next >= 0) close(next);
  const bool is_paused = next < 0 || next >= pause_at_descriptor_;
  if (is_paused != std::exchange(is_paused_, is_paused)) {
    log("descriptors", is_paused ? "accepting is paused" : "accepting is resumed");
    is_paused ? evconnlistener_disable(listener_) : evconnlistener_enable(listener_);
  }
}

HttpServer::ClientState& HttpServer::client_of(evhttp_connection* connection) {
  auto& slot = clients_[connection];
  if (slot) return *slot;
  slot = std::make_unique<ClientState>(this, connection);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* context) {
        guarded("close", [&] { static_cast<HttpServer*>(context)->on_closed(closed); });
      },
      this);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  send_without_delay(bufferevent_getfd(bev));
  // evhttp buffers the line with a chunk's length without limit. Reading stops at the watermark, and the
  // connection is closed when the request's read timeout is over.
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxInputBytes);
  evbuffer_add_cb(bufferevent_get_input(bev), ClientState::on_bytes, slot.get());
  if (const std::size_t buffered = input_length(connection); buffered > 0) {
    slot->request_began_at = slot->idle_since;
    slot->arrival_times.record_read(buffered, slot->idle_since);
    slot->begin_request();
  }
  return *slot;
}

// Creates the state of the connections accepted since the last call.
void HttpServer::adopt_new_connections() {
  for (bufferevent* bev : std::exchange(new_connections_, {})) {
    evbuffer_remove_cb(bufferevent_get_input(bev), on_first_bytes, this);
    // evhttp reports a connection only with its first request, and most connections that must be closed never
    // send a request. The evhttp_connection is the context of the callbacks that evhttp sets.
    void* connection = nullptr;
    bufferevent_getcb(bev, nullptr, nullptr, nullptr, &connection);
    if (connection) client_of(static_cast<evhttp_connection*>(connection));
    bufferevent_decref(bev);
  }
}

// Called before the parser gets the first bytes of a connection that has no state yet.
void HttpServer::on_first_bytes(evbuffer* input, const evbuffer_cb_info* info, void* context) {
  if (info->n_added == 0) return;
  guarded("accept", [input, server = static_cast<HttpServer*>(context)] {
    server->adopt_new_connections();
    for (auto& [connection, client] : server->clients_) {
      if (bufferevent_get_input(evhttp_connection_get_bufferevent(connection)) != input) continue;
      if (!server->has_room_for(*client)) client->drop_input(0);
      return;
    }
  });
}

// Starts the timer only once: a timer restarted in the turn in which it is due isn't called in that turn, and
// with bytes or connections arriving in every turn it would never be called.
void HttpServer::request_sweep() {
  if (!std::exchange(is_sweep_due_, true)) sweep_timer_.start(0);
}

// Closes the connections that have timed out or exceed a limit.
void HttpServer::sweep() {
  is_sweep_due_ = false;
  adopt_new_connections();
  update_accepting();
  std::vector<ClientState*> without_room;
  for (auto& [connection, client] : clients_) {
    if (client->has_no_room) without_room.push_back(client.get());
  }
  for (ClientState* client : without_room) close_incomplete(*client, kNoRoom);
  close_where([this](const ClientState& client) { return has_timed_out(client); });
  // A proxy that limits the connections to the broker counts idle connections too, and would have none left
  // for other clients long before descriptors run short here. A client whose next request crosses the close
  // must send the request again.
  std::vector<std::pair<Time, evhttp_connection*>> idle;
  for (auto& [connection, client] : clients_) {
    if (client->has_sent_request && client->is_idle()) idle.emplace_back(client->idle_since, connection);
  }
  if (idle.size() > max_idle_) {  // the sockets are queried only if some must be closed
    std::erase_if(idle, [](const auto& entry) { return unread_bytes(entry.second) > 0; });
    const auto kept = idle.end() - static_cast<std::ptrdiff_t>(std::min(idle.size(), max_idle_));
    std::nth_element(idle.begin(), kept, idle.end());
    for (auto it = idle.begin(); it != kept; ++it) evhttp_connection_free(it->second);  // calls on_closed()
  }
  if (!clients_.empty() || is_paused_) sweep_timer_.start(kSweepInterval);
}

// Without timeouts, clients that connect and send nothing, or only a part of a request, would exhaust the
// descriptors.
bool HttpServer::has_timed_out(const ClientState& client) const {
  if (client.request || output_length(client.connection) > 0) return false;
  const Time at = now();
  if (has_stopped_accepting_ && !client.request_began_at &&
      (client.has_sent_request || at - client.idle_since > kFirstByteTimeoutClosing)) {
    return true;
  }
  if (!client.has_sent_request) {
    return at - client.idle_since >
           (is_paused_ && !client.request_began_at ? kFirstByteTimeoutPaused : kRequestReadTimeout);
  }
  return client.request_began_at && at - client.request_began_at > kRequestReadTimeout;
}

// Keeps incomplete requests within their bound of memory, so that clients that never end their requests can't
// exhaust it: the connections that hold more than the one being read are closed, the largest first. While the
// bound is exceeded, the connection of a client that writes a large request slowly may be closed too.
// @return whether the request of the connection being read has room
bool HttpServer::has_room_for(const ClientState& reading) {
  const std::size_t held_bytes = memory_->held_bytes(dispatch::MemoryUse::kIncomplete);
  const std::size_t bytes_to_free = memory_->limiter().incomplete_bytes_to_free(held_bytes);
  if (bytes_to_free == 0) return true;
  log("clients", "incomplete requests take %zu bytes, the limit is %zu: closing the largest", held_bytes,
      memory_->limiter().max_incomplete_bytes());
  close_largest_incomplete(bytes_to_free, reading);
  const std::size_t left_bytes = memory_->held_bytes(dispatch::MemoryUse::kIncomplete);
  return memory_->limiter().incomplete_bytes_to_free(left_bytes) == 0;
}

// Closes connections whose incomplete request takes more than that of the connection being read.
void HttpServer::close_largest_incomplete(std::size_t bytes_to_free, const ClientState& reading) {
  std::vector<std::pair<std::size_t, ClientState*>> by_size;
  for (auto& [connection, client] : clients_) {
    if (client->request || !client->request_began_at) continue;
    if (output_length(connection) > 0) continue;  // the response before would be cut off
    if (client->incomplete_memory.bytes() <= reading.incomplete_memory.bytes()) continue;
    by_size.emplace_back(client->incomplete_memory.bytes(), client.get());
  }
  std::sort(by_size.rbegin(), by_size.rend());
  std::size_t freed_bytes = 0;
  for (const auto& [bytes, client] : by_size) {
    if (freed_bytes >= bytes_to_free) return;
    freed_bytes += bytes;
    close_incomplete(*client, kNoRoom);
  }
}

// Closes a connection; if it has sent a part of a request, with a response. Without one the client would
// assume that the broker failed while it handled the request. No output is pending ahead of the response;
// bytes that the kernel doesn't accept at once are dropped.
void HttpServer::close_incomplete(ClientState& client, const char* reason) {
  if (client.request_began_at) {
    const std::string body = reason;
    const std::string response =
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nConnection: "
        "close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    const int fd = socket_of(client.connection);
    if (send(fd, response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
      log("clients", "the response to an incomplete request was not sent: %s", std::strerror(errno));
    } else {
      lingering_sockets_.add(FileDescriptor(dup(fd)));
    }
  }
  evhttp_connection_free(client.connection);  // calls on_closed()
}

template <class Predicate>
void HttpServer::close_where(Predicate predicate) {
  std::vector<ClientState*> to_close;
  for (auto& [connection, client] : clients_) {
    if (predicate(*client) && !is_about_to_read(connection)) to_close.push_back(client.get());
  }
  for (ClientState* client : to_close) close_incomplete(*client, kTooSlow);
}

// Returns how long the request just read has waited since its last byte arrived, behind another request or
// unread at its socket. While accepting is paused or the process is stalled, a request is read long after it
// arrived; without this time, attempts would state more time to endpoints than the client has left.
Time HttpServer::waiting_time(ClientState& client) {
  const Time at = now();
  const Time behind_others = at - client.arrival_times.last_consumed_at(input_length(client.connection), at);
  return std::max(behind_others, since_last_data(socket_of(client.connection)));
}

void HttpServer::handle_request(evhttp_request* http_request) {
  ClientState& client = client_of(evhttp_request_get_connection(http_request));
  client.request = http_request;
  client.has_sent_request = true;
  client.request_began_at = 0;
  client.begin_request();
  const Time waited = waiting_time(client);
  watch_for_departure(client);
  // No attempt may be sent for a client that has disconnected. The departure event closes the connection.
  if (peer_closed(socket_of(client.connection))) return;
  std::unique_ptr<dispatch::Responder> responder = std::make_unique<ConnectionResponder>(client);
  if (const char* error = find_framing_error(http_request)) {
    return responder->respond(400, "", std::string(error) + "\n");
  }
  const char* uri_path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http_request));
  const std::string_view path = uri_path ? uri_path : "";
  if (path == "/_health") {
    return is_ready_ && can_serve_
               ? responder->respond(200, "", "ready\n")
               : responder->respond(503, "", is_ready_ ? "no servers known yet\n" : "leaving\n");
  }
  const auto frontend =
      std::find_if(frontends_.begin(), frontends_.end(), [&](const Frontend* f) { return f->handles(path); });
  const bool is_post = evhttp_request_get_command(http_request) == EVHTTP_REQ_POST;
  // A request started so late might still be in flight when the process is killed.
  if (has_stopped_accepting_) {
    return responder->respond(503, "", "leaving; trying again elsewhere is harmless\n");
  }
  if (!is_post && frontend == frontends_.end()) return responder->respond(405, "", "only POST here\n");
  const evkeyvalq* headers = evhttp_request_get_input_headers(http_request);
  const auto header_value = [&](const char* name) -> const char* {
    const char* value = nullptr;
    for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next) {
      if (evutil_ascii_strcasecmp(header->key, name) == 0 && std::exchange(value, header->value)) {
        return nullptr;
      }
    }
    return value;  // null if the header is repeated
  };
  evbuffer* body = evhttp_request_get_input_buffer(http_request);
  const std::size_t body_length = evbuffer_get_length(body);
  platform::ClientRequest request{
      path.substr(path.empty() ? 0 : 1, path.find('/', 1) - 1),
      header_value("X-Txn"),
      header_value("X-Lane"),
      header_value("X-Remaining"),
      header_value("X-Resent"),
      {body_length ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "", body_length}};
  request.waited = waited;
  std::function<void()> abandon;
  if (frontend != frontends_.end()) {
    const char* parameters = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(http_request));
    request.path = path;
    request.parameters = parameters ? parameters : "";
    request.method = is_post ? "POST" : "GET";
    abandon = (*frontend)->handle(request, std::move(responder));
  } else {
    const RequestId id = request_parser_.start_request(request, std::move(responder));
    abandon = [this, id] { dispatcher_.abandon_request(id); };
  }
  if (!client.request) return;  // the response has been sent
  client.abandon = std::move(abandon);
  // The frontend has copied what it needs of the body and the fields. libevent keeps the rest of the head
  // until the response is written.
  evbuffer_drain(body, body_length);
  drop_header_fields(http_request);
  client.request_memory.resize(kTargetCopies * std::strlen(evhttp_request_get_uri(http_request)));
}

// Watches the socket for the client's disconnection, which evhttp doesn't notice because it doesn't read
// while a request is in flight.
void HttpServer::watch_for_departure(ClientState& client) {
  const int fd = socket_of(client.connection);
  if (!client.departure) {
    client.departure = event_new(
        base_, fd, EV_READ | EV_CLOSED | EV_PERSIST,
        [](evutil_socket_t fd, short, void* context) {
          guarded("client", [&] {
            ClientState& client = *static_cast<ClientState*>(context);
            char byte;
            const ssize_t received = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
            if (received > 0 && !peer_closed(fd)) return client.server->defer_early_bytes(client);
            evhttp_connection_free(client.connection);  // calls on_closed()
          });
        },
        &client);
  }
  event_add(client.departure, nullptr);
}

// Leaves bytes of a pipelined request unread until the response is written, because evhttp parses one request
// at a time. The departure event would be active in every turn, so the event is removed and a timer checks
// for the client's disconnection.
void HttpServer::defer_early_bytes(ClientState& client) {
  event_del(client.departure);
  client.has_early_bytes = true;
  client.arrival_times.record_unread(now());
  if (!early_bytes_timer_.pending()) early_bytes_timer_.start(kEarlyBytesCheckInterval);
}

void HttpServer::check_early_bytes() {
  std::vector<evhttp_connection*> disconnected;
  bool has_any = false;
  for (auto& [connection, client] : clients_) {
    if (!client->has_early_bytes) continue;
    has_any = true;
    if (peer_closed(socket_of(connection))) disconnected.push_back(connection);
  }
  if (has_any) early_bytes_timer_.start(kEarlyBytesCheckInterval);
  for (evhttp_connection* connection : disconnected) evhttp_connection_free(connection);  // calls on_closed()
}

// Abandons the requests only; the departure events close the connections, since this function may be called
// from within their callbacks.
void HttpServer::abandon_departed() {
  std::vector<std::function<void()>> to_abandon;
  for (auto& [connection, client] : clients_) {
    if (client->abandon && peer_closed(socket_of(connection))) {
      to_abandon.push_back(std::exchange(client->abandon, nullptr));
    }
  }
  for (const auto& abandon : to_abandon) abandon();
}

void HttpServer::on_closed(evhttp_connection* connection) {
  const auto it = clients_.find(connection);
  if (it == clients_.end()) return;
  const auto abandon = std::move(it->second->abandon);
  evhttp_request* request = it->second->request;
  clients_.erase(it);
  if (abandon) abandon();
  // libevent gives up a request whose connection failed before its response was complete.
  if (request && !evhttp_request_get_connection(request)) evhttp_request_free(request);
}

void HttpServer::close_after_responses() { closes_after_responses_ = true; }

// Pipelined requests that have been read, or are unread at the socket, would be lost if the connection were
// closed. So they are answered first, for a limited time.
bool HttpServer::closes_after_response(const ClientState& client) const {
  if (!closes_after_responses_) return false;
  if (has_stopped_accepting_ && now() - stopped_accepting_at_ > kPipelineTimeoutClosing) return true;
  return input_length(client.connection) == 0 && unread_bytes(client.connection) == 0;
}

bool HttpServer::has_backlog() const {
  if (has_stopped_accepting_) return false;
  return ready_events(evconnlistener_get_fd(listener_), POLLIN) != 0;
}

// While the process shuts down, idle connections that hold all descriptors would keep the backlog from being
// accepted, and the connections in the backlog would be reset when the listener is closed. A client that was
// about to send a request on a connection closed here must connect again.
void HttpServer::make_room() {
  if (!is_paused_) return;
  close_where([](const ClientState& client) { return client.is_idle(); });
  update_accepting();
}

void HttpServer::stop_accepting() {
  has_stopped_accepting_ = true;
  stopped_accepting_at_ = now();
  evconnlistener_disable(listener_);
  // Otherwise the kernel would continue to add connections to the backlog, whose requests are never read.
  shutdown(evconnlistener_get_fd(listener_), SHUT_RD);
  close_where([](const ClientState& client) { return client.is_idle(); });
}

}  // namespace cairnhub::frontend
