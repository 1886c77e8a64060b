// Runs plans of two-phase queries through short scenarios. CTest compares the printed decisions with
// tests/traces/plan_NAME.txt.
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "two_phase/query_plan.h"

using namespace cairnhub;
using namespace cairnhub::two_phase;

namespace {

constexpr Time kMs = kSecond / 1000;

struct Scenario {
  QueryPlanner planner;
  std::unique_ptr<QueryPlan> plan;
  Time now = 0;
  Time started_at = 0;
  explicit Scenario(const PlanOptions& t) : planner(t) {}
  static PlanOptions options(double required_share = 1, double min_response_share = 0.5) {
    PlanOptions t;
    t.required_share = required_share;
    t.min_response_share = min_response_share;
    t.allows_partial_response = min_response_share < required_share;
    t.latency_objective = kSecond;
    t.has_late_value = true;
    t.reserved_time = 0;
    t.initial_min_fetch_time = 20 * kMs;
    t.learns_time_split = false;
    return t;
  }
  void start(int blocks, int left_ms, std::optional<std::size_t> limit = {}, int match_ms = 0,
             int fetch_ms = 0) {
    two_phase::Query q;
    for (int b = 0; b < blocks; ++b) q.blocks.push_back({b, 1.0 / blocks});
    q.text = "q";
    q.time_left = left_ms * kMs;
    q.limit = limit;
    if (match_ms) q.match_budget = match_ms * kMs;
    if (fetch_ms) q.fetch_budget = fetch_ms * kMs;
    started_at = now;
    print("ask " + std::to_string(blocks) + " blocks, " + std::to_string(left_ms) + " ms left");
    plan = std::make_unique<QueryPlan>(planner, std::move(q), now);
    run_decisions();
  }
  // Lets time pass, and calls the plan at its wake-ups.
  void advance_to(int ms) {
    for (Time wake_up = plan->next_wake_up(now); wake_up <= started_at + ms * kMs;
         wake_up = plan->next_wake_up(now)) {
      now = wake_up;
      run_decisions("due");
    }
    now = started_at + ms * kMs;
  }
  // Returns a page of a block's matches: stalls named bBLOCK-0, bBLOCK-1, ... with these scores.
  void return_matches(int round, int block, const std::string& version, const std::vector<double>& scores,
                      int total = -1) {
    std::string list;
    for (std::size_t i = 0; i < scores.size(); ++i)
      list += (i ? "," : "") + std::string("[\"b") + std::to_string(block) + "-" + std::to_string(i) + "\"," +
              std::to_string(scores[i]) + "]";
    const std::size_t all = total < 0 ? scores.size() : static_cast<std::size_t>(total);
    return_value(round, block,
                 "{\"version\":\"" + version + "\",\"total\":" + std::to_string(all) + ",\"more\":" +
                     (all > scores.size() ? "true" : "false") + ",\"matches\":[" + list + "]}");
  }
  void return_details(int round, int block, const std::string& version) {
    std::string list;
    for (const auto& s : plan->round(round).stalls)
      list += (list.empty() ? "" : ",") + std::string("{\"stall\":\"") + s + "\",\"detail\":{}}";
    return_value(round, block, "{\"version\":\"" + version + "\",\"stalls\":[" + list + "]}");
  }
  void return_value(int round, int block, const std::string& value) {
    print("block " + std::to_string(block) + " says " + value.substr(0, 60));
    if (const char* error = plan->record_value(round, block, value)) print(std::string("spoilt: ") + error);
    run_decisions();
  }
  void end_round(int round, RoundResult result) {
    static const char* names[] = {"whole", "in part", "pushed back", "failed"};
    print("round " + std::to_string(round) + " ended " + names[static_cast<int>(result)]);
    plan->record_round_result(now, round, result, 300 * kMs);
    run_decisions();
  }

