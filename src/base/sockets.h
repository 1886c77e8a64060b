// What a socket is ready for, asked without waiting.
#pragma once
#include <poll.h>

namespace cairnhub {

// Of `events`, and of those always told (POLLHUP, POLLERR), the ones that hold now.
inline short ready_events(int fd, short events) {
  pollfd state{fd, events, 0};
  return poll(&state, 1, 0) > 0 ? state.revents : short{0};
}

// The other side has closed or reset the connection, whatever it wrote before.
constexpr short kPeerClosed = POLLRDHUP | POLLHUP | POLLERR;
inline bool peer_closed(int fd) { return (ready_events(fd, POLLRDHUP) & kPeerClosed) != 0; }

}  // namespace cairnhub
