#include "zone_failover/zone_report.h"

#include <cmath>

#include "zone_failover.pb.h"

namespace cairnhub::zone_failover {

namespace {

constexpr float kRateMost = 1e9F;

bool name(const std::string& n) { return !n.empty() && n.size() <= 64; }
bool rate(float r) { return std::isfinite(r) && r >= 0 && r <= kRateMost; }

}  // namespace

std::string encode(const ZoneReport& report) {
  zones::wire::Report w;
  w.set_home(report.home_zone);
  w.set_wanted(static_cast<float>(report.demand_per_second));
  w.set_far(static_cast<float>(report.remote_only_demand_per_second));
  for (const auto& [zone, r] : report.zones) {
    auto* out = w.add_reading();
    out->set_zone(zone);
    out->set_sent(static_cast<float>(r.attempts_per_second));
    out->set_returned(static_cast<float>(r.responses_per_second));
    out->set_refused(static_cast<float>(r.rejected_per_second));
    out->set_lost(static_cast<float>(r.lost_per_second));
    out->set_latency(static_cast<float>(r.mean_latency_seconds));
    out->set_capacity(static_cast<float>(r.capacity_per_second));
    out->set_hosts(static_cast<std::uint32_t>(r.endpoints_in_service));
    out->set_down(static_cast<std::uint32_t>(r.endpoints_down));
    out->set_tried(static_cast<std::uint32_t>(r.endpoints_tried));
    out->set_load(static_cast<float>(r.load_per_second));
  }
  return w.SerializeAsString();
}

std::optional<ZoneReport> decode(std::string_view bytes) {
  zones::wire::Report w;
  if (!w.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (!name(w.home()) || !rate(w.wanted()) || !rate(w.far()) ||
      w.reading_size() > static_cast<int>(kMaxZones))
    return std::nullopt;
  ZoneReport out;
  out.home_zone = w.home(), out.demand_per_second = w.wanted(), out.remote_only_demand_per_second = w.far();
  for (const auto& r : w.reading()) {
    if (!name(r.zone()) || r.hosts() > 100000 || r.tried() > 100000 || r.down() > r.tried())
      return std::nullopt;
    for (const float f : {r.sent(), r.returned(), r.refused(), r.lost(), r.latency(), r.capacity(), r.load()})
      if (!rate(f)) return std::nullopt;
    out.zones[r.zone()] = {r.sent(),
                           r.returned(),
                           r.refused(),
                           r.lost(),
                           r.latency(),
                           r.capacity(),
                           static_cast<int>(r.hosts()),
                           static_cast<int>(r.tried()),
                           static_cast<int>(r.down()),
                           r.load()};
  }
  return out;
}

}  // namespace cairnhub::zone_failover
