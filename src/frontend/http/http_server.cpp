#include "frontend/http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
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
#include "base/sockets.h"
#include "frontend/http/arrival_times.h"

namespace cairnhub::frontend {

namespace {

constexpr std::size_t kLargestHeaders = 16384, kLargestBody = 65536;
// What may wait unread by the parser: a whole body, or a chunk with its length.
constexpr std::size_t kInputMost = kLargestBody + kLargestHeaders;
// A connection on which nothing moves is closed after so long, whatever it's at.
constexpr int kStillSeconds = 10;
// From connecting to the first whole request, and from the first byte to the last of any other.
constexpr Time kWholeWithin = 2400 * kSecond / 1000;
// While accepting pauses: how long one may say nothing after it connected.
constexpr Time kSilentPaused = 250 * kSecond / 1000;
constexpr Time kSweepEvery = 50 * kSecond / 1000;
// A client that left is heard of within 0.1 s; one that wrote ahead of its time has to be looked at for that.
constexpr Time kEarlyBytesCheckEvery = 20 * kSecond / 1000;
// While the process shuts down: how long a connection that said nothing may still say something, and how long
// requests that follow each other without a gap are answered before their connection is closed all the same.
constexpr Time kSilentClosing = 250 * kSecond / 1000, kPipelineClosing = kSecond;

int socket_of(evhttp_connection* c) { return bufferevent_getfd(evhttp_connection_get_bufferevent(c)); }
std::size_t input_length(evhttp_connection* c) {
  return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(c)));
}
std::size_t output_length(evhttp_connection* c) {
  return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(c)));
}
int unread(evhttp_connection* c) {
  int bytes = 0;
  ioctl(socket_of(c), FIONREAD, &bytes);
  return bytes;
}
// Bytes wait at the socket that the next turn of the loop reads. Danger: closed over them, the connection is
// reset, and the request they end is lost.
bool about_to_read(evhttp_connection* c) { return unread(c) > 0 && input_length(c) < kInputMost; }
// What is wrong with the way a request says where it ends, or null. Danger: another request hidden in the
// body of one that two readers would end at different places.
const char* framing(evhttp_request* r) {
  const char *length = nullptr, *coding = nullptr;
  const evkeyvalq* headers = evhttp_request_get_input_headers(r);
  for (const evkeyval* h = headers->tqh_first; h; h = h->next.tqe_next) {
    for (const char* c = h->key; *c; ++c)
      if (*c <= ' ' || *c > '~') return "a header's name is no word";
    const bool is_length = evutil_ascii_strcasecmp(h->key, "Content-Length") == 0;
    if (!is_length && evutil_ascii_strcasecmp(h->key, "Transfer-Encoding") != 0) continue;
    if (std::exchange(is_length ? length : coding, h->value)) return "its length is stated twice";
  }
  if (length && coding) return "its length is stated twice";
  if (length && (!*length || length[std::strspn(length, "0123456789")]))
    return "Content-Length is not a number";
  if (coding && evutil_ascii_strcasecmp(coding, "chunked") != 0) return "Transfer-Encoding is not chunked";
  if ((length || coding) && evhttp_request_get_command(r) != EVHTTP_REQ_POST) return "only a POST has a body";
  return nullptr;
}

}  // namespace

// A connection, from its acceptance on.
struct TakeIn::ClientState {
  TakeIn* home;
  evhttp_connection* connection;
  event* end = nullptr;               // hears of the client's leaving while its multiget is in hand
  evhttp_request* request = nullptr;  // in hand
  Waiting* waiting = nullptr;
  std::function<void()> leave = {};  // tells that the client has gone; none where nothing is in hand
  bool has_requested = false;        // a whole request, at some time
  Time since = now();                // accepted, or last answered
  Time begun = 0;                    // first byte of a request that isn't whole yet; 0 = none
  bool early_bytes = false;          // came while a request is in hand, and wait at the socket
  ArrivalTimes arrivals = {};
  std::size_t unfinished = 0;  // bytes of requests that aren't whole yet, wherever they are kept

  void count_unfinished(std::size_t bytes) {
    home->unfinished_ += bytes - unfinished;
    unfinished = bytes;
  }

