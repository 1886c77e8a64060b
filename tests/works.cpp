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

LeaseTerms lease_terms() {
  LeaseTerms t;
  t.stated = 4, t.drift = 0;  // a span of 2 steps
  return t;
}
maintenance::MaintenanceControllerOptions conduct_terms() {
  maintenance::MaintenanceControllerOptions t;
  t.max_attempt_time = broken == 2 ? 0 : kLongest, t.max_clock_drift = 0, t.status_interval = 0;
  return t;
}
maintenance::FleetStatus facts() {
  maintenance::FleetStatus f;
  f.ring_size = 2, f.replicas_per_shard = 2, f.limits.min_warm_replicas = 1;
  f.limits.min_zone_share_in_service = 0, f.limits.transition_time = 0;
  f.endpoints["n"] = {0, "", true, true}, f.endpoints["m"] = {1, "", true, true};
  return f;
}

// Books by number, so that states are told apart by it: the same entries lead to the same book.
std::vector<Versions> books;
int book_after(int book, Entry e) {
  static std::map<std::pair<int, std::string>, int> known;
  static std::map<std::string, int> by_content;
  e.id.clear(), e.why.clear();  // names of entries are no state
  const auto [it, fresh] = known.try_emplace({book, encode(e)}, 0);
  if (!fresh) return it->second;
  Versions next = books[static_cast<std::size_t>(book)];
  next.apply(e);
  const auto [at, new_one] = by_content.try_emplace(next.snapshot(), static_cast<int>(books.size()));
  if (new_one) books.push_back(std::move(next));
  return it->second = at->second;
}

struct State {
  Time now = 1;
  int book = 0;
  std::vector<Holder> holders{brokers, Holder(lease_terms(), Rules{})};
  int asked[kBrokersMost] = {0, 0}, sent[kBrokersMost] = {0, 0};
  Time out_since[kBrokersMost] = {0, 0};  // a part at the node; 0: none
  Leases leader{lease_terms()};
  maintenance::MaintenanceController conduct{conduct_terms(), "v1"};
  int leaders_gone = 0;
  std::uint64_t force = 0, force_ground = 0;  // decided by the leader, not yet committed
  std::optional<Entry> said;                  // by the conduct, not yet committed
  std::vector<std::pair<int, Ask>> asks;
  std::vector<std::pair<int, Grant>> grants;
  std::vector<std::pair<int, maintenance::OpenAttemptsReport>> clears;

  const Versions& versions() const { return books[static_cast<std::size_t>(book)]; }
  const maintenance::Job& work() const {
    return static_cast<const maintenance::JobQueue&>(*versions().board()).jobs().begin()->second;
  }
  std::size_t under_way() const { return asks.size() + grants.size() + clears.size(); }
  bool allowed(std::size_t i) const {  // to send to the node, as the broker looks at its clock
    // Without the look it goes on under the lease that it held last.
    const Time at = broken == 3 && holders[i].until() > 0 ? std::min(now, holders[i].until() - 1) : now;
    return holders[i].acting(at)->rules->at_work.count("n") == 0;
  }
  std::string key() const {
    std::string k = std::to_string(now) + ' ' + std::to_string(book) + ' ' + std::to_string(force) + ' ' +
                    std::to_string(force_ground) + ' ' + std::to_string(leaders_gone);
    for (std::size_t i = 0; i < brokers; ++i) {
      k += ' ' + std::to_string(asked[i]) + std::to_string(sent[i]) + std::to_string(out_since[i]) +
           text_of(holders[i].grounded());
      holders[i].describe(now, k);
    }
    leader.describe(now, k);
    conduct.append_state(now, k);
    if (said) k += encode(*said);
    for (const auto& [i, a] : asks)
      k += 'a' + std::to_string(i) + ' ' + std::to_string(a.sequence) + ' ' + std::to_string(a.taken) + ' ' +
           std::to_string(a.have) + ' ' + std::to_string(a.ground) + ' ' + std::to_string(a.settled);
    for (const auto& [i, g] : grants)
      k += 'g' + std::to_string(i) + ' ' + std::to_string(g.sequence) + ' ' + std::to_string(g.low) + ' ' +
           std::to_string(g.high) + ' ' + std::to_string(g.ground ? g.ground->number : 0) + ' ' +
           std::to_string(g.ground_next ? g.ground_next->number : 0) + ' ' +
           std::to_string(g.versions.size());
    for (const auto& [i, c] : clears)
      k += 'c' + std::to_string(i) + ' ' + std::to_string(c.lease_low_version) + ' ' +
           std::to_string(c.by_endpoint.at("n"));
    return k;
  }
  bool good() const {
    if (work().state != maintenance::JobState::kInMaintenance) return true;
    for (std::size_t i = 0; i < brokers; ++i)
      if (out_since[i] || allowed(i)) return false;
    return true;
  }
};

