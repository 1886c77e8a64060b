// Owning pointers to libevent's objects. Each must go before the event_base that it was made on.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <memory>

namespace cairnhub {

struct EventDeleter {
  void operator()(event* owned) const { event_free(owned); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

struct BuffereventDeleter {
  void operator()(bufferevent* owned) const { bufferevent_free(owned); }
};
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;

struct ListenerDeleter {
  void operator()(evconnlistener* owned) const { evconnlistener_free(owned); }
};
using ListenerPtr = std::unique_ptr<evconnlistener, ListenerDeleter>;

}  // namespace cairnhub
