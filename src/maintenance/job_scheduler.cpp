#include "maintenance/job_scheduler.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

#include "base/random_source.h"

namespace cairnhub::maintenance {

namespace {

// Divided by the number of queued jobs, this is the number of random exchanges tried: ten for 200 jobs.
constexpr std::size_t kExchangeBudget = 2000;
constexpr std::size_t kMaxExchanges = 120;
// With more queued jobs than this, only two orders and no exchanges are tried, because the leader has other
// tasks besides planning.
constexpr std::size_t kMaxJobsForFullSearch = 100;
// Only this many of the most urgent queued jobs are planned. The others start after them.
constexpr std::size_t kMaxPlannedJobs = 200;

class ScheduleBuilder {
 public:
  ScheduleBuilder(const std::vector<JobConstraints>& jobs, const PlacementLimits& limits, Time now)
      : jobs_(jobs),
        limits_(limits),
        now_(now),
        conflicts_(jobs.size(), std::vector<bool>(jobs.size(), false)) {
    std::map<int, std::vector<std::size_t>> jobs_by_shard;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      for (const int shard : jobs[i].shards) jobs_by_shard[shard].push_back(i);
    }
    for (const auto& [shard, sharing] : jobs_by_shard) {
      for (const std::size_t a : sharing) {
        for (const std::size_t b : sharing) conflicts_[a][b] = a != b;
      }
    }
  }
  int conflict_count(std::size_t i) const {
    return static_cast<int>(std::count(conflicts_[i].begin(), conflicts_[i].end(), true));
  }

  struct Schedule {
    std::vector<JobSlot> slots;
    // Missed deadlines, weighted by priority; end of the last job; sum of the start times. A lower cost is
    // better.
    std::tuple<long, Time, Time> cost;
  };
  // Places the jobs that aren't in progress in this order.
  Schedule build(const std::vector<std::size_t>& order) const {
    Schedule schedule;
    schedule.slots.resize(jobs_.size());
    std::vector<Placement> placed;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      if (jobs_[i].started_at) {
        schedule.slots[i].start = *jobs_[i].started_at;
        // A job that is past its planned duration is assumed to end at the next moment.
        insert(placed,
               {i, *jobs_[i].started_at, std::max(*jobs_[i].started_at + jobs_[i].duration, now_ + 1)});
      }
    }
    long missed = 0;
    Time end = 0;
    Time start_sum = 0;
    for (const std::size_t i : order) {
      const JobConstraints& job = jobs_[i];
      const Time start = earliest_feasible_start(i, placed);
      JobSlot& slot = schedule.slots[i];
      slot.start = start;
      slot.is_in_time = job.latest_end == kNever || start + job.duration <= job.latest_end;
      if (!slot.is_in_time) missed += 1 + std::max(0, job.priority);
      insert(placed, {i, start, start + job.duration});
      end = std::max(end, start + job.duration);
      start_sum += (start - now_) / kSecond;
    }
    schedule.cost = {missed, end, start_sum};
    return schedule;
  }

