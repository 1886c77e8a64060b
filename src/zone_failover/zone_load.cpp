#include "zone_failover/zone_load.h"

#include <algorithm>
#include <cmath>

namespace cairnhub::zone_failover {

namespace {

// A suspect endpoint is tried again within this time if its zone gets any requests.
constexpr Time kRecentlyTried = 3 * kSecond;

// A cancelled attempt counts as lost after this many usual latencies without a response.
constexpr double kLostLatencyRatio = 4;
constexpr double kUsualLatencyGain = 1.0 / 64;

// Shard requests in the short window that are enough to estimate the remote-only share.
constexpr double kMinRecentDemand = 30;

}  // namespace

double ZoneLoad::decay(Time from, Time now, Time window) const {
  return std::exp(-static_cast<double>(std::max<Time>(0, now - from)) / static_cast<double>(window));
}

ZoneLoad::ZoneCounts* ZoneLoad::find_or_add(const std::string& zone) {
  const auto it = zones_.find(zone);
  if (it != zones_.end()) return &it->second;
  // Endpoint lists could name new zones without end and so exhaust memory.
  return zone.empty() || zones_.size() >= kMaxZones ? nullptr : &zones_[zone];
}

void ZoneLoad::record_attempt_result(Time now, const std::string& zone, EndpointId endpoint,
                                     AttemptResult result, Time latency) {
  ZoneCounts* counts = find_or_add(zone);
  if (!counts) return;
  // A silent endpoint shows only in late cancellations, because its attempts are cancelled once a hedge has
  // responded. An early cancellation gives no information.
  if (result == AttemptResult::kCancelled) {
    if (counts->usual_latency_seconds == 0 ||
        seconds(latency) < kLostLatencyRatio * counts->usual_latency_seconds)
      return;
    result = AttemptResult::kLost;
  }
  if (result == AttemptResult::kResponded)
    counts->usual_latency_seconds += (counts->usual_latency_seconds == 0 ? 1 : kUsualLatencyGain) *
                                     (seconds(latency) - counts->usual_latency_seconds);
  const double factor = decay(counts->updated_at, now, window_);
  counts->load = counts->load * decay(counts->updated_at, now, long_window()) + 1;
  for (double* sum :
       {&counts->attempts, &counts->responses, &counts->rejected, &counts->lost, &counts->latency_seconds})
    *sum *= factor;
  counts->updated_at = now;
  counts->attempts += 1;
  if (result == AttemptResult::kResponded) {
    counts->responses += 1;
    counts->latency_seconds += seconds(latency);
  }
  if (result == AttemptResult::kRejected) counts->rejected += 1;
  if (result == AttemptResult::kLost) counts->lost += 1;
  counts->last_attempts[endpoint] = {now, result == AttemptResult::kLost};
  if (now - counts->swept_at < kRecentlyTried / 4) return;
  counts->swept_at = now;
  std::erase_if(counts->last_attempts,
                [&](const auto& entry) { return now - entry.second.ended_at > kRecentlyTried; });
}

void ZoneLoad::record_demand(Time now, double shard_requests, double remote_only) {
  const double long_factor = decay(demand_at_, now, long_window());
  const double recent_factor = decay(demand_at_, now, window_);
  demand_ = demand_ * long_factor + shard_requests;
  remote_only_demand_ = remote_only_demand_ * long_factor + remote_only;
  recent_demand_ = recent_demand_ * recent_factor + shard_requests;
  recent_remote_only_demand_ = recent_remote_only_demand_ * recent_factor + remote_only;
  demand_at_ = now;
}

// With the long window alone, the demand that a drain leaves without a local replica would enter the traffic
// split step by step, and each broker would reject the demand that the split does not yet allow.
double ZoneLoad::remote_only_demand_per_second(Time now) const {
  const double long_share = demand_ > 0 ? remote_only_demand_ / demand_ : 0;
  const double recent_share =
      recent_demand_ >= kMinRecentDemand ? recent_remote_only_demand_ / recent_demand_ : 0;
  return demand_per_second(now) * std::max(long_share, recent_share);
}

void ZoneLoad::set_endpoints(const std::string& zone, int endpoints_in_service, double capacity_per_second) {
  if (ZoneCounts* counts = find_or_add(zone)) {
    counts->endpoints_in_service = endpoints_in_service;
    counts->capacity_per_second = capacity_per_second;
  }
}

void ZoneLoad::clear_endpoints() {
  for (auto& [zone, counts] : zones_) {
    counts.endpoints_in_service = 0;
    counts.capacity_per_second = 0;
  }
}

std::map<std::string, ZoneStats> ZoneLoad::zone_stats(Time now) const {
  std::map<std::string, ZoneStats> all;
  for (const auto& [zone, counts] : zones_) {
    const double per_second = decay(counts.updated_at, now, window_) / seconds(window_);
    int down = 0;
    int tried = 0;
    for (const auto& [endpoint, last] : counts.last_attempts)
      if (now - last.ended_at <= kRecentlyTried) {
        ++tried;
        down += last.is_lost;
      }
    ZoneStats& stats = all[zone];
    stats.attempts_per_second = counts.attempts * per_second;
    stats.responses_per_second = counts.responses * per_second;
    stats.rejected_per_second = counts.rejected * per_second;
    stats.lost_per_second = counts.lost * per_second;
    stats.mean_latency_seconds = counts.responses > 0 ? counts.latency_seconds / counts.responses : 0;
    stats.load_per_second =
        counts.load * decay(counts.updated_at, now, long_window()) / seconds(long_window());
    stats.capacity_per_second = counts.capacity_per_second;
    stats.endpoints_in_service = counts.endpoints_in_service;
    stats.endpoints_tried = tried;
    stats.endpoints_down = down;
  }
  return all;
}

}  // namespace cairnhub::zone_failover
