#include "stand_ins/connection_threads.h"

#include <utility>

namespace cairnhub::stand_ins {

namespace {

constexpr int kBacklog = 1024;

}  // namespace

ConnectionThreads::ConnectionThreads(int number, std::function<void(Peer&)> serve)
    : serve_(std::move(serve)), door_(kNode + number, kBacklog) {
  threads_.emplace_back([this] { accept_connections(); });
}

ConnectionThreads::~ConnectionThreads() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_ending_ = true;
    for (const int fd : connections_) shutdown(fd, SHUT_RDWR);
  }
  shutdown(door_.fd, SHUT_RDWR);
  threads_.front().join();
  for (std::size_t i = 1; i < threads_.size(); ++i) threads_[i].join();
  for (const int fd : connections_) close(fd);
}

int ConnectionThreads::connection_count() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(connections_.size());
}

void ConnectionThreads::accept_connections() {
  for (;;) {
    const int fd = accept4(door_.fd, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_ending_) {
      if (fd >= 0) close(fd);
      return;
    }
    if (fd < 0) continue;
    connections_.push_back(fd);
    threads_.emplace_back([this, fd] { run(fd); });
  }
}

void ConnectionThreads::run(int fd) {
  Peer peer(fd);
  serve_(peer);
  shutdown(fd, SHUT_RDWR);
  peer.fd = -1;  // closed by the destructor, so that the number isn't used again before
}

}  // namespace cairnhub::stand_ins