 private:
  void print(const std::string& what) {
    std::printf("%5lld  %s\n", static_cast<long long>((now - started_at) / kMs), what.c_str());
  }
  void run_decisions(const char* why = nullptr) {
    if (why) print(why);
    while (const auto d = plan->next_decision(now)) {
      if (d->kind == Decision::Kind::kReject)
        std::printf("         push back, come back in %lld\n", static_cast<long long>(d->retry_after / kMs));
      if (d->kind == Decision::Kind::kRespond) {
        const QueryReport r = plan->report();
        std::printf("         answer %s:", d->is_complete ? "whole" : "in part");
        for (const char* w : r.incomplete_reasons) std::printf(" %s", w);
        std::printf(" match %d/%d fetch %d/%d\n", r.match.answered, r.match.asked, r.fetch.answered,
                    r.fetch.asked);
      }
      if (d->kind != Decision::Kind::kRunRound) continue;
      const Round& r = plan->round(d->round);
      for (const int b : r.blocks) plan->record_sent(b);
      std::printf("         round %d, %lld ms: %zu blocks, %s\n", d->round,
                  static_cast<long long>(r.time_limit / kMs), r.blocks.size(), r.text.c_str());
    }
  }
};

// The match phase takes nearly all of the time: just enough is left for a fetch, and just too little.
void edge() {
  for (const int at : {980, 981}) {
    Scenario s(Scenario::options());
    s.start(2, 1000, {}, 990);
    s.advance_to(at);
    s.return_matches(0, 0, "1", {5});
    s.return_matches(0, 1, "1", {4});
    s.end_round(0, RoundResult::kComplete);
    if (at == 980) {
      s.return_details(1, 0, "1");
      s.return_details(2, 1, "1");
    }
  }
}

// The match phase has half of the time. Then the fetch starts with the blocks matched so far, and the last
// one may still join.
void cut() {
  Scenario s(Scenario::options());
  s.start(3, 1000);
  s.advance_to(100);
  s.return_matches(0, 0, "1", {5, 3});
  s.return_matches(0, 1, "1", {});
  s.advance_to(600);
  s.return_matches(0, 2, "1", {9});
  s.return_details(1, 0, "1");
  s.end_round(0, RoundResult::kComplete);
  s.return_details(2, 2, "1");
}

// Nothing has matched at the cut-off. There is nothing to fetch, so the plan waits for the late block.
void nothing_yet() {
  Scenario s(Scenario::options());
  s.start(2, 1000);
  s.return_matches(0, 0, "1", {});
  s.advance_to(700);
  s.return_matches(0, 1, "1", {2});
  s.end_round(0, RoundResult::kComplete);
  s.return_details(1, 1, "1");
}

// The match phase isn't cut off where partial responses have no value.
void not_in_part() {
  Scenario s(Scenario::options(1, 1));
  s.start(2, 1000);
  s.return_matches(0, 0, "1", {1});
  s.advance_to(740);  // before the deadline
  s.end_round(0, RoundResult::kRejected);
}

// The client's time limits override the time split and end each phase.
void budgets() {
  Scenario s(Scenario::options());
  s.start(2, 1000, {}, 100, 50);
  s.advance_to(30);
  s.return_matches(0, 0, "1", {1});
  s.advance_to(99);
  s.end_round(0, RoundResult::kPartial);
  s.advance_to(200);
}

// Matches have taken three times as long as fetches, and the time is split accordingly.
void learnt() {
  PlanOptions t = Scenario::options();
  t.learns_time_split = true;
  Scenario s(t);
  for (int i = 1; i <= 10; ++i) {
    s.planner.split.record_match(2, 30 * i * kMs);
    s.planner.split.record_fetch(2, 10 * i * kMs, true);
  }
  s.start(2, 1000);
  s.return_matches(0, 0, "1", {1});
  s.advance_to(751);
  s.return_details(1, 0, "1");
  std::printf("left for a fetch at the least: %lld ms\n",
              static_cast<long long>(s.planner.split.min_fetch_time(2) / kMs));
}

// Best 3: one block needs a further page; no further match of the others can be among them.
void pruned() {
  PlanOptions t = Scenario::options();
  t.max_page_size = 2;
  Scenario s(t);
  s.start(3, 1000, 3);
  s.return_matches(0, 0, "1", {9, 8}, 7);
  s.return_matches(0, 1, "1", {8, 5}, 7);
  s.return_matches(0, 2, "1", {4, 3}, 7);
  s.end_round(0, RoundResult::kComplete);
  s.return_value(1, 0, R"({"version":"1","total":7,"more":true,"matches":[["b0-2",8]]})");
  s.end_round(1, RoundResult::kComplete);
  s.return_details(2, 0, "1");
}

// A block responds with another version each time: it is matched again twice, then no longer counts.
void flips() {
  Scenario s(Scenario::options());
  s.start(2, 1000);
  s.return_matches(0, 0, "1", {1});
  s.return_matches(0, 1, "1", {1});
  s.end_round(0, RoundResult::kComplete);
  s.return_details(2, 1, "1");
  s.return_details(1, 0, "2");
  s.end_round(1, RoundResult::kComplete);
  s.return_matches(3, 0, "3", {2});
  s.end_round(3, RoundResult::kComplete);
  s.return_details(4, 0, "4");
  s.end_round(4, RoundResult::kComplete);
  s.return_matches(5, 0, "5", {3});
  s.end_round(5, RoundResult::kComplete);
  s.return_details(6, 0, "6");
}

// No replica returns the details: the block is matched again, but not if endpoints were overloaded.
void holders_die() {
  for (const RoundResult how : {RoundResult::kFailed, RoundResult::kRejected}) {
    Scenario s(Scenario::options());
    s.start(1, 1000);
    s.return_matches(0, 0, "1", {1});
    s.end_round(0, RoundResult::kComplete);
    s.advance_to(50);
    s.end_round(1, how);
    if (how != RoundResult::kFailed) continue;
    s.return_matches(2, 0, "2", {4});
    s.end_round(2, RoundResult::kComplete);
    s.return_details(3, 0, "2");
  }
}

// None of these invalid values is accepted, or read as "nothing matches".
void spoilt() {
  Scenario s(Scenario::options());
  s.start(1, 1000, 2);
  for (const char* value : {
           "",
           "null",
           "[]",
           "{}",
           R"({"version":"1","total":0,"more":false})",
           R"({"version":"","total":0,"more":false,"matches":[]})",
           R"({"version":1,"total":0,"more":false,"matches":[]})",
           R"({"version":"1","total":-1,"more":false,"matches":[]})",
           R"({"version":"1","total":1,"more":false,"matches":[]})",
           R"({"version":"1","total":3,"more":false,"matches":[["a",2],["b",1]]})",
           R"({"version":"1","total":3,"more":true,"matches":[["a",2]]})",
           R"({"version":"1","total":2,"more":false,"matches":[["a",1],["b",2]]})",
           R"({"version":"1","total":2,"more":false,"matches":[["b",1],["a",1]]})",
           R"({"version":"1","total":2,"more":false,"matches":[["a",1],["a",1]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a","1"]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a",NaN]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a",1e999]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a",null]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a",1,2]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a"]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["",1]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a",1]],"x":1})",
           R"({"version":"1","version":"1","total":1,"more":false,"matches":[["a",1]]})",
           R"({"version":"1","total":1,"more":false,"matches":[["a",1]]} )"
           "x",
           "{\"version\":\"1\",\"total\":1,\"more\":false,\"matches\":[[\"\xff\",1]]}",
       })
    s.return_value(0, 0, value);
  s.return_value(0, 0, R"({"version":"1","total":2,"more":false,"matches":[["a",1e3],["b",-0.5]]})");
  s.end_round(0, RoundResult::kComplete);
  for (const char* value : {
           R"({"version":"1","stalls":[]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"c","detail":{}}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"a","detail":{}}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"b","detail":3}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"b"}]})",
       })
    s.return_value(1, 0, value);
  s.return_value(
      1, 0, R"({"version":"1","stalls":[{"detail":{"x":[1,{}]},"stall":"b"},{"stall":"a","detail":{}}]})");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const std::map<std::string, void (*)()> scenarios = {
      {"edge", edge},
      {"cut", cut},
      {"nothing_yet", nothing_yet},
      {"not_in_part", not_in_part},
      {"budgets", budgets},
      {"learnt", learnt},
      {"pruned", pruned},
      {"flips", flips},
      {"holders_die", holders_die},
      {"spoilt", spoilt},
  };
  const auto it = scenarios.find(argv[1]);
  if (it == scenarios.end()) return 2;
  it->second();
  return 0;
}
