// Many brokers' Accord in one seeded world, each on its own clock, with an auditor that looks after every
// event.
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

// What a voter wrote stays, whatever becomes of its process.
class KeptStore : public shared_config::Store {
 public:
  explicit KeptStore(std::uint64_t id) { now_.voter_id = id; }
  const shared_config::Stored& loaded() const override { return now_; }
  bool set_term(std::uint64_t term) override {
    if (fails) return false;
    now_.term = term, now_.vote = 0;
    return true;
  }
  bool set_vote(std::uint64_t id) override {
    if (fails) return false;
    now_.vote = id;
    return true;
  }
  bool append(std::uint64_t first, const std::vector<shared_config::LogEntry>& entries) override {
    if (fails) return false;
    if (now_.entries.empty()) now_.first = first;
    now_.entries.resize(first - now_.first);
    now_.entries.insert(now_.entries.end(), entries.begin(), entries.end());
    return true;
  }
  bool truncate(std::uint64_t from) override {
    if (fails) return false;
    now_.entries.resize(from - now_.first);
    return true;
  }
  bool put(const shared_config::Snapshot& s, std::uint64_t keep_from) override {
    if (fails) return false;
    now_.snapshot = s;
    const std::uint64_t end = now_.first + now_.entries.size();
    if (keep_from >= end) {
      now_.entries.clear();
      now_.first = keep_from;
    } else if (keep_from > now_.first) {
      now_.entries.erase(now_.entries.begin(),
                         now_.entries.begin() + static_cast<std::ptrdiff_t>(keep_from - now_.first));
      now_.first = keep_from;
    }
    return true;
  }
  std::optional<shared_config::Snapshot> snapshot() const override { return now_.snapshot; }
  bool fails = false;

 private:
  shared_config::Stored now_;
};

inline std::string broker(int i) { return "b" + std::to_string(i); }

struct Accords {
  struct One {
    std::unique_ptr<KeptStore> store;
    std::unique_ptr<shared_config::SharedConfigNode> accord;
    bool runs = false, paused = false;
    int life = 0, stores = 0;
    double rate = 1;  // of its clock
    Time offset = 0, woken_at = kNever;
    std::vector<std::function<void()>> held;
  };
  Seeded& world;
  shared_config::SharedConfigSettings terms;
  std::vector<One> all;
  int voters;

  // The auditor's.
  Time contradicted_since = kNever, longest = 0;  // intervals that do not meet
  std::map<std::uint64_t, std::string> hashes;    // of versions, as any broker has applied them
  std::map<std::uint64_t, std::string> told;      // accepted, as proposers heard
  int unequal = 0, ground_beyond = 0;
  std::uint64_t top_force = 0;
  Time forced_at = 0;  // when the newest of any broker's `low` rose last

