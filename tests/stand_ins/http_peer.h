// HTTP messages on the hosts' side of a connection.
#pragma once
#include <sys/socket.h>

#include <string>

#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

// Reads one request with a length, however long it takes. Returns false at the end of the connection.
inline bool read_http_request(Peer& peer, std::string& head, std::string& body) {
  const std::string length_field = "Content-Length: ";
  for (;;) {
    const auto head_end = peer.in.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      const auto stated = peer.in.find(length_field);
      const std::size_t length =
          stated < head_end ? std::stoul(peer.in.substr(stated + length_field.size())) : 0;
      if (peer.in.size() >= head_end + 4 + length) {
        head = peer.take(head_end + 4);
        body = peer.take(length);
        return true;
      }
    }
    char some[16384];
    const ssize_t n = recv(peer.fd, some, sizeof some, 0);
    if (n <= 0) return false;
    peer.in.append(some, static_cast<std::size_t>(n));
  }
}

// Writes all bytes, however long it takes. Returns false if the connection has ended.
inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Returns the value of a header field of a head, or nothing.
inline std::string header_field(const std::string& head, const std::string& name) {
  const std::string line_begin = "\r\n" + name + ": ";
  const auto at = head.find(line_begin);
  if (at == std::string::npos) return "";
  const auto begin = at + line_begin.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace cairnhub::stand_ins
