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
  Schedule(const std::vector<JobConstraints>& jobs, const PlacementLimits& bounds, Time now)
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
    std::vector<JobSlot> slots;
    std::tuple<long, Time, Time> worth;  // missed, weighted; end; sum of starts: less is better
  };
  Made make(const std::vector<std::size_t>& order) const {
    Made m;
    m.slots.resize(jobs_.size());
    std::vector<Placed> placed;
    for (std::size_t i = 0; i < jobs_.size(); ++i)
      if (jobs_[i].started_at) {
        m.slots[i].start = *jobs_[i].started_at;
        // One that takes longer than thought is over any moment, for all that can be planned.
        put(placed, {i, *jobs_[i].started_at, std::max(*jobs_[i].started_at + jobs_[i].duration, now_ + 1)});
      }
    long missed = 0;
    Time end = 0, sum = 0;
    for (const std::size_t i : order) {
      const JobConstraints& j = jobs_[i];
      const Time at = earliest(i, placed);
      JobSlot& s = m.slots[i];
      s.start = at, s.is_in_time = j.latest_end == kNever || at + j.duration <= j.latest_end;
      if (!s.is_in_time) missed += 1 + std::max(0, j.priority);
      put(placed, {i, at, at + j.duration});
      end = std::max(end, at + j.duration), sum += (at - now_) / kSecond;
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
    const JobConstraints& j = jobs_[i];
    Time at = std::max(now_, j.earliest_start);
    std::vector<const Placed*> beside;
    auto from = placed.begin();
    for (;;) {
      while (from != placed.end() && from->end <= at) ++from;
      beside.clear();
      Time next = kNever;  // a time worth trying if this one will not do
      bool clash = false;
      for (auto p = from; p != placed.end(); ++p) {
        if (p->start >= at + j.duration) continue;
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
  bool fits(const JobConstraints& j, Time at, const std::vector<const Placed*>& beside) const {
    const auto holds = [&](Time t) {
      int all = 1, rack = 1, zone = 1, region = 1, nodes = j.endpoint_count, voters = j.voter_count;
      for (const Placed* p : beside) {
        if (p->start > t || p->end <= t) continue;
        const JobConstraints& o = jobs_[p->job];
        ++all, voters += o.voter_count;
        rack += j.rack >= 0 && o.rack == j.rack, region += j.region >= 0 && o.region == j.region;
        if (j.zone >= 0 && o.zone == j.zone) ++zone, nodes += o.endpoint_count;
      }
      if (all == 1) return true;  // alone it goes, as its taking up has shown
      return all <= bounds_.max_machines && rack <= bounds_.max_machines_per_rack &&
             zone <= bounds_.max_machines_per_zone && region <= bounds_.max_machines_per_region &&
             (j.voter_count == 0 || voters <= bounds_.max_voters) &&
             (j.zone < 0 || nodes <= bounds_.max_endpoints_by_zone.at(static_cast<std::size_t>(j.zone)));
    };
    if (!holds(at)) return false;
    return std::all_of(beside.begin(), beside.end(),
                       [&](const Placed* p) { return p->start <= at || holds(p->start); });
  }

  const std::vector<JobConstraints>& jobs_;
  const PlacementLimits& bounds_;
  Time now_;
  std::vector<std::vector<bool>> clash_;
};

}  // namespace

std::vector<JobSlot> schedule_jobs(const std::vector<JobConstraints>& jobs, const PlacementLimits& bounds,
                                   Time now) {
  const Schedule s(jobs, bounds, now);
  std::vector<std::size_t> waiting;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (!jobs[i].started_at) waiting.push_back(i);
  std::vector<int> clashes(jobs.size());
  for (const std::size_t i : waiting) clashes[i] = s.clashes(i);
  const auto by = [&](auto key) {
    std::vector<std::size_t> order = waiting;
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
    return order;
  };
  const auto slack = [&](std::size_t i) {  // the last moment it may begin
    return jobs[i].latest_end == kNever ? kNever : jobs[i].latest_end - jobs[i].duration;
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
      by([&](auto i) { return std::tuple(slack(i) == kNever, -clashes[i], -jobs[i].duration, jobs[i].id); }));
  consider(
      by([&](auto i) { return std::tuple(slack(i) == kNever, -jobs[i].duration, -clashes[i], jobs[i].id); }));
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

Time schedule_end(const std::vector<JobConstraints>& jobs, const std::vector<JobSlot>& slots) {
  Time end = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (slots[i].start != kNever) end = std::max(end, slots[i].start + jobs[i].duration);
  return end;
}

std::vector<PlannedJob> plan_jobs(const JobQueue& works, Time now, const JobRequest* further,
                                  const std::set<std::uint64_t>& passed) {
  const MaintenanceLimits& terms = works.fleet_status().limits;
  PlacementLimits bounds{terms.max_machines,
                         terms.max_machines_per_rack,
                         terms.max_machines_per_zone,
                         terms.max_machines_per_region,
                         std::max(0, (static_cast<int>(works.fleet_status().voters.size()) - 1) / 2),
                         {}};
  std::map<std::string, int> racks, zones, regions;
  const auto number = [](std::map<std::string, int>& of, const std::string& name) {
    return name.empty() ? -1 : of.try_emplace(name, static_cast<int>(of.size())).first->second;
  };
  std::vector<JobConstraints> jobs;
  const auto add = [&](std::uint64_t id, const JobRequest& r) -> JobConstraints& {
    JobConstraints j;
    j.id = id, j.earliest_start = r.earliest_start, j.latest_end = r.latest_end,
    j.duration = r.duration + terms.transition_time;
    j.priority = r.priority, j.shards = works.shards_of(r);
    j.rack = number(racks, r.rack), j.zone = number(zones, works.zone_of(r));
    j.region = number(regions, works.region_of(r));
    j.endpoint_count = static_cast<int>(r.endpoints.size()), j.voter_count = works.voter_count(r);
    return jobs.emplace_back(std::move(j));
  };
  std::vector<const Job*> waiting;
  for (const auto& [n, w] : works.jobs()) {
    if (w.state == JobState::kLost || !w.is_open()) continue;
    if (w.is_in_progress())
      add(n, w.request).started_at = w.state_since;
    else if (!w.is_held && !passed.count(n))
      waiting.push_back(&w);
  }
  std::vector<PlannedJob> out;
  std::stable_sort(waiting.begin(), waiting.end(), [](const Job* a, const Job* b) {
    return std::tuple(a->request.latest_end, -a->request.priority) <
           std::tuple(b->request.latest_end, -b->request.priority);
  });
  for (std::size_t i = 0; i < waiting.size(); ++i)
    if (i < kPlannedMost)
      add(waiting[i]->number, waiting[i]->request);
    else
      out.push_back({waiting[i]->number, kNever, true});
  if (further) add(0, *further);
  bounds.max_endpoints_by_zone.resize(zones.size());
  for (const auto& [zone, n] : zones)
    bounds.max_endpoints_by_zone[static_cast<std::size_t>(n)] = works.max_zone_endpoints_out(zone);
  const std::vector<JobSlot> slots = schedule_jobs(jobs, bounds, now);
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (!jobs[i].started_at) out.push_back({jobs[i].id, slots[i].start, slots[i].is_in_time});
  std::sort(out.begin(), out.end(), [](const PlannedJob& a, const PlannedJob& b) {
    return std::tuple(a.start, a.job) < std::tuple(b.start, b.job);
  });
  return out;
}

}  // namespace cairnhub::maintenance