 private:
  struct Placement {
    std::size_t job;
    Time start;
    Time end;
  };
  // Keeps the placements sorted by their end, so that placements that end too early can be skipped.
  static void insert(std::vector<Placement>& placed, const Placement& placement) {
    placed.insert(std::upper_bound(placed.begin(), placed.end(), placement,
                                   [](const Placement& a, const Placement& b) { return a.end < b.end; }),
                  placement);
  }
  // Returns the earliest time at which the job neither conflicts with the placed jobs nor exceeds a limit.
  Time earliest_feasible_start(std::size_t i, const std::vector<Placement>& placed) const {
    const JobConstraints& job = jobs_[i];
    Time start = std::max(now_, job.earliest_start);
    std::vector<const Placement*> concurrent;
    auto first = placed.begin();
    for (;;) {
      while (first != placed.end() && first->end <= start) ++first;
      concurrent.clear();
      Time next_try = kNever;
      bool has_conflict = false;
      for (auto placement = first; placement != placed.end(); ++placement) {
        if (placement->start >= start + job.duration) continue;
        next_try = std::min(next_try, placement->end);
        // A conflicting job must end first, whichever other jobs end before.
        if (conflicts_[i][placement->job]) {
          has_conflict = true;
          next_try = placement->end;
        }
        if (has_conflict) break;
        concurrent.push_back(&*placement);
      }
      if (!has_conflict && is_within_limits(job, start, concurrent)) return start;
      start = next_try;  // never kNever here: only a concurrent job can prevent the start
    }
  }
  // The number of machines out rises only when a job starts, so the limits are checked at the job's own start
  // and at each later start of a concurrent job.
  bool is_within_limits(const JobConstraints& job, Time start,
                        const std::vector<const Placement*>& concurrent) const {
    const auto is_within_limits_at = [&](Time time) {
      int machines = 1;
      int rack_machines = 1;
      int zone_machines = 1;
      int region_machines = 1;
      int zone_endpoints = job.endpoint_count;
      int voters = job.voter_count;
      for (const Placement* placement : concurrent) {
        if (placement->start > time || placement->end <= time) continue;
        const JobConstraints& other = jobs_[placement->job];
        ++machines;
        voters += other.voter_count;
        rack_machines += job.rack >= 0 && other.rack == job.rack;
        region_machines += job.region >= 0 && other.region == job.region;
        if (job.zone >= 0 && other.zone == job.zone) {
          ++zone_machines;
          zone_endpoints += other.endpoint_count;
        }
      }
      if (machines == 1) return true;  // a job that doesn't fit alone is refused when it is requested
      return machines <= limits_.max_machines && rack_machines <= limits_.max_machines_per_rack &&
             zone_machines <= limits_.max_machines_per_zone &&
             region_machines <= limits_.max_machines_per_region &&
             (job.voter_count == 0 || voters <= limits_.max_voters) &&
             (job.zone < 0 ||
              zone_endpoints <= limits_.max_endpoints_by_zone.at(static_cast<std::size_t>(job.zone)));
    };
    if (!is_within_limits_at(start)) return false;
    return std::all_of(concurrent.begin(), concurrent.end(), [&](const Placement* placement) {
      return placement->start <= start || is_within_limits_at(placement->start);
    });
  }

  const std::vector<JobConstraints>& jobs_;
  const PlacementLimits& limits_;
  Time now_;
  std::vector<std::vector<bool>> conflicts_;
};

}  // namespace

std::vector<JobSlot> schedule_jobs(const std::vector<JobConstraints>& jobs, const PlacementLimits& limits,
                                   Time now) {
  const ScheduleBuilder builder(jobs, limits, now);
  std::vector<std::size_t> queued;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (!jobs[i].started_at) queued.push_back(i);
  }
  std::vector<int> conflicts(jobs.size());
  for (const std::size_t i : queued) conflicts[i] = builder.conflict_count(i);
  const auto order_by = [&](auto key) {
    std::vector<std::size_t> order = queued;
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
    return order;
  };
  const auto latest_start = [&](std::size_t i) {
    return jobs[i].latest_end == kNever ? kNever : jobs[i].latest_end - jobs[i].duration;
  };
  std::vector<std::size_t> best_order;
  ScheduleBuilder::Schedule best;
  const auto try_order = [&](std::vector<std::size_t> order) {
    ScheduleBuilder::Schedule schedule = builder.build(order);
    if (!best.slots.empty() && schedule.cost >= best.cost) return;
    best = std::move(schedule);
    best_order = std::move(order);
  };
  try_order(order_by(
      [&](auto i) { return std::tuple(latest_start(i), -jobs[i].priority, -conflicts[i], jobs[i].id); }));
  try_order(order_by(
      [&](auto i) { return std::tuple(-jobs[i].priority, latest_start(i), -conflicts[i], jobs[i].id); }));
  if (queued.size() > kMaxJobsForFullSearch) return best.slots;
  try_order(order_by([&](auto i) {
    return std::tuple(latest_start(i) == kNever, -conflicts[i], -jobs[i].duration, jobs[i].id);
  }));
  try_order(order_by([&](auto i) {
    return std::tuple(latest_start(i) == kNever, -jobs[i].duration, -conflicts[i], jobs[i].id);
  }));
  if (queued.size() > 1) {
    RandomSource random(1);
    const std::size_t tries = std::min(kMaxExchanges, kExchangeBudget / queued.size());
    for (std::size_t k = 0; k < tries; ++k) {
      std::vector<std::size_t> order = best_order;
      const std::size_t a = random.below(order.size());
      const std::size_t b = random.below(order.size());
      if (k % 2 == 0) {
        std::swap(order[a], order[b]);
      } else {
        std::rotate(order.begin() + static_cast<std::ptrdiff_t>(std::min(a, b)),
                    order.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)),
                    order.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)) + 1);
      }
      try_order(std::move(order));
    }
  }
  return best.slots;
}

