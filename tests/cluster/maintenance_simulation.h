// Simulates maintenance of machines in a large fleet, from one seed: brokers with leases send shard requests
// to hosts, a leader runs the maintenance jobs, and crews take machines off and bring them back. Meanwhile
// hosts die, brokers are partitioned, pause or restart, leaders change, and zones fail over.
//
// The decisions are made by the production classes (Holder, Leases, Versions with the JobQueue,
// MaintenanceController); time advances in steps. For comparison there are two simple methods: one machine
// after the other, and several at once without coordination, by discovery alone.
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

enum class Method { kPlanned, kOneByOne, kUncoordinated };

struct SimulationSize {
  int brokers = 300;
  int hosts = 200;
  int zones = 6;
  int racks = 24;
  int replicas_per_shard = 3;
  int jobs = 50;
  int max_machines = 8;
  int min_replicas = 2;
};

struct SimulationResult {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  int reached = 0;        // shard requests open at a machine as it was handed over, or sent to it after that
  int below_minimum = 0;  // shards left with too few replicas by jobs alone, as one was started
  int fewest_replicas = 1 << 30;  // that jobs left a shard
  int done_while_cold = 0;        // jobs that ended while their host was cold
  int done = 0;
  int lost = 0;
  int called_back = 0;
  int open = 0;
  int blocked_by_lost = 0;     // jobs never started, as a lost machine holds one of their shards
  double total_seconds = 0;    // from the start of the first job to the end of the last
  double job_seconds_sum = 0;  // of all jobs, as if one after the other
  int faults = 0;
};

class MaintenanceSimulation {
 public:
  // @param removed_defence  left out, so that a test sees the harm without it:
  //     1: brokers report no open attempts, whatever is open
  //     2: the leader doesn't wait for the attempts of brokers without a lease
  //     3: the leader trusts the endpoint list on which hosts are warm
  MaintenanceSimulation(std::uint64_t seed, const SimulationSize& size, Method method,
                        int removed_defence = 0)
      : random_(static_cast<std::mt19937::result_type>(seed)),
        size_(size),
        method_(method),
        removed_defence_(removed_defence),
        history_(std::make_shared<maintenance::JobQueue>()) {
    hosts_.resize(static_cast<std::size_t>(size.hosts));
    for (int h = 0; h < size.hosts; ++h) {
      Host& host = hosts_[static_cast<std::size_t>(h)];
      host.name = "s-" + std::to_string(h);
      host.zone = h % size.zones;
      host.rack = h % size.racks;
    }
    brokers_.resize(static_cast<std::size_t>(size.brokers));
    for (int b = 0; b < size.brokers; ++b) {
      Broker& broker = brokers_[static_cast<std::size_t>(b)];
      broker.name = "b" + std::to_string(b);
      broker.holder = std::make_unique<shared_config::LeaseClient>(lease_terms(), shared_config::RuleSet{});
      shared_config::ConfigEntry entry;
      entry.kind = shared_config::ConfigEntry::Kind::kEnrollBroker;
      entry.name = broker.name;
      history_.apply(entry);
    }
    controller_ = std::make_unique<maintenance::MaintenanceController>(controller_options(), kLeader);
    leases_.start_term(now_ - 2 * kSecond, 1, {kLeader}, kLeader);
    std::vector<int> order(hosts_.size());
    for (std::size_t h = 0; h < order.size(); ++h) order[h] = static_cast<int>(h);
    std::shuffle(order.begin(), order.end(), random_);
    for (int j = 0; j < size.jobs; ++j) {
      jobs_.push_back({order[static_cast<std::size_t>(j)], 2 * kSecond + below(4) * kSecond});
    }
    draw_faults(order);
  }

  SimulationResult run(int max_seconds = 400) {
    const Time until = now_ + max_seconds * kSecond;
    while (now_ < until && !is_over()) {
      now_ += kStep;
      apply_faults();
      deliver_messages();
      run_crews();
      if (method_ != Method::kUncoordinated) {
        send_lease_requests();
        run_leader();
      }
      send_shard_requests();
    }
    for (const SimulatedJob& job : jobs_) {
      if (job.ended_at) result_.job_seconds_sum += seconds(job.ended_at - job.started_at);
      (job.is_lost               ? result_.lost
       : job.ended_at            ? result_.done
       : is_blocked_by_lost(job) ? result_.blocked_by_lost
                                 : result_.open) += 1;
    }
    result_.total_seconds = seconds(last_end_ - first_start_);
    return result_;
  }

