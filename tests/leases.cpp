// Model checking of leases: explores every event order of a small model with two clients, a leader, its
// successor, a few versions, a few requests per client and a clock of whole steps. Messages may be late,
// reordered or lost. The model runs the production classes. In every state the version intervals that the
// clients act on must overlap; otherwise one client could do what the version of the other forbids.
//
// `leases break N` disables safeguard N and must find a state that violates this.
#include "shared_config/leases.h"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "explore.h"

using namespace cairnhub;
using namespace cairnhub::shared_config;

namespace {

constexpr int kClients = 2;
int max_requests[kClients] = {2, 1};
std::uint64_t max_version = 2;
Time end_at = 5;
int disabled_safeguard = 0;  // 0: none

LeaseSettings terms() {
  LeaseSettings t;
  t.max_divergence = 4;  // leases of 2 steps
  t.max_clock_drift = 0;
  return t;
}

// A version history, identified by its newest version and the one in force. The states share the
// histories.
struct History {
  std::uint64_t newest_ = 1, in_force_ = 1;
  std::uint64_t newest() const { return newest_; }
  std::uint64_t in_force() const { return in_force_; }
  const VersionHistory& versions() const {
    static std::map<std::pair<std::uint64_t, std::uint64_t>, VersionHistory> all;
    const auto [it, fresh] = all.try_emplace({newest_, in_force_});
    if (fresh) {
      ConfigEntry e;
      for (e.base = 1; e.base < newest_; ++e.base) it->second.apply(e);
      e.kind = ConfigEntry::Kind::kActivateVersion;
      e.number = in_force_;
      it->second.apply(e);
    }
    return it->second;
  }
};

struct SentRequest {
  int client;
  int leader;
  LeaseRequest request;
};
struct SentGrant {
  int client;
  LeaseGrant grant;
};

struct State {
  Time now = 1;
  History history;  // committed, and applied by the current leader
  std::vector<LeaseClient> clients{kClients, LeaseClient(terms(), RuleSet{})};
  std::vector<LeaseManager> leaders{2, LeaseManager(terms())};
  int leader = 0;
  bool confirmed[2] = {false, false};  // a majority's confirmation is on its way to that leader
  std::uint64_t round[2] = {0, 0};     // awaiting confirmation, by leader; 0: none
  std::uint64_t forcing = 0;           // proposed to take effect, not committed; 0: none
  History old_history;                 // as of the first leader's deposition
  int requests_made[kClients] = {0, 0};
  std::vector<SentRequest> requests;
  std::vector<SentGrant> grants;

