#include "cluster/maintenance_agent.h"

#include <time.h>

#include <algorithm>

#include "base/clock.h"
#include "base/log.h"
#include "maintenance/job_codec.h"

namespace cairnhub::cluster {

namespace {

maintenance::MaintenanceControllerOptions controller_options(const options::ClusterOptions& options,
                                                             const settings::Settings& settings) {
  maintenance::MaintenanceControllerOptions result;
  result.check_interval = options.maintenance->check_interval;
  result.max_clock_drift = options.shared_config->max_clock_drift;
  result.warm_up_time = settings.duration("rules.cold", 0);
  for (const auto& request_class : settings::request_classes(settings))
    result.max_attempt_time = std::max(result.max_attempt_time, request_class.properties.request_timeout);
  return result;
}

// Returns the time of the wall clock, because operators state the times of jobs in wall-clock time. now() is
// monotonic and does not follow changes of the wall clock.
Time wall_now() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<Time>(t.tv_sec) * kSecond + t.tv_nsec;
}

}  // namespace

MaintenanceAgent::MaintenanceAgent(event_base* base, const options::ClusterOptions& options,
                                   const settings::Settings& settings,
                                   shared_config::SharedConfigNode& config_node,
                                   const membership::SwimMembership& membership,
                                   const zone_failover::ZoneFailover* zones, EventLog* event_log, Send send)
    : options_(options),
      config_node_(config_node),
      membership_(membership),
      zone_failover_(zones),
      event_log_(event_log),
      send_(std::move(send)),
      controller_(controller_options(options, settings), options.name),
      ring_size_(settings.integer("family-info.positions")),
      replicas_per_shard_(settings.integer("family-info.width")),
      warm_up_time_(settings.duration("rules.cold", 0)),
      stop_timer_(base, [this] {
        if (stop_) stop_();
      }) {}

const maintenance::JobQueue* MaintenanceAgent::job_queue() const {
  const auto* engine = config_node_.raft_node();
  return engine ? dynamic_cast<const maintenance::JobQueue*>(engine->versions().state_machine().get())
                : nullptr;
}

maintenance::FleetStatus MaintenanceAgent::fleet_status(Time now,
                                                        const std::map<std::string, ListedEndpoint>& listed,
                                                        std::uint64_t revision) const {
  const auto& limits = *options_.maintenance;
  maintenance::FleetStatus status;
  status.revision = revision;
  status.ring_size = ring_size_;
  status.replicas_per_shard = replicas_per_shard_;
  status.limits = {limits.min_warm_replicas,       limits.max_machines,
                   limits.max_machines_per_rack,   limits.max_machines_per_zone,
                   limits.max_machines_per_region, limits.min_in_service_zone_share,
                   limits.headroom_share,          limits.lost_machine_timeout,
                   limits.transition_time,         limits.stops_on_loss};
  for (const auto& [name, endpoint] : listed) {
    if (status.endpoints.size() >= maintenance::JobQueue::kMaxEndpoints ||
        endpoint.ring_position >= ring_size_)
      continue;
    status.endpoints[name] = {endpoint.ring_position, endpoint.zone, endpoint.is_ready,
                              endpoint.started_at == 0 || now - endpoint.started_at >= warm_up_time_};
    if (!endpoint.zone.empty()) status.zones.try_emplace(endpoint.zone);
  }
  if (zone_failover_) {
    for (const auto& zone : zone_failover_->options().zones) status.zones[zone.name].region = zone.region;
    for (const auto& explanation : zone_failover_->explain()) {
      const auto it = status.zones.find(explanation.zone);
      if (it == status.zones.end()) continue;
      it->second.serves_locally = explanation.state == zone_failover::FailoverState::kLocal;
      it->second.load_per_second = explanation.health.load_per_second;
      it->second.capacity_per_second = explanation.health.capacity_per_second;
    }
  }
  status.voters = config_node_.raft_node()->voter_names();
  return status;
}

