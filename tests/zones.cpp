// Tests zone health and the traffic split without processes. The split is compared with the optimum that a
// linear programming solver (GLPK) finds.
#include <glpk.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>

#include "zone_failover/traffic_split.h"
#include "zone_failover/zone_failover.h"
#include "zone_failover/zone_health.h"
#include "zone_failover/zone_report.h"

using namespace cairnhub;
using namespace cairnhub::zone_failover;

namespace {

// Changes what one broker measured of one zone.
using Change =
    std::function<void(int broker, const std::string& home, const std::string& zone, ZoneStats& stats)>;

// Returns the health view from the reports of twelve brokers in three zones, each changed by `change`.
// Brokers for which `reports` is false send none.
ZoneHealthView health_after(
    const Change& change, const std::function<bool(int)>& reports = [](int) { return true; }) {
  ZoneHealthEvaluator evaluator(ZoneHealthOptions{});
  const char* names[] = {"a", "b", "c"};
  for (int i = 0; i < 12; ++i) {
    if (!reports(i)) continue;
    ZoneReport report;
    report.home_zone = names[i % 3];
    report.demand_per_second = 100;
    for (const char* zone : names) {
      ZoneStats stats;
      stats.attempts_per_second = stats.load_per_second = report.home_zone == zone ? 98 : 1;
      stats.endpoints_in_service = 10;
      stats.endpoints_tried = report.home_zone == zone ? 10 : 2;
      stats.capacity_per_second = 600;
      stats.mean_latency_seconds = 0.004;
      stats.responses_per_second = stats.attempts_per_second;
      change(i, report.home_zone, zone, stats);
      report.zones[zone] = stats;
    }
    evaluator.add_report(kSecond, "b" + std::to_string(i), *decode(encode(report)));
  }
  return evaluator.evaluate(kSecond + kSecond / 2);
}

void print_view(const char* scenario, const ZoneHealthView& view) {
  std::printf("%s\n", scenario);
  for (const auto& [zone, health] : view.zones)
    std::printf("  %s looks %s%s%s\n", zone.c_str(), name_of(health.status),
                health.reason.empty() ? "" : ": ", health.reason.c_str());
  for (const auto& [from, to] : view.broken_links)
    std::printf("  cut from %s to %s\n", from.c_str(), to.c_str());
  for (const auto& broker : view.outvoted_brokers) std::printf("  outvoted: %s\n", broker.c_str());
}

void lose_share(ZoneStats& stats, double share) {
  stats.lost_per_second = share * stats.attempts_per_second;
  stats.responses_per_second = stats.attempts_per_second - stats.lost_per_second;
}

int test_health() {
  print_view("all is well", health_after([](int, const auto&, const auto&, ZoneStats&) {}));
  print_view("the hosts of a are dead, and hardly asked any more",
             health_after([](int, const auto&, const auto& zone, ZoneStats& stats) {
               if (zone == "a") {
                 // Endpoints that lose their attempts get hardly any more.
                 stats.attempts_per_second = stats.lost_per_second = 0.5;
                 stats.responses_per_second = 0;
                 stats.endpoints_down = stats.endpoints_tried;
               }
             }));
  print_view("a is lost whole, its brokers with it",
             health_after(
                 [](int, const auto&, const auto& zone, ZoneStats& stats) {
                   if (zone == "a") {
                     stats.attempts_per_second = stats.lost_per_second = 0.5;
                     stats.responses_per_second = 0;
                     stats.endpoints_down = stats.endpoints_tried;
                   }
                 },
                 [](int i) { return i % 3 != 0; }));
  print_view("the link from b to a is cut",
             health_after([](int, const auto& home, const auto& zone, ZoneStats& stats) {
               if (home == "b" && zone == "a") {
                 stats.attempts_per_second = 0.5;
                 stats.responses_per_second = 0;
                 stats.endpoints_down = stats.endpoints_tried;
               }
             }));
  print_view("three in ten parts at a are lost",
             health_after([](int, const auto&, const auto& zone, ZoneStats& stats) {
               if (zone == "a") lose_share(stats, 0.3);
             }));
  // Every broker tried one endpoint in its home zone; `brokers` of those in a lost that attempt.
  const auto lost_last_attempt = [](int brokers) {
    return [brokers](int broker, const auto& home, const auto& zone, ZoneStats& stats) {
      stats.endpoints_tried = home == zone ? 1 : 0;
      if (zone == "a" && home == "a" && broker < 3 * brokers) stats.endpoints_down = 1;
    };
  };
  print_view("one broker lost the last part at its one host in a", health_after(lost_last_attempt(1)));
  print_view("two brokers did", health_after(lost_last_attempt(2)));
  print_view("a is given more than it does, and its hosts say so",
             health_after([](int, const auto& home, const auto& zone, ZoneStats& stats) {
               if (zone == "a" && home == "a") {
                 stats.rejected_per_second = 0.2 * stats.attempts_per_second;
                 stats.responses_per_second = 0.8 * stats.attempts_per_second;
               }
             }));
  print_view("a is slow, the others are not",
             health_after([](int, const auto&, const auto& zone, ZoneStats& stats) {
               if (zone == "a") stats.mean_latency_seconds = 0.04;
             }));
  print_view("all are slow alike: nowhere is better",
             health_after(
                 [](int, const auto&, const auto&, ZoneStats& stats) { stats.mean_latency_seconds = 0.04; }));
  print_view("b3 is ill itself: it loses what it sends to any",
             health_after([](int i, const auto&, const auto&, ZoneStats& stats) {
               if (i == 3) {
                 lose_share(stats, 0.9);
                 stats.endpoints_down = stats.endpoints_tried;
               }
             }));
  print_view("half of a's hosts are gone from the list, the others bear it no more",
             health_after([](int, const auto& home, const auto& zone, ZoneStats& stats) {
               if (zone == "a") {
                 stats.endpoints_in_service = 3;
                 stats.capacity_per_second = 180;
                 stats.load_per_second = home == "a" ? 98 : 1;
               }
             }));
  // Invalid reports are rejected, and the number of zones in one is bounded.
  ZoneReport report;
  report.home_zone = "a";
  for (int i = 0; i < 100; ++i) report.zones["z" + std::to_string(i)] = {};
  std::printf("a report of 100 zones: %s; of bytes that are none: %s\n",
              decode(encode(report)) ? "TAKEN" : "not taken", decode("\x08\xff\xff") ? "TAKEN" : "not taken");
  report.zones.clear();
  report.zones["a"].attempts_per_second = -1;
  std::printf("one of a rate below nothing: %s\n", decode(encode(report)) ? "TAKEN" : "not taken");
  return 0;
}

std::vector<ZoneTraffic> random_zones(std::mt19937& random, int n) {
  const auto unit = [&] { return std::uniform_real_distribution<double>()(random); };
  std::vector<ZoneTraffic> zones;
  for (int i = 0; i < n; ++i) {
    ZoneTraffic zone;
    zone.zone = "z" + std::to_string(i);
    zone.region = "r" + std::to_string(i * 3 / n);
    zone.capacity_per_second = 500 + 1000 * unit();
    zone.demand_per_second = zone.capacity_per_second * (0.4 + 0.5 * unit());
    zone.local_share = unit() < 0.25 ? (unit() < 0.5 ? 0 : 0.5) : 1;
    zone.accepts_remote_traffic = zone.local_share >= 1;
    zones.push_back(zone);
  }
  return zones;
}

struct Optimum {
  double moved;
  double cross_region;  // part of `moved`
};

// Solves the placement of the excess as a linear program that moves as much as possible and prefers the own
// region.
Optimum solve(const std::vector<ZoneTraffic>& zones, const BrokenLinks& broken_links,
              const TrafficSplitOptions& options) {
  double total_demand = 0;
  for (const ZoneTraffic& zone : zones) total_demand += zone.demand_per_second;
  const int n = static_cast<int>(zones.size());
  glp_prob* problem = glp_create_prob();
  glp_set_obj_dir(problem, GLP_MAX);
  glp_add_rows(problem, 2 * n);
  std::vector<int> rows{0};
  std::vector<int> columns{0};
  std::vector<double> ones{0};
  for (int z = 0; z < n; ++z) {
    const ZoneTraffic& zone = zones[static_cast<std::size_t>(z)];
    const double excess = zone.demand_per_second * (1 - zone.local_share);
    const double spare = !zone.accepts_remote_traffic
                             ? 0
                             : std::max(0.0, (1 - options.headroom_share) * zone.capacity_per_second -
                                                 zone.demand_per_second * zone.local_share -
                                                 options.min_share_thousandths / 1000.0 *
                                                     (total_demand - zone.demand_per_second));
    glp_set_row_bnds(problem, z + 1, GLP_UP, 0, excess);
    glp_set_row_bnds(problem, n + z + 1, GLP_UP, 0, spare);
  }
  for (int h = 0; h < n; ++h)
    for (int t = 0; t < n; ++t) {
      const ZoneTraffic& from = zones[static_cast<std::size_t>(h)];
      const ZoneTraffic& to = zones[static_cast<std::size_t>(t)];
      if (h == t || !to.accepts_remote_traffic || broken_links.count({from.zone, to.zone})) continue;
      const int column = glp_add_cols(problem, 1);
      glp_set_col_bnds(problem, column, GLP_LO, 0, 0);
      glp_set_obj_coef(problem, column, from.region == to.region ? 1 : 0.99);
      for (const int row : {h + 1, n + t + 1}) {
        rows.push_back(row);
        columns.push_back(column);
        ones.push_back(1);
      }
    }
  glp_load_matrix(problem, static_cast<int>(rows.size()) - 1, rows.data(), columns.data(), ones.data());
  glp_smcp parameters;
  glp_init_smcp(&parameters);
  parameters.msg_lev = GLP_MSG_OFF;
  glp_simplex(problem, &parameters);
  Optimum optimum{0, 0};
  int column = 0;
  for (int h = 0; h < n; ++h)
    for (int t = 0; t < n; ++t) {
      const ZoneTraffic& from = zones[static_cast<std::size_t>(h)];
      const ZoneTraffic& to = zones[static_cast<std::size_t>(t)];
      if (h == t || !to.accepts_remote_traffic || broken_links.count({from.zone, to.zone})) continue;
      const double flow = glp_get_col_prim(problem, ++column);
      optimum.moved += flow;
      optimum.cross_region += from.region == to.region ? 0 : flow;
    }
  glp_delete_prob(problem);
  return optimum;
}

// No zone may get more than its spare, even if every other zone uses its full share; and the split must move
// nearly as much as the solver does.
int test_split(int seeds) {
  for (const int n : {3, 12, 60}) {
    double worst_gap = 0;
    double gap_sum = 0;
    double extra_cross_region = 0;
    double our_seconds = 0;
    double solver_seconds = 0;
    int above_spare = 0;
    int below_minimum = 0;
    const int runs = n == 60 ? std::max(1, seeds / 10) : seeds;
    for (int seed = 1; seed <= runs; ++seed) {
      std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
      const auto zones = random_zones(random, n);
      BrokenLinks broken_links;
      for (int k = 0; k < n / 3; ++k)
        broken_links.insert({zones[random() % zones.size()].zone, zones[random() % zones.size()].zone});
      const TrafficSplitOptions options{0.1, 10};
      const auto started_at = std::chrono::steady_clock::now();
      const TrafficSplit split = split_traffic(zones, broken_links, options);
      const auto split_at = std::chrono::steady_clock::now();
      const Optimum optimum = solve(zones, broken_links, options);
      const auto solved_at = std::chrono::steady_clock::now();
      our_seconds += std::chrono::duration<double>(split_at - started_at).count();
      solver_seconds += std::chrono::duration<double>(solved_at - split_at).count();
      double moved = 0;
      double cross_region = 0;
      double total_demand = 0;
      std::map<std::string, const ZoneTraffic*> by_name;
      for (const ZoneTraffic& zone : zones) {
        by_name[zone.zone] = &zone;
        total_demand += zone.demand_per_second;
      }
      for (const auto& [pair, flow] : split.planned_per_second) {
        moved += flow;
        if (by_name[pair.first]->region != by_name[pair.second]->region) cross_region += flow;
      }
      if (optimum.moved > 0) {
        const double gap = 1 - moved / optimum.moved;
        worst_gap = std::max(worst_gap, gap);
        gap_sum += gap;
        extra_cross_region += (cross_region - optimum.cross_region) / optimum.moved;
      }
      for (const ZoneTraffic& to : zones) {
        double inflow = 0;
        for (const ZoneTraffic& from : zones) {
          if (from.zone == to.zone) continue;
          const int share = split.shares.thousandths(from.zone, to.zone);
          below_minimum += share < options.min_share_thousandths;
          const bool is_open = to.accepts_remote_traffic && !broken_links.count({from.zone, to.zone});
          inflow += from.demand_per_second * (share - (is_open ? 0 : options.min_share_thousandths)) / 1000.0;
        }
        const double room =
            (1 - options.headroom_share) * to.capacity_per_second - to.demand_per_second * to.local_share;
        // The minimum share is allowed even to a zone without room for it.
        if (to.accepts_remote_traffic && inflow > std::max(room, options.min_share_thousandths / 1000.0 *
                                                                     (total_demand - to.demand_per_second)) +
                                                      1e-6)
          ++above_spare;
      }
    }
    std::printf(
        "%d zones: given more than can be spared %d, less than the ground %d; moves %s of what a solver "
        "does\n",
        n, above_spare, below_minimum,
        worst_gap < 0.02  ? "at least 98%"
        : worst_gap < 0.1 ? "at least 90%"
                          : "LESS THAN 90%");
    if (std::getenv("SHOW"))
      std::printf("  [gap %.4f mean, %.4f worst; further away by %.4f; %.1f us against %.1f us]\n",
                  gap_sum / runs, worst_gap, extra_cross_region / runs, 1e6 * our_seconds / runs,
                  1e6 * solver_seconds / runs);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string test = argc > 1 ? argv[1] : "";
  if (test == "evidence") return test_health();
  if (test == "shares") return test_split(argc > 2 ? std::atoi(argv[2]) : 200);
  std::printf("zones evidence|shares [SEEDS]\n");
  return 2;
}
