// Encodes and decodes the zone reports that brokers send to the voters.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "zone_failover/zone_health.h"

namespace cairnhub::zone_failover {

// Returns the report as a zones.wire.Report; `received_at` is not sent.
std::string encode(const ZoneReport& report);
// Returns nothing if `bytes` cannot be parsed, names more than kMaxZones zones or holds a value out of range.
std::optional<ZoneReport> decode(std::string_view bytes);

}  // namespace cairnhub::zone_failover
