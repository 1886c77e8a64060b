#include "zone_failover/zone_load.h"

#include <algorithm>
#include <cmath>

namespace cairnhub::zone_failover {

namespace {

// A suspect is tried again within this, where anything at all is asked of its zone.
constexpr Time kTriedFor = 3 * kSecond;

// Called off after so many usual latencies: it was silent.
constexpr double kSilent = 4;
constexpr double kUsualGain = 1.0 / 64;

// So many parts lately tell what share of them has no near holder.
constexpr double kFar = 30;

}  // namespace

double ZoneLoad::fade(Time from, Time now, Time window) const {
  return std::exp(-static_cast<double>(std::max<Time>(0, now - from)) / static_cast<double>(window));
}

ZoneLoad::Sums* ZoneLoad::of(const std::string& zone) {
  const auto it = zones_.find(zone);
  if (it != zones_.end()) return &it->second;
  // Danger: names from lists without end.
  return zone.empty() || zones_.size() >= kMaxZones ? nullptr : &zones_[zone];
}

void ZoneLoad::record_attempt_result(Time now, const std::string& zone, EndpointId host, AttemptResult how,
                                     Time latency) {
  Sums* s = of(zone);
  if (!s) return;
  // Danger: a host that says nothing shows by nothing else, as what is out there is called off once a copy
  // has returned. What is called off in good time tells nothing.
  if (how == AttemptResult::kCancelled) {
    if (s->usual == 0 || seconds(latency) < kSilent * s->usual) return;
    how = AttemptResult::kLost;
  }
  if (how == AttemptResult::kResponded)
    s->usual += (s->usual == 0 ? 1 : kUsualGain) * (seconds(latency) - s->usual);
  const double f = fade(s->at, now, window_);
  s->load = s->load * fade(s->at, now, slow()) + 1;
  for (double* sum : {&s->sent, &s->returned, &s->refused, &s->lost, &s->latency}) *sum *= f;
  s->at = now;
  s->sent += 1;
  if (how == AttemptResult::kResponded) s->returned += 1, s->latency += seconds(latency);
  if (how == AttemptResult::kRejected) s->refused += 1;
  if (how == AttemptResult::kLost) s->lost += 1;
  s->last[host] = {now, how == AttemptResult::kLost};
  if (now - s->swept < kTriedFor / 4) return;
  s->swept = now;
  std::erase_if(s->last, [&](const auto& l) { return now - l.second.at > kTriedFor; });
}

void ZoneLoad::record_demand(Time now, double parts, double far) {
  const double f = fade(asked_at_, now, slow()), quick = fade(asked_at_, now, window_);
  asked_ = asked_ * f + parts, far_ = far_ * f + far;
  asked_lately_ = asked_lately_ * quick + parts, far_lately_ = far_lately_ * quick + far;
  asked_at_ = now;
}

// Danger: counted over the longer time alone, what a drain left without a near holder grew into the tables
// step by step, and each broker turned away what was not in them yet.
double ZoneLoad::remote_only_demand_per_second(Time now) const {
  const double share = asked_ > 0 ? far_ / asked_ : 0;
  const double lately = asked_lately_ >= kFar ? far_lately_ / asked_lately_ : 0;
  return demand_per_second(now) * std::max(share, lately);
}

void ZoneLoad::set_endpoints(const std::string& zone, int hosts, double capacity) {
  if (Sums* s = of(zone)) s->hosts = hosts, s->capacity = capacity;
}

void ZoneLoad::clear_endpoints() {
  for (auto& [name, s] : zones_) s.hosts = 0, s.capacity = 0;
}

std::map<std::string, ZoneStats> ZoneLoad::zone_stats(Time now) const {
  std::map<std::string, ZoneStats> all;
  for (const auto& [name, s] : zones_) {
    const double f = fade(s.at, now, window_) / seconds(window_);
    int down = 0, tried = 0;
    for (const auto& [host, last] : s.last)
      if (now - last.at <= kTriedFor) ++tried, down += last.lost;
    ZoneStats& r = all[name];
    r.attempts_per_second = s.sent * f, r.responses_per_second = s.returned * f,
    r.rejected_per_second = s.refused * f, r.lost_per_second = s.lost * f;
    r.mean_latency_seconds = s.returned > 0 ? s.latency / s.returned : 0;
    r.load_per_second = s.load * fade(s.at, now, slow()) / seconds(slow());
    r.capacity_per_second = s.capacity, r.endpoints_in_service = s.hosts, r.endpoints_tried = tried,
    r.endpoints_down = down;
  }
  return all;
}

}  // namespace cairnhub::zone_failover
