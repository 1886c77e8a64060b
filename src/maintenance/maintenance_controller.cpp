#include "maintenance/maintenance_controller.h"

#include <algorithm>
#include <cmath>

namespace cairnhub::maintenance {

namespace {

// With at most this many jobs the plan is recomputed at each change of the queue, with more only each second.
constexpr std::size_t kMaxJobsToPlanOnChange = 64;
constexpr std::size_t kMaxReasonBytes = 256;
// Maximum number of brokers named in one reason.
constexpr int kMaxNamedBrokers = 5;

bool holds_all(const std::set<std::string>& set, const std::vector<std::string>& names) {
  return std::all_of(names.begin(), names.end(), [&](const auto& name) { return set.count(name) != 0; });
}
bool holds_any(const std::set<std::string>& set, const std::vector<std::string>& names) {
  return std::any_of(names.begin(), names.end(), [&](const auto& name) { return set.count(name) != 0; });
}
std::string rules_that_exclude(const std::set<std::string>& endpoints) {
  shared_config::RuleSet rules;
  rules.endpoints_in_maintenance = endpoints;
  return shared_config::proposal_text(rules);
}

}  // namespace

void MaintenanceController::record_report(Time now, const std::string& from, OpenAttemptsReport report) {
  if (reports_.size() >= shared_config::VersionHistory::kMaxBrokers && !reports_.count(from)) return;
  report.received_at = now;
  reports_[from] = std::move(report);
}

void MaintenanceController::stop_leading() {
  has_pending_proposal_ = false;
  reports_.clear();
  excluded_since_.clear();
  observed_states_.clear();
  waiting_reasons_.clear();
  brokers_to_stop_.clear();
  blocked_since_.clear();
  skipped_.clear();
}

void MaintenanceController::append_state(Time now, std::string& into) const {
  into += has_pending_proposal_ ? 'o' : '-';
  into += std::to_string(std::max<Time>(0, next_status_at_ - now));
  for (const auto& [job, since] : excluded_since_) {
    into += 'w' + std::to_string(job) + ' ' + std::to_string(now - since);
  }
  for (const auto& [broker, report] : reports_) {
    into += 'c' + broker + std::to_string(now - report.received_at) + ' ' +
            std::to_string(report.lease_low_version);
    for (const auto& [endpoint, open] : report.by_endpoint) into += endpoint + std::to_string(open);
  }
}

shared_config::ConfigEntry MaintenanceController::make_entry(shared_config::ConfigEntry::Kind kind, Time now,
                                                             const std::string& reason) {
  shared_config::ConfigEntry entry;
  entry.kind = kind;
  entry.who = "upkeep";
  entry.why = reason.substr(0, kMaxReasonBytes);
  entry.id = "upkeep-" + shared_config::content_hash(self_ + " " + std::to_string(now) + " " +
                                                     std::to_string(++entries_made_));
  return entry;
}

shared_config::ConfigEntry MaintenanceController::make_transition(Time now, Time wall_time, const Job& job,
                                                                  JobState to, const std::string& reason) {
  shared_config::ConfigEntry entry = make_entry(shared_config::ConfigEntry::Kind::kStateMachine, now, reason);
  JobOperation operation;
  operation.stated_at = wall_time;
  operation.transition = JobOperation::Transition{job.number, job.state, to};
  entry.text = encode_operation(operation);
  return entry;
}

std::set<std::string> MaintenanceController::retiring_brokers(const JobQueue& queue) const {
  std::set<std::string> all;
  for (const auto& [number, job] : queue.jobs()) {
    if (job.takes_endpoints_out()) all.insert(job.request.brokers.begin(), job.request.brokers.end());
  }
  return all;
}

// Small changes of load and capacity are ignored, because both change all the time.
bool MaintenanceController::is_worth_sending(const FleetStatus& sent, const FleetStatus& current) const {
  FleetStatus comparable = current;
  comparable.revision = sent.revision;
  for (auto& [name, zone] : comparable.zones) {
    const auto it = sent.zones.find(name);
    if (it == sent.zones.end()) return true;
    const auto is_near = [&](double before, double after) {
      return std::abs(after - before) <= options_.min_load_change_share * std::max(before, 1.0);
    };
    if (is_near(it->second.load_per_second, zone.load_per_second) &&
        is_near(it->second.capacity_per_second, zone.capacity_per_second)) {
      zone.load_per_second = it->second.load_per_second;
      zone.capacity_per_second = it->second.capacity_per_second;
    }
  }
  return !(comparable == sent);
}

std::optional<shared_config::ConfigEntry> MaintenanceController::next_entry(
    Time now, Time wall_time, const shared_config::VersionHistory& versions, const LeaderView& view) {
  const auto* queue = dynamic_cast<const JobQueue*>(versions.state_machine().get());
  if (!queue || has_pending_proposal_) return std::nullopt;
  waiting_reasons_.clear();
  brokers_to_stop_.clear();
  std::erase_if(excluded_since_, [&](const auto& excluded) {
    const auto it = queue->jobs().find(excluded.first);
    return it == queue->jobs().end() || !it->second.takes_endpoints_out();
  });
  std::erase_if(observed_states_,
                [&](const auto& observed) { return queue->jobs().count(observed.first) == 0; });
  std::optional<shared_config::ConfigEntry> entry;
  if (now >= next_status_at_ && is_worth_sending(queue->fleet_status(), view.fleet_status)) {
    next_status_at_ = now + options_.status_interval;
    entry = make_entry(shared_config::ConfigEntry::Kind::kStateMachine, now, "what is seen");
    JobOperation operation;
    operation.stated_at = wall_time;
    operation.fleet_status = view.fleet_status;
    entry->text = encode_operation(operation);
  }
  // Both functions are called each time, as they also collect the reasons why jobs wait. The first entry
  // found is proposed.
  auto candidate = exclude_endpoints(now, versions, *queue);
  if (!entry) entry = std::move(candidate);
  candidate = advance_jobs(now, wall_time, versions, *queue, view);
  if (!entry) entry = std::move(candidate);
  if (!entry) entry = start_next_job(now, wall_time, versions.state_machine(), *queue);
  has_pending_proposal_ = entry.has_value();
  return entry;
}

// Exclusions are added to the baseline first and to the versions second, and removed in the opposite order.
std::optional<shared_config::ConfigEntry> MaintenanceController::exclude_endpoints(
    Time now, const shared_config::VersionHistory& versions, const JobQueue& queue) {
  const std::set<std::string> wanted = queue.endpoints_out();
  const std::set<std::string> wanted_in_baseline = queue.baseline_exclusions();
  const auto& baseline = versions.baseline().rules->endpoints_in_maintenance;
  const auto& newest = versions.versions().rbegin()->second.rules->endpoints_in_maintenance;
  const auto& in_force = versions.find(versions.in_force())->rules->endpoints_in_maintenance;
  const auto is_subset = [](const auto& subset, const auto& set) {
    return std::includes(set.begin(), set.end(), subset.begin(), subset.end());
  };
  // While a next baseline exists, brokers are still adopting it.
  if (!is_subset(wanted_in_baseline, baseline) && !versions.next_baseline()) {
    std::set<std::string> both = baseline;
    both.insert(wanted_in_baseline.begin(), wanted_in_baseline.end());
    shared_config::ConfigEntry entry = make_entry(
        shared_config::ConfigEntry::Kind::kProposeBaselineMaintenance, now, "machines are taken out");
    entry.base = versions.baseline_maintenance_version();
    entry.text = rules_that_exclude(both);
    return entry;
  }
  if (newest != wanted && is_subset(wanted, baseline)) {
    shared_config::ConfigEntry entry =
        make_entry(shared_config::ConfigEntry::Kind::kProposeMaintenance, now, "machines at work");
    entry.base = versions.maintenance_version();
    entry.text = rules_that_exclude(wanted);
    return entry;
  }
  // Until the version that readmits an endpoint is in force, a baseline that readmits it would allow more
  // than the version in force.
  if (baseline != wanted_in_baseline && newest == wanted && in_force == wanted && !versions.next_baseline()) {
    shared_config::ConfigEntry entry =
        make_entry(shared_config::ConfigEntry::Kind::kProposeBaselineMaintenance, now, "machines are back");
    entry.base = versions.baseline_maintenance_version();
    entry.text = rules_that_exclude(wanted_in_baseline);
    return entry;
  }
  return std::nullopt;
}

// Returns why the machine's endpoints may still have open attempts or get new attempts. Empty: neither is
// possible.
std::string MaintenanceController::draining_reason(Time now, const Job& job,
                                                   const shared_config::VersionHistory& versions,
                                                   const LeaderView& view) {
  if (job.request.endpoints.empty()) return "";  // the machine's brokers are checked by the caller
  const auto& baseline = versions.baseline().rules->endpoints_in_maintenance;
  const auto& in_force = versions.find(versions.in_force())->rules->endpoints_in_maintenance;
  if (!holds_all(baseline, job.request.endpoints)) {
    excluded_since_.erase(job.number);
    return "the common ground does not withhold it yet: every broker on the roster must take that up";
  }
  if (!holds_all(in_force, job.request.endpoints)) {
    excluded_since_.erase(job.number);
    return "the version that withholds it is not in force yet";
  }
  const Time since = excluded_since_.try_emplace(job.number, now).first->second;
  const Time open_for_at_most =
      static_cast<Time>(static_cast<double>(options_.max_attempt_time) * (1 + 2 * options_.max_clock_drift));
  std::string names;
  int missing = 0;
  for (const auto& broker : versions.enrolled_brokers()) {
    const auto lease = view.leases.find(broker);
    const bool has_lease = lease != view.leases.end() && lease->second.has_lease(now);
    const auto report = reports_.find(broker);
    bool is_clear = false;
    if (has_lease || broker == self_) {
      // The broker's report must have arrived after the endpoints were excluded, and the broker must have
      // acted under a version that excludes them.
      const shared_config::Version* version =
          report == reports_.end() ? nullptr : versions.find(report->second.lease_low_version);
      is_clear =
          report != reports_.end() && report->second.received_at >= since && version &&
          holds_all(version->rules->endpoints_in_maintenance, job.request.endpoints) &&
          std::all_of(job.request.endpoints.begin(), job.request.endpoints.end(), [&](const auto& endpoint) {
            const auto open = report->second.by_endpoint.find(endpoint);
            return open != report->second.by_endpoint.end() && open->second == 0;
          });
    } else {
      is_clear = now >= since + open_for_at_most;
    }
    if (is_clear) continue;
    if (++missing <= kMaxNamedBrokers) names += (names.empty() ? "" : ", ") + broker;
  }
  if (missing == 0) return "";
  return "not known to be done there: " + names +
         (missing > kMaxNamedBrokers ? " and " + std::to_string(missing - kMaxNamedBrokers) + " more" : "");
}

// Returns whether the job is late by the wall clock, and this leader has seen the job in its state for at
// least `lost_after` by the leader's own clock.
bool MaintenanceController::is_overdue(Time now, Time wall_time, const Job& job, Time duration,
                                       const FleetStatus& status) const {
  return wall_time >= job.state_since + duration + status.limits.lost_after &&
         now >= observed_states_.at(job.number).since + status.limits.lost_after;
}

std::optional<shared_config::ConfigEntry> MaintenanceController::advance_jobs(
    Time now, Time wall_time, const shared_config::VersionHistory& versions, const JobQueue& queue,
    const LeaderView& view) {
  std::optional<shared_config::ConfigEntry> entry;
  const auto propose = [&](const Job& job, JobState to, const std::string& reason) {
    if (!entry) entry = make_transition(now, wall_time, job, to, reason);
  };
  const FleetStatus& status = queue.fleet_status();
  const std::set<std::string> retiring = retiring_brokers(queue);
  for (const auto& [number, job] : queue.jobs()) {
    if (!job.is_in_progress()) continue;
    ObservedState& observed =
        observed_states_.try_emplace(number, ObservedState{job.state, now}).first->second;
    if (observed.state != job.state) observed = {job.state, now};
    if (job.state == JobState::kDraining || job.state == JobState::kEmpty) {
      // After a failure elsewhere it may be more urgent to keep the machine in service.
      const bool has_ready_endpoint =
          std::any_of(job.request.endpoints.begin(), job.request.endpoints.end(), [&](const auto& endpoint) {
            const auto it = status.endpoints.find(endpoint);
            return it != status.endpoints.end() && it->second.is_ready;
          });
      if (!job.request.is_emergency && has_ready_endpoint) {
        const auto shards = queue.shards_below_min_replicas(job.request);
        const auto zone = status.zones.find(queue.zone_of(job.request));
        if (!shards.empty()) {
          propose(job, JobState::kQueued,
                  "called back: shard " + std::to_string(shards.front()) + " needs it");
          continue;
        }
        if (zone != status.zones.end() && !zone->second.serves_locally) {
          propose(job, JobState::kQueued, "called back: zone \"" + zone->first + "\" is in failover");
          continue;
        }
      }
    }
    switch (job.state) {
      case JobState::kDraining: {
        std::string reason = draining_reason(now, job, versions, view);
        if (reason.empty()) {
          for (const auto& broker : job.request.brokers) {
            const auto lease = view.leases.find(broker);
            const bool is_running = broker == self_ || view.live_brokers.count(broker) ||
                                    (lease != view.leases.end() && lease->second.has_lease(now));
            if (!is_running) continue;
            reason += (reason.empty() ? "broker on it has not left: " : ", ") + broker;
            // A voter is stopped at once only if no other broker could take over its vote. Otherwise it waits
            // until the vote has moved, so that the vote is not lost with the voter. The leader transfers
            // leadership before it stops.
            std::size_t spare_voters = 0;
            for (const auto& [name, held] : view.leases) {
              spare_voters +=
                  held.may_vote && held.has_lease(now) && !view.voters.count(name) && !retiring.count(name);
            }
            if (broker != self_ && (!view.voters.count(broker) || spare_voters == 0)) {
              brokers_to_stop_.insert(broker);
            }
          }
        }
        if (reason.empty()) {
          propose(job, JobState::kEmpty, "nothing of it is out anywhere");
        } else {
          waiting_reasons_[number] = reason;
        }
        break;
      }
      case JobState::kEmpty:
        if (queue.is_held() || job.is_held) {
          waiting_reasons_[number] = "it is held";
        } else {
          propose(job, JobState::kInMaintenance, "handed over");
        }
        break;
      case JobState::kInMaintenance:
        if (is_overdue(now, wall_time, job, job.request.duration, status)) {
          propose(job, JobState::kLost, "not back in its time");
        } else {
          waiting_reasons_[number] = "whoever works on it says done";
        }
        break;
      case JobState::kReturning: {
        const auto& in_force = versions.find(versions.in_force())->rules->endpoints_in_maintenance;
        std::string reason;
        if (holds_any(in_force, job.request.endpoints)) {
          reason = "the version that brings it back is not in force yet";
        }
        for (const auto& endpoint : job.request.endpoints) {
          if (!reason.empty()) break;
          const auto it = status.endpoints.find(endpoint);
          if (it == status.endpoints.end() || !it->second.is_ready) {
            reason = endpoint + " is not in service";
          } else if (!it->second.is_warm) {
            reason = endpoint + " is still cold";
          } else if (now < observed.since + options_.warm_up_time) {
            // An endpoint list from before the restart shows the endpoint as warm. If the job ended by that
            // list, another replica of its shards could be taken out while this replica is cold.
            reason = endpoint + " may be cold: the list may tell of an earlier start";
          }
        }
        for (const auto& broker : job.request.brokers) {
          if (reason.empty() && broker != self_ && !view.live_brokers.count(broker)) {
            reason = "broker " + broker + " is not back";
          }
        }
        if (reason.empty()) {
          propose(job, JobState::kDone, "warm and in service");
        } else if (is_overdue(now, wall_time, job, 0, status)) {
          propose(job, JobState::kLost, "said to be done, and " + reason);
        } else {
          waiting_reasons_[number] = reason;
        }
        break;
      }
      default:
        break;
    }
  }
  return entry;
}

std::optional<shared_config::ConfigEntry> MaintenanceController::start_next_job(
    Time now, Time wall_time, const std::shared_ptr<const shared_config::ReplicatedStateMachine>& board,
    const JobQueue& queue) {
  for (const auto& [number, job] : queue.jobs()) {
    if (job.state == JobState::kQueued && job.request.is_emergency && !job.is_held) {
      return make_transition(now, wall_time, job, JobState::kDraining, "emergency");
    }
  }
  if (queue.is_held()) return std::nullopt;
  const auto machines_out = std::count_if(queue.jobs().begin(), queue.jobs().end(), [](const auto& entry) {
    return entry.second.is_in_progress() && entry.second.state != JobState::kLost;
  });
  if (machines_out >= queue.fleet_status().limits.max_machines) return std::nullopt;
  const auto startable = [&](std::uint64_t number) -> const Job* {
    const auto it = queue.jobs().find(number);
    return it == queue.jobs().end() || it->second.state != JobState::kQueued || it->second.is_held
               ? nullptr
               : &it->second;
  };
  // A skipped job is planned again once it may start.
  const bool has_unblocked_job =
      std::erase_if(skipped_, [&](std::uint64_t number) {
        const Job* job = startable(number);
        if (job && !(waiting_reasons_[number] = queue.blocking_reason(job->request, number)).empty()) {
          return false;
        }
        blocked_since_.erase(number);
        waiting_reasons_.erase(number);
        return true;
      }) > 0;
  if (has_unblocked_job || now >= planned_at_ + kSecond ||
      (planned_board_ != board && queue.jobs().size() <= kMaxJobsToPlanOnChange)) {
    planned_board_ = board;
    planned_at_ = now;
    plan_ = plan_jobs(queue, wall_time, nullptr, skipped_);
  }
  std::erase_if(blocked_since_, [&](const auto& blocked) { return !startable(blocked.first); });
  for (const PlannedJob& planned : plan_) {
    if (planned.start > wall_time) break;
    const Job* job = startable(planned.job);
    if (!job) continue;
    const std::string reason = queue.blocking_reason(job->request, planned.job);
    if (reason.empty()) {
      blocked_since_.erase(planned.job);
      return make_transition(now, wall_time, *job, JobState::kDraining, "its turn");
    }
    waiting_reasons_[planned.job] = reason;
    // A job whose shard has lost a replica permanently never starts, and the jobs planned after it would wait
    // forever. So the job is skipped once it has been blocked for as long as it would have taken.
    const Time since = blocked_since_.try_emplace(planned.job, now).first->second;
    if (plan_.size() > 1 &&
        now - since >= job->request.duration + queue.fleet_status().limits.transition_time) {
      skipped_.insert(planned.job);
      planned_at_ = 0;
    }
  }
  return std::nullopt;
}

}  // namespace cairnhub::maintenance
