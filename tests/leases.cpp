// Every order of events of a small model of leases: two holders, a leader and the one after it, a few
// versions, a few askings each, a clock of whole steps; messages come late, in any order, or never. The
// classes of the program themselves are driven. In every state the intervals that the holders act on must
// meet.
//
// `leases break N` takes defence N out and must find a state where they don't.
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

constexpr int kHolders = 2;
int askings[kHolders] = {2, 1};
std::uint64_t newest = 2;  // version
Time end_at = 5;
int broken = 0;

LeaseTerms terms() {
  LeaseTerms t;
  t.stated = 4, t.drift = 0;  // a span of 2 steps
  return t;
}

// A book of versions with `newest` made and `in_force` forced, by its two numbers: made once for all states.
struct Book {
  std::uint64_t newest_ = 1, in_force_ = 1;
  std::uint64_t newest() const { return newest_; }
  std::uint64_t in_force() const { return in_force_; }
  const Versions& whole() const {
    static std::map<std::pair<std::uint64_t, std::uint64_t>, Versions> all;
    const auto [it, fresh] = all.try_emplace({newest_, in_force_});
    if (fresh) {
      Entry e;
      for (e.base = 1; e.base < newest_; ++e.base) it->second.apply(e);
      e.kind = Entry::Kind::force, e.number = in_force_;
      it->second.apply(e);
    }
    return it->second;
  }
};

struct Ask_ {
  int holder, leader;
  Ask ask;
};
struct Grant_ {
  int holder;
  Grant grant;
};

struct State {
  Time now = 1;
  Book book;  // what is committed; whoever leads has applied it
  std::vector<Holder> holders{kHolders, Holder(terms(), Rules{})};
  std::vector<Leases> leaders{2, Leases(terms())};
  int leader = 0;
  bool replied[2] = {false, false};  // a majority's confirmation is on its way to that leader
  std::uint64_t round[2] = {0, 0}, forcing = 0;
  Book old_book;  // as the first leader knew it when it was deposed
  int asked[kHolders] = {0, 0};
  std::vector<Ask_> asks;
  std::vector<Grant_> grants;

  std::string key() const {
    std::string k = std::to_string(now) + ' ' + std::to_string(book.newest()) + ' ' +
                    std::to_string(book.in_force()) + ' ' + std::to_string(old_book.newest()) + ' ' +
                    std::to_string(old_book.in_force()) + ' ' + std::to_string(leader) +
                    std::to_string(replied[0]) + std::to_string(replied[1]) + ' ' + std::to_string(round[0]) +
                    ' ' + std::to_string(round[1]) + ' ' + std::to_string(forcing) + ' ';
    for (int i = 0; i < kHolders; ++i)
      k += std::to_string(asked[i]), holders[static_cast<std::size_t>(i)].describe(now, k);
    for (const Leases& l : leaders) l.describe(now, k);
    for (const Ask_& a : asks)
      k += 'a' + std::to_string(a.holder) + std::to_string(a.leader) + ' ' + std::to_string(a.ask.sequence);
    for (const Grant_& g : grants)
      k += 'g' + std::to_string(g.holder) + ' ' + std::to_string(g.grant.sequence) + ' ' +
           std::to_string(g.grant.low) + ' ' + std::to_string(g.grant.high);
    return k;
  }
  bool good() const {
    std::uint64_t low = 0, high = UINT64_MAX;
    for (const Holder& h : holders) {
      const auto& a = h.acting(now);
      if (!a->low) continue;
      low = std::max(low, a->low), high = std::min(high, a->high);
    }
    return low <= high;
  }
};

const std::string kNames[kHolders] = {"x", "y"};
const std::set<std::string> kVoters{"v1", "v2", "v3"};

const Versions& book_of(const State& s, int leader) {
  return (leader == s.leader ? s.book : s.old_book).whole();
}

