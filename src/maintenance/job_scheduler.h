// When each work is to begin: a plan that every voter makes alike from the same book. No I/O, no clock, no
// chance but from a fixed seed.
//
// A schedule with conflicts and shared bounds (Kolisch and Hartmann 1999 name the way): works are taken in an
// order and each is put at its earliest time that goes together with those placed before. Several orders are
// tried (deadline, priority, number of conflicts, length), then some exchanges in the best of them; kept is
// what misses the least, is over soonest, and begins soonest.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "maintenance/job_queue.h"

namespace cairnhub::maintenance {

// A work as the schedule sees it.
struct JobConstraints {
  std::uint64_t id = 0;
  Time earliest_start = 0, latest_end = kNever;  // its end, back in service, by `latest`
  Time duration = 0;                             // from the first step out to the last one back
  int priority = 0;
  std::vector<int> shards;  // sorted; no two at once
  int rack = -1, zone = -1, region = -1, endpoint_count = 0, voter_count = 0;
  std::optional<Time> started_at;  // under way since: it is where it is
};

struct PlacementLimits {
  int max_machines = 1, max_machines_per_rack = 1, max_machines_per_zone = 1, max_machines_per_region = 1,
      max_voters = 0;
  std::vector<int> max_endpoints_by_zone;  // by zone
};

struct JobSlot {
  Time start = kNever;
  bool is_in_time = true;  // over by its latest
};

// By job, as given. Nothing begins before `now`.
std::vector<JobSlot> schedule_jobs(const std::vector<JobConstraints>& jobs, const PlacementLimits& bounds,
                                   Time now);
// When all are over, of those placed.
Time schedule_end(const std::vector<JobConstraints>& jobs, const std::vector<JobSlot>& slots);

struct PlannedJob {
  std::uint64_t job = 0;
  Time start = kNever;  // kNever: after all that are planned, of which there are as many as one looks at
  bool is_in_time = true;
};
// The works that wait, and where `further` is stated that one too, as number 0. Those held are left out, and
// those named in `passed`.
std::vector<PlannedJob> plan_jobs(const JobQueue& works, Time now, const JobRequest* further = nullptr,
                                  const std::set<std::uint64_t>& passed = {});

}  // namespace cairnhub::maintenance
