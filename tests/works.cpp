// Every order of events of a small model of one work: brokers that renew leases, send parts to a node and see
// them end, or stand still; a leader that conducts a work on that node, and may be followed by another that
// knows the log alone. Messages come late, in any order, or never. The classes of the program themselves are
// driven. In every state in which the machine is handed over nothing is out at it, and nobody would send it
// anything.
//
// `works break N` takes defence N out and must find a state where that doesn't hold.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "explore.h"
#include "maintenance/maintenance_controller.h"
#include "shared_config/leases.h"

using namespace cairnhub;
using namespace cairnhub::shared_config;

namespace {

constexpr std::size_t kBrokersMost = 2;
constexpr std::size_t kOnTheirWay = 1;  // messages; each may be lost
constexpr Time kLongest = 2;            // that a part is out
const std::string kNames[kBrokersMost] = {"x", "y"};
const std::set<std::string> kVoters{"v1"};
std::size_t brokers = 1;
int askings = 4, sends = 1, leaders = 0;
Time end_at = 5;
int broken = 0;

LeaseSettings lease_terms() {
  LeaseSettings t;
  t.max_divergence = 4, t.max_clock_drift = 0;  // a span of 2 steps
  return t;
}
maintenance::ConductTerms conduct_terms() {
  maintenance::ConductTerms t;
  t.longest_send = broken == 2 ? 0 : kLongest, t.drift = 0, t.facts_every = 0;
  return t;
}
maintenance::Facts facts() {
  maintenance::Facts f;
  f.cells = 2, f.width = 2, f.terms.holders_least = 1;
  f.terms.zone_keep = 0, f.terms.around = 0;
  f.nodes["n"] = {0, "", true, true}, f.nodes["m"] = {1, "", true, true};
  return f;
}

// Books by number, so that states are told apart by it: the same entries lead to the same book.
std::vector<VersionHistory> books;
int book_after(int book, ConfigEntry e) {
  static std::map<std::pair<int, std::string>, int> known;
  static std::map<std::string, int> by_content;
  e.id.clear(), e.why.clear();  // names of entries are no state
  const auto [it, fresh] = known.try_emplace({book, encode(e)}, 0);
  if (!fresh) return it->second;
  VersionHistory next = books[static_cast<std::size_t>(book)];
  next.apply(e);
  const auto [at, new_one] = by_content.try_emplace(next.snapshot(), static_cast<int>(books.size()));
  if (new_one) books.push_back(std::move(next));
  return it->second = at->second;
}

struct State {
  Time now = 1;
  int book = 0;
  std::vector<LeaseClient> holders{brokers, LeaseClient(lease_terms(), RuleSet{})};
  int asked[kBrokersMost] = {0, 0}, sent[kBrokersMost] = {0, 0};
  Time out_since[kBrokersMost] = {0, 0};  // a part at the node; 0: none
  LeaseManager leader{lease_terms()};
  maintenance::Conduct conduct{conduct_terms(), "v1"};
  int leaders_gone = 0;
  std::uint64_t force = 0, force_ground = 0;  // decided by the leader, not yet committed
  std::optional<ConfigEntry> said;            // by the conduct, not yet committed
  std::vector<std::pair<int, LeaseRequest>> asks;
  std::vector<std::pair<int, LeaseGrant>> grants;
  std::vector<std::pair<int, maintenance::Clear>> clears;

