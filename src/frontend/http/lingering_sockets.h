// Sockets whose connection was closed over bytes that were not read. Closing such a socket at once would
// reset the connection, and the client could lose the response that explains the close.
#pragma once
#include <event2/event.h>

#include <cstddef>
#include <list>

#include "base/file_descriptor.h"
#include "base/libevent_handles.h"

namespace cairnhub::frontend {

// Reads and drops what clients still send, until they close their side or a limit in time or bytes is
// reached.
class LingeringSockets {
 public:
  // @param max_sockets beyond it, the socket that lingers longest is closed
  LingeringSockets(event_base* base, std::size_t max_sockets) : base_(base), max_sockets_(max_sockets) {}
  LingeringSockets(const LingeringSockets&) = delete;
  LingeringSockets& operator=(const LingeringSockets&) = delete;

  // Takes over a socket on which nothing will be written any more.
  void add(FileDescriptor socket);
  std::size_t count() const { return sockets_.size(); }

 private:
  struct Entry {
    LingeringSockets* owner;
    FileDescriptor socket;
    std::size_t dropped_bytes = 0;
    std::list<Entry>::iterator position = {};
    EventPtr event = {};  // freed before the socket is closed
  };
  static void on_event(evutil_socket_t socket, short events, void* context) noexcept;
  static bool drop_input(Entry& entry);

  event_base* base_;
  std::size_t max_sockets_;
  std::list<Entry> sockets_;  // the one that lingers longest first
};

}  // namespace cairnhub::frontend
