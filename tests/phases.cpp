// Runs plans of two-phase queries through random orders of events: values that come late, twice or never,
// data that change between the phases, invalid values, rejections, any time limits. RapidCheck draws the
// schedules and prints its seed; the argument is the number of schedules. The checks say what must hold in
// each.
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

// The data of block `b` at version `v`, best first. Depends on these two alone.
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

// Counts over all schedules. The test fails if a kind of event never occurred.
struct Counts {
  long decisions = 0;
  long complete = 0;
  long partial = 0;
  long rejected = 0;
  long rematched = 0;
  long pages = 0;
  long late = 0;
} counts;

// One schedule.
struct Schedule {
  std::mt19937 rng;
  QueryPlanner planner;
  Time now = 0;
  int k;
  std::vector<int> versions;  // the current one of each block
  std::unique_ptr<QueryPlan> plan;
  two_phase::Query query;
  struct PendingValue {
    int round, block;
  };
  std::vector<PendingValue> pending;  // values not returned yet
  std::map<int, int> open_rounds;     // by round: values pending
  std::set<std::tuple<int, std::string, std::string>>
      details;            // block, version, stall: details the plan holds
  std::set<int> changed;  // blocks that returned another version than that of their matches
  int responses = 0;
  Decision last{Decision::Kind::kRunRound};
  Time deadline = 0;
  bool is_match_complete = false;

  explicit Schedule(std::uint32_t seed) : rng(seed), planner(options()) {}
  bool chance(std::uint32_t one_in) { return rng() % one_in == 0; }
  PlanOptions options() {
    PlanOptions t;
    t.required_share = chance(2) ? 1 : 0.5;
    t.min_response_share = t.required_share * (chance(2) ? 1 : 0.5);
    t.allows_partial_response = t.min_response_share < t.required_share;
    t.has_late_value = chance(2);
    t.max_page_size = 1 + rng() % 8;
    t.max_fetch_size = 1 + rng() % 5;
    t.max_stalls = 3 + rng() % 200;
    t.max_rematches_per_block = static_cast<int>(rng() % 4);
    t.learns_time_split = chance(2);
    t.prunes_by_score = !chance(4);
    return t;
  }

  void check(bool holds, const char* what) {
    if (!holds) RC_FAIL(what);
  }

  void run_decisions() {
    while (const auto d = plan->next_decision(now)) {
      ++counts.decisions;
      check(responses == 0, "a decision after the final answer");
      if (d->kind != Decision::Kind::kRunRound) {
        ++responses;
        last = *d;
        continue;
      }
      const Round& r = plan->round(d->round);
      // No round without use, and none beyond the client's time limits.
      check(r.time_limit > 0, "a round without time");
      check(now + r.time_limit <= deadline, "a round beyond the end");
      if (r.kind == RoundKind::kMatch && query.match_budget)
        check(r.time_limit <= *query.match_budget, "the match budget is not kept");
      if (r.kind == RoundKind::kFetch && query.fetch_budget)
        check(r.time_limit <= *query.fetch_budget, "the fetch budget is not kept");
      counts.pages += r.after.has_value();
      if (r.kind == RoundKind::kFetch) {
        const auto ask = nlohmann::json::parse(r.text);
        check(!changed.count(r.blocks[0]), "a fetch by matches known to be out of date");
        for (const std::string id : ask["stalls"])
          check(!details.count({r.blocks[0], ask["version"], id}), "a stall fetched twice");
      }
      for (const int b : r.blocks) {
        pending.push_back({d->round, b});
        plan->record_sent(b);
      }
      open_rounds[d->round] = static_cast<int>(r.blocks.size());
    }
  }

  void end_round(int round, RoundResult result) {
    if (!open_rounds.erase(round)) return;
    std::erase_if(pending, [&](const PendingValue& o) { return o.round == round; });
    if (round == 0) is_match_complete = result == RoundResult::kComplete;
    plan->record_round_result(now, round, result, 200 * kMs);
  }

