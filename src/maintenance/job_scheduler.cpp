#include "maintenance/job_scheduler.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

#include "base/random_source.h"

namespace cairnhub::maintenance {

namespace {

constexpr std::size_t kExchanges = 2000;  // divided by the number of works: at 200 of them, ten
constexpr std::size_t kExchangesMost = 120;
// Past so many waiting works two orders are tried and no exchanges: the leader plans beside its other work.
constexpr std::size_t kMany = 100;
// So many of those that wait are planned, the most urgent; the others come after them.
constexpr std::size_t kPlannedMost = 200;

class Schedule {
 public:
  Schedule(const std::vector<Job>& jobs, const Bounds& bounds, Time now)
      : jobs_(jobs), bounds_(bounds), now_(now), clash_(jobs.size(), std::vector<bool>(jobs.size(), false)) {
    std::map<int, std::vector<std::size_t>> holders;
    for (std::size_t i = 0; i < jobs.size(); ++i)
      for (const int s : jobs[i].shards) holders[s].push_back(i);
    for (const auto& [s, all] : holders)
      for (const std::size_t a : all)
        for (const std::size_t b : all) clash_[a][b] = a != b;
  }
  int clashes(std::size_t i) const {
    return static_cast<int>(std::count(clash_[i].begin(), clash_[i].end(), true));
  }

  struct Made {
    std::vector<Slot> slots;
    std::tuple<long, Time, Time> worth;  // missed, weighted; end; sum of starts: less is better
  };
  Made make(const std::vector<std::size_t>& order) const {
    Made m;
    m.slots.resize(jobs_.size());
    std::vector<Placed> placed;
    for (std::size_t i = 0; i < jobs_.size(); ++i)
      if (jobs_[i].begun) {
        m.slots[i].start = *jobs_[i].begun;
        // One that takes longer than thought is over any moment, for all that can be planned.
        put(placed, {i, *jobs_[i].begun, std::max(*jobs_[i].begun + jobs_[i].length, now_ + 1)});
      }
    long missed = 0;
    Time end = 0, sum = 0;
    for (const std::size_t i : order) {
      const Job& j = jobs_[i];
      const Time at = earliest(i, placed);
      Slot& s = m.slots[i];
      s.start = at, s.in_time = j.latest == kNever || at + j.length <= j.latest;
      if (!s.in_time) missed += 1 + std::max(0, j.priority);
      put(placed, {i, at, at + j.length});
      end = std::max(end, at + j.length), sum += (at - now_) / kSecond;
    }
    m.worth = {missed, end, sum};
    return m;
  }

 private:
  struct Placed {
    std::size_t job;
    Time start, end;
  };
  // Kept by their ends: what is over by the time that is looked at is passed by.
  static void put(std::vector<Placed>& placed, const Placed& p) {
    placed.insert(std::upper_bound(placed.begin(), placed.end(), p,
                                   [](const Placed& a, const Placed& b) { return a.end < b.end; }),
                  p);
  }
  // The earliest time that goes together with what is placed.
  Time earliest(std::size_t i, const std::vector<Placed>& placed) const {
    const Job& j = jobs_[i];
    Time at = std::max(now_, j.earliest);
    std::vector<const Placed*> beside;
    auto from = placed.begin();
    for (;;) {
      while (from != placed.end() && from->end <= at) ++from;
      beside.clear();
      Time next = kNever;  // a time worth trying if this one will not do
      bool clash = false;
      for (auto p = from; p != placed.end(); ++p) {
        if (p->start >= at + j.length) continue;
        next = std::min(next, p->end);
        // Nothing earlier than its end will do, whatever else ends before.
        if (clash_[i][p->job]) clash = true, next = p->end;
        if (clash) break;
        beside.push_back(&*p);
      }
      if (!clash && fits(j, at, beside)) return at;
      at = next;  // something is in the way, so something ends
    }
  }
  // The bounds hold at its start and whenever another begins while it is out.
  bool fits(const Job& j, Time at, const std::vector<const Placed*>& beside) const {
    const auto holds = [&](Time t) {
      int all = 1, rack = 1, zone = 1, region = 1, nodes = j.nodes, voters = j.voters;
      for (const Placed* p : beside) {
        if (p->start > t || p->end <= t) continue;
        const Job& o = jobs_[p->job];
        ++all, voters += o.voters;
        rack += j.rack >= 0 && o.rack == j.rack, region += j.region >= 0 && o.region == j.region;
        if (j.zone >= 0 && o.zone == j.zone) ++zone, nodes += o.nodes;
      }
      if (all == 1) return true;  // alone it goes, as its taking up has shown
      return all <= bounds_.at_once && rack <= bounds_.a_rack && zone <= bounds_.a_zone &&
             region <= bounds_.a_region && (j.voters == 0 || voters <= bounds_.voters) &&
             (j.zone < 0 || nodes <= bounds_.zone_nodes.at(static_cast<std::size_t>(j.zone)));
    };
    if (!holds(at)) return false;
    return std::all_of(beside.begin(), beside.end(),
                       [&](const Placed* p) { return p->start <= at || holds(p->start); });
  }

