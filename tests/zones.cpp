// Stories of zones without processes: what evidence tells apart, and how shares are filled, held against a
// solver (GLPK).
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

// Twelve brokers in three zones, each with its reading of each zone, changed by `how`.
using Change = std::function<void(int broker, const std::string& home, const std::string& zone, Reading& r)>;

View seen(
    const Change& how, const std::function<bool(int)>& reports = [](int) { return true; }) {
  Evidence e(EvidenceTerms{});
  const char* names[] = {"a", "b", "c"};
  for (int i = 0; i < 12; ++i) {
    if (!reports(i)) continue;
    Report r;
    r.home = names[i % 3], r.wanted = 100;
    for (const char* zone : names) {
      Reading x;
      x.sent = x.load = r.home == zone ? 98 : 1;
      x.hosts = 10, x.tried = r.home == zone ? 10 : 2, x.capacity = 600, x.latency = 0.004,
      x.returned = x.sent;
      how(i, r.home, zone, x);
      r.zones[zone] = x;
    }
    e.heard(kSecond, "b" + std::to_string(i), *decode(encode(r)));
  }
  return e.look(kSecond + kSecond / 2);
}

void show(const char* what, const View& v) {
  std::printf("%s\n", what);
  for (const auto& [zone, z] : v.zones)
    std::printf("  %s looks %s%s%s\n", zone.c_str(), name_of(z.look), z.why.empty() ? "" : ": ",
                z.why.c_str());
  for (const auto& [from, to] : v.cut) std::printf("  cut from %s to %s\n", from.c_str(), to.c_str());
  for (const auto& b : v.outvoted) std::printf("  outvoted: %s\n", b.c_str());
}

void lose(Reading& r, double share) { r.lost = share * r.sent, r.returned = r.sent - r.lost; }

int evidence() {
  show("all is well", seen([](int, const auto&, const auto&, Reading&) {}));
  show("the hosts of a are dead, and hardly asked any more",
       seen([](int, const auto&, const auto& zone, Reading& r) {
         if (zone == "a") r.sent = r.lost = 0.5, r.returned = 0, r.down = r.tried;
       }));
  show("a is lost whole, its brokers with it", seen(
                                                   [](int, const auto&, const auto& zone, Reading& r) {
                                                     if (zone == "a")
                                                       r.sent = r.lost = 0.5, r.returned = 0,
                                                       r.down = r.tried;
                                                   },
                                                   [](int i) { return i % 3 != 0; }));
  show("the link from b to a is cut", seen([](int, const auto& home, const auto& zone, Reading& r) {
         if (home == "b" && zone == "a") r.sent = 0.5, r.returned = 0, r.down = r.tried;
       }));
  show("three in ten parts at a are lost", seen([](int, const auto&, const auto& zone, Reading& r) {
         if (zone == "a") lose(r, 0.3);
       }));
  const auto few = [](int lose) {
    return [lose](int broker, const auto& home, const auto& zone, Reading& r) {
      r.tried = home == zone ? 1 : 0;
      if (zone == "a" && home == "a" && broker < 3 * lose) r.down = 1;
    };
  };
  show("one broker lost the last part at its one host in a", seen(few(1)));
  show("two brokers did", seen(few(2)));
  show("a is given more than it does, and its hosts say so",
       seen([](int, const auto& home, const auto& zone, Reading& r) {
         if (zone == "a" && home == "a") r.refused = 0.2 * r.sent, r.returned = 0.8 * r.sent;
       }));
  show("a is slow, the others are not", seen([](int, const auto&, const auto& zone, Reading& r) {
         if (zone == "a") r.latency = 0.04;
       }));
  show("all are slow alike: nowhere is better",
       seen([](int, const auto&, const auto&, Reading& r) { r.latency = 0.04; }));
  show("b3 is ill itself: it loses what it sends to any",
       seen([](int i, const auto&, const auto&, Reading& r) {
         if (i == 3) lose(r, 0.9), r.down = r.tried;
       }));
  show("half of a's hosts are gone from the list, the others bear it no more",
       seen([](int, const auto& home, const auto& zone, Reading& r) {
         if (zone == "a") r.hosts = 3, r.capacity = 180, r.load = home == "a" ? 98 : 1;
       }));
  // What can't be used is none; a flood of names is bounded.
  Report r;
  r.home = "a";
  for (int i = 0; i < 100; ++i) r.zones["z" + std::to_string(i)] = {};
  std::printf("a report of 100 zones: %s; of bytes that are none: %s\n",
              decode(encode(r)) ? "TAKEN" : "not taken", decode("\x08\xff\xff") ? "TAKEN" : "not taken");
  r.zones.clear();
  r.zones["a"].sent = -1;
  std::printf("one of a rate below nothing: %s\n", decode(encode(r)) ? "TAKEN" : "not taken");
  return 0;
}

std::vector<Place> places_of(std::mt19937& chance, int n) {
  const auto unit = [&] { return std::uniform_real_distribution<double>()(chance); };
  std::vector<Place> all;
  for (int i = 0; i < n; ++i) {
    Place p;
    p.zone = "z" + std::to_string(i), p.region = "r" + std::to_string(i * 3 / n);
    p.capacity = 500 + 1000 * unit();
    p.wanted = p.capacity * (0.4 + 0.5 * unit());
    p.share = unit() < 0.25 ? (unit() < 0.5 ? 0 : 0.5) : 1;
    p.takes_in = p.share >= 1;
    all.push_back(p);
  }
  return all;
}