Time schedule_end(const std::vector<JobConstraints>& jobs, const std::vector<JobSlot>& slots) {
  Time end = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (slots[i].start != kNever) end = std::max(end, slots[i].start + jobs[i].duration);
  }
  return end;
}

std::vector<PlannedJob> plan_jobs(const JobQueue& queue, Time now, const JobRequest* candidate,
                                  const std::set<std::uint64_t>& skipped) {
  const MaintenanceLimits& limits = queue.fleet_status().limits;
  PlacementLimits placement_limits{
      limits.max_machines,
      limits.max_machines_per_rack,
      limits.max_machines_per_zone,
      limits.max_machines_per_region,
      std::max(0, (static_cast<int>(queue.fleet_status().voters.size()) - 1) / 2),
      {}};
  std::map<std::string, int> racks;
  std::map<std::string, int> zones;
  std::map<std::string, int> regions;
  const auto index_of = [](std::map<std::string, int>& indexes, const std::string& name) {
    return name.empty() ? -1 : indexes.try_emplace(name, static_cast<int>(indexes.size())).first->second;
  };
  std::vector<JobConstraints> jobs;
  const auto add_job = [&](std::uint64_t id, const JobRequest& request) -> JobConstraints& {
    JobConstraints job;
    job.id = id;
    job.earliest_start = request.earliest_start;
    job.latest_end = request.latest_end;
    job.duration = request.duration + limits.transition_time;
    job.priority = request.priority;
    job.shards = queue.shards_of(request);
    job.rack = index_of(racks, request.rack);
    job.zone = index_of(zones, queue.zone_of(request));
    job.region = index_of(regions, queue.region_of(request));
    job.endpoint_count = static_cast<int>(request.endpoints.size());
    job.voter_count = queue.voter_count(request);
    return jobs.emplace_back(std::move(job));
  };
  std::vector<const Job*> queued;
  for (const auto& [number, job] : queue.jobs()) {
    if (job.state == JobState::kLost || !job.is_open()) continue;
    if (job.is_in_progress()) {
      add_job(number, job.request).started_at = job.state_since;
    } else if (!job.is_held && !skipped.count(number)) {
      queued.push_back(&job);
    }
  }
  std::vector<PlannedJob> plan;
  std::stable_sort(queued.begin(), queued.end(), [](const Job* a, const Job* b) {
    return std::tuple(a->request.latest_end, -a->request.priority) <
           std::tuple(b->request.latest_end, -b->request.priority);
  });
  for (std::size_t i = 0; i < queued.size(); ++i) {
    if (i < kMaxPlannedJobs) {
      add_job(queued[i]->number, queued[i]->request);
    } else {
      plan.push_back({queued[i]->number, kNever, true});
    }
  }
  if (candidate) add_job(0, *candidate);
  placement_limits.max_endpoints_by_zone.resize(zones.size());
  for (const auto& [zone, index] : zones) {
    placement_limits.max_endpoints_by_zone[static_cast<std::size_t>(index)] =
        queue.max_zone_endpoints_out(zone);
  }
  const std::vector<JobSlot> slots = schedule_jobs(jobs, placement_limits, now);
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (!jobs[i].started_at) plan.push_back({jobs[i].id, slots[i].start, slots[i].is_in_time});
  }
  std::sort(plan.begin(), plan.end(), [](const PlannedJob& a, const PlannedJob& b) {
    return std::tuple(a.start, a.job) < std::tuple(b.start, b.job);
  });
  return plan;
}

}  // namespace cairnhub::maintenance
