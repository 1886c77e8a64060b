// A node that a story speaks for, frame by frame.
#pragma once
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

// A node: accepts as many connections as the program opens, in order.
struct Node {
  int number;
  std::unique_ptr<Listener> door;
  std::unique_ptr<Peer> peer;
  explicit Node(int n, int backlog = 64) : number(n), door(std::make_unique<Listener>(kNode + n, backlog)) {}
  void accept() { peer = std::make_unique<Peer>(door->accept()); }
  // The next frame, printed without the waits of its parts, which differ from time to time.
  std::string reads(bool print = true) {
    if (!peer) accept();
    while (peer->in.size() < 4 || peer->in.size() < 4 + size()) {
      if (peer->more()) continue;
      if (print) std::printf("node %d: connection ended\n", number);
      peer.reset();
      return "";
    }
    std::string frame = peer->take(4 + size()).substr(4);
    std::string shown = frame;
    for (std::size_t d; (d = shown.find(" d=")) != std::string::npos;)
      shown.erase(d, shown.find(' ', d + 1) - d);
    for (std::size_t lf; (lf = shown.find('\n')) != std::string::npos;) shown.replace(lf, 1, " / ");
    if (print) std::printf("node %d reads: %.70s\n", number, shown.c_str());
    return frame;
  }
  // Answers the part that the call asks for.
  void says(const std::string& call, const std::string& end, const std::string& value = "") {
    std::printf("node %d says: %s %s\n", number, end.c_str(), value.c_str());
    peer->write(framed('E', call.substr(1, call.find(' ') - 1) + " " + end + " 7 -\n" + value));
  }
  void hits(const std::string& call, const std::string& value) { says(call, "hit", value); }

 private:
  std::size_t size() const {
    std::size_t n = 0;
    for (int i = 3; i >= 0; --i) n = n << 8 | static_cast<unsigned char>(peer->in[i]);
    return n;
  }
};

// Fills a node's queue of connections, so that a further one doesn't come up until it is emptied.
struct FullBacklog {
  std::vector<Peer> fill;
  explicit FullBacklog(const Node& n) {
    for (int i = 0; i < 2; ++i) {
      fill.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      const sockaddr_in at = address(kNode + n.number);
      // In progress, or it will never be: that it doesn't come up is what it is for.
      static_cast<void>(connect(fill.back().fd, reinterpret_cast<const sockaddr*>(&at), sizeof at));
    }
  }
  // The next attempt to connect, at the system's pace, comes up.
  void empty(Node& n) {
    for (Peer& p : fill) p.reset();
    while (readable(n.door->fd, 0)) Peer(n.door->accept());
  }
};

}  // namespace cairnhub::stand_ins
