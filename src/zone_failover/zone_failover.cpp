#include "zone_failover/zone_failover.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace cairnhub::zone_failover {

namespace {

constexpr Time kProposalRetryDelay = 2 * kSecond;
const std::string kRegionPrefix = "region/";  // zone names hold no slash
// A region is partial if more than this share of its brokers' demand is unplaced.
constexpr double kMaxUnplacedShare = 0.01;
// A share must change by this much beyond the relative threshold to be worth a new version.
constexpr int kMinShareChangeThousandths = 10;
constexpr std::size_t kMaxReasonBytes = 1000;

// Returns whether the decision of the newest version holds the state and local share of `machine`.
bool holds(const std::map<std::string, FailoverDecision::Target>& targets, const std::string& name,
           const FailoverStateMachine& machine) {
  const auto it = targets.find(name);
  return it != targets.end() && it->second.state == machine.state() &&
         it->second.local_share_thousandths == machine.local_share_thousandths();
}

}  // namespace

std::string region_key(const std::string& region) { return kRegionPrefix + region; }

std::string text_of(const FailoverDecision& decision) {
  std::string text;
  const auto add = [&](const std::string& name, const FailoverDecision::Target& target) {
    text += (text.empty() ? "" : " ") + name + "=" + name_of(target.state) + ":" +
            std::to_string(target.local_share_thousandths);
  };
  for (const auto& [zone, target] : decision.zones) add(zone, target);
  for (const auto& [region, target] : decision.regions) add(region_key(region), target);
  return text;
}

FailoverDecision parse_decision(const std::string& text) {
  FailoverDecision decision;
  std::istringstream in(text);
  for (std::string word; in >> word && decision.zones.size() + decision.regions.size() < 2 * kMaxZones;) {
    const auto equal = word.rfind('=');
    const auto colon = word.rfind(':');
    if (equal == std::string::npos || colon == std::string::npos || colon < equal || equal == 0) continue;
    const std::string state = word.substr(equal + 1, colon - equal - 1);
    const int share = std::atoi(word.c_str() + colon + 1);
    for (const FailoverState known :
         {FailoverState::kLocal, FailoverState::kSpilling, FailoverState::kEvacuating,
          FailoverState::kFailedOver, FailoverState::kReturning})
      if (state == name_of(known) && share >= 0 && share <= 1000) {
        const std::string name = word.substr(0, equal);
        if (name.rfind(kRegionPrefix, 0) == 0)
          decision.regions[name.substr(kRegionPrefix.size())] = {known, share};
        else
          decision.zones[name] = {known, share};
      }
  }
  return decision;
}

ZoneFailover::ZoneFailover(const ZoneFailoverOptions& options, const std::string& broker)
    : options_(options), broker_(broker), load_(options.load_window), evaluator_(options.health) {
  zone_names_.push_back(options_.home_zone);
  for (const ZoneOptions& zone : options_.zones) {
    zone_options_[zone.name] = &zone;
    if (zone.name != options_.home_zone) zone_names_.push_back(zone.name);
    zones_.emplace(zone.name, FailoverStateMachine(options_.zone_failover));
    regions_.emplace(zone.region, FailoverStateMachine(options_.region_failover));
  }
  if (regions_.size() < 2) regions_.clear();
}

int ZoneFailover::zone_number(const std::string& zone) const {
  return static_cast<int>(std::find(zone_names_.begin(), zone_names_.end(), zone) - zone_names_.begin());
}

const std::string& ZoneFailover::zone_name(int number) const {
  static const std::string none;
  const auto index = static_cast<std::size_t>(number);
  return index < zone_names_.size() ? zone_names_[index] : none;
}

void ZoneFailover::record_attempt_result(Time now, const std::string& zone, EndpointId endpoint,
                                         AttemptOutcome outcome, Time latency) {
  switch (outcome) {
    case AttemptOutcome::kOk:
    case AttemptOutcome::kError:
      return load_.record_attempt_result(now, zone, endpoint, AttemptResult::kResponded, latency);
    case AttemptOutcome::kQueueFull:
      return load_.record_attempt_result(now, zone, endpoint, AttemptResult::kRejected, 0);
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kReset:
      return load_.record_attempt_result(now, zone, endpoint, AttemptResult::kLost, 0);
    case AttemptOutcome::kCancelled:
      return load_.record_attempt_result(now, zone, endpoint, AttemptResult::kCancelled, latency);
    case AttemptOutcome::kNotSent:  // says nothing about the zone
      return;
  }
}

