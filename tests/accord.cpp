// Scenarios and random runs of a simulated cluster that shares its configuration: versions, leases and the
// baseline.
#include <cstdio>
#include <cstdlib>
#include <map>

#include "cluster/shared_config_cluster.h"

using namespace cairnhub;
using namespace cairnhub::cluster;

namespace {

constexpr Time kMs = kSecond / 1000;
constexpr std::uint32_t kAppendEntries = 1;  // libraft's message types
constexpr std::uint32_t kAppendEntriesResult = 2;
constexpr std::uint32_t kCommand = 1;  // libraft's entry type for proposals

shared_config::SharedConfigSettings terms_of(Time stated) {
  shared_config::SharedConfigSettings t;
  t.lease.max_divergence = stated;
  t.voter_replacement_delay = 5 * kSecond;
  return t;
}

struct Scenario {
  Seeded world;
  SharedConfigCluster fleet;
  int proposed = 0;
  Scenario(std::uint64_t seed, int n = 9, int voters = 3, Time stated = 2 * kSecond, double drift = 0.01)
      : world(seed), fleet(world, n, voters, terms_of(stated), drift) {}
  void begin() {
    fleet.start_all();
    const bool good = wait_until_settled();
    std::printf("%zu brokers, %d voters: %s\n", fleet.nodes.size(), fleet.voters,
                good ? "all hold leases on version 1" : "NOT all hold leases");
    ground("op_type { name: \"lookup\" held_most: 10 }");
    // A new leader activates nothing while leases granted by an earlier leader may still be valid.
    world.play(world.now() + 2 * kSecond);
  }
  bool wait_until_settled(std::uint64_t least = 1, Time within = 30 * kSecond) {
    return world.play(world.now() + within, [&] { return fleet.is_settled(least); });
  }
  std::string verdict;
  std::uint64_t number = 0;
  // Proposes and waits for the result.
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
    propose(4 % static_cast<int>(fleet.nodes.size()), rules, true, base_ground, "");
    const bool good = world.play(world.now() + 20 * kSecond, [&] {
      for (const auto& o : fleet.nodes)
        if (o.is_running && (o.config_node->lease_client().baseline().number < number ||
                             o.config_node->lease_client().next_baseline()))
          return false;
      return true;
    });
    base_ground = number;
    std::printf("ground %s, kept by all: %s\n", verdict.c_str(), good ? "yes" : "NO");
  }
  std::uint64_t base_ground = 1;
  void print_audit() {
    std::printf("longest contradiction %lld ms, contents unequal %d, grounds within what others act on: %s\n",
                static_cast<long long>(fleet.longest_contradiction / kMs), fleet.content_mismatches,
                fleet.baselines_hold() ? "yes" : "NO");
  }
};

std::string limit(int n) { return "op_type { name: \"lookup\" held_most: " + std::to_string(n) + " }"; }

void versions(Scenario& scenario) {
  scenario.begin();
  scenario.propose(5, limit(50), false, 1);
  std::printf("a version that narrows, from b5: %s; ", scenario.verdict.c_str());
  Time at = scenario.world.now();
  std::printf("in force at all %s\n", scenario.wait_until_settled(2) && scenario.world.now() - at < 200 * kMs
                                          ? "within 0.2 s"
                                          : "LATE");
  scenario.propose(6, limit(80), false, 2);
  at = scenario.world.now();
  std::printf(
      "one that widens, from b6: %s; in force at all %s\n", scenario.verdict.c_str(),
      scenario.wait_until_settled(3) && scenario.world.now() - at < 200 * kMs ? "within 0.2 s" : "LATE");
  scenario.propose(6, limit(80), false, 2);
  std::printf("on an older base: %s\n", scenario.verdict.c_str());
  scenario.propose(6, limit(5), false, 3);
  std::printf("below the ground: %s\n", scenario.verdict.c_str());
  scenario.propose(6, "op_type { name: \"lookup\" held_mots: 5 }", false, 3);
  std::printf("misspelt: %s\n", scenario.verdict.c_str());
  scenario.propose(7, limit(60), false, 3, "same");
  scenario.propose(8, limit(60), false, 3, "same");
  std::printf("the same proposal twice: %s\n", scenario.verdict.c_str());
  scenario.propose(8, limit(99), true, scenario.base_ground);
  std::printf("a ground wider than the version in force: %s\n", scenario.verdict.c_str());
  scenario.print_audit();
}

