// Plans of two-phase multigets driven through random orders of events: parts that come late, twice or never,
// hosts whose data change between phases, spoilt values, pushbacks, any budgets. RapidCheck draws the
// schedules and prints its seed; argument: how many. What must hold in each is said at the checks.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "two_phase/query_plan.h"

using namespace cairnhub;
using namespace cairnhub::two_phase;

namespace {

constexpr Time kMs = kSecond / 1000;

// The hosts' data: what block `b` holds at version `v`, best first. A function of both alone.
struct Stall {
  std::string id;
  double score;
};
std::vector<Stall> data(int b, int v) {
  std::mt19937 rng(static_cast<std::uint32_t>(1000 * b + v));
  std::vector<Stall> all;
  for (std::uint32_t i = 0, n = rng() % 3 == 0 ? 0 : rng() % 24; i < n; ++i)
    all.push_back({"s" + std::to_string(b) + "-" + std::to_string(i), static_cast<double>(rng() % 6)});
  std::sort(all.begin(), all.end(),
            [](auto& x, auto& y) { return x.score != y.score ? x.score > y.score : x.id < y.id; });
  return all;
}
std::string match_value(int b, int v, const nlohmann::json& ask) {
  const auto all = data(b, v);
  const std::size_t page = ask["page"];
  std::size_t from = 0;
  if (ask.contains("after"))
    while (from < all.size() && (all[from].score > ask["after"][1] ||
                                 (all[from].score == ask["after"][1] && all[from].id <= ask["after"][0])))
      ++from;
  nlohmann::ordered_json out{{"version", std::to_string(v)}, {"total", all.size()}};
  out["more"] = from + page < all.size();
  out["matches"] = nlohmann::json::array();
  for (std::size_t i = from; i < std::min(all.size(), from + page); ++i)
    out["matches"].push_back({all[i].id, all[i].score});
  return out.dump();
}
std::string detail(const std::string& id, int v) {
  return "{\"of\" : \"" + id + "@" + std::to_string(v) + "\"}";
}
std::string fetch_value(int b, int v, const nlohmann::json& ask) {
  std::string stalls;
  for (const std::string id : ask["stalls"])
    for (const Stall& s : data(b, v))
      if (s.id == id)
        stalls += (stalls.empty() ? "" : ",") + std::string("{\"stall\":\"") + id +
                  "\",\"detail\":" + detail(id, v) + "}";
  return "{\"version\":\"" + std::to_string(v) + "\",\"stalls\":[" + stalls + "]}";
}

struct Seen {  // over all schedules, so that the test can say what it met
  long events = 0, whole = 0, in_part = 0, pushed_back = 0, rematched = 0, pages = 0, late = 0;
} seen;

// One schedule.
struct Run {
  std::mt19937 rng;
  QueryPlanner planner;
  Time now = 0;
  int k;
  std::vector<int> version;  // the hosts' present one
  std::unique_ptr<QueryPlan> plan;
  two_phase::Query query;
  struct Out {
    int round, block;
  };
  std::vector<Out> out;                                     // parts without an answer
  std::map<int, int> waiting;                               // open rounds and their parts out
  std::set<std::tuple<int, std::string, std::string>> got;  // block, version, stall: details in hand
  std::set<int> changed;  // blocks that have answered at another version than their matches'
  int answers = 0;
  Decision last{Decision::Kind::kRunRound};
  Time end = 0;
  bool first_whole = false;

  explicit Run(std::uint32_t seed) : rng(seed), planner(terms()) {}
  bool chance(std::uint32_t one_in) { return rng() % one_in == 0; }
  PlanOptions terms() {
    PlanOptions t;
    t.required_share = chance(2) ? 1 : 0.5, t.min_response_share = t.required_share * (chance(2) ? 1 : 0.5),
    t.allows_partial_response = t.min_response_share < t.required_share;
    t.has_late_value = chance(2), t.max_page_size = 1 + rng() % 8, t.max_fetch_size = 1 + rng() % 5;
    t.max_stalls = 3 + rng() % 200, t.max_rematches_per_block = static_cast<int>(rng() % 4);
    t.learns_time_split = chance(2), t.prunes_by_score = !chance(4);
    return t;
  }

  void check(bool holds, const char* what) {
    if (!holds) RC_FAIL(what);
  }

