// A client of the platform's own form.
#pragma once
#include <cstdio>
#include <string>
#include <vector>

#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

struct Client {
  Peer peer;
  Client() : peer(connect_to(kBroker)) {}
  static std::string request(const std::string& name, const std::string& op, const std::string& body,
                             const std::string& left = "5") {
    return "POST /" + op + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + name + "\r\nX-Lane: " + op +
           "\r\nX-Org: a\r\nX-Remaining: " + left + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  static std::string parts(const std::vector<int>& shards, const std::string& body = "c41e") {
    std::string list;
    for (const int s : shards)
      list += (list.empty() ? "" : ",") + std::string("{\"bucket\":") + std::to_string(s) +
              ",\"part\":" + std::to_string(1.0 / static_cast<double>(shards.size())) + "}";
    return "{\"buckets\":[" + list + "],\"body\":\"" + body + "\"}";
  }
  void asks(const std::string& name, const std::string& op, const std::vector<int>& shards,
            const char* left = "5", const char* body = "c41e") {
    std::printf("client asks %s: %s of %zu parts\n", name.c_str(), op.c_str(), shards.size());
    peer.write(request(name, op, parts(shards, body), left));
  }
  // Status, further headers that matter, and the body.
  std::string reads() {
    for (;;) {
      const auto end = peer.in.find("\r\n\r\n");
      if (end != std::string::npos) {
        const std::string head = peer.in.substr(0, end);
        if (head.find("\r\nTransfer-Encoding: chunked") != std::string::npos) return reads_chunks(end + 4);
        const auto at = head.find("Content-Length: ");
        const std::size_t n = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
        if (peer.in.size() >= end + 4 + n) {
          std::string out = head.substr(9, 3);
          if (head.find("\r\nRetry-After: ") != std::string::npos) out += " come back later";
          if (head.find("\r\nConnection: close") != std::string::npos) out += " last";
          out += " " + peer.take(end + 4 + n).substr(end + 4);
          for (char& c : out)
            if (c == '\n') c = ' ';
          return out;
        }
      }
      if (!peer.more()) return "connection ended";
    }
  }
  // A response in chunks, whose body begins at this byte: status and body, as reads() gives them.
  std::string reads_chunks(std::size_t body_begin) {
    std::string out = peer.take(body_begin).substr(9, 3) + " ";
    for (;;) {
      auto line_end = peer.in.find("\r\n");
      while (line_end == std::string::npos) {
        if (!peer.more()) return "connection ended";
        line_end = peer.in.find("\r\n");
      }
      const std::size_t length = std::stoul(peer.in.substr(0, line_end), nullptr, 16);
      const std::size_t chunk_end = line_end + 2 + length + 2;
      while (peer.in.size() < chunk_end) {
        if (!peer.more()) return "connection ended";
      }
      out += peer.take(chunk_end).substr(line_end + 2, length);
      if (length == 0) break;
    }
    for (char& c : out)
      if (c == '\n') c = ' ';
    return out;
  }
  // A two-phase multiget; `more`: further members of its body.
  void asks_in_two(const std::string& name, const std::string& op, const std::vector<int>& shards,
                   const std::string& query, const std::string& more = "", const char* left = "5") {
    std::string list;
    for (const int s : shards)
      list += (list.empty() ? "" : ",") + std::string("{\"bucket\":") + std::to_string(s) +
              ",\"part\":" + std::to_string(1.0 / static_cast<double>(shards.size())) + "}";
    std::string bytes =
        request(name, op, "{\"buckets\":[" + list + "],\"query\":\"" + query + "\"" + more + "}", left);
    peer.write("POST /_two-phase/" + bytes.substr(6));
  }
  void gets() { std::printf("client gets: %s\n", reads().c_str()); }
};

}  // namespace cairnhub::stand_ins
