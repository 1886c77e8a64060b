// The replicated queue of maintenance jobs: a state machine that every voter drives with the entries of the
// shared log.
//
// The queue decides whether an entry is accepted, and which state a job is in:
//
//   queued -> draining -> empty -> in maintenance -> returning -> done
//
// Its only inputs are log entries. Times are taken from the entries (wall clock, nanoseconds since 1970). The
// queue reads no clock and knows no peers or leases, so the same entries lead to the same queue everywhere.
//
// The queue checks whether a job may start, and not the broker that proposes the start: two operators, or two
// leaders of which one is outdated, may propose conflicting jobs at the same instant; the log orders them and
// the queue refuses the second. A job starts only if, by the fleet status in the log, each shard keeps a
// minimum of warm replicas, no two jobs in progress share a shard, the number of machines out stays within
// the limits (in total, per rack, zone and region), each zone keeps enough endpoints for its minimum share
// and its load, the zone is not in failover, and a majority of voters stays in service.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "shared_config/version_history.h"

namespace cairnhub::maintenance {

constexpr Time kMillisecond = kSecond / 1000;

// Limits that operators set in the options.
struct MaintenanceLimits {
  int min_warm_replicas = 1;  // of each shard
  // Machines out at the same time.
  int max_machines = 1;
  int max_machines_per_rack = 1;
  int max_machines_per_zone = 1;
  int max_machines_per_region = 1;
  double min_zone_share_in_service = 0.5;  // share of a zone's endpoints
  double min_headroom_share = 0.1;         // share of a zone's capacity that is kept free
  Time lost_after = 3600 * kSecond;        // a machine that is late by this much counts as lost
  Time transition_time = 60 * kSecond;     // time planned for draining and warming up together
  bool holds_queue_on_loss = true;         // a lost machine holds the queue until an operator resumes it
  bool operator==(const MaintenanceLimits&) const = default;
};

// A request to take one machine out.
struct JobRequest {
  std::string machine;
  std::vector<std::string> endpoints;
  std::vector<std::string> brokers;
  // Ring positions of the endpoints, recorded when the request is accepted, because endpoints may leave the
  // endpoint list later.
  std::vector<int> ring_positions;
  std::string rack;
  std::string zone;    // empty: the zone of the first endpoint
  std::string region;  // empty: the region of the zone
  Time earliest_start = 0;
  Time latest_end = kNever;  // time by which the machine must be back in service
  Time duration = 0;         // time for the maintenance itself
  int priority = 0;          // jobs of a higher priority go first
  bool is_emergency = false;
};

// The state of a job. The numeric values are stored in the log and in snapshots.
enum class JobState { kQueued, kDraining, kEmpty, kInMaintenance, kReturning, kDone, kCancelled, kLost };
// Returns the name that operators, event logs and tests see.
const char* job_state_name(JobState state);

// A request in the queue, with its state.
struct Job {
  std::uint64_t number = 0;
  JobRequest request;
  std::string requested_by;
  std::string reason;
  JobState state = JobState::kQueued;
  Time state_since = 0;
  bool is_held = false;
  std::string state_reason;

