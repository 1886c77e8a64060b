// Many brokers' SwimMembership in one seeded world.
#pragma once
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/seeded.h"
#include "membership/message_codec.h"
#include "membership/swim_membership.h"

namespace cairnhub::cluster {

inline std::string broker_name(int i) { return "b" + std::to_string(i); }
inline std::string broker_address(int i) { return "at:" + std::to_string(i); }
inline int number_of(const std::string& name) { return std::stoi(name.substr(1)); }

// Starts, kills and pauses brokers and carries their messages through the world. The first three are
// configured at every broker.
class MembershipCluster {
 public:
  struct Broker {
    std::unique_ptr<membership::SwimMembership> member;  // of the present or last run
    bool is_running = false;
    bool is_paused = false;
    int run_number = 0;  // raised by each start and kill: events of an earlier run are dropped
    Time timer_at = kNever;
    std::vector<std::function<void()>> deferred_events;  // that came while paused
  };
  using Action = std::function<void(membership::SwimMembership&)>;

  MembershipCluster(Seeded& w, int broker_count, const membership::MembershipOptions& membership_options)
      : world(w), options(membership_options), brokers(static_cast<std::size_t>(broker_count)) {}

  Seeded& world;
  membership::MembershipOptions options;
  std::vector<Broker> brokers;
  bool measure_bytes = false;
  // A change that broker `at` saw; a payload that reached it.
  std::function<void(int at, const membership::StateChange&)> on_state_change;
  std::function<void(int at, const std::string& payload)> on_payload;

  int size() const { return static_cast<int>(brokers.size()); }
  Broker& broker(int i) { return brokers[static_cast<std::size_t>(i)]; }
  const Broker& broker(int i) const { return brokers[static_cast<std::size_t>(i)]; }

  void start(int i) {
    Broker& started = broker(i);
    started.member = std::make_unique<membership::SwimMembership>(options, broker_name(i), broker_address(i),
                                                                  world.chance.below(1u << 30));
    for (int s = 0; s < std::min(3, size()); ++s) {
      started.member->add_configured_member(broker_name(s), broker_address(s));
    }
    started.is_running = true;
    ++started.run_number;
    started.timer_at = kNever;
    started.member->start(world.now());
    drain(i);
  }
  void start_all() {
    for (int i = 0; i < size(); ++i) start(i);
  }
  void kill(int i) {
    broker(i).is_running = false;
    ++broker(i).run_number;
  }
  void pause(int i) { broker(i).is_paused = true; }
  void resume(int i) {
    broker(i).is_paused = false;
    for (auto& event : std::exchange(broker(i).deferred_events, {})) event();
  }

  // Does something at a broker unless its run is over; deferred while it is paused.
  void act(int i, int run_number, const Action& action) {
    Broker& acting = broker(i);
    if (!acting.is_running || acting.run_number != run_number) return;
    if (acting.is_paused) {
      acting.deferred_events.push_back([this, i, run_number, action] { act(i, run_number, action); });
      return;
    }
    action(*acting.member);
    drain(i);
  }
  void act(int i, const Action& action) { act(i, broker(i).run_number, action); }

  // Sends what a broker has to send, reports its changes and sets its timer.
  void drain(int i) {
    Broker& source = broker(i);
    while (auto outgoing = source.member->take_outgoing()) {
      const std::size_t bytes = measure_bytes ? membership::encode(outgoing->message).size() + kSealBytes : 0;
      const int to = number_of(outgoing->to);
      world.carry(i, to, bytes,
                  [this, i, to, message = std::move(outgoing->message)] { deliver(i, to, message); });
    }
    while (auto change = source.member->take_state_change()) {
      if (on_state_change) on_state_change(i, *change);
    }
    set_timer(i);
  }

  membership::MemberState state_held(int by, int of) const {
    const auto* member = broker(by).member->members().find(broker_name(of));
    return member ? member->update.state : membership::MemberState::dead;
  }
  // @return whether all that run hold as many for live as run.
  bool agrees() const {
    const auto running =
        std::count_if(brokers.begin(), brokers.end(), [](const Broker& b) { return b.is_running; });
    return std::all_of(brokers.begin(), brokers.end(), [running](const Broker& b) {
      return !b.is_running || b.member->live_member_count() + 1 == static_cast<std::size_t>(running);
    });
  }

 private:
  static constexpr std::size_t kSealBytes = 90;

  void deliver(int from, int to, const membership::Message& message) {
    const Broker& recipient = broker(to);
    const bool is_read_at_once = recipient.is_running && !recipient.is_paused;
    if (message.kind == membership::Message::Kind::payload && is_read_at_once && on_payload) {
      on_payload(to, message.payload);
    }
    act(to, [this, from, message](membership::SwimMembership& member) {
      member.receive(world.now(), broker_name(from), message);
    });
  }
  void set_timer(int i) {
    const Time timer_at = broker(i).member->next_timer();
    if (timer_at == kNever || timer_at >= broker(i).timer_at) return;
    broker(i).timer_at = timer_at;
    world.at(timer_at, [this, i, timer_at, run_number = broker(i).run_number] {
      if (broker(i).run_number != run_number || broker(i).timer_at != timer_at) return;
      broker(i).timer_at = kNever;
      act(i, run_number, [this](membership::SwimMembership& member) { member.handle_timers(world.now()); });
    });
  }
};

}  // namespace cairnhub::cluster
