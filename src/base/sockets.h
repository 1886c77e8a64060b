// What the system knows of a socket, asked without waiting.
#pragma once
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "base/time.h"

namespace cairnhub {

// Of `events`, and of those always told (POLLHUP, POLLERR), the ones that hold now.
inline short ready_events(int fd, short events) {
  pollfd state{fd, events, 0};
  return poll(&state, 1, 0) > 0 ? state.revents : short{0};
}

// The other side has closed or reset the connection, whatever it wrote before.
constexpr short kPeerClosed = POLLRDHUP | POLLHUP | POLLERR;
inline bool peer_closed(int fd) { return (ready_events(fd, POLLRDHUP) & kPeerClosed) != 0; }

// What is written goes out at once. Danger: the last, small bytes of a message would wait until what went
// before them is acknowledged, and be lost with a connection that is closed or reset meanwhile.
inline void send_without_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// How long ago the last data came on a TCP connection, to the system's clock tick; 0 where it can't tell.
inline Time since_last_data(int fd) {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < sizeof info) return 0;
  return Time{info.tcpi_last_data_recv} * (kSecond / 1000);
}

}  // namespace cairnhub
