// Reports between brokers, as bytes; what can't be used is none.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "zone_failover/zone_health.h"

namespace cairnhub::zone_failover {

std::string encode(const Report& report);
std::optional<Report> decode(std::string_view bytes);

}  // namespace cairnhub::zone_failover
