// Simulates brokers and endpoints in zones as flows of shard requests, in steps of a tenth of a second, from
// one seed. The decisions are made by the program's own classes (ZoneFailover, Versions); a broker's own
// routing is modelled after the policy module.
#pragma once
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zone_failover/zone_failover.h"

namespace cairnhub::cluster {

enum class Policy {
  kSharedTable,  // all brokers act on one table, as the program does
  kIndependent,  // each broker decides alone
  kZoneUnaware,  // traffic is spread evenly over the endpoints of all zones
  kOracle,       // the split is computed from the true state, 1.5 s late
};

struct ZoneWorldSize {
  int brokers = 300, endpoints = 200, zones = 6, regions = 2;
};

struct ZoneRun {
  double requested = 0;
  double served = 0;
  double fault_free_cross_zone_share = 0;  // of the shard requests, before the first fault
  double overload_seconds = 0;             // over all zones, while other zones added to the overload
  int versions = 0;
  int reversals = 0;  // times that the local share of a zone fell after it had risen
  int faults = 0;
};

class ZoneWorld {
 public:
  ZoneWorld(std::uint64_t seed, const ZoneWorldSize& size, Policy policy)
      : random_(static_cast<std::mt19937::result_type>(seed)), size_(size), policy_(policy) {
    const auto n = static_cast<std::size_t>(size.zones);
    for (int z = 0; z < size.zones; ++z) {
      zone_failover::ZoneOptions zone;
      zone.name = name(z);
      zone.region = "r" + std::to_string(z * size.regions / size.zones);
      zone.endpoint_capacity_per_second = kEndpointCapacityPerSecond;
      zone_options_.push_back(zone);
      endpoints_.push_back(size.endpoints / size.zones + (z < size.endpoints % size.zones));
    }
    zones_.resize(n);
    for (std::size_t z = 0; z < n; ++z)
      zones_[z].demand = endpoints_[z] * kEndpointCapacityPerSecond * (0.45 + 0.3 * unit());
    brokers_.resize(static_cast<std::size_t>(size.brokers));
    for (std::size_t b = 0; b < brokers_.size(); ++b) {
      brokers_[b].home = b % n;
      brokers_[b].limits.assign(n, kMinShareThousandths / 1000.0);
      brokers_[b].observed.assign(n, {});
      brokers_[b].flow.assign(n, 0);
      brokers_[b].delay_steps = static_cast<int>(1 + below(4));
      if (unit() < 0.03) brokers_[b].delay_steps = 20;  // gets the table only when its lease ends
    }
    for (std::size_t z = 0; z < n; ++z) last_shares_.push_back({});
    draw_faults();
    zone_failover::ZoneFailoverOptions options;
    options.home_zone = name(0);
    options.zones = zone_options_;
    options.report_interval = kSecond / 4;
    options.health.max_report_age = kSecond;
    leader_ = std::make_unique<zone_failover::ZoneFailover>(options, "b0");
    shared_config::ConfigEntry ground;
    ground.kind = shared_config::ConfigEntry::Kind::kProposeBaseline;
    ground.id = "g";
    ground.base = 1;
    ground.text = "zone_shares { otherwise: 30 }";
    versions_.apply(ground);
    ground.kind = shared_config::ConfigEntry::Kind::kActivateBaseline;
    ground.number = 2;
    versions_.apply(ground);
  }

  ZoneRun run(int duration_seconds = 120) {
    for (step_ = 0; step_ < duration_seconds * kStepsPerSecond; ++step_) {
      apply_faults();
      serve();
      if (step_ % 2 == 0 && policy_ == Policy::kSharedTable) decide();
      if (policy_ == Policy::kOracle) apply_oracle_split();
    }
    return run_;
  }

