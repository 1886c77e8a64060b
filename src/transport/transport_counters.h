#pragma once
#include <cstdint>

namespace cairnhub::transport {

// Since the transport began; datagrams and streams together.
struct TransportCounters {
  std::uint64_t bytes_sent = 0;  // sealed, without the protocols below
  std::uint64_t bytes_received = 0;
  // Dropped here: no valid address, no connection, a stream that closed before the peer's nonce came, a full
  // queue, or a datagram, session messages among them, that the system refused (sendto failed). What isn't
  // counted: transport.h.
  std::uint64_t messages_not_sent = 0;
};

}  // namespace cairnhub::transport
