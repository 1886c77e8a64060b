// This broker's part in maintenance jobs, on the event loop.
//
// Reports its open attempts at endpoints that are taken out to the leader. At the leader, feeds the
// maintenance controller with what this broker sees of the cluster and proposes the entries that it returns.
// Stops the broker if its own machine is taken out. Makes no decision of its own.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer.h"
#include "event_log/event_log.h"
#include "maintenance/maintenance_controller.h"
#include "membership/swim_membership.h"
#include "options/options.h"
#include "settings/settings.h"
#include "shared_config/shared_config_node.h"
#include "zone_failover/zone_failover.h"

namespace cairnhub::cluster {

// What the cluster's code calls in the rest of the broker.
struct ProcessHooks {
  std::function<void()> rules_changed;  // the rules or the withheld endpoints may have changed
  std::function<void()> request_list;   // requests the complete endpoint list from the agent at once
  // Returns the number of open attempts at the endpoint; at 0 its connections are closed.
  std::function<int(const std::string& endpoint)> drain_endpoint;
  std::function<void()> set_not_ready;  // fails the health check from now on
  std::function<void()> stop;           // shuts down as on SIGTERM
};

// An endpoint in this broker's own list.
struct ListedEndpoint {
  std::string zone;  // empty: not a configured one
  int ring_position = 0;
  Time started_at = 0;  // 0: long ago
  bool is_ready = false;
  std::uint64_t list_number = 0;  // of the last list that names it
};

class MaintenanceAgent {
 public:
  // Sends bytes to a broker by name.
  using Send = std::function<void(const std::string& to, const std::string& bytes)>;
  // @param zones      null: zones are not configured
  // @param event_log  null: no events are recorded
  MaintenanceAgent(event_base* base, const options::ClusterOptions& options,
                   const settings::Settings& settings, shared_config::SharedConfigNode& config_node,
                   const membership::SwimMembership& membership, const zone_failover::ZoneFailover* zones,
                   EventLog* event_log, Send send);

  Time next_check_at() const { return controller_.next_check_at(); }
  // Sends the report of open attempts and, at the leader, proposes the next entry. Does nothing before the
  // next check is due.
  // @param acting    the rules that the request path acts on
  // @param listed    the endpoints of this broker's own list, by name
  // @param revision  of that list; 0: none has arrived yet
  void run_check(Time now, const ProcessHooks& hooks, const shared_config::ActiveConfig& acting,
                 const std::map<std::string, ListedEndpoint>& listed, std::uint64_t revision);
  void handle_message(Time now, const ProcessHooks& hooks, const std::string& from, std::string_view bytes);
  void forget_broker(const std::string& broker) { controller_.forget_broker(broker); }
  // Writes the jobs whose state has changed to the event log. Call it when an entry on jobs was applied.
  void record_job_changes();

  // The jobs as this broker's copy of the log has them; null if it keeps no copy.
  const maintenance::JobQueue* job_queue() const;
  const maintenance::MaintenanceController& controller() const { return controller_; }

 private:
  maintenance::FleetStatus fleet_status(Time now, const std::map<std::string, ListedEndpoint>& listed,
                                        std::uint64_t revision) const;
  void stop_broker(const ProcessHooks& hooks, std::uint64_t job);

  const options::ClusterOptions& options_;
  shared_config::SharedConfigNode& config_node_;
  const membership::SwimMembership& membership_;
  const zone_failover::ZoneFailover* zone_failover_;
  EventLog* event_log_;
  Send send_;
  maintenance::MaintenanceController controller_;
  int ring_size_;
  int replicas_per_shard_;
  Time warm_up_time_;
  std::map<std::uint64_t, maintenance::JobState>
      recorded_states_;  // by job, as last written to the event log
  Timer stop_timer_;
  std::function<void()> stop_;
  bool is_stopping_ = false;
};

}  // namespace cairnhub::cluster