  ~ClientState();
  // Nothing asked, nothing begun, nothing left to write.
  bool at_rest() const { return !request && !begun && output_length(connection) == 0; }
  static void on_bytes(evbuffer*, const evbuffer_cb_info* info, void* at) {
    if (info->n_added == 0) return;
    ClientState& client = *static_cast<ClientState*>(at);
    client.count_unfinished(client.unfinished + info->n_added);
    client.home->sweep_if_too_much();
    client.arrivals.read(info->n_added, now());
    if (client.begun == 0) client.begun = now();
  }
};

// The reply that a request waits for.
class TakeIn::Waiting : public dispatch::Responder {
 public:
  explicit Waiting(ClientState& client) : client_(&client) { client.waiting = this; }
  ~Waiting() override {
    if (client_ && client_->waiting == this) client_->waiting = nullptr;
  }
  void left() { client_ = nullptr; }
  void respond(int status, std::string_view come_back, std::string body, const char* type) override {
    if (!client_) return;  // the client has left
    ClientState& client = *client_;
    evhttp_request* r = std::exchange(client.request, nullptr);
    client.leave = nullptr;
    event_del(client.end);
    client.early_bytes = false;
    client.since = now();
    client.begun = input_length(client.connection) > 0 ? client.since : 0;
    evkeyvalq* headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(headers, "Content-Type",
                      type            ? type
                      : status == 200 ? "application/json"
                                      : "text/plain");
    if (!come_back.empty()) evhttp_add_header(headers, "Retry-After", std::string(come_back).c_str());
    // Danger: behind a request that can't be used there may be anything.
    const bool last = client.home->answers_last(client) || (status >= 400 && status < 500);
    if (last) evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    evhttp_send_reply(r, status, nullptr, nullptr);
  }

 private:
  ClientState* client_;
};

TakeIn::ClientState::~ClientState() {
  if (waiting) waiting->left();
  if (end) event_free(end);
  count_unfinished(0);
  evbuffer_remove_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection)), on_bytes, this);
}

TakeIn::TakeIn(event_base* base, const std::string& listen, int pause_at, std::size_t most_idle,
               std::size_t unfinished_most, platform::Admit& admit, dispatch::RequestDispatcher& route)
    : base_(base),
      pause_at_(pause_at),
      most_idle_(most_idle),
      unfinished_most_(unfinished_most),
      sweep_timer_(base, [this] { sweep(); }),
      early_bytes_timer_(base, [this] { check_early_bytes(); }),
      accept_again_(base,
                    [this] {
                      if (!closed_ && !paused_) evconnlistener_enable(listener_);
                    }),
      admit_(admit),
      route_(route) {
  Address at;
  if (!parse_address(listen, at)) throw std::runtime_error("configuration: listen is not an address");
  http_ = evhttp_new(base);
  listener_ = evconnlistener_new_bind(base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
                                      reinterpret_cast<sockaddr*>(&at.at), at.length);
  if (!listener_) throw std::runtime_error("can't listen at " + listen + ": " + std::strerror(errno));
  evhttp_bind_listener(http_, listener_);
  // Danger: with no descriptor left an accept fails at once, again and again. The library keeps its own word
  // with this callback, which is the same for all listeners of the program.
  accepting_ = this;
  evconnlistener_set_error_cb(listener_, [](evconnlistener* l, void*) {
    const int why = errno;
    guarded("accept", [&] {
      log("descriptors", "a connection can't be accepted: %s", evutil_socket_error_to_string(why));
    });
    evconnlistener_disable(l);
    if (accepting_) accepting_->accept_again_.start(kSweepEvery);
  });
  evhttp_set_max_headers_size(http_, kLargestHeaders);
  evhttp_set_max_body_size(http_, kLargestBody);
  evhttp_set_timeout(http_, kStillSeconds);
  evhttp_set_allowed_methods(http_, 0xffff);
  evhttp_set_bevcb(
      http_,
      [](event_base* b, void* self) {
        bufferevent* bev = bufferevent_socket_new(b, -1, BEV_OPT_CLOSE_ON_FREE);
        guarded("accept", [&] {
          auto* t = static_cast<TakeIn*>(self);
          t->accepted();
          if (!bev) return;
          if (t->just_accepted_.empty()) t->sweep_timer_.start(0);
          t->just_accepted_.push_back(bev);
          bufferevent_incref(bev);
        });
        return bev;
      },
      this);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* r, void* self) {
        guarded("request", [&] { static_cast<TakeIn*>(self)->request(r); });
      },
      this);
}

