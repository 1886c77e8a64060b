// The HTTP server for clients. Passes each request to the frontend that handles its path and writes the
// response to the connection that the request came on.
#pragma once
#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "frontend/http/lingering_sockets.h"
#include "frontend/platform/request_parser.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;
struct bufferevent;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::frontend {

// Serves a request format other than the platform's on the same listener.
class Frontend {
 public:
  virtual ~Frontend() = default;
  virtual bool handles(std::string_view path) const = 0;
  // Starts the request, or responds to it at once.
  // @return a function to call if the client disconnects before the response is written; empty if there is
  //         nothing to abandon
  virtual std::function<void()> handle(const platform::ClientRequest& request,
                                       std::unique_ptr<dispatch::Responder> responder) = 0;
};

// Accepts clients' connections, limits idle connections and incomplete requests in number, size and time, and
// passes complete requests to the frontends. Requests that no frontend handles go to the platform's parser.
class HttpServer {
 public:
  // Frontends are asked in the order in which they were added. They must outlive the server's event loop.
  void add_frontend(Frontend& frontend) { frontends_.push_back(&frontend); }
  // @param pause_at_descriptor  accepting pauses once a new connection would get this descriptor number or
  //                             a higher one
  // @param max_idle             limit of connections that had a request and have none in flight; beyond it
  //                             the connections idle longest are closed first
  // @param memory               the account in which requests are reserved from their first byte on, and
  //                             responses until they are written; its limiter bounds incomplete requests
  // @throws std::runtime_error if the address is invalid or can't be bound
  HttpServer(event_base* base, const std::string& listen_address, int pause_at_descriptor,
             std::size_t max_idle, platform::RequestParser& request_parser,
             dispatch::RequestDispatcher& dispatcher, std::shared_ptr<dispatch::ClientMemory> memory);
  ~HttpServer();

  // Makes health checks fail from now on.
  void set_not_ready() { is_ready_ = false; }
  // Lets health checks succeed. They fail until this is called, because load balancers would otherwise send
  // clients to a broker that knows no endpoint and must reject their requests.
  void set_can_serve() { can_serve_ = true; }
  // Closes each connection after its response from now on; pipelined requests are answered first, for a
  // limited time.
  void close_after_responses();
  // Returns whether connections wait to be accepted.
  bool has_backlog() const;
  // Closes idle connections if accepting is paused, so that accepting resumes.
  void make_room();
  // Abandons the requests of clients that have disconnected, ahead of the events of their disconnection.
  void abandon_departed();
  // Stops accepting and closes idle connections. Requests read from now on are rejected.
  void stop_accepting();
  // Returns whether no connection is open, so that every response has been written.
  bool is_idle() const { return clients_.empty() && new_connections_.empty(); }

 private:
  class ConnectionResponder;
  struct ClientState;
  ClientState& client_of(evhttp_connection* connection);
  void handle_request(evhttp_request* request);
  static Time waiting_time(ClientState& client);
  void watch_for_departure(ClientState& client);
  void on_closed(evhttp_connection* connection);
  void update_accepting();
  void request_sweep();
  void sweep();
  bool has_timed_out(const ClientState& client) const;
  void adopt_new_connections();
  void close_incomplete(ClientState& client, const char* reason);
  bool closes_after_response(const ClientState& client) const;
  void defer_early_bytes(ClientState& client);
  void check_early_bytes();
  template <class Predicate>
  void close_where(Predicate predicate);
  bool has_room_for(const ClientState& reading);
  void close_largest_incomplete(std::size_t bytes_to_free, const ClientState& reading);
  static void on_first_bytes(evbuffer* input, const evbuffer_cb_info* info, void* context);

  // For the listener's error callback.
  static inline HttpServer* accepting_server_ = nullptr;
  event_base* base_;
  evhttp* http_ = nullptr;
  evconnlistener* listener_ = nullptr;
  int pause_at_descriptor_;
  std::size_t max_idle_;
  Timer sweep_timer_;
  Timer early_bytes_timer_;  // checks whether clients that sent early bytes have disconnected
  Timer resume_timer_;       // enables the listener again after a failed accept
  platform::RequestParser& request_parser_;
  dispatch::RequestDispatcher& dispatcher_;
  std::shared_ptr<dispatch::ClientMemory> memory_;
  std::vector<Frontend*> frontends_;
  // Connections accepted in this turn of the loop; a reference is held until they get their ClientState.
  std::vector<bufferevent*> new_connections_;
  std::map<evhttp_connection*, std::unique_ptr<ClientState>> clients_;
  Time stopped_accepting_at_ = 0;
  LingeringSockets lingering_sockets_;  // of clients whose request was rejected before it was complete
  bool is_sweep_due_ = false;           // in this or the next turn
  bool is_paused_ = false;
  bool closes_after_responses_ = false;
  bool has_stopped_accepting_ = false;
  bool is_ready_ = true;
  bool can_serve_ = false;
};

}  // namespace cairnhub::frontend
