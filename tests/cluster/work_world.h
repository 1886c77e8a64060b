// Machines taken out for work at size, from one seed: brokers with leases on versions that send parts to
// hosts, a leader that conducts the works, crews that take machines off and bring them back, and what goes
// wrong meanwhile (hosts die, brokers are cut off, stand still or start anew, leaders change, zones fail
// over). The deciding classes are the program's own (Holder, Leases, the book of versions with the book of
// works, Conduct with its plan); time goes in steps. Beside it two plain ways: one machine after the other,
// and k at once by discovery alone.
#pragma once
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "maintenance/maintenance_controller.h"
#include "shared_config/leases.h"

namespace cairnhub::cluster {

enum class Way { planned, one_by_one, blind };

struct WorkWorldSize {
  int brokers = 300, hosts = 200, zones = 6, racks = 24, width = 3;
  int works = 50, at_once = 8;
  int least = 2;  // holders of a shard
};

struct WorkRun {
  std::uint64_t asked = 0, served = 0;
  int reached = 0;       // parts that were out at a machine as it was handed over, or came to it at work
  int below = 0;         // shards left with too few holders by works alone, as one was begun
  int fewest = 1 << 30;  // holders that works left a shard
  int cold = 0;          // works over while their node was cold
  int done = 0, lost = 0, called_back = 0, open = 0;
  int held_up = 0;            // by one that was lost
  double whole = 0, sum = 0;  // seconds: from the first begun to the last back, and of all works one by one
  int faults = 0;
};

class WorkWorld {
 public:
  // `without`: a defence left out, for the test of the test. 1: brokers say that nothing is out whatever is;
  // 2: no waiting for sends of brokers without a lease; 3: what the list tells of warmth is believed.
  WorkWorld(std::uint64_t seed, const WorkWorldSize& size, Way way, int without = 0)
      : chance_(static_cast<std::mt19937::result_type>(seed)),
        size_(size),
        way_(way),
        without_(without),
        book_(std::make_shared<maintenance::Works>()) {
    hosts_.resize(static_cast<std::size_t>(size.hosts));
    for (int h = 0; h < size.hosts; ++h) {
      Host& x = hosts_[static_cast<std::size_t>(h)];
      x.name = "s-" + std::to_string(h), x.zone = h % size.zones, x.rack = h % size.racks;
    }
    brokers_.resize(static_cast<std::size_t>(size.brokers));
    for (int b = 0; b < size.brokers; ++b) {
      Broker& x = brokers_[static_cast<std::size_t>(b)];
      x.name = "b" + std::to_string(b);
      x.holder = std::make_unique<shared_config::LeaseClient>(lease_terms(), shared_config::RuleSet{});
      shared_config::ConfigEntry e;
      e.kind = shared_config::ConfigEntry::Kind::kEnrollBroker, e.name = x.name;
      book_.apply(e);
    }
    conduct_ = std::make_unique<maintenance::Conduct>(conduct_terms(), kLeader);
    leases_.start_term(now_ - 2 * kSecond, 1, {kLeader}, kLeader);
    std::vector<int> order(hosts_.size());
    for (std::size_t h = 0; h < order.size(); ++h) order[h] = static_cast<int>(h);
    std::shuffle(order.begin(), order.end(), chance_);
    for (int w = 0; w < size.works; ++w)
      jobs_.push_back({order[static_cast<std::size_t>(w)], 2 * kSecond + below(4) * kSecond});
    draw_faults(order);
  }

  WorkRun play(int seconds_most = 400) {
    const Time until = now_ + seconds_most * kSecond;
    while (now_ < until && !over()) {
      now_ += kStep;
      happen();
      deliver();
      crew();
      if (way_ != Way::blind) {
        ask();
        lead();
      }
      send();
    }
    for (const Job& j : jobs_) {
      if (j.end) run_.sum += seconds(j.end - j.begun);
      (j.lost ? run_.lost : j.end ? run_.done : held_up(j) ? run_.held_up : run_.open) += 1;
    }
    run_.whole = seconds(last_end_ - first_begun_);
    return run_;
  }

 private:
  static constexpr Time kStep = kSecond / 50;
  static constexpr Time kWarm = 3 * kSecond, kLongest = 2 * kSecond;
  static constexpr Time kListLag = kSecond / 5;  // until the leader's list tells of a new start
  static constexpr const char* kLeader = "v";

