// Hosts that speak the OpenSearch-style query API: one HTTP/1.1 request a part, on pooled and bounded
// connections. A send is called off by closing its connection, which such hosts take for a client that has
// gone. What comes back ends in the outcomes that frames have:
//
//   200                                        returned, the body its value
//   429, 503                                   full: turned away, surely not run
//   any other status                           error: may have run
//   refused, not up in time, or broken before the last byte of the request was written   surely not run
//   broken after that                          may have run
//   a head or body that is no HTTP, too long, or never ends                              spoilt: may have run
#pragma once
#include <event2/util.h>

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "base/timer.h"
#include "dispatch/backend.h"

struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::backend {

struct SearchClientLimits {
  std::size_t max_connections_per_endpoint;  // connections, and so parts out
  std::size_t max_connections;               // to all nodes together
  std::size_t max_body_bytes;                // bytes of an answer
  Time idle_timeout;
};

class SearchClient : public dispatch::Backend {
 public:
  SearchClient(event_base* base, SearchClientLimits limits, AttemptEnded ended, std::function<void()> turn);
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
  struct Link;
  struct Node;
  struct Way;

  void begin(Way& way, Link& link);
  Link* idle_link(Node& node);
  void answered(Link& link, evhttp_request* request);
  void broke(Link& link, int why);
  void stop(Way& way, dispatch::AttemptEnd why);
  void finish(Way& way, const dispatch::AttemptResult& result);
  void drop(Link& link);
  void next(Node& node);

  event_base* base_;
  SearchClientLimits limits_;
  AttemptEnded ended_;
  std::function<void()> turn_;
  std::size_t open_ = 0;
  std::map<EndpointId, std::unique_ptr<Node>> nodes_;
  std::map<dispatch::Attempt*, std::unique_ptr<Way>> ways_;
  std::vector<Node*> touched_;
  std::vector<std::unique_ptr<Link>> dropped_;  // freed outside the library's callbacks
  Timer sweep_;
};

// Nodes of either kind behind one door: each send goes where its node's kind is served.
class MultiProtocolBackend : public dispatch::Backend {
 public:
  MultiProtocolBackend(dispatch::Backend& frames, dispatch::Backend& search)
      : frames_(frames), search_(search) {}
  // Nodes of this flavor in the list speak the API.
  void set_search_flavor(std::string flavor) { flavor_ = std::move(flavor); }
  bool is_search(const std::string& flavor) const { return !flavor_.empty() && flavor == flavor_; }
  void set_endpoint_flavor(EndpointId id, const std::string& flavor) {
    kinds_[id] = is_search(flavor) ? &search_ : &frames_;
  }

  void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                       EndpointState state) override {
    of(id).update_endpoint(id, name, address, state);
  }
  void forget_endpoint(EndpointId id) override { of(id).forget_endpoint(id), kinds_.erase(id); }
  void send(dispatch::Attempt& attempt, EndpointId to) override { of(to).send(attempt, to); }
  void cancel(dispatch::Attempt& attempt) override { of(attempt.endpoint).cancel(attempt); }
  void cancel_unwritten(dispatch::Attempt& attempt) override {
    of(attempt.endpoint).cancel_unwritten(attempt);
  }
  void flush() override { frames_.flush(), search_.flush(); }
  void set_before_write(std::function<void()> look) override {
    frames_.set_before_write(look), search_.set_before_write(std::move(look));
  }
  void close_idle_connections(EndpointId id) override { of(id).close_idle_connections(id); }
  void set_byte_counter(ByteCounter count) override {
    frames_.set_byte_counter(count), search_.set_byte_counter(std::move(count));
  }

 private:
  dispatch::Backend& of(EndpointId id) {
    const auto it = kinds_.find(id);
    return it == kinds_.end() ? frames_ : *it->second;
  }
  dispatch::Backend &frames_, &search_;
  std::string flavor_;
  std::map<EndpointId, dispatch::Backend*> kinds_;
};

}  // namespace cairnhub::backend
