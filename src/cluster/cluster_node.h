// This broker's node of the cluster, on the event loop. Connects membership, endpoint gossip, the shared
// configuration, zone failover and maintenance to the transport, the store and the event log. Makes no
// decision of its own.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "cluster/maintenance_agent.h"
#include "dispatch/cluster_control.h"
#include "event_log/event_log.h"
#include "membership/swim_membership.h"
#include "options/options.h"
#include "settings/settings.h"
#include "shared_config/endpoint_gossip.h"
#include "shared_config/shared_config_node.h"
#include "shared_config/sqlite_store.h"
#include "transport/transport.h"
#include "zone_failover/cross_zone_budget.h"
#include "zone_failover/zone_failover.h"

namespace cairnhub::cluster {

// Implements ClusterControl for a broker that belongs to a cluster.
class ClusterNode : public dispatch::ClusterControl {
 public:
  // Throws std::runtime_error with a one-line message if an address, a key or the folder is not usable.
  ClusterNode(event_base* base, const options::ClusterOptions& options, const settings::Settings& settings,
              std::uint64_t seed);
  ~ClusterNode() override;

  void start();
  // Returns whether the broker may accept clients: the broker has no shared configuration, the leader has
  // answered, or the configured wait is over.
  bool is_ready();
  void set_process_hooks(ProcessHooks hooks) { hooks_ = std::move(hooks); }
  // Reads the key file again. If the file is invalid, logs the error and keeps the old keys.
  void reload_keys();
  // Releases the lease and transfers the leadership. Must be called when a shutdown begins, before the
  // requests in flight are finished.
  void leave();
  // Leaves the membership. Must be called last: until then the other brokers count this broker as running.
  void announce_departure();

  // ClusterControl.
  bool refresh_rules() override;
  const dispatch::RequestClassLimits& limits(int request_class) const override;
  int max_attempts() const override { return applied_rules_->rules->max_attempts; }
  bool may_hedge() const override { return applied_rules_->rules->allows_hedging; }
  bool may_run_two_phase(int request_class) const override;
  bool serves_index(const std::string& name) const override;
  bool is_withheld(const std::string& endpoint, Time started_at) const override;
  std::uint64_t min_list_revision() const override { return applied_rules_->rules->min_list_revision; }
  void list_begins(std::uint64_t revision, bool is_complete) override;
  void list_endpoint(const std::string& endpoint, Time started_at, EndpointState state,
                     const std::string& locality, int ring_position) override;
  void list_ends() override;
  void list_reset() override;
  const std::vector<ZoneLimit>& zones() const override { return zone_limits_; }
  int zone_step() const override {
    return zone_failover_ ? zone_failover_->options().local_queue_advantage : 0;
  }
  double exploration_share() const override {
    return zone_failover_ ? zone_failover_->options().exploration_share : 0;
  }
  int zone_of(const std::string& locality) const override {
    return zone_failover_ ? zone_failover_->zone_number(locality) : 0;
  }
  bool stays_in_region(int request_class) const override;
  bool record_attempt(int zone, int request_class) override;
  void record_attempt_end(const dispatch::TrafficAccount& account, EndpointId endpoint,
                          AttemptOutcome outcome, Time latency) override;
  void record_bytes(const dispatch::TransferredBytes& bytes) override;
  void record_request(int request_class, const dispatch::Request& request) override;
  bool has_byte_budgets() const override { return cross_zone_budget_ && cross_zone_budget_->has_limits(); }
  bool stays_in_zone(int request_class) override;

  // Accessors for AdminApi. A pointer is null if the options don't configure the component.
  const options::ClusterOptions& options() const { return options_; }
  const membership::SwimMembership& membership() const { return membership_; }
  const shared_config::EndpointGossip& gossip() const { return gossip_; }
  const transport::Transport& transport() const { return transport_; }
  shared_config::SharedConfigNode* shared_config_node() { return config_node_.get(); }
  const MaintenanceAgent* maintenance_agent() const { return maintenance_agent_.get(); }
  const zone_failover::ZoneFailover* zone_failover() const { return zone_failover_.get(); }
  // Returns null unless this broker decides on zones by itself, without a shared configuration.
  const shared_config::VersionHistory* standalone_zone_versions() const {
    return standalone_zone_versions_.get();
  }
  const zone_failover::CrossZoneBudget* cross_zone_budget() const { return cross_zone_budget_.get(); }
  const std::vector<std::string>& request_classes() const { return request_classes_; }
  // Proposes an entry for the shared log. `done` gets the verdict, or nothing if there was no verdict in
  // time.
  void propose(shared_config::ConfigEntry entry, shared_config::SharedConfigNode::Done done);

