// Exhaustive check of a small model of one maintenance job: brokers that renew leases, open attempts at an
// endpoint and see them end, or do nothing; a leader that drains the endpoint and may be replaced by one that
// knows the log alone. Messages arrive late, in any order, or never. The model drives the production classes.
// In every state in which the machine is handed over, no attempt is open there and no broker would open one.
//
// `works break N` removes defence N and must find a state where the property doesn't hold.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "explore.h"
#include "maintenance/maintenance_controller.h"
#include "shared_config/leases.h"

using namespace cairnhub;
using namespace cairnhub::shared_config;

namespace {

constexpr std::size_t kMaxBrokers = 2;
constexpr std::size_t kMaxMessagesInFlight = 1;  // each may be lost
constexpr Time kMaxAttemptTime = 2;
const std::string kBrokerNames[kMaxBrokers] = {"x", "y"};
const std::set<std::string> kVoters{"v1"};
std::size_t broker_count = 1;
int max_lease_requests = 4;
int max_attempts = 1;
int max_leader_changes = 0;
Time end_at = 5;
int removed_defence = 0;

LeaseSettings lease_terms() {
  LeaseSettings terms;
  terms.max_divergence = 4;  // a span of 2 steps
  terms.max_clock_drift = 0;
  return terms;
}
maintenance::MaintenanceControllerOptions controller_options() {
  maintenance::MaintenanceControllerOptions options;
  options.max_attempt_time = removed_defence == 2 ? 0 : kMaxAttemptTime;
  options.max_clock_drift = 0;
  options.status_interval = 0;
  return options;
}
maintenance::FleetStatus fleet_status() {
  maintenance::FleetStatus status;
  status.ring_size = 2;
  status.replicas_per_shard = 2;
  status.limits.min_warm_replicas = 1;
  status.limits.min_zone_share_in_service = 0;
  status.limits.transition_time = 0;
  status.endpoints["n"] = {0, "", true, true};
  status.endpoints["m"] = {1, "", true, true};
  return status;
}

// Histories by number, so that a state's key holds a number: equal histories have the same one.
std::vector<VersionHistory> histories;
int history_after(int history, ConfigEntry entry) {
  static std::map<std::pair<int, std::string>, int> by_entry;
  static std::map<std::string, int> by_content;
  // Not part of the state.
  entry.id.clear();
  entry.why.clear();
  const auto [it, is_new_entry] = by_entry.try_emplace({history, encode(entry)}, 0);
  if (!is_new_entry) return it->second;
  VersionHistory next = histories[static_cast<std::size_t>(history)];
  next.apply(entry);
  const auto [at, is_new_history] =
      by_content.try_emplace(next.snapshot(), static_cast<int>(histories.size()));
  if (is_new_history) histories.push_back(std::move(next));
  return it->second = at->second;
}

struct State {
  Time now = 1;
  int history = 0;
  std::vector<LeaseClient> holders{broker_count, LeaseClient(lease_terms(), RuleSet{})};
  int lease_requests[kMaxBrokers] = {0, 0};
  int attempts[kMaxBrokers] = {0, 0};
  Time open_since[kMaxBrokers] = {0, 0};  // an attempt at the endpoint; 0: none
  LeaseManager leader{lease_terms()};
  maintenance::MaintenanceController controller{controller_options(), "v1"};
  int leader_changes = 0;
  // Decided by the leader, not yet committed.
  std::uint64_t version_to_force = 0;
  std::uint64_t baseline_to_force = 0;
  std::optional<ConfigEntry> proposed;  // by the controller, not yet committed
  std::vector<std::pair<int, LeaseRequest>> asks;
  std::vector<std::pair<int, LeaseGrant>> grants;
  std::vector<std::pair<int, maintenance::OpenAttemptsReport>> reports;

