// The limit on the load sent to one zone, as agreed by all brokers.
#pragma once

namespace cairnhub {

struct ZoneLimit {
  double max_share = 1;          // of this broker's shard requests; its own zone may exceed it
  bool is_other_region = false;  // in a region other than this broker's
};

}  // namespace cairnhub
