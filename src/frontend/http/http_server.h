// The taking-in stage: clients' HTTP. Hands what was asked to be admitted and writes the answer to the
// connection it came on.
#pragma once
#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "frontend/platform/request_parser.h"

struct evconnlistener;
struct bufferevent;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::frontend {

// A form of requests beside the platform's, on the same listener.
class Front {
 public:
  virtual ~Front() = default;
  virtual bool takes(std::string_view path) const = 0;
  // Returns what to call should the client leave before it's answered.
  virtual std::function<void()> take(const platform::Asked& asked,
                                     std::unique_ptr<dispatch::Responder> reply) = 0;
};

class TakeIn {
 public:
  void add(Front& front) { fronts_.push_back(&front); }
  // `pause_at`: the descriptor from which on no further connection is accepted. Past `most_idle` connections
  // that have been answered, those idle longest are let go. `unfinished_most`: bytes of unfinished requests,
  // over all connections.
  TakeIn(event_base* base, const std::string& listen, int pause_at, std::size_t most_idle,
         std::size_t unfinished_most, platform::Admit& admit, dispatch::RequestDispatcher& route);
  ~TakeIn();

  void not_ready() { ready_ = false; }  // whoever asks for its health is told so
  // Health is answered with 200 only from now on. Danger: a process that knows no server would be given
  // clients to turn away.
  void can_serve() { can_serve_ = true; }
  void last_answers();       // from now on each answer ends its connection
  bool has_backlog() const;  // connections wait to be accepted
  // Accepting goes on where it had paused, as connections that rest are closed for it.
  void make_room();
  // Tells of the clients that have gone though the event of it is still to come.
  void tell_departures();
  void stop_accepting();  // accepts no more and lets idle connections go; what is read from now on is refused
  bool quiet() const { return clients_.empty() && just_accepted_.empty(); }  // every answer is written

 private:
  class Waiting;
  struct ClientState;
  ClientState& client_of(evhttp_connection* connection);
  void request(evhttp_request* r);
  static Time time_waited(ClientState& client);
  void watch_for_departure(ClientState& client);
  void on_closed(evhttp_connection* connection);
  void accepted();
  void sweep();
  bool overstays(const ClientState& client) const;
  static void refuse_unfinished(const ClientState& client);
  bool answers_last(const ClientState& client) const;
  void keep_early_bytes(ClientState& client);
  void check_early_bytes();
  template <class F>
  void close_where(F which);
  void bound_unfinished();
  void sweep_if_too_much();

  static inline TakeIn* accepting_ = nullptr;
  event_base* base_;
  evhttp* http_ = nullptr;
  evconnlistener* listener_ = nullptr;
  int pause_at_;
  std::size_t most_idle_, unfinished_most_;
  std::size_t unfinished_ = 0;  // bytes of unfinished requests
  Timer sweep_timer_;
  Timer early_bytes_timer_;  // for clients that wrote ahead: whether they have left
  Timer accept_again_;
  platform::Admit& admit_;
  dispatch::RequestDispatcher& route_;
  std::vector<Front*> fronts_;
  std::vector<bufferevent*>
      just_accepted_;  // accepted in this turn of the loop; held until they get their state
  std::map<evhttp_connection*, std::unique_ptr<ClientState>> clients_;
  Time closed_at_ = 0;
  bool sweep_due_ = false;  // in this or the next turn, as unfinished requests take too much
  bool paused_ = false, last_answers_ = false, closed_ = false, ready_ = true, can_serve_ = false;
};

}  // namespace cairnhub::frontend
