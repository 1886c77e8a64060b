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
  Tally(double few_parts, const Reading& r) : few(few_parts) { add(r); }
  void add(const Reading& r) {
    sent += r.sent, lost_parts += r.lost, refused_parts += r.refused;
    returned += r.returned, latency_sum += r.returned * r.latency;
    tried += r.tried, down += r.down;
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

const char* name_of(Look look) {
  switch (look) {
    case Look::unknown:
      return "unknown";
    case Look::good:
      return "good";
    case Look::over:
      return "over";
    case Look::partial:
      return "partial";
    case Look::dead:
      return "dead";
  }
  return "?";
}

void Evidence::heard(Time now, const std::string& from, Report report) {
  if (reports_.size() >= kReportersMost && !reports_.count(from)) return;
  report.at = now;
  reports_[from] = std::move(report);
}

View Evidence::look(Time now) const {
  View view;
  std::map<std::string, const Report*> live;
  for (const auto& [broker, r] : reports_)
    if (now - r.at <= terms_.fresh) live[broker] = &r;
  // Who is ill itself: it finds every zone bad, and for each of them most others who see it find it good.
  // Danger: one broker with a broken interface would have a sound zone emptied.
  std::map<std::string, std::pair<int, int>> finds;  // by zone: who sees it, who finds it good
  for (const auto& [broker, r] : live)
    for (const auto& [zone, reading] : r->zones)
      if (const Tally t(terms_.few, reading); t.any())
        ++finds[zone].first, finds[zone].second += t.lost() < terms_.partial;
  for (const auto& [broker, r] : live) {
    int bad = 0, seen = 0;
    for (const auto& [zone, reading] : r->zones) {
      const Tally t(terms_.few, reading);
      if (!t.any()) continue;
      ++seen;
      if (t.lost() < terms_.partial) continue;
      const auto& [all, good] = finds[zone];
      bad += 2 * good > all - 1;
    }
    if (seen >= 2 && bad == seen) view.outvoted.push_back(broker);
  }
  for (const auto& broker : view.outvoted) live.erase(broker);

  // By home and zone: what its brokers say together.
  std::map<std::pair<std::string, std::string>, Tally> pairs;
  std::map<std::string, std::vector<double>> hosts, capacity;
  for (const auto& [broker, r] : live) {
    ZoneView& home = view.zones[r->home];
    home.wanted += r->wanted, home.far += r->far, ++home.brokers;
    for (const auto& [zone, reading] : r->zones) {
      view.zones[zone].load += reading.load;
      hosts[zone].push_back(reading.hosts), capacity[zone].push_back(reading.capacity);
      pairs.try_emplace({r->home, zone}, terms_.few).first->second.add(reading);
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
    z.hosts = static_cast<int>(median(hosts[zone])), z.capacity = median(capacity[zone]);
    const Tally* own = pair(zone, zone);
    int see = 0, find_dead = 0, find_bad = 0, find_full = 0, find_alive = 0;
    for (const auto& [home, ignored] : view.zones) {
      const Tally* p = pair(home, zone);
      if (!p) continue;
      ++see;
      find_dead += p->lost() >= terms_.dead, find_bad += p->lost() >= terms_.partial;
      find_full += p->refused() >= terms_.refused;
      // Only one that has asked a good deal lately speaks for its life: what was good a while ago says
      // nothing.
      find_alive += p->many() && p->lost_parts / p->sent < terms_.dead;
    }
    if (see == 0) continue;  // unknown
    const double own_lost = own ? own->lost() : 2 * find_bad > see ? 1 : 0;
    const double own_refused = own ? own->refused() : 0;
    if (own_lost >= terms_.dead && find_alive == 0 && (own || 2 * find_dead > see)) {
      z.look = Look::dead, z.bears = 0;
      z.why = said("%.0f of %.0f zones that see it lose most of their parts there", find_dead, see);
      continue;
    }
    for (const auto& [home, ignored] : view.zones) {
      const Tally* p = pair(home, zone);
      if (p && home != zone && p->lost() >= terms_.dead) view.cut.insert({home, zone});
    }
    // Slow beside the other zones, as their own brokers find them. Where all are slow there is nowhere
    // better.
    std::vector<double> others;
    for (const auto& [name, l] : own_latency)
      if (name != zone) others.push_back(l);
    const double usual = median(others), mine = own_latency.count(zone) ? own_latency[zone] : 0;
    if (own && own_lost >= terms_.partial) {
      z.look = Look::partial, z.bears = 1 - own_lost;
      z.why = said("%.0f%% of the parts or hosts of its own brokers are lost; %.0f zones find it bad",
                   100 * own_lost, find_bad);
    } else if (own_refused >= terms_.refused || (!own && 2 * find_full > see)) {
      z.look = Look::over, z.bears = 1 - own_refused;
      z.why =
          said("its hosts turn %.0f%% of the parts away; %.0f zones say so", 100 * own_refused, find_full);
    } else if (z.capacity > 0 && z.load > terms_.full * z.capacity) {
      z.look = Look::over, z.bears = terms_.full * z.capacity / z.load;
      z.why = said("%.0f parts a second come to what bears %.0f", z.load, z.capacity);
    } else if (usual > 0 && mine > terms_.slow * usual) {
      z.look = Look::over, z.bears = std::max(0.25, usual * terms_.slow / mine);
      z.why = said("%.1f ms a part where other zones take %.1f", 1000 * mine, 1000 * usual);
    } else if (own || see > static_cast<int>(view.cut.size())) {
      z.look = Look::good;
      z.why = said("%.0f%% lost, %.0f zones see it", 100 * own_lost, see);
    }
  }
  return view;
}

}  // namespace cairnhub::zone_failover
