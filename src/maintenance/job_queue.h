// The book of works on machines: what the log's entries lead to, the same at every voter. Nothing here knows
// of peers or leases, or reads a clock; times are those that entries state (wall clock, ns since 1970).
//
//   queued -> draining -> empty -> at_work -> returning -> done
//
// A work is begun where the facts allow it, as the log then has them: each shard keeps a stated number of
// warm holders, no two works share a shard, no more than so many machines are out together, by rack, zone and
// region too, a zone keeps a stated share of its nodes and bears its load, no zone in failover gives any, and
// the voters out leave a majority. So two operators who ask at the same instant, or two leaders of whom one
// does not know yet, can't both begin what does not go together: whichever entry comes second is refused.
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

struct MaintenanceLimits {
  int min_warm_replicas = 1;  // warm ones that a shard keeps
  int max_machines = 1, max_machines_per_rack = 1, max_machines_per_zone = 1,
      max_machines_per_region = 1;         // machines
  double min_zone_share_in_service = 0.5;  // of a zone's nodes, in service
  double min_headroom_share = 0.1;         // of what they bear, free
  Time lost_after = 3600 * kSecond;        // past its stated length
  Time transition_time = 60 * kSecond;     // that draining and getting warm are taken to last, for the plan
  bool holds_queue_on_loss = true;         // a machine lost holds the queue until an operator says resume
  bool operator==(const MaintenanceLimits&) const = default;
};

struct JobRequest {
  std::string machine;
  std::vector<std::string> endpoints, brokers;
  std::vector<int> ring_positions;  // of its nodes, as they were when it was taken: the list may drop them
  std::string rack, zone, region;   // empty: as its first node's, or none
  Time earliest_start = 0, latest_end = kNever, duration = 0;
  int priority = 0;
  bool is_emergency = false;
};

enum class JobState { kQueued, kDraining, kEmpty, kInMaintenance, kReturning, kDone, kCancelled, kLost };
const char* job_state_name(JobState state);

struct Job {
  std::uint64_t number = 0;
  JobRequest request;
  std::string requested_by, reason;
  JobState state = JobState::kQueued;
  Time state_since = 0;
  bool is_held = false;
  std::string state_reason;  // why it is where it is
  bool is_open() const { return state != JobState::kDone && state != JobState::kCancelled; }
  // Its nodes are to be sent nothing.
  bool takes_endpoints_out() const {
    return state == JobState::kDraining || state == JobState::kEmpty || state == JobState::kInMaintenance ||
           state == JobState::kLost;
  }
  bool is_in_progress() const { return takes_endpoints_out() || state == JobState::kReturning; }
};

struct EndpointStatus {
  int ring_position = 0;
  std::string zone;
  bool is_ready = false, is_warm = false;
  bool operator==(const EndpointStatus&) const = default;
};

struct ZoneStatus {
  std::string region;
  bool serves_locally = true;                           // not in failover
  double load_per_second = 0, capacity_per_second = 0;  // parts a second; 0: not known
  bool operator==(const ZoneStatus&) const = default;
};

// What the leader sees, said to all: from here on every voter judges by it.
struct FleetStatus {
  std::uint64_t revision = 0;
  int ring_size = 0, replicas_per_shard = 0;  // shard s is held by the nodes in cells s to s + width - 1
  MaintenanceLimits limits;
  std::map<std::string, EndpointStatus> endpoints;
  std::map<std::string, ZoneStatus> zones;
  std::set<std::string> voters;
  bool operator==(const FleetStatus&) const = default;
};

struct JobOperation {
  Time stated_at = 0;
  std::optional<JobRequest> request;
  std::optional<FleetStatus> fleet_status;
  struct Transition {
    std::uint64_t job;
    JobState from, to;
  };
  std::optional<Transition> transition;
  std::optional<std::uint64_t> hold, resume, cancel, done;
};
std::string encode_operation(const JobOperation& op);  // text
std::optional<JobOperation> decode_operation(const std::string& text);

class JobQueue : public shared_config::Board {
 public:
  shared_config::Verdict apply(const shared_config::Entry& entry,
                               std::shared_ptr<const shared_config::Board>& next) const override;
  std::string snapshot() const override;
  std::shared_ptr<const shared_config::Board> restore(std::string_view bytes) const override;

  const std::map<std::uint64_t, Job>& jobs() const { return works_; }
  const FleetStatus& fleet_status() const { return facts_; }
  Time fleet_status_at() const { return facts_at_; }
  bool is_held() const { return held_; }
  std::set<std::string> endpoints_out() const;  // of works that take theirs out

  // What brokers without a lease are to be told beforehand to do without: these, and nodes of the next works
  // in turn, as long as every shard keeps a holder that such a broker may ask.
  std::set<std::string> baseline_exclusions() const;

  // Why this may not be out beside the works under way, in words; empty: it may. `itself` is left out of
  // them.
  std::string blocking_reason(const JobRequest& request, std::uint64_t itself) const;
  // Why it could not be out though nothing else were and every node were well; empty: it could.
  std::string permanent_blocking_reason(const JobRequest& request) const;
  // Shards that keep fewer than the stated number of warm holders while this is out.
  std::vector<int> shards_below_min_replicas(const JobRequest& request) const;
  std::vector<int> shards_of(const JobRequest& request) const;  // that its nodes hold, sorted
  std::string zone_of(const JobRequest& request) const;
  std::string region_of(const JobRequest& request) const;
  int voter_count(const JobRequest& request) const;
  // How many nodes of a zone may be out together, as its stated share and its load allow; those that are out
  // for other reasons taken off.
  int max_zone_endpoints_out(const std::string& zone) const;

  static constexpr std::size_t kMaxOpenJobs = 2000, kMaxEndedJobs = 256, kMaxEndpoints = 4096;

 private:
  shared_config::Verdict request(const shared_config::Entry& e, const JobOperation& op);
  shared_config::Verdict step(const shared_config::Entry& e, const JobOperation& op);
  shared_config::Verdict operators(const shared_config::Entry& e, const JobOperation& op);
  void to(Job& work, JobState step, Time at, const std::string& why);
  void forget_old();
  bool holds(const EndpointStatus& node, int shard) const;
  int warm_holders(int shard, const std::set<std::string>& out) const;
  std::map<std::uint64_t, Job> works_;
  std::uint64_t last_ = 0;
  bool held_ = false;
  FleetStatus facts_;
  Time facts_at_ = 0;
};

}  // namespace cairnhub::maintenance