  bool is_open() const { return state != JobState::kDone && state != JobState::kCancelled; }
  // Returns whether the job's endpoints must receive no requests.
  bool takes_endpoints_out() const {
    return state == JobState::kDraining || state == JobState::kEmpty || state == JobState::kInMaintenance ||
           state == JobState::kLost;
  }
  bool is_in_progress() const { return takes_endpoints_out() || state == JobState::kReturning; }
};

// The status of one endpoint.
struct EndpointStatus {
  int ring_position = 0;
  std::string zone;
  bool is_ready = false;
  bool is_warm = false;
  bool operator==(const EndpointStatus&) const = default;
};

// The status of one zone.
struct ZoneStatus {
  std::string region;
  bool serves_locally = true;  // false while the zone is in failover
  // Both in shard requests per second; 0: unknown.
  double load_per_second = 0;
  double capacity_per_second = 0;
  bool operator==(const ZoneStatus&) const = default;
};

// The fleet as the leader sees it. The status is an entry in the log, so that all voters decide by the same
// status.
struct FleetStatus {
  std::uint64_t revision = 0;
  // Shard s is on the endpoints at ring positions s to s + replicas_per_shard - 1.
  int ring_size = 0;
  int replicas_per_shard = 0;
  MaintenanceLimits limits;
  std::map<std::string, EndpointStatus> endpoints;
  std::map<std::string, ZoneStatus> zones;
  std::set<std::string> voters;
  bool operator==(const FleetStatus&) const = default;
};

// One operation in the log; one of the optional members is set.
struct JobOperation {
  Time stated_at = 0;
  std::optional<JobRequest> request;
  std::optional<FleetStatus> fleet_status;
  struct Transition {
    std::uint64_t job;
    JobState from;
    JobState to;
  };
  std::optional<Transition> transition;
  // Actions of operators, with a job's number; 0 holds or resumes the whole queue.
  std::optional<std::uint64_t> hold;
  std::optional<std::uint64_t> resume;
  std::optional<std::uint64_t> cancel;
  std::optional<std::uint64_t> done;  // the machine has returned from maintenance
};
std::string encode_operation(const JobOperation& operation);  // protobuf text, so that the log can be read
std::optional<JobOperation> decode_operation(const std::string& text);

class JobQueue : public shared_config::ReplicatedStateMachine {
 public:
  // Applies an operation to a copy of the queue. @return the job's number (1 if the operation concerns no
  // job), or 0 and the reason for the refusal
  shared_config::ApplyResult apply(
      const shared_config::ConfigEntry& entry,
      std::shared_ptr<const shared_config::ReplicatedStateMachine>& next) const override;
  std::string snapshot() const override;
  std::shared_ptr<const shared_config::ReplicatedStateMachine> restore(std::string_view bytes) const override;

  const std::map<std::uint64_t, Job>& jobs() const { return jobs_; }
  const FleetStatus& fleet_status() const { return fleet_status_; }
  Time fleet_status_at() const { return fleet_status_at_; }
  bool is_held() const { return is_held_; }

  // Returns the endpoints of all jobs for which takes_endpoints_out() is true.
  std::set<std::string> endpoints_out() const;
  // Returns the endpoints that the baseline rules should exclude; brokers without a lease act on these rules.
  // The endpoints that are out are excluded, and the endpoints of the next queued jobs, as long as each shard
  // keeps a replica that such a broker may use.
  std::set<std::string> baseline_exclusions() const;

  // Returns why the machine may not be out beside the other jobs in progress. Empty: it may be out.
  // @param own_number  number of the request's own job, which is left out of the check
  std::string blocking_reason(const JobRequest& request, std::uint64_t own_number) const;
  // Returns why the machine may not be out even if all others are in service and healthy. Empty: it may be
  // out.
  std::string permanent_blocking_reason(const JobRequest& request) const;
  // Returns the shards that have fewer than the minimum of warm replicas while the machine is out.
  std::vector<int> shards_below_min_replicas(const JobRequest& request) const;

  // Returns the shards on the request's endpoints, sorted.
  std::vector<int> shards_of(const JobRequest& request) const;
  std::string zone_of(const JobRequest& request) const;
  std::string region_of(const JobRequest& request) const;
  int voter_count(const JobRequest& request) const;
  // Returns how many endpoints of a zone may be out for maintenance at once: the number that the zone's
  // minimum share in service and its load allow, minus the endpoints that are down for other reasons.
  int max_zone_endpoints_out(const std::string& zone) const;

  static constexpr std::size_t kMaxOpenJobs = 2000;
  static constexpr std::size_t kMaxEndedJobs = 256;  // older jobs are dropped
  static constexpr std::size_t kMaxEndpoints = 4096;

 private:
  shared_config::ApplyResult apply_request(const shared_config::ConfigEntry& entry,
                                           const JobOperation& operation);
  shared_config::ApplyResult apply_transition(const shared_config::ConfigEntry& entry,
                                              const JobOperation& operation);
  shared_config::ApplyResult apply_operator_action(const shared_config::ConfigEntry& entry,
                                                   const JobOperation& operation);
  void set_state(Job& job, JobState state, Time at, const std::string& reason);
  void drop_old_jobs();
  bool holds(const EndpointStatus& endpoint, int shard) const;
  int warm_replicas(int shard, const std::set<std::string>& out) const;

  std::map<std::uint64_t, Job> jobs_;
  std::uint64_t last_number_ = 0;
  bool is_held_ = false;
  FleetStatus fleet_status_;
  Time fleet_status_at_ = 0;
};

}  // namespace cairnhub::maintenance
