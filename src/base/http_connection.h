// What is known of a kept HTTP connection before its next request.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "base/sockets.h"

namespace cairnhub {

// Returns whether the connection is up and nothing has come on it since its last response. What has come
// would be taken for the response to the next request. Costs a system call.
inline bool is_quiet(evhttp_connection* connection) {
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  if (evbuffer_get_length(bufferevent_get_input(bev)) > 0) return false;
  const int fd = bufferevent_getfd(bev);
  return fd >= 0 && ready_events(fd, POLLIN | POLLRDHUP) == 0;
}

}  // namespace cairnhub