// A third of the brokers is unreachable: a version that contradicts their leases is activated as soon as
// these leases have expired.
void third_away(Scenario& scenario) {
  scenario.begin();
  for (int a = 6; a < 9; ++a)
    for (int b = 0; b < 6; ++b) scenario.world.cut_both(a, b);
  const Time cut = scenario.world.now();
  scenario.propose(0, limit(50), false, 1);
  std::printf("b6 to b8 are cut off; a version that narrows: %s\n", scenario.verdict.c_str());
  const bool forced = scenario.world.play(scenario.world.now() + 10 * kSecond,
                                          [&] { return scenario.fleet.highest_active >= 2; });
  const Time after = scenario.world.now() - cut;
  std::printf("in force %s, once their leases had lapsed: %s\n",
              forced && after < 2 * kSecond ? "within the stated 2 s" : "TOO LATE",
              after >= scenario.fleet.terms.lease.client_duration() * 2 / 3 ? "yes" : "NO, too soon");
  int on_ground = 0;
  int serving = 0;
  for (int i = 6; i < 9; ++i) {
    auto& o = scenario.fleet.nodes[static_cast<std::size_t>(i)];
    const auto& acting = *o.config_node->active_config(scenario.fleet.local_time(o));
    on_ground += acting.low == 0 && acting.rules->rule_for("lookup").max_in_progress == 10;
    serving += acting.rules->rule_for("lookup").is_served;
  }
  std::printf("of the three cut off, on the common ground %d, serving %d\n", on_ground, serving);
  scenario.propose(1, limit(70), false, 2);
  scenario.world.cut.clear();
  std::printf("widened again while they are away: %s; back, all settle on 3: %s\n", scenario.verdict.c_str(),
              scenario.wait_until_settled(3) ? "yes" : "NO");
  scenario.print_audit();
}

void leader_one_way(Scenario& scenario) {
  scenario.begin();
  const int leader = scenario.fleet.leader();
  for (int b = 0; b < 9; ++b) scenario.world.cut.insert({leader, b});
  scenario.propose((leader + 1) % 3, limit(50), false, 1);
  std::printf("what the leader sends is lost, what it is sent comes; a version: %s\n",
              scenario.verdict.c_str());
  scenario.world.play(scenario.world.now() + 5 * kSecond);
  std::printf("another leads: %s; the old one acts on the ground: %s\n",
              scenario.fleet.leader() != leader && scenario.fleet.leader() >= 0 ? "yes" : "NO", [&] {
                auto& o = scenario.fleet.nodes[static_cast<std::size_t>(leader)];
                return o.config_node->active_config(scenario.fleet.local_time(o))->low == 0 ? "yes" : "NO";
              }());
  scenario.world.cut.clear();
  std::printf("healed, all settle: %s\n", scenario.wait_until_settled(2) ? "yes" : "NO");
  scenario.print_audit();
}

void no_majority(Scenario& scenario) {
  scenario.begin();
  scenario.fleet.kill(0);
  scenario.fleet.kill(1);
  scenario.world.play(scenario.world.now() + 5 * kSecond);
  int ground = 0;
  for (auto& o : scenario.fleet.nodes)
    if (o.is_running) ground += o.config_node->active_config(scenario.fleet.local_time(o))->low == 0;
  std::printf("two of three voters die: %d of 7 act on the ground and serve\n", ground);
  scenario.propose(5, limit(50), false, 1);
  std::printf("a version: %s\n", scenario.verdict.c_str());
  scenario.fleet.start(0);
  scenario.fleet.start(1);
  std::printf("they are back: all settle: %s\n", scenario.wait_until_settled() ? "yes" : "NO");
  scenario.print_audit();
}