  const VersionHistory& versions() const { return books[static_cast<std::size_t>(book)]; }
  const maintenance::Work& work() const {
    return static_cast<const maintenance::Works&>(*versions().state_machine()).all().begin()->second;
  }
  std::size_t under_way() const { return asks.size() + grants.size() + clears.size(); }
  bool allowed(std::size_t i) const {  // to send to the node, as the broker looks at its clock
    // Without the look it goes on under the lease that it held last.
    const Time at = broken == 3 && holders[i].lease_expires_at() > 0
                        ? std::min(now, holders[i].lease_expires_at() - 1)
                        : now;
    return holders[i].active_config(at)->rules->endpoints_in_maintenance.count("n") == 0;
  }
  std::string key() const {
    std::string k = std::to_string(now) + ' ' + std::to_string(book) + ' ' + std::to_string(force) + ' ' +
                    std::to_string(force_ground) + ' ' + std::to_string(leaders_gone);
    for (std::size_t i = 0; i < brokers; ++i) {
      k += ' ' + std::to_string(asked[i]) + std::to_string(sent[i]) + std::to_string(out_since[i]) +
           canonical_text(holders[i].baseline_rules());
      holders[i].append_state(now, k);
    }
    leader.append_state(now, k);
    conduct.describe(now, k);
    if (said) k += encode(*said);
    for (const auto& [i, a] : asks)
      k += 'a' + std::to_string(i) + ' ' + std::to_string(a.sequence) + ' ' +
           std::to_string(a.current_grant) + ' ' + std::to_string(a.newest_version) + ' ' +
           std::to_string(a.baseline) + ' ' + std::to_string(a.settled_baseline);
    for (const auto& [i, g] : grants)
      k += 'g' + std::to_string(i) + ' ' + std::to_string(g.sequence) + ' ' + std::to_string(g.low) + ' ' +
           std::to_string(g.high) + ' ' + std::to_string(g.baseline ? g.baseline->number : 0) + ' ' +
           std::to_string(g.next_baseline ? g.next_baseline->number : 0) + ' ' +
           std::to_string(g.versions.size());
    for (const auto& [i, c] : clears)
      k += 'c' + std::to_string(i) + ' ' + std::to_string(c.low) + ' ' + std::to_string(c.out.at("n"));
    return k;
  }
  bool good() const {
    if (work().step != maintenance::Step::at_work) return true;
    for (std::size_t i = 0; i < brokers; ++i)
      if (out_since[i] || allowed(i)) return false;
    return true;
  }
};

void confirm(State& s) {
  // The leader is the only voter here, and confirms itself at once.
  if (const auto r = s.leader.start_round(s.now))
    s.leader.handle_confirmation(s.now, "v1", 1, *r, s.versions());
  for (auto& g : s.leader.take_grants()) s.grants.emplace_back(g.to == "x" ? 0 : 1, std::move(g.grant));
}

std::vector<State> after(const State& s) {
  std::vector<State> all;
  const auto next = [&]() -> State& { return all.emplace_back(s); };
  if (s.now < end_at) {
    State& n = next();
    ++n.now;
    // The node gives a part up when its time is over, whatever its broker does.
    for (std::size_t i = 0; i < brokers; ++i)
      if (n.out_since[i] && n.now >= n.out_since[i] + kLongest) n.out_since[i] = 0;
  }
  for (std::size_t i = 0; i < brokers; ++i) {
    if (s.asked[i] < askings && s.under_way() < kOnTheirWay) {
      State& n = next();
      ++n.asked[i];
      n.asks.emplace_back(static_cast<int>(i), n.holders[i].make_request(n.now));
    }
    if (s.sent[i] < sends && !s.out_since[i] && s.allowed(i)) {
      State& n = next();
      ++n.sent[i], n.out_since[i] = n.now;
    }
    if (s.out_since[i]) next().out_since[i] = 0;
    // What it says of the node, under the lease it acts on at this moment.
    const auto& acting = *s.holders[i].active_config(s.now);
    if (acting.low && acting.rules->endpoints_in_maintenance.count("n") && s.under_way() < kOnTheirWay) {
      State& n = next();
      maintenance::Clear c;
      c.low = acting.low, c.out["n"] = broken == 1 ? 0 : n.out_since[i] != 0;
      n.clears.emplace_back(static_cast<int>(i), c);
    }
  }
  const auto without = [](auto& list, std::size_t m) {
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(m));
  };
  for (std::size_t m = 0; m < s.asks.size(); ++m) {
    without(next().asks, m);
    State& n = next();
    const auto [i, ask] = n.asks[m];
    without(n.asks, m);
    n.leader.handle_request(n.now, kNames[i], ask);
    confirm(n);
  }
  for (std::size_t m = 0; m < s.grants.size(); ++m) {
    without(next().grants, m);
    State& n = next();
    const auto [i, grant] = n.grants[m];
    without(n.grants, m);
    n.holders[static_cast<std::size_t>(i)].handle_grant(n.now, grant);
  }
  for (std::size_t m = 0; m < s.clears.size(); ++m) {
    without(next().clears, m);
    State& n = next();
    const auto [i, clear] = n.clears[m];
    without(n.clears, m);
    n.conduct.heard(n.now, kNames[i], clear);
  }
  const auto decided = [&](ConfigEntry::Kind kind, std::uint64_t number) {
    ConfigEntry e;
    e.kind = kind, e.number = number;
    return book_after(s.book, e);
  };
  if (!s.force)
    if (const auto f = s.leader.activatable_version(s.now, s.versions())) next().force = f;
  if (s.force) {
    State& n = next();
    n.book = decided(ConfigEntry::Kind::kActivateVersion, s.force), n.force = 0;
  }
  if (!s.force_ground && s.versions().next_baseline() && s.leader.may_activate_baseline(s.versions()))
    next().force_ground = s.versions().next_baseline()->number;
  if (s.force_ground) {
    State& n = next();
    n.book = decided(ConfigEntry::Kind::kActivateBaseline, s.force_ground), n.force_ground = 0;
  }
  if (!s.said) {
    State& n = next();
    maintenance::Seen seen;
    seen.facts = facts(), seen.held = n.leader.brokers();
    n.said = n.conduct.lead(n.now, 0, n.versions(), seen);
    if (!n.said && n.key() == s.key()) all.pop_back();
  } else {
    State& n = next();
    n.book = book_after(n.book, *n.said), n.said.reset();
    n.conduct.settled(true);
  }
  if (s.leaders_gone < leaders) {  // another leads, and knows the log alone
    State& n = next();
    ++n.leaders_gone, n.said.reset(), n.force = n.force_ground = 0;
    n.conduct = maintenance::Conduct(conduct_terms(), "v1");
    n.leader = LeaseManager(lease_terms());
    n.leader.start_term(n.now, 1, kVoters, "v1");
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "break") {
    broken = std::atoi(argv[2]);
  } else if (argc > 5) {
    brokers = static_cast<std::size_t>(std::atoi(argv[1]));
    askings = std::atoi(argv[2]), sends = std::atoi(argv[3]), leaders = std::atoi(argv[4]);
    end_at = std::atoll(argv[5]);
  }
  books.emplace_back(std::make_shared<maintenance::Works>());
  State first;
  const auto begun = [&](ConfigEntry e) { first.book = book_after(first.book, std::move(e)); };
  for (std::size_t i = 0; i < brokers; ++i) {
    ConfigEntry e;
    e.kind = ConfigEntry::Kind::kEnrollBroker, e.name = kNames[i];
    begun(e);
  }
  ConfigEntry e;
  e.kind = ConfigEntry::Kind::kStateMachine;
  maintenance::Op op;
  op.facts = facts();
  e.text = maintenance::encode(op);
  begun(e);
  op.facts.reset();
  op.request.emplace();
  op.request->machine = "machine", op.request->nodes = {"n"}, op.request->length = kSecond;
  e.text = maintenance::encode(op);
  begun(e);
  first.leader.start_term(first.now - lease_terms().lease_duration(), 1, kVoters, "v1");
  bool handed = false, by_word = false, by_time = false;
  const Explored all = explore(first, true, after, [&](const State& s) {
    if (s.work().step != maintenance::Step::at_work) return;
    handed = true;
    for (std::size_t i = 0; i < brokers; ++i)
      (s.holders[i].lease_expires_at() > s.now ? by_word : by_time) = true;
  });
  if (broken) {
    std::printf("with a defence out: %s\n",
                all.broken.empty() ? "NOTHING found" : "something reaches a machine at work");
    return all.broken.empty() ? 1 : 0;
  }
  if (!all.broken.empty()) {
    std::printf("BROKEN: something reaches a machine at work: %s\n", all.broken.c_str());
    return 1;
  }
  std::printf(
      "%zu states, %llu ways, all there are: nothing is out at a machine at work, and nobody sends it "
      "anything\n",
      all.states, static_cast<unsigned long long>(all.ways));
  std::printf("handed over: %s; while a broker holds a lease: %s, and while it holds none: %s\n",
              handed ? "yes" : "NO", by_word ? "yes" : "NO", by_time ? "yes" : "NO");
  return handed ? 0 : 1;
}