 public:
  // Works that are not over, and what they wait for.
  std::string open_works() const {
    std::string all;
    for (const Job& j : jobs_) {
      const auto it = works().all().find(j.work);
      if (j.end || j.lost) continue;
      const auto why = conduct_->waits().find(j.work);
      all += hosts_[static_cast<std::size_t>(j.host)].name + " " +
             (it == works().all().end() ? "unknown" : maintenance::name_of(it->second.step)) + ", " +
             (why == conduct_->waits().end() ? it->second.last : why->second) + "; ";
    }
    return all;
  }

 private:
  struct Host {
    std::string name;
    int zone = 0, rack = 0;
    bool dead = false, off = false, drained = false;
    Time started = 0;  // cold until kWarm after
  };
  struct Part {
    int host;
    Time until;
  };
  struct Broker {
    std::string name;
    std::unique_ptr<shared_config::LeaseClient> holder;
    std::vector<Part> out;
    std::vector<bool> gone;  // by host, as its list has it
    Time cut_until = 0, stands_until = 0, says_at = 0;
    std::uint64_t acting = 0;  // of what `barred` was made
    const shared_config::ActiveConfig* barred_for = nullptr;
    std::shared_ptr<const shared_config::ActiveConfig> kept;
    std::vector<bool> barred;
  };
  struct Job {
    int host;
    Time length;
    std::uint64_t work = 0;
    Time begun = 0, off_at = 0, on_at = 0, end = 0;
    bool lost = false, never_back = false;
  };
  struct Fault {
    Time at;
    int kind, whom;
    Time length;
  };
  struct Mail {
    Time at;
    int broker;
    bool to_leader;
    std::uint64_t term;
    std::optional<shared_config::LeaseRequest> ask;
    std::optional<shared_config::LeaseGrant> grant;
    std::optional<maintenance::Clear> clear;
  };

  unsigned below(unsigned n) { return static_cast<unsigned>(chance_() % n); }
  bool warm(const Host& h) const { return !h.started || now_ >= h.started + kWarm; }
  static shared_config::LeaseSettings lease_terms() {
    shared_config::LeaseSettings t;
    t.max_divergence = kSecond;
    return t;
  }
  maintenance::ConductTerms conduct_terms() const {
    maintenance::ConductTerms t;
    t.longest_send = without_ == 2 ? 0 : kLongest;
    t.warm_after = without_ == 3 ? 0 : kWarm;
    return t;
  }

  void draw_faults(const std::vector<int>& order) {
    const int n = 4 + static_cast<int>(below(6));
    for (int k = 0; k < n; ++k) {
      Fault f{now_ + (2 + below(60)) * kSecond, static_cast<int>(below(6)), 0, (1 + below(6)) * kSecond};
      if (f.kind == 0)  // a host that no work is planned on
        f.whom = order[static_cast<std::size_t>(size_.works) +
                       below(static_cast<unsigned>(size_.hosts - size_.works))];
      else if (f.kind == 4)
        f.whom = static_cast<int>(below(static_cast<unsigned>(size_.zones)));
      else
        f.whom = static_cast<int>(below(static_cast<unsigned>(size_.brokers)));
      faults_.push_back(f);
    }
    if (below(4) == 0 && !jobs_.empty()) jobs_[below(static_cast<unsigned>(jobs_.size()))].never_back = true;
    run_.faults = n;
  }

