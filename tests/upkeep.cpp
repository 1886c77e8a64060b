// The book of works, its plan, and the plan against a solver. Stories print a short trace; `random SEEDS`
// plays drawn operations against the invariants; `sizes` is a measurement.
#include <glpk.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include "cluster/work_world.h"
#include "maintenance/job_scheduler.h"
#include "maintenance/maintenance_controller.h"

using namespace cairnhub;
using namespace cairnhub::maintenance;

namespace {

Facts fleet(int nodes, int width, int zones = 1) {
  Facts f;
  f.cells = nodes, f.width = width;
  for (int i = 0; i < nodes; ++i)
    f.nodes["s-" + std::to_string(i)] = {i, "z" + std::to_string(i % zones), true, true};
  for (int z = 0; z < zones; ++z) f.zones["z" + std::to_string(z)].region = "r" + std::to_string(z % 2);
  f.terms = {2, 3, 3, 3, 3, 0.5, 0.1, 600 * kSecond, 60 * kSecond, true};
  f.voters = {"b0", "b1", "b2"};
  return f;
}

struct Desk {
  shared_config::VersionHistory book{std::make_shared<Works>()};
  Time wall = 1'000'000 * kSecond;
  const Works& works() const { return static_cast<const Works&>(*book.state_machine()); }
  shared_config::ApplyResult say(Op op, const std::string& who = "ann") {
    shared_config::ConfigEntry e;
    e.kind = shared_config::ConfigEntry::Kind::kStateMachine, e.who = who, e.why = "story";
    op.at = wall;
    e.text = encode(op);
    return book.apply(e);
  }
  void facts(const Facts& f) {
    Op op;
    op.facts = f;
    say(op, "upkeep");
  }
  shared_config::ApplyResult ask(const std::string& machine, std::vector<std::string> nodes,
                                 Time length = 1800 * kSecond, Time latest = kNever, int priority = 0) {
    Op op;
    op.request.emplace();
    op.request->machine = machine, op.request->nodes = std::move(nodes), op.request->length = length;
    op.request->latest = latest, op.request->priority = priority;
    return say(op);
  }
  shared_config::ApplyResult step(std::uint64_t work, Step to) {
    const auto it = works().all().find(work);
    Op op;
    op.step = Op::Move{work, it == works().all().end() ? Step::queued : it->second.step, to};
    return say(op, "upkeep");
  }
};

void show(const char* what, const shared_config::ApplyResult& v) {
  std::printf("%s: %s\n", what,
              v.number ? ("taken, " + std::to_string(v.number)).c_str() : v.rejection.c_str());
}

void board() {
  Desk d;
  show("before anything is known", d.ask("m0", {"s-0"}));
  d.facts(fleet(12, 3, 3));
  show("m0", d.ask("m0", {"s-0"}));
  show("m1, which shares shards with it", d.ask("m1", {"s-1"}));
  show("m6, which doesn't", d.ask("m6", {"s-6"}));
  show("m0 drains", d.step(1, Step::draining));
  show("m1 drains", d.step(2, Step::draining));
  show("m6 drains", d.step(3, Step::draining));
  show("m6 at work at once", d.step(3, Step::at_work));
  show("m0 empty", d.step(1, Step::empty));
  Op hold;
  hold.hold = 1;
  show("held by an operator", d.say(hold));
  show("m0 at work", d.step(1, Step::at_work));
  Op resume;
  resume.resume = 1;
  show("resumed", d.say(resume));
  show("m0 at work", d.step(1, Step::at_work));
  Op cancel;
  cancel.cancel = 1;
  show("cancelled at work", d.say(cancel));
  Facts f = fleet(12, 3, 3);
  f.zones["z0"].near = false;
  d.facts(f);
  show("m3 of a zone in failover", d.ask("m3", {"s-3"}));
  show("m3 drains", d.step(4, Step::draining));
  f = fleet(12, 3, 3);
  f.nodes["s-8"].ready = false;
  d.facts(f);
  show("m9, a holder of its shards being down", d.ask("m9", {"s-9"}));
  show("m9 drains", d.step(5, Step::draining));
  Op done;
  done.done = 1;
  show("m0 is back", d.say(done));
  show("in service", d.step(1, Step::done));
  show("m1 drains", d.step(2, Step::draining));
  const auto kept = std::static_pointer_cast<const Works>(Works().restore(d.works().snapshot()));
  std::printf("kept and taken up again: %s\n",
              kept && kept->snapshot() == d.works().snapshot() ? "the same" : "NOT the same");
  std::printf(
      "a torn snapshot: %s\n",
      Works().restore(d.works().snapshot().substr(0, d.works().snapshot().size() - 3)) ? "TAKEN" : "refused");
  Op nothing;
  show("an entry that says nothing", d.say(nothing));
}

// Two works that share shards, one with a deadline, one that matters more.
void planned() {
  Desk d;
  d.facts(fleet(12, 3, 3));
  d.ask("late", {"s-0"}, 600 * kSecond);
  d.ask("due", {"s-1"}, 600 * kSecond, d.wall + 800 * kSecond);
  d.ask("other", {"s-6"}, 600 * kSecond);
  d.ask("more", {"s-7"}, 600 * kSecond, kNever, 5);
  for (const Planned& p : plan(d.works(), d.wall))
    std::printf("%s after %lld s%s\n", d.works().all().at(p.work).request.machine.c_str(),
                static_cast<long long>((p.start - d.wall) / kSecond), p.in_time ? "" : ", too late");
  show("one that would make it late", d.ask("thief", {"s-2"}, 600 * kSecond, d.wall + 700 * kSecond));
}

// ---- The plan against a solver ----

struct Case {
  std::vector<Job> jobs;
  Bounds bounds;
};
Case drawn(std::mt19937& chance, int n) {
  Case c;
  const auto below = [&](unsigned k) { return static_cast<int>(chance() % k); };
  c.bounds.at_once = 1 + below(3), c.bounds.a_rack = c.bounds.a_region = 100;
  c.bounds.a_zone = 1 + below(2), c.bounds.voters = 1, c.bounds.zone_nodes = {100, 100};
  for (int i = 0; i < n; ++i) {
    Job j;
    j.id = static_cast<std::uint64_t>(i + 1), j.length = (1 + below(3)) * kSecond, j.zone = below(2),
    j.nodes = 1;
    const int first = below(10);
    for (int s = 0; s < 3; ++s) j.shards.push_back((first + s) % 10);
    std::sort(j.shards.begin(), j.shards.end());
    c.jobs.push_back(std::move(j));
  }
  return c;
}
bool clash(const Job& a, const Job& b) {
  return std::any_of(a.shards.begin(), a.shards.end(),
                     [&](int s) { return std::binary_search(b.shards.begin(), b.shards.end(), s); });
}

// The shortest whole time, in slots of a second, by the solver: a start for each work, none in the way of
// another.
int shortest(const Case& c, int horizon) {
  const int n = static_cast<int>(c.jobs.size());
  glp_prob* p = glp_create_prob();
  glp_set_obj_dir(p, GLP_MIN);
  glp_add_cols(p, n * horizon + 1);
  const auto col = [&](int j, int t) { return j * horizon + t + 1; };
  const int end = n * horizon + 1;
  const auto length = [&](int j) {
    return static_cast<int>(c.jobs[static_cast<std::size_t>(j)].length / kSecond);
  };
  for (int i = 1; i < end; ++i) glp_set_col_kind(p, i, GLP_BV);
  for (int j = 0; j < n; ++j)
    for (int t = 0; t < horizon; ++t)
      if (t + length(j) > horizon) glp_set_col_bnds(p, col(j, t), GLP_FX, 0, 0);
  glp_set_col_bnds(p, end, GLP_LO, 0, 0);
  glp_set_obj_coef(p, end, 1);
  const auto row = [&](const std::vector<std::pair<int, double>>& terms, int type, double bound) {
    std::vector<int> at{0};
    std::vector<double> of{0};
    for (const auto& [i, v] : terms) at.push_back(i), of.push_back(v);
    const int r = glp_add_rows(p, 1);
    glp_set_row_bnds(p, r, type, bound, bound);
    glp_set_mat_row(p, r, static_cast<int>(terms.size()), at.data(), of.data());
  };
  const auto covering = [&](int j, int t, std::vector<std::pair<int, double>>& into) {
    for (int s = std::max(0, t - length(j) + 1); s <= t; ++s) into.emplace_back(col(j, s), 1);
  };
  for (int j = 0; j < n; ++j) {
    std::vector<std::pair<int, double>> once, ends{{end, -1}};
    for (int t = 0; t < horizon; ++t)
      once.emplace_back(col(j, t), 1), ends.emplace_back(col(j, t), t + length(j));
    row(once, GLP_FX, 1);
    row(ends, GLP_UP, 0);
  }
  for (int t = 0; t < horizon; ++t) {
    std::vector<std::pair<int, double>> all;
    for (int j = 0; j < n; ++j) covering(j, t, all);
    row(all, GLP_UP, c.bounds.at_once);
    for (int z = 0; z < 2; ++z) {
      std::vector<std::pair<int, double>> zone;
      for (int j = 0; j < n; ++j)
        if (c.jobs[static_cast<std::size_t>(j)].zone == z) covering(j, t, zone);
      if (!zone.empty()) row(zone, GLP_UP, c.bounds.a_zone);
    }
    for (int a = 0; a < n; ++a)
      for (int b = a + 1; b < n; ++b)
        if (clash(c.jobs[static_cast<std::size_t>(a)], c.jobs[static_cast<std::size_t>(b)])) {
          std::vector<std::pair<int, double>> pair;
          covering(a, t, pair), covering(b, t, pair);
          row(pair, GLP_UP, 1);
        }
  }
  glp_iocp how;
  glp_init_iocp(&how);
  how.presolve = GLP_ON, how.msg_lev = GLP_MSG_OFF, how.tm_lim = 20000;
  glp_term_out(GLP_OFF);
  const bool solved = glp_intopt(p, &how) == 0 && glp_mip_status(p) == GLP_OPT;
  const int best = solved ? static_cast<int>(glp_mip_obj_val(p) + 0.5) : -1;
  glp_delete_prob(p);
  return best;
}

int against_solver(int cases) {
  std::mt19937 chance(7);
  double worst = 1, sum = 0;
  int wrong = 0, unsolved = 0, shorter = 0, same = 0;
  for (int k = 0; k < cases; ++k) {
    const Case c = drawn(chance, 4 + k % 3);
    const auto slots = schedule(c.jobs, c.bounds, 0);
    // Whatever it is worth: nothing in the way of another.
    for (std::size_t a = 0; a < c.jobs.size(); ++a) {
      int beside = 0, zone = 0;
      for (std::size_t b = 0; b < c.jobs.size(); ++b) {
        const bool over =
            slots[b].start <= slots[a].start && slots[a].start < slots[b].start + c.jobs[b].length;
        beside += over, zone += over && c.jobs[b].zone == c.jobs[a].zone;
        if (a != b && over && clash(c.jobs[a], c.jobs[b])) ++wrong;
      }
      wrong += beside > c.bounds.at_once || zone > c.bounds.a_zone;
    }
    const int mine = static_cast<int>(end_of(c.jobs, slots) / kSecond);
    const int best = shortest(c, mine);  // no later than ours, so a horizon that holds it
    if (best < 0) {
      ++unsolved;
      continue;
    }
    shorter += mine < best, same += mine == best;
    const double gap = static_cast<double>(mine) / best;
    worst = std::max(worst, gap), sum += gap;
  }
  std::printf(
      "%d drawn cases of 4 to 6 works: in each other's way %d, shorter than the shortest %d, unsolved %d\n",
      cases, wrong, shorter, unsolved);
  std::printf("as short as can be: %s; worst at most 1.2 times that: %s\n",
              same * 10 >= cases * 9 ? "nine in ten" : "FEWER", worst <= 1.2 ? "yes" : "NO");
  if (std::getenv("SHOW"))
    std::printf("[%d the same, worst %.3f, mean %.4f]\n", same, worst, sum / (cases - unsolved));
  return wrong || shorter || unsolved || worst > 1.2;
}

// ---- Drawn operations ----

int random_runs(int seeds, int from) {
  int moves = 0, refused = 0;
  for (int seed = from; seed < from + seeds; ++seed) {
    std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
    const auto below = [&](unsigned n) { return static_cast<int>(chance() % n); };
    Desk d;
    const int nodes = 8 + below(16), width = 2 + below(2);
    Facts f = fleet(nodes, width, 1 + below(3));
    f.terms.at_once = 1 + below(4), f.terms.a_zone = 1 + below(3), f.terms.holders_least = 1 + below(2);
    d.facts(f);
    const auto complain = [&](const char* what) { return std::printf("seed %d: %s\n", seed, what), 1; };
    for (int k = 0; k < 150; ++k) {
      d.wall += below(100) * kSecond;
      shared_config::ApplyResult v;
      std::uint64_t begun = 0;
      const std::uint64_t some =
          1 + static_cast<std::uint64_t>(below(static_cast<unsigned>(d.works().all().size() + 1)));
      switch (below(7)) {
        case 0:
        case 1:
          v = d.ask("m" + std::to_string(below(100)),
                    {"s-" + std::to_string(below(static_cast<unsigned>(nodes)))}, (1 + below(50)) * kSecond);
          break;
        case 2: {
          auto& node = f.nodes["s-" + std::to_string(below(static_cast<unsigned>(nodes)))];
          node.ready = below(4) != 0, node.warm = node.ready && below(4) != 0;
          d.facts(f);
          break;
        }
        case 3: {
          Op op;
          const int what = below(4);
          (what == 0 ? op.hold : what == 1 ? op.resume : what == 2 ? op.cancel : op.done) = some;
          v = d.say(op);
          break;
        }
        default: {
          const auto step = static_cast<Step>(below(8));
          v = d.step(some, step);
          if (v.number && step == Step::draining) begun = some;
        }
      }
      moves += v.number != 0, refused += v.number == 0;
      const Works& w = d.works();
      int out = 0;
      std::set<int> held;
      for (const auto& [n, work] : w.all()) {
        if (!work.under_way() || work.step == Step::lost) continue;
        ++out;
        for (const int s : w.shards(work.request))
          if (!held.insert(s).second) return complain("two works under way share a shard");
      }
      if (out > f.terms.at_once) return complain("more machines are out than may be");
      if (begun && !w.endangers(w.all().at(begun).request).empty())
        return complain("a work was begun that leaves a shard short");
      if (w.out_nodes().size() > w.withheld_beforehand().size())
        return complain("the ground lets through what is out");
      for (const Planned& p : plan(w, d.wall))
        if (p.start < d.wall) return complain("something is planned for the past");
      const auto again = std::static_pointer_cast<const Works>(Works().restore(w.snapshot()));
      if (!again || again->snapshot() != w.snapshot()) return complain("a snapshot does not hold it all");
    }
  }
  std::printf(
      "%d seeds: none share a shard, none too many, none begun that leaves a shard short; moves: %s, "
      "refused: %s\n",
      seeds, moves > seeds * 20 ? "many" : "FEW", refused > seeds * 20 ? "many" : "FEW");
  return 0;
}

// How long a plan takes, and how much shorter it is than one after the other.
void sizes() {
  for (const int n : {10, 50, 200, 1000}) {
    Desk d;
    Facts f = fleet(n, 3, 6);
    f.terms.at_once = std::max(1, n / 20), f.terms.a_zone = f.terms.at_once,
    f.terms.a_region = f.terms.at_once;
    f.terms.around = 0;
    d.facts(f);
    std::mt19937 chance(1);
    std::vector<Job> jobs;
    Bounds b{f.terms.at_once, 1000, f.terms.a_zone, f.terms.a_region, 1, std::vector<int>(6, n)};
    Time one_by_one = 0;
    for (int i = 0; i < n; ++i) {
      Job j;
      j.id = static_cast<std::uint64_t>(i + 1), j.length = static_cast<Time>(600 + chance() % 1200) * kSecond;
      for (int s = 0; s < 3; ++s) j.shards.push_back((i - s + n) % n);
      std::sort(j.shards.begin(), j.shards.end());
      j.zone = i % 6, j.nodes = 1;
      one_by_one += j.length;
      jobs.push_back(std::move(j));
    }
    const auto began = std::chrono::steady_clock::now();
    const auto slots = schedule(jobs, b, 0);
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    std::printf(
        "%d machines, %d at once: planned in %.1f ms, over after %.2f of one by one; the bound is %.2f\n", n,
        b.at_once, 1000 * took, static_cast<double>(end_of(jobs, slots)) / static_cast<double>(one_by_one),
        1.0 / b.at_once);
  }
}

}  // namespace