// The leader is killed at varying moments after a proposal. A version whose acceptance was reported to the
// proposer must not be lost.
void proposer_dies(Scenario& scenario) {
  scenario.begin();
  int reported = 0;
  int accepted = 0;
  int lost = 0;
  for (int k = 0; k < 40; ++k) {
    const int leader = scenario.fleet.leader();
    if (leader < 0) break;
    const std::uint64_t base =
        scenario.fleet.nodes[static_cast<std::size_t>(leader)].config_node->raft_node()->versions().newest();
    bool told = false;
    scenario.fleet.propose(
        leader, limit(20 + k), false, base, "k" + std::to_string(k),
        [&](const std::optional<shared_config::ApplyResult>& v) { told = v && v->number; });
    scenario.world.play(scenario.world.now() + k * 100'000);  // 0 to 4 ms
    scenario.fleet.kill(leader);
    reported += told;
    scenario.world.play(scenario.world.now() + 5 * kSecond, [&] { return scenario.fleet.leader() >= 0; });
    const int next = scenario.fleet.leader();
    bool in = false;
    for (const auto& [n, v] :
         scenario.fleet.nodes[static_cast<std::size_t>(next)].config_node->raft_node()->versions().versions())
      in = in || v.id == "k" + std::to_string(k);
    accepted += in;
    lost += told && !in;
    scenario.fleet.start(leader);
    scenario.wait_until_settled();
  }
  std::printf(
      "the leader dies 0 to 4 ms after it was proposed to, 40 times: lost though told %d; some heard %s, "
      "some unheard came in %s\n",
      lost, reported > 0 ? "yes" : "NO", accepted > reported ? "yes" : "NO");
  scenario.print_audit();
}

void hundred(Scenario& scenario) {
  scenario.begin();
  const Time began = scenario.world.now();
  int taken = 0;
  for (int k = 0; k < 100; ++k) {
    const int by = k % 9;
    scenario.fleet.propose(
        by, limit(20 + k), false, static_cast<std::uint64_t>(k) + 1, "h" + std::to_string(k),
        [&](const std::optional<shared_config::ApplyResult>& v) { taken += v && v->number; });
    scenario.world.play(began + (k + 1) * 10 * kMs);
  }
  std::printf("100 versions in a second: taken %d; all settle on 101: %s\n", taken,
              scenario.wait_until_settled(101) ? "yes" : "NO");
  scenario.print_audit();
}

void voter_lost(Scenario& scenario) {
  for (int i = 3; i < 6; ++i) scenario.fleet.replace_store(i);  // they have a store, but are not voters yet
  scenario.begin();
  scenario.fleet.kill(1);
  const bool replaced = scenario.world.play(scenario.world.now() + 30 * kSecond, [&] {
    const int leader = scenario.fleet.leader();
    if (leader < 0) return false;
    const auto votes =
        scenario.fleet.nodes[static_cast<std::size_t>(leader)].config_node->raft_node()->voter_names();
    return votes.size() == 3 && !votes.count("b1") &&
           scenario.fleet.nodes[static_cast<std::size_t>(leader)]
                   .config_node->raft_node()
                   ->members()
                   .size() == 3;
  });
  std::printf("b1, a voter, dies: replaced after its time: %s\n", replaced ? "yes" : "NO");
  scenario.propose(7, limit(50), false, 1);
  std::printf("a version: %s\n", scenario.verdict.c_str());
  const int leader = scenario.fleet.leader();
  scenario.fleet.kill(leader);
  scenario.propose(8, limit(60), false, 2);
  std::printf("the leader dies too; a version: %s\n", scenario.verdict.c_str());
  scenario.print_audit();
}

// A voter that lost its folder rejoins with another identity, so that it cannot vote twice in a term.
void folder_lost(Scenario& scenario) {
  scenario.begin();
  const int leader = scenario.fleet.leader();
  const int other = (leader + 1) % 3;
  scenario.fleet.kill(other);
  scenario.fleet.replace_store(other);
  scenario.fleet.start(other);
  scenario.world.play(scenario.world.now() + 50 * kMs);
  std::printf(
      "a voter's folder is lost; it comes back and votes at once: %s\n",
      scenario.fleet.nodes[static_cast<std::size_t>(other)].config_node->status(0).is_voter ? "YES" : "no");
  const bool again = scenario.world.play(scenario.world.now() + 60 * kSecond, [&] {
    return scenario.fleet.nodes[static_cast<std::size_t>(other)].config_node->status(0).is_voter;
  });
  std::printf("taken in as another: %s\n", again ? "yes" : "NO");
  scenario.propose(5, limit(50), false, 1);
  std::printf("a version: %s, all settle: %s\n", scenario.verdict.c_str(),
              scenario.wait_until_settled(2) ? "yes" : "NO");
  scenario.print_audit();
}

void all_voters_down(Scenario& scenario) {
  scenario.begin();
  scenario.propose(5, limit(50), false, 1);
  scenario.wait_until_settled(2);
  for (int i = 0; i < 3; ++i) scenario.fleet.kill(i);
  scenario.world.play(scenario.world.now() + 10 * kSecond);
  for (int i = 0; i < 3; ++i) scenario.fleet.start(i);
  std::printf("all voters down for 10 s and up again: all settle on 2: %s\n",
              scenario.wait_until_settled(2) ? "yes" : "NO");
  scenario.print_audit();
}

// A voter's log is longer than the new leader's, by entries of an earlier leader that were never committed.
// It must acknowledge only the entries that the leader's message proves equal; acknowledging the end of its
// own log would let the leader commit entries that no other voter holds.
void longer_log(Scenario&) {
  InMemoryStore store(shared_config::initial_voter_id("b0"));
  std::vector<shared_config::RaftMember> three;
  for (int i = 0; i < 3; ++i) three.push_back({shared_config::initial_voter_id(broker(i)), broker(i), true});
  shared_config::RaftNode::bootstrap(store, three);
  shared_config::ConfigEntry e;
  e.id = "never";
  e.text = limit(5);
  store.set_term(2);
  store.append(2, std::vector<shared_config::LogEntry>(20, {2, 1, shared_config::encode(e)}));
  shared_config::RaftNode node({}, "b0", store, 1, {});
  node.start(kSecond);
  const auto answer = [&](std::uint64_t after, std::uint64_t term_there, int entries) {
    accord::wire::Raft m;
    m.set_type(kAppendEntries);
    m.set_from(shared_config::initial_voter_id("b1"));
    m.set_to(shared_config::initial_voter_id("b0"));
    m.set_term(3);
    m.set_a(after);
    m.set_b(term_there);
    m.set_c(1);
    for (int k = 0; k < entries; ++k) {
      auto* one = m.add_entry();
      one->set_term(3);
      one->set_type(kCommand);
      one->set_data(shared_config::encode(e));
    }
    node.handle_message(kSecond, "b1", m);
    std::string said = "nothing";
    while (auto out = node.take_message()) {
      accord::wire::Packet p;
      if (!p.ParseFromString(out->bytes) || p.raft().type() != kAppendEntriesResult) continue;
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

// A broker restarts while a lease request of its earlier process, or the grant for one, is still in transit.
void two_lives(Scenario&) {
  shared_config::LeaseSettings terms;
  shared_config::LeaseManager leader(terms);
  shared_config::VersionHistory versions;
  for (auto kind : {shared_config::ConfigEntry::Kind::kEnrollBroker,
                    shared_config::ConfigEntry::Kind::kProposeBaseline}) {
    shared_config::ConfigEntry e;
    e.kind = kind;
    e.name = "x";
    e.id = "g";
    e.base = 1;
    e.text = limit(5);
    versions.apply(e);
  }
  const std::set<std::string> voters{"v"};
  leader.start_term(kSecond, 1, voters, "v");
  const auto grants = [&](Time now, const shared_config::LeaseRequest& ask) {
    leader.handle_request(now, "x", ask);
    if (const auto r = leader.start_round(now)) leader.handle_confirmation(now, "v", 1, *r, versions);
    return leader.take_grants();
  };
  shared_config::LeaseClient first(terms, {}, 7);
  const shared_config::LeaseRequest asked = first.make_request(kSecond);
  shared_config::LeaseRequest keeps = first.make_request(kSecond);
  const auto early = grants(kSecond, asked);
  keeps.baseline = versions.next_baseline()->number;  // the first process has adopted it
  shared_config::LeaseClient second(terms, {}, 9);
  const shared_config::LeaseRequest anew = second.make_request(2 * kSecond);
  std::printf("what its earlier life was granted is an answer to it: %s\n",
              second.handle_grant(2 * kSecond, early.front().grant) ? "YES" : "no");
  grants(2 * kSecond, keeps);
  std::printf("its earlier life kept to the ground: forced %s\n",
              leader.may_activate_baseline(versions) ? "yes" : "no");
  grants(2 * kSecond, anew);
  std::printf("it has asked, and keeps to none: forced %s\n",
              leader.may_activate_baseline(versions) ? "YES" : "no");
  grants(2 * kSecond, keeps);
  std::printf("what its earlier life said comes once more: forced %s\n",
              leader.may_activate_baseline(versions) ? "YES" : "no");
  std::printf("what it asked itself is answered: %s\n", [&] {
    for (const auto& g : grants(2 * kSecond, second.make_request(2 * kSecond)))
      if (second.handle_grant(2 * kSecond, g.grant)) return "yes";
    return "NO";
  }());
}

// Checks the auditor itself: with clocks that drift far beyond the bound it must see a contradiction.
void drift_breach(Scenario& scenario) {
  scenario.begin();
  for (int round = 0; round < 20; ++round) {
    // The leader's clock runs too fast and that of b8 too slow; b8 is cut off just after it renewed its
    // lease.
    const int leader = scenario.fleet.leader();
    if (leader < 0) break;
    for (int b = 0; b < 8; ++b) scenario.world.cut_both(8, b);
    const std::uint64_t base =
        scenario.fleet.nodes[static_cast<std::size_t>(leader)].config_node->raft_node()->versions().newest();
    scenario.propose(leader, limit(20 + round), false, base);
    scenario.world.play(scenario.world.now() + 3 * kSecond);
    scenario.world.cut.clear();
    scenario.wait_until_settled();
  }
  std::printf("clocks drift by more than the bound: the auditor sees a contradiction: %s\n",
              scenario.fleet.longest_contradiction > 0 ? "yes" : "NO");
}

int random_runs(int runs, int from) {
  Time longest = 0;
  std::uint64_t versions_made = 0;
  for (int seed = from; seed < from + runs; ++seed) {
    const int voters = seed % 4 == 0 ? 5 : 3;
    const int n = voters + seed % 6;
    const Time stated = seed % 3 == 0 ? kSecond / 2 : seed % 3 == 1 ? 2 * kSecond : 10 * kSecond;
    Scenario scenario(static_cast<std::uint64_t>(seed), n, voters, stated);
    SharedConfigCluster& f = scenario.fleet;
    scenario.world.loss = 0.05 * (seed % 4);
    scenario.world.doubled = 0.05 * (seed % 3);
    f.start_all();
    auto& c = scenario.world.chance;
    scenario.world.play(scenario.world.now() + 3 * kSecond);
    f.propose(n - 1, limit(10), true, 1, "g");
    scenario.world.play(scenario.world.now() + 3 * kSecond);
    int proposals = 0;
    const auto newest = [&] {
      std::uint64_t top = 1;
      for (const auto& o : f.nodes)
        if (o.is_running && o.config_node->raft_node())
          top = std::max(top, o.config_node->raft_node()->versions().newest());
      return top;
    };
    const auto complain = [&](const char* what) {
      std::printf("seed %d: %s\n", seed, what);
      return 1;
    };
    for (int step = 0; step < 30; ++step) {
      const int a = static_cast<int>(c.below(static_cast<std::size_t>(n)));
      const int b = static_cast<int>(c.below(static_cast<std::size_t>(n)));
      auto& one = f.nodes[static_cast<std::size_t>(a)];
      switch (c.below(9)) {
        case 0:
          scenario.world.cut.insert({a, b});
          break;
        case 1:
          if (a != b) scenario.world.cut_both(a, b);
          break;
        case 2:
          scenario.world.cut.clear();
          break;
        case 3:
          if (one.is_running && !one.is_paused) f.kill(a);
          break;
        case 4:
        case 5:
          if (!one.is_running) f.start(a);
          break;
        case 6:
          if (one.is_running && !one.is_paused) f.pause(a);
          break;
        case 7:
          if (one.is_paused) f.resume(a);
          break;
        default:
          break;
      }
      if (one.is_running && !one.is_paused && c.below(2) == 0)
        f.propose(a, limit(11 + static_cast<int>(c.below(90))), false, newest(),
                  "r" + std::to_string(++proposals));
      scenario.world.play(scenario.world.now() +
                          static_cast<Time>(c.unit() * 1.5 * static_cast<double>(stated)));
      if (!f.baselines_hold())
        return complain("a broker without a lease acts on what a version in force forbids");
    }
    scenario.world.cut.clear();
    scenario.world.loss = 0;
    for (int i = 0; i < n; ++i) {
      auto& one = f.nodes[static_cast<std::size_t>(i)];
      if (one.is_paused) f.resume(i);
      if (!one.is_running) f.start(i);
    }
    if (!scenario.wait_until_settled(1, 60 * kSecond + 10 * stated))
      return complain("not all settle once all is well");
    if (f.longest_contradiction > 0) return complain("two brokers act on contradicting versions");
    if (f.content_mismatches) return complain("one number, two contents");
    // Leases may outlive a leader that has just stepped down, so there may be no leader yet.
    if (!scenario.world.play(scenario.world.now() + 10 * stated, [&] { return f.leader() >= 0; }))
      return complain("nobody leads once all is well");
    const int leader = f.leader();
    const auto& versions = f.nodes[static_cast<std::size_t>(leader)].config_node->raft_node()->versions();
    for (const auto& [number, id] : f.accepted) {
      const auto* v = versions.find(number);
      if (number + shared_config::VersionHistory::kMaxOldVersions > versions.in_force() &&
          (!v || v->id != id))
        return complain("a version that its proposer was told of is lost");
    }
    std::map<std::string, int> ids;
    for (const auto& [number, v] : versions.versions())
      if (!v.id.empty() && ++ids[v.id] > 1) return complain("one proposal became two versions");
    longest = std::max(longest, f.longest_contradiction);
    versions_made += versions.newest();
  }
  std::printf(
      "%d seeds: longest contradiction %lld ms, none lost, none doubled, all settle; versions made: %s\n",
      runs, static_cast<long long>(longest / kMs),
      versions_made > static_cast<std::uint64_t>(runs) * 3 ? "many" : "FEW");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "random")
    return random_runs(argc > 2 ? std::atoi(argv[2]) : 300, argc > 3 ? std::atoi(argv[3]) : 1);
  const std::map<std::string, void (*)(Scenario&)> scenarios{
      {"versions", versions},         {"third_away", third_away},       {"leader_one_way", leader_one_way},
      {"no_majority", no_majority},   {"proposer_dies", proposer_dies}, {"hundred", hundred},
      {"voter_lost", voter_lost},     {"folder_lost", folder_lost},     {"all_voters_down", all_voters_down},
      {"drift_breach", drift_breach}, {"longer_log", longer_log},       {"two_lives", two_lives}};
  const auto it = scenarios.find(name);
  if (it == scenarios.end()) {
    std::printf("no such story\n");
    return 1;
  }
  if (name == "drift_breach") {
    Scenario scenario(7, 9, 3, 2 * kSecond, 0);
    for (int i = 0; i < 9; ++i)
      scenario.fleet.nodes[static_cast<std::size_t>(i)].clock_rate = i < 8 ? 1.4 : 0.7;
    it->second(scenario);
  } else {
    Scenario scenario(7);
    it->second(scenario);
  }
}