void ZoneFailover::set_endpoints(const std::map<std::string, std::pair<int, double>>& by_zone) {
  load_.clear_endpoints();
  for (const auto& [zone, endpoints] : by_zone) {
    const auto it = zone_options_.find(zone);
    load_.set_endpoints(
        zone, endpoints.first,
        it == zone_options_.end() ? 0 : endpoints.second * it->second->endpoint_capacity_per_second);
  }
}

std::optional<ZoneReport> ZoneFailover::make_due_report(Time now) {
  if (now < next_report_at_) return std::nullopt;
  next_report_at_ = now + options_.report_interval;
  ZoneReport report;
  report.home_zone = options_.home_zone;
  report.demand_per_second = load_.demand_per_second(now);
  report.remote_only_demand_per_second = load_.remote_only_demand_per_second(now);
  report.zones = load_.zone_stats(now);
  add_report(now, broker_, report);
  return report;
}

void ZoneFailover::add_report(Time now, const std::string& broker, ZoneReport report) {
  // An unknown home zone means that the other broker's zone options are missing or wrong.
  if (!zone_options_.count(report.home_zone)) return;
  evaluator_.add_report(now, broker, std::move(report));
}

bool ZoneFailover::is_worth_proposing(Time now, const Previous& previous, const FailoverDecision& decision,
                                      const TrafficSplit& split, std::string& reason) {
  const shared_config::ZoneShares& shares = split.shares;
  const auto differs = [&](const auto& targets, const auto& previous_targets, const auto& health,
                           const std::string& prefix) {
    for (const auto& [name, target] : targets) {
      const auto it = previous_targets.find(name);
      if (it != previous_targets.end() && it->second.state == target.state &&
          it->second.local_share_thousandths == target.local_share_thousandths)
        continue;
      reason = prefix + name + " " + zone_failover::name_of(target.state) + " at " +
               std::to_string(target.local_share_thousandths);
      const auto found = health.find(name);
      if (const shared_config::ZoneOrder* order = order_for(prefix + name))
        reason += ": ordered by " + order->who + ", " + order->why;
      else if (found != health.end())
        reason += ": " + found->second.reason;
      return true;
    }
    return false;
  };
  if (differs(decision.zones, previous.decision.zones, health_view_.zones, "") ||
      differs(decision.regions, previous.decision.regions, region_health_, kRegionPrefix))
    return true;
  if (shares == previous.shares) return false;
  bool has_increase = false;
  std::set<std::pair<std::string, std::string>> pairs;
  for (const auto* table : {&shares, &previous.shares})
    for (const auto& [pair, share] : table->thousandths_by_pair) pairs.insert(pair);
  for (const auto& [from, to] : pairs) {
    const int before = previous.shares.thousandths(from, to);
    const int after = shares.thousandths(from, to);
    // A share that a zone can no longer spare must be lowered at once; a higher share can wait.
    if (after < before * (1 - options_.decrease_threshold) - kMinShareChangeThousandths) {
      reason = to + " can spare less for " + from + ": " + std::to_string(after) + " where " +
               std::to_string(before);
      return true;
    }
    has_increase =
        has_increase || after > before * (1 + options_.increase_threshold) + kMinShareChangeThousandths;
  }
  // Brokers reject planned traffic that the table in force does not allow yet.
  for (const auto& [pair, flow] : split.planned_per_second) {
    const double needed = 1000 * flow / std::max(1.0, health_view_.zones[pair.first].demand_per_second);
    if (needed > previous.shares.thousandths(pair.first, pair.second) * (1 + options_.decrease_threshold) +
                     kMinShareChangeThousandths) {
      reason = pair.first + " needs more of " + pair.second + ": " +
               std::to_string(static_cast<int>(needed)) + " where " +
               std::to_string(previous.shares.thousandths(pair.first, pair.second));
      return true;
    }
  }
  if (!has_increase || now - changed_at_ < options_.increase_delay) return false;
  reason = "zones can spare more";
  return true;
}

