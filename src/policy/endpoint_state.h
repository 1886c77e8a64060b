// The id of an endpoint, and its state in the endpoint list.
#pragma once
#include <cstdint>

namespace cairnhub {

using EndpointId = std::uint64_t;  // opaque: only compared, and used to find the record

enum class EndpointState { kRemoved, kReady, kDraining };

}  // namespace cairnhub
