// Plans of two-phase multigets told small stories; CTest diffs the decisions with tests/traces/plan_NAME.txt.
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

struct Story {
  QueryPlanner planner;
  std::unique_ptr<QueryPlan> plan;
  Time now = 0, began = 0;
  explicit Story(const PlanOptions& t) : planner(t) {}
  static PlanOptions terms(double need = 1, double least = 0.5) {
    PlanOptions t;
    t.required_share = need, t.min_response_share = least, t.allows_partial_response = least < need,
    t.latency_objective = kSecond, t.has_late_value = true;
    t.reserved_time = 0, t.initial_min_fetch_time = 20 * kMs, t.learns_time_split = false;
    return t;
  }
  void asks(int blocks, int left_ms, std::optional<std::size_t> limit = {}, int match_ms = 0,
            int fetch_ms = 0) {
    two_phase::Query q;
    for (int b = 0; b < blocks; ++b) q.blocks.push_back({b, 1.0 / blocks});
    q.text = "q", q.time_left = left_ms * kMs, q.limit = limit;
    if (match_ms) q.match_budget = match_ms * kMs;
    if (fetch_ms) q.fetch_budget = fetch_ms * kMs;
    began = now;
    say("ask " + std::to_string(blocks) + " blocks, " + std::to_string(left_ms) + " ms left");
    plan = std::make_unique<QueryPlan>(planner, std::move(q), now);
    pull();
  }
  void at(int ms) {  // time passes; the plan is called when it's due
    for (Time due = plan->next_wake_up(now); due <= began + ms * kMs; due = plan->next_wake_up(now))
      now = due, pull("due");
    now = began + ms * kMs;
  }
  // A page of a block's matches at a version: stalls named NAME0.. with these scores.
  void matched(int round, int block, const std::string& version, const std::vector<double>& scores,
               int total = -1) {
    std::string list;
    for (std::size_t i = 0; i < scores.size(); ++i)
      list += (i ? "," : "") + std::string("[\"b") + std::to_string(block) + "-" + std::to_string(i) + "\"," +
              std::to_string(scores[i]) + "]";
    const std::size_t all = total < 0 ? scores.size() : static_cast<std::size_t>(total);
    came(round, block,
         "{\"version\":\"" + version + "\",\"total\":" + std::to_string(all) +
             ",\"more\":" + (all > scores.size() ? "true" : "false") + ",\"matches\":[" + list + "]}");
  }
  void fetched(int round, int block, const std::string& version) {
    std::string list;
    for (const auto& s : plan->round(round).stalls)
      list += (list.empty() ? "" : ",") + std::string("{\"stall\":\"") + s + "\",\"detail\":{}}";
    came(round, block, "{\"version\":\"" + version + "\",\"stalls\":[" + list + "]}");
  }
  void came(int round, int block, const std::string& value) {
    say("block " + std::to_string(block) + " says " + value.substr(0, 60));
    if (const char* wrong = plan->record_value(round, block, value)) say(std::string("spoilt: ") + wrong);
    pull();
  }
  void ended(int round, RoundResult how) {
    static const char* names[] = {"whole", "in part", "pushed back", "failed"};
    say("round " + std::to_string(round) + " ended " + names[static_cast<int>(how)]);
    plan->record_round_result(now, round, how, 300 * kMs);
    pull();
  }

