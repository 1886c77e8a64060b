#include "backend/opensearch/search_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/sockets.h"

namespace cairnhub::backend {

namespace {

constexpr std::size_t kHeadMost = 16384;

}  // namespace

struct SearchClient::Way {
  dispatch::Attempt* attempt = nullptr;
  Node* node = nullptr;
  Link* link = nullptr;  // none while it waits for one
  std::unique_ptr<Timer> timeout;
};

struct SearchClient::Link {
  SearchClient* home = nullptr;
  Node* node = nullptr;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  Way* way = nullptr;
  std::size_t to_write = 0, written = 0;  // of the request in hand
  std::size_t came = 0;                   // for it, where bytes are counted
  int error = -1;                         // what the library said of it
  Time idle_since = 0;

  static void counts(evbuffer*, const evbuffer_cb_info* info, void* at) {
    Link& l = *static_cast<Link*>(at);
    l.to_write += info->n_added, l.written += info->n_deleted;
  }
  static void counts_in(evbuffer*, const evbuffer_cb_info* info, void* at) {
    static_cast<Link*>(at)->came += info->n_added;
  }
  bool wholly_written() const { return to_write > 0 && written >= to_write; }
  dispatch::WriteProgress reached() const {
    return to_write == 0 || written == 0 ? dispatch::WriteProgress::kNotConnected
           : wholly_written()            ? dispatch::WriteProgress::kFullyWritten
                                         : dispatch::WriteProgress::kPartlyWritten;
  }
};

struct SearchClient::Node {
  EndpointId id = 0;
  std::string name, host;
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<Link>> links;
  std::deque<Way*> waiting;
  std::vector<Way*> this_turn;
};

SearchClient::SearchClient(event_base* base, SearchClientLimits limits, AttemptEnded ended,
                           std::function<void()> turn)
    : base_(base), limits_(limits), ended_(std::move(ended)), turn_(std::move(turn)), sweep_(base, [this] {
        for (auto& link : std::exchange(dropped_, {}))
          if (link->connection) evhttp_connection_free(link->connection);
        const Time then = now() - limits_.idle_timeout;
        bool any = false;
        for (auto& [id, n] : nodes_) {
          std::erase_if(n->links, [&](const auto& l) {
            if (l->way || l->idle_since > then) return any = true, false;
            --open_;
            return evhttp_connection_free(l->connection), true;
          });
        }
        if (any && !sweep_.pending()) sweep_.start(limits_.idle_timeout / 4 + 1);
      }) {}

SearchClient::~SearchClient() {
  for (auto& link : dropped_)
    if (link->connection) evhttp_connection_free(link->connection);
  for (auto& [id, n] : nodes_)
    for (auto& l : n->links) {
      if (l->request) evhttp_cancel_request(l->request);
      evhttp_connection_free(l->connection);
    }
}

void SearchClient::update_endpoint(EndpointId id, const std::string& name, const Address& address,
                                   EndpointState state) {
  auto& slot = nodes_[id];
  if (!slot) slot = std::make_unique<Node>();
  Node& n = *slot;
  char text[64] = "";
  const auto* in = reinterpret_cast<const sockaddr_in*>(&address.at);
  const auto* in6 = reinterpret_cast<const sockaddr_in6*>(&address.at);
  const bool six = address.at.ss_family == AF_INET6;
  evutil_inet_ntop(address.at.ss_family, six ? static_cast<const void*>(&in6->sin6_addr) : &in->sin_addr,
                   text, sizeof text);
  n.id = id, n.name = name, n.host = text, n.port = ntohs(six ? in6->sin6_port : in->sin_port);
  if (state == EndpointState::kReady) return;
  // Rule 3. Danger: what waits for a free connection would be sent long after the node said it drains.
  std::vector<Way*> withdrawn(n.waiting.begin(), n.waiting.end());
  withdrawn.insert(withdrawn.end(), n.this_turn.begin(), n.this_turn.end());
  for (Way* w : withdrawn) stop(*w, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::forget_endpoint(EndpointId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  Node& n = *it->second;
  while (!n.links.empty()) drop(*n.links.back());
  std::erase(touched_, &n);
  nodes_.erase(it);
}

void SearchClient::close_idle_connections(EndpointId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  std::vector<Link*> idle;
  for (auto& link : it->second->links)
    if (!link->way) idle.push_back(link.get());
  for (Link* link : idle) drop(*link);
}

void SearchClient::send(dispatch::Attempt& attempt, EndpointId to) {
  Node& n = *nodes_.at(to);
  auto& way = ways_[&attempt] = std::make_unique<Way>();
  way->attempt = &attempt, way->node = &n;
  way->timeout = std::make_unique<Timer>(base_, [this, w = way.get()] {
    stop(*w, dispatch::AttemptEnd::kTimedOut);
    turn_();
  });
  way->timeout->start(attempt.expires_at - now());
  if (n.this_turn.empty()) touched_.push_back(&n);
  n.this_turn.push_back(way.get());
}

void SearchClient::flush() {
  for (Node* n : std::exchange(touched_, {})) {
    for (Way* w : std::exchange(n->this_turn, {})) n->waiting.push_back(w);
    next(*n);
  }
}

// What waits goes on as connections are free.
void SearchClient::next(Node& n) {
  while (!n.waiting.empty()) {
    Link* link = idle_link(n);
    if (!link) return;  // danger: a node that hangs takes its own connections, and no more
    Way* way = n.waiting.front();
    n.waiting.pop_front();
    // Danger: what may have run would be repeated after repeats are no longer dropped.
    if (way->attempt->begins_by < now())
      finish(*way, {dispatch::AttemptEnd::kCancelled, dispatch::WriteProgress::kNotConnected, {}});
    else
      begin(*way, *link);
  }
}

SearchClient::Link* SearchClient::idle_link(Node& n) {
  for (auto& l : n.links)
    if (!l->way) return l.get();
  if (n.links.size() >= limits_.max_connections_per_endpoint || open_ >= limits_.max_connections)
    return nullptr;
  auto link = std::make_unique<Link>();
  link->connection = evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, n.host.c_str(), n.port);
  if (!link->connection) return nullptr;
  link->home = this, link->node = &n;
  evhttp_connection_set_max_headers_size(link->connection, kHeadMost);
  evhttp_connection_set_max_body_size(link->connection, static_cast<ev_ssize_t>(limits_.max_body_bytes));
  evhttp_connection_set_retries(link->connection, 0);
  evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(link->connection)), Link::counts,
                  link.get());
  if (byte_counter_)
    evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(link->connection)),
                    Link::counts_in, link.get());
  ++open_;
  n.links.push_back(std::move(link));
  return n.links.back().get();
}