  const std::vector<Job>& jobs_;
  const Bounds& bounds_;
  Time now_;
  std::vector<std::vector<bool>> clash_;
};

}  // namespace

std::vector<Slot> schedule(const std::vector<Job>& jobs, const Bounds& bounds, Time now) {
  const Schedule s(jobs, bounds, now);
  std::vector<std::size_t> waiting;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (!jobs[i].begun) waiting.push_back(i);
  std::vector<int> clashes(jobs.size());
  for (const std::size_t i : waiting) clashes[i] = s.clashes(i);
  const auto by = [&](auto key) {
    std::vector<std::size_t> order = waiting;
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
    return order;
  };
  const auto slack = [&](std::size_t i) {  // the last moment it may begin
    return jobs[i].latest == kNever ? kNever : jobs[i].latest - jobs[i].length;
  };
  std::vector<std::size_t> best;
  Schedule::Made made;
  const auto consider = [&](std::vector<std::size_t> order) {
    Schedule::Made m = s.make(order);
    if (!made.slots.empty() && m.worth >= made.worth) return;
    made = std::move(m), best = std::move(order);
  };
  consider(by([&](auto i) { return std::tuple(slack(i), -jobs[i].priority, -clashes[i], jobs[i].id); }));
  consider(by([&](auto i) { return std::tuple(-jobs[i].priority, slack(i), -clashes[i], jobs[i].id); }));
  if (waiting.size() > kMany) return made.slots;
  consider(
      by([&](auto i) { return std::tuple(slack(i) == kNever, -clashes[i], -jobs[i].length, jobs[i].id); }));
  consider(
      by([&](auto i) { return std::tuple(slack(i) == kNever, -jobs[i].length, -clashes[i], jobs[i].id); }));
  if (waiting.size() > 1) {
    Chance chance(1);
    const std::size_t tries = std::min(kExchangesMost, kExchanges / waiting.size());
    for (std::size_t k = 0; k < tries; ++k) {
      std::vector<std::size_t> order = best;
      const std::size_t a = chance.below(order.size()), b = chance.below(order.size());
      if (k % 2 == 0)
        std::swap(order[a], order[b]);
      else
        std::rotate(order.begin() + static_cast<std::ptrdiff_t>(std::min(a, b)),
                    order.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)),
                    order.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)) + 1);
      consider(std::move(order));
    }
  }
  return made.slots;
}

Time end_of(const std::vector<Job>& jobs, const std::vector<Slot>& slots) {
  Time end = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (slots[i].start != kNever) end = std::max(end, slots[i].start + jobs[i].length);
  return end;
}

std::vector<Planned> plan(const Works& works, Time now, const Request* further,
                          const std::set<std::uint64_t>& passed) {
  const Terms& terms = works.facts().terms;
  Bounds bounds{terms.at_once,
                terms.a_rack,
                terms.a_zone,
                terms.a_region,
                std::max(0, (static_cast<int>(works.facts().voters.size()) - 1) / 2),
                {}};
  std::map<std::string, int> racks, zones, regions;
  const auto number = [](std::map<std::string, int>& of, const std::string& name) {
    return name.empty() ? -1 : of.try_emplace(name, static_cast<int>(of.size())).first->second;
  };
  std::vector<Job> jobs;
  const auto add = [&](std::uint64_t id, const Request& r) -> Job& {
    Job j;
    j.id = id, j.earliest = r.earliest, j.latest = r.latest, j.length = r.length + terms.around;
    j.priority = r.priority, j.shards = works.shards(r);
    j.rack = number(racks, r.rack), j.zone = number(zones, works.zone_of(r));
    j.region = number(regions, works.region_of(r));
    j.nodes = static_cast<int>(r.nodes.size()), j.voters = works.voters_of(r);
    return jobs.emplace_back(std::move(j));
  };
  std::vector<const Work*> waiting;
  for (const auto& [n, w] : works.all()) {
    if (w.step == Step::lost || !w.open()) continue;
    if (w.under_way())
      add(n, w.request).begun = w.since;
    else if (!w.held && !passed.count(n))
      waiting.push_back(&w);
  }
  std::vector<Planned> out;
  std::stable_sort(waiting.begin(), waiting.end(), [](const Work* a, const Work* b) {
    return std::tuple(a->request.latest, -a->request.priority) <
           std::tuple(b->request.latest, -b->request.priority);
  });
  for (std::size_t i = 0; i < waiting.size(); ++i)
    if (i < kPlannedMost)
      add(waiting[i]->number, waiting[i]->request);
    else
      out.push_back({waiting[i]->number, kNever, true});
  if (further) add(0, *further);
  bounds.zone_nodes.resize(zones.size());
  for (const auto& [zone, n] : zones)
    bounds.zone_nodes[static_cast<std::size_t>(n)] = works.zone_nodes_most(zone);
  const std::vector<Slot> slots = schedule(jobs, bounds, now);
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (!jobs[i].begun) out.push_back({jobs[i].id, slots[i].start, slots[i].in_time});
  std::sort(out.begin(), out.end(), [](const Planned& a, const Planned& b) {
    return std::tuple(a.start, a.work) < std::tuple(b.start, b.work);
  });
  return out;
}

}  // namespace cairnhub::maintenance