  std::string key() const {
    std::string k = std::to_string(now) + ' ' + std::to_string(history.newest()) + ' ' +
                    std::to_string(history.in_force()) + ' ' + std::to_string(old_history.newest()) + ' ' +
                    std::to_string(old_history.in_force()) + ' ' + std::to_string(leader) +
                    std::to_string(confirmed[0]) + std::to_string(confirmed[1]) + ' ' +
                    std::to_string(round[0]) + ' ' + std::to_string(round[1]) + ' ' +
                    std::to_string(forcing) + ' ';
    for (int i = 0; i < kClients; ++i) {
      k += std::to_string(requests_made[i]);
      clients[static_cast<std::size_t>(i)].append_state(now, k);
    }
    for (const LeaseManager& l : leaders) l.append_state(now, k);
    for (const SentRequest& a : requests)
      k += 'a' + std::to_string(a.client) + std::to_string(a.leader) + ' ' +
           std::to_string(a.request.sequence);
    for (const SentGrant& g : grants)
      k += 'g' + std::to_string(g.client) + ' ' + std::to_string(g.grant.sequence) + ' ' +
           std::to_string(g.grant.low) + ' ' + std::to_string(g.grant.high);
    return k;
  }
  bool good() const {
    std::uint64_t low = 0, high = UINT64_MAX;
    for (const LeaseClient& client : clients) {
      const auto& a = client.active_config(now);
      if (!a->low) continue;
      low = std::max(low, a->low);
      high = std::min(high, a->high);
    }
    return low <= high;
  }
};

const std::string kNames[kClients] = {"x", "y"};
const std::set<std::string> kVoters{"v1", "v2", "v3"};

const VersionHistory& versions_of(const State& s, int leader) {
  return (leader == s.leader ? s.history : s.old_history).versions();
}

// Returns all states that one event leads to.
std::vector<State> after(const State& s) {
  std::vector<State> all;
  const auto next = [&]() -> State& { return all.emplace_back(s); };
  if (s.now < end_at) ++next().now;
  for (int i = 0; i < kClients; ++i) {
    if (s.requests_made[i] >= max_requests[i]) continue;
    State& n = next();
    ++n.requests_made[i];
    n.requests.push_back({i, n.leader, n.clients[static_cast<std::size_t>(i)].make_request(n.now)});
  }
  for (std::size_t m = 0; m < s.requests.size(); ++m) {  // a message that stays in the list is a lost one
    State& n = next();
    const SentRequest a = n.requests[m];
    n.requests.erase(n.requests.begin() + static_cast<std::ptrdiff_t>(m));
    LeaseManager& l = n.leaders[static_cast<std::size_t>(a.leader)];
    LeaseRequest request = a.request;
    if (disabled_safeguard == 1)
      request.current_grant = request.sequence;  // as if the client had taken up every grant
    l.handle_request(n.now, kNames[a.client], request);
    if (const auto r = l.start_round(n.now)) {
      n.round[a.leader] = *r;
      n.confirmed[a.leader] = false;
    }
  }
  // A majority confirms the leader of its term; the confirmation may arrive much later.
  if (s.round[s.leader] && !s.confirmed[s.leader]) next().confirmed[s.leader] = true;
  for (int l = 0; l < 2; ++l) {
    if (!s.confirmed[l]) continue;
    State& n = next();
    LeaseManager& leases = n.leaders[static_cast<std::size_t>(l)];
    for (const char* v : {"v1", "v2"})
      leases.handle_confirmation(n.now, v, static_cast<std::uint64_t>(l) + 1, n.round[l], versions_of(s, l));
    n.confirmed[l] = false;
    n.round[l] = 0;
    for (auto& g : leases.take_grants()) n.grants.push_back({g.to == "x" ? 0 : 1, std::move(g.grant)});
  }
  for (std::size_t m = 0; m < s.grants.size(); ++m) {
    State& n = next();
    const SentGrant g = n.grants[m];
    n.grants.erase(n.grants.begin() + static_cast<std::ptrdiff_t>(m));
    LeaseClient& h = n.clients[static_cast<std::size_t>(g.client)];
    h.handle_grant(n.now, g.grant);
  }
  if (s.history.newest() < max_version) {
    ++next().history.newest_;
  }
  // The leader may propose that a version takes effect; the entry is committed at any later step, possibly by
  // the next leader.
  if (!s.forcing)
    if (const auto f = disabled_safeguard == 2 && s.history.newest() > s.history.in_force()
                           ? s.history.newest()
                           : s.leaders[static_cast<std::size_t>(s.leader)].activatable_version(
                                 s.now, s.history.versions()))
      next().forcing = f;
  if (s.forcing) {
    State& n = next();
    n.history.in_force_ = std::max(n.history.in_force_, n.forcing);
    n.forcing = 0;
  }
  if (s.leader == 0) {
    State& n = next();
    n.old_history = n.history;
    n.leader = 1;
    n.leaders[1].start_term(disabled_safeguard == 3 ? n.now - terms().lease_duration() : n.now, 2, kVoters,
                            "v3");
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "break") {
    disabled_safeguard = std::atoi(argv[2]);
  } else if (argc > 4) {
    max_requests[0] = std::atoi(argv[1]);
    max_requests[1] = std::atoi(argv[2]);
    max_version = static_cast<std::uint64_t>(std::atoll(argv[3]));
    end_at = std::atoll(argv[4]);
  }
  State first;
  first.leaders[0].start_term(first.now - terms().lease_duration(), 1, kVoters, "v1");
  // Versions are immutable and harmless to hold early, so the clients start with all of them.
  for (LeaseClient& h : first.clients) {
    LeaseGrant g;
    g.sequence = h.make_request(first.now).sequence;
    const VersionHistory history = History{max_version, 1}.versions();
    for (std::uint64_t n = 1; n <= max_version; ++n) g.versions.push_back(*history.find(n));
    h.handle_grant(first.now, g);
  }
  if (disabled_safeguard) {
    // A violation may lie many events away from the first state, where random sequences find it sooner.
    std::mt19937 random(1);
    for (int run = 0; run < 400000; ++run) {
      State s = first;
      for (int step = 0; step < 40; ++step) {
        auto all = after(s);
        if (all.empty()) break;
        s = std::move(all[random() % all.size()]);
        if (s.good()) continue;
        std::printf("with a defence out: two holders act on contradicting versions\n");
        return 0;
      }
    }
    std::printf("with a defence out: NOTHING found\n");
    return 1;
  }
  const Explored all = explore(first, false, after, [](const State&) {});
  if (!all.broken.empty()) {
    std::printf("BROKEN: two holders act on contradicting versions: %s\n", all.broken.c_str());
    return 1;
  }
  std::printf("%zu states, %llu ways, all there are: the intervals of the holders always meet\n", all.states,
              static_cast<unsigned long long>(all.ways));
  return 0;
}