 private:
  static constexpr Time kStep = kSecond / 50;
  static constexpr Time kWarmUpTime = 3 * kSecond;
  static constexpr Time kMaxAttemptTime = 2 * kSecond;
  static constexpr Time kListLag = kSecond / 5;  // until the leader's endpoint list shows a restart
  static constexpr const char* kLeader = "v";

 public:
  // Jobs that are not over, and what they wait for.
  std::string open_jobs() const {
    std::string all;
    for (const SimulatedJob& job : jobs_) {
      const auto it = queue().jobs().find(job.number);
      if (job.ended_at || job.is_lost) continue;
      const auto reason = controller_->waiting_reasons().find(job.number);
      all += hosts_[static_cast<std::size_t>(job.host)].name + " " +
             (it == queue().jobs().end() ? "unknown" : maintenance::job_state_name(it->second.state)) + ", " +
             (reason == controller_->waiting_reasons().end() ? it->second.state_reason : reason->second) +
             "; ";
    }
    return all;
  }

 private:
  struct Host {
    std::string name;
    int zone = 0;
    int rack = 0;
    bool is_dead = false;
    bool is_off = false;
    bool is_drained = false;
    Time started_at = 0;  // cold until kWarmUpTime later
  };
  struct OpenAttempt {
    int host;
    Time until;
  };
  struct Broker {
    std::string name;
    std::unique_ptr<shared_config::LeaseClient> holder;
    std::vector<OpenAttempt> attempts;
    std::vector<bool> unlisted;  // by host, as in the broker's own endpoint list
    Time partitioned_until = 0;
    Time paused_until = 0;
    Time next_report_at = 0;
    // The exclusions by host, kept for as long as the broker acts on the same rules.
    const shared_config::ActiveConfig* excluded_for = nullptr;
    std::shared_ptr<const shared_config::ActiveConfig> acting;
    std::vector<bool> excluded;
  };
  struct SimulatedJob {
    int host;
    Time duration;
    std::uint64_t number = 0;
    Time started_at = 0;
    Time off_at = 0;
    Time on_at = 0;
    Time ended_at = 0;
    bool is_lost = false;
    bool never_returns = false;
  };
  struct Fault {
    Time at;
    int kind;
    int target;
    Time duration;
  };
  struct Mail {
    Time at;
    int broker;
    bool is_to_leader;
    std::uint64_t term;
    std::optional<shared_config::LeaseRequest> ask;
    std::optional<shared_config::LeaseGrant> grant;
    std::optional<maintenance::OpenAttemptsReport> report;
  };

  unsigned below(unsigned n) { return static_cast<unsigned>(random_() % n); }
  bool is_warm(const Host& host) const { return !host.started_at || now_ >= host.started_at + kWarmUpTime; }
  static shared_config::LeaseSettings lease_terms() {
    shared_config::LeaseSettings terms;
    terms.max_divergence = kSecond;
    return terms;
  }
  maintenance::MaintenanceControllerOptions controller_options() const {
    maintenance::MaintenanceControllerOptions options;
    options.max_attempt_time = removed_defence_ == 2 ? 0 : kMaxAttemptTime;
    options.warm_up_time = removed_defence_ == 3 ? 0 : kWarmUpTime;
    return options;
  }

  void draw_faults(const std::vector<int>& order) {
    const int count = 4 + static_cast<int>(below(6));
    for (int k = 0; k < count; ++k) {
      Fault fault{now_ + (2 + below(60)) * kSecond, static_cast<int>(below(6)), 0, (1 + below(6)) * kSecond};
      if (fault.kind == 0) {  // a host without a job
        fault.target = order[static_cast<std::size_t>(size_.jobs) +
                             below(static_cast<unsigned>(size_.hosts - size_.jobs))];
      } else if (fault.kind == 4) {
        fault.target = static_cast<int>(below(static_cast<unsigned>(size_.zones)));
      } else {
        fault.target = static_cast<int>(below(static_cast<unsigned>(size_.brokers)));
      }
      faults_.push_back(fault);
    }
    if (below(4) == 0 && !jobs_.empty()) {
      jobs_[below(static_cast<unsigned>(jobs_.size()))].never_returns = true;
    }
    result_.faults = count;
  }

