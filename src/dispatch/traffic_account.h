// Accounting of the bytes exchanged with endpoints.
#pragma once
#include "policy/endpoint_state.h"

namespace cairnhub::dispatch {

// The request class and the zone that an attempt's bytes are charged to.
struct TrafficAccount {
  int request_class = -1;       // index in the settings; -1: the shard request is no longer known
  int zone = -1;                // of the endpoint when the attempt was sent; -1: look it up
  bool is_over_budget = false;  // crosses zones although the class has spent its budget for that
};

// Bytes exchanged with an endpoint, frame headers and cancel messages included. Bytes are counted when they
// are queued for writing or read; those still queued when the connection breaks are counted again, negative.
struct TransferredBytes {
  EndpointId endpoint = 0;
  TrafficAccount account;
  long long sent = 0;
  long long received = 0;
};

}  // namespace cairnhub::dispatch
