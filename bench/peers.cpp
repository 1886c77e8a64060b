// Membership at 10 to 1,000 brokers in a seeded world, beside the plain way of all to all: the time to a
// death known by all, false deaths under loss, bytes a broker and second, the time until all hold what one
// tells.
//
//   build-bench/bench/bench_peers [SEEDS]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <vector>

#include "cluster/membership_cluster.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

namespace {

constexpr Time kMeasuredSpan = 60 * kSecond;
constexpr int kGossipFanOut = 4;
// Of all to all: a datagram as large as a ping without updates, twice a second.
constexpr double kPlainDatagramBytes = 150;
constexpr double kPlainDatagramsPerSecond = 2;

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

// Of all seeds at one size and loss.
struct Measurements {
  std::vector<double> death_seconds;         // until all know of one death
  std::vector<double> dissemination_millis;  // until nine in ten have one payload
  double false_deaths = 0;
  double broker_hours = 0;
  double bytes_per_broker = 0;
  double measured_seconds = 0;
};

class Run {
 public:
  Run(int seed, int broker_count, double loss)
      : broker_count_(broker_count),
        loss_(loss),
        world_(static_cast<std::uint64_t>(seed) * 1000 + static_cast<std::uint64_t>(broker_count)),
        cluster_(world_, broker_count, {}) {}

  void measure(Measurements& out) {
    cluster_.on_state_change = [this](int by, const membership::StateChange& change) {
      if (change.to != membership::MemberState::dead) return;
      if (number_of(change.name) == killed_) {
        informed_of_death_.insert(by);
      } else if (is_counting_) {
        ++false_deaths_;
      }
    };
    cluster_.start_all();
    world_.play(world_.now() + 30 * kSecond, [this] { return cluster_.agrees(); });
    world_.loss = loss_;
    measure_traffic(out);
    measure_dissemination(out);
    measure_death(out);
    out.false_deaths += false_deaths_;
  }

 private:
  void measure_traffic(Measurements& out) {
    is_counting_ = true;
    cluster_.measure_bytes = true;
    world_.bytes = 0;
    world_.play(world_.now() + kMeasuredSpan);
    out.bytes_per_broker += static_cast<double>(world_.bytes) / broker_count_;
    out.measured_seconds += seconds(kMeasuredSpan);
    out.broker_hours += broker_count_ * seconds(kMeasuredSpan) / 3600;
    is_counting_ = false;
    cluster_.measure_bytes = false;
  }

  // A payload that each passes on to some others when it is new to it.
  void measure_dissemination(Measurements& out) {
    const auto pass_on = [](membership::SwimMembership& member) {
      member.send_payload_to_random_members(kGossipFanOut, "x");
    };
    informed_of_payload_.insert(0);
    cluster_.on_payload = [this, pass_on](int at, const std::string&) {
      if (informed_of_payload_.insert(at).second) cluster_.act(at, pass_on);
    };
    const Time began = world_.now();
    cluster_.act(0, pass_on);
    world_.play(began + 2 * kSecond,
                [this] { return static_cast<int>(informed_of_payload_.size()) >= broker_count_ * 9 / 10; });
    out.dissemination_millis.push_back(seconds(world_.now() - began) * 1000);
  }

  void measure_death(Measurements& out) {
    killed_ = broker_count_ - 1;
    const Time died_at = world_.now();
    cluster_.kill(killed_);
    const bool all_informed = world_.play(died_at + 300 * kSecond, [this] {
      return static_cast<int>(informed_of_death_.size()) >= broker_count_ - 1;
    });
    if (all_informed) out.death_seconds.push_back(seconds(world_.now() - died_at));
  }

  int broker_count_;
  double loss_;
  Seeded world_;
  MembershipCluster cluster_;
  int killed_ = -1;
  bool is_counting_ = false;
  double false_deaths_ = 0;
  std::set<int> informed_of_death_;
  std::set<int> informed_of_payload_;
};

void print_row(int broker_count, double loss, const Measurements& m) {
  const double max_death =
      m.death_seconds.empty() ? 0 : *std::max_element(m.death_seconds.begin(), m.death_seconds.end());
  const double plain_bytes_per_second = (broker_count - 1) * kPlainDatagramsPerSecond * kPlainDatagramBytes;
  std::printf("%7d  %3.0f%%  %8.1f %8.1f %35.2f %17.0f %19.0f %16.1f\n", broker_count, loss * 100,
              median(m.death_seconds), max_death, m.broker_hours ? m.false_deaths / m.broker_hours : 0,
              m.bytes_per_broker / m.measured_seconds, plain_bytes_per_second,
              median(m.dissemination_millis));
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 5;
  std::printf(
      "brokers  loss  death known by all, s (median, most)  false deaths a broker-hour  bytes/s a broker  "
      "all to all bytes/s  told to all, ms\n");
  for (const int broker_count : {10, 100, 300, 1000}) {
    for (const double loss : {0.0, 0.1, 0.3}) {
      if (broker_count == 1000 && loss > 0.1) continue;
      const int seeds_at_size = broker_count >= 300 ? std::max(1, seeds / 3) : seeds;
      Measurements measurements;
      for (int seed = 1; seed <= seeds_at_size; ++seed) Run(seed, broker_count, loss).measure(measurements);
      print_row(broker_count, loss, measurements);
    }
  }
}