 private:
  void say(const std::string& what) {
    std::printf("%5lld  %s\n", static_cast<long long>((now - began) / kMs), what.c_str());
  }
  void pull(const char* why = nullptr) {
    if (why) say(why);
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

void edge() {  // the first phase takes nearly all: just enough left for a second one, and just not
  for (const int at : {980, 981}) {
    Story s(Story::terms());
    s.asks(2, 1000, {}, 990);
    s.at(at);
    s.matched(0, 0, "1", {5});
    s.matched(0, 1, "1", {4});
    s.ended(0, RoundResult::kComplete);
    if (at == 980) s.fetched(1, 0, "1"), s.fetched(2, 1, "1");
  }
}

void cut() {  // half of the time is the first phase's; then what is in goes on, and the last one may join
  Story s(Story::terms());
  s.asks(3, 1000);
  s.at(100);
  s.matched(0, 0, "1", {5, 3});
  s.matched(0, 1, "1", {});
  s.at(600);
  s.matched(0, 2, "1", {9});
  s.fetched(1, 0, "1");
  s.ended(0, RoundResult::kComplete);
  s.fetched(2, 2, "1");
}

void nothing_yet() {  // at the cut nothing matched: no second phase to hurry for, so the late one is waited
                      // for
  Story s(Story::terms());
  s.asks(2, 1000);
  s.matched(0, 0, "1", {});
  s.at(700);
  s.matched(0, 1, "1", {2});
  s.ended(0, RoundResult::kComplete);
  s.fetched(1, 1, "1");
}

void not_in_part() {  // an op type whose partial answers earn nothing isn't cut
  Story s(Story::terms(1, 1));
  s.asks(2, 1000);
  s.matched(0, 0, "1", {1});
  s.at(740);  // not before its end
  s.ended(0, RoundResult::kRejected);
}

void budgets() {  // the client's own statement wins, and ends each phase
  Story s(Story::terms());
  s.asks(2, 1000, {}, 100, 50);
  s.at(30);
  s.matched(0, 0, "1", {1});
  s.at(99);
  s.ended(0, RoundResult::kPartial);
  s.at(200);
}

void learnt() {  // matches take three times what fetches take: so the time is split
  PlanOptions t = Story::terms();
  t.learns_time_split = true;
  Story s(t);
  for (int i = 1; i <= 10; ++i)
    s.planner.split.record_match(2, 30 * i * kMs), s.planner.split.record_fetch(2, 10 * i * kMs, true);
  s.asks(2, 1000);
  s.matched(0, 0, "1", {1});
  s.at(751);
  s.fetched(1, 0, "1");
  std::printf("left for a fetch at the least: %lld ms\n",
              static_cast<long long>(s.planner.split.min_fetch_time(2) / kMs));
}

void pruned() {  // the best 3: one block needs a further page, the others' unseen ones can't enter
  PlanOptions t = Story::terms();
  t.max_page_size = 2;
  Story s(t);
  s.asks(3, 1000, 3);
  s.matched(0, 0, "1", {9, 8}, 7);
  s.matched(0, 1, "1", {8, 5}, 7);
  s.matched(0, 2, "1", {4, 3}, 7);
  s.ended(0, RoundResult::kComplete);
  s.came(1, 0, R"({"version":"1","total":7,"more":true,"matches":[["b0-2",8]]})");
  s.ended(1, RoundResult::kComplete);
  s.fetched(2, 0, "1");
}

void flips() {  // a block that answers by another version each time: two matches anew, then not counted
  Story s(Story::terms());
  s.asks(2, 1000);
  s.matched(0, 0, "1", {1});
  s.matched(0, 1, "1", {1});
  s.ended(0, RoundResult::kComplete);
  s.fetched(2, 1, "1");
  s.fetched(1, 0, "2");
  s.ended(1, RoundResult::kComplete);
  s.matched(3, 0, "3", {2});
  s.ended(3, RoundResult::kComplete);
  s.fetched(4, 0, "4");
  s.ended(4, RoundResult::kComplete);
  s.matched(5, 0, "5", {3});
  s.ended(5, RoundResult::kComplete);
  s.fetched(6, 0, "6");
}

void holders_die() {  // no holder gives the details: matched anew; where nodes had too much to do: not
  for (const RoundResult how : {RoundResult::kFailed, RoundResult::kRejected}) {
    Story s(Story::terms());
    s.asks(1, 1000);
    s.matched(0, 0, "1", {1});
    s.ended(0, RoundResult::kComplete);
    s.at(50);
    s.ended(1, how);
    if (how != RoundResult::kFailed) continue;
    s.matched(2, 0, "2", {4});
    s.ended(2, RoundResult::kComplete);
    s.fetched(3, 0, "2");
  }
}

void spoilt() {  // none of these is a match, and none stands for "nothing matches"
  Story s(Story::terms());
  s.asks(1, 1000, 2);
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
    s.came(0, 0, value);
  s.came(0, 0, R"({"version":"1","total":2,"more":false,"matches":[["a",1e3],["b",-0.5]]})");
  s.ended(0, RoundResult::kComplete);
  for (const char* value : {
           R"({"version":"1","stalls":[]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"c","detail":{}}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"a","detail":{}}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"b","detail":3}]})",
           R"({"version":"1","stalls":[{"stall":"a","detail":{}},{"stall":"b"}]})",
       })
    s.came(1, 0, value);
  s.came(1, 0, R"({"version":"1","stalls":[{"detail":{"x":[1,{}]},"stall":"b"},{"stall":"a","detail":{}}]})");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const std::map<std::string, void (*)()> stories = {
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
  const auto it = stories.find(argv[1]);
  if (it == stories.end()) return 2;
  it->second();
  return 0;
}