std::optional<shared_config::ConfigEntry> ZoneFailover::propose_change(
    Time now, const shared_config::VersionHistory& versions) {
  const shared_config::Version& newest = versions.versions().rbegin()->second;
  Previous previous{parse_decision(newest.note), newest.rules->zone_shares};
  if (!is_leading_) {
    // A new leader that assumed every zone to be local would bring traffic back to a dead one at once.
    is_leading_ = true;
    changed_at_ = now;
    const auto resume = [now](auto& machines, const auto& targets) {
      for (auto& [name, machine] : machines) {
        const auto it = targets.find(name);
        const FailoverDecision::Target target = it == targets.end() ? FailoverDecision::Target{} : it->second;
        machine.resume(now, target.state, target.local_share_thousandths);
      }
    };
    resume(zones_, previous.decision.zones);
    resume(regions_, previous.decision.regions);
  }
  orders_ = versions.zone_orders();
  health_view_ = evaluator_.evaluate(now);
  const bool newest_is_in_force = versions.in_force() >= newest.number;
  FailoverDecision decision;
  std::vector<ZoneTraffic> traffic;
  for (auto& [zone, machine] : zones_) {
    const ZoneHealth& health = health_view_.zones[zone];
    const shared_config::ZoneOrder* order = order_for(zone);
    machine.update(now, health.status, health.sustainable_share,
                   !order                    ? OperatorOrder::kNone
                   : order->action == "hold" ? OperatorOrder::kHold
                                             : OperatorOrder::kEvacuate,
                   newest_is_in_force && holds(previous.decision.zones, zone, machine));
    decision.zones[zone] = {machine.state(), machine.local_share_thousandths()};
    // Demand without a local replica goes to other zones even if this zone is good.
    const double max_local_share =
        health.demand_per_second > 0
            ? std::max(0.0, 1 - health.remote_only_demand_per_second / health.demand_per_second)
            : 1;
    traffic.push_back({zone, zone_options_.at(zone)->region, health.demand_per_second,
                       std::min(machine.local_share_thousandths() / 1000.0, max_local_share),
                       health.capacity_per_second, machine.accepts_remote_traffic()});
  }
  update_regions(now, traffic, newest_is_in_force, previous.decision, decision);
  // A table may only be proposed once the common ground allows no more than every table does.
  shared_config::ConfigEntry entry;
  entry.who = "zones";
  if (versions.baseline().rules->zone_shares.default_thousandths >
      options_.traffic_split.min_share_thousandths) {
    if (versions.next_baseline() || (pending_ground_ == versions.baseline().number && now < pending_until_)) {
      reason_ = "the common ground is being narrowed to what every table allows";
      return std::nullopt;
    }
    pending_ground_ = versions.baseline().number;
    pending_until_ = now + kProposalRetryDelay;
    shared_config::RuleSet ground = *versions.baseline().rules;
    ground.zone_shares = shared_config::ZoneShares{options_.traffic_split.min_share_thousandths, {}};
    entry.kind = shared_config::ConfigEntry::Kind::kProposeBaseline;
    entry.base = versions.baseline().number;
    ground.endpoints_in_maintenance.clear();  // the proposal leaves them as they are
    entry.text = shared_config::proposal_text(ground);
    entry.why = "what zones may send each other without asking";
    entry.id = make_proposal_id(now);
    return entry;
  }
  const TrafficSplit split = split_traffic(traffic, health_view_.broken_links, options_.traffic_split);
  std::string reason;
  if (!is_worth_proposing(now, previous, decision, split, reason)) {
    reason_ = "nothing to change";
    return std::nullopt;
  }
  if (pending_base_ == newest.number && now < pending_until_)
    return std::nullopt;  // the last proposal has not been applied yet
  pending_base_ = newest.number;
  pending_until_ = now + kProposalRetryDelay;
  changed_at_ = now;
  shared_config::RuleSet rules;
  rules.zone_shares = split.shares;
  entry.kind = shared_config::ConfigEntry::Kind::kProposeZoneShares;
  entry.base = versions.zone_shares_version();
  entry.text = shared_config::proposal_text(rules);
  entry.note = text_of(decision);
  entry.why = reason_ = reason.substr(0, kMaxReasonBytes);
  entry.id = make_proposal_id(now);
  return entry;
}

const shared_config::ZoneOrder* ZoneFailover::order_for(const std::string& zone_or_region) const {
  auto it = orders_.find(zone_or_region);
  if (it == orders_.end())  // an order for the region holds for its zones
    if (const auto zone = zone_options_.find(zone_or_region); zone != zone_options_.end())
      it = orders_.find(region_key(zone->second->region));
  return it == orders_.end() ? nullptr : &it->second;
}