  void apply_faults() {
    for (const Fault& fault : faults_) {
      const bool begins = fault.at <= now_ && fault.at > now_ - kStep;
      const bool ends = fault.at + fault.duration <= now_ && fault.at + fault.duration > now_ - kStep;
      switch (fault.kind) {
        case 0: {  // a host dies, and restarts cold
          Host& host = hosts_[static_cast<std::size_t>(fault.target)];
          if (begins) {
            host.is_dead = true;
            listed_at_[fault.target] = now_ + kSecond / 2;
          }
          if (ends) {
            host.is_dead = false;
            host.started_at = now_;
            listed_at_[fault.target] = now_ + kSecond / 2;
          }
          break;
        }
        case 1:  // some brokers are partitioned
          for (int k = 0; begins && k < 10; ++k) {
            broker(fault.target + 7 * k).partitioned_until = now_ + fault.duration;
          }
          break;
        case 2:  // some brokers pause, with attempts open and more ready to send
          for (int k = 0; begins && k < 10; ++k) {
            broker(fault.target + 11 * k).paused_until = now_ + fault.duration;
          }
          break;
        case 3: {  // a broker restarts with the baseline that it has stored
          if (!begins) break;
          Broker& restarted = broker(fault.target);
          shared_config::Version baseline;
          baseline = restarted.holder->baseline();
          baseline.rules = std::make_shared<const shared_config::RuleSet>(restarted.holder->baseline_rules());
          restarted.holder =
              std::make_unique<shared_config::LeaseClient>(lease_terms(), shared_config::RuleSet{});
          if (baseline.number) restarted.holder->restore_baseline(baseline);
          restarted.attempts.clear();
          restarted.excluded_for = nullptr;
          restarted.acting.reset();
          break;
        }
        case 4:  // a zone is in failover for a while
          if (begins) zones_in_failover_.insert(fault.target);
          if (ends) zones_in_failover_.erase(fault.target);
          break;
        default:  // the leader dies, and its successor knows the log alone
          if (begins) {
            leaderless_until_ = now_ + kSecond / 2;
            proposal_settles_at_ = 0;
          }
      }
    }
    if (leaderless_until_ && now_ >= leaderless_until_) {
      leaderless_until_ = 0;
      leases_ = shared_config::LeaseManager(lease_terms());
      leases_.start_term(now_, ++term_, {kLeader}, kLeader);
      controller_ = std::make_unique<maintenance::MaintenanceController>(controller_options(), kLeader);
    }
    // A broker that is partitioned or paused keeps its old endpoint list until it is back.
    for (auto it = listed_at_.begin(); it != listed_at_.end();) {
      if (now_ < it->second) {
        ++it;
        continue;
      }
      const auto h = static_cast<std::size_t>(it->first);
      for (Broker& broker : brokers_) {
        if (broker.unlisted.empty()) broker.unlisted.resize(hosts_.size(), false);
        if (now_ >= broker.partitioned_until && now_ >= broker.paused_until) {
          broker.unlisted[h] = hosts_[h].is_dead || hosts_[h].is_drained;
        } else {
          late_lists_.push_back({&broker, h});
        }
      }
      it = listed_at_.erase(it);
    }
    std::erase_if(late_lists_, [&](const auto& late) {
      if (now_ < late.first->partitioned_until || now_ < late.first->paused_until) return false;
      late.first->unlisted[late.second] = hosts_[late.second].is_dead || hosts_[late.second].is_drained;
      return true;
    });
  }

  Broker& broker(int b) { return brokers_[static_cast<std::size_t>(b % size_.brokers)]; }
  bool is_reachable(const Broker& broker) const { return now_ >= broker.partitioned_until; }

