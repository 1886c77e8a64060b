// What sends carry, for those who count it.
#pragma once
#include "policy/endpoint_state.h"

namespace cairnhub::dispatch {

// On whose account the bytes of a send go.
struct TrafficAccount {
  int request_class = -1;       // of the settings; -1: of a part that nobody knows any more
  int zone = -1;                // where the node stood as it was sent; -1: ask where it stands
  bool is_over_budget = false;  // it crosses zones though its op type's budget for that is spent
};

// Bytes that went to a node and came from it, heads and notes among them, as they are handed over and read.
// What was handed over and never written, as its connection broke, is counted off again.
struct TransferredBytes {
  EndpointId endpoint = 0;
  TrafficAccount account;
  long long sent = 0, received = 0;
};

}  // namespace cairnhub::dispatch
