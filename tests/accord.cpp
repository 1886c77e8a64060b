// Stories and random runs of agreement among brokers in a seeded world: versions, leases, common ground.
#include <cstdio>
#include <cstdlib>
#include <map>

#include "cluster/shared_config_cluster.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

namespace {

constexpr Time kMs = kSecond / 1000;

shared_config::SharedConfigSettings terms_of(Time stated) {
  shared_config::SharedConfigSettings t;
  t.lease.max_divergence = stated;
  t.voter_replacement_delay = 5 * kSecond;
  return t;
}

struct Story {
  Seeded world;
  Accords fleet;
  int proposed = 0;
  Story(std::uint64_t seed, int n = 9, int voters = 3, Time stated = 2 * kSecond, double drift = 0.01)
      : world(seed), fleet(world, n, voters, terms_of(stated), drift) {}
  void begin() {
    fleet.start_all();
    const bool good = settles();
    std::printf("%zu brokers, %d voters: %s\n", fleet.all.size(), fleet.voters,
                good ? "all hold leases on version 1" : "NOT all hold leases");
    ground("op_type { name: \"lookup\" held_most: 10 }");
    world.play(world.now() +
               2 * kSecond);  // a new leader forces nothing while leases of an earlier one may run
  }
  bool settles(std::uint64_t least = 1, Time within = 30 * kSecond) {
    return world.play(world.now() + within, [&] { return fleet.settled(least); });
  }
  std::string verdict;
  std::uint64_t number = 0;
  // Proposes and waits for the verdict.
  void propose(int by, const std::string& rules, bool is_ground, std::uint64_t base,
               const std::string& id = "") {
    bool done = false;
    fleet.propose(by, rules, is_ground, base, id.empty() ? "p" + std::to_string(++proposed) : id,
                  [&](const std::optional<shared_config::ApplyResult>& v) {
                    done = true;
                    number = v ? v->number : 0;
                    verdict = !v          ? "nothing heard"
                              : v->number ? "taken as " + std::to_string(v->number)
                                          : "refused: " + v->rejection;
                  });
    if (!done && !world.play(world.now() + 20 * kSecond, [&] { return done; })) verdict = "NO verdict";
  }
  void ground(const std::string& rules) {
    propose(4 % static_cast<int>(fleet.all.size()), rules, true, base_ground, "");
    const bool good = world.play(world.now() + 20 * kSecond, [&] {
      for (const auto& o : fleet.all)
        if (o.runs &&
            (o.accord->lease_client().baseline().number < number || o.accord->lease_client().next_baseline()))
          return false;
      return true;
    });
    base_ground = number;
    std::printf("ground %s, kept by all: %s\n", verdict.c_str(), good ? "yes" : "NO");
  }
  std::uint64_t base_ground = 1;
  void audit() {
    std::printf("longest contradiction %lld ms, contents unequal %d, grounds within what others act on: %s\n",
                static_cast<long long>(fleet.longest / kMs), fleet.unequal,
                fleet.grounds_hold() ? "yes" : "NO");
  }
};

std::string limit(int n) { return "op_type { name: \"lookup\" held_most: " + std::to_string(n) + " }"; }

void versions(Story& s) {
  s.begin();
  s.propose(5, limit(50), false, 1);
  std::printf("a version that narrows, from b5: %s; ", s.verdict.c_str());
  Time at = s.world.now();
  std::printf("in force at all %s\n",
              s.settles(2) && s.world.now() - at < 200 * kMs ? "within 0.2 s" : "LATE");
  s.propose(6, limit(80), false, 2);
  at = s.world.now();
  std::printf("one that widens, from b6: %s; in force at all %s\n", s.verdict.c_str(),
              s.settles(3) && s.world.now() - at < 200 * kMs ? "within 0.2 s" : "LATE");
  s.propose(6, limit(80), false, 2);
  std::printf("on an older base: %s\n", s.verdict.c_str());
  s.propose(6, limit(5), false, 3);
  std::printf("below the ground: %s\n", s.verdict.c_str());
  s.propose(6, "op_type { name: \"lookup\" held_mots: 5 }", false, 3);
  std::printf("misspelt: %s\n", s.verdict.c_str());
  s.propose(7, limit(60), false, 3, "same");
  s.propose(8, limit(60), false, 3, "same");
  std::printf("the same proposal twice: %s\n", s.verdict.c_str());
  s.propose(8, limit(99), true, s.base_ground);
  std::printf("a ground wider than the version in force: %s\n", s.verdict.c_str());
  s.audit();
}

// A third can't be reached: a version that contradicts what they may act on waits for their leases, no
// longer.
void third_away(Story& s) {
  s.begin();
  for (int a = 6; a < 9; ++a)
    for (int b = 0; b < 6; ++b) s.world.cut_both(a, b);
  const Time cut = s.world.now();
  s.propose(0, limit(50), false, 1);
  std::printf("b6 to b8 are cut off; a version that narrows: %s\n", s.verdict.c_str());
  const bool forced = s.world.play(s.world.now() + 10 * kSecond, [&] { return s.fleet.top_force >= 2; });
  const Time after = s.world.now() - cut;
  std::printf("in force %s, once their leases had lapsed: %s\n",
              forced && after < 2 * kSecond ? "within the stated 2 s" : "TOO LATE",
              after >= s.fleet.terms.lease.client_duration() * 2 / 3 ? "yes" : "NO, too soon");
  int on_ground = 0, serving = 0;
  for (int i = 6; i < 9; ++i) {
    auto& o = s.fleet.all[static_cast<std::size_t>(i)];
    const auto& acting = *o.accord->active_config(s.fleet.local(o));
    on_ground += acting.low == 0 && acting.rules->rule_for("lookup").max_in_progress == 10;
    serving += acting.rules->rule_for("lookup").is_served;
  }
  std::printf("of the three cut off, on the common ground %d, serving %d\n", on_ground, serving);
  s.propose(1, limit(70), false, 2);
  s.world.cut.clear();
  std::printf("widened again while they are away: %s; back, all settle on 3: %s\n", s.verdict.c_str(),
              s.settles(3) ? "yes" : "NO");
  s.audit();
}

void leader_one_way(Story& s) {
  s.begin();
  const int l = s.fleet.leader();
  for (int b = 0; b < 9; ++b) s.world.cut.insert({l, b});
  s.propose((l + 1) % 3, limit(50), false, 1);
  std::printf("what the leader sends is lost, what it is sent comes; a version: %s\n", s.verdict.c_str());
  s.world.play(s.world.now() + 5 * kSecond);
  std::printf("another leads: %s; the old one acts on the ground: %s\n",
              s.fleet.leader() != l && s.fleet.leader() >= 0 ? "yes" : "NO", [&] {
                auto& o = s.fleet.all[static_cast<std::size_t>(l)];
                return o.accord->active_config(s.fleet.local(o))->low == 0 ? "yes" : "NO";
              }());
  s.world.cut.clear();
  std::printf("healed, all settle: %s\n", s.settles(2) ? "yes" : "NO");
  s.audit();
}

void no_majority(Story& s) {
  s.begin();
  s.fleet.kill(0), s.fleet.kill(1);
  s.world.play(s.world.now() + 5 * kSecond);
  int ground = 0;
  for (auto& o : s.fleet.all)
    if (o.runs) ground += o.accord->active_config(s.fleet.local(o))->low == 0;
  std::printf("two of three voters die: %d of 7 act on the ground and serve\n", ground);
  s.propose(5, limit(50), false, 1);
  std::printf("a version: %s\n", s.verdict.c_str());
  s.fleet.start(0), s.fleet.start(1);
  std::printf("they are back: all settle: %s\n", s.settles() ? "yes" : "NO");
  s.audit();
}

// The proposer's voter dies at every moment after the proposal; what it heard of is never lost.
void proposer_dies(Story& s) {
  s.begin();
  int heard = 0, in_book = 0, lost = 0;
  for (int k = 0; k < 40; ++k) {
    const int l = s.fleet.leader();
    if (l < 0) break;
    const std::uint64_t base =
        s.fleet.all[static_cast<std::size_t>(l)].accord->raft_node()->versions().newest();
    bool told = false;
    s.fleet.propose(l, limit(20 + k), false, base, "k" + std::to_string(k),
                    [&](const std::optional<shared_config::ApplyResult>& v) { told = v && v->number; });
    s.world.play(s.world.now() + k * 100'000);  // 0 to 4 ms
    s.fleet.kill(l);
    heard += told;
    s.world.play(s.world.now() + 5 * kSecond, [&] { return s.fleet.leader() >= 0; });
    const int next = s.fleet.leader();
    bool in = false;
    for (const auto& [n, v] :
         s.fleet.all[static_cast<std::size_t>(next)].accord->raft_node()->versions().versions())
      in = in || v.id == "k" + std::to_string(k);
    in_book += in, lost += told && !in;
    s.fleet.start(l);
    s.settles();
  }
  std::printf(
      "the leader dies 0 to 4 ms after it was proposed to, 40 times: lost though told %d; some heard %s, "
      "some unheard came in %s\n",
      lost, heard > 0 ? "yes" : "NO", in_book > heard ? "yes" : "NO");
  s.audit();
}

void hundred(Story& s) {
  s.begin();
  const Time began = s.world.now();
  int taken = 0;
  for (int k = 0; k < 100; ++k) {
    const int by = k % 9;
    s.fleet.propose(by, limit(20 + k), false, static_cast<std::uint64_t>(k) + 1, "h" + std::to_string(k),
                    [&](const std::optional<shared_config::ApplyResult>& v) { taken += v && v->number; });
    s.world.play(began + (k + 1) * 10 * kMs);
  }
  std::printf("100 versions in a second: taken %d; all settle on 101: %s\n", taken,
              s.settles(101) ? "yes" : "NO");
  s.audit();
}

void voter_lost(Story& s) {
  for (int i = 3; i < 6; ++i) s.fleet.new_store(i);  // they may vote, though they do not yet
  s.begin();
  s.fleet.kill(1);
  const bool replaced = s.world.play(s.world.now() + 30 * kSecond, [&] {
    const int l = s.fleet.leader();
    if (l < 0) return false;
    const auto votes = s.fleet.all[static_cast<std::size_t>(l)].accord->raft_node()->voting();
    return votes.size() == 3 && !votes.count("b1") &&
           s.fleet.all[static_cast<std::size_t>(l)].accord->raft_node()->voters().size() == 3;
  });
  std::printf("b1, a voter, dies: replaced after its time: %s\n", replaced ? "yes" : "NO");
  s.propose(7, limit(50), false, 1);
  std::printf("a version: %s\n", s.verdict.c_str());
  const int l = s.fleet.leader();
  s.fleet.kill(l);
  s.propose(8, limit(60), false, 2);
  std::printf("the leader dies too; a version: %s\n", s.verdict.c_str());
  s.audit();
}

// A voter whose folder is lost comes under another identity: it does not vote again in a term it voted in.
void folder_lost(Story& s) {
  s.begin();
  const int l = s.fleet.leader(), other = (l + 1) % 3;
  s.fleet.kill(other);
  s.fleet.new_store(other);
  s.fleet.start(other);
  s.world.play(s.world.now() + 50 * kMs);
  std::printf("a voter's folder is lost; it comes back and votes at once: %s\n",
              s.fleet.all[static_cast<std::size_t>(other)].accord->status(0).is_voter ? "YES" : "no");
  const bool again = s.world.play(s.world.now() + 60 * kSecond, [&] {
    return s.fleet.all[static_cast<std::size_t>(other)].accord->status(0).is_voter;
  });
  std::printf("taken in as another: %s\n", again ? "yes" : "NO");
  s.propose(5, limit(50), false, 1);
  std::printf("a version: %s, all settle: %s\n", s.verdict.c_str(), s.settles(2) ? "yes" : "NO");
  s.audit();
}

void all_voters_down(Story& s) {
  s.begin();
  s.propose(5, limit(50), false, 1);
  s.settles(2);
  for (int i = 0; i < 3; ++i) s.fleet.kill(i);
  s.world.play(s.world.now() + 10 * kSecond);
  for (int i = 0; i < 3; ++i) s.fleet.start(i);
  std::printf("all voters down for 10 s and up again: all settle on 2: %s\n", s.settles(2) ? "yes" : "NO");
  s.audit();
}

// The test of the test: a clock twice as fast as the bound allows, and the auditor must see the breach.
// A voter whose log is longer than the new leader's, by what an earlier one never got committed: it answers
// for what it was shown to share, and no further.
void longer_log(Story&) {
  KeptStore store(shared_config::first_voter_id("b0"));
  std::vector<shared_config::Voter> three;
  for (int i = 0; i < 3; ++i) three.push_back({shared_config::first_voter_id(broker(i)), broker(i), true});
  shared_config::Engine::bootstrap(store, three);
  shared_config::ConfigEntry e;
  e.id = "never", e.text = limit(5);
  store.set_term(2);
  store.append(2, std::vector<shared_config::LogEntry>(20, {2, 1, shared_config::encode(e)}));
  shared_config::Engine engine({}, "b0", store, 1, {});
  engine.start(kSecond);
  const auto answer = [&](std::uint64_t after, std::uint64_t term_there, int entries) {
    accord::wire::Raft m;
    m.set_type(1), m.set_from(shared_config::first_voter_id("b1")),
        m.set_to(shared_config::first_voter_id("b0"));
    m.set_term(3), m.set_a(after), m.set_b(term_there), m.set_c(1);
    for (int k = 0; k < entries; ++k) {
      auto* one = m.add_entry();
      one->set_term(3), one->set_type(1), one->set_data(shared_config::encode(e));
    }
    engine.received(kSecond, "b1", m);
    std::string said = "nothing";
    while (auto out = engine.send()) {
      accord::wire::Packet p;
      if (!p.ParseFromString(out->bytes) || p.raft().type() != 2) continue;
      said = (p.raft().a() ? "no, it ends at " : "up to ") + std::to_string(p.raft().b());
    }
    return said;
  };
  std::printf("its log ends at 21; the leader's, of a later term, shares the first entry\n");
  std::printf("told of nothing after 1: %s\n", answer(1, 1, 0).c_str());
  std::printf("told of two after 1: %s\n", answer(1, 1, 2).c_str());
  std::printf("told of nothing after 3: %s\n", answer(3, 3, 0).c_str());
  std::printf("told of nothing after 9: %s\n", answer(9, 3, 0).c_str());
}

// A broker starts anew while what its earlier life asked is still on its way, and while it was granted.
void two_lives(Story&) {
  shared_config::LeaseSettings terms;
  shared_config::LeaseManager leader(terms);
  shared_config::VersionHistory book;
  for (auto kind : {shared_config::ConfigEntry::Kind::kEnrollBroker,
                    shared_config::ConfigEntry::Kind::kProposeBaseline}) {
    shared_config::ConfigEntry e;
    e.kind = kind, e.name = "x", e.id = "g", e.base = 1, e.text = limit(5);
    book.apply(e);
  }
  const std::set<std::string> voters{"v"};
  leader.start_term(kSecond, 1, voters, "v");
  const auto grants = [&](Time now, const shared_config::LeaseRequest& ask) {
    leader.handle_request(now, "x", ask);
    if (const auto r = leader.start_round(now)) leader.handle_confirmation(now, "v", 1, *r, book);
    return leader.take_grants();
  };
  shared_config::LeaseClient first(terms, {}, 7);
  const shared_config::LeaseRequest asked = first.make_request(kSecond);
  shared_config::LeaseRequest keeps = first.make_request(kSecond);
  const auto early = grants(kSecond, asked);
  keeps.baseline = book.next_baseline()->number;  // the first life has come to keep to it
  shared_config::LeaseClient second(terms, {}, 9);
  const shared_config::LeaseRequest anew = second.make_request(2 * kSecond);
  std::printf("what its earlier life was granted is an answer to it: %s\n",
              second.handle_grant(2 * kSecond, early.front().grant) ? "YES" : "no");
  grants(2 * kSecond, keeps);
  std::printf("its earlier life kept to the ground: forced %s\n",
              leader.may_activate_baseline(book) ? "yes" : "no");
  grants(2 * kSecond, anew);
  std::printf("it has asked, and keeps to none: forced %s\n",
              leader.may_activate_baseline(book) ? "YES" : "no");
  grants(2 * kSecond, keeps);
  std::printf("what its earlier life said comes once more: forced %s\n",
              leader.may_activate_baseline(book) ? "YES" : "no");
  std::printf("what it asked itself is answered: %s\n", [&] {
    for (const auto& g : grants(2 * kSecond, second.make_request(2 * kSecond)))
      if (second.handle_grant(2 * kSecond, g.grant)) return "yes";
    return "NO";
  }());
}

void drift_breach(Story& s) {
  s.begin();
  for (int round = 0; round < 20; ++round) {
    // The leader's clock runs too fast and b8's too slow, and b8 is cut off right after it renewed.
    const int l = s.fleet.leader();
    if (l < 0) break;
    for (int b = 0; b < 8; ++b) s.world.cut_both(8, b);
    const std::uint64_t base =
        s.fleet.all[static_cast<std::size_t>(l)].accord->raft_node()->versions().newest();
    s.propose(l, limit(20 + round), false, base);
    s.world.play(s.world.now() + 3 * kSecond);
    s.world.cut.clear();
    s.settles();
  }
  std::printf("clocks drift by more than the bound: the auditor sees a contradiction: %s\n",
              s.fleet.longest > 0 ? "yes" : "NO");
}

int random_runs(int runs, int from) {
  Time longest = 0;
  std::uint64_t versions = 0;
  for (int seed = from; seed < from + runs; ++seed) {
    const int voters = seed % 4 == 0 ? 5 : 3, n = voters + seed % 6;
    const Time stated = seed % 3 == 0 ? kSecond / 2 : seed % 3 == 1 ? 2 * kSecond : 10 * kSecond;
    Story s(static_cast<std::uint64_t>(seed), n, voters, stated);
    Accords& f = s.fleet;
    s.world.loss = 0.05 * (seed % 4), s.world.doubled = 0.05 * (seed % 3);
    f.start_all();
    auto& c = s.world.chance;
    s.world.play(s.world.now() + 3 * kSecond);
    f.propose(n - 1, limit(10), true, 1, "g");
    s.world.play(s.world.now() + 3 * kSecond);
    int proposals = 0;
    const auto newest = [&] {
      std::uint64_t top = 1;
      for (const auto& o : f.all)
        if (o.runs && o.accord->raft_node()) top = std::max(top, o.accord->raft_node()->versions().newest());
      return top;
    };
    const auto complain = [&](const char* what) {
      std::printf("seed %d: %s\n", seed, what);
      return 1;
    };
    for (int step = 0; step < 30; ++step) {
      const int a = static_cast<int>(c.below(static_cast<std::size_t>(n)));
      const int b = static_cast<int>(c.below(static_cast<std::size_t>(n)));
      auto& one = f.all[static_cast<std::size_t>(a)];
      switch (c.below(9)) {
        case 0:
          s.world.cut.insert({a, b});
          break;
        case 1:
          if (a != b) s.world.cut_both(a, b);
          break;
        case 2:
          s.world.cut.clear();
          break;
        case 3:
          if (one.runs && !one.paused) f.kill(a);
          break;
        case 4:
        case 5:
          if (!one.runs) f.start(a);
          break;
        case 6:
          if (one.runs && !one.paused) f.pause(a);
          break;
        case 7:
          if (one.paused) f.resume(a);
          break;
        default:
          break;
      }
      if (one.runs && !one.paused && c.below(2) == 0)
        f.propose(a, limit(11 + static_cast<int>(c.below(90))), false, newest(),
                  "r" + std::to_string(++proposals));
      s.world.play(s.world.now() + static_cast<Time>(c.unit() * 1.5 * static_cast<double>(stated)));
      if (!f.grounds_hold())
        return complain("a broker without a lease acts on what a version in force forbids");
    }
    s.world.cut.clear();
    s.world.loss = 0;
    for (int i = 0; i < n; ++i) {
      auto& one = f.all[static_cast<std::size_t>(i)];
      if (one.paused) f.resume(i);
      if (!one.runs) f.start(i);
    }
    if (!s.settles(1, 60 * kSecond + 10 * stated)) return complain("not all settle once all is well");
    if (f.longest > 0) return complain("two brokers act on contradicting versions");
    if (f.unequal) return complain("one number, two contents");
    // Leases outlive a leader that has just stepped down.
    if (!s.world.play(s.world.now() + 10 * stated, [&] { return f.leader() >= 0; }))
      return complain("nobody leads once all is well");
    const int l = f.leader();
    const auto& book = f.all[static_cast<std::size_t>(l)].accord->raft_node()->versions();
    for (const auto& [number, id] : f.told) {
      const auto* v = book.find(number);
      if (number + shared_config::VersionHistory::kMaxOldVersions > book.in_force() && (!v || v->id != id))
        return complain("a version that its proposer was told of is lost");
    }
    std::map<std::string, int> ids;
    for (const auto& [number, v] : book.versions())
      if (!v.id.empty() && ++ids[v.id] > 1) return complain("one proposal became two versions");
    longest = std::max(longest, f.longest), versions += book.newest();
  }
  std::printf(
      "%d seeds: longest contradiction %lld ms, none lost, none doubled, all settle; versions made: %s\n",
      runs, static_cast<long long>(longest / kMs),
      versions > static_cast<std::uint64_t>(runs) * 3 ? "many" : "FEW");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string story = argc > 1 ? argv[1] : "";
  if (story == "random")
    return random_runs(argc > 2 ? std::atoi(argv[2]) : 300, argc > 3 ? std::atoi(argv[3]) : 1);
  const std::map<std::string, void (*)(Story&)> stories{
      {"versions", versions},         {"third_away", third_away},       {"leader_one_way", leader_one_way},
      {"no_majority", no_majority},   {"proposer_dies", proposer_dies}, {"hundred", hundred},
      {"voter_lost", voter_lost},     {"folder_lost", folder_lost},     {"all_voters_down", all_voters_down},
      {"drift_breach", drift_breach}, {"longer_log", longer_log},       {"two_lives", two_lives}};
  const auto it = stories.find(story);
  if (it == stories.end()) return std::printf("no such story\n"), 1;
  if (story == "drift_breach") {
    Story s(7, 9, 3, 2 * kSecond, 0);
    for (int i = 0; i < 9; ++i) s.fleet.all[static_cast<std::size_t>(i)].rate = i < 8 ? 1.4 : 0.7;
    it->second(s);
  } else {
    Story s(7);
    it->second(s);
  }
}