// The most that can be moved, the own region before others, as a linear program.
struct Best {
  double moved, cost;
};
Best solve(const std::vector<Place>& places, const Cut& cut, const FillTerms& terms) {
  double all = 0;
  for (const Place& p : places) all += p.wanted;
  const int n = static_cast<int>(places.size());
  glp_prob* lp = glp_create_prob();
  glp_set_obj_dir(lp, GLP_MAX);
  glp_add_rows(lp, 2 * n);
  std::vector<int> rows{0}, columns{0};
  std::vector<double> ones{0};
  for (int z = 0; z < n; ++z) {
    const Place& p = places[static_cast<std::size_t>(z)];
    const double excess = p.wanted * (1 - p.share);
    const double spare = !p.takes_in ? 0
                                     : std::max(0.0, (1 - terms.headroom) * p.capacity - p.wanted * p.share -
                                                         terms.ground / 1000.0 * (all - p.wanted));
    glp_set_row_bnds(lp, z + 1, GLP_UP, 0, excess);
    glp_set_row_bnds(lp, n + z + 1, GLP_UP, 0, spare);
  }
  for (int h = 0; h < n; ++h)
    for (int t = 0; t < n; ++t) {
      const Place &from = places[static_cast<std::size_t>(h)], &to = places[static_cast<std::size_t>(t)];
      if (h == t || !to.takes_in || cut.count({from.zone, to.zone})) continue;
      const int c = glp_add_cols(lp, 1);
      glp_set_col_bnds(lp, c, GLP_LO, 0, 0);
      glp_set_obj_coef(lp, c, from.region == to.region ? 1 : 0.99);
      for (const int row : {h + 1, n + t + 1}) rows.push_back(row), columns.push_back(c), ones.push_back(1);
    }
  glp_load_matrix(lp, static_cast<int>(rows.size()) - 1, rows.data(), columns.data(), ones.data());
  glp_smcp how;
  glp_init_smcp(&how);
  how.msg_lev = GLP_MSG_OFF;
  glp_simplex(lp, &how);
  Best best{0, 0};
  int c = 0;
  for (int h = 0; h < n; ++h)
    for (int t = 0; t < n; ++t) {
      const Place &from = places[static_cast<std::size_t>(h)], &to = places[static_cast<std::size_t>(t)];
      if (h == t || !to.takes_in || cut.count({from.zone, to.zone})) continue;
      const double x = glp_get_col_prim(lp, ++c);
      best.moved += x, best.cost += from.region == to.region ? 0 : x;
    }
  glp_delete_prob(lp);
  return best;
}

// No zone is ever given more than it can spare, whoever uses all that he may; and what is moved is as much as
// a solver finds, nearly.
int shares(int seeds) {
  for (const int n : {3, 12, 60}) {
    double worst = 0, sum = 0, further = 0, ours = 0, theirs = 0;
    int over = 0, below = 0;
    for (int seed = 1; seed <= (n == 60 ? std::max(1, seeds / 10) : seeds); ++seed) {
      std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
      const auto places = places_of(chance, n);
      Cut cut;
      for (int k = 0; k < n / 3; ++k)
        cut.insert({places[chance() % places.size()].zone, places[chance() % places.size()].zone});
      const FillTerms terms{0.1, 10};
      const auto t0 = std::chrono::steady_clock::now();
      const Filled f = fill(places, cut, terms);
      const auto t1 = std::chrono::steady_clock::now();
      const Best best = solve(places, cut, terms);
      const auto t2 = std::chrono::steady_clock::now();
      ours += std::chrono::duration<double>(t1 - t0).count(),
          theirs += std::chrono::duration<double>(t2 - t1).count();
      double moved = 0, crossed = 0, all = 0;
      std::map<std::string, const Place*> by_name;
      for (const Place& p : places) by_name[p.zone] = &p, all += p.wanted;
      for (const auto& [pair, flow] : f.flow) {
        moved += flow;
        if (by_name[pair.first]->region != by_name[pair.second]->region) crossed += flow;
      }
      if (best.moved > 0) {
        const double gap = 1 - moved / best.moved;
        worst = std::max(worst, gap), sum += gap;
        further += (crossed - best.cost) / best.moved;
      }
      for (const Place& t : places) {
        double in = 0;
        for (const Place& h : places) {
          if (h.zone == t.zone) continue;
          const int most = f.shares.thousandths(h.zone, t.zone);
          below += most < terms.ground;
          in += h.wanted * (most - (t.takes_in && !cut.count({h.zone, t.zone}) ? 0 : terms.ground)) / 1000.0;
        }
        const double room = (1 - terms.headroom) * t.capacity - t.wanted * t.share;
        // A zone without room for the ground gets the ground all the same: it is everyone's.
        if (t.takes_in && in > std::max(room, terms.ground / 1000.0 * (all - t.wanted)) + 1e-6) ++over;
      }
    }
    const int plays = n == 60 ? std::max(1, seeds / 10) : seeds;
    std::printf(
        "%d zones: given more than can be spared %d, less than the ground %d; moves %s of what a solver "
        "does\n",
        n, over, below,
        worst < 0.02  ? "at least 98%"
        : worst < 0.1 ? "at least 90%"
                      : "LESS THAN 90%");
    if (std::getenv("SHOW"))
      std::printf("  [gap %.4f mean, %.4f worst; further away by %.4f; %.1f us against %.1f us]\n",
                  sum / plays, worst, further / plays, 1e6 * ours / plays, 1e6 * theirs / plays);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string story = argc > 1 ? argv[1] : "";
  if (story == "evidence") return evidence();
  if (story == "shares") return shares(argc > 2 ? std::atoi(argv[2]) : 200);
  std::printf("zones evidence|shares [SEEDS]\n");
  return 2;
}