 private:
  static constexpr double kEndpointCapacityPerSecond = 100;
  static constexpr int kMinShareThousandths = 30;
  static constexpr int kStepsPerSecond = 10;
  static constexpr int kFirstFaultStep = 150;
  static constexpr std::size_t kOracleDelaySteps = 15;
  static constexpr std::size_t kMaxTables = 40;

  struct ZoneState {
    double demand = 0;          // per second, without a surge
    double capacity_share = 1;  // endpoints that are left
    double lost_share = 0;
    double slowdown = 1;
    double surge = 1;
    bool is_dead = false;
    bool has_dead_brokers = false;
    int recovered_at = -1000;  // step; the endpoints start cold
  };
  // What a broker knows of a zone.
  struct Observed {
    int bad_steps = 0;
    int good_steps = 100;
    double sent = 0;
    double lost = 0;
    double rejected_share = 0;
    double load = 0;
    bool is_avoided = false;
  };
  struct Broker {
    std::size_t home = 0;
    std::vector<double> limits, flow;  // by zone
    std::vector<Observed> observed;
    double local_share = 1;
    int delay_steps = 1;
    bool is_faulty = false;
  };
  struct Fault {
    int kind, zone, other, from, until;
  };
  struct Table {
    int made_at;  // step
    shared_config::ZoneShares shares;
    zone_failover::FailoverDecision decision;
  };
  struct LastShare {
    int share = 0;
    bool has_risen = false;
  };
  static std::string name(int z) {
    return std::string(1, static_cast<char>('a' + z % 26)) + std::to_string(z);
  }
  double unit() { return std::uniform_real_distribution<double>()(random_); }
  std::size_t below(std::size_t n) { return random_() % n; }