void confirm(State& s) {
  // The leader is the only voter here, and confirms itself at once.
  if (const auto r = s.leader.round(s.now)) s.leader.confirmed(s.now, "v1", 1, *r, s.versions());
  for (auto& g : s.leader.granted()) s.grants.emplace_back(g.to == "x" ? 0 : 1, std::move(g.grant));
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
      n.asks.emplace_back(static_cast<int>(i), n.holders[i].ask(n.now));
    }
    if (s.sent[i] < sends && !s.out_since[i] && s.allowed(i)) {
      State& n = next();
      ++n.sent[i], n.out_since[i] = n.now;
    }
    if (s.out_since[i]) next().out_since[i] = 0;
    // What it says of the node, under the lease it acts on at this moment.
    const auto& acting = *s.holders[i].acting(s.now);
    if (acting.low && acting.rules->at_work.count("n") && s.under_way() < kOnTheirWay) {
      State& n = next();
      maintenance::OpenAttemptsReport c;
      c.lease_low_version = acting.low, c.by_endpoint["n"] = broken == 1 ? 0 : n.out_since[i] != 0;
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
    n.leader.asked(n.now, kNames[i], ask);
    confirm(n);
  }
  for (std::size_t m = 0; m < s.grants.size(); ++m) {
    without(next().grants, m);
    State& n = next();
    const auto [i, grant] = n.grants[m];
    without(n.grants, m);
    n.holders[static_cast<std::size_t>(i)].answered(n.now, grant);
  }
  for (std::size_t m = 0; m < s.clears.size(); ++m) {
    without(next().clears, m);
    State& n = next();
    const auto [i, clear] = n.clears[m];
    without(n.clears, m);
    n.conduct.record_report(n.now, kNames[i], clear);
  }
  const auto decided = [&](Entry::Kind kind, std::uint64_t number) {
    Entry e;
    e.kind = kind, e.number = number;
    return book_after(s.book, e);
  };
  if (!s.force)
    if (const auto f = s.leader.may_force(s.now, s.versions())) next().force = f;
  if (s.force) {
    State& n = next();
    n.book = decided(Entry::Kind::force, s.force), n.force = 0;
  }
  if (!s.force_ground && s.versions().ground_next() && s.leader.may_force_ground(s.versions()))
    next().force_ground = s.versions().ground_next()->number;
  if (s.force_ground) {
    State& n = next();
    n.book = decided(Entry::Kind::force_ground, s.force_ground), n.force_ground = 0;
  }
  if (!s.said) {
    State& n = next();
    maintenance::LeaderView seen;
    seen.fleet_status = facts(), seen.leases = n.leader.held();
    n.said = n.conduct.next_entry(n.now, 0, n.versions(), seen);
    if (!n.said && n.key() == s.key()) all.pop_back();
  } else {
    State& n = next();
    n.book = book_after(n.book, *n.said), n.said.reset();
    n.conduct.record_proposal_result(true);
  }
  if (s.leaders_gone < leaders) {  // another leads, and knows the log alone
    State& n = next();
    ++n.leaders_gone, n.said.reset(), n.force = n.force_ground = 0;
    n.conduct = maintenance::MaintenanceController(conduct_terms(), "v1");
    n.leader = Leases(lease_terms());
    n.leader.leads(n.now, 1, kVoters, "v1");
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
  books.emplace_back(std::make_shared<maintenance::JobQueue>());
  State first;
  const auto begun = [&](Entry e) { first.book = book_after(first.book, std::move(e)); };
  for (std::size_t i = 0; i < brokers; ++i) {
    Entry e;
    e.kind = Entry::Kind::enlist, e.name = kNames[i];
    begun(e);
  }
  Entry e;
  e.kind = Entry::Kind::board;
  maintenance::JobOperation op;
  op.fleet_status = facts();
  e.text = maintenance::encode_operation(op);
  begun(e);
  op.fleet_status.reset();
  op.request.emplace();
  op.request->machine = "machine", op.request->endpoints = {"n"}, op.request->duration = kSecond;
  e.text = maintenance::encode_operation(op);
  begun(e);
  first.leader.leads(first.now - lease_terms().span(), 1, kVoters, "v1");
  bool handed = false, by_word = false, by_time = false;
  const Explored all = explore(first, true, after, [&](const State& s) {
    if (s.work().state != maintenance::JobState::kInMaintenance) return;
    handed = true;
    for (std::size_t i = 0; i < brokers; ++i) (s.holders[i].until() > s.now ? by_word : by_time) = true;
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