void MaintenanceAgent::run_check(Time now, const ProcessHooks& hooks,
                                 const shared_config::ActiveConfig& acting,
                                 const std::map<std::string, ListedEndpoint>& listed,
                                 std::uint64_t revision) {
  if (now < controller_.next_check_at()) return;
  controller_.schedule_next_check(now);
  // Sends no report if the lease that these rules belong to has expired in the meantime, because such a
  // report would prove nothing. The next check sends a report.
  if (!acting.rules->endpoints_in_maintenance.empty() && hooks.drain_endpoint &&
      acting.low == config_node_.active_config(now)->low) {
    maintenance::MaintenanceMessage message;
    message.open_attempts.emplace();
    message.open_attempts->lease_low_version = acting.low;
    for (const auto& endpoint : acting.rules->endpoints_in_maintenance)
      message.open_attempts->by_endpoint[endpoint] = hooks.drain_endpoint(endpoint);
    if (config_node_.leader() == options_.name ||
        (config_node_.raft_node() && config_node_.raft_node()->is_leader()))
      controller_.record_report(now, options_.name, std::move(*message.open_attempts));
    else if (!config_node_.leader().empty())
      send_(config_node_.leader(), encode_message(message));
  }
  const auto* engine = config_node_.raft_node();
  const auto* jobs = job_queue();
  if (!engine || !jobs) return;
  config_node_.set_retiring_brokers(controller_.retiring_brokers(*jobs));
  if (!engine->is_leader()) return controller_.stop_leading();
  if (revision == 0) return;  // no endpoint list has arrived yet
  maintenance::LeaderView view;
  view.fleet_status = fleet_status(now, listed, revision);
  view.leases = config_node_.lease_manager().brokers();
  view.voters = engine->voter_names();
  for (const auto* member : membership_.members().live()) view.live_brokers.insert(member->update.name);
  auto entry = controller_.next_entry(now, wall_now(), engine->versions(), view);
  for (const auto& broker : controller_.brokers_to_stop()) {
    maintenance::MaintenanceMessage message;
    for (const auto& [number, job] : jobs->jobs())
      if (job.takes_endpoints_out() &&
          std::count(job.request.brokers.begin(), job.request.brokers.end(), broker))
        message.stop_for_job = number;
    if (message.stop_for_job) send_(broker, encode_message(message));
  }
  if (!entry) return;
  log("upkeep", "%s", entry->why.c_str());
  config_node_.propose(now, std::move(*entry),
                       [this](const std::optional<shared_config::ApplyResult>& verdict) {
                         if (verdict && !verdict->number)
                           log("upkeep", "proposal refused: %s", verdict->rejection.c_str());
                         controller_.record_proposal_result(verdict && verdict->number);
                       });
}

void MaintenanceAgent::handle_message(Time now, const ProcessHooks& hooks, const std::string& from,
                                      std::string_view bytes) {
  auto message = maintenance::decode_message(bytes);
  if (!message) return;
  if (message->open_attempts) controller_.record_report(now, from, std::move(*message->open_attempts));
  if (message->stop_for_job) stop_broker(hooks, message->stop_for_job);
}

// Makes the health check fail first, so that load balancers stop sending requests, and shuts down as on
// SIGTERM after the configured notice time.
void MaintenanceAgent::stop_broker(const ProcessHooks& hooks, std::uint64_t job) {
  if (is_stopping_ || !hooks.stop) return;
  is_stopping_ = true;
  log("upkeep", "maintenance job %llu takes this machine out: stopping this broker",
      static_cast<unsigned long long>(job));
  if (event_log_) event_log_->record_event("stands_down").with("work", job);
  if (hooks.set_not_ready) hooks.set_not_ready();
  stop_ = hooks.stop;
  stop_timer_.start(options_.maintenance ? options_.maintenance->leave_notice : 0);
}

void MaintenanceAgent::record_job_changes() {
  const auto* jobs = job_queue();
  if (!jobs || !event_log_) return;
  for (const auto& [number, job] : jobs->jobs()) {
    const auto [it, is_new] = recorded_states_.try_emplace(number, job.state);
    if (!is_new && it->second == job.state) continue;
    it->second = job.state;
    std::string endpoints;
    for (const auto& endpoint : job.request.endpoints) endpoints += (endpoints.empty() ? "" : " ") + endpoint;
    event_log_->record_event("work")
        .with("work", number)
        .with("machine", job.request.machine)
        .with("step", maintenance::job_state_name(job.state))
        .with("nodes", endpoints)
        .with("index", config_node_.raft_node()->applied_index())
        .with("why", job.state_reason);
  }
  std::erase_if(recorded_states_, [&](const auto& recorded) { return !jobs->jobs().count(recorded.first); });
}

}  // namespace cairnhub::cluster
