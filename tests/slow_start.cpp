// Checks that all brokers together do not overload a server in slow start. The simulation has no sockets:
// each broker has its own RequestPolicy and they share nothing; servers run a few attempts in parallel and
// queue the others. Arrivals are Poisson, with unequal rates per broker and unequal work, and some brokers
// restart while a server is cold. With odd seeds a burst arrives as the server starts; with even seeds the
// burst follows a lull in which brokers save up credit.
//   slow_start BROKERS SEEDS         prints the highest load over all seeds; exit 1 if it exceeds the bound
//   slow_start BROKERS SEEDS without the same with brokers that do not limit slow starts; exit 1 if the load
//                                    stays within the bound
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "policy/request_policy.h"

namespace cairnhub {
namespace {

constexpr Time kMs = kSecond / 1000;
constexpr int kServers = 6;
constexpr int kReplicas = 3;
constexpr int kWorkersPerServer = 4;
constexpr Time kMeanServiceTime = 300 * kMs;  // with four workers: 13 attempts per second
constexpr Time kWarmup = 12 * kSecond;
constexpr Time kOverloadSpan = 2 * kSecond;
constexpr double kInitialShare = 0.2;
constexpr double kOverloadMultiple = 2;
constexpr Time kRestartAt = 20 * kSecond;  // the start of server 0 that is measured
constexpr Time kEnd = kRestartAt + kWarmup + 2 * kSecond;
constexpr Time kListDelay = 300 * kMs;  // from a server's start until the brokers learn of it

// Share of its capacity that server 0 has after its restart.
double capacity_share(Time at) {
  if (at < kRestartAt) return 0;
  return std::min(1.0, kInitialShare + (1 - kInitialShare) * seconds(at - kRestartAt) / seconds(kWarmup));
}

// Returns the number of attempts that the slow-start rule allows server 0 in the overload span that begins at
// `from`.
double allowed_attempts(Time from) {
  double share = 0;
  constexpr int kSamples = 20;
  for (int i = 0; i < kSamples; ++i) {
    share += capacity_share(from + kOverloadSpan * i / kSamples) / kSamples;
  }
  return kOverloadMultiple * share * kWorkersPerServer / seconds(kMeanServiceTime) * seconds(kOverloadSpan);
}
// Adds the random variation that the check accepts: 3 standard deviations for few attempts, otherwise 2.
double bound(double attempts) {
  return attempts < 30 ? attempts + 3 * std::sqrt(attempts) + 3 : attempts + 2 * std::sqrt(attempts) + 2;
}

struct Simulation {
  struct Attempt {
    int broker;
    int broker_start_count;
    RequestId shard_request;
    int index;
    Time sent_at;
    double work;  // as a multiple of the mean
  };
  struct Server {
    std::deque<Attempt> queue;
    int busy_workers = 0;
    bool is_up = true;
    int crash_count = 0;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct Broker {
    std::unique_ptr<RequestPolicy> policy;
    int start_count = 0;
    double traffic_share = 1;
    RequestId last_request = 0;
    std::map<RequestId, int> attempt_counts;  // by shard request
  };

  std::mt19937_64 random;
  double load;
  bool limits_slow_start;
  bool has_lull;
  std::vector<Broker> brokers;
  std::vector<Server> servers{kServers};
  std::priority_queue<Event> events;
  std::uint64_t event_count = 0;
  Time now = 0;
  std::vector<std::pair<Time, double>> cold_attempts;  // sent to server 0 after its restart: time and work

  double unit() { return std::uniform_real_distribution<>(0, 1)(random); }
  void schedule(Time delay, std::function<void()> run) {
    events.push({now + delay, event_count++, std::move(run)});
  }

