// Handles this broker's side of maintenance jobs, on the event loop.
//
// Reports the broker's open attempts at endpoints that are taken out to the leader. At the leader, passes
// this broker's view of the cluster to the maintenance controller and proposes the entries that the
// controller returns. Stops the broker if its own machine is taken out. Makes no decision of its own.
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

// Functions of the rest of the broker that the cluster's code calls.
struct ProcessHooks {
  std::function<void()> rules_changed;  // the rules or the withheld endpoints may have changed
  std::function<void()> request_list;   // requests the complete endpoint list from the agent at once
  // Returns the number of open attempts at the endpoint; closes the endpoint's connections if there are none.
  std::function<int(const std::string& endpoint)> drain_endpoint;
  std::function<void()> set_not_ready;  // makes the health check fail from now on
  std::function<void()> stop;           // shuts down as on SIGTERM
};

// An endpoint in this broker's own list.
struct ListedEndpoint {
  std::string zone;  // empty: not in a configured zone
  int ring_position = 0;
  Time started_at = 0;  // 0: long ago
  bool is_ready = false;
  std::uint64_t list_number = 0;  // number of the last list that names the endpoint
};

// Runs the maintenance controller's checks and carries out their results.
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
  // @param revision  revision of this broker's own list; 0: no list has arrived yet
  void run_check(Time now, const ProcessHooks& hooks, const shared_config::ActiveConfig& acting,
                 const std::map<std::string, ListedEndpoint>& listed, std::uint64_t revision);
  void handle_message(Time now, const ProcessHooks& hooks, const std::string& from, std::string_view bytes);
  void forget_broker(const std::string& broker) { controller_.forget_broker(broker); }
  // Writes the jobs whose state has changed to the event log. Must be called when an entry on jobs was
  // applied.
  void record_job_changes();

  // Returns the jobs in this broker's copy of the log; null if the broker keeps no copy.
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
  // The states last written to the event log, by job.
  std::map<std::uint64_t, maintenance::JobState> recorded_states_;
  Timer stop_timer_;
  std::function<void()> stop_;
  bool is_stopping_ = false;
};

}  // namespace cairnhub::cluster