  void deliver_messages() {
    std::deque<Mail> messages = std::exchange(mail_, {});
    for (Mail& message : messages) {
      Broker& peer = broker(message.broker);
      if (message.at > now_ || (!message.is_to_leader && now_ < peer.paused_until)) {
        mail_.push_back(std::move(message));
        continue;
      }
      if (!is_reachable(peer)) continue;  // lost
      if (message.is_to_leader) {
        if (leaderless_until_) continue;
        if (message.ask) leases_.handle_request(now_, peer.name, *message.ask);
        if (message.report) controller_->record_report(now_, peer.name, std::move(*message.report));
      } else if (message.grant) {
        peer.holder->handle_grant(now_, *message.grant);
      }
    }
    if (leaderless_until_ || method_ == Method::kUncoordinated) return;
    if (const auto round = leases_.start_round(now_))
      leases_.handle_confirmation(now_, kLeader, term_, *round, history_);
    for (auto& granted : leases_.take_grants()) {
      mail_.push_back(
          {now_ + kStep, std::stoi(granted.to.substr(1)), false, term_, {}, std::move(granted.grant), {}});
    }
  }

  // Lease requests, and reports of open attempts at excluded hosts.
  void send_lease_requests() {
    for (int i = 0; i < size_.brokers; ++i) {
      Broker& sender = broker(i);
      if (now_ < sender.paused_until) continue;
      if (now_ >= sender.holder->next_wake() && is_reachable(sender)) {
        mail_.push_back({now_ + kStep, i, true, term_, sender.holder->make_request(now_), {}, {}});
      }
      const auto& acting = *sender.holder->active_config(now_);
      if (now_ >= sender.next_report_at && acting.low && !acting.rules->endpoints_in_maintenance.empty()) {
        sender.next_report_at = now_ + kSecond / 10;
        maintenance::OpenAttemptsReport report;
        report.lease_low_version = acting.low;
        for (const auto& endpoint : acting.rules->endpoints_in_maintenance) {
          const int h = std::stoi(endpoint.substr(2));
          report.by_endpoint[endpoint] =
              static_cast<int>(std::count_if(sender.attempts.begin(), sender.attempts.end(),
                                             [&](const OpenAttempt& attempt) { return attempt.host == h; }));
          if (removed_defence_ == 1) report.by_endpoint[endpoint] = 0;
        }
        mail_.push_back({now_ + kStep, i, true, term_, {}, {}, std::move(report)});
      }
    }
  }

  maintenance::FleetStatus fleet_status() const {
    maintenance::FleetStatus status;
    status.ring_size = size_.hosts;
    status.replicas_per_shard = size_.replicas_per_shard;
    status.revision = 1;
    status.limits.min_warm_replicas = size_.min_replicas;
    status.limits.max_machines = method_ == Method::kOneByOne ? 1 : size_.max_machines;
    status.limits.max_machines_per_rack = 1;
    status.limits.max_machines_per_zone = status.limits.max_machines_per_region = size_.max_machines;
    status.limits.transition_time = 5 * kSecond;
    status.limits.lost_after = 20 * kSecond;
    status.limits.holds_queue_on_loss = false;
    for (int zone = 0; zone < size_.zones; ++zone) {
      status.zones["z" + std::to_string(zone)] = {"r", !zones_in_failover_.count(zone), 0, 0};
    }
    for (const Host& host : hosts_) {
      status.endpoints[host.name] = {static_cast<int>(&host - hosts_.data()), "z" + std::to_string(host.zone),
                                     !host.is_dead && !host.is_drained,
                                     is_warm(host) || now_ < host.started_at + kListLag};
    }
    return status;
  }
  const maintenance::JobQueue& queue() const {
    return static_cast<const maintenance::JobQueue&>(*history_.state_machine());
  }

