#include "cluster/cluster_node.h"

#include <sodium.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "base/clock.h"
#include "base/log.h"
#include "dispatch/request.h"
#include "membership/message_codec.h"
#include "shared_config.pb.h"
#include "zone_failover/zone_report.h"

namespace cairnhub::cluster {

namespace {

// The first byte of a message between brokers is its kind.
constexpr char kMembershipMessage = 'P';
constexpr char kSharedConfigMessage = 'A';
constexpr char kZoneReportMessage = 'Z';
constexpr char kMaintenanceMessage = 'U';

// A broker that learns of a drain sends the notice to this many other brokers. The notice then reaches a
// share c of all brokers with c = 1 - exp(-4 c), which is 0.98 (Kermack and McKendrick); the rest learn of
// the drain through the digests on pings.
constexpr int kNoticeFanout = 4;
constexpr std::size_t kMaxNoticesPerMessage = 24;
constexpr Time kNoticeRequestInterval = kSecond / 4;
constexpr Time kListRequestInterval = kSecond;
// A newer list may still be in transit from the agent until the own list has been behind for this long.
constexpr Time kMaxListLag = 3 * kSecond / 10;

membership::MembershipOptions membership_options(const options::ClusterOptions& options) {
  membership::MembershipOptions result;
  result.probe_interval = options.probe_interval;
  result.probe_timeout = options.probe_timeout;
  result.ping_resend_interval = options.probe_timeout / 4;
  result.dead_member_retry_interval = std::min<Time>(kSecond, 2 * options.probe_interval);
  result.min_full_sync_interval = 4 * options.probe_interval;
  return result;
}

shared_config::SharedConfigSettings shared_config_terms(const options::SharedConfigOptions& options) {
  shared_config::SharedConfigSettings terms;
  terms.lease.max_divergence = options.max_divergence_time;
  terms.lease.max_clock_drift = options.max_clock_drift;
  terms.voters = options.voters;
  terms.incarnation = randombytes_random();
  terms.voter_replacement_delay = options.voter_replacement_delay;
  // Elections take a small share of the stated time, so that the first commits after an election also fit
  // into the stated time.

  const Time ms = kSecond / 1000;
  terms.raft.election_timeout = std::clamp<Time>(options.max_divergence_time / 8, 60 * ms, 300 * ms);
  terms.raft.heartbeat_interval = terms.raft.election_timeout / 5;
  terms.raft.tick_interval = std::max<Time>(5 * ms, terms.raft.election_timeout / 15);
  return terms;
}

// A request class may cross regions only if two attempts, one after the other, fit into its latency
// objective.
constexpr int kMinRoundTripsInObjective = 4;
// With fewer attempts within the load window, a zone's health is not evaluated.
constexpr double kMinAttemptsInWindow = 5;

zone_failover::ZoneFailoverOptions zone_failover_options(const options::ZoneFailoverOptions& options) {
  zone_failover::ZoneFailoverOptions result;
  result.home_zone = options.home_zone;
  for (const auto& zone : options.zones)
    result.zones.push_back({zone.name, zone.region, zone.endpoint_capacity_per_second});
  result.zone_failover.confirmation_time = options.confirmation_time;
  result.zone_failover.min_dwell = options.min_dwell;
  result.zone_failover.max_dwell = 16 * options.min_dwell;
  result.zone_failover.step_interval = options.step_interval;
  result.region_failover = result.zone_failover;
  result.region_failover.confirmation_time = options.region_confirmation_time;
  result.region_failover.min_dwell = options.min_region_dwell;
  result.region_failover.max_dwell = 16 * options.min_region_dwell;
  result.traffic_split.headroom_share = options.headroom_share;
  result.traffic_split.min_share_thousandths = options.min_share_thousandths;
  // Several reports must fall within the confirmation time.
  result.report_interval = std::max<Time>(options.confirmation_time / 4, kSecond / 20);
  result.load_window = 2 * result.report_interval;
  result.health.max_report_age = 3 * result.report_interval;
  result.health.min_attempts_per_second = kMinAttemptsInWindow / seconds(result.load_window);
  result.increase_delay = options.min_dwell;
  result.local_queue_advantage = options.local_queue_advantage;
  result.exploration_share = options.exploration_share;
  return result;
}

const char* name_of(EndpointState state) {
  return state == EndpointState::kReady ? "ready" : state == EndpointState::kDraining ? "draining" : "gone";
}

shared_config::RuleSet read_baseline(const options::SharedConfigOptions& options) {
  if (options.baseline_path.empty()) return {};
  std::ifstream in(options.baseline_path, std::ios::binary);
  if (!in)
    throw std::runtime_error(options.baseline_path + ": the file with the baseline rules can't be read");
  return shared_config::parse_rule_set({std::istreambuf_iterator<char>(in), {}}, options.baseline_path);
}

}  // namespace

ClusterNode::ClusterNode(event_base* base, const options::ClusterOptions& options,
                         const settings::Settings& settings, std::uint64_t seed)
    : options_(options),
      membership_(membership_options(options), options.name, options.advertised_address, seed),
      transport_(base, options.listen_address, options.name, transport::read_keys(options.key_path),
                 [this](const std::string& from, std::string_view body) { handle_message(from, body); }),
      timer_(base, [this] { handle_timer(); }) {
  for (const auto& request_class : settings::request_classes(settings))
    request_classes_.push_back(request_class.name);
  if (!options.event_log_path.empty())
    event_log_ = std::make_unique<EventLog>(options.event_log_path, options.name);
  for (const auto& peer : options.peers) membership_.add_configured_member(peer.name, peer.address);
  if (options.shared_config) {
    shared_config::RuleSet baseline = read_baseline(*options.shared_config);
    if (!options.shared_config->store_folder.empty()) {
      std::string damaged_store;
      std::uint64_t id;
      randombytes_buf(&id, sizeof id);
      store_ =
          shared_config::SqliteStore::open(options.shared_config->store_folder, id >> 1 | 1, &damaged_store);
      if (!damaged_store.empty()) {
        log("accord", "the store is damaged: renamed to %s; this broker joins again with an empty store",
            damaged_store.c_str());
        if (event_log_) event_log_->record_event("set_aside").with("as", damaged_store);
      }
    }
    config_node_ = std::make_unique<shared_config::SharedConfigNode>(
        shared_config_terms(*options.shared_config), options.name, store_.get(), std::move(baseline),
        seed + 1, std::make_shared<maintenance::JobQueue>());
    std::string text;
    std::uint64_t number = 0;
    if (store_ && store_->baseline(text, number)) {
      shared_config::Version saved;
      saved_baseline_ = number;
      saved.number = number;
      saved.text = text;
      saved.hash = shared_config::content_hash(text);
      saved.rules = std::make_shared<const shared_config::RuleSet>(
          shared_config::parse_accepted_rule_set(text, "saved baseline"));
      config_node_->restore_baseline(saved);
    }
    config_node_->on_applied = [this](const shared_config::ConfigEntry& entry,
                                      const shared_config::ApplyResult& verdict) {
      if (!event_log_) return;
      event_log_->record_event("applied")
          .with("kind", static_cast<std::uint64_t>(entry.kind))
          .with("number", verdict.number)
          .with("id", entry.id)
          .with("index",
                config_node_ && config_node_->raft_node() ? config_node_->raft_node()->applied_index() : 0)
          .with("refused", verdict.rejection);
      if (maintenance_agent_ && entry.kind == shared_config::ConfigEntry::Kind::kStateMachine)
        maintenance_agent_->record_job_changes();
    };
    config_node_->on_unreadable_grant = [](const std::string& from, const std::string& fault) {
      log("accord", "a grant of %s can't be read, this broker gets no lease from it: %s", from.c_str(),
          fault.c_str());
    };
    applied_rules_ = config_node_->active_config(now());
  } else {
    auto none = std::make_shared<shared_config::ActiveConfig>();
    none->rules = std::make_shared<const shared_config::RuleSet>();
    applied_rules_ = std::move(none);
  }
  update_class_limits();
  stays_in_region_.resize(request_classes_.size());
  warm_up_time_ = settings.duration("rules.cold", 0);
  cold_start_share_ = settings.number("rules.cold-from", 1);
  ring_size_ = settings.integer("family-info.positions");
  replicas_per_shard_ = settings.integer("family-info.width");
  if (options.zone_failover) set_up_zone_failover(*options.zone_failover, settings);
  if (options.maintenance)
    maintenance_agent_ = std::make_unique<MaintenanceAgent>(
        base, options_, settings, *config_node_, membership_, zone_failover_.get(), event_log_.get(),
        [this](const std::string& to, const std::string& bytes) {
          send_to(to, kMaintenanceMessage + bytes);
        });
}

void ClusterNode::set_up_zone_failover(const options::ZoneFailoverOptions& options,
                                       const settings::Settings& settings) {
  zone_failover_ =
      std::make_unique<zone_failover::ZoneFailover>(zone_failover_options(options), options_.name);
  const auto classes = settings::request_classes(settings);
  for (const auto& request_class : classes)
    required_shares_.push_back(request_class.properties.required_share);
  for (std::size_t i = 0; i < classes.size(); ++i)
    stays_in_region_[i] =
        std::count(options.region_bound_classes.begin(), options.region_bound_classes.end(),
                   classes[i].name) > 0 ||
        classes[i].properties.latency_objective < kMinRoundTripsInObjective * options.region_round_trip_time;
  if (!config_node_) standalone_zone_versions_ = std::make_unique<shared_config::VersionHistory>();
  cross_zone_budget_ =
      std::make_unique<zone_failover::CrossZoneBudget>(options.max_saved_budget_time, classes.size());
  configured_byte_budgets_.assign(classes.size(), zone_failover::kNoBudget);
  for (const auto& [name, bytes_per_second] : options.cross_zone_bytes_per_second)
    for (std::size_t i = 0; i < classes.size(); ++i)
      if (classes[i].name == name) configured_byte_budgets_[i] = static_cast<double>(bytes_per_second);
  update_cross_zone_budgets();
  update_zone_limits();
}

ClusterNode::~ClusterNode() = default;

void ClusterNode::start() {
  started_at_ = now();
  if (event_log_) event_log_->record_event("starts").with("address", options_.advertised_address);
  membership_.start(started_at_);
  if (config_node_) config_node_->start(started_at_);
  process_events();
}

bool ClusterNode::is_ready() {
  return !config_node_ || config_node_->has_leader_answered() ||
         now() - started_at_ >= options_.shared_config->max_start_wait;
}

void ClusterNode::reload_keys() {
  try {
    transport_.rotate_keys(transport::read_keys(options_.key_path));
    log("fleet", "key file %s read again", options_.key_path.c_str());
  } catch (const std::exception& e) {
    log("fleet", "key file not applied, the old keys stay in use: %s", e.what());
  }
}

void ClusterNode::leave() {
  if (has_left_) return;
  has_left_ = true;
  if (config_node_) config_node_->leave(now());
  if (event_log_) event_log_->record_event("leaves").with("low", std::uint64_t{0});
  process_events();
}

// The maintenance of a machine may begin once its brokers have left the membership. If a broker left before
// it had finished its requests in flight, these requests would be lost with the machine.
void ClusterNode::announce_departure() {
  if (event_log_) event_log_->record_event("gone");
  membership_.leave();
  process_events();
}

void ClusterNode::handle_message(const std::string& from, std::string_view body) {
  if (body.empty() || (has_left_ && body.front() != kMembershipMessage)) return;
  const char kind = body.front();
  body.remove_prefix(1);
  if (kind == kMembershipMessage) {
    const auto message = membership::decode(body);
    if (!message) return;
    membership_.receive(now(), from, *message);
    if (!message->payload.empty()) handle_notices(from, message->payload);
  } else if (kind == kSharedConfigMessage && config_node_) {
    accord::wire::Packet packet;
    if (packet.ParseFromArray(body.data(), static_cast<int>(body.size())))
      config_node_->handle_message(now(), from, packet);
  } else if (kind == kMaintenanceMessage && maintenance_agent_) {
    maintenance_agent_->handle_message(now(), hooks_, from, body);
  } else if (kind == kZoneReportMessage && zone_failover_) {
    if (auto report = zone_failover::decode(body))
      zone_failover_->add_report(now(), from, std::move(*report));
  }
  process_events();
}

std::string ClusterNode::notices_digest() const {
  accord::wire::Lists lists;
  lists.set_newest(gossip_.newest_revision());
  lists.set_digest(gossip_.digest());
  return lists.SerializeAsString();
}

void ClusterNode::handle_notices(const std::string& from, const std::string& payload) {
  if (!options_.shares_endpoint_lists) return;
  accord::wire::Lists lists;
  if (!lists.ParseFromString(payload)) return;
  gossip_.note_revision(lists.newest());
  for (const auto& wire_notice : lists.notice()) {
    if (wire_notice.node().empty() || wire_notice.node().size() > 128) continue;
    const shared_config::EndpointNotice notice{wire_notice.node(), wire_notice.started(), wire_notice.gone(),
                                               wire_notice.revision()};
    if (!gossip_.handle_notice(notice)) continue;
    ++gossip_changes_;
    if (!event_log_) continue;
    recorded_unavailable_.insert(notice.endpoint);
    event_log_->record_event("heard")
        .with("node", notice.endpoint)
        .with("state", notice.is_gone ? "gone" : "draining")
        .with("revision", notice.revision)
        .with("from", from);
  }
  if (lists.ask()) send_notices(gossip_.notices(), from);
  // The sender holds different notices: request all of them, at most once per interval.
  if (!lists.ask() && lists.has_digest() && lists.digest() != gossip_.digest() &&
      now() - notices_requested_at_ >= kNoticeRequestInterval) {
    notices_requested_at_ = now();
    accord::wire::Lists ask;
    ask.set_newest(gossip_.newest_revision());
    ask.set_ask(true);
    membership_.send_payload(from, ask.SerializeAsString());
  }
}

// Sends the notices to the broker `to`, or to a few random brokers if `to` is empty.
void ClusterNode::send_notices(const std::vector<shared_config::EndpointNotice>& notices,
                               const std::string& to) {
  for (std::size_t first = 0; first < notices.size(); first += kMaxNoticesPerMessage) {
    accord::wire::Lists lists;
    lists.set_newest(gossip_.newest_revision());
    for (std::size_t i = first; i < std::min(first + kMaxNoticesPerMessage, notices.size()); ++i) {
      auto* notice = lists.add_notice();
      notice->set_node(notices[i].endpoint);
      notice->set_started(notices[i].started_at);
      notice->set_gone(notices[i].is_gone);
      notice->set_revision(notices[i].revision);
    }
    if (to.empty())
      membership_.send_payload_to_random_members(kNoticeFanout, lists.SerializeAsString());
    else
      membership_.send_payload(to, lists.SerializeAsString());
  }
}

void ClusterNode::send_to(const std::string& to, const std::string& bytes) {
  if (const auto* member = membership_.members().find(to)) transport_.send(to, member->address(), bytes);
}

// Sends the pending output of all components, handles their state changes, and sets the timer for the
// component that is due next.
void ClusterNode::process_events(bool may_call_hooks) {
  if (is_processing_) return;
  is_processing_ = true;
  const Time at = now();
  if (options_.shares_endpoint_lists && !is_list_open_) {
    if (const auto notices = gossip_.take_new_notices(); !notices.empty()) send_notices(notices, "");
  }
  while (auto outgoing = membership_.take_outgoing()) {
    if (outgoing->message.payload.empty() && options_.shares_endpoint_lists)
      outgoing->message.payload = notices_digest();
    transport_.send(outgoing->to, outgoing->address,
                    kMembershipMessage + membership::encode(outgoing->message));
  }
  while (auto change = membership_.take_state_change()) {
    log("peers", "%s is %s", change->name.c_str(), membership::name_of(change->to));
    if (event_log_)
      event_log_->record_event("peer")
          .with("name", change->name)
          .with("from", membership::name_of(change->from))
          .with("to", membership::name_of(change->to));
    if (zone_failover_ && !membership::is_live(change->to)) zone_failover_->remove_broker(change->name);
    if (maintenance_agent_ && !membership::is_live(change->to))
      maintenance_agent_->forget_broker(change->name);
    if (config_node_) config_node_->update_peer(at, change->name, membership::is_live(change->to));
  }
  while (auto name = membership_.take_forgotten_member()) transport_.forget_peer(*name);
  if (config_node_) {
    if (zone_failover_) update_shared_zones();
    if (maintenance_agent_)
      maintenance_agent_->run_check(at, hooks_, *applied_rules_, listed_endpoints_, gossip_.own_revision());
    save_baseline();
    // The lease is recorded before the other brokers learn of it, so that the event log has no consequence
    // before its cause.
    record_lease();
    while (auto outgoing = config_node_->take_message())
      send_to(outgoing->to, kSharedConfigMessage + outgoing->bytes);
  } else if (zone_failover_) {
    update_standalone_zones();
  }
  // This function may run while the agent's response is being read; a new request to the agent would then
  // free the connection that is still in use.
  if (may_call_hooks) check_list_lag();
  Time next = membership_.next_timer();
  if (config_node_) {
    next = std::min(next, config_node_->next_wake());
    if (config_node_->lease_client().lease_expires_at() > at)
      next = std::min(next, config_node_->lease_client().lease_expires_at());
  }
  if (zone_failover_) next = std::min(next, std::max(zone_failover_->next_report_at(), at + 1));
  if (maintenance_agent_) next = std::min(next, std::max(maintenance_agent_->next_check_at(), at + 1));
  if (behind_since_ != kNever)
    next = std::min(next, std::max(behind_since_ + kMaxListLag, list_requested_at_ + kListRequestInterval));
  if (next != kNever) timer_.start(std::max<Time>(0, next - now()));
  const bool has_changes = !is_list_open_ && hooks_.rules_changed &&
                           (gossip_changes_seen_ != gossip_changes_ ||
                            (config_node_ && config_node_->active_config(now()) != applied_rules_));
  is_processing_ = false;
  if (has_changes && may_call_hooks) hooks_.rules_changed();
}

void ClusterNode::handle_timer() {
  const Time at = now();
  membership_.handle_timers(at);
  if (config_node_) config_node_->handle_wake(at);
  process_events();
}

// Saves the baseline rules before any message goes out. Otherwise a broker that has confirmed the next
// baseline to the leader and restarts from a store that holds only the previous baseline would do more than
// the versions made since then allow. While the next baseline is pending, the meet of both baselines is saved
// under the number of the older baseline; after a restart the broker requests both again.
void ClusterNode::save_baseline() {
  const auto& holder = config_node_->lease_client();
  const auto& baseline = holder.baseline();
  const std::uint64_t next = holder.next_baseline() ? holder.next_baseline()->number : 0;
  if (baseline.number == saved_baseline_ && next == saved_next_baseline_) return;
  const bool is_newer = baseline.number > saved_baseline_ && !next;
  saved_baseline_ = std::max(saved_baseline_, baseline.number);
  saved_next_baseline_ = next;
  if (store_) store_->save_baseline(shared_config::canonical_text(holder.baseline_rules()), baseline.number);
  if (is_newer && event_log_) event_log_->record_event("keeps").with("ground", baseline.number);
}

// Records the versions that this broker may act on, and the end of its lease, for the audit of the event
// logs.
void ClusterNode::record_lease() {
  if (!event_log_) return;
  const Time at = now();
  const Time until = config_node_->lease_client().lease_expires_at();
  const auto& acting = config_node_->active_config(at);
  if (acting->low == 0) {
    if (recorded_lease_low_ != 0) event_log_->record_event("ground").with("ground", acting->baseline);
    recorded_lease_low_ = 0;
    recorded_lease_high_ = 0;
    return;
  }
  if (until == recorded_lease_until_ && acting->low == recorded_lease_low_ &&
      acting->high == recorded_lease_high_)
    return;
  recorded_lease_until_ = until;
  recorded_lease_low_ = acting->low;
  recorded_lease_high_ = acting->high;
  event_log_->record_event("lease")
      .with("low", acting->low)
      .with("high", acting->high)
      .with("until", static_cast<std::uint64_t>(until - clock_offset()));
}

std::optional<zone_failover::ZoneReport> ClusterNode::make_due_zone_report(Time at) {
  if (at < zone_failover_->next_report_at()) return std::nullopt;
  count_endpoints();
  return zone_failover_->make_due_report(at);
}

// Decides on zones without a shared configuration: from this broker's own reports, for this broker alone, and
// with immediate effect.
void ClusterNode::update_standalone_zones() {
  const Time at = now();
  if (!make_due_zone_report(at)) return;
  auto entry = zone_failover_->propose_change(at, *standalone_zone_versions_);
  if (!entry) return;
  log("zones", "%s", entry->why.c_str());
  if (event_log_)
    event_log_->record_event("zones").with("why", entry->why).with("note", entry->note).with("id", entry->id);
  const bool is_baseline = entry->kind == shared_config::ConfigEntry::Kind::kProposeBaseline;
  entry->number = standalone_zone_versions_->apply(*entry).number;
  entry->kind = is_baseline ? shared_config::ConfigEntry::Kind::kActivateBaseline
                            : shared_config::ConfigEntry::Kind::kActivateVersion;
  standalone_zone_versions_->apply(*entry);
  const shared_config::Version& newest = standalone_zone_versions_->versions().rbegin()->second;
  auto acting = std::make_shared<shared_config::ActiveConfig>();
  acting->rules = newest.rules;
  acting->low = newest.number;
  acting->high = newest.number;
  applied_rules_ = std::move(acting);
  update_zone_limits();
}

// Sends this broker's zone report to the voters and, at the leader, proposes the change that follows from all
// reports.
void ClusterNode::update_shared_zones() {
  const Time at = now();
  const auto report = make_due_zone_report(at);
  if (!report) return;
  std::set<std::string> to(options_.shared_config->voters.begin(), options_.shared_config->voters.end());
  if (const auto& leader = config_node_->leader(); !leader.empty())
    to.insert(leader);  // a broker that became a voter later is not in the options
  to.erase(options_.name);
  const std::string bytes = kZoneReportMessage + zone_failover::encode(*report);
  for (const auto& name : to) send_to(name, bytes);
  const auto* engine = config_node_->raft_node();
  if (!engine || !engine->is_leader()) return zone_failover_->stop_leading();
  if (auto entry = zone_failover_->propose_change(at, engine->versions())) {
    log("zones", "%s", entry->why.c_str());
    if (event_log_)
      event_log_->record_event("zones")
          .with("why", entry->why)
          .with("note", entry->note)
          .with("id", entry->id);
    config_node_->propose(at, std::move(*entry), [](const auto&) {});
  }
}

// Computes the zone limits from the rules in effect and the note of the newest version that the lease covers.
void ClusterNode::update_zone_limits() {
  const shared_config::Version* newest = nullptr;
  if (standalone_zone_versions_) {
    newest = &standalone_zone_versions_->versions().rbegin()->second;
  } else if (applied_rules_->high) {
    const auto& versions = config_node_->lease_client().versions();
    const auto it = versions.find(applied_rules_->high);
    if (it != versions.end()) newest = &it->second;
  }
  zone_limits_ = zone_failover_->zone_limits(*applied_rules_->rules, newest ? &newest->note : nullptr);
  zone_limits_changed_ = true;
  if (!event_log_) return;
  std::string text;
  for (std::size_t z = 0; z < zone_limits_.size(); ++z)
    text += (z ? " " : "") + zone_failover_->zone_name(static_cast<int>(z)) + "=" +
            std::to_string(static_cast<int>(1000 * zone_limits_[z].max_share + 0.5));
  event_log_->record_event("zone_limits")
      .with("high", applied_rules_->high)
      .with("shares", text)
      .with("note", newest ? newest->note : "");
}

// Counts, by zone, the endpoints in service and the warm endpoints that they are equal to: an endpoint that
// warms up counts for its present share.
void ClusterNode::count_endpoints() {
  const Time at = now();
  std::map<std::string, std::pair<int, double>> by_zone;
  std::vector<bool> in_home_zone(static_cast<std::size_t>(ring_size_), false);
  for (const auto& [name, endpoint] : listed_endpoints_) {
    if (!endpoint.is_ready) continue;
    if (endpoint.zone == zone_failover_->options().home_zone && endpoint.ring_position < ring_size_ &&
        !is_withheld(name, endpoint.started_at))
      in_home_zone[static_cast<std::size_t>(endpoint.ring_position)] = true;
    auto& [endpoints, warm_equivalent] = by_zone[endpoint.zone];
    const Time age = at - endpoint.started_at;
    ++endpoints;
    warm_equivalent += endpoint.started_at == 0 || warm_up_time_ <= 0 || age >= warm_up_time_
                           ? 1
                           : cold_start_share_ + (1 - cold_start_share_) *
                                                     std::max(0.0, seconds(age) / seconds(warm_up_time_));
  }
  zone_failover_->set_endpoints(by_zone);
  // The replicas of shard s are at ring positions s to s + replicas_per_shard_ - 1.
  is_remote_only_.assign(in_home_zone.size(), true);
  for (int shard = 0; shard < ring_size_; ++shard)
    for (int replica = 0; replica < replicas_per_shard_; ++replica)
      if (in_home_zone[static_cast<std::size_t>((shard + replica) % ring_size_)])
        is_remote_only_[static_cast<std::size_t>(shard)] = false;
}

bool ClusterNode::stays_in_region(int request_class) const {
  return stays_in_region_.at(static_cast<std::size_t>(request_class));
}

// An endpoint without a known zone is accounted to the home zone, as no other zone is known for it.
int ClusterNode::accounted_zone(int zone) const {
  return zone < static_cast<int>(zone_limits_.size()) ? zone : 0;
}

bool ClusterNode::record_attempt(int zone, int request_class) {
  return cross_zone_budget_ && cross_zone_budget_->start_attempt(now(), accounted_zone(zone), request_class);
}

void ClusterNode::record_attempt_end(const dispatch::TrafficAccount& account, EndpointId endpoint,
                                     AttemptOutcome outcome, Time latency) {
  if (!zone_failover_) return;
  zone_failover_->record_attempt_result(now(), zone_failover_->zone_name(account.zone), endpoint, outcome,
                                        latency);
  cross_zone_budget_->finish_attempt(accounted_zone(account.zone), account.request_class,
                                     account.is_over_budget);
}

void ClusterNode::record_bytes(const dispatch::TransferredBytes& bytes) {
  if (cross_zone_budget_)
    cross_zone_budget_->record_bytes(now(), accounted_zone(bytes.account.zone), bytes.account.request_class,
                                     bytes.account.is_over_budget, bytes.sent, bytes.received);
}

bool ClusterNode::stays_in_zone(int request_class) {
  return cross_zone_budget_->is_exhausted(now(), request_class);
}

// Sets the budget of each class to the configured budget or the one that the rules allow, whichever is lower.
void ClusterNode::update_cross_zone_budgets() {
  for (std::size_t i = 0; i < request_classes_.size(); ++i) {
    const std::int64_t limit =
        applied_rules_->rules->rule_for(request_classes_[i]).max_cross_zone_bytes_per_second;
    cross_zone_budget_->set_limit(
        now(), static_cast<int>(i),
        std::min(configured_byte_budgets_[i],
                 limit == INT64_MAX ? zone_failover::kNoBudget : static_cast<double>(limit)));
  }
}

void ClusterNode::record_request(int request_class, const dispatch::Request& request) {
  if (!zone_failover_) return;
  std::size_t remote_only = 0;
  for (const auto& shard_request : request.shard_requests)
    remote_only += static_cast<std::size_t>(shard_request->shard) < is_remote_only_.size() &&
                   is_remote_only_[static_cast<std::size_t>(shard_request->shard)];
  const double required_share = required_shares_.at(static_cast<std::size_t>(request_class));
  zone_failover_->record_demand(now(), required_share * static_cast<double>(request.shard_requests.size()),
                                required_share * static_cast<double>(remote_only));
}

void ClusterNode::check_list_lag() {
  const Time at = now();
  if (!gossip_.is_behind() || gossip_.own_revision() == 0) {
    behind_since_ = kNever;
    return;
  }
  if (behind_since_ == kNever) behind_since_ = at;
  if (at - behind_since_ < kMaxListLag || at - list_requested_at_ < kListRequestInterval ||
      !hooks_.request_list)
    return;
  list_requested_at_ = at;
  log("fleet",
      "endpoint list has revision %llu, other brokers have %llu: requesting the list from the agent again",
      static_cast<unsigned long long>(gossip_.own_revision()),
      static_cast<unsigned long long>(gossip_.newest_revision()));
  if (event_log_)
    event_log_->record_event("behind")
        .with("own", gossip_.own_revision())
        .with("newest", gossip_.newest_revision());
  hooks_.request_list();
}

// Derives the limits of the request classes from the rules in effect.
void ClusterNode::update_class_limits() {
  limits_.clear();
  for (const std::string& request_class : request_classes_) {
    const auto& rule = applied_rules_->rules->rule_for(request_class);
    limits_.push_back(
        {rule.is_served, rule.max_duration, rule.max_in_progress, rule.max_latency_budget, rule.min_share});
  }
}

bool ClusterNode::refresh_rules() {
  const bool gossip_changed = gossip_changes_seen_ != gossip_changes_;
  gossip_changes_seen_ = gossip_changes_;
  if (!config_node_) return std::exchange(zone_limits_changed_, false) || gossip_changed;
  const auto& acting = config_node_->active_config(now());
  if (acting == applied_rules_) return gossip_changed;
  applied_rules_ = acting;
  update_class_limits();
  if (zone_failover_) {
    update_cross_zone_budgets();
    update_zone_limits();
  }
  if (event_log_)
    event_log_->record_event("acts")
        .with("low", applied_rules_->low)
        .with("high", applied_rules_->high)
        .with("ground", applied_rules_->baseline)
        .with("hash", shared_config::content_hash(shared_config::canonical_text(*applied_rules_->rules)));
  return true;
}

const dispatch::RequestClassLimits& ClusterNode::limits(int request_class) const {
  return limits_.at(static_cast<std::size_t>(request_class));
}
bool ClusterNode::may_run_two_phase(int request_class) const {
  return applied_rules_->rules->two_phase_disabled.count(
             request_classes_.at(static_cast<std::size_t>(request_class))) == 0;
}
bool ClusterNode::serves_index(const std::string& name) const {
  return applied_rules_->rules->disabled_indices.count(name) == 0;
}

bool ClusterNode::is_withheld(const std::string& endpoint, Time started_at) const {
  return (options_.shares_endpoint_lists && gossip_.is_withheld(endpoint, started_at)) ||
         applied_rules_->rules->withheld_endpoints.count(endpoint) != 0 ||
         applied_rules_->rules->endpoints_in_maintenance.count(endpoint) != 0;
}

void ClusterNode::list_begins(std::uint64_t revision, bool is_complete) {
  is_list_open_ = true;
  if (event_log_) event_log_->record_event("list").with("revision", revision).with("whole", is_complete);
  gossip_.begin_list(revision, is_complete);
  ++list_number_;
  is_list_complete_ = is_complete;
}
void ClusterNode::list_endpoint(const std::string& endpoint, Time started_at, EndpointState state,
                                const std::string& locality, int ring_position) {
  if (state == EndpointState::kRemoved)
    listed_endpoints_.erase(endpoint);
  else if (zone_failover_ || maintenance_agent_)
    listed_endpoints_[endpoint] = {
        zone_failover_ ? zone_failover_->zone_name(zone_failover_->zone_number(locality)) : locality,
        ring_position, started_at, state == EndpointState::kReady, list_number_};
  gossip_.add_endpoint(endpoint, started_at, state == EndpointState::kReady,
                       state == EndpointState::kRemoved);
  if (!event_log_) return;
  if (state != EndpointState::kReady) {
    event_log_->record_event("told").with("node", endpoint).with("state", name_of(state));
    recorded_unavailable_.insert(endpoint);
  } else if (!gossip_.is_withheld(endpoint, started_at) && recorded_unavailable_.erase(endpoint)) {
    event_log_->record_event("ready").with("node", endpoint);
  }
}
void ClusterNode::list_ends() {
  for (const auto& endpoint : gossip_.end_list()) {
    if (event_log_) {
      event_log_->record_event("told").with("node", endpoint).with("state", "gone");
      recorded_unavailable_.insert(endpoint);
    }
  }
  if (is_list_complete_)
    std::erase_if(listed_endpoints_, [&](const auto& s) { return s.second.list_number != list_number_; });
  is_list_open_ = false;
  // No hooks may run here, because requests would be sent by the old list before the new list has reached the
  // request policy, and the gossip no longer withholds endpoints from the old list. The caller checks for
  // changes and runs the dispatcher once the list is applied.
  process_events(false);
}
void ClusterNode::list_reset() {
  gossip_.reset();
  listed_endpoints_.clear();
}

void ClusterNode::propose(shared_config::ConfigEntry entry, shared_config::SharedConfigNode::Done done) {
  if (!config_node_) return done(std::nullopt);
  config_node_->propose(now(), std::move(entry), std::move(done));
  process_events();
}

}  // namespace cairnhub::cluster
