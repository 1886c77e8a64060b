// The taking-in stage: clients' HTTP. Hands what was asked to be admitted and writes the answer to the
// connection it came on.
#pragma once
#include <event2/event.h>

#include <map>
#include <memory>
#include <string>

#include "broker/admit.h"
#include "broker/timer.h"

struct evconnlistener;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::broker {

class TakeIn {
 public:
  // `pause_at`: the descriptor from which on no further connection is accepted.
  TakeIn(event_base* base, const std::string& listen, int pause_at, Admit& admit, Route& route);
  ~TakeIn();

  void last_answers();                           // from now on each answer ends its connection
  void close_door();                             // accepts no more and lets idle connections go
  bool quiet() const { return doors_.empty(); }  // every answer is written

 private:
  class Waiting;
  struct Door;
  void request(evhttp_request* r);
  void hear_of_end(Door& door);
  void gone(evhttp_connection* connection);
  void accepted();

  event_base* base_;
  evhttp* http_ = nullptr;
  evconnlistener* listener_ = nullptr;
  int pause_at_;
  Timer resume_;
  Admit& admit_;
  Route& route_;
  std::map<evhttp_connection*, std::unique_ptr<Door>> doors_;  // connections that have asked something
  bool paused_ = false, last_answers_ = false, closed_ = false;
};

}  // namespace cairnhub::broker
