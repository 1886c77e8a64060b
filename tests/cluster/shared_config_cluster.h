// A simulated cluster of brokers that share a configuration. Each broker has its own clock, and an auditor
// checks the safety properties after every event.
#pragma once
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/seeded.h"
#include "shared_config.pb.h"
#include "shared_config/shared_config_node.h"

namespace cairnhub::cluster {

// A store in memory. Its content outlives the simulated process.
class InMemoryStore : public shared_config::DurableStore {
 public:
  explicit InMemoryStore(std::uint64_t id) { state_.voter_id = id; }
  const shared_config::PersistedState& loaded_state() const override { return state_; }
  bool set_term(std::uint64_t term) override {
    if (fails) return false;
    state_.term = term;
    state_.vote = 0;
    return true;
  }
  bool set_vote(std::uint64_t id) override {
    if (fails) return false;
    state_.vote = id;
    return true;
  }
  bool append(std::uint64_t first, const std::vector<shared_config::LogEntry>& entries) override {
    if (fails) return false;
    if (state_.entries.empty()) state_.first_index = first;
    state_.entries.resize(first - state_.first_index);
    state_.entries.insert(state_.entries.end(), entries.begin(), entries.end());
    return true;
  }
  bool truncate(std::uint64_t from) override {
    if (fails) return false;
    state_.entries.resize(from - state_.first_index);
    return true;
  }
  bool save_snapshot(const shared_config::Snapshot& s, std::uint64_t keep_from) override {
    if (fails) return false;
    state_.snapshot = s;
    const std::uint64_t end = state_.first_index + state_.entries.size();
    if (keep_from >= end) {
      state_.entries.clear();
      state_.first_index = keep_from;
    } else if (keep_from > state_.first_index) {
      state_.entries.erase(
          state_.entries.begin(),
          state_.entries.begin() + static_cast<std::ptrdiff_t>(keep_from - state_.first_index));
      state_.first_index = keep_from;
    }
    return true;
  }
  std::optional<shared_config::Snapshot> snapshot() const override { return state_.snapshot; }
  bool fails = false;  // makes every write fail

 private:
  shared_config::PersistedState state_;
};

inline std::string broker(int i) { return "b" + std::to_string(i); }

struct SharedConfigCluster {
  struct Node {
    std::unique_ptr<InMemoryStore> store;
    std::unique_ptr<shared_config::SharedConfigNode> config_node;
    bool is_running = false;
    bool is_paused = false;
    int incarnation = 0;
    int stores_created = 0;
    double clock_rate = 1;
    Time clock_offset = 0;
    Time wake_at = kNever;
    std::vector<std::function<void()>> held_calls;  // while paused
  };
  Seeded& world;
  shared_config::SharedConfigSettings terms;
  std::vector<Node> nodes;
  int voters;

  // Set by the auditor:
  // While the lease intervals of two brokers have no version in common:
  Time contradicted_since = kNever;
  Time longest_contradiction = 0;
  std::map<std::uint64_t, std::string> contents;  // by version number, as first applied by any broker
  std::map<std::uint64_t, std::string> accepted;  // proposal ids by version, as reported to proposers
  int content_mismatches = 0;
  int ground_beyond = 0;
  std::uint64_t highest_active = 0;  // highest lower bound of any lease interval
  Time activated_at = 0;             // when `highest_active` last rose

