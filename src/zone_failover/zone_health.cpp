#include "zone_failover/zone_health.h"

#include <algorithm>
#include <cstdio>

namespace cairnhub::zone_failover {

namespace {

constexpr std::size_t kReportersMost = 4096;

double median(std::vector<double> v) {
  if (v.empty()) return 0;
  const auto mid = v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2);
  std::nth_element(v.begin(), mid, v.end());
  return *mid;
}

std::string said(const char* form, double a, double b) {
  char text[160];
  std::snprintf(text, sizeof text, form, a, b);
  return text;
}

// What one broker or several together say of a zone.
struct Tally {
  double few;  // parts a second under which what became of them tells nothing
  double sent = 0, lost_parts = 0, refused_parts = 0, returned = 0, latency_sum = 0;
  int tried = 0, down = 0;
  explicit Tally(double few_parts) : few(few_parts) {}
  Tally(double few_parts, const ZoneStats& r) : few(few_parts) { add(r); }
  void add(const ZoneStats& r) {
    sent += r.attempts_per_second, lost_parts += r.lost_per_second, refused_parts += r.rejected_per_second;
    returned += r.responses_per_second, latency_sum += r.responses_per_second * r.mean_latency_seconds;
    tried += r.endpoints_tried, down += r.endpoints_down;
  }
  bool many() const { return sent >= few; }
  bool any() const { return many() || tried > 0; }
  double refused() const { return many() ? refused_parts / sent : 0; }
  // Hosts that lose what they are sent are hardly asked again, and tell by themselves; but one lost part at
  // one of several hosts does not. Danger: it stays that host's last part for seconds, longer than any time
  // of confirmation, and one late part in thousands moved a zone's traffic.
  double lost() const {
    const double silent = down > 1 || tried == 1 ? static_cast<double>(down) / tried : 0;
    return std::max(many() ? lost_parts / sent : 0.0, silent);
  }
};

}  // namespace

const char* name_of(ZoneStatus look) {
  switch (look) {
    case ZoneStatus::kUnknown:
      return "unknown";
    case ZoneStatus::kGood:
      return "good";
    case ZoneStatus::kOverloaded:
      return "over";
    case ZoneStatus::kPartial:
      return "partial";
    case ZoneStatus::kDead:
      return "dead";
  }
  return "?";
}

void ZoneHealthEvaluator::add_report(Time now, const std::string& from, ZoneReport report) {
  if (reports_.size() >= kReportersMost && !reports_.count(from)) return;
  report.received_at = now;
  reports_[from] = std::move(report);
}

