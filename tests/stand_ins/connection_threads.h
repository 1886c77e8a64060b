// A listener whose connections are each served on a thread of its own.
#pragma once
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

// Ends all connections as it is destroyed, and waits for their threads; declare it behind what they use.
class ConnectionThreads {
 public:
  // Listens at the address of node `number`. @param serve called for each connection, which ends when it
  // returns
  ConnectionThreads(int number, std::function<void(Peer&)> serve);
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  int connection_count();  // accepted so far

 private:
  void accept_connections();
  void run(int fd);

  const std::function<void(Peer&)> serve_;
  Listener door_;
  std::mutex mutex_;
  bool is_ending_ = false;
  std::vector<int> connections_;
  std::vector<std::thread> threads_;
};

}  // namespace cairnhub::stand_ins