  Simulation(int broker_count, std::uint64_t seed, bool should_limit)
      : random(seed), load(0.3 + 0.7 * unit()), limits_slow_start(should_limit), has_lull(seed % 2 == 0) {
    double sum = 0;
    for (int i = 0; i < broker_count; ++i) {
      brokers.emplace_back();
      // Some brokers get several times the mean traffic.
      brokers.back().traffic_share = std::exp(std::normal_distribution<>(0, 0.8)(random));
      sum += brokers.back().traffic_share;
    }
    for (int i = 0; i < broker_count; ++i) {
      brokers[static_cast<std::size_t>(i)].traffic_share /= sum;
      start_broker(i);
      schedule_request(i);
    }
    schedule(kRestartAt - 3 * kSecond, [this] { crash(0); });
    schedule(kRestartAt, [this] { servers[0].is_up = true; });
    schedule(kRestartAt + kListDelay, [this] {
      for (auto& broker : brokers) list_all(broker);
      for (std::size_t i = 0; i < brokers.size(); ++i) carry_out_actions(static_cast<int>(i));
    });
    // Some brokers restart while the server is cold: at least one, with some seeds all of them.
    const double restarted_share = unit() < 0.3 ? 1 : unit();
    const Time restart_at =
        kRestartAt + kListDelay + static_cast<Time>(unit() * static_cast<double>(kWarmup) / 2);
    for (int i = 0; i < broker_count; ++i) {
      if (i != 0 && unit() >= restarted_share) continue;
      schedule(restart_at, [this, i] {
        start_broker(i);
        carry_out_actions(i);
      });
    }
  }

  void start_broker(int index) {
    Broker& broker = brokers[static_cast<std::size_t>(index)];
    ++broker.start_count;
    broker.attempt_counts.clear();
    broker.policy = std::make_unique<RequestPolicy>(random());
    RequestPolicy& policy = *broker.policy;
    policy.set_brokers(static_cast<int>(brokers.size()));
    RequestClass request_class;
    request_class.latency_objective = 1500 * kMs;
    request_class.request_timeout = 4 * kSecond;
    request_class.late_value_share = 0.3;
    request_class.required_share = 0.67;
    request_class.min_response_share = 0.67;
    policy.add_request_class(request_class);
    policy.set_layout(kServers, kReplicas, 1);
    policy.set_attempts(3, true, true);
    policy.set_retry_after(true, 500 * kMs);
    policy.set_tick(5 * kMs);
    if (limits_slow_start) {
      policy.set_slow_start(kInitialShare, kWarmup, kOverloadMultiple, kOverloadSpan);
    }
    policy.start();
    list_all(broker);
  }
  void list_all(Broker& broker) {
    const bool is_restarted = now >= kRestartAt + kListDelay;
    broker.policy->list_begins(now, true);
    for (int i = 0; i < kServers; ++i) {
      const bool is_removed = i == 0 && now > 0 && !is_restarted;
      broker.policy->list_endpoint(static_cast<EndpointId>(i) + 1,
                                   is_removed ? EndpointState::kRemoved : EndpointState::kReady,
                                   i == 0 && is_restarted ? kRestartAt : 0, i);
    }
    broker.policy->list_ends();
  }

