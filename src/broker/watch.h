// Follows discovery's list: one call after another, each waiting for what is newer than the list in hand.
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
  // `news` is called after each answer or failure.
  Watch(event_base* base, const std::string& discovery, Members& members, std::function<void(bool)> news);
  ~Watch();
  void call();
  void move(const std::string& discovery);  // asks there at once, for the whole list
  void ask_anew();  // the list in hand is known to be behind: the whole list, on a new connection
  void stop();

 private:
  void at(const std::string& discovery);
  void answered(evhttp_request* request);

  event_base* base_;
  std::string host_;
  std::uint16_t port_ = 0;
  bool whole_ = false;  // moved, and nothing heard yet from the new address
  Members& members_;
  std::function<void(bool)> news_;
  evhttp_connection* connection_ = nullptr;
  Timer again_;
  Time wait_ = 0, called_at_ = 0;
};

}  // namespace cairnhub::broker
