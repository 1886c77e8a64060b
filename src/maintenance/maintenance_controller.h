// Drives maintenance jobs at the leader.
//
// The controller decides the next entry to propose to the shared log: a new fleet status, a change of the
// endpoints that the rules exclude, or a job's transition.
//
// Its inputs are the replicated versions and job queue, the leader's view of the fleet, and the brokers'
// reports of open attempts. It does no I/O and reads no clock.
//
// A machine is drained in steps, each of which waits for the previous step:
//   1. The baseline rules exclude its endpoints, so that a broker that loses its lease sends them nothing.
//      Where possible this happens while the job is still queued.
//   2. A new version of the rules excludes them. Once it is in force, no broker that holds a lease sends
//      them anything.
//   3. Every broker reports that it has no open attempts at these endpoints. A broker whose lease has expired
//      counts as done once the time limit of the longest attempt has passed, as the broker cannot have begun
//      an attempt there after step 2.
//   4. Brokers on the machine transfer leadership and their votes, and stop.
// Only then is the machine empty and ready for maintenance. When the machine returns, the version readmits
// its endpoints first, then the baseline does.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "maintenance/job_queue.h"
#include "maintenance/job_scheduler.h"
#include "shared_config/leases.h"
#include "shared_config/version_history.h"

namespace cairnhub::maintenance {

struct MaintenanceControllerOptions {
  Time check_interval = kSecond / 10;
  Time status_interval = kSecond / 4;  // shortest time between two fleet statuses
  Time max_attempt_time = 0;           // no attempt is open for longer
  Time warm_up_time = 0;               // an endpoint is cold for this long after its start
  double max_clock_drift = 0.01;       // as a share of a clock's rate
  // A zone's load or capacity is sent again when it has changed by more than this share.
  double min_load_change_share = 0.2;
};

// A broker's report of its open attempts at endpoints that are out for maintenance.
struct OpenAttemptsReport {
  Time received_at = 0;
  std::uint64_t lease_low_version = 0;  // lower end of the lease that the broker acts under; 0: no lease
  std::map<std::string, int> by_endpoint;
};

// The leader's knowledge of the fleet that is not in the log.
struct LeaderView {
  FleetStatus fleet_status;
  std::map<std::string, shared_config::LeaseManager::BrokerState> leases;  // by broker
  std::set<std::string> live_brokers;
  std::set<std::string> voters;  // the present voters according to the log
};

class MaintenanceController {
 public:
  // @param self  name of this broker
  MaintenanceController(const MaintenanceControllerOptions& options, std::string self)
      : options_(options), self_(std::move(self)) {}

  Time next_check_at() const { return next_check_at_; }
  void schedule_next_check(Time now) { next_check_at_ = now + options_.check_interval; }

  void record_report(Time now, const std::string& from, OpenAttemptsReport report);
  void forget_broker(const std::string& broker) { reports_.erase(broker); }

  // Returns the entry to propose, if any; the leader calls this at each check. The caller reports the result
  // to record_proposal_result(); until then no other entry is returned.
  // @param wall_time  nanoseconds since 1970
  std::optional<shared_config::ConfigEntry> next_entry(Time now, Time wall_time,
                                                       const shared_config::VersionHistory& versions,
                                                       const LeaderView& view);
  // An accepted entry may make the next entry due at once; after a refused entry the next regular check
  // decides.
  void record_proposal_result(bool is_accepted) {
    has_pending_proposal_ = false;
    if (is_accepted) next_check_at_ = 0;
  }
  void stop_leading();

  // Returns the brokers on machines that are being taken out.
  std::set<std::string> retiring_brokers(const JobQueue& queue) const;
  // Returns the retiring brokers that must stop now.
  const std::set<std::string>& brokers_to_stop() const { return brokers_to_stop_; }
  // Appends the state that later decisions depend on, with times relative to `now`, for the exhaustive test.
  void append_state(Time now, std::string& into) const;
  // Returns the reason why the next transition of a job has to wait, by job number.
  const std::map<std::uint64_t, std::string>& waiting_reasons() const { return waiting_reasons_; }

 private:
  shared_config::ConfigEntry make_entry(shared_config::ConfigEntry::Kind kind, Time now,
                                        const std::string& reason);
  shared_config::ConfigEntry make_transition(Time now, Time wall_time, const Job& job, JobState to,
                                             const std::string& reason);
  std::optional<shared_config::ConfigEntry> exclude_endpoints(Time now,
                                                              const shared_config::VersionHistory& versions,
                                                              const JobQueue& queue);
  std::optional<shared_config::ConfigEntry> advance_jobs(Time now, Time wall_time,
                                                         const shared_config::VersionHistory& versions,
                                                         const JobQueue& queue, const LeaderView& view);
  std::optional<shared_config::ConfigEntry> start_next_job(
      Time now, Time wall_time, const std::shared_ptr<const shared_config::ReplicatedStateMachine>& board,
      const JobQueue& queue);
  bool is_overdue(Time now, Time wall_time, const Job& job, Time duration, const FleetStatus& status) const;
  std::string draining_reason(Time now, const Job& job, const shared_config::VersionHistory& versions,
                              const LeaderView& view);
  bool is_worth_sending(const FleetStatus& sent, const FleetStatus& current) const;

  MaintenanceControllerOptions options_;
  std::string self_;
  Time next_check_at_ = 0;
  Time next_status_at_ = 0;
  bool has_pending_proposal_ = false;
  std::uint64_t entries_made_ = 0;
  std::map<std::string, OpenAttemptsReport> reports_;  // by broker; at most as many as may be enlisted
  std::map<std::uint64_t, Time> excluded_since_;       // by job: time by which its endpoints were excluded
  // The state of each job, and the time since which this leader has seen the job in that state. The times in
  // the log come from the wall clocks of the brokers that proposed the transitions; with a clock that is an
  // hour off, a machine that has just returned would be declared lost.
  struct ObservedState {
    JobState state;
    Time since;
  };
  std::map<std::uint64_t, ObservedState> observed_states_;
  std::map<std::uint64_t, std::string> waiting_reasons_;
  std::set<std::string> brokers_to_stop_;
  // The plan is recomputed when the queue has changed, and each second because time has passed.
  std::shared_ptr<const shared_config::ReplicatedStateMachine> planned_board_;
  Time planned_at_ = 0;
  std::map<std::uint64_t, Time> blocked_since_;  // jobs that are due and may not start
  std::set<std::uint64_t> skipped_;              // blocked jobs that the plan leaves out
  std::vector<PlannedJob> plan_;
};

}  // namespace cairnhub::maintenance