  void return_value() {
    const std::size_t i = rng() % pending.size();
    const PendingValue o = pending[i];
    const Round& r = plan->round(o.round);
    const auto ask = nlohmann::json::parse(r.text);
    if (chance(8)) ++versions[o.block];  // the data change, or a replica with other data responds
    const int v = chance(16) ? std::max(0, versions[o.block] - 1) : versions[o.block];
    std::string value =
        r.kind == RoundKind::kFetch ? fetch_value(o.block, v, ask) : match_value(o.block, v, ask);
    if (chance(12)) {  // invalid: cut short, or with an extra byte
      value = chance(2) ? value.substr(0, rng() % value.size()) : "[" + value;
      check(plan->record_value(o.round, o.block, value) != nullptr || plan->has_ended(),
            "a spoilt value is taken");
      return;  // another attempt may still return a valid one
    }
    const char* error = plan->record_value(o.round, o.block, value);
    if (error) return;
    if (r.kind != RoundKind::kFetch && !r.after) changed.erase(o.block);
    if (ask.contains("version") && ask["version"] != std::to_string(v)) changed.insert(o.block);
    if (r.kind == RoundKind::kFetch) {
      const auto said = nlohmann::json::parse(value);
      for (const auto& s : said["stalls"]) details.insert({o.block, std::to_string(v), s["stall"]});
    }
    // The plan holds details of one version for each block.
    std::erase_if(details, [&](const auto& g) {
      return r.kind == RoundKind::kFetch && std::get<0>(g) == o.block && std::get<1>(g) != std::to_string(v);
    });
    if (o.round == 0 && now > query.time_left / 2) ++counts.late;
    pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(i));
    // The end of a round may be reported some time after its last value.
    if (--open_rounds[o.round] == 0 && chance(2)) return end_round(o.round, RoundResult::kComplete);
    if (o.round == 0 && planner.options.required_share < 1 && 2 * (k - open_rounds[0]) >= k && chance(2))
      end_round(0, RoundResult::kComplete);  // the policy ends the round with the required share
  }

  void step() {
    switch (rng() % 16) {
      case 0:
        now += static_cast<Time>(rng() % 300) * kMs;
        break;
      case 1:
        if (const Time at = plan->next_wake_up(now); at != kNever) {
          check(at > now, "due in the past");
          now = at;
        }
        break;
      case 2:
        if (!open_rounds.empty()) {
          auto it = open_rounds.begin();
          std::advance(it, rng() % open_rounds.size());
          const RoundResult ends[] = {RoundResult::kPartial, RoundResult::kRejected, RoundResult::kFailed};
          end_round(it->first, it->second == 0 ? RoundResult::kComplete : ends[rng() % 3]);
        }
        break;
      default:
        now += static_cast<Time>(rng() % 20) * kMs;
        if (!pending.empty())
          return_value();
        else if (!open_rounds.empty())
          end_round(open_rounds.begin()->first, RoundResult::kComplete);
    }
    run_decisions();
  }

  // A complete response requires a complete match phase and one version for each block. Its stalls must equal
  // those that a plain sort of all data at these versions gives, each with the detail of that version.
  void check_response() {
    const QueryReport r = plan->report();
    double matched_share = 0;
    std::vector<std::tuple<double, int, std::string, int>> all;
    for (int b = 0; b < k; ++b) {
      const std::string_view v = plan->version_of(b);
      if (v.empty()) continue;
      matched_share += query.blocks[b].weight;
      const int number = std::atoi(std::string(v).c_str());
      for (const Stall& s : data(b, number)) all.emplace_back(-s.score, b, s.id, number);
    }
    check(matched_share >= planner.options.min_response_share - 0.001, "an answer below the least share");
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
    check(is_match_complete, "whole from an incomplete first phase");
    check(matched_share >= planner.options.required_share - 0.001, "whole from too few blocks");
    check(same && i == most, "a whole answer that isn't what all data give");
    check(r.match.missing == 0 && r.fetch.missing == 0, "whole with something missing");
    if (!query.limit || *query.limit > planner.options.max_stalls)
      check(all.size() <= planner.options.max_stalls, "whole though it was cut to the most");
  }

  void run(int steps) {
    k = 1 + static_cast<int>(rng() % 6);
    versions.assign(k, 0);
    for (int b = 0; b < k; ++b) query.blocks.push_back({b, 1.0 / k});
    query.text = "q";
    query.time_left = static_cast<Time>(5 + rng() % 2000) * kMs;
    if (chance(2)) query.limit = chance(5) ? 0 : rng() % 30;
    if (chance(4)) query.match_budget = static_cast<Time>(1 + rng() % 800) * kMs;
    if (chance(4)) query.fetch_budget = static_cast<Time>(1 + rng() % 800) * kMs;
    // The durations recorded before are arbitrary.
    for (std::uint32_t i = rng() % 40; i > 0; --i) {
      planner.split.record_match(1 + rng() % 8, static_cast<Time>(rng() % 500) * kMs);
      planner.split.record_fetch(1 + rng() % 8, static_cast<Time>(rng() % 500) * kMs, chance(2));
    }
    now = static_cast<Time>(rng() % 1000) * kMs;
    plan = std::make_unique<QueryPlan>(planner, query, now);
    deadline = now + query.time_left;
    run_decisions();
    for (int i = 0; i < steps && responses == 0; ++i) step();
    while (responses == 0) {  // no more events
      const Time at = plan->next_wake_up(now);
      check(at > now && at <= deadline, "neither ended nor waiting until its end");
      now = at;
      run_decisions();
    }
    check(responses == 1, "not one final answer");
    if (last.kind == Decision::Kind::kRespond) check_response();
    ++(last.kind == Decision::Kind::kReject ? counts.rejected
       : last.is_complete                   ? counts.complete
                                            : counts.partial);
    counts.rematched += plan->report().rematched;
    // Events after the end have no effect.
    check(plan->next_wake_up(now) == kNever, "waits after its end");
    while (!open_rounds.empty()) end_round(open_rounds.begin()->first, RoundResult::kFailed);
    now += kSecond;
    run_decisions();
    check(responses == 1, "a second final answer");
  }
};

}  // namespace

int main(int argc, char** argv) {
  const std::string times = argc > 1 ? argv[1] : "1000";
  if (!std::getenv("RC_PARAMS"))
    setenv("RC_PARAMS", ("seed=20261201 max_size=60 max_success=" + times).c_str(), 1);
  const bool held = rc::check("a plan under any order of events", [](std::uint32_t seed) {
    Schedule schedule(seed);
    schedule.run(static_cast<int>(seed % 97));
  });
  std::printf(
      "%ld decisions; whole %ld, in part %ld, pushed back %ld; matched anew %ld, further pages %ld, late "
      "%ld\n",
      counts.decisions, counts.complete, counts.partial, counts.rejected, counts.rematched, counts.pages,
      counts.late);
  // Each kind of event must have occurred, or the checks on it were never run.
  return held && counts.complete > 0 && counts.partial > 0 && counts.rejected > 0 && counts.rematched > 0 &&
                 counts.pages > 0 && counts.late > 0
             ? 0
             : 1;
}
