// Model checking of the baseline: explores every event order of a small model with one or two brokers that
// renew leases and restart from their folders, one leader, and an operator who narrows the baseline and a
// version and then widens both. Messages may be late, reordered or lost. The model runs the production
// classes. In every state the rules that a broker would act on without a lease must lie within the version in
// force and every later one, and no lease may end below the version in force.
//
// `grounds break N` disables safeguard N and must find a state that violates this.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "explore.h"
#include "shared_config/leases.h"

using namespace cairnhub;
using namespace cairnhub::shared_config;

namespace {

constexpr std::size_t kMaxBrokers = 2;
constexpr std::size_t kMaxMessagesInFlight = 2;
std::size_t brokers = 1;
int max_requests = 3;  // per broker
int max_restarts = 1;  // per broker
Time end_at = 4;
int disabled_safeguard = 0;  // 0: none

LeaseSettings terms() {
  LeaseSettings t;
  t.max_divergence = 4;  // leases of 2 steps
  t.max_clock_drift = 0;
  return t;
}

const std::string kNames[kMaxBrokers] = {"x", "y"};
const std::set<std::string> kVoters{"v1"};

// A proposal of the operator. The proposals are made in the order of the list, and some may be left out; the
// history rejects those that are not allowed.
struct OperatorProposal {
  bool is_baseline;
  const char* rules;
};
const OperatorProposal kProposals[] = {{true, "op_type { name: \"a\" held_most: 5 }"},
                                       {false, "op_type { name: \"a\" held_most: 7 }"},
                                       {false, ""},
                                       {true, "op_type { name: \"a\" held_most: 9 }"}};
int max_proposals = 4;

// All histories that occur. States refer to them by index, so equal histories must have equal indices.
std::vector<VersionHistory> histories;
// Returns the index of the history after an entry. `name` identifies the entry.
int history_after(int history, const ConfigEntry& e, const std::string& name) {
  static std::map<std::pair<int, std::string>, int> known;
  static std::map<std::string, int> by_content;
  const auto [it, fresh] = known.try_emplace({history, name}, 0);
  if (!fresh) return it->second;
  VersionHistory next = histories[static_cast<std::size_t>(history)];
  next.apply(e);
  const auto [at, is_new] = by_content.try_emplace(next.snapshot(), static_cast<int>(histories.size()));
  if (is_new) histories.push_back(std::move(next));
  return it->second = at->second;
}

// The baseline that a broker has stored.
struct Folder {
  std::uint64_t number = 0;
  std::string text;
};

struct State {
  Time now = 1;
  int history = 0;
  int proposals_done = 0;
  std::vector<LeaseClient> clients{brokers, LeaseClient(terms(), RuleSet{})};
  std::vector<Folder> folders{brokers};
  int requests_made[kMaxBrokers] = {0, 0};
  int restarts_made[kMaxBrokers] = {0, 0};
  LeaseManager leader{terms()};
  std::uint64_t force = 0;         // proposed by the leader to take effect, not yet committed
  std::uint64_t force_ground = 0;  // the same for a baseline
  std::vector<std::pair<int, LeaseRequest>> requests;
  std::vector<std::pair<int, LeaseGrant>> grants;

