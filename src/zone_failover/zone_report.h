// Reports between brokers, as bytes; what can't be used is none.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "zone_failover/zone_health.h"

namespace cairnhub::zone_failover {

std::string encode(const ZoneReport& report);
std::optional<ZoneReport> decode(std::string_view bytes);

}  // namespace cairnhub::zone_failover