 private:
  void handle_message(const std::string& from, std::string_view body);
  void handle_notices(const std::string& from, const std::string& payload);
  void process_events(bool may_call_hooks = true);
  void handle_timer();
  void send_notices(const std::vector<shared_config::EndpointNotice>& notices, const std::string& to);
  std::string notices_digest() const;
  void send_to(const std::string& to, const std::string& bytes);
  void set_up_zone_failover(const options::ZoneFailoverOptions& options, const settings::Settings& settings);
  void save_baseline();
  void record_lease();
  void check_list_lag();
  std::optional<zone_failover::ZoneReport> make_due_zone_report(Time at);
  void update_shared_zones();
  void update_standalone_zones();
  void update_class_limits();
  void update_zone_limits();
  void update_cross_zone_budgets();
  int accounted_zone(int zone) const;
  void count_endpoints();

  options::ClusterOptions options_;
  std::vector<std::string> request_classes_;
  std::unique_ptr<EventLog> event_log_;
  membership::SwimMembership membership_;
  shared_config::EndpointGossip gossip_;
  std::unique_ptr<shared_config::SqliteStore> store_;
  std::unique_ptr<shared_config::SharedConfigNode> config_node_;
  transport::Transport transport_;
  Timer timer_;
  ProcessHooks hooks_;
  std::shared_ptr<const shared_config::ActiveConfig> applied_rules_;
  std::vector<dispatch::RequestClassLimits> limits_;  // by request class; follow `applied_rules_`
  std::unique_ptr<zone_failover::ZoneFailover> zone_failover_;
  std::unique_ptr<MaintenanceAgent> maintenance_agent_;
  std::unique_ptr<shared_config::VersionHistory> standalone_zone_versions_;
  std::unique_ptr<zone_failover::CrossZoneBudget> cross_zone_budget_;
  std::vector<double> configured_byte_budgets_;  // bytes per second across zones, by request class

  std::vector<ZoneLimit> zone_limits_;
  std::vector<bool> stays_in_region_;                       // by request class
  std::map<std::string, ListedEndpoint> listed_endpoints_;  // by name
  int ring_size_ = 0;
  int replicas_per_shard_ = 0;
  std::vector<bool> is_remote_only_;     // by shard: true if no replica is in service in the home zone
  std::vector<double> required_shares_;  // by request class
  Time warm_up_time_ = 0;
  double cold_start_share_ = 1;  // capacity of a just started endpoint, as a share of a warm endpoint's
  std::uint64_t list_number_ = 0;
  bool is_list_complete_ = false;
  std::uint64_t gossip_changes_seen_ = 0;  // gossip_changes_ when the rules were last refreshed
  std::uint64_t gossip_changes_ = 0;
  std::uint64_t saved_baseline_ = 0;  // version numbers; 0: none
  std::uint64_t saved_next_baseline_ = 0;
  Time started_at_ = 0;
  Time behind_since_ = kNever;  // when the broker's own list fell behind the other brokers'
  Time list_requested_at_ = 0;
  Time notices_requested_at_ = 0;
  Time recorded_lease_until_ = 0;  // the lease as last written to the event log
  std::uint64_t recorded_lease_low_ = 0;
  std::uint64_t recorded_lease_high_ = 0;
  std::set<std::string> recorded_unavailable_;  // endpoints recorded as draining or gone in the event log
  bool is_list_open_ = false;                   // between list_begins() and list_ends()
  bool is_processing_ = false;
  bool has_left_ = false;
  bool zone_limits_changed_ = false;
};

}  // namespace cairnhub::cluster