  void happen() {
    for (const Fault& f : faults_) {
      const bool begins = f.at <= now_ && f.at > now_ - kStep;
      const bool ends = f.at + f.length <= now_ && f.at + f.length > now_ - kStep;
      switch (f.kind) {
        case 0: {  // a host dies, and comes back cold
          Host& h = hosts_[static_cast<std::size_t>(f.whom)];
          if (begins) h.dead = true, listed_at_[f.whom] = now_ + kSecond / 2;
          if (ends) h.dead = false, h.started = now_, listed_at_[f.whom] = now_ + kSecond / 2;
          break;
        }
        case 1:  // some brokers are cut off
          for (int k = 0; begins && k < 10; ++k) broker(f.whom + 7 * k).cut_until = now_ + f.length;
          break;
        case 2:  // some stand still, with parts out and more ready
          for (int k = 0; begins && k < 10; ++k) broker(f.whom + 11 * k).stands_until = now_ + f.length;
          break;
        case 3: {  // one dies, and starts anew with the ground that it kept
          if (!begins) break;
          Broker& b = broker(f.whom);
          shared_config::Version ground;
          ground = b.holder->baseline();
          ground.rules = std::make_shared<const shared_config::RuleSet>(b.holder->baseline_rules());
          b.holder = std::make_unique<shared_config::LeaseClient>(lease_terms(), shared_config::RuleSet{});
          if (ground.number) b.holder->restore_baseline(ground);
          b.out.clear(), b.barred_for = nullptr, b.kept.reset();
          break;
        }
        case 4:  // a zone is in failover for a while
          if (begins) failing_.insert(f.whom);
          if (ends) failing_.erase(f.whom);
          break;
        default:  // the leader dies; the next one knows the log alone
          if (begins) leaderless_until_ = now_ + kSecond / 2, settling_ = 0;
      }
    }
    if (leaderless_until_ && now_ >= leaderless_until_) {
      leaderless_until_ = 0;
      leases_ = shared_config::LeaseManager(lease_terms());
      leases_.start_term(now_, ++term_, {kLeader}, kLeader);
      conduct_ = std::make_unique<maintenance::Conduct>(conduct_terms(), kLeader);
    }
    // Lists arrive at each broker when they do; one that is cut off from all goes by the old one.
    for (auto it = listed_at_.begin(); it != listed_at_.end();) {
      if (now_ < it->second) {
        ++it;
        continue;
      }
      const auto h = static_cast<std::size_t>(it->first);
      for (Broker& b : brokers_) {
        if (b.gone.empty()) b.gone.resize(hosts_.size(), false);
        if (now_ >= b.cut_until && now_ >= b.stands_until)
          b.gone[h] = hosts_[h].dead || hosts_[h].drained;
        else
          late_lists_.push_back({&b, h});
      }
      it = listed_at_.erase(it);
    }
    std::erase_if(late_lists_, [&](const auto& l) {
      if (now_ < l.first->cut_until || now_ < l.first->stands_until) return false;
      l.first->gone[l.second] = hosts_[l.second].dead || hosts_[l.second].drained;
      return true;
    });
  }

  Broker& broker(int b) { return brokers_[static_cast<std::size_t>(b % size_.brokers)]; }
  bool reachable(const Broker& b) const { return now_ >= b.cut_until; }

  void deliver() {
    std::deque<Mail> mail = std::exchange(mail_, {});
    for (Mail& m : mail) {
      Broker& b = broker(m.broker);
      if (m.at > now_ || (!m.to_leader && now_ < b.stands_until)) {
        mail_.push_back(std::move(m));
        continue;
      }
      if (!reachable(b)) continue;  // lost
      if (m.to_leader) {
        if (leaderless_until_) continue;
        if (m.ask) leases_.handle_request(now_, b.name, *m.ask);
        if (m.clear) conduct_->heard(now_, b.name, std::move(*m.clear));
      } else if (m.grant) {
        b.holder->handle_grant(now_, *m.grant);
      }
    }
    if (leaderless_until_ || way_ == Way::blind) return;
    if (const auto r = leases_.start_round(now_))
      leases_.handle_confirmation(now_, kLeader, term_, *r, book_);
    for (auto& g : leases_.take_grants())
      mail_.push_back({now_ + kStep, std::stoi(g.to.substr(1)), false, term_, {}, std::move(g.grant), {}});
  }

  void ask() {
    for (int i = 0; i < size_.brokers; ++i) {
      Broker& b = broker(i);
      if (now_ < b.stands_until) continue;
      if (now_ >= b.holder->next_wake() && reachable(b))
        mail_.push_back({now_ + kStep, i, true, term_, b.holder->make_request(now_), {}, {}});
      const auto& acting = *b.holder->active_config(now_);
      if (now_ >= b.says_at && acting.low && !acting.rules->endpoints_in_maintenance.empty()) {
        b.says_at = now_ + kSecond / 10;
        maintenance::Clear c;
        c.low = acting.low;
        for (const auto& node : acting.rules->endpoints_in_maintenance) {
          const int h = std::stoi(node.substr(2));
          c.out[node] = static_cast<int>(
              std::count_if(b.out.begin(), b.out.end(), [&](const Part& p) { return p.host == h; }));
          if (without_ == 1) c.out[node] = 0;
        }
        mail_.push_back({now_ + kStep, i, true, term_, {}, {}, std::move(c)});
      }
    }
  }