  void pull() {
    while (const auto d = plan->next_decision(now)) {
      ++seen.events;
      check(answers == 0, "a decision after the final answer");
      if (d->kind != Decision::Kind::kRunRound) {
        ++answers, last = *d;
        continue;
      }
      const Round& r = plan->round(d->round);
      // No send that can't be of use, and the stated budgets kept.
      check(r.time_limit > 0, "a round without time");
      check(now + r.time_limit <= end, "a round beyond the end");
      if (r.kind == RoundKind::kMatch && query.match_budget)
        check(r.time_limit <= *query.match_budget, "the match budget is not kept");
      if (r.kind == RoundKind::kFetch && query.fetch_budget)
        check(r.time_limit <= *query.fetch_budget, "the fetch budget is not kept");
      seen.pages += r.after.has_value();
      if (r.kind == RoundKind::kFetch) {
        const auto ask = nlohmann::json::parse(r.text);
        check(!changed.count(r.blocks[0]), "a fetch by matches known to be out of date");
        for (const std::string id : ask["stalls"])
          check(!got.count({r.blocks[0], ask["version"], id}), "a stall fetched twice");
      }
      for (const int b : r.blocks) {
        out.push_back({d->round, b});
        plan->record_sent(b);
      }
      waiting[d->round] = static_cast<int>(r.blocks.size());
    }
  }

  void end_round(int round, RoundResult how) {
    if (!waiting.erase(round)) return;
    std::erase_if(out, [&](const Out& o) { return o.round == round; });
    if (round == 0) first_whole = how == RoundResult::kComplete;
    plan->record_round_result(now, round, how, 200 * kMs);
  }

  void answer_one() {
    const std::size_t i = rng() % out.size();
    const Out o = out[i];
    const Round& r = plan->round(o.round);
    const auto ask = nlohmann::json::parse(r.text);
    if (chance(8)) ++version[o.block];  // its data change, or a replica answers that has others
    const int v = chance(16) ? std::max(0, version[o.block] - 1) : version[o.block];
    std::string value =
        r.kind == RoundKind::kFetch ? fetch_value(o.block, v, ask) : match_value(o.block, v, ask);
    if (chance(12)) {  // spoilt: cut, or with a byte that isn't its own
      value = chance(2) ? value.substr(0, rng() % value.size()) : "[" + value;
      check(plan->record_value(o.round, o.block, value) != nullptr || plan->has_ended(),
            "a spoilt value is taken");
      return;  // another send may still bring it
    }
    const char* wrong = plan->record_value(o.round, o.block, value);
    if (wrong) return;
    if (r.kind != RoundKind::kFetch && !r.after) changed.erase(o.block);
    if (ask.contains("version") && ask["version"] != std::to_string(v)) changed.insert(o.block);
    if (r.kind == RoundKind::kFetch) {
      const auto said = nlohmann::json::parse(value);
      for (const auto& s : said["stalls"]) got.insert({o.block, std::to_string(v), s["stall"]});
    }
    // What is in hand is of one version a block.
    std::erase_if(got, [&](const auto& g) {
      return r.kind == RoundKind::kFetch && std::get<0>(g) == o.block && std::get<1>(g) != std::to_string(v);
    });
    if (o.round == 0 && now > query.time_left / 2) ++seen.late;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
    // Its end may be told a while after its last value.
    if (--waiting[o.round] == 0 && chance(2)) return end_round(o.round, RoundResult::kComplete);
    if (o.round == 0 && planner.options.required_share < 1 && 2 * (k - waiting[0]) >= k && chance(2))
      end_round(0, RoundResult::kComplete);  // enough are in: the decision module ends it
  }

  void step() {
    switch (rng() % 16) {
      case 0:
        now += static_cast<Time>(rng() % 300) * kMs;
        break;
      case 1:
        if (const Time at = plan->next_wake_up(now); at != kNever)
          check(at > now, "due in the past"), now = at;
        break;
      case 2:
        if (!waiting.empty()) {
          auto it = waiting.begin();
          std::advance(it, rng() % waiting.size());
          const RoundResult ends[] = {RoundResult::kPartial, RoundResult::kRejected, RoundResult::kFailed};
          end_round(it->first, it->second == 0 ? RoundResult::kComplete : ends[rng() % 3]);
        }
        break;
      default:
        now += static_cast<Time>(rng() % 20) * kMs;
        if (!out.empty())
          answer_one();
        else if (!waiting.empty())
          end_round(waiting.begin()->first, RoundResult::kComplete);
    }
    pull();
  }

