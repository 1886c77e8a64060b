#include "zone_failover/zone_health.h"

#include <algorithm>
#include <cstdio>

namespace cairnhub::zone_failover {

namespace {

constexpr std::size_t kMaxReportingBrokers = 4096;
// A slow zone keeps at least this share of its brokers' demand.
constexpr double kMinSlowSustainableShare = 0.25;

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

std::string formatted(const char* format, double a, double b) {
  char text[160];
  std::snprintf(text, sizeof text, format, a, b);
  return text;
}

// The sum of the statistics that one or several brokers report of a zone.
struct StatsSum {
  double min_attempts;  // attempts per second from which the shares count
  double attempts = 0;
  double lost = 0;
  double rejected = 0;
  double responses = 0;
  double latency_seconds = 0;
  int endpoints_tried = 0;
  int endpoints_down = 0;
  explicit StatsSum(double min_attempts_per_second) : min_attempts(min_attempts_per_second) {}
  StatsSum(double min_attempts_per_second, const ZoneStats& stats) : min_attempts(min_attempts_per_second) {
    add(stats);
  }
  void add(const ZoneStats& stats) {
    attempts += stats.attempts_per_second;
    lost += stats.lost_per_second;
    rejected += stats.rejected_per_second;
    responses += stats.responses_per_second;
    latency_seconds += stats.responses_per_second * stats.mean_latency_seconds;
    endpoints_tried += stats.endpoints_tried;
    endpoints_down += stats.endpoints_down;
  }
  bool has_enough_attempts() const { return attempts >= min_attempts; }
  bool has_evidence() const { return has_enough_attempts() || endpoints_tried > 0; }
  double rejected_share() const { return has_enough_attempts() ? rejected / attempts : 0; }
  // Endpoints that lose their attempts get hardly any more, so they count by themselves. One lost attempt at
  // one of several endpoints does not count: it stays that endpoint's last attempt for seconds, longer than
  // any confirmation time, so one late response in thousands would move the traffic of a zone.
  double lost_share() const {
    const double down_share = endpoints_down > 1 || endpoints_tried == 1
                                  ? static_cast<double>(endpoints_down) / endpoints_tried
                                  : 0;
    return std::max(has_enough_attempts() ? lost / attempts : 0.0, down_share);
  }
};

}  // namespace

const char* name_of(ZoneStatus status) {
  switch (status) {
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

void ZoneHealthEvaluator::add_report(Time now, const std::string& broker, ZoneReport report) {
  if (reports_.size() >= kMaxReportingBrokers && !reports_.count(broker)) return;
  report.received_at = now;
  reports_[broker] = std::move(report);
}

ZoneHealthView ZoneHealthEvaluator::evaluate(Time now) const {
  ZoneHealthView view;
  std::map<std::string, const ZoneReport*> fresh;
  for (const auto& [broker, report] : reports_)
    if (now - report.received_at <= options_.max_report_age) fresh[broker] = &report;
  // A broker is faulty if it finds every zone bad and most others that see these zones find them good.
  // Without this check one broker with a broken network interface would empty a healthy zone.
  // By zone: the brokers that see it, and those of them that find it good.
  std::map<std::string, std::pair<int, int>> verdicts;
  for (const auto& [broker, report] : fresh)
    for (const auto& [zone, stats] : report->zones)
      if (const StatsSum sum(options_.min_attempts_per_second, stats); sum.has_evidence()) {
        ++verdicts[zone].first;
        verdicts[zone].second += sum.lost_share() < options_.partial_loss_share;
      }
  for (const auto& [broker, report] : fresh) {
    int bad = 0;
    int seen = 0;
    for (const auto& [zone, stats] : report->zones) {
      const StatsSum sum(options_.min_attempts_per_second, stats);
      if (!sum.has_evidence()) continue;
      ++seen;
      if (sum.lost_share() < options_.partial_loss_share) continue;
      const auto& [all, good] = verdicts[zone];
      bad += 2 * good > all - 1;
    }
    if (seen >= 2 && bad == seen) view.outvoted_brokers.push_back(broker);
  }
  for (const auto& broker : view.outvoted_brokers) fresh.erase(broker);

  // The sums over the brokers of a home zone, by home zone and observed zone.
  std::map<std::pair<std::string, std::string>, StatsSum> sums;
  std::map<std::string, std::vector<double>> endpoints;
  std::map<std::string, std::vector<double>> capacities;
  for (const auto& [broker, report] : fresh) {
    ZoneHealth& home = view.zones[report->home_zone];
    home.demand_per_second += report->demand_per_second;
    home.remote_only_demand_per_second += report->remote_only_demand_per_second;
    ++home.reporting_brokers;
    for (const auto& [zone, stats] : report->zones) {
      view.zones[zone].load_per_second += stats.load_per_second;
      endpoints[zone].push_back(stats.endpoints_in_service);
      capacities[zone].push_back(stats.capacity_per_second);
      sums.try_emplace({report->home_zone, zone}, options_.min_attempts_per_second).first->second.add(stats);
    }
  }
  const auto sum_of = [&](const std::string& from, const std::string& to) -> const StatsSum* {
    const auto it = sums.find({from, to});
    return it == sums.end() || !it->second.has_evidence() ? nullptr : &it->second;
  };
  std::map<std::string, double> local_latency;  // of each zone as its own brokers measure it
  for (const auto& [zone, health] : view.zones)
    if (const StatsSum* sum = sum_of(zone, zone); sum && sum->has_enough_attempts() && sum->responses > 0)
      local_latency[zone] = sum->latency_seconds / sum->responses;

  for (auto& [zone, health] : view.zones) {
    health.endpoints_in_service = static_cast<int>(median(endpoints[zone]));
    health.capacity_per_second = median(capacities[zone]);
    const StatsSum* own = sum_of(zone, zone);
    // Numbers of zones whose brokers see this zone, and whose brokers find it dead, bad, full or alive.
    int see = 0;
    int find_dead = 0;
    int find_bad = 0;
    int find_full = 0;
    int find_alive = 0;
    for (const auto& [home, ignored] : view.zones) {
      const StatsSum* sum = sum_of(home, zone);
      if (!sum) continue;
      ++see;
      find_dead += sum->lost_share() >= options_.dead_loss_share;
      find_bad += sum->lost_share() >= options_.partial_loss_share;
      find_full += sum->rejected_share() >= options_.overload_rejected_share;
      // Only enough recent attempts prove that a zone is alive; a good result some time ago proves nothing.
      find_alive += sum->has_enough_attempts() && sum->lost / sum->attempts < options_.dead_loss_share;
    }
    if (see == 0) continue;  // the status stays kUnknown
    const double own_lost_share = own ? own->lost_share() : 2 * find_bad > see ? 1 : 0;
    const double own_rejected_share = own ? own->rejected_share() : 0;
    if (own_lost_share >= options_.dead_loss_share && find_alive == 0 && (own || 2 * find_dead > see)) {
      health.status = ZoneStatus::kDead;
      health.sustainable_share = 0;
      health.reason =
          formatted("%.0f of %.0f zones that see it lose most of their parts there", find_dead, see);
      continue;
    }
    for (const auto& [home, ignored] : view.zones) {
      const StatsSum* sum = sum_of(home, zone);
      if (sum && home != zone && sum->lost_share() >= options_.dead_loss_share)
        view.broken_links.insert({home, zone});
    }
    // A zone is slow only in comparison: if all zones are slow, moving its traffic would not help.
    std::vector<double> other_latencies;
    for (const auto& [name, latency] : local_latency)
      if (name != zone) other_latencies.push_back(latency);
    const double usual_latency = median(other_latencies);
    const double own_latency = local_latency.count(zone) ? local_latency[zone] : 0;
    if (own && own_lost_share >= options_.partial_loss_share) {
      health.status = ZoneStatus::kPartial;
      health.sustainable_share = 1 - own_lost_share;
      health.reason =
          formatted("%.0f%% of the parts or hosts of its own brokers are lost; %.0f zones find it bad",
                    100 * own_lost_share, find_bad);
    } else if (own_rejected_share >= options_.overload_rejected_share || (!own && 2 * find_full > see)) {
      health.status = ZoneStatus::kOverloaded;
      health.sustainable_share = 1 - own_rejected_share;
      health.reason = formatted("its hosts turn %.0f%% of the parts away; %.0f zones say so",
                                100 * own_rejected_share, find_full);
    } else if (health.capacity_per_second > 0 &&
               health.load_per_second > options_.overload_capacity_share * health.capacity_per_second) {
      health.status = ZoneStatus::kOverloaded;
      health.sustainable_share =
          options_.overload_capacity_share * health.capacity_per_second / health.load_per_second;
      health.reason = formatted("%.0f parts a second come to what bears %.0f", health.load_per_second,
                                health.capacity_per_second);
    } else if (usual_latency > 0 && own_latency > options_.overload_latency_ratio * usual_latency) {
      health.status = ZoneStatus::kOverloaded;
      health.sustainable_share =
          std::max(kMinSlowSustainableShare, usual_latency * options_.overload_latency_ratio / own_latency);
      health.reason =
          formatted("%.1f ms a part where other zones take %.1f", 1000 * own_latency, 1000 * usual_latency);
    } else if (own || see > static_cast<int>(view.broken_links.size())) {
      health.status = ZoneStatus::kGood;
      health.reason = formatted("%.0f%% lost, %.0f zones see it", 100 * own_lost_share, see);
    }
  }
  return view;
}

}  // namespace cairnhub::zone_failover
