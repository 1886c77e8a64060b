#pragma once
#include <event2/event.h>

#include "transport/message_sealer.h"
#include "transport/transport_counters.h"
#include "transport/transport_limits.h"

namespace cairnhub::transport {

// What the transport lends to its streams; all of it outlives them.
struct StreamContext {
  event_base* base;
  const TransportLimits& limits;
  MessageSealer& sealer;
  TransportCounters& counters;
};

}  // namespace cairnhub::transport
