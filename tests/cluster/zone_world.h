// Zones of hosts, brokers at home in them and what their clients ask for, as flows of parts over steps of a
// tenth of a second, from one seed. The deciding classes are the program's own (Zones with its evidence,
// courses and shares; the book of versions); what a broker does on its own is as the decision module does it,
// in flows.
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

enum class Policy { common, alone, before, told };  // told: sees the true state, 1.5 s late

struct ZoneWorldSize {
  int brokers = 300, hosts = 200, zones = 6, regions = 2;
};

struct ZoneRun {
  double asked = 0, served = 0;
  double calm_crossing = 0;  // share of parts before the first fault
  double over = 0;  // zone-seconds in which a zone was given more than it bears, others' parts among it
  int versions = 0, turns = 0;  // turns: a zone's share that fell after it had risen
  int faults = 0;
};

class ZoneWorld {
 public:
  ZoneWorld(std::uint64_t seed, const ZoneWorldSize& size, Policy policy)
      : chance_(static_cast<std::mt19937::result_type>(seed)), size_(size), policy_(policy) {
    const auto n = static_cast<std::size_t>(size.zones);
    for (int z = 0; z < size.zones; ++z) {
      zone_failover::Zone zone;
      zone.name = name(z), zone.region = "r" + std::to_string(z * size.regions / size.zones);
      zone.host_capacity = kHost;
      stated_.push_back(zone);
      hosts_.push_back(size.hosts / size.zones + (z < size.hosts % size.zones));
    }
    true_.resize(n);
    for (std::size_t z = 0; z < n; ++z) true_[z].wanted = hosts_[z] * kHost * (0.45 + 0.3 * unit());
    brokers_.resize(static_cast<std::size_t>(size.brokers));
    for (std::size_t b = 0; b < brokers_.size(); ++b) {
      brokers_[b].home = b % n;
      brokers_[b].limit.assign(n, 0.03), brokers_[b].heard.assign(n, {}), brokers_[b].flow.assign(n, 0);
      brokers_[b].delay = static_cast<int>(1 + below(4));
      if (unit() < 0.03) brokers_[b].delay = 20;  // told late, as its lease ends
    }
    for (std::size_t z = 0; z < n; ++z) seen_.push_back({});
    draw_faults();
    zone_failover::Terms t;
    t.home = name(0), t.zones = stated_, t.report_every = kSecond / 4, t.evidence.fresh = kSecond;
    zones_ = std::make_unique<zone_failover::Zones>(t, "b0");
    shared_config::ConfigEntry ground;
    ground.kind = shared_config::ConfigEntry::Kind::kProposeBaseline, ground.id = "g", ground.base = 1;
    ground.text = "zone_shares { otherwise: 30 }";
    book_.apply(ground);
    ground.kind = shared_config::ConfigEntry::Kind::kActivateBaseline, ground.number = 2;
    book_.apply(ground);
  }

  ZoneRun play(int seconds_long = 120) {
    for (step_ = 0; step_ < seconds_long * 10; ++step_) {
      happen();
      serve();
      if (step_ % 2 == 0 && policy_ == Policy::common) decide();
      if (policy_ == Policy::told) tell();
    }
    return run_;
  }

 private:
  static constexpr double kHost = 100;  // parts a second
  struct Truth {
    double wanted = 0, worth = 1, lost = 0, slow = 1, surge = 1;
    bool dead = false, brokers_dead = false;
    int since = -1000;  // step at which it came back: cold
  };
  struct Heard {              // by a broker of a zone: what the module would know
    int bad = 0, good = 100;  // steps
    double sent = 0, lost = 0, refused = 0, load = 0;
    bool shunned = false;
  };
  struct Broker {
    std::size_t home = 0;
    std::vector<double> limit, flow;
    std::vector<Heard> heard;
    double stay = 1;
    int delay = 1;
    bool ill = false;
  };
  struct Fault {
    int kind, zone, other, from, until;
  };
  struct Table {
    int at;
    shared_config::ZoneShares shares;
    zone_failover::Note note;
  };
  static std::string name(int z) {
    return std::string(1, static_cast<char>('a' + z % 26)) + std::to_string(z);
  }
  double unit() { return std::uniform_real_distribution<double>()(chance_); }
  std::size_t below(std::size_t n) { return chance_() % n; }