ZoneHealthView ZoneHealthEvaluator::evaluate(Time now) const {
  ZoneHealthView view;
  std::map<std::string, const ZoneReport*> live;
  for (const auto& [broker, r] : reports_)
    if (now - r.received_at <= terms_.max_report_age) live[broker] = &r;
  // Who is ill itself: it finds every zone bad, and for each of them most others who see it find it good.
  // Danger: one broker with a broken interface would have a sound zone emptied.
  std::map<std::string, std::pair<int, int>> finds;  // by zone: who sees it, who finds it good
  for (const auto& [broker, r] : live)
    for (const auto& [zone, reading] : r->zones)
      if (const Tally t(terms_.min_attempts_per_second, reading); t.any())
        ++finds[zone].first, finds[zone].second += t.lost() < terms_.partial_loss_share;
  for (const auto& [broker, r] : live) {
    int bad = 0, seen = 0;
    for (const auto& [zone, reading] : r->zones) {
      const Tally t(terms_.min_attempts_per_second, reading);
      if (!t.any()) continue;
      ++seen;
      if (t.lost() < terms_.partial_loss_share) continue;
      const auto& [all, good] = finds[zone];
      bad += 2 * good > all - 1;
    }
    if (seen >= 2 && bad == seen) view.outvoted_brokers.push_back(broker);
  }
  for (const auto& broker : view.outvoted_brokers) live.erase(broker);

  // By home and zone: what its brokers say together.
  std::map<std::pair<std::string, std::string>, Tally> pairs;
  std::map<std::string, std::vector<double>> hosts, capacity;
  for (const auto& [broker, r] : live) {
    ZoneHealth& home = view.zones[r->home_zone];
    home.demand_per_second += r->demand_per_second,
        home.remote_only_demand_per_second += r->remote_only_demand_per_second, ++home.reporting_brokers;
    for (const auto& [zone, reading] : r->zones) {
      view.zones[zone].load_per_second += reading.load_per_second;
      hosts[zone].push_back(reading.endpoints_in_service),
          capacity[zone].push_back(reading.capacity_per_second);
      pairs.try_emplace({r->home_zone, zone}, terms_.min_attempts_per_second).first->second.add(reading);
    }
  }
  const auto pair = [&](const std::string& from, const std::string& to) -> const Tally* {
    const auto it = pairs.find({from, to});
    return it == pairs.end() || !it->second.any() ? nullptr : &it->second;
  };
  std::map<std::string, double> own_latency;
  for (const auto& [zone, z] : view.zones)
    if (const Tally* p = pair(zone, zone); p && p->many() && p->returned > 0)
      own_latency[zone] = p->latency_sum / p->returned;

  for (auto& [zone, z] : view.zones) {
    z.endpoints_in_service = static_cast<int>(median(hosts[zone])),
    z.capacity_per_second = median(capacity[zone]);
    const Tally* own = pair(zone, zone);
    int see = 0, find_dead = 0, find_bad = 0, find_full = 0, find_alive = 0;
    for (const auto& [home, ignored] : view.zones) {
      const Tally* p = pair(home, zone);
      if (!p) continue;
      ++see;
      find_dead += p->lost() >= terms_.dead_loss_share, find_bad += p->lost() >= terms_.partial_loss_share;
      find_full += p->refused() >= terms_.overload_rejected_share;
      // Only one that has asked a good deal lately speaks for its life: what was good a while ago says
      // nothing.
      find_alive += p->many() && p->lost_parts / p->sent < terms_.dead_loss_share;
    }
    if (see == 0) continue;  // unknown
    const double own_lost = own ? own->lost() : 2 * find_bad > see ? 1 : 0;
    const double own_refused = own ? own->refused() : 0;
    if (own_lost >= terms_.dead_loss_share && find_alive == 0 && (own || 2 * find_dead > see)) {
      z.status = ZoneStatus::kDead, z.sustainable_share = 0;
      z.reason = said("%.0f of %.0f zones that see it lose most of their parts there", find_dead, see);
      continue;
    }
    for (const auto& [home, ignored] : view.zones) {
      const Tally* p = pair(home, zone);
      if (p && home != zone && p->lost() >= terms_.dead_loss_share) view.broken_links.insert({home, zone});
    }
    // Slow beside the other zones, as their own brokers find them. Where all are slow there is nowhere
    // better.
    std::vector<double> others;
    for (const auto& [name, l] : own_latency)
      if (name != zone) others.push_back(l);
    const double usual = median(others), mine = own_latency.count(zone) ? own_latency[zone] : 0;
    if (own && own_lost >= terms_.partial_loss_share) {
      z.status = ZoneStatus::kPartial, z.sustainable_share = 1 - own_lost;
      z.reason = said("%.0f%% of the parts or hosts of its own brokers are lost; %.0f zones find it bad",
                      100 * own_lost, find_bad);
    } else if (own_refused >= terms_.overload_rejected_share || (!own && 2 * find_full > see)) {
      z.status = ZoneStatus::kOverloaded, z.sustainable_share = 1 - own_refused;
      z.reason =
          said("its hosts turn %.0f%% of the parts away; %.0f zones say so", 100 * own_refused, find_full);
    } else if (z.capacity_per_second > 0 &&
               z.load_per_second > terms_.overload_capacity_share * z.capacity_per_second) {
      z.status = ZoneStatus::kOverloaded,
      z.sustainable_share = terms_.overload_capacity_share * z.capacity_per_second / z.load_per_second;
      z.reason =
          said("%.0f parts a second come to what bears %.0f", z.load_per_second, z.capacity_per_second);
    } else if (usual > 0 && mine > terms_.overload_latency_ratio * usual) {
      z.status = ZoneStatus::kOverloaded,
      z.sustainable_share = std::max(0.25, usual * terms_.overload_latency_ratio / mine);
      z.reason = said("%.1f ms a part where other zones take %.1f", 1000 * mine, 1000 * usual);
    } else if (own || see > static_cast<int>(view.broken_links.size())) {
      z.status = ZoneStatus::kGood;
      z.reason = said("%.0f%% lost, %.0f zones see it", 100 * own_lost, see);
    }
  }
  return view;
}

}  // namespace cairnhub::zone_failover