TakeIn::~TakeIn() {
  accepting_ = nullptr;
  for (auto& [connection, client] : clients_) evhttp_connection_set_closecb(connection, nullptr, nullptr);
  clients_.clear();
  for (bufferevent* bev : just_accepted_) bufferevent_decref(bev);
  evhttp_free(http_);
}

// Pauses accepting while descriptors run short, so that what is open can be served. The number of a new one
// tells: the system gives out the lowest free.
void TakeIn::accepted() {
  if (closed_) return;
  const int next = dup(evconnlistener_get_fd(listener_));
  if (next >= 0) close(next);
  const bool paused = next < 0 || next >= pause_at_;
  if (paused != std::exchange(paused_, paused)) {
    log("descriptors", paused ? "accepting pauses" : "accepting goes on");
    paused ? evconnlistener_disable(listener_) : evconnlistener_enable(listener_);
  }
}

TakeIn::ClientState& TakeIn::client_of(evhttp_connection* connection) {
  auto& slot = clients_[connection];
  if (slot) return *slot;
  slot = std::make_unique<ClientState>(ClientState{this, connection});
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* c, void* self) {
        guarded("close", [&] { static_cast<TakeIn*>(self)->on_closed(c); });
      },
      this);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  send_without_delay(bufferevent_getfd(bev));
  // Danger: the library's parser waits for the end of a chunk's length without bound. Reading stops here, and
  // the connection goes when its time for a whole request is up.
  bufferevent_setwatermark(bev, EV_READ, 0, kInputMost);
  evbuffer_add_cb(bufferevent_get_input(bev), ClientState::on_bytes, slot.get());
  if (const std::size_t already = input_length(connection); already > 0) {
    slot->begun = slot->since;
    slot->arrivals.read(already, slot->since);
    slot->count_unfinished(already);
  }
  return *slot;
}

// Connections that were just accepted get their state, and those that overstay are let go.
void TakeIn::sweep() {
  sweep_due_ = false;
  for (bufferevent* bev : std::exchange(just_accepted_, {})) {
    // The library's own word with its callbacks is the connection; it is told of none before the first
    // request, and most that must be let go make none.
    void* connection = nullptr;
    bufferevent_getcb(bev, nullptr, nullptr, nullptr, &connection);
    if (connection) client_of(static_cast<evhttp_connection*>(connection));
    bufferevent_decref(bev);
  }
  accepted();
  bound_unfinished();
  close_where([this](const ClientState& client) { return overstays(client); });
  // Danger: clients that ask once and keep their connection. What lets them in before us counts the idle ones
  // too, and has none left for others long before our own descriptors run short. Harm: a client whose next
  // request crosses the close has to send it anew.
  std::vector<std::pair<Time, evhttp_connection*>> idle;
  for (auto& [connection, client] : clients_)
    if (client->has_requested && client->at_rest()) idle.emplace_back(client->since, connection);
  if (idle.size() > most_idle_) {  // only now is it worth to look what the system holds unread
    std::erase_if(idle, [](const auto& i) { return unread(i.second) > 0; });
    const auto kept = idle.end() - static_cast<std::ptrdiff_t>(std::min(idle.size(), most_idle_));
    std::nth_element(idle.begin(), kept, idle.end());
    for (auto at = idle.begin(); at != kept; ++at) evhttp_connection_free(at->second);  // ends in on_closed()
  }
  if (!clients_.empty() || paused_) sweep_timer_.start(kSweepEvery);
}

// Danger: clients that connect and say nothing, or half of something, use up the descriptors.
bool TakeIn::overstays(const ClientState& client) const {
  if (client.request || output_length(client.connection) > 0) return false;
  const Time at = now();
  if (closed_ && !client.begun && (client.has_requested || at - client.since > kSilentClosing)) return true;
  if (!client.has_requested)
    return at - client.since > (paused_ && !client.begun ? kSilentPaused : kWholeWithin);
  return client.begun && at - client.begun > kWholeWithin;
}

// Danger: a timer that is started again in the turn in which it falls due isn't called in that turn; with
// bytes in each turn, never.
void TakeIn::sweep_if_too_much() {
  if (unfinished_ > unfinished_most_ && !std::exchange(sweep_due_, true)) sweep_timer_.start(0);
}