// All states that one event leads to.
std::vector<State> after(const State& s) {
  std::vector<State> all;
  const auto next = [&]() -> State& { return all.emplace_back(s); };
  if (s.now < end_at) ++next().now;
  for (int i = 0; i < kHolders; ++i) {
    if (s.asked[i] >= askings[i]) continue;
    State& n = next();
    ++n.asked[i];
    n.asks.push_back({i, n.leader, n.holders[static_cast<std::size_t>(i)].ask(n.now)});
  }
  for (std::size_t m = 0; m < s.asks.size(); ++m) {  // it comes; or never: then it stays on its way
    State& n = next();
    const Ask_ a = n.asks[m];
    n.asks.erase(n.asks.begin() + static_cast<std::ptrdiff_t>(m));
    Leases& l = n.leaders[static_cast<std::size_t>(a.leader)];
    Ask ask = a.ask;
    if (broken == 1) ask.taken = ask.sequence;  // as if every grant were taken up
    l.asked(n.now, kNames[a.holder], ask);
    if (const auto r = l.round(n.now)) n.round[a.leader] = *r, n.replied[a.leader] = false;
  }
  // A majority confirms the leader of its term; the word may come to it much later.
  if (s.round[s.leader] && !s.replied[s.leader]) next().replied[s.leader] = true;
  for (int l = 0; l < 2; ++l) {
    if (!s.replied[l]) continue;
    State& n = next();
    Leases& leases = n.leaders[static_cast<std::size_t>(l)];
    for (const char* v : {"v1", "v2"})
      leases.confirmed(n.now, v, static_cast<std::uint64_t>(l) + 1, n.round[l], book_of(s, l));
    n.replied[l] = false, n.round[l] = 0;
    for (auto& g : leases.granted()) n.grants.push_back({g.to == "x" ? 0 : 1, std::move(g.grant)});
  }
  for (std::size_t m = 0; m < s.grants.size(); ++m) {
    State& n = next();
    const Grant_ g = n.grants[m];
    n.grants.erase(n.grants.begin() + static_cast<std::ptrdiff_t>(m));
    Holder& h = n.holders[static_cast<std::size_t>(g.holder)];
    h.answered(n.now, g.grant);
  }
  if (s.book.newest() < newest) {
    ++next().book.newest_;
  }
  // The leader may begin to force; the entry is committed then or later, by whoever leads.
  if (!s.forcing)
    if (const auto f = broken == 2 && s.book.newest() > s.book.in_force()
                           ? s.book.newest()
                           : s.leaders[static_cast<std::size_t>(s.leader)].may_force(s.now, s.book.whole()))
      next().forcing = f;
  if (s.forcing) {
    State& n = next();
    n.book.in_force_ = std::max(n.book.in_force_, n.forcing);
    n.forcing = 0;
  }
  if (s.leader == 0) {
    State& n = next();
    n.old_book = n.book;
    n.leader = 1;
    n.leaders[1].leads(broken == 3 ? n.now - terms().span() : n.now, 2, kVoters, "v3");
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "break") {
    broken = std::atoi(argv[2]);
  } else if (argc > 4) {
    askings[0] = std::atoi(argv[1]), askings[1] = std::atoi(argv[2]),
    newest = static_cast<std::uint64_t>(std::atoll(argv[3]));
    end_at = std::atoll(argv[4]);
  }
  State first;
  first.leaders[0].leads(first.now - terms().span(), 1, kVoters, "v1");
  // Content is immutable, and to hold it early hurts nobody: all of it is in hand.
  for (Holder& h : first.holders) {
    Grant g;
    g.sequence = h.ask(first.now).sequence;
    const Versions book = Book{newest, 1}.whole();
    for (std::uint64_t n = 1; n <= newest; ++n) g.versions.push_back(*book.at(n));
    h.answered(first.now, g);
  }
  if (broken) {
    // With a defence out the fault need not be near: ways drawn at random find it.
    std::mt19937 chance(1);
    for (int way = 0; way < 400000; ++way) {
      State s = first;
      for (int step = 0; step < 40; ++step) {
        auto all = after(s);
        if (all.empty()) break;
        s = std::move(all[chance() % all.size()]);
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
