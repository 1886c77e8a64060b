// Service discovery watch: keeps the member list current with one HTTP call after another, each of which
// waits for changes newer than the list in hand. A call that fails, or is silent for too long, is followed by
// one for the whole list on a new connection.
#pragma once
#include <event2/event.h>

#include <functional>
#include <string>

#include "base/timer.h"
#include "broker/members.h"

struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::broker {

class Watch {
 public:
  // `on_update` is called after each call has ended; its argument tells whether the list was updated.
  Watch(event_base* base, const std::string& discovery, Members& members,
        std::function<void(bool)> on_update);
  ~Watch();
  void call();
  // Follows another address from now on, beginning with its whole list.
  void move(const std::string& discovery);
  // Asks for the whole list at once, on a new connection: the list in hand is known to be behind.
  void refresh();
  void stop();

 private:
  void set_address(const std::string& discovery);
  bool waits_for_changes() const;
  void on_answer(evhttp_request* request);
  void on_deadline();
  void on_failure(const char* reason);
  const char* take_answer(evhttp_request* request);  // what is wrong with it, or null

  event_base* base_;
  std::string host_;
  std::uint16_t port_ = 0;
  // The next call asks for the whole list: after a failure, or a move from which nothing was heard yet.
  bool whole_list_ = false;
  Members& members_;
  std::function<void(bool)> on_update_;
  evhttp_connection* connection_ = nullptr;
  Timer next_call_;
  Timer deadline_;
  Time retry_wait_ = 0, called_at_ = 0;
};

}  // namespace cairnhub::broker