  const VersionHistory& versions() const { return histories[static_cast<std::size_t>(history)]; }
  const maintenance::Job& job() const {
    return static_cast<const maintenance::JobQueue&>(*versions().state_machine()).jobs().begin()->second;
  }
  std::size_t messages_in_flight() const { return asks.size() + grants.size() + reports.size(); }
  // Whether the broker may open an attempt at the endpoint.
  bool may_send(std::size_t broker) const {
    // Without defence 3 the broker doesn't look at its clock and acts on under its last lease.
    const Time at = removed_defence == 3 && holders[broker].lease_expires_at() > 0
                        ? std::min(now, holders[broker].lease_expires_at() - 1)
                        : now;
    return holders[broker].active_config(at)->rules->endpoints_in_maintenance.count("n") == 0;
  }
  std::string key() const {
    std::string key = std::to_string(now) + ' ' + std::to_string(history) + ' ' +
                      std::to_string(version_to_force) + ' ' + std::to_string(baseline_to_force) + ' ' +
                      std::to_string(leader_changes);
    for (std::size_t i = 0; i < broker_count; ++i) {
      key += ' ' + std::to_string(lease_requests[i]) + std::to_string(attempts[i]) +
             std::to_string(open_since[i]) + canonical_text(holders[i].baseline_rules());
      holders[i].append_state(now, key);
    }
    leader.append_state(now, key);
    controller.append_state(now, key);
    if (proposed) key += encode(*proposed);
    for (const auto& [broker, ask] : asks) {
      key += 'a' + std::to_string(broker) + ' ' + std::to_string(ask.sequence) + ' ' +
             std::to_string(ask.current_grant) + ' ' + std::to_string(ask.newest_version) + ' ' +
             std::to_string(ask.baseline) + ' ' + std::to_string(ask.settled_baseline);
    }
    for (const auto& [broker, grant] : grants) {
      key += 'g' + std::to_string(broker) + ' ' + std::to_string(grant.sequence) + ' ' +
             std::to_string(grant.low) + ' ' + std::to_string(grant.high) + ' ' +
             std::to_string(grant.baseline ? grant.baseline->number : 0) + ' ' +
             std::to_string(grant.next_baseline ? grant.next_baseline->number : 0) + ' ' +
             std::to_string(grant.versions.size());
    }
    for (const auto& [broker, report] : reports) {
      key += 'c' + std::to_string(broker) + ' ' + std::to_string(report.lease_low_version) + ' ' +
             std::to_string(report.by_endpoint.at("n"));
    }
    return key;
  }
  bool good() const {
    if (job().state != maintenance::JobState::kInMaintenance) return true;
    for (std::size_t i = 0; i < broker_count; ++i) {
      if (open_since[i] || may_send(i)) return false;
    }
    return true;
  }
};

// The leader is the only voter here, and confirms its own round at once.
void confirm_round(State& state) {
  if (const auto round = state.leader.start_round(state.now)) {
    state.leader.handle_confirmation(state.now, "v1", 1, *round, state.versions());
  }
  for (auto& granted : state.leader.take_grants()) {
    state.grants.emplace_back(granted.to == "x" ? 0 : 1, std::move(granted.grant));
  }
}

std::vector<State> states_after(const State& state) {
  std::vector<State> all;
  const auto add_next = [&]() -> State& { return all.emplace_back(state); };
  if (state.now < end_at) {
    State& next = add_next();
    ++next.now;
    // The endpoint drops an attempt when its time is over, whatever the broker does.
    for (std::size_t i = 0; i < broker_count; ++i) {
      if (next.open_since[i] && next.now >= next.open_since[i] + kMaxAttemptTime) next.open_since[i] = 0;
    }
  }
  for (std::size_t i = 0; i < broker_count; ++i) {
    if (state.lease_requests[i] < max_lease_requests && state.messages_in_flight() < kMaxMessagesInFlight) {
      State& next = add_next();
      ++next.lease_requests[i];
      next.asks.emplace_back(static_cast<int>(i), next.holders[i].make_request(next.now));
    }
    if (state.attempts[i] < max_attempts && !state.open_since[i] && state.may_send(i)) {
      State& next = add_next();
      ++next.attempts[i];
      next.open_since[i] = next.now;
    }
    if (state.open_since[i]) add_next().open_since[i] = 0;
    // A report of open attempts, under the lease that the broker acts on at this moment.
    const auto& acting = *state.holders[i].active_config(state.now);
    if (acting.low && acting.rules->endpoints_in_maintenance.count("n") &&
        state.messages_in_flight() < kMaxMessagesInFlight) {
      State& next = add_next();
      maintenance::OpenAttemptsReport report;
      report.lease_low_version = acting.low;
      report.by_endpoint["n"] = removed_defence == 1 ? 0 : next.open_since[i] != 0;
      next.reports.emplace_back(static_cast<int>(i), report);
    }
  }
  const auto erase_at = [](auto& list, std::size_t index) {
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(index));
  };
  // Each message is lost in one next state and arrives in another.
  for (std::size_t m = 0; m < state.asks.size(); ++m) {
    erase_at(add_next().asks, m);
    State& next = add_next();
    const auto [broker, ask] = next.asks[m];
    erase_at(next.asks, m);
    next.leader.handle_request(next.now, kBrokerNames[broker], ask);
    confirm_round(next);
  }
  for (std::size_t m = 0; m < state.grants.size(); ++m) {
    erase_at(add_next().grants, m);
    State& next = add_next();
    const auto [broker, grant] = next.grants[m];
    erase_at(next.grants, m);
    next.holders[static_cast<std::size_t>(broker)].handle_grant(next.now, grant);
  }
  for (std::size_t m = 0; m < state.reports.size(); ++m) {
    erase_at(add_next().reports, m);
    State& next = add_next();
    const auto [broker, report] = next.reports[m];
    erase_at(next.reports, m);
    next.controller.record_report(next.now, kBrokerNames[broker], report);
  }
  const auto history_with = [&](ConfigEntry::Kind kind, std::uint64_t number) {
    ConfigEntry entry;
    entry.kind = kind;
    entry.number = number;
    return history_after(state.history, entry);
  };
  if (!state.version_to_force) {
    if (const auto version = state.leader.activatable_version(state.now, state.versions())) {
      add_next().version_to_force = version;
    }
  }
  if (state.version_to_force) {
    State& next = add_next();
    next.history = history_with(ConfigEntry::Kind::kActivateVersion, state.version_to_force);
    next.version_to_force = 0;
  }
  if (!state.baseline_to_force && state.versions().next_baseline() &&
      state.leader.may_activate_baseline(state.versions())) {
    add_next().baseline_to_force = state.versions().next_baseline()->number;
  }
  if (state.baseline_to_force) {
    State& next = add_next();
    next.history = history_with(ConfigEntry::Kind::kActivateBaseline, state.baseline_to_force);
    next.baseline_to_force = 0;
  }
  if (!state.proposed) {
    State& next = add_next();
    maintenance::LeaderView view;
    view.fleet_status = fleet_status();
    view.leases = next.leader.brokers();
    next.proposed = next.controller.next_entry(next.now, 0, next.versions(), view);
    if (!next.proposed && next.key() == state.key()) all.pop_back();
  } else {
    State& next = add_next();
    next.history = history_after(next.history, *next.proposed);
    next.proposed.reset();
    next.controller.record_proposal_result(true);
  }
  if (state.leader_changes < max_leader_changes) {
    State& next = add_next();
    ++next.leader_changes;
    next.proposed.reset();
    next.version_to_force = next.baseline_to_force = 0;
    next.controller = maintenance::MaintenanceController(controller_options(), "v1");
    next.leader = LeaseManager(lease_terms());
    next.leader.start_term(next.now, 1, kVoters, "v1");
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "break") {
    removed_defence = std::atoi(argv[2]);
  } else if (argc > 5) {
    broker_count = static_cast<std::size_t>(std::atoi(argv[1]));
    max_lease_requests = std::atoi(argv[2]);
    max_attempts = std::atoi(argv[3]);
    max_leader_changes = std::atoi(argv[4]);
    end_at = std::atoll(argv[5]);
  }
  histories.emplace_back(std::make_shared<maintenance::JobQueue>());
  State first;
  const auto commit = [&](ConfigEntry entry) {
    first.history = history_after(first.history, std::move(entry));
  };
  for (std::size_t i = 0; i < broker_count; ++i) {
    ConfigEntry entry;
    entry.kind = ConfigEntry::Kind::kEnrollBroker;
    entry.name = kBrokerNames[i];
    commit(entry);
  }
  ConfigEntry entry;
  entry.kind = ConfigEntry::Kind::kStateMachine;
  maintenance::JobOperation operation;
  operation.fleet_status = fleet_status();
  entry.text = maintenance::encode_operation(operation);
  commit(entry);
  operation.fleet_status.reset();
  operation.request.emplace();
  operation.request->machine = "machine";
  operation.request->endpoints = {"n"};
  operation.request->duration = kSecond;
  entry.text = maintenance::encode_operation(operation);
  commit(entry);
  first.leader.start_term(first.now - lease_terms().lease_duration(), 1, kVoters, "v1");
  bool was_handed_over = false;
  bool with_lease = false;
  bool without_lease = false;
  const Explored all = explore(first, true, states_after, [&](const State& state) {
    if (state.job().state != maintenance::JobState::kInMaintenance) return;
    was_handed_over = true;
    for (std::size_t i = 0; i < broker_count; ++i) {
      (state.holders[i].lease_expires_at() > state.now ? with_lease : without_lease) = true;
    }
  });
  if (removed_defence) {
    std::printf("with a defence out: %s\n",
                all.broken.empty() ? "NOTHING found" : "something reaches a machine at work");
    return all.broken.empty() ? 1 : 0;
  }
  if (!all.broken.empty()) {
    std::printf("BROKEN: something reaches a machine at work: %s\n", all.broken.c_str());
    return 1;
  }
  std::printf(
      "%zu states, %llu ways, all there are: nothing is out at a machine at work, and nobody sends it "
      "anything\n",
      all.states, static_cast<unsigned long long>(all.ways));
  std::printf("handed over: %s; while a broker holds a lease: %s, and while it holds none: %s\n",
              was_handed_over ? "yes" : "NO", with_lease ? "yes" : "NO", without_lease ? "yes" : "NO");
  return was_handed_over ? 0 : 1;
}