// Danger: clients that each send nearly a whole body and stop; the memory would go to what nobody will ever
// ask. Those that hold most go first. Harm: a sound client that writes a large request slowly meanwhile.
void TakeIn::bound_unfinished() {
  if (unfinished_ <= unfinished_most_) return;
  std::vector<std::pair<std::size_t, evhttp_connection*>> holding;
  for (auto& [connection, client] : clients_)
    if (!client->request && client->begun) holding.emplace_back(client->unfinished, connection);
  std::sort(holding.rbegin(), holding.rend());
  log("clients", "unfinished requests take %zu bytes; the largest are closed", unfinished_);
  for (const auto& [bytes, connection] : holding) {
    if (unfinished_ <= unfinished_most_) return;
    refuse_unfinished(*clients_.at(connection));
    evhttp_connection_free(connection);  // ends in on_closed()
  }
}

// Says why a connection is closed to a client that has begun to ask. Danger: it would take the close for a
// broker that died with its request. Nothing waits to be written before it, and what the system doesn't take
// at once is not tried again.
void TakeIn::refuse_unfinished(const ClientState& client) {
  if (!client.begun) return;
  const std::string body = "the request came too slowly; nothing of it was used";
  const std::string answer =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nConnection: "
      "close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const int fd = socket_of(client.connection);
  if (send(fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
    log("clients", "one that wrote too slowly can't be told so: %s", std::strerror(errno));
}

template <class F>
void TakeIn::close_where(F which) {
  std::vector<evhttp_connection*> over;
  for (auto& [connection, client] : clients_)
    if (which(*client) && !about_to_read(connection)) over.push_back(connection);
  for (evhttp_connection* c : over) {
    refuse_unfinished(*clients_.at(c));
    evhttp_connection_free(c);  // ends in on_closed()
  }
}

// How long the request just read has waited since its last byte came: behind another one, or unread at its
// socket. Danger: while accepting pauses, or the process is held up, it is read long after it came; servers
// would be told a time that its client no longer has.
Time TakeIn::time_waited(ClientState& client) {
  const Time at = now();
  const Time behind_others = at - client.arrivals.last_taken(input_length(client.connection), at);
  return std::max(behind_others, since_last_data(socket_of(client.connection)));
}

void TakeIn::request(evhttp_request* r) {
  ClientState& client = client_of(evhttp_request_get_connection(r));
  client.request = r;
  client.has_requested = true, client.begun = 0;
  client.count_unfinished(input_length(client.connection));
  const Time waited = time_waited(client);
  watch_for_departure(client);
  // Danger: nothing may be sent on for a client that has gone. The event of its end, just asked for, closes.
  if (peer_closed(socket_of(client.connection))) return;
  std::unique_ptr<dispatch::Responder> reply = std::make_unique<Waiting>(client);
  if (const char* wrong = framing(r)) return reply->respond(400, "", std::string(wrong) + "\n");
  const char* stated = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  const std::string_view path = stated ? stated : "";
  if (path == "/_health")
    return ready_ && can_serve_ ? reply->respond(200, "", "ready\n")
                                : reply->respond(503, "", ready_ ? "no servers known yet\n" : "leaving\n");
  const auto front =
      std::find_if(fronts_.begin(), fronts_.end(), [&](const Front* f) { return f->takes(path); });
  const bool post = evhttp_request_get_command(r) == EVHTTP_REQ_POST;
  // Danger: what is sent on so late may be unanswered when the process is killed.
  if (closed_) return reply->respond(503, "", "leaving; trying again elsewhere is harmless\n");
  if (!post && front == fronts_.end()) return reply->respond(405, "", "only POST here\n");
  const evkeyvalq* headers = evhttp_request_get_input_headers(r);
  const auto header = [&](const char* name) -> const char* {
    const char* found = nullptr;
    for (const evkeyval* h = headers->tqh_first; h; h = h->next.tqe_next)
      if (evutil_ascii_strcasecmp(h->key, name) == 0 && std::exchange(found, h->value)) return nullptr;
    return found;  // none where it's said twice
  };
  evbuffer* body = evhttp_request_get_input_buffer(r);
  const std::size_t n = evbuffer_get_length(body);
  platform::Asked asked{path.substr(path.empty() ? 0 : 1, path.find('/', 1) - 1),
                        header("X-Txn"),
                        header("X-Lane"),
                        header("X-Remaining"),
                        header("X-Resent"),
                        {n ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "", n}};
  asked.waited = waited;
  std::function<void()> leave;
  if (front != fronts_.end()) {
    const char* parameters = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(r));
    asked.path = path, asked.parameters = parameters ? parameters : "", asked.method = post ? "POST" : "GET";
    leave = (*front)->take(asked, std::move(reply));
  } else {
    const RequestId id = admit_.take(asked, std::move(reply));
    leave = [this, id] { route_.abandon_request(id); };
  }
  if (client.request) client.leave = std::move(leave);  // else answered already
}

// evhttp doesn't read while a request is being handled, and so doesn't hear of a client that leaves.
void TakeIn::watch_for_departure(ClientState& client) {
  const int fd = socket_of(client.connection);
  if (!client.end)
    client.end = event_new(
        base_, fd, EV_READ | EV_CLOSED | EV_PERSIST,
        [](evutil_socket_t fd, short, void* at) {
          guarded("client", [&] {
            ClientState& c = *static_cast<ClientState*>(at);
            char byte;
            const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
            if (got > 0 && !peer_closed(fd)) return c.home->keep_early_bytes(c);
            evhttp_connection_free(c.connection);  // ends in on_closed()
          });
        },
        &client);
  event_add(client.end, nullptr);
}

// Bytes ahead of their time wait until the answer is out: the parser reads one request at a time, and an
// event for them would come again and again. Danger: behind them the client's leaving isn't heard.
void TakeIn::keep_early_bytes(ClientState& client) {
  event_del(client.end);
  client.early_bytes = true;
  client.arrivals.seen_unread(now());
  if (!early_bytes_timer_.pending()) early_bytes_timer_.start(kEarlyBytesCheckEvery);
}

void TakeIn::check_early_bytes() {
  std::vector<evhttp_connection*> left;
  bool any = false;
  for (auto& [connection, client] : clients_) {
    if (!client->early_bytes) continue;
    any = true;
    if (peer_closed(socket_of(connection))) left.push_back(connection);
  }
  if (any) early_bytes_timer_.start(kEarlyBytesCheckEvery);
  for (evhttp_connection* c : left) evhttp_connection_free(c);  // ends in on_closed()
}

// The connection is freed by the event of its end, not here: this may be called from within its callbacks.
void TakeIn::tell_departures() {
  std::vector<std::function<void()>> leaves;
  for (auto& [connection, client] : clients_)
    if (client->leave && peer_closed(socket_of(connection)))
      leaves.push_back(std::exchange(client->leave, nullptr));
  for (const auto& leave : leaves) leave();
}

void TakeIn::on_closed(evhttp_connection* connection) {
  const auto it = clients_.find(connection);
  if (it == clients_.end()) return;
  const auto leave = std::move(it->second->leave);
  clients_.erase(it);
  if (leave) leave();
}

void TakeIn::last_answers() { last_answers_ = true; }

// Danger: a request that was read, or whose bytes wait at the socket, behind the one now answered would go
// with the connection. It is answered first, within bounds.
bool TakeIn::answers_last(const ClientState& client) const {
  if (!last_answers_) return false;
  if (closed_ && now() - closed_at_ > kPipelineClosing) return true;
  return input_length(client.connection) == 0 && unread(client.connection) == 0;
}

bool TakeIn::has_backlog() const {
  if (closed_) return false;
  return ready_events(evconnlistener_get_fd(listener_), POLLIN) != 0;
}

// Danger: a crowd that says nothing holds the descriptors as the process shuts down, and requests behind it
// in the system's queue are reset with the listener. Harm: one of the crowd that was about to ask must
// connect anew.
void TakeIn::make_room() {
  if (!paused_) return;
  close_where([](const ClientState& client) { return client.at_rest(); });
  accepted();
}

void TakeIn::stop_accepting() {
  closed_ = true;
  closed_at_ = now();
  evconnlistener_disable(listener_);
  // Danger: the system would go on accepting into its queue, and what asks there would never be answered.
  shutdown(evconnlistener_get_fd(listener_), SHUT_RD);
  close_where([](const ClientState& client) { return client.at_rest(); });
}

}  // namespace cairnhub::frontend
