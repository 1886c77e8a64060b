#include "frontend/http/lingering_sockets.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <iterator>
#include <utility>

namespace cairnhub::frontend {

namespace {

constexpr timeval kMaxSilence{1, 0};
constexpr std::size_t kMaxDroppedBytes = std::size_t{1} << 20;

}  // namespace

void LingeringSockets::add(FileDescriptor socket) {
  if (!socket.is_open() || max_sockets_ == 0) return;
  shutdown(socket.get(), SHUT_WR);
  if (sockets_.size() >= max_sockets_) sockets_.pop_front();
  sockets_.push_back({this, std::move(socket)});
  Entry& entry = sockets_.back();
  entry.position = std::prev(sockets_.end());
  entry.event.reset(event_new(base_, entry.socket.get(), EV_READ | EV_PERSIST, on_event, &entry));
  if (!entry.event || event_add(entry.event.get(), &kMaxSilence) != 0) sockets_.pop_back();
}

void LingeringSockets::on_event(evutil_socket_t, short events, void* context) noexcept {
  Entry& entry = *static_cast<Entry*>(context);
  if ((events & EV_TIMEOUT) == 0 && drop_input(entry)) return;
  entry.owner->sockets_.erase(entry.position);
}

// Returns whether more may come.
bool LingeringSockets::drop_input(Entry& entry) {
  std::array<char, 16384> dropped;
  const ssize_t received = recv(entry.socket.get(), dropped.data(), dropped.size(), MSG_DONTWAIT);
  if (received < 0) return errno == EAGAIN || errno == EINTR;
  entry.dropped_bytes += static_cast<std::size_t>(received);
  return received > 0 && entry.dropped_bytes < kMaxDroppedBytes;
}

}  // namespace cairnhub::frontend
