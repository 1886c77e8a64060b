#pragma once
#include <cstddef>

#include "base/time.h"

namespace cairnhub::transport {

struct TransportLimits {
  std::size_t max_datagram_bytes = 1400;    // sealed; a longer message goes by stream
  std::size_t max_message_bytes = 4 << 20;  // sealed; a stream that brings a longer one is closed
  std::size_t max_queued_bytes = 8 << 20;   // on the stream to one peer; a message past it is dropped
  // Of messages that are still incomplete, over all streams; past it the streams that hold most are closed.
  std::size_t max_incomplete_bytes = 8 << 20;
  std::size_t max_incoming_streams = 512;  // past it the one that has been idle longest is closed
  // A stream is closed on which nothing was read for so long, or on which bytes waited and none could be
  // written for so long, each on its own. As the accepting end writes its nonce only, the end that sends
  // closes its stream so long after the nonce, however busy it is; the next long message opens a new one.
  Time idle_timeout = 10 * kSecond;
  Time connect_timeout = 2 * kSecond;  // until the peer's nonce is there
};

}  // namespace cairnhub::transport
