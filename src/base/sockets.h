// What the system knows of a socket, asked without waiting.
#pragma once
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "model/time.h"

namespace cairnhub {

// Of `events`, and of those always told (POLLHUP, POLLERR), the ones that hold now.
inline short ready_events(int fd, short events) {
  pollfd state{fd, events, 0};
  return poll(&state, 1, 0) > 0 ? state.revents : short{0};
}

// The other side has closed or reset the connection, whatever it wrote before.
constexpr short kPeerClosed = POLLRDHUP | POLLHUP | POLLERR;
inline bool peer_closed(int fd) { return (ready_events(fd, POLLRDHUP) & kPeerClosed) != 0; }

// How long ago the last data came on a TCP connection, to the system's clock tick; 0 where it can't tell.
inline Time since_last_data(int fd) {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < sizeof info) return 0;
  return Time{info.tcpi_last_data_recv} * (kSecond / 1000);
}

}  // namespace cairnhub
