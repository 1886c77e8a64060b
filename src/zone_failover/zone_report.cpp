#include "zone_failover/zone_report.h"

#include <cmath>

#include "zone_failover.pb.h"

namespace cairnhub::zone_failover {

namespace {

constexpr float kMaxRate = 1e9F;  // also the bound of latency and capacity
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kMaxEndpoints = 100000;  // in one zone

bool is_valid_name(const std::string& name) { return !name.empty() && name.size() <= kMaxNameBytes; }
bool is_valid_rate(float rate) { return std::isfinite(rate) && rate >= 0 && rate <= kMaxRate; }

}  // namespace

std::string encode(const ZoneReport& report) {
  zones::wire::Report message;
  message.set_home(report.home_zone);
  message.set_wanted(static_cast<float>(report.demand_per_second));
  message.set_far(static_cast<float>(report.remote_only_demand_per_second));
  for (const auto& [zone, stats] : report.zones) {
    auto* reading = message.add_reading();
    reading->set_zone(zone);
    reading->set_sent(static_cast<float>(stats.attempts_per_second));
    reading->set_returned(static_cast<float>(stats.responses_per_second));
    reading->set_refused(static_cast<float>(stats.rejected_per_second));
    reading->set_lost(static_cast<float>(stats.lost_per_second));
    reading->set_latency(static_cast<float>(stats.mean_latency_seconds));
    reading->set_capacity(static_cast<float>(stats.capacity_per_second));
    reading->set_hosts(static_cast<std::uint32_t>(stats.endpoints_in_service));
    reading->set_down(static_cast<std::uint32_t>(stats.endpoints_down));
    reading->set_tried(static_cast<std::uint32_t>(stats.endpoints_tried));
    reading->set_load(static_cast<float>(stats.load_per_second));
  }
  return message.SerializeAsString();
}

std::optional<ZoneReport> decode(std::string_view bytes) {
  zones::wire::Report message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (!is_valid_name(message.home()) || !is_valid_rate(message.wanted()) || !is_valid_rate(message.far()) ||
      message.reading_size() > static_cast<int>(kMaxZones))
    return std::nullopt;
  ZoneReport report;
  report.home_zone = message.home();
  report.demand_per_second = message.wanted();
  report.remote_only_demand_per_second = message.far();
  for (const auto& reading : message.reading()) {
    if (!is_valid_name(reading.zone()) || reading.hosts() > kMaxEndpoints ||
        reading.tried() > kMaxEndpoints || reading.down() > reading.tried())
      return std::nullopt;
    for (const float rate : {reading.sent(), reading.returned(), reading.refused(), reading.lost(),
                             reading.latency(), reading.capacity(), reading.load()})
      if (!is_valid_rate(rate)) return std::nullopt;
    report.zones[reading.zone()] = {reading.sent(),
                                    reading.returned(),
                                    reading.refused(),
                                    reading.lost(),
                                    reading.latency(),
                                    reading.capacity(),
                                    static_cast<int>(reading.hosts()),
                                    static_cast<int>(reading.tried()),
                                    static_cast<int>(reading.down()),
                                    reading.load()};
  }
  return report;
}

}  // namespace cairnhub::zone_failover