// A region cannot handle the demand that its zones leave unplaced after they used each other's spare.
void ZoneFailover::update_regions(Time now, std::vector<ZoneTraffic>& traffic, bool newest_is_in_force,
                                  const FailoverDecision& previous, FailoverDecision& decision) {
  if (regions_.empty()) return;
  for (ZoneTraffic& zone : traffic) zone.max_region_egress_share = 0;
  const TrafficSplit inside = split_traffic(traffic, health_view_.broken_links, options_.traffic_split);
  region_health_.clear();
  for (auto& [region, machine] : regions_) {
    ZoneHealth& health = region_health_[region];
    double unplaced = 0;
    int zones = 0;
    int known = 0;
    int dead = 0;
    for (const ZoneTraffic& zone : traffic) {
      if (zone.region != region) continue;
      const ZoneHealth& zone_health = health_view_.zones[zone.zone];
      ++zones;
      known += zone_health.status != ZoneStatus::kUnknown;
      dead += zone_health.status == ZoneStatus::kDead;
      health.demand_per_second += zone.demand_per_second;
      health.load_per_second += zone_health.load_per_second;
      health.capacity_per_second += zone_health.capacity_per_second;
      health.endpoints_in_service += zone_health.endpoints_in_service;
      health.reporting_brokers += zone_health.reporting_brokers;
      if (const auto it = inside.unplaced_per_second.find(zone.zone); it != inside.unplaced_per_second.end())
        unplaced += it->second;
    }
    if (dead == zones) {
      health.status = ZoneStatus::kDead;
      health.sustainable_share = 0;
      health.reason = "all its zones are dead";
    } else if (unplaced > kMaxUnplacedShare * health.demand_per_second) {
      // The share refers to the whole demand, so it does not accumulate from one evaluation to the next.
      health.status = ZoneStatus::kPartial;
      health.sustainable_share = 1 - unplaced / health.demand_per_second;
      health.reason = std::to_string(static_cast<int>(unplaced)) + " of " +
                      std::to_string(static_cast<int>(health.demand_per_second)) +
                      " parts a second fit into none of its zones";
    } else if (known > 0) {
      health.status = ZoneStatus::kGood;
      health.reason = "its zones bear what its brokers ask for";
    }
    const shared_config::ZoneOrder* order = order_for(region_key(region));
    machine.update(now, health.status, health.sustainable_share,
                   order && order->action == "hold" ? OperatorOrder::kHold : OperatorOrder::kNone,
                   newest_is_in_force && holds(previous.regions, region, machine));
    decision.regions[region] = {machine.state(), machine.local_share_thousandths()};
  }
  for (ZoneTraffic& zone : traffic) {
    const FailoverStateMachine& machine = regions_.at(zone.region);
    zone.max_region_egress_share = 1 - machine.local_share_thousandths() / 1000.0;
    zone.region_accepts_remote_traffic = machine.accepts_remote_traffic();
  }
}

std::string ZoneFailover::make_proposal_id(Time now) {
  return "zones-" + shared_config::content_hash(broker_ + " " + std::to_string(now) + " " +
                                                std::to_string(++proposals_));
}

std::vector<ZoneLimit> ZoneFailover::zone_limits(const shared_config::RuleSet& rules,
                                                 const std::string* note) const {
  std::vector<ZoneLimit> limits;
  const std::string& home_region = zone_options_.at(options_.home_zone)->region;
  double max_remote_share = 0;
  for (const std::string& zone : zone_names_) {
    ZoneLimit limit;
    limit.is_other_region = zone_options_.at(zone)->region != home_region;
    if (zone != options_.home_zone) {
      // Before the first table, a broker sends no more than the common ground is going to allow.
      const bool has_no_table = rules.zone_shares == shared_config::ZoneShares{};
      limit.max_share = (has_no_table ? options_.traffic_split.min_share_thousandths
                                      : rules.zone_shares.thousandths(options_.home_zone, zone)) /
                        1000.0;
      max_remote_share += limit.max_share;
    }
    limits.push_back(limit);
  }
  if (note) {
    const FailoverDecision decision = parse_decision(*note);
    const auto it = decision.zones.find(options_.home_zone);
    // Traffic that no other zone may get stays local, even if the decided local share is lower.
    if (it != decision.zones.end())
      limits[0].max_share = std::max(it->second.local_share_thousandths / 1000.0, 1 - max_remote_share);
  }
  return limits;
}

std::vector<ZoneExplanation> ZoneFailover::explain() const {
  std::vector<ZoneExplanation> all;
  const auto add = [&](const std::string& name, const FailoverStateMachine& machine, const auto& health,
                       const std::string& key) {
    const auto found = health.find(key);
    const shared_config::ZoneOrder* order = order_for(name);
    all.push_back({name, machine.state(), machine.local_share_thousandths(), order ? order->action : "",
                   found == health.end() ? ZoneHealth{} : found->second});
  };
  for (const auto& [zone, machine] : zones_) add(zone, machine, health_view_.zones, zone);
  for (const auto& [region, machine] : regions_) add(region_key(region), machine, region_health_, region);
  return all;
}

}  // namespace cairnhub::zone_failover