  const VersionHistory& versions() const { return histories[static_cast<std::size_t>(history)]; }
  std::string key() const {
    std::string k = std::to_string(now) + ' ' + std::to_string(history) + ' ' +
                    std::to_string(proposals_done) + ' ' + std::to_string(force) + ' ' +
                    std::to_string(force_ground) + ' ';
    for (std::size_t i = 0; i < brokers; ++i) {
      k += std::to_string(requests_made[i]) + std::to_string(restarts_made[i]) +
           std::to_string(folders[i].number) + ' ' + folders[i].text + ' ' +
           canonical_text(clients[i].baseline_rules());
      clients[i].append_state(now, k);
    }
    leader.append_state(now, k);
    for (const auto& [i, a] : requests)
      k += 'a' + std::to_string(i) + ' ' + std::to_string(a.sequence) + ' ' +
           std::to_string(a.current_grant) + ' ' + std::to_string(a.newest_version) + ' ' +
           std::to_string(a.baseline) + ' ' + std::to_string(a.settled_baseline);
    for (const auto& [i, g] : grants)
      k += 'g' + std::to_string(i) + ' ' + std::to_string(g.sequence) + ' ' + std::to_string(g.low) + ' ' +
           std::to_string(g.high) + ' ' + std::to_string(g.baseline ? g.baseline->number : 0) + ' ' +
           std::to_string(g.next_baseline ? g.next_baseline->number : 0) + ' ' +
           std::to_string(g.versions.size());
    return k;
  }
  bool good() const {
    const VersionHistory& v = versions();
    for (const LeaseClient& h : clients)
      for (auto it = v.versions().lower_bound(v.in_force()); it != v.versions().end(); ++it)
        if (!is_within(h.baseline_rules(), *it->second.rules)) return false;
    // No lease ends below the version in force, even if a grant to an earlier process of the broker arrived.
    for (const LeaseClient& h : clients)
      if (h.lease_expires_at() > now && h.active_config(now)->high < v.in_force()) return false;
    return true;
  }
};

// Stores the baseline, as a broker does before it sends anything.
void store_baseline(State& s, std::size_t i) {
  const LeaseClient& h = s.clients[i];
  if (disabled_safeguard == 2 && h.next_baseline()) return;  // stores settled baselines only
  s.folders[i] = {h.baseline().number,
                  canonical_text(disabled_safeguard == 2 ? *h.baseline().rules : h.baseline_rules())};
}

std::vector<State> after(const State& s) {
  std::vector<State> all;
  const auto next = [&]() -> State& { return all.emplace_back(s); };
  if (s.now < end_at) ++next().now;
  for (std::size_t i = 0; i < brokers; ++i) {
    if (s.requests_made[i] < max_requests && s.requests.size() + s.grants.size() < kMaxMessagesInFlight) {
      State& n = next();
      ++n.requests_made[i];
      n.requests.emplace_back(static_cast<int>(i), n.clients[i].make_request(n.now));
    }
    if (s.restarts_made[i] < max_restarts) {
      State& n = next();
      ++n.restarts_made[i];
      n.clients[i] = LeaseClient(
          terms(), RuleSet{}, disabled_safeguard == 3 ? 0 : static_cast<std::uint32_t>(n.restarts_made[i]));
      Version kept;
      kept.number = n.folders[i].number;
      kept.text = n.folders[i].text;
      kept.rules = std::make_shared<const RuleSet>(parse_rule_set(kept.text, "folder"));
      if (kept.number) n.clients[i].restore_baseline(kept);
      // Messages from and to the earlier process may still arrive.
    }
  }
  for (std::size_t m = 0; m < s.requests.size(); ++m) {
    State& lost = next();
    lost.requests.erase(lost.requests.begin() + static_cast<std::ptrdiff_t>(m));
    State& n = next();
    const auto [i, request] = n.requests[m];
    n.requests.erase(n.requests.begin() + static_cast<std::ptrdiff_t>(m));
    n.leader.handle_request(n.now, kNames[i], request);
    // The leader is the only voter of the model and confirms itself at once.
    if (const auto r = n.leader.start_round(n.now))
      n.leader.handle_confirmation(n.now, "v1", 1, *r, n.versions());
    for (auto& g : n.leader.take_grants()) n.grants.emplace_back(g.to == "x" ? 0 : 1, std::move(g.grant));
  }
  for (std::size_t m = 0; m < s.grants.size(); ++m) {
    State& lost = next();
    lost.grants.erase(lost.grants.begin() + static_cast<std::ptrdiff_t>(m));
    State& n = next();
    const auto [i, grant] = n.grants[m];
    n.grants.erase(n.grants.begin() + static_cast<std::ptrdiff_t>(m));
    n.clients[static_cast<std::size_t>(i)].handle_grant(n.now, grant);
    store_baseline(n, static_cast<std::size_t>(i));
  }
  for (int w = s.proposals_done; w < max_proposals; ++w) {
    ConfigEntry e;
    e.kind =
        kProposals[w].is_baseline ? ConfigEntry::Kind::kProposeBaseline : ConfigEntry::Kind::kProposeVersion;
    e.text = kProposals[w].rules;
    e.id = "wish " + std::to_string(w);
    e.base = kProposals[w].is_baseline ? s.versions().baseline().number : s.versions().newest();
    const int history = history_after(s.history, e, e.id);
    if (history == s.history) continue;
    State& n = next();
    n.history = history;
    n.proposals_done = w + 1;
  }
  const auto after_commit = [&](ConfigEntry::Kind kind, std::uint64_t number) {
    ConfigEntry e;
    e.kind = kind;
    e.number = number;
    return history_after(s.history, e, std::to_string(static_cast<int>(kind)) + ' ' + std::to_string(number));
  };
  if (!s.force)
    if (const auto f = s.leader.activatable_version(s.now, s.versions())) next().force = f;
  if (s.force) {
    State& n = next();
    n.history = after_commit(ConfigEntry::Kind::kActivateVersion, s.force);
    n.force = 0;
  }
  if (!s.force_ground && s.versions().next_baseline() &&
      (disabled_safeguard == 1 || s.leader.may_activate_baseline(s.versions())))
    next().force_ground = s.versions().next_baseline()->number;
  if (s.force_ground) {
    State& n = next();
    n.history = after_commit(ConfigEntry::Kind::kActivateBaseline, s.force_ground);
    n.force_ground = 0;
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "break") {
    disabled_safeguard = std::atoi(argv[2]);
    if (disabled_safeguard == 3) {  // this violation takes more events
      max_requests = 4;
      end_at = 5;
      max_proposals = 2;
    }
  } else if (argc > 4) {
    brokers = static_cast<std::size_t>(std::atoi(argv[1]));
    max_requests = std::atoi(argv[2]);
    max_restarts = std::atoi(argv[3]);
    end_at = std::atoll(argv[4]);
    if (argc > 5) max_proposals = std::atoi(argv[5]);
  }
  histories.emplace_back();
  State first;
  for (std::size_t i = 0; i < brokers; ++i) {
    ConfigEntry e;
    e.kind = ConfigEntry::Kind::kEnrollBroker;
    e.name = kNames[i];
    first.history = history_after(first.history, e, "enlist " + kNames[i]);
  }
  first.leader.start_term(first.now - terms().lease_duration(), 1, kVoters, "v1");
  // Shows that the model reaches the states of interest.
  bool narrow = false;
  bool wide = false;
  const Explored all = explore(first, true, after, [&](const State& s) {
    narrow = narrow || s.versions().find(s.versions().in_force())->rules->rule_for("a").max_in_progress == 7;
    wide = wide || s.versions().baseline().rules->rule_for("a").max_in_progress == 9;
  });
  if (disabled_safeguard) {
    std::printf("with a defence out: %s\n",
                all.broken.empty() ? "NOTHING found" : "a ground allows what a version in force forbids");
    return all.broken.empty() ? 1 : 0;
  }
  if (!all.broken.empty()) {
    std::printf("BROKEN: a ground allows what a version in force forbids: %s\n", all.broken.c_str());
    return 1;
  }
  std::printf(
      "%zu states, %llu ways, all there are: grounds lie within the versions from the one in force on\n",
      all.states, static_cast<unsigned long long>(all.ways));
  std::printf("the narrow version took force: %s; the wider ground after it: %s\n", narrow ? "yes" : "NO",
              wide ? "yes" : "no");
  return narrow ? 0 : 1;
}