  SharedConfigCluster(Seeded& w, int n, int v, const shared_config::SharedConfigSettings& t, double drift = 0)
      : world(w), terms(t), nodes(static_cast<std::size_t>(n)), voters(v) {
    for (int i = 0; i < v; ++i) terms.voters.push_back(broker(i));
    std::vector<shared_config::RaftMember> first;
    for (int i = 0; i < v; ++i)
      first.push_back({shared_config::initial_voter_id(broker(i)), broker(i), true});
    for (int i = 0; i < n; ++i) {
      Node& o = nodes[static_cast<std::size_t>(i)];
      o.clock_rate = 1 + drift * (2 * world.chance.unit() - 1);
      o.clock_offset = static_cast<Time>(world.chance.below(1000)) * kSecond;
      if (i < v) {
        o.store = std::make_unique<InMemoryStore>(shared_config::initial_voter_id(broker(i)));
        shared_config::RaftNode::bootstrap(*o.store, first);
      }
    }
  }
  Time local_time(const Node& o) const {
    return o.clock_offset + static_cast<Time>(static_cast<double>(world.now()) * o.clock_rate);
  }
  Time world_time(const Node& o, Time t) const {
    return static_cast<Time>(static_cast<double>(t - o.clock_offset) / o.clock_rate) + 1;
  }
  void start(int i) {
    Node& o = nodes[static_cast<std::size_t>(i)];
    terms.incarnation = static_cast<std::uint32_t>(o.incarnation + 1);
    o.config_node = std::make_unique<shared_config::SharedConfigNode>(
        terms, broker(i), o.store.get(), shared_config::RuleSet{}, world.chance.below(1u << 30));
    o.config_node->on_applied = [this, i](const shared_config::ConfigEntry&,
                                          const shared_config::ApplyResult&) { check_applied_versions(i); };
    o.is_running = true;
    ++o.incarnation;
    o.wake_at = kNever;
    for (int j = 0; j < static_cast<int>(nodes.size()); ++j) {
      if (j != i)
        o.config_node->update_peer(local_time(o), broker(j), nodes[static_cast<std::size_t>(j)].is_running);
      if (j != i && nodes[static_cast<std::size_t>(j)].is_running)
        nodes[static_cast<std::size_t>(j)].config_node->update_peer(
            local_time(nodes[static_cast<std::size_t>(j)]), broker(i), true);
    }
    o.config_node->start(local_time(o));
    drain(i);
  }
  void start_all() {
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i) start(i);
  }
  void kill(int i) {
    Node& o = nodes[static_cast<std::size_t>(i)];
    o.is_running = false;
    ++o.incarnation;
    o.held_calls.clear();
    o.is_paused = false;
    o.config_node.reset();
    for (Node& other : nodes)
      if (other.is_running) other.config_node->update_peer(local_time(other), broker(i), false);
  }
  // Simulates the loss of the folder: the new store has another identity and an empty log.
  void replace_store(int i) {
    Node& o = nodes[static_cast<std::size_t>(i)];
    o.store = std::make_unique<InMemoryStore>(1000u + static_cast<unsigned>(i) * 100u +
                                              static_cast<unsigned>(++o.stores_created));
  }
  void pause(int i) { nodes[static_cast<std::size_t>(i)].is_paused = true; }
  void resume(int i) {
    Node& o = nodes[static_cast<std::size_t>(i)];
    o.is_paused = false;
    for (auto& what : std::exchange(o.held_calls, {})) what();
  }
  // Calls `what` on a running broker, or after `resume` if it is paused. Does nothing if it has restarted.
  void run_on(int i, int incarnation,
              const std::function<void(shared_config::SharedConfigNode&, Time)>& what) {
    Node& o = nodes[static_cast<std::size_t>(i)];
    if (!o.is_running || o.incarnation != incarnation) return;
    if (o.is_paused) {
      o.held_calls.push_back([this, i, incarnation, what] { run_on(i, incarnation, what); });
      return;
    }
    what(*o.config_node, local_time(o));
    drain(i);
  }
  void drain(int i) {
    Node& o = nodes[static_cast<std::size_t>(i)];
    if (!o.is_running) return;
    while (auto m = o.config_node->take_message()) {
      const int to = std::stoi(m->to.substr(1));
      const std::size_t size = m->bytes.size() + 90;  // with the overhead of sealing
      world.carry(i, to, size, [this, i, to, bytes = std::move(m->bytes)] {
        run_on(to, nodes[static_cast<std::size_t>(to)].incarnation,
               [i, bytes](shared_config::SharedConfigNode& a, Time now) {
                 accord::wire::Packet p;
                 if (p.ParseFromString(bytes)) a.handle_message(now, broker(i), p);
               });
      });
    }
    const Time wake = o.config_node->next_wake();
    if (wake != kNever) {
      const Time at = std::max(world_time(o, wake), world.now());
      if (at < o.wake_at) {
        o.wake_at = at;
        world.at(at, [this, i, at, incarnation = o.incarnation] {
          Node& me = nodes[static_cast<std::size_t>(i)];
          if (me.incarnation != incarnation || me.wake_at != at) return;
          me.wake_at = kNever;
          run_on(i, incarnation, [](shared_config::SharedConfigNode& a, Time now) { a.handle_wake(now); });
        });
      }
    }
    audit();
  }
  void check_applied_versions(int i) {
    const auto* raft_node = nodes[static_cast<std::size_t>(i)].config_node
                                ? nodes[static_cast<std::size_t>(i)].config_node->raft_node()
                                : nullptr;
    if (!raft_node) return;
    for (const auto& [n, v] : raft_node->versions().versions()) {
      const auto [it, fresh] = contents.try_emplace(n, v.hash + v.id);
      if (!fresh && it->second != v.hash + v.id) ++content_mismatches;
    }
  }
  // Checks that the lease intervals of all running brokers have a version in common.
  void audit() {
    std::uint64_t low = 0;
    std::uint64_t high = UINT64_MAX;
    for (const Node& o : nodes) {
      if (!o.is_running) continue;
      const auto& a = *o.config_node->active_config(local_time(o));
      if (a.low == 0) continue;
      low = std::max(low, a.low);
      high = std::min(high, a.high);
    }
    if (low > highest_active) {
      highest_active = low;
      activated_at = world.now();
    }
    const bool is_contradicted = low > high;
    if (is_contradicted && contradicted_since == kNever) contradicted_since = world.now();
    if (contradicted_since != kNever)
      longest_contradiction = std::max(longest_contradiction, world.now() - contradicted_since);
    if (!is_contradicted) contradicted_since = kNever;
  }
  // Checks that the baseline of every broker without a lease lies within every version that another broker
  // acts on. Slow, since it compares rule by rule.
  bool baselines_hold() const {
    for (const Node& a : nodes) {
      if (!a.is_running) continue;
      const auto& mine = *a.config_node->active_config(local_time(a));
      if (mine.low != 0 || !a.config_node->has_leader_answered())
        continue;  // it serves no clients before the first answer
      for (const Node& b : nodes) {
        if (!b.is_running) continue;
        const auto& theirs = *b.config_node->active_config(local_time(b));
        if (theirs.low != 0 && theirs.low == theirs.high &&
            !shared_config::is_within(*mine.rules, *theirs.rules))
          return false;
      }
    }
    return true;
  }
  int leader() const {
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
      const Node& o = nodes[static_cast<std::size_t>(i)];
      if (o.is_running && !o.is_paused && o.config_node->raft_node() &&
          o.config_node->raft_node()->is_leader())
        return i;
    }
    return -1;
  }
  // True if all running brokers hold leases on one and the same version, which is at least `least`.
  bool is_settled(std::uint64_t least = 1) const {
    std::uint64_t n = 0;
    for (const Node& o : nodes) {
      if (!o.is_running) continue;
      const auto& a = *o.config_node->active_config(local_time(o));
      if (a.low == 0 || a.low != a.high || a.low < least || (n && a.low != n)) return false;
      n = a.low;
    }
    return n != 0;
  }
  void propose(int by, const std::string& rules, bool ground, std::uint64_t base, const std::string& id,
               std::function<void(const std::optional<shared_config::ApplyResult>&)> done = {}) {
    shared_config::ConfigEntry e;
    e.kind = ground ? shared_config::ConfigEntry::Kind::kProposeBaseline
                    : shared_config::ConfigEntry::Kind::kProposeVersion;
    e.id = id;
    e.text = rules;
    e.who = "operator";
    e.why = "test";
    e.base = base;
    run_on(by, nodes[static_cast<std::size_t>(by)].incarnation,
           [&](shared_config::SharedConfigNode& a, Time now) {
             a.propose(now, e, [this, done, ground, id](const std::optional<shared_config::ApplyResult>& v) {
               if (v && v->number && !ground) accepted[v->number] = id;
               if (done) done(v);
             });
           });
  }
};

}  // namespace cairnhub::cluster
