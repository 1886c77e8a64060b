// Every order of events of a small model of the common ground: one broker or two that renew leases and start
// anew from their folders, one leader, an operator who narrows the ground and a version and widens both
// again. Messages come late, in any order, or never. The classes of the program themselves are driven. In
// every state what a broker would act on without a lease must lie within every version from the one in force
// on, and no lease end below that one.
//
// `grounds break N` takes defence N out and must find a state where it doesn't.
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

constexpr std::size_t kBrokersMost = 2;
constexpr std::size_t kOnTheirWay = 2;  // messages; each may be lost
std::size_t brokers = 1;
int askings = 3, restarts = 1;
Time end_at = 4;
int broken = 0;

LeaseTerms terms() {
  LeaseTerms t;
  t.stated = 4, t.drift = 0;  // a span of 2 steps
  return t;
}

const std::string kNames[kBrokersMost] = {"x", "y"};
const std::set<std::string> kVoters{"v1"};

// What the operator does, in this order or leaving some out; the book refuses what would not do.
struct Wish {
  bool ground;
  const char* rules;
};
const Wish kWishes[] = {{true, "op_type { name: \"a\" held_most: 5 }"},
                        {false, "op_type { name: \"a\" held_most: 7 }"},
                        {false, ""},
                        {true, "op_type { name: \"a\" held_most: 9 }"}};
int wishes_most = 4;

// Books by number, so that states are told apart by it: the same entries lead to the same book.
std::vector<Versions> books;
int book_after(int book, const Entry& e, const std::string& name) {
  static std::map<std::pair<int, std::string>, int> known;
  static std::map<std::string, int> by_content;
  const auto [it, fresh] = known.try_emplace({book, name}, 0);
  if (!fresh) return it->second;
  Versions next = books[static_cast<std::size_t>(book)];
  next.apply(e);
  const auto [at, new_one] = by_content.try_emplace(next.snapshot(), static_cast<int>(books.size()));
  if (new_one) books.push_back(std::move(next));
  return it->second = at->second;
}

struct Folder {
  std::uint64_t number = 0;
  std::string text;
};

struct State {
  Time now = 1;
  int book = 0, wishes = 0;
  std::vector<Holder> holders{brokers, Holder(terms(), Rules{})};
  std::vector<Folder> folders{brokers};
  int asked[kBrokersMost] = {0, 0}, started[kBrokersMost] = {0, 0};
  Leases leader{terms()};
  std::uint64_t force = 0, force_ground = 0;  // decided by the leader, not yet committed
  std::vector<std::pair<int, Ask>> asks;
  std::vector<std::pair<int, Grant>> grants;

  const Versions& versions() const { return books[static_cast<std::size_t>(book)]; }
  std::string key() const {
    std::string k = std::to_string(now) + ' ' + std::to_string(book) + ' ' + std::to_string(wishes) + ' ' +
                    std::to_string(force) + ' ' + std::to_string(force_ground) + ' ';
    for (std::size_t i = 0; i < brokers; ++i) {
      k += std::to_string(asked[i]) + std::to_string(started[i]) + std::to_string(folders[i].number) + ' ' +
           folders[i].text + ' ' + text_of(holders[i].grounded());
      holders[i].describe(now, k);
    }
    leader.describe(now, k);
    for (const auto& [i, a] : asks)
      k += 'a' + std::to_string(i) + ' ' + std::to_string(a.sequence) + ' ' + std::to_string(a.taken) + ' ' +
           std::to_string(a.have) + ' ' + std::to_string(a.ground) + ' ' + std::to_string(a.settled);
    for (const auto& [i, g] : grants)
      k += 'g' + std::to_string(i) + ' ' + std::to_string(g.sequence) + ' ' + std::to_string(g.low) + ' ' +
           std::to_string(g.high) + ' ' + std::to_string(g.ground ? g.ground->number : 0) + ' ' +
           std::to_string(g.ground_next ? g.ground_next->number : 0) + ' ' +
           std::to_string(g.versions.size());
    return k;
  }
  bool good() const {
    const Versions& v = versions();
    for (const Holder& h : holders)
      for (auto it = v.all().lower_bound(v.in_force()); it != v.all().end(); ++it)
        if (!within(h.grounded(), *it->second.rules)) return false;
    // And no lease ends below the version in force, though an answer to an earlier life came for one's own.
    for (const Holder& h : holders)
      if (h.until() > now && h.acting(now)->high < v.in_force()) return false;
    return true;
  }
};

// As ClusterNode::save_baseline does, before anything is said to others.
void keep(State& s, std::size_t i) {
  const Holder& h = s.holders[i];
  if (broken == 2 && h.ground_next()) return;  // only what is settled
  s.folders[i] = {h.ground().number, text_of(broken == 2 ? *h.ground().rules : h.grounded())};
}

