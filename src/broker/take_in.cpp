#include "broker/take_in.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace cairnhub::broker {

namespace {

constexpr std::size_t kLargestHeaders = 16384, kLargestBody = 65536;
constexpr int kIdleSeconds = 60;
constexpr Time kPause = 50 * kSecond / 1000;

}  // namespace

// A connection, from its first request on.
struct TakeIn::Door {
  TakeIn* home;
  evhttp_connection* connection;
  event* end = nullptr;  // hears of the client's leaving while its multiget is in hand
  evhttp_request* asked = nullptr;
  Waiting* waiting = nullptr;
  RequestId query = 0;

  ~Door();
};

// The client that waits behind a request.
class TakeIn::Waiting : public Client {
 public:
  explicit Waiting(Door& door) : door_(&door) { door.waiting = this; }
  ~Waiting() override {
    if (door_ && door_->waiting == this) door_->waiting = nullptr;
  }
  void left() { door_ = nullptr; }
  void answer(int status, std::string_view come_back, std::string body) override {
    if (!door_) return;  // the client has left
    Door& d = *door_;
    evhttp_request* r = std::exchange(d.asked, nullptr);
    d.query = 0;
    event_del(d.end);
    evkeyvalq* headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(headers, "Content-Type", status == 200 ? "application/json" : "text/plain");
    if (!come_back.empty()) evhttp_add_header(headers, "Retry-After", std::string(come_back).c_str());
    if (d.home->last_answers_) evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    evhttp_send_reply(r, status, nullptr, nullptr);
  }

 private:
  Door* door_;
};

TakeIn::Door::~Door() {
  if (waiting) waiting->left();
  if (end) event_free(end);
}

TakeIn::TakeIn(event_base* base, const std::string& listen, int pause_at, Admit& admit, Route& route)
    : base_(base), pause_at_(pause_at), resume_(base, [this] { accepted(); }), admit_(admit), route_(route) {
  Address at;
  if (!parse_address(listen, at)) throw std::runtime_error("configuration: listen is not an address");
  http_ = evhttp_new(base);
  listener_ = evconnlistener_new_bind(base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
                                      reinterpret_cast<sockaddr*>(&at.at), at.length);
  if (!listener_) throw std::runtime_error("can't listen at " + listen + ": " + std::strerror(errno));
  evhttp_bind_listener(http_, listener_);
  // Danger: with no descriptor left an accept fails at once, again and again. The library keeps its own word
  // with this callback, so what it needs is the listener alone.
  evconnlistener_set_error_cb(listener_, [](evconnlistener* l, void*) {
    const int why = errno;
    guarded("accept", [&] {
      log("descriptors", "a connection can't be accepted: %s", evutil_socket_error_to_string(why));
    });
    evconnlistener_disable(l);
    const timeval pause{0, kPause / 1000};
    event_base_once(
        evconnlistener_get_base(l), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* at) { evconnlistener_enable(static_cast<evconnlistener*>(at)); }, l,
        &pause);
  });
  evhttp_set_max_headers_size(http_, kLargestHeaders);
  evhttp_set_max_body_size(http_, kLargestBody);
  evhttp_set_timeout(http_, kIdleSeconds);
  evhttp_set_allowed_methods(http_, 0xffff);
  evhttp_set_bevcb(
      http_,
      [](event_base* b, void* self) {
        guarded("accept", [&] { static_cast<TakeIn*>(self)->accepted(); });
        return bufferevent_socket_new(b, -1, BEV_OPT_CLOSE_ON_FREE);
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
  for (auto& [connection, door] : doors_) evhttp_connection_set_closecb(connection, nullptr, nullptr);
  doors_.clear();
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
  if (paused) resume_.start(kPause);
}

void TakeIn::request(evhttp_request* r) {
  evhttp_connection* connection = evhttp_request_get_connection(r);
  auto& slot = doors_[connection];
  if (!slot) {
    slot = std::make_unique<Door>(Door{this, connection});
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection* c, void* self) {
          guarded("close", [&] { static_cast<TakeIn*>(self)->gone(c); });
        },
        this);
    const int on = 1;
    setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), IPPROTO_TCP, TCP_NODELAY,
               &on, sizeof on);
  }
  Door& door = *slot;
  door.asked = r;
  hear_of_end(door);
  auto client = std::make_unique<Waiting>(door);
  const char* stated = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  const std::string_view path = stated ? stated : "";
  if (path == "/_health") return client->answer(200, "", "ready\n");
  if (evhttp_request_get_command(r) != EVHTTP_REQ_POST) return client->answer(405, "", "only POST here\n");
  const evkeyvalq* headers = evhttp_request_get_input_headers(r);
  const auto header = [&](const char* name) { return evhttp_find_header(headers, name); };
  evbuffer* body = evhttp_request_get_input_buffer(r);
  const std::size_t n = evbuffer_get_length(body);
  const Asked asked{path.substr(path.empty() ? 0 : 1, path.find('/', 1) - 1),
                    header("X-Txn"),
                    header("X-Lane"),
                    header("X-Remaining"),
                    header("X-Resent"),
                    {n ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "", n}};
  const RequestId id = admit_.take(asked, std::move(client));
  if (door.asked) door.query = id;  // else answered already
}

// evhttp doesn't read while a request is being handled, and so doesn't hear of a client that leaves.
void TakeIn::hear_of_end(Door& door) {
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(door.connection));
  if (!door.end)
    door.end = event_new(
        base_, fd, EV_READ | EV_CLOSED | EV_PERSIST,
        [](evutil_socket_t fd, short, void* at) {
          guarded("client", [&] {
            Door& d = *static_cast<Door*>(at);
            char byte;
            const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
            // Bytes ahead of their time wait until the answer is out; looking at them again and again would
            // spin.
            if (got > 0) return static_cast<void>(event_del(d.end));
            evhttp_connection_free(d.connection);  // ends in gone()
          });
        },
        &door);
  event_add(door.end, nullptr);
}

void TakeIn::gone(evhttp_connection* connection) {
  const auto it = doors_.find(connection);
  if (it == doors_.end()) return;
  const RequestId query = it->second->query;
  doors_.erase(it);
  if (query) route_.abandoned(query);
}

void TakeIn::last_answers() { last_answers_ = true; }

void TakeIn::close_door() {
  closed_ = true;
  resume_.stop();
  evconnlistener_disable(listener_);
  // Danger: the system would go on accepting into its queue, and what asks there would never be answered.
  shutdown(evconnlistener_get_fd(listener_), SHUT_RD);
  std::vector<evhttp_connection*> idle;
  for (auto& [connection, door] : doors_)
    if (!door->asked &&
        evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection))) == 0)
      idle.push_back(connection);
  for (evhttp_connection* c : idle) evhttp_connection_free(c);
}

}  // namespace cairnhub::broker