  // At a load of 1, the required five of each request's six shard requests use the capacity of all servers.
  void schedule_request(int broker) {
    const double requests_per_second =
        load * traffic() * kServers * kWorkersPerServer / seconds(kMeanServiceTime) / 5;
    const double rate = requests_per_second * brokers[static_cast<std::size_t>(broker)].traffic_share;
    const double delay_s = std::exponential_distribution<>(rate)(random);
    schedule(static_cast<Time>(std::min(delay_s, 1e3) * kSecond), [this, broker] {
      request_arrives(broker);
      schedule_request(broker);
    });
  }
  // Returns the present request rate as a multiple of the usual one.
  double traffic() const {
    if (now < kRestartAt || now > kRestartAt + 9 * kSecond) return 1;
    if (now < kRestartAt + 5 * kSecond) return has_lull ? 0.1 : 1.5;
    return has_lull ? 2.5 : 1;
  }
  void request_arrives(int index) {
    Broker& broker = brokers[static_cast<std::size_t>(index)];
    broker.last_request += 10;
    const RequestId id = broker.last_request;
    const float correlation_id = static_cast<float>(id / 10 % (1 << 20));
    broker.policy->request_arrived(now, id, 0, correlation_id, false, 4 * kSecond);
    for (int shard = 0; shard < kServers; ++shard) {
      broker.policy->shard_request_arrived(now, id + 1 + static_cast<RequestId>(shard), correlation_id, shard,
                                           1.0 / kServers);
    }
    carry_out_actions(index);
  }
  void carry_out_actions(int index) {
    Broker& broker = brokers[static_cast<std::size_t>(index)];
    while (const auto action = broker.policy->next(now)) {
      if (action->kind == PolicyAction::Kind::kSendAttempt) {
        send(index, *action);
      } else if (action->kind == PolicyAction::Kind::kWake) {
        schedule(action->duration, [this, index, start_count = broker.start_count, token = action->token] {
          Broker& woken = brokers[static_cast<std::size_t>(index)];
          if (woken.start_count != start_count) return;
          woken.policy->woken(token);
          carry_out_actions(index);
        });
      }
    }
  }
  void send(int broker_index, const PolicyAction& action) {
    Broker& broker = brokers[static_cast<std::size_t>(broker_index)];
    const int index = broker.attempt_counts[action.request]++;
    const double work = std::exp(std::normal_distribution<>(-0.08, 0.4)(random));  // mean 1
    const Attempt attempt{broker_index, broker.start_count, action.request, index, now, work};
    const std::size_t server_index = static_cast<std::size_t>(action.endpoint - 1);
    if (server_index == 0 && now >= kRestartAt) cold_attempts.emplace_back(now, work);
    Server& server = servers[server_index];
    if (!server.is_up) {
      return schedule(kMs, [this, attempt] { end_attempt(attempt, AttemptOutcome::kConnectFailed); });
    }
    server.queue.push_back(attempt);
    serve(server_index);
  }
  void serve(std::size_t index) {
    Server& server = servers[index];
    while (server.busy_workers < kWorkersPerServer && !server.queue.empty()) {
      const Attempt attempt = server.queue.front();
      server.queue.pop_front();
      ++server.busy_workers;
      const double speed = index == 0 && now >= kRestartAt ? capacity_share(now) : 1;
      const Time service_time =
          static_cast<Time>(attempt.work / speed * static_cast<double>(kMeanServiceTime));
      schedule(service_time, [this, index, attempt, crash_count = server.crash_count] {
        if (servers[index].crash_count != crash_count) return;
        --servers[index].busy_workers;
        end_attempt(attempt, AttemptOutcome::kOk);
        serve(index);
      });
    }
  }
  void crash(std::size_t index) {
    Server& server = servers[index];
    server.is_up = false;
    server.busy_workers = 0;
    ++server.crash_count;
    for (const Attempt& attempt : std::exchange(server.queue, {})) {
      end_attempt(attempt, AttemptOutcome::kReset);
    }
    for (std::size_t i = 0; i < brokers.size(); ++i) {
      list_removal(brokers[i]);
      carry_out_actions(static_cast<int>(i));
    }
  }
  void list_removal(Broker& broker) {
    broker.policy->list_begins(now, false);
    broker.policy->list_endpoint(1, EndpointState::kRemoved, 0, 0);
    broker.policy->list_ends();
  }
  void end_attempt(const Attempt& attempt, AttemptOutcome outcome) {
    Broker& broker = brokers[static_cast<std::size_t>(attempt.broker)];
    if (broker.start_count != attempt.broker_start_count) return;
    broker.policy->attempt_ended(now, attempt.shard_request, attempt.index, outcome, now - attempt.sent_at,
                                 outcome == AttemptOutcome::kOk, {});
    carry_out_actions(attempt.broker);
  }
  void run() {
    while (!events.empty() && events.top().at <= kEnd) {
      const Event event = events.top();
      events.pop();
      now = event.at;
      event.run();
    }
  }
  // Returns the highest work sent to the cold server in any overload span, as a share of the bound.
  double max_bound_share() const {
    double max_share = 0;
    for (std::size_t first = 0; first < cold_attempts.size(); ++first) {
      double work = 0;
      const Time from = cold_attempts[first].first;
      if (from >= kRestartAt + kWarmup) break;
      for (std::size_t i = first; i < cold_attempts.size(); ++i) {
        if (cold_attempts[i].first >= from + kOverloadSpan) break;
        work += cold_attempts[i].second;
      }
      max_share = std::max(max_share, work / bound(allowed_attempts(from)));
    }
    return max_share;
  }
};

}  // namespace
}  // namespace cairnhub

int main(int argc, char** argv) {
  if (argc != 3 && argc != 4) return 2;
  const int brokers = std::atoi(argv[1]);
  const int seeds = std::atoi(argv[2]);
  const bool limits_slow_start = argc == 3;
  double max_share = 0;
  int max_share_seed = 0;
  int seeds_past_bound = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    cairnhub::Simulation simulation(brokers, static_cast<std::uint64_t>(seed), limits_slow_start);
    simulation.run();
    const double share = simulation.max_bound_share();
    seeds_past_bound += share > 1;
    if (share > max_share) {
      max_share = share;
      max_share_seed = seed;
    }
  }
  std::printf("%d brokers, %d seeds: at most %.2f of the bound (seed %d); past it on %d\n", brokers, seeds,
              max_share, max_share_seed, seeds_past_bound);
  return limits_slow_start == (seeds_past_bound > 0);
}