  void draw_faults() {
    const int n = 1 + static_cast<int>(below(3));
    for (int k = 0; k < n; ++k) {
      const int from = 150 + static_cast<int>(below(400));
      faults_.push_back({static_cast<int>(below(10)),
                         static_cast<int>(below(static_cast<std::size_t>(size_.zones))),
                         static_cast<int>(below(static_cast<std::size_t>(size_.zones))), from,
                         from + 100 + static_cast<int>(below(300))});
    }
    run_.faults = n;
  }
  void happen() {
    for (Truth& t : true_) t.lost = 0, t.slow = t.surge = t.worth = 1, t.brokers_dead = false;
    cut_.clear();
    for (Broker& b : brokers_) b.ill = false;
    std::vector<bool> dead(true_.size(), false);
    for (const Fault& f : faults_) {
      if (step_ < f.from || step_ >= f.until) continue;
      Truth& t = true_[static_cast<std::size_t>(f.zone)];
      switch (f.kind) {
        case 0:  // its hosts die
          dead[static_cast<std::size_t>(f.zone)] = true;
          break;
        case 1:  // they flap each three seconds
          if ((step_ - f.from) / 30 % 2 == 0) dead[static_cast<std::size_t>(f.zone)] = true;
          break;
        case 2:  // a link is cut
          if (f.other != f.zone)
            cut_.insert({static_cast<std::size_t>(f.other), static_cast<std::size_t>(f.zone)});
          break;
        case 3:
          t.lost = 0.3;
          break;
        case 4:
          t.slow = 2.5;
          break;
        case 5:  // all of them, as something they share is slow
          for (Truth& all : true_) all.slow = 1.2;
          break;
        case 6:
          t.surge = 1.6;
          break;
        case 7:
          for (std::size_t b = 0; b < 3 && b < brokers_.size(); ++b)
            brokers_[(static_cast<std::size_t>(f.zone) + b * 7) % brokers_.size()].ill = true;
          break;
        case 8:  // lost whole: hosts and brokers
          dead[static_cast<std::size_t>(f.zone)] = t.brokers_dead = true;
          break;
        default:  // half of its hosts are gone from the list
          t.worth = 0.5;
      }
    }
    for (std::size_t z = 0; z < true_.size(); ++z) {
      if (true_[z].dead && !dead[z]) true_[z].since = step_;
      true_[z].dead = dead[z];
    }
  }
  double bears(std::size_t z) const {
    const Truth& t = true_[z];
    if (t.dead) return 0;
    const double cold = std::min(1.0, 0.2 + 0.8 * (step_ - t.since) / 100.0);
    return hosts_[z] * kHost * t.worth / t.slow * cold;
  }
  double of_broker(const Broker& b) const {  // what its clients ask of it
    const std::size_t n = true_.size();
    if (true_[b.home].brokers_dead) return 0;
    double asked = true_[b.home].wanted * true_[b.home].surge;
    // Clients of a zone whose brokers are dead come to the others.
    std::size_t live = 0;
    for (const Truth& t : true_) live += !t.brokers_dead;
    for (std::size_t z = 0; z < n; ++z)
      if (true_[z].brokers_dead) asked += true_[z].wanted * true_[z].surge / static_cast<double>(live);
    return asked / (static_cast<double>(size_.brokers) / static_cast<double>(n));
  }
  void serve() {
    const std::size_t n = true_.size();
    std::vector<double> load(n, 0), inflow(n, 0);
    double asked = 0, crossing = 0;
    for (Broker& b : brokers_) {
      const double w = of_broker(b);
      asked += w;
      std::fill(b.flow.begin(), b.flow.end(), 0);
      if (w <= 0) continue;
      if (policy_ == Policy::before) {  // wherever a holder stands, alike
        double good = 0;
        for (const Heard& h : b.heard) good += !h.shunned;
        for (std::size_t z = 0; z < n; ++z) b.flow[z] = b.heard[z].shunned ? 0.01 * w : good ? w / good : 0;
      } else {
        const Heard& home = b.heard[b.home];
        double stays = home.shunned ? 0.02 : std::min(b.stay, 1.0);
        // Its queue is longer by more than the step: what it turns away looks elsewhere.
        if (!home.shunned && home.refused > 0) stays = std::min(stays, 1 - home.refused);
        double room = 0;
        std::vector<double> may(n, 0);
        for (std::size_t z = 0; z < n; ++z) {
          if (z == b.home || b.heard[z].shunned) continue;
          room += may[z] = policy_ == Policy::alone ? 1.0 / static_cast<double>(n - 1) : b.limit[z];
        }
        const double leaves = std::min(1 - stays, room);
        for (std::size_t z = 0; z < n; ++z)
          if (z != b.home)
            b.flow[z] = (room > 0 ? w * leaves * may[z] / room : 0) + 0.01 * w / static_cast<double>(n);
        b.flow[b.home] = w * (home.shunned ? 0.02 : 1 - leaves);
      }
      for (std::size_t z = 0; z < n; ++z) {
        load[z] += b.flow[z];
        if (z != b.home) inflow[z] += b.flow[z], crossing += b.flow[z];
      }
    }
    std::vector<double> gets(n, 0);
    for (std::size_t z = 0; z < n; ++z) {
      const double c = bears(z);
      // Past what it bears a zone does less than that: queues, copies, time-outs.
      gets[z] = load[z] <= c ? 1 : c <= 0 ? 0 : c * (1 - 0.5 * std::min(1.0, load[z] / c - 1)) / load[z];
      if (load[z] > 1.02 * c && c > 0 && inflow[z] > 0.04 * load[z]) run_.over += 0.1;
    }
    double served = 0;
    for (Broker& b : brokers_) {
      for (std::size_t z = 0; z < n; ++z) {
        Heard& h = b.heard[z];
        const bool none = true_[z].dead || cut_.count({b.home, z}) || b.ill;
        const double lost = none ? 1 : true_[z].lost, refused = none ? 0 : 1 - gets[z];
        const double ok = (1 - lost) * (1 - refused);
        served += b.flow[z] * ok;
        const double fast = 0.2;  // of half a second
        h.sent += fast * (b.flow[z] - h.sent), h.lost += fast * (b.flow[z] * lost - h.lost);
        h.load += 0.02 * (b.flow[z] - h.load);
        h.refused = b.flow[z] > 0 ? h.refused + fast * (refused - h.refused) : 0;
        // Suspects after three steps; tried again, and taken back after ten good ones.
        h.bad = lost > 0.7 ? h.bad + 1 : 0, h.good = lost > 0.7 ? 0 : h.good + 1;
        if (h.bad >= 3) h.shunned = true;
        if (h.good >= 10) h.shunned = false;
      }
    }
    run_.asked += asked / 10, run_.served += std::min(served, asked) / 10;
    if (step_ < 150 && step_ >= 50) run_.calm_crossing += crossing / asked / 100;
  }
  void decide() {
    const Time now = kSecond + step_ * (kSecond / 10);
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      const Broker& b = brokers_[i];
      if (true_[b.home].brokers_dead) continue;
      zone_failover::Report r;
      r.home = name(static_cast<int>(b.home)), r.wanted = of_broker(b);
      for (std::size_t z = 0; z < true_.size(); ++z) {
        const Heard& h = b.heard[z];
        zone_failover::Reading& x = r.zones[name(static_cast<int>(z))];
        x.sent = h.sent, x.lost = h.lost, x.refused = h.refused * h.sent,
        x.returned = x.sent - x.lost - x.refused;
        x.load = h.load, x.hosts = static_cast<int>(hosts_[z] * true_[z].worth);
        x.tried = x.hosts, x.down = h.shunned ? x.hosts : 0;
        x.latency = 0.004 * true_[z].slow, x.capacity = x.hosts * kHost;
      }
      zones_->heard(now, "b" + std::to_string(i), std::move(r));
    }
    if (auto e = zones_->lead(now, book_)) {
      const auto v = book_.apply(*e);
      if (v.number) {
        shared_config::ConfigEntry force;
        force.kind = shared_config::ConfigEntry::Kind::kActivateVersion, force.number = v.number;
        book_.apply(force);
        ++run_.versions;
        const auto& made = *book_.find(v.number);
        tables_.push_back({step_, made.rules->zone_shares, zone_failover::parse_note(made.note)});
        for (std::size_t z = 0; z < true_.size(); ++z) {
          const auto it = tables_.back().note.zones.find(name(static_cast<int>(z)));
          if (it == tables_.back().note.zones.end()) continue;
          if (it->second.share < seen_[z].first && seen_[z].second) ++run_.turns;
          if (it->second.share != seen_[z].first)
            seen_[z] = {it->second.share, it->second.share > seen_[z].first};
        }
      }
    }
    for (Broker& b : brokers_) {
      const Table* t = nullptr;
      for (const Table& made : tables_)
        if (made.at + b.delay <= step_) t = &made;
      if (!t) continue;
      double out = 0;
      const std::string home = name(static_cast<int>(b.home));
      for (std::size_t z = 0; z < true_.size(); ++z)
        if (z != b.home) out += b.limit[z] = t->shares.thousandths(home, name(static_cast<int>(z))) / 1000.0;
      const auto it = t->note.zones.find(home);
      b.stay = it == t->note.zones.end() ? 1 : std::max(it->second.share / 1000.0, 1 - out);
    }
    while (tables_.size() > 40) tables_.pop_front();
  }
  // The same filling from the true state, one and a half seconds late.
  void tell() {
    std::vector<zone_failover::Place> places;
    zone_failover::Cut cut;
    for (const auto& [from, to] : cut_)
      cut.insert({name(static_cast<int>(from)), name(static_cast<int>(to))});
    std::vector<double> wanted(true_.size(), 0);
    for (const Broker& b : brokers_) wanted[b.home] += of_broker(b);
    for (std::size_t z = 0; z < true_.size(); ++z) {
      const double c = bears(z) * (1 - true_[z].lost);
      places.push_back({name(static_cast<int>(z)), stated_[z].region, wanted[z],
                        wanted[z] > 0 ? std::min(1.0, c / wanted[z]) : 1, c, c > 0});
    }
    late_.push_back({places, cut});
    if (late_.size() <= 15) return;
    const auto [then, gone] = late_.front();
    late_.pop_front();
    const auto f = zone_failover::fill(then, gone, zone_failover::FillTerms{0.02, 10});
    for (Broker& b : brokers_) {
      const std::string home = name(static_cast<int>(b.home));
      double out = 0;
      for (std::size_t z = 0; z < true_.size(); ++z)
        if (z != b.home) out += b.limit[z] = f.shares.thousandths(home, name(static_cast<int>(z))) / 1000.0;
      b.stay = std::max(then[b.home].share, 1 - out);
    }
  }

  std::mt19937 chance_;
  ZoneWorldSize size_;
  Policy policy_;
  std::vector<zone_failover::Zone> stated_;
  std::vector<int> hosts_;
  std::vector<Truth> true_;
  std::vector<Broker> brokers_;
  std::vector<Fault> faults_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  std::unique_ptr<zone_failover::Zones> zones_;
  shared_config::VersionHistory book_;
  std::deque<Table> tables_;
  std::deque<std::pair<std::vector<zone_failover::Place>, zone_failover::Cut>> late_;
  std::vector<std::pair<int, bool>> seen_;
  int step_ = 0;
  ZoneRun run_;
};

}  // namespace cairnhub::cluster