void SearchClient::begin(Way& way, Link& link) {
  const dispatch::ShardRequest& p = *way.attempt->shard_request;
  way.link = &link, link.way = &way;
  link.to_write = link.written = link.came = 0, link.error = -1;
  link.request = evhttp_request_new(
      [](evhttp_request* r, void* at) {
        guarded("search answer", [l = static_cast<Link*>(at), r] {
          SearchClient* home = l->home;
          home->answered(*l, r);
          home->turn_();
        });
      },
      &link);
  evhttp_request_set_error_cb(link.request, [](evhttp_request_error why, void* at) {
    static_cast<Link*>(at)->error = static_cast<int>(why);
  });
  evkeyvalq* headers = evhttp_request_get_output_headers(link.request);
  evhttp_add_header(headers, "Host", (link.node->host + ":" + std::to_string(link.node->port)).c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  const std::string& text = p.body ? *p.body : p.request->body;
  evbuffer_add(evhttp_request_get_output_buffer(link.request), text.data(), text.size());
  const timeval until{std::max<Time>(0, way.attempt->expires_at - now()) / kSecond + 1, 0};
  evhttp_connection_set_timeout_tv(link.connection, &until);
  if (evhttp_make_request(link.connection, link.request, EVHTTP_REQ_POST, p.http_target.c_str()) != 0) {
    link.request = nullptr;  // gone with the failure
    finish(way, {dispatch::AttemptEnd::kConnectionLost, dispatch::WriteProgress::kNotConnected, {}});
    return drop(link);
  }
  send_without_delay(bufferevent_getfd(evhttp_connection_get_bufferevent(link.connection)));
}

void SearchClient::answered(Link& link, evhttp_request* r) {
  link.request = nullptr;
  Way* way = link.way;
  if (!way) return;  // called off; its connection is on its way out
  const int status = r ? evhttp_request_get_response_code(r) : 0;
  if (status == 0) return broke(link, link.error);
  evbuffer* body = evhttp_request_get_input_buffer(r);
  const std::size_t n = evbuffer_get_length(body);
  const std::string_view value(n ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "", n);
  const dispatch::AttemptEnd end = status == 200                    ? dispatch::AttemptEnd::kReturned
                                   : status == 429 || status == 503 ? dispatch::AttemptEnd::kQueueFull
                                                                    : dispatch::AttemptEnd::kError;
  // An early refusal may come before the request was read whole; what is left of it can't be told from the
  // next.
  const bool reusable = link.wholly_written();
  Node& node = *link.node;
  finish(*way, {end, dispatch::WriteProgress::kFullyWritten, value});
  if (!reusable) drop(link);
  next(node);
}

void SearchClient::broke(Link& link, int why) {
  const bool spoilt =
      why == EVREQ_HTTP_INVALID_HEADER || why == EVREQ_HTTP_DATA_TOO_LONG || why == EVREQ_HTTP_BUFFER_ERROR;
  log("node", "%s: %s", link.node->name.c_str(),
      spoilt                                                     ? "an answer that is no HTTP or too long"
      : link.reached() == dispatch::WriteProgress::kNotConnected ? "refused or not connected"
                                                                 : "broken with a search out");
  Node& node = *link.node;
  finish(*link.way, {spoilt ? dispatch::AttemptEnd::kInvalidResponse : dispatch::AttemptEnd::kConnectionLost,
                     link.reached(),
                     {}});
  drop(link);
  next(node);
}

void SearchClient::cancel(dispatch::Attempt& attempt) {
  const auto it = ways_.find(&attempt);
  if (it != ways_.end()) stop(*it->second, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::cancel_unwritten(dispatch::Attempt& attempt) {
  const auto it = ways_.find(&attempt);
  if (it == ways_.end()) return;
  // Rule 1: one that still waits to be written, or whose connection isn't up, must not go out after the
  // answer.
  const Link* link = it->second->link;
  if (!link || link->written == 0) stop(*it->second, dispatch::AttemptEnd::kCancelled);
}

void SearchClient::stop(Way& way, dispatch::AttemptEnd why) {
  Link* link = way.link;
  // Danger: bytes handed to the library go out until the connection is closed, which happens here and now.
  const dispatch::WriteProgress far = link ? link->reached() : dispatch::WriteProgress::kNotConnected;
  Node& node = *way.node;
  finish(way, {why, far, {}});
  if (link) drop(*link);
  next(node);
}

// The one place where a send ends.
void SearchClient::finish(Way& way, const dispatch::AttemptResult& result) {
  std::erase(way.node->this_turn, &way);
  std::erase(way.node->waiting, &way);
  if (way.link) {
    if (byte_counter_)
      byte_counter_({way.node->id, way.attempt->account, static_cast<long long>(way.link->written),
                     static_cast<long long>(way.link->came)});
    way.link->way = nullptr, way.link->idle_since = now();
    if (!sweep_.pending()) sweep_.start(limits_.idle_timeout / 4 + 1);
  }
  const auto kept = ways_.extract(way.attempt);
  ended_(*way.attempt, result);
}

// Takes a connection out of use: nothing of it is written any more, and it is freed outside the library's
// callbacks.
void SearchClient::drop(Link& link) {
  if (link.request) evhttp_cancel_request(std::exchange(link.request, nullptr));
  bufferevent* bev = evhttp_connection_get_bufferevent(link.connection);
  evbuffer_remove_cb(bufferevent_get_output(bev), Link::counts, &link);
  if (byte_counter_) evbuffer_remove_cb(bufferevent_get_input(bev), Link::counts_in, &link);
  bufferevent_disable(bev, EV_READ | EV_WRITE);
  if (const int fd = bufferevent_getfd(bev); fd >= 0) shutdown(fd, SHUT_RDWR);
  --open_;
  auto& links = link.node->links;
  const auto it = std::find_if(links.begin(), links.end(), [&](const auto& l) { return l.get() == &link; });
  dropped_.push_back(std::move(*it));
  links.erase(it);
  sweep_.start(0);
}

}  // namespace cairnhub::backend
