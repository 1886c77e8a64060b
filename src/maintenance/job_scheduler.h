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
struct Job {
  std::uint64_t id = 0;
  Time earliest = 0, latest = kNever;  // its end, back in service, by `latest`
  Time length = 0;                     // from the first step out to the last one back
  int priority = 0;
  std::vector<int> shards;  // sorted; no two at once
  int rack = -1, zone = -1, region = -1, nodes = 0, voters = 0;
  std::optional<Time> begun;  // under way since: it is where it is
};

struct Bounds {
  int at_once = 1, a_rack = 1, a_zone = 1, a_region = 1, voters = 0;
  std::vector<int> zone_nodes;  // by zone
};

struct Slot {
  Time start = kNever;
  bool in_time = true;  // over by its latest
};

// By job, as given. Nothing begins before `now`.
std::vector<Slot> schedule(const std::vector<Job>& jobs, const Bounds& bounds, Time now);
// When all are over, of those placed.
Time end_of(const std::vector<Job>& jobs, const std::vector<Slot>& slots);

struct Planned {
  std::uint64_t work = 0;
  Time start = kNever;  // kNever: after all that are planned, of which there are as many as one looks at
  bool in_time = true;
};
// The works that wait, and where `further` is stated that one too, as number 0. Those held are left out, and
// those named in `passed`.
std::vector<Planned> plan(const Works& works, Time now, const Request* further = nullptr,
                          const std::set<std::uint64_t>& passed = {});

}  // namespace cairnhub::maintenance
