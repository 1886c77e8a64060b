// What clients, hosts and discovery write that takes far more memory than its bytes, and the check that the
// process under test stays within its limit.
#pragma once
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsItsOwn = false;  // the sanitizer keeps what is freed
#else
constexpr bool kMemoryIsItsOwn = true;
#endif

// Header fields of 4 bytes each.
inline std::string short_fields(int count) {
  std::string fields;
  for (int i = 0; i < count; ++i) fields += "a:b\n";
  return fields;
}

// Writes without waiting; what the program doesn't take, or has refused, is dropped.
// @return whether all was taken
inline bool write_some(const Peer& peer, const std::string& bytes) {
  return send(peer.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
         static_cast<ssize_t>(bytes.size());
}

// Expects that the process has never taken more than its memory limit, what it shares with others included.
inline void expect_process_within(int memory_mb, pid_t process) {
  constexpr long kKbPerMb = 1024;
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  long peak_kb = -1;
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) peak_kb = std::atol(line.c_str() + 6);
  }
  std::printf("the process has taken %ld kB at most\n", peak_kb);
  EXPECT_GT(peak_kb, 0);
  if (kMemoryIsItsOwn) {
    EXPECT_LE(peak_kb, memory_mb * kKbPerMb);
  }
}

}  // namespace cairnhub::stand_ins