  void run_leader() {
    if (leaderless_until_) return;
    if (const auto version = leases_.activatable_version(now_, history_)) {
      commit(shared_config::ConfigEntry::Kind::kActivateVersion, version);
    }
    if (history_.next_baseline() && leases_.may_activate_baseline(history_)) {
      commit(shared_config::ConfigEntry::Kind::kActivateBaseline, history_.next_baseline()->number);
    }
    if (proposal_settles_at_ && now_ >= proposal_settles_at_) {
      proposal_settles_at_ = 0;
      controller_->record_proposal_result(history_.apply(proposed_).number != 0);
      follow_queue();
    }
    if (proposal_settles_at_ || now_ < controller_->next_check_at()) return;
    controller_->schedule_next_check(now_);
    request_jobs();
    maintenance::LeaderView view;
    view.fleet_status = fleet_status();
    view.leases = leases_.brokers();
    for (const Broker& broker : brokers_) {
      if (is_reachable(broker)) view.live_brokers.insert(broker.name);
    }
    if (auto entry = controller_->next_entry(now_, now_, history_, view)) {
      proposed_ = std::move(*entry);
      proposal_settles_at_ = now_ + kStep;
    }
  }
  void commit(shared_config::ConfigEntry::Kind kind, std::uint64_t number) {
    shared_config::ConfigEntry entry;
    entry.kind = kind;
    entry.number = number;
    history_.apply(entry);
  }
  void request_jobs() {
    if (queue().fleet_status().ring_size == 0) return;
    for (SimulatedJob& job : jobs_) {
      if (job.number) continue;
      const Host& host = hosts_[static_cast<std::size_t>(job.host)];
      shared_config::ConfigEntry entry;
      entry.kind = shared_config::ConfigEntry::Kind::kStateMachine;
      entry.id = "ask-" + host.name;
      entry.who = "crew";
      maintenance::JobOperation operation;
      operation.stated_at = now_;
      operation.request.emplace();
      operation.request->machine = "m" + host.name;
      operation.request->endpoints = {host.name};
      operation.request->duration = job.duration;
      operation.request->rack = "k" + std::to_string(host.rack);
      entry.text = maintenance::encode_operation(operation);
      job.number = history_.apply(entry).number;
    }
  }
  // Takes over from the queue which jobs have started, been called back, been handed over or ended.
  void follow_queue() {
    for (SimulatedJob& job : jobs_) {
      const auto it = queue().jobs().find(job.number);
      if (it == queue().jobs().end()) continue;
      const maintenance::JobState state = it->second.state;
      if (state == maintenance::JobState::kDraining && !job.started_at) start(job);
      if (state == maintenance::JobState::kQueued && job.started_at && !job.off_at) {
        job.started_at = 0;
        ++result_.called_back;
        hosts_out_.erase(job.host);
      }
      if (state == maintenance::JobState::kInMaintenance && !job.off_at) switch_off(job);
      if (state == maintenance::JobState::kLost) job.is_lost = true;
      if (state == maintenance::JobState::kDone && !job.ended_at) end(job);
    }
  }
  void start(SimulatedJob& job) {
    job.started_at = now_;
    hosts_out_.insert(job.host);
    if (!first_start_) first_start_ = now_;
    for (int shard = 0; shard < size_.hosts; ++shard) {
      int left = 0;
      for (int k = 0; k < size_.replicas_per_shard; ++k) left += !hosts_out_.count((shard + k) % size_.hosts);
      result_.fewest_replicas = std::min(result_.fewest_replicas, left);
      const bool is_on_host = (job.host - shard + size_.hosts) % size_.hosts < size_.replicas_per_shard;
      result_.below_minimum += is_on_host && left < size_.min_replicas;
    }
  }
  void switch_off(SimulatedJob& job) {
    job.off_at = now_;
    hosts_[static_cast<std::size_t>(job.host)].is_off = true;
    for (const Broker& broker : brokers_) {
      for (const OpenAttempt& attempt : broker.attempts) {
        result_.reached += attempt.host == job.host && attempt.until > now_;
      }
    }
  }
  void end(SimulatedJob& job) {
    job.ended_at = now_;
    last_end_ = now_;
    hosts_out_.erase(job.host);
    result_.done_while_cold += !is_warm(hosts_[static_cast<std::size_t>(job.host)]);
  }