  // Whole means: the first phase was whole, the block's matches stand for one version each, and what is shown
  // is to the stall what a plain look at all data of these versions gives, each with the detail of its
  // version.
  void check_answer() {
    const QueryReport r = plan->report();
    double in = 0;
    std::vector<std::tuple<double, int, std::string, int>> all;
    for (int b = 0; b < k; ++b) {
      const std::string_view v = plan->version_of(b);
      if (v.empty()) continue;
      in += query.blocks[b].weight;
      const int number = std::atoi(std::string(v).c_str());
      for (const Stall& s : data(b, number)) all.emplace_back(-s.score, b, s.id, number);
    }
    check(in >= planner.options.min_response_share - 0.001, "an answer below the least share");
    std::size_t held = 0;
    plan->for_each_stall(
        [&](int, const std::string&, double, std::string_view d) { held += sizeof(MatchEntry) + d.size(); });
    check(plan->memory_bytes() >= held, "matches and details held are not counted");
    std::sort(all.begin(), all.end());
    const std::size_t most =
        std::min({all.size(), query.limit.value_or(kUnlimited), planner.options.max_stalls});
    std::size_t i = 0;
    bool same = true;
    plan->for_each_stall([&](int block, const std::string& id, double score, std::string_view shown) {
      if (i >= most) {
        same = false;
        return;
      }
      const auto& [minus, b, name, v] = all[i++];
      same = same && block == b && id == name && score == -minus && shown == detail(id, v);
    });
    if (!last.is_complete) return check(!r.incomplete_reasons.empty(), "not whole and no reason given");
    check(first_whole, "whole from an incomplete first phase");
    check(in >= planner.options.required_share - 0.001, "whole from too few blocks");
    check(same && i == most, "a whole answer that isn't what all data give");
    check(r.match.missing == 0 && r.fetch.missing == 0, "whole with something missing");
    if (!query.limit || *query.limit > planner.options.max_stalls)
      check(all.size() <= planner.options.max_stalls, "whole though it was cut to the most");
  }

  void play(int steps) {
    k = 1 + static_cast<int>(rng() % 6);
    version.assign(k, 0);
    for (int b = 0; b < k; ++b) query.blocks.push_back({b, 1.0 / k});
    query.text = "q", query.time_left = static_cast<Time>(5 + rng() % 2000) * kMs;
    if (chance(2)) query.limit = chance(5) ? 0 : rng() % 30;
    if (chance(4)) query.match_budget = static_cast<Time>(1 + rng() % 800) * kMs;
    if (chance(4)) query.fetch_budget = static_cast<Time>(1 + rng() % 800) * kMs;
    // What was learnt before is anything.
    for (std::uint32_t i = rng() % 40; i > 0; --i) {
      planner.split.record_match(1 + rng() % 8, static_cast<Time>(rng() % 500) * kMs);
      planner.split.record_fetch(1 + rng() % 8, static_cast<Time>(rng() % 500) * kMs, chance(2));
    }
    now = static_cast<Time>(rng() % 1000) * kMs;
    plan = std::make_unique<QueryPlan>(planner, query, now);
    end = now + query.time_left;
    pull();
    for (int i = 0; i < steps && answers == 0; ++i) step();
    while (answers == 0) {  // nothing more comes but time
      const Time at = plan->next_wake_up(now);
      check(at > now && at <= end, "neither ended nor waiting until its end");
      now = at;
      pull();
    }
    check(answers == 1, "not one final answer");
    if (last.kind == Decision::Kind::kRespond) check_answer();
    ++(last.kind == Decision::Kind::kReject ? seen.pushed_back
       : last.is_complete                   ? seen.whole
                                            : seen.in_part);
    seen.rematched += plan->report().rematched;
    // Nothing that comes afterwards is needed or does anything.
    check(plan->next_wake_up(now) == kNever, "waits after its end");
    while (!waiting.empty()) end_round(waiting.begin()->first, RoundResult::kFailed);
    now += kSecond;
    pull();
    check(answers == 1, "a second final answer");
  }
};

}  // namespace

int main(int argc, char** argv) {
  const std::string times = argc > 1 ? argv[1] : "1000";
  if (!std::getenv("RC_PARAMS"))
    setenv("RC_PARAMS", ("seed=20261201 max_size=60 max_success=" + times).c_str(), 1);
  const bool held = rc::check("a plan under any order of events", [](std::uint32_t seed) {
    Run run(seed);
    run.play(static_cast<int>(seed % 97));
  });
  std::printf(
      "%ld decisions; whole %ld, in part %ld, pushed back %ld; matched anew %ld, further pages %ld, late "
      "%ld\n",
      seen.events, seen.whole, seen.in_part, seen.pushed_back, seen.rematched, seen.pages, seen.late);
  // A test that never met what it is for can't fail.
  return held && seen.whole > 0 && seen.in_part > 0 && seen.pushed_back > 0 && seen.rematched > 0 &&
                 seen.pages > 0 && seen.late > 0
             ? 0
             : 1;
}