  maintenance::Facts facts() const {
    maintenance::Facts f;
    f.cells = size_.hosts, f.width = size_.width, f.revision = 1;
    f.terms.holders_least = size_.least, f.terms.at_once = way_ == Way::one_by_one ? 1 : size_.at_once;
    f.terms.a_rack = 1, f.terms.a_zone = f.terms.a_region = size_.at_once, f.terms.around = 5 * kSecond;
    f.terms.lost_after = 20 * kSecond, f.terms.stop_on_loss = false;
    for (int z = 0; z < size_.zones; ++z) f.zones["z" + std::to_string(z)] = {"r", !failing_.count(z), 0, 0};
    for (const Host& h : hosts_)
      f.nodes[h.name] = {static_cast<int>(&h - hosts_.data()), "z" + std::to_string(h.zone),
                         !h.dead && !h.drained, warm(h) || now_ < h.started + kListLag};
    return f;
  }
  const maintenance::Works& works() const {
    return static_cast<const maintenance::Works&>(*book_.state_machine());
  }

  void lead() {
    if (leaderless_until_) return;
    if (const auto f = leases_.activatable_version(now_, book_))
      commit(shared_config::ConfigEntry::Kind::kActivateVersion, f);
    if (book_.next_baseline() && leases_.may_activate_baseline(book_))
      commit(shared_config::ConfigEntry::Kind::kActivateBaseline, book_.next_baseline()->number);
    if (settling_ && now_ >= settling_) {
      settling_ = 0;
      conduct_->settled(book_.apply(said_).number != 0);
      look_at_works();
    }
    if (settling_ || now_ < conduct_->wake()) return;
    conduct_->looked(now_);
    ask_for_works();
    maintenance::Seen seen;
    seen.facts = facts(), seen.held = leases_.brokers();
    for (const Broker& b : brokers_)
      if (reachable(b)) seen.alive.insert(b.name);
    if (auto e = conduct_->lead(now_, now_, book_, seen)) said_ = std::move(*e), settling_ = now_ + kStep;
  }
  void commit(shared_config::ConfigEntry::Kind kind, std::uint64_t number) {
    shared_config::ConfigEntry e;
    e.kind = kind, e.number = number;
    book_.apply(e);
  }
  void ask_for_works() {
    if (works().facts().cells == 0) return;
    for (Job& j : jobs_) {
      if (j.work) continue;
      const Host& h = hosts_[static_cast<std::size_t>(j.host)];
      shared_config::ConfigEntry e;
      e.kind = shared_config::ConfigEntry::Kind::kStateMachine, e.id = "ask-" + h.name, e.who = "crew";
      maintenance::Op op;
      op.at = now_, op.request.emplace();
      op.request->machine = "m" + h.name, op.request->nodes = {h.name}, op.request->length = j.length;
      op.request->rack = "k" + std::to_string(h.rack);
      e.text = maintenance::encode(op);
      j.work = book_.apply(e).number;
    }
  }
  // What the book says now against what it said: a work begun, called back, handed over, over.
  void look_at_works() {
    for (Job& j : jobs_) {
      const auto it = works().all().find(j.work);
      if (it == works().all().end()) continue;
      const maintenance::Step step = it->second.step;
      if (step == maintenance::Step::draining && !j.begun) begins(j);
      if (step == maintenance::Step::queued && j.begun && !j.off_at)
        j.begun = 0, ++run_.called_back, out_.erase(j.host);
      if (step == maintenance::Step::at_work && !j.off_at) off(j);
      if (step == maintenance::Step::lost) j.lost = true;
      if (step == maintenance::Step::done && !j.end) ends(j);
    }
  }
  void begins(Job& j) {
    j.begun = now_, out_.insert(j.host);
    if (!first_begun_) first_begun_ = now_;
    for (int s = 0; s < size_.hosts; ++s) {
      int left = 0;
      for (int k = 0; k < size_.width; ++k) left += !out_.count((s + k) % size_.hosts);
      run_.fewest = std::min(run_.fewest, left);
      const bool mine = (j.host - s + size_.hosts) % size_.hosts < size_.width;
      run_.below += mine && left < size_.least;
    }
  }
  void off(Job& j) {
    j.off_at = now_;
    hosts_[static_cast<std::size_t>(j.host)].off = true;
    for (const Broker& b : brokers_)
      for (const Part& p : b.out) run_.reached += p.host == j.host && p.until > now_;
  }
  void ends(Job& j) {
    j.end = now_, last_end_ = now_, out_.erase(j.host);
    run_.cold += !warm(hosts_[static_cast<std::size_t>(j.host)]);
  }