  // The people who work on the machines.
  void run_crews() {
    for (SimulatedJob& job : jobs_) {
      Host& host = hosts_[static_cast<std::size_t>(job.host)];
      if (method_ == Method::kUncoordinated) {
        if (!job.started_at && static_cast<int>(hosts_out_.size()) < size_.max_machines) {
          start(job);
          host.is_drained = true;
          listed_at_[job.host] = now_ + kSecond / 5;
        } else if (job.started_at && !job.off_at && now_ >= job.started_at + kSecond / 2) {
          switch_off(job);
        } else if (job.on_at && !job.ended_at && now_ >= job.on_at + kWarmUpTime) {
          end(job);
        }
      }
      if (!job.off_at || job.on_at || job.never_returns || now_ < job.off_at + job.duration) continue;
      job.on_at = now_;
      host.is_off = host.is_drained = false;
      host.started_at = now_;
      if (method_ == Method::kUncoordinated) {
        listed_at_[job.host] = now_ + kSecond / 5;
        continue;
      }
      shared_config::ConfigEntry entry;
      entry.kind = shared_config::ConfigEntry::Kind::kStateMachine;
      entry.id = "back-" + host.name;
      entry.who = "crew";
      maintenance::JobOperation operation;
      operation.stated_at = now_;
      operation.done = job.number;
      entry.text = maintenance::encode_operation(operation);
      history_.apply(entry);
    }
  }
  // Whether the job can't start as a machine that never returns shares a shard with it.
  bool is_blocked_by_lost(const SimulatedJob& job) const {
    return !job.started_at && std::any_of(jobs_.begin(), jobs_.end(), [&](const SimulatedJob& other) {
      const int distance = std::abs(other.host - job.host);
      return other.is_lost && std::min(distance, size_.hosts - distance) < size_.replicas_per_shard;
    });
  }
  bool is_over() const {
    return std::all_of(jobs_.begin(), jobs_.end(), [&](const SimulatedJob& job) {
      return job.ended_at || job.is_lost || (job.never_returns && method_ == Method::kUncoordinated);
    });
  }

  // Now and then each broker sends one shard request to a replica that it may use.
  void send_shard_requests() {
    for (Broker& broker : brokers_) {
      std::erase_if(broker.attempts, [&](const OpenAttempt& attempt) { return attempt.until <= now_; });
      if (now_ < broker.paused_until || below(4) != 0) continue;
      const shared_config::ActiveConfig* acting = nullptr;
      if (method_ != Method::kUncoordinated) {
        const auto& current = broker.holder->active_config(now_);
        acting = current.get();
        if (acting != broker.excluded_for) {
          broker.excluded_for = acting;
          broker.acting = current;
          broker.excluded.assign(hosts_.size(), false);
          for (const auto& endpoint : acting->rules->endpoints_in_maintenance) {
            broker.excluded[static_cast<std::size_t>(std::stoi(endpoint.substr(2)))] = true;
          }
        }
      }
      const unsigned shard = below(static_cast<unsigned>(size_.hosts));
      int selected = -1;
      int candidates = 0;
      for (int k = 0; k < size_.replicas_per_shard; ++k) {
        const auto h = (shard + static_cast<unsigned>(k)) % static_cast<unsigned>(size_.hosts);
        if ((acting && broker.excluded[h]) || (!broker.unlisted.empty() && broker.unlisted[h])) continue;
        if (!is_warm(hosts_[h]) && below(3) != 0) continue;  // a cold host serves a third
        if (below(static_cast<unsigned>(++candidates)) == 0) selected = static_cast<int>(h);
      }
      ++result_.sent;
      if (selected < 0) continue;
      Host& host = hosts_[static_cast<std::size_t>(selected)];
      result_.served += !host.is_dead && !host.is_off;
      result_.reached += host.is_off;
      // Most attempts are quick. One in fifty, and each at a dead host, stays open as long as it may.
      const Time takes = host.is_dead || below(50) == 0 ? kMaxAttemptTime : kStep * (1 + below(3));
      broker.attempts.push_back({selected, now_ + takes});
    }
  }

  std::mt19937 random_;
  SimulationSize size_;
  Method method_;
  int removed_defence_;
  Time now_ = 10 * kSecond;
  Time first_start_ = 0;
  Time last_end_ = 0;
  std::vector<Host> hosts_;
  std::vector<Broker> brokers_;
  std::vector<SimulatedJob> jobs_;
  std::vector<Fault> faults_;
  std::map<int, Time> listed_at_;  // by host: when endpoint lists show its change
  std::vector<std::pair<Broker*, std::size_t>> late_lists_;
  std::set<int> hosts_out_;
  std::set<int> zones_in_failover_;
  shared_config::VersionHistory history_;
  shared_config::LeaseManager leases_{lease_terms()};
  std::unique_ptr<maintenance::MaintenanceController> controller_;
  std::uint64_t term_ = 1;
  Time leaderless_until_ = 0;
  Time proposal_settles_at_ = 0;
  shared_config::ConfigEntry proposed_;
  std::deque<Mail> mail_;
  SimulationResult result_;
};

}  // namespace cairnhub::cluster