// The deciding classes in a seeded world of brokers, leases and hosts; `without` a defence it must see the
// harm.
int in_a_world(int runs, int without) {
  cairnhub::cluster::WorkWorldSize size;
  size.brokers = 12, size.hosts = 24, size.zones = 3, size.racks = 8, size.works = 10, size.at_once = 3;
  int reached = 0, below = 0, cold = 0, open = 0, done = 0;
  for (int seed = 1; seed <= runs; ++seed) {
    cairnhub::cluster::WorkWorld world(static_cast<std::uint64_t>(seed), size,
                                       cairnhub::cluster::Way::planned, without);
    const auto run = world.play();
    if (!without && (run.reached || run.below || run.cold || run.open))
      std::printf("seed %d: reached %d, below %d, over while cold %d, open %d: %s\n", seed, run.reached,
                  run.below, run.cold, run.open, world.open_works().c_str());
    reached += run.reached, below += run.below, cold += run.cold, open += run.open, done += run.done;
  }
  if (without) {
    const int harm = without == 3 ? cold : reached;
    std::printf("without defence %d: harm seen: %s\n", without, harm ? "yes" : "NO");
    return harm ? 0 : 1;
  }
  std::printf(
      "%d seeds: parts at a machine at work %d, shards below %d, over while cold %d, open %d, done: %s\n",
      runs, reached, below, cold, open, done > 5 * runs ? "most" : "FEW");
  return reached || below || cold || open || done <= 5 * runs;
}

int main(int argc, char** argv) {
  const std::string story = argc > 1 ? argv[1] : "";
  if (story == "board") return board(), 0;
  if (story == "planned") return planned(), 0;
  if (story == "solver") return against_solver(argc > 2 ? std::atoi(argv[2]) : 60);
  if (story == "random")
    return random_runs(argc > 2 ? std::atoi(argv[2]) : 300, argc > 3 ? std::atoi(argv[3]) : 1);
  if (story == "sizes") return sizes(), 0;
  if (story == "world")
    return in_a_world(argc > 2 ? std::atoi(argv[2]) : 100, argc > 3 ? std::atoi(argv[3]) : 0);
  return std::printf("no such story\n"), 1;
}