  void crew() {
    for (Job& j : jobs_) {
      Host& h = hosts_[static_cast<std::size_t>(j.host)];
      if (way_ == Way::blind) {
        if (!j.begun && static_cast<int>(out_.size()) < size_.at_once) {
          begins(j);
          h.drained = true, listed_at_[j.host] = now_ + kSecond / 5;
        } else if (j.begun && !j.off_at && now_ >= j.begun + kSecond / 2) {
          off(j);
        } else if (j.on_at && !j.end && now_ >= j.on_at + kWarm) {
          ends(j);
        }
      }
      if (!j.off_at || j.on_at || j.never_back || now_ < j.off_at + j.length) continue;
      j.on_at = now_, h.off = h.drained = false, h.started = now_;
      if (way_ == Way::blind) {
        listed_at_[j.host] = now_ + kSecond / 5;
        continue;
      }
      shared_config::ConfigEntry e;
      e.kind = shared_config::ConfigEntry::Kind::kStateMachine, e.id = "back-" + h.name, e.who = "crew";
      maintenance::Op op;
      op.at = now_, op.done = j.work;
      e.text = maintenance::encode(op);
      book_.apply(e);
    }
  }
  // It must wait for a machine that never returns: both hold one shard.
  bool held_up(const Job& j) const {
    return !j.begun && std::any_of(jobs_.begin(), jobs_.end(), [&](const Job& l) {
      const int apart = std::abs(l.host - j.host);
      return l.lost && std::min(apart, size_.hosts - apart) < size_.width;
    });
  }
  bool over() const {
    return std::all_of(jobs_.begin(), jobs_.end(),
                       [&](const Job& j) { return j.end || j.lost || (j.never_back && way_ == Way::blind); });
  }

  // Each broker asks for a part of a shard now and then, and sends it to a holder that it may send to.
  void send() {
    for (Broker& b : brokers_) {
      std::erase_if(b.out, [&](const Part& p) { return p.until <= now_; });
      if (now_ < b.stands_until || below(4) != 0) continue;
      const shared_config::ActiveConfig* acting = nullptr;
      if (way_ != Way::blind) {
        const auto& a = b.holder->active_config(now_);
        acting = a.get();
        if (acting != b.barred_for) {
          b.barred_for = acting, b.kept = a;
          b.barred.assign(hosts_.size(), false);
          for (const auto& node : acting->rules->endpoints_in_maintenance)
            b.barred[static_cast<std::size_t>(std::stoi(node.substr(2)))] = true;
        }
      }
      const unsigned shard = below(static_cast<unsigned>(size_.hosts));
      int best = -1, n = 0;
      for (int k = 0; k < size_.width; ++k) {
        const auto h = (shard + static_cast<unsigned>(k)) % static_cast<unsigned>(size_.hosts);
        if ((acting && b.barred[h]) || (!b.gone.empty() && b.gone[h])) continue;
        if (!warm(hosts_[h]) && below(3) != 0) continue;  // a cold one bears a third
        if (below(static_cast<unsigned>(++n)) == 0) best = static_cast<int>(h);
      }
      ++run_.asked;
      if (best < 0) continue;
      Host& h = hosts_[static_cast<std::size_t>(best)];
      run_.served += !h.dead && !h.off;
      run_.reached += h.off;
      // Most are quick; a few last as long as a send may.
      const Time takes = h.dead || below(50) == 0 ? kLongest : kStep * (1 + below(3));
      b.out.push_back({best, now_ + takes});
    }
  }

  std::mt19937 chance_;
  WorkWorldSize size_;
  Way way_;
  int without_;
  Time now_ = 10 * kSecond, first_begun_ = 0, last_end_ = 0;
  std::vector<Host> hosts_;
  std::vector<Broker> brokers_;
  std::vector<Job> jobs_;
  std::vector<Fault> faults_;
  std::map<int, Time> listed_at_;
  std::vector<std::pair<Broker*, std::size_t>> late_lists_;
  std::set<int> out_, failing_;
  shared_config::VersionHistory book_;
  shared_config::LeaseManager leases_{lease_terms()};
  std::unique_ptr<maintenance::Conduct> conduct_;
  std::uint64_t term_ = 1;
  Time leaderless_until_ = 0, settling_ = 0;
  shared_config::ConfigEntry said_;
  std::deque<Mail> mail_;
  WorkRun run_;
};

}  // namespace cairnhub::cluster