  void draw_faults() {
    const int n = 1 + static_cast<int>(below(3));
    for (int k = 0; k < n; ++k) {
      const int from = kFirstFaultStep + static_cast<int>(below(400));
      faults_.push_back({static_cast<int>(below(10)),
                         static_cast<int>(below(static_cast<std::size_t>(size_.zones))),
                         static_cast<int>(below(static_cast<std::size_t>(size_.zones))), from,
                         from + 100 + static_cast<int>(below(300))});
    }
    run_.faults = n;
  }
  void apply_faults() {
    for (ZoneState& zone : zones_) {
      zone.lost_share = 0;
      zone.slowdown = zone.surge = zone.capacity_share = 1;
      zone.has_dead_brokers = false;
    }
    broken_links_.clear();
    for (Broker& broker : brokers_) broker.is_faulty = false;
    std::vector<bool> dead(zones_.size(), false);
    for (const Fault& fault : faults_) {
      if (step_ < fault.from || step_ >= fault.until) continue;
      ZoneState& zone = zones_[static_cast<std::size_t>(fault.zone)];
      switch (fault.kind) {
        case 0:  // the endpoints of the zone die
          dead[static_cast<std::size_t>(fault.zone)] = true;
          break;
        case 1:  // the endpoints flap every three seconds
          if ((step_ - fault.from) / 30 % 2 == 0) dead[static_cast<std::size_t>(fault.zone)] = true;
          break;
        case 2:  // a link between two zones breaks
          if (fault.other != fault.zone)
            broken_links_.insert(
                {static_cast<std::size_t>(fault.other), static_cast<std::size_t>(fault.zone)});
          break;
        case 3:
          zone.lost_share = 0.3;
          break;
        case 4:
          zone.slowdown = 2.5;
          break;
        case 5:  // all zones are slow, as a common dependency is
          for (ZoneState& any : zones_) any.slowdown = 1.2;
          break;
        case 6:
          zone.surge = 1.6;
          break;
        case 7:  // up to three brokers lose all their attempts
          for (std::size_t b = 0; b < 3 && b < brokers_.size(); ++b)
            brokers_[(static_cast<std::size_t>(fault.zone) + b * 7) % brokers_.size()].is_faulty = true;
          break;
        case 8:  // the endpoints and brokers of the zone die
          dead[static_cast<std::size_t>(fault.zone)] = zone.has_dead_brokers = true;
          break;
        default:  // half of the endpoints leave the endpoint list
          zone.capacity_share = 0.5;
      }
    }
    for (std::size_t z = 0; z < zones_.size(); ++z) {
      if (zones_[z].is_dead && !dead[z]) zones_[z].recovered_at = step_;
      zones_[z].is_dead = dead[z];
    }
  }
  double capacity(std::size_t z) const {
    const ZoneState& zone = zones_[z];
    if (zone.is_dead) return 0;
    const double warm_share = std::min(1.0, 0.2 + 0.8 * (step_ - zone.recovered_at) / 100.0);
    return endpoints_[z] * kEndpointCapacityPerSecond * zone.capacity_share / zone.slowdown * warm_share;
  }
  // Demand of the broker's clients.
  double demand(const Broker& broker) const {
    const std::size_t n = zones_.size();
    if (zones_[broker.home].has_dead_brokers) return 0;
    double demand = zones_[broker.home].demand * zones_[broker.home].surge;
    // Clients of a zone whose brokers are dead go to those of the other zones.
    std::size_t live_zones = 0;
    for (const ZoneState& zone : zones_) live_zones += !zone.has_dead_brokers;
    for (std::size_t z = 0; z < n; ++z)
      if (zones_[z].has_dead_brokers)
        demand += zones_[z].demand * zones_[z].surge / static_cast<double>(live_zones);
    return demand / (static_cast<double>(size_.brokers) / static_cast<double>(n));
  }
  void serve() {
    const std::size_t n = zones_.size();
    std::vector<double> load(n, 0);
    std::vector<double> inflow(n, 0);
    double requested = 0;
    double cross_zone = 0;
    for (Broker& broker : brokers_) {
      const double wanted = demand(broker);
      requested += wanted;
      std::fill(broker.flow.begin(), broker.flow.end(), 0);
      if (wanted <= 0) continue;
      if (policy_ == Policy::kZoneUnaware) {
        double good_zones = 0;
        for (const Observed& observed : broker.observed) good_zones += !observed.is_avoided;
        for (std::size_t z = 0; z < n; ++z)
          broker.flow[z] = broker.observed[z].is_avoided ? 0.01 * wanted
                           : good_zones                  ? wanted / good_zones
                                                         : 0;
      } else {
        const Observed& home = broker.observed[broker.home];
        double local = home.is_avoided ? 0.02 : std::min(broker.local_share, 1.0);
        // A zone that rejects attempts has queues longer than the local advantage allows, so the rejected
        // attempts go to other zones.
        if (!home.is_avoided && home.rejected_share > 0) local = std::min(local, 1 - home.rejected_share);
        double room = 0;
        std::vector<double> allowed(n, 0);
        for (std::size_t z = 0; z < n; ++z) {
          if (z == broker.home || broker.observed[z].is_avoided) continue;
          room += allowed[z] =
              policy_ == Policy::kIndependent ? 1.0 / static_cast<double>(n - 1) : broker.limits[z];
        }
        const double remote = std::min(1 - local, room);
        for (std::size_t z = 0; z < n; ++z)
          if (z != broker.home)
            broker.flow[z] =
                (room > 0 ? wanted * remote * allowed[z] / room : 0) + 0.01 * wanted / static_cast<double>(n);
        broker.flow[broker.home] = wanted * (home.is_avoided ? 0.02 : 1 - remote);
      }
      for (std::size_t z = 0; z < n; ++z) {
        load[z] += broker.flow[z];
        if (z != broker.home) {
          inflow[z] += broker.flow[z];
          cross_zone += broker.flow[z];
        }
      }
    }
    std::vector<double> served_share(n, 0);
    for (std::size_t z = 0; z < n; ++z) {
      const double max_load = capacity(z);
      // Queues, hedges and timeouts make an overloaded zone serve less than its capacity.
      served_share[z] = load[z] <= max_load ? 1
                        : max_load <= 0
                            ? 0
                            : max_load * (1 - 0.5 * std::min(1.0, load[z] / max_load - 1)) / load[z];
      if (load[z] > 1.02 * max_load && max_load > 0 && inflow[z] > 0.04 * load[z])
        run_.overload_seconds += 0.1;
    }
    double served = 0;
    for (Broker& broker : brokers_) {
      for (std::size_t z = 0; z < n; ++z) {
        Observed& observed = broker.observed[z];
        const bool loses_all = zones_[z].is_dead || broken_links_.count({broker.home, z}) || broker.is_faulty;
        const double lost_share = loses_all ? 1 : zones_[z].lost_share;
        const double rejected_share = loses_all ? 0 : 1 - served_share[z];
        const double ok_share = (1 - lost_share) * (1 - rejected_share);
        served += broker.flow[z] * ok_share;
        const double gain = 0.2;  // averages over half a second
        observed.sent += gain * (broker.flow[z] - observed.sent);
        observed.lost += gain * (broker.flow[z] * lost_share - observed.lost);
        observed.load += 0.02 * (broker.flow[z] - observed.load);
        observed.rejected_share =
            broker.flow[z] > 0 ? observed.rejected_share + gain * (rejected_share - observed.rejected_share)
                               : 0;
        // A broker avoids a zone after three bad steps, and uses it again after ten good ones.
        observed.bad_steps = lost_share > 0.7 ? observed.bad_steps + 1 : 0;
        observed.good_steps = lost_share > 0.7 ? 0 : observed.good_steps + 1;
        if (observed.bad_steps >= 3) observed.is_avoided = true;
        if (observed.good_steps >= 10) observed.is_avoided = false;
      }
    }
    run_.requested += requested / kStepsPerSecond;
    run_.served += std::min(served, requested) / kStepsPerSecond;
    if (step_ < kFirstFaultStep && step_ >= 50)
      run_.fault_free_cross_zone_share += cross_zone / requested / 100;
  }
  void decide() {
    const Time now = kSecond + step_ * (kSecond / kStepsPerSecond);
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      const Broker& broker = brokers_[i];
      if (zones_[broker.home].has_dead_brokers) continue;
      zone_failover::ZoneReport report;
      report.home_zone = name(static_cast<int>(broker.home));
      report.demand_per_second = demand(broker);
      for (std::size_t z = 0; z < zones_.size(); ++z) {
        const Observed& observed = broker.observed[z];
        zone_failover::ZoneStats& stats = report.zones[name(static_cast<int>(z))];
        stats.attempts_per_second = observed.sent;
        stats.lost_per_second = observed.lost;
        stats.rejected_per_second = observed.rejected_share * observed.sent;
        stats.responses_per_second =
            stats.attempts_per_second - stats.lost_per_second - stats.rejected_per_second;
        stats.load_per_second = observed.load;
        stats.endpoints_in_service = static_cast<int>(endpoints_[z] * zones_[z].capacity_share);
        stats.endpoints_tried = stats.endpoints_in_service;
        stats.endpoints_down = observed.is_avoided ? stats.endpoints_in_service : 0;
        stats.mean_latency_seconds = 0.004 * zones_[z].slowdown;
        stats.capacity_per_second = stats.endpoints_in_service * kEndpointCapacityPerSecond;
      }
      leader_->add_report(now, "b" + std::to_string(i), std::move(report));
    }
    if (auto entry = leader_->propose_change(now, versions_)) {
      const auto applied = versions_.apply(*entry);
      if (applied.number) {
        shared_config::ConfigEntry force;
        force.kind = shared_config::ConfigEntry::Kind::kActivateVersion;
        force.number = applied.number;
        versions_.apply(force);
        ++run_.versions;
        const auto& version = *versions_.find(applied.number);
        tables_.push_back({step_, version.rules->zone_shares, zone_failover::parse_decision(version.note)});
        for (std::size_t z = 0; z < zones_.size(); ++z) {
          const auto& targets = tables_.back().decision.zones;
          const auto it = targets.find(name(static_cast<int>(z)));
          if (it == targets.end()) continue;
          const int share = it->second.local_share_thousandths;
          LastShare& last = last_shares_[z];
          if (share < last.share && last.has_risen) ++run_.reversals;
          if (share != last.share) last = {share, share > last.share};
        }
      }
    }
    for (Broker& broker : brokers_) {
      const Table* table = nullptr;
      for (const Table& made : tables_)
        if (made.made_at + broker.delay_steps <= step_) table = &made;
      if (!table) continue;
      double max_remote_share = 0;
      const std::string home = name(static_cast<int>(broker.home));
      for (std::size_t z = 0; z < zones_.size(); ++z)
        if (z != broker.home)
          max_remote_share += broker.limits[z] =
              table->shares.thousandths(home, name(static_cast<int>(z))) / 1000.0;
      const auto it = table->decision.zones.find(home);
      broker.local_share = it == table->decision.zones.end()
                               ? 1
                               : std::max(it->second.local_share_thousandths / 1000.0, 1 - max_remote_share);
    }
    while (tables_.size() > kMaxTables) tables_.pop_front();
  }
  // Splits the traffic by the true state, kOracleDelaySteps late.
  void apply_oracle_split() {
    std::vector<zone_failover::ZoneTraffic> traffic;
    zone_failover::BrokenLinks broken_links;
    for (const auto& [from, to] : broken_links_)
      broken_links.insert({name(static_cast<int>(from)), name(static_cast<int>(to))});
    std::vector<double> demands(zones_.size(), 0);
    for (const Broker& broker : brokers_) demands[broker.home] += demand(broker);
    for (std::size_t z = 0; z < zones_.size(); ++z) {
      const double usable = capacity(z) * (1 - zones_[z].lost_share);
      traffic.push_back({name(static_cast<int>(z)), zone_options_[z].region, demands[z],
                         demands[z] > 0 ? std::min(1.0, usable / demands[z]) : 1, usable, usable > 0});
    }
    delayed_.push_back({traffic, broken_links});
    if (delayed_.size() <= kOracleDelaySteps) return;
    const auto [past_traffic, past_links] = delayed_.front();
    delayed_.pop_front();
    const auto split =
        zone_failover::split_traffic(past_traffic, past_links, zone_failover::TrafficSplitOptions{0.02, 10});
    for (Broker& broker : brokers_) {
      const std::string home = name(static_cast<int>(broker.home));
      double max_remote_share = 0;
      for (std::size_t z = 0; z < zones_.size(); ++z)
        if (z != broker.home)
          max_remote_share += broker.limits[z] =
              split.shares.thousandths(home, name(static_cast<int>(z))) / 1000.0;
      broker.local_share = std::max(past_traffic[broker.home].local_share, 1 - max_remote_share);
    }
  }

  std::mt19937 random_;
  ZoneWorldSize size_;
  Policy policy_;
  std::vector<zone_failover::ZoneOptions> zone_options_;
  std::vector<int> endpoints_;  // by zone
  std::vector<ZoneState> zones_;
  std::vector<Broker> brokers_;
  std::vector<Fault> faults_;
  std::set<std::pair<std::size_t, std::size_t>> broken_links_;
  std::unique_ptr<zone_failover::ZoneFailover> leader_;
  shared_config::VersionHistory versions_;
  std::deque<Table> tables_;
  std::deque<std::pair<std::vector<zone_failover::ZoneTraffic>, zone_failover::BrokenLinks>> delayed_;
  std::vector<LastShare> last_shares_;  // by zone
  int step_ = 0;
  ZoneRun run_;
};

}  // namespace cairnhub::cluster