  Accords(Seeded& w, int n, int v, const shared_config::SharedConfigSettings& t, double drift = 0)
      : world(w), terms(t), all(static_cast<std::size_t>(n)), voters(v) {
    for (int i = 0; i < v; ++i) terms.voters.push_back(broker(i));
    std::vector<shared_config::Voter> first;
    for (int i = 0; i < v; ++i) first.push_back({shared_config::first_voter_id(broker(i)), broker(i), true});
    for (int i = 0; i < n; ++i) {
      One& o = all[static_cast<std::size_t>(i)];
      o.rate = 1 + drift * (2 * world.chance.unit() - 1);
      o.offset = static_cast<Time>(world.chance.below(1000)) * kSecond;
      if (i < v) {
        o.store = std::make_unique<KeptStore>(shared_config::first_voter_id(broker(i)));
        shared_config::Engine::bootstrap(*o.store, first);
      }
    }
  }
  Time local(const One& o) const {
    return o.offset + static_cast<Time>(static_cast<double>(world.now()) * o.rate);
  }
  Time world_time(const One& o, Time t) const {
    return static_cast<Time>(static_cast<double>(t - o.offset) / o.rate) + 1;
  }
  void start(int i) {
    One& o = all[static_cast<std::size_t>(i)];
    terms.incarnation = static_cast<std::uint32_t>(o.life + 1);
    o.accord = std::make_unique<shared_config::SharedConfigNode>(
        terms, broker(i), o.store.get(), shared_config::RuleSet{}, world.chance.below(1u << 30));
    o.accord->on_applied = [this, i](const shared_config::ConfigEntry&, const shared_config::ApplyResult&) {
      applied(i);
    };
    o.runs = true, ++o.life, o.woken_at = kNever;
    for (int j = 0; j < static_cast<int>(all.size()); ++j) {
      if (j != i) o.accord->update_peer(local(o), broker(j), all[static_cast<std::size_t>(j)].runs);
      if (j != i && all[static_cast<std::size_t>(j)].runs)
        all[static_cast<std::size_t>(j)].accord->update_peer(local(all[static_cast<std::size_t>(j)]),
                                                             broker(i), true);
    }
    o.accord->start(local(o));
    turn(i);
  }
  void start_all() {
    for (int i = 0; i < static_cast<int>(all.size()); ++i) start(i);
  }
  void kill(int i) {
    One& o = all[static_cast<std::size_t>(i)];
    o.runs = false, ++o.life;
    o.held.clear(), o.paused = false;
    o.accord.reset();
    for (One& other : all)
      if (other.runs) other.accord->update_peer(local(other), broker(i), false);
  }
  void new_store(int i) {  // its folder is gone: a store of another identity, without a log
    One& o = all[static_cast<std::size_t>(i)];
    o.store = std::make_unique<KeptStore>(1000u + static_cast<unsigned>(i) * 100u +
                                          static_cast<unsigned>(++o.stores));
  }
  void pause(int i) { all[static_cast<std::size_t>(i)].paused = true; }
  void resume(int i) {
    One& o = all[static_cast<std::size_t>(i)];
    o.paused = false;
    for (auto& what : std::exchange(o.held, {})) what();
  }
  void within(int i, int life, const std::function<void(shared_config::SharedConfigNode&, Time)>& what) {
    One& o = all[static_cast<std::size_t>(i)];
    if (!o.runs || o.life != life) return;
    if (o.paused) {
      o.held.push_back([this, i, life, what] { within(i, life, what); });
      return;
    }
    what(*o.accord, local(o));
    turn(i);
  }
  void turn(int i) {
    One& o = all[static_cast<std::size_t>(i)];
    if (!o.runs) return;
    while (auto m = o.accord->take_message()) {
      const int to = std::stoi(m->to.substr(1));
      const std::size_t size = m->bytes.size() + 90;  // sealed
      world.carry(i, to, size, [this, i, to, bytes = std::move(m->bytes)] {
        within(to, all[static_cast<std::size_t>(to)].life,
               [i, bytes](shared_config::SharedConfigNode& a, Time now) {
                 accord::wire::Packet p;
                 if (p.ParseFromString(bytes)) a.handle_message(now, broker(i), p);
               });
      });
    }
    const Time wake = o.accord->next_wake();
    if (wake != kNever) {
      const Time at = std::max(world_time(o, wake), world.now());
      if (at < o.woken_at) {
        o.woken_at = at;
        world.at(at, [this, i, at, life = o.life] {
          One& me = all[static_cast<std::size_t>(i)];
          if (me.life != life || me.woken_at != at) return;
          me.woken_at = kNever;
          within(i, life, [](shared_config::SharedConfigNode& a, Time now) { a.handle_wake(now); });
        });
      }
    }
    look();
  }
  void applied(int i) {
    const auto* engine = all[static_cast<std::size_t>(i)].accord
                             ? all[static_cast<std::size_t>(i)].accord->raft_node()
                             : nullptr;
    if (!engine) return;
    for (const auto& [n, v] : engine->versions().versions()) {
      const auto [it, fresh] = hashes.try_emplace(n, v.hash + v.id);
      if (!fresh && it->second != v.hash + v.id) ++unequal;
    }
  }
  // The auditor: at this moment, do the intervals of all that hold leases meet, and is the ground of all that
  // hold none within what they act on?
  void look() {
    std::uint64_t low = 0, high = UINT64_MAX;
    for (const One& o : all) {
      if (!o.runs) continue;
      const auto& a = *o.accord->active_config(local(o));
      if (a.low == 0) continue;
      low = std::max(low, a.low), high = std::min(high, a.high);
    }
    if (low > top_force) top_force = low, forced_at = world.now();
    const bool bad = low > high;
    if (bad && contradicted_since == kNever) contradicted_since = world.now();
    if (contradicted_since != kNever) longest = std::max(longest, world.now() - contradicted_since);
    if (!bad) contradicted_since = kNever;
  }
  // Slow: rule by rule.
  bool grounds_hold() const {
    for (const One& a : all) {
      if (!a.runs) continue;
      const auto& mine = *a.accord->active_config(local(a));
      if (mine.low != 0 || !a.accord->has_leader_answered())
        continue;  // it opens its door once it was answered
      for (const One& b : all) {
        if (!b.runs) continue;
        const auto& theirs = *b.accord->active_config(local(b));
        if (theirs.low != 0 && theirs.low == theirs.high &&
            !shared_config::is_within(*mine.rules, *theirs.rules))
          return false;
      }
    }
    return true;
  }
  int leader() const {
    for (int i = 0; i < static_cast<int>(all.size()); ++i) {
      const One& o = all[static_cast<std::size_t>(i)];
      if (o.runs && !o.paused && o.accord->raft_node() && o.accord->raft_node()->leads()) return i;
    }
    return -1;
  }
  // All that run hold a lease on one version and nothing else.
  bool settled(std::uint64_t least = 1) const {
    std::uint64_t n = 0;
    for (const One& o : all) {
      if (!o.runs) continue;
      const auto& a = *o.accord->active_config(local(o));
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
    e.id = id, e.text = rules, e.who = "operator", e.why = "test", e.base = base;
    within(by, all[static_cast<std::size_t>(by)].life, [&](shared_config::SharedConfigNode& a, Time now) {
      a.propose(now, e, [this, done, ground, id](const std::optional<shared_config::ApplyResult>& v) {
        if (v && v->number && !ground) told[v->number] = id;
        if (done) done(v);
      });
    });
  }
};

}  // namespace cairnhub::cluster