std::vector<State> after(const State& s) {
  std::vector<State> all;
  const auto next = [&]() -> State& { return all.emplace_back(s); };
  if (s.now < end_at) ++next().now;
  for (std::size_t i = 0; i < brokers; ++i) {
    if (s.asked[i] < askings && s.asks.size() + s.grants.size() < kOnTheirWay) {
      State& n = next();
      ++n.asked[i];
      n.asks.emplace_back(static_cast<int>(i), n.holders[i].ask(n.now));
    }
    if (s.started[i] < restarts) {
      State& n = next();
      ++n.started[i];
      n.holders[i] = Holder(terms(), Rules{}, broken == 3 ? 0 : static_cast<std::uint32_t>(n.started[i]));
      Version kept;
      kept.number = n.folders[i].number, kept.text = n.folders[i].text;
      kept.rules = std::make_shared<const Rules>(parse_rules(kept.text, "folder"));
      if (kept.number) n.holders[i].keep(kept);
      // What it had sent may still come, and be answered, and so may what was on its way to its earlier life.
    }
  }
  for (std::size_t m = 0; m < s.asks.size(); ++m) {
    State& lost = next();
    lost.asks.erase(lost.asks.begin() + static_cast<std::ptrdiff_t>(m));
    State& n = next();
    const auto [i, ask] = n.asks[m];
    n.asks.erase(n.asks.begin() + static_cast<std::ptrdiff_t>(m));
    n.leader.asked(n.now, kNames[i], ask);
    // The leader is the only voter here, and confirms itself at once.
    if (const auto r = n.leader.round(n.now)) n.leader.confirmed(n.now, "v1", 1, *r, n.versions());
    for (auto& g : n.leader.granted()) n.grants.emplace_back(g.to == "x" ? 0 : 1, std::move(g.grant));
  }
  for (std::size_t m = 0; m < s.grants.size(); ++m) {
    State& lost = next();
    lost.grants.erase(lost.grants.begin() + static_cast<std::ptrdiff_t>(m));
    State& n = next();
    const auto [i, grant] = n.grants[m];
    n.grants.erase(n.grants.begin() + static_cast<std::ptrdiff_t>(m));
    n.holders[static_cast<std::size_t>(i)].answered(n.now, grant);
    keep(n, static_cast<std::size_t>(i));
  }
  for (int w = s.wishes; w < wishes_most; ++w) {
    Entry e;
    e.kind = kWishes[w].ground ? Entry::Kind::propose_ground : Entry::Kind::propose;
    e.text = kWishes[w].rules, e.id = "wish " + std::to_string(w);
    e.base = kWishes[w].ground ? s.versions().ground().number : s.versions().newest();
    const int book = book_after(s.book, e, e.id);
    if (book == s.book) continue;
    State& n = next();
    n.book = book, n.wishes = w + 1;
  }
  const auto decided = [&](Entry::Kind kind, std::uint64_t number) {
    Entry e;
    e.kind = kind, e.number = number;
    return book_after(s.book, e, std::to_string(static_cast<int>(kind)) + ' ' + std::to_string(number));
  };
  if (!s.force)
    if (const auto f = s.leader.may_force(s.now, s.versions())) next().force = f;
  if (s.force) {
    State& n = next();
    n.book = decided(Entry::Kind::force, s.force), n.force = 0;
  }
  if (!s.force_ground && s.versions().ground_next() &&
      (broken == 1 || s.leader.may_force_ground(s.versions())))
    next().force_ground = s.versions().ground_next()->number;
  if (s.force_ground) {
    State& n = next();
    n.book = decided(Entry::Kind::force_ground, s.force_ground), n.force_ground = 0;
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "break") {
    broken = std::atoi(argv[2]);
    if (broken == 3) askings = 4, end_at = 5, wishes_most = 2;  // a longer way there
  } else if (argc > 4) {
    brokers = static_cast<std::size_t>(std::atoi(argv[1]));
    askings = std::atoi(argv[2]), restarts = std::atoi(argv[3]), end_at = std::atoll(argv[4]);
    if (argc > 5) wishes_most = std::atoi(argv[5]);
  }
  books.emplace_back();
  State first;
  for (std::size_t i = 0; i < brokers; ++i) {
    Entry e;
    e.kind = Entry::Kind::enlist, e.name = kNames[i];
    first.book = book_after(first.book, e, "enlist " + kNames[i]);
  }
  first.leader.leads(first.now - terms().span(), 1, kVoters, "v1");
  bool narrow = false, wide = false;  // the model comes where it should
  const Explored all = explore(first, true, after, [&](const State& s) {
    narrow = narrow || s.versions().at(s.versions().in_force())->rules->of("a").held_most == 7;
    wide = wide || s.versions().ground().rules->of("a").held_most == 9;
  });
  if (broken) {
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
