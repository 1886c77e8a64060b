// Scenarios of membership in a seeded world; each prints a short trace, which is compared with its golden
// file.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "cluster/membership_cluster.h"

using namespace cairnhub;
using namespace cairnhub::cluster;
using membership::MemberState;

namespace {

constexpr Time kMillisecond = kSecond / 1000;

class Scenario {
 public:
  Scenario(std::uint64_t seed, int broker_count) : world(seed), cluster(world, broker_count, {}) {
    cluster.on_state_change = [this](int, const membership::StateChange& change) {
      if (change.to != MemberState::dead) return;
      ++deaths;
      ++deaths_of[number_of(change.name)];
    };
  }

  Seeded world;
  MembershipCluster cluster;
  int deaths = 0;                // changes to dead, at any broker
  std::map<int, int> deaths_of;  // the same, of each broker

  void play_for(Time span) { world.play(world.now() + span); }
  bool agrees_within(Time span) {
    return world.play(world.now() + span, [this] { return cluster.agrees(); });
  }
  const char* agreement(Time span) { return agrees_within(span) ? "agree" : "DO NOT agree"; }
  void join() {
    cluster.start_all();
    const bool agreed = agrees_within(60 * kSecond) && world.now() < 11 * kSecond;
    std::printf("%d brokers, three stated: %s within 10 s\n", cluster.size(),
                agreed ? "all know all" : "NOT all know all");
  }
};

void calm(Scenario& s) {
  s.join();
  s.play_for(120 * kSecond);
  const bool suspected =
      std::any_of(s.cluster.brokers.begin(), s.cluster.brokers.end(),
                  [](const auto& broker) { return broker.member->counters().suspicions != 0; });
  std::printf("two minutes later: held for dead %d, suspected %s\n", s.deaths, suspected ? "some" : "none");
}

void death(Scenario& s) {
  s.join();
  s.cluster.kill(7);
  std::printf("b7 is killed; the others %s within 30 s\n", s.agreement(30 * kSecond));
  std::printf("held for dead: b7 by %d of %d, others %d\n", s.deaths_of[7], s.cluster.size() - 1,
              s.deaths - s.deaths_of[7]);
  s.cluster.start(7);
  std::printf("b7 starts anew, knowing nothing; they %s within 10 s\n", s.agreement(10 * kSecond));
  std::printf("its incarnation rose: %s\n",
              s.cluster.broker(7).member->self().incarnation > 0 ? "yes" : "no");
}

// Two halves hold each other for dead and find each other again.
void halves(Scenario& s) {
  s.join();
  const int n = s.cluster.size();
  for (int a = 0; a < n / 2; ++a) {
    for (int b = n / 2; b < n; ++b) s.world.cut_both(a, b);
  }
  s.play_for(120 * kSecond);
  int right = 0;
  for (int a = 0; a < n; ++a) {
    for (int b = 0; b < n; ++b) {
      const bool is_cut_off = (a < n / 2) != (b < n / 2);
      if (a != b) right += (s.cluster.state_held(a, b) == MemberState::dead) == is_cut_off;
    }
  }
  std::printf("cut in two for two minutes: %s\n",
              right == n * (n - 1) ? "each half holds the other for dead, none of its own" : "NOT so");
  s.world.cut.clear();
  std::printf("the cut heals: they %s within 20 s\n", s.agreement(20 * kSecond));
}

// What b3 sends reaches no one, what others send reaches b3.
void one_way(Scenario& s) {
  s.join();
  const int n = s.cluster.size();
  for (int b = 0; b < n; ++b) s.world.cut.insert({3, b});
  s.play_for(60 * kSecond);
  int wrong = 0;
  for (int a = 0; a < n; ++a) {
    for (int b = 0; b < n; ++b) {
      if (a != 3 && b != 3 && a != b) wrong += s.cluster.state_held(a, b) == MemberState::dead;
    }
  }
  std::printf(
      "b3 is heard by none for a minute: held for dead by %d, others held for dead by those heard: %d\n",
      s.deaths_of[3], wrong);
  std::printf("b3 doubts itself: its local health is %s\n",
              s.cluster.broker(3).member->local_health_score() > 0 ? "bad" : "good");
  s.world.cut.clear();
  std::printf("it is heard again: they %s within 20 s\n", s.agreement(20 * kSecond));
}

// One that is paused again and again for most of a suspicion must not make others look dead (Lifeguard's
// case).
void paused(Scenario& s) {
  s.join();
  for (int k = 0; k < 20; ++k) {
    s.cluster.pause(4);
    s.play_for(1500 * kMillisecond);
    s.cluster.resume(4);
    s.play_for(500 * kMillisecond);
  }
  std::printf("b4 stands still for 1.5 s of every 2, twenty times: sound brokers held for dead %d times\n",
              s.deaths - s.deaths_of[4]);
  std::printf("it runs on: they %s within 20 s\n", s.agreement(20 * kSecond));
}

void leaves(Scenario& s) {
  s.join();
  s.cluster.broker(5).member->leave();
  s.cluster.drain(5);
  s.cluster.kill(5);
  std::printf("b5 leaves in good order; the others %s within 3 s; held for dead %d\n",
              s.agreement(3 * kSecond), s.deaths);
}

void made_up(Scenario& s) {
  s.join();
  membership::Message message;
  message.kind = membership::Message::Kind::payload;
  for (int i = 0; i < 10000; ++i) {
    message.updates.push_back({"made-up-" + std::to_string(i), "at:1", 0, MemberState::alive, ""});
  }
  // What b0 would pass on isn't sent: only its table is looked at.
  auto& member = *s.cluster.broker(0).member;
  member.receive(s.world.now(), "b1", message);
  std::printf("10,000 made-up names: %zu held, %llu not taken up\n", member.members().size(),
              static_cast<unsigned long long>(member.counters().members_not_admitted));
}

// Seven in ten die at once and come back.
void most_die(Scenario& s) {
  s.join();
  const int killed = s.cluster.size() * 7 / 10;
  for (int i = 0; i < killed; ++i) s.cluster.kill(i);
  std::printf("%d of %d are killed at once, the stated ones among them; the others %s within 120 s\n", killed,
              s.cluster.size(), s.agreement(120 * kSecond));
  for (int i = 0; i < killed; ++i) s.cluster.start(i);
  std::printf("they start anew: all %s within 20 s\n", s.agreement(20 * kSecond));
}

// One random fault, or the end of one.
void disturb(Scenario& s) {
  Chance& random = s.world.chance;
  const int a = static_cast<int>(random.below(s.cluster.brokers.size()));
  const int b = static_cast<int>(random.below(s.cluster.brokers.size()));
  const bool is_running = s.cluster.broker(a).is_running;
  const bool is_paused = s.cluster.broker(a).is_paused;
  switch (random.below(6)) {
    case 0:
      s.world.cut.insert({a, b});
      break;
    case 1:
      s.world.cut.clear();
      break;
    case 2:
      if (is_running && !is_paused) s.cluster.kill(a);
      break;
    case 3:
      if (!is_running) s.cluster.start(a);
      break;
    case 4:
      if (is_running && !is_paused) s.cluster.pause(a);
      break;
    default:
      if (is_paused) s.cluster.resume(a);
  }
}

void end_all_faults(Scenario& s) {
  s.world.cut.clear();
  s.world.loss = 0;
  for (int i = 0; i < s.cluster.size(); ++i) {
    if (s.cluster.broker(i).is_paused) s.cluster.resume(i);
    if (!s.cluster.broker(i).is_running) s.cluster.start(i);
  }
}

// Random losses, cuts, deaths and returns; once all is well again all must agree.
int random_runs(int runs) {
  for (int seed = 1; seed <= runs; ++seed) {
    Scenario s(static_cast<std::uint64_t>(seed), 4 + seed % 9);
    s.world.loss = 0.1 * (seed % 4);
    s.world.doubled = 0.05 * (seed % 3);
    s.cluster.start_all();
    for (int step = 0; step < 12; ++step) {
      disturb(s);
      s.play_for(static_cast<Time>(s.world.chance.unit() * 8 * kSecond));
    }
    end_all_faults(s);
    if (!s.agrees_within(90 * kSecond)) {
      std::printf("seed %d: the brokers do not agree 90 s after all is well\n", seed);
      return 1;
    }
  }
  std::printf("%d seeds: all agree once all is well\n", runs);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "random") return random_runs(argc > 2 ? std::atoi(argv[2]) : 1000);
  const std::map<std::string, void (*)(Scenario&)> scenarios{
      {"calm", calm},     {"death", death},   {"halves", halves},   {"one_way", one_way},
      {"paused", paused}, {"leaves", leaves}, {"made_up", made_up}, {"most_die", most_die}};
  const auto it = scenarios.find(name);
  if (it == scenarios.end()) {
    std::printf("no such scenario\n");
    return 1;
  }
  Scenario s(7, name == "most_die" ? 30 : 12);
  it->second(s);
}
