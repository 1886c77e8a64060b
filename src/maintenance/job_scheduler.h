// Plans when each maintenance job starts.
//
// The plan gives the queued jobs an order and start times, so that no two jobs that share a shard overlap and
// the limits on machines, endpoints and voters hold at every moment.
//
// The inputs are the job queue and a time. There is no I/O and no clock, and random numbers come from a fixed
// seed, so every voter makes the same plan from the same queue.
//
// The algorithm is serial schedule generation for a resource-constrained schedule (Kolisch and Hartmann
// 1999). Jobs are taken in some order, and each is placed at its earliest feasible time beside the jobs
// placed before. Several orders are tried (by deadline, priority, number of conflicts, duration), then random
// exchanges in the best order. The best schedule misses the fewest deadlines, then ends first, then starts
// its jobs earliest.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "maintenance/job_queue.h"

namespace cairnhub::maintenance {

// The properties of a job that the scheduler uses.
struct JobConstraints {
  std::uint64_t id = 0;
  Time earliest_start = 0;
  Time latest_end = kNever;  // back in service by then
  Time duration = 0;         // from draining until back in service
  int priority = 0;
  std::vector<int> shards;  // sorted; jobs that share a shard don't overlap
  int rack = -1;            // -1: none
  int zone = -1;
  int region = -1;
  int endpoint_count = 0;
  int voter_count = 0;
  std::optional<Time> started_at;  // set if the job is in progress; its start is fixed
};

// Limits on the machines, endpoints and voters that are out at the same time.
struct PlacementLimits {
  int max_machines = 1;
  int max_machines_per_rack = 1;
  int max_machines_per_zone = 1;
  int max_machines_per_region = 1;
  int max_voters = 0;
  std::vector<int> max_endpoints_by_zone;
};

// The planned start of a job.
struct JobSlot {
  Time start = kNever;
  bool is_in_time = true;  // ends by `latest_end`
};

// Schedules the jobs. @return a slot for each job, in the order of `jobs`; no job starts before `now` unless
// it is in progress
std::vector<JobSlot> schedule_jobs(const std::vector<JobConstraints>& jobs, const PlacementLimits& limits,
                                   Time now);
// Returns the time at which the last of the scheduled jobs ends.
Time schedule_end(const std::vector<JobConstraints>& jobs, const std::vector<JobSlot>& slots);

// The planned start of a queued job.
struct PlannedJob {
  std::uint64_t job = 0;
  Time start = kNever;  // kNever: starts after all planned jobs, whose number is limited
  bool is_in_time = true;
};
// Plans the queued jobs that aren't held, and returns them by start time.
// @param candidate  planned with the queued jobs as job 0, if not null
// @param skipped    numbers of jobs to leave out
std::vector<PlannedJob> plan_jobs(const JobQueue& queue, Time now, const JobRequest* candidate = nullptr,
                                  const std::set<std::uint64_t>& skipped = {});

}  // namespace cairnhub::maintenance
