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

struct SearchLimits {
  std::size_t a_node;       // connections, and so parts out
  std::size_t connections;  // to all nodes together
  std::size_t body_most;    // bytes of an answer
  Time idle_at_most;
};

class Searcher : public dispatch::Hosts {
 public:
  Searcher(event_base* base, SearchLimits limits, Ended ended, std::function<void()> turn);
  ~Searcher() override;

  void node(EndpointId id, const std::string& name, const Address& address, EndpointState state) override;
  void forget(EndpointId id) override;
  void let_go(EndpointId id) override;
  void send(dispatch::Attempt& attempt, EndpointId to) override;
  void give_up(dispatch::Attempt& attempt) override;
  void withdraw(dispatch::Attempt& attempt) override;
  void flush() override;

 private:
  struct Link;
  struct Node;
  struct Way;

  void begin(Way& way, Link& link);
  Link* idle_link(Node& node);
  void answered(Link& link, evhttp_request* request);
  void broke(Link& link, int why);
  void stop(Way& way, dispatch::End why);
  void finish(Way& way, const dispatch::Result& result);
  void drop(Link& link);
  void next(Node& node);

  event_base* base_;
  SearchLimits limits_;
  Ended ended_;
  std::function<void()> turn_;
  std::size_t open_ = 0;
  std::map<EndpointId, std::unique_ptr<Node>> nodes_;
  std::map<dispatch::Attempt*, std::unique_ptr<Way>> ways_;
  std::vector<Node*> touched_;
  std::vector<std::unique_ptr<Link>> dropped_;  // freed outside the library's callbacks
  Timer sweep_;
};

// Nodes of either kind behind one door: each send goes where its node's kind is served.
class MixedHosts : public dispatch::Hosts {
 public:
  MixedHosts(dispatch::Hosts& frames, dispatch::Hosts& search) : frames_(frames), search_(search) {}
  // Nodes of this flavor in the list speak the API.
  void set_flavor(std::string flavor) { flavor_ = std::move(flavor); }
  bool is_search(const std::string& flavor) const { return !flavor_.empty() && flavor == flavor_; }
  void flavored(EndpointId id, const std::string& flavor) {
    kinds_[id] = is_search(flavor) ? &search_ : &frames_;
  }

  void node(EndpointId id, const std::string& name, const Address& address, EndpointState state) override {
    of(id).node(id, name, address, state);
  }
  void forget(EndpointId id) override { of(id).forget(id), kinds_.erase(id); }
  void send(dispatch::Attempt& attempt, EndpointId to) override { of(to).send(attempt, to); }
  void give_up(dispatch::Attempt& attempt) override { of(attempt.node).give_up(attempt); }
  void withdraw(dispatch::Attempt& attempt) override { of(attempt.node).withdraw(attempt); }
  void flush() override { frames_.flush(), search_.flush(); }
  void look(std::function<void()> look) override { frames_.look(look), search_.look(std::move(look)); }
  void let_go(EndpointId id) override { of(id).let_go(id); }
  void count(Count count) override { frames_.count(count), search_.count(std::move(count)); }

 private:
  dispatch::Hosts& of(EndpointId id) {
    const auto it = kinds_.find(id);
    return it == kinds_.end() ? frames_ : *it->second;
  }
  dispatch::Hosts &frames_, &search_;
  std::string flavor_;
  std::map<EndpointId, dispatch::Hosts*> kinds_;
};

}  // namespace cairnhub::backend
