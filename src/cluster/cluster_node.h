// This broker among the others: membership, lists in common, agreement on versions, on the event loop. Joins
// the packages that decide (peers, accord) to messages, store, event log and the operators' address; decides
// nothing.
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

class Fleet : public dispatch::ClusterControl {
 public:
  // Throws std::runtime_error with one line where an address, a key or the folder can't be had.
  Fleet(event_base* base, const options::Fleet& options, const settings::Settings& settings,
        std::uint64_t seed);
  ~Fleet() override;

  void start();
  // It may open its door: there are no versions, the leader has answered, or the wait stated is over.
  bool ready();
  void attach(Program program) { program_ = std::move(program); }
  void change_keys();  // reads the key file anew; a bad one changes nothing and is logged
  void leave();        // in good order: lease and lead, before it finishes what is in hand
  void gone();         // membership, as the last thing said: others hold it for running until then

  // ClusterControl.
  bool refresh_rules() override;
  const dispatch::RequestClassLimits& limits(int op_type) const override;
  int max_attempts() const override { return applied_->rules->sends_most; }
  bool may_hedge() const override { return applied_->rules->second_copies; }
  bool may_run_two_phase(int op_type) const override;
  bool serves_index(const std::string& name) const override;
  bool is_withheld(const std::string& node, Time started) const override;
  std::uint64_t min_list_revision() const override { return applied_->rules->list_floor; }
  void list_begins(std::uint64_t revision, bool whole) override;
  void list_endpoint(const std::string& node, Time started, EndpointState state, const std::string& locality,
                     int cell) override;
  void list_ends() override;
  void list_reset() override;
  const std::vector<ZoneLimit>& zones() const override { return zone_limits_; }
  int zone_step() const override { return zones_ ? zones_->options().local_queue_advantage : 0; }
  double exploration_share() const override { return zones_ ? zones_->options().exploration_share : 0; }
  int zone_of(const std::string& locality) const override {
    return zones_ ? zones_->zone_number(locality) : 0;
  }
  bool stays_in_region(int op_type) const override;
  bool record_attempt(int zone, int op_type) override;
  void record_attempt_end(const dispatch::TrafficAccount& whose, EndpointId node, AttemptOutcome how,
                          Time latency) override;
  void record_bytes(const dispatch::TransferredBytes& what) override;
  void record_request(int op_type, const dispatch::Request& query) override;
  bool has_byte_budgets() const override { return crossing_ && crossing_->has_limits(); }
  bool stays_in_zone(int op_type) override;

  // For the operators' address.
  const options::Fleet& options() const { return options_; }
  const membership::SwimMembership& peers() const { return peers_; }
  const shared_config::Hearsay& hearsay() const { return hearsay_; }
  const transport::Transport& transport() const { return transport_; }
  shared_config::Accord* accord() { return accord_.get(); }
  const Works* works() const { return works_.get(); }
  const zone_failover::ZoneFailover* zone_part() const { return zones_.get(); }
  const shared_config::Versions* alone() const { return alone_.get(); }  // where it decides of zones alone
  const zone_failover::CrossZoneBudget* crossing() const { return crossing_.get(); }
  const std::vector<std::string>& op_types() const { return op_types_; }
  void propose(shared_config::Entry entry, shared_config::Accord::Done done);

 private:
  void heard(const std::string& from, std::string_view body);
  void heard_lists(const std::string& from, const std::string& cargo);
  void pump(bool may_turn = true);
  void woken();
  void tell_lists(const std::vector<shared_config::Notice>& notices, const std::string& to);
  std::string lists_digest() const;
  void send_to(const std::string& to, const std::string& bytes);
  void begin_zones(const options::Zones& options, const settings::Settings& settings);
  void keep_ground();
  void note_lease();
  void look_behind();
  std::optional<zone_failover::ZoneReport> look_at_zones(Time at);
  void turn_zones();
  void turn_alone();
  void take_zones();
  void limit_crossing();
  int counted_zone(int zone) const;
  void count_hosts();

  options::Fleet options_;
  std::vector<std::string> op_types_;
  std::unique_ptr<EventLog> event_log_;
  membership::SwimMembership peers_;
  shared_config::Hearsay hearsay_;
  std::unique_ptr<shared_config::SqliteStore> store_;
  std::unique_ptr<shared_config::Accord> accord_;
  transport::Transport transport_;
  Timer wake_;
  Program program_;
  std::shared_ptr<const shared_config::Acting> applied_;
  std::vector<dispatch::RequestClassLimits> limits_;
  std::unique_ptr<zone_failover::ZoneFailover> zones_;
  std::unique_ptr<Works> works_;
  std::unique_ptr<shared_config::Versions> alone_;  // of zones, where there is no accord: a book of its own
  std::unique_ptr<zone_failover::CrossZoneBudget> crossing_;
  std::vector<double> crossing_stated_;  // bytes a second, by op type
  std::vector<ZoneLimit> zone_limits_;
  std::vector<bool> stays_in_region_;  // by op type
  std::map<std::string, Listed> listed_;
  int cells_ = 0, width_ = 0;
  std::vector<bool> far_shards_;  // that have no holder in service in the own zone
  std::vector<double> needs_;     // share of its parts that an op type needs
  Time warm_after_ = 0;
  double cold_from_ = 1;
  std::uint64_t lists_ = 0;
  bool list_whole_ = false;
  std::uint64_t hearsay_seen_ = 0, hearsay_now_ = 0, kept_ground_ = 0, kept_next_ = 0;
  Time started_at_ = 0, behind_since_ = kNever, asked_agent_at_ = 0, asked_lists_at_ = 0, noted_until_ = 0;
  std::uint64_t noted_low_ = 0, noted_high_ = 0;
  std::set<std::string> told_;  // nodes recorded as taking nothing new
  bool in_list_ = false, pumping_ = false, left_ = false, shares_new_ = false;
};

}  // namespace cairnhub::cluster
