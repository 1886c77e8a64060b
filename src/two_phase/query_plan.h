// Plans one two-phase query: match in every block, merge the matches, fetch the details of the best from the
// blocks that hold them, and decide on one final response.
//
// A QueryPlan neither sends nor waits. Report each event to it with its time; after each group of events call
// next_decision() until it returns none, and call it again at next_wake_up(). The plan asks for *rounds*.
// Each round is a request of its own to the policy (policy/request_policy.h), which alone chooses endpoints,
// retries and rejects. Round 0 asks every block to match, and the request class says which share of them is
// required. A kMatchAgain round asks one block for a further page or to match anew; a kFetch round asks one
// block for the details of its stalls. These rounds have one shard request each, so that a block in trouble
// can't cause the rejection of the others.
//
// Times are nanoseconds on one clock. docs/two-phase.md gives the reasons for this design.
#pragma once
#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "two_phase/host_messages.h"
#include "two_phase/time_split.h"
#include "two_phase/top_k_merge.h"

namespace cairnhub::two_phase {

// The operator's options for the two-phase queries of one request class.
struct PlanOptions {
  // Shares of weight, as in the request class.
  double required_share = 1;
  double min_response_share = 1;
  bool allows_partial_response = false;  // whether a response below `required_share` has any value
  Time latency_objective = kSecond;
  bool has_late_value = false;              // past the latency objective
  Time retry_after = 0;                     // for the client, where the plan rejects the query; 0: no advice
  double initial_match_share = 0.5;         // of the time, until enough durations are known
  Time initial_min_fetch_time = 5'000'000;  // no fetch with less time left, until enough durations are known
  Time reserved_time = 10'000'000;          // kept at the end to write the response
  int max_rematches_per_block = 2;
  double rematch_share = 0.1;        // of the blocks matched, over all queries
  std::size_t max_page_size = 1000;  // matches in one page
  std::size_t max_fetch_size = 200;  // stalls in one fetch request
  std::size_t max_stalls = 10000;    // in one response
  bool learns_time_split = true;     // false: always uses the initial values
  bool prunes_by_score = true;       // false: fetches max_stalls, whatever the query's limit
};

// State that all plans of one request class share: the durations of phases and the budget for rematches.
class QueryPlanner {
 public:
  explicit QueryPlanner(const PlanOptions& initial)
      : options(initial),
        split(initial.initial_match_share, initial.initial_min_fetch_time, initial.learns_time_split),
        initial_options_(initial) {}
  PlanOptions options;
  TimeSplit split;

  // Tightens the options. Plans in progress keep their time limits; the share applies when they respond. A
  // response with the required share is complete, so the least share can't exceed it.
  void limit(Time max_latency_objective, double min_share) {
    options.latency_objective = std::min(initial_options_.latency_objective, max_latency_objective);
    options.min_response_share =
        std::min(initial_options_.required_share, std::max(initial_options_.min_response_share, min_share));
  }

  // Without this budget, every query would rematch blocks whose replicas never agree on a version.
  bool may_rematch() const { return rematch_budget_ >= 1; }
  void record_rematch() { rematch_budget_ -= 1; }
  // Adds to the rematch budget after a complete match round of so many blocks.
  void record_complete_match(std::size_t blocks);

 private:
  PlanOptions initial_options_;
  double rematch_budget_ = 16;
};

// A block that a query asks.
struct QueryBlock {
  int shard;
  double weight;
};
// A client's two-phase query.
struct Query {
  std::vector<QueryBlock> blocks;
  std::string text;                  // passed to endpoints unchanged
  std::optional<std::size_t> limit;  // how many of the best stalls to return; none: all
  Time time_left = 0;
  // Time limits of the phases, if set by the client. They override the time split.
  std::optional<Time> match_budget;
  std::optional<Time> fetch_budget;
};

enum class RoundKind { kMatch, kMatchAgain, kFetch };
// kRejected: nothing of the round was sent.
enum class RoundResult { kComplete, kPartial, kRejected, kFailed };

// One request to the policy, for all blocks or for one.
struct Round {
  Round(RoundKind k, Time limit) : kind(k), time_limit(limit) {}
  RoundKind kind;
  Time time_limit = 0;                // from the decision on
  std::vector<int> blocks;            // indices in Query::blocks: all of them, or one
  std::string text;                   // request body
  std::size_t page_size = 0;          // match rounds
  std::optional<RankPosition> after;  // kMatchAgain: the page after this; none: match anew
  std::set<std::string> stalls;       // to fetch
  bool is_open = true;
};

// What the caller has to do next.
struct Decision {
  enum class Kind { kRunRound, kRespond, kReject };
  Kind kind;
  int round = 0;             // kRunRound
  bool is_complete = false;  // kRespond
  Time retry_after = 0;      // kReject
};

// Statistics of a query, for its response.
struct QueryReport {
  struct Phase {
    int asked = 0;
    int answered = 0;
    int missing = 0;
    bool is_complete = false;
  };
  int blocks = 0;
  int pruned = 0;  // blocks that responded, but have no stall among the best
  int rematched = 0;
  Phase match;
  Phase fetch;
  std::uint64_t matches = 0;  // in the blocks that responded
  std::vector<const char*> incomplete_reasons;
};

// The plan of one query.
class QueryPlan {
 public:
  QueryPlan(QueryPlanner& planner, Query query, Time now);

  // Records the value that a block returned for a round.
  // @return what is wrong with the value, or null if it is accepted
  const char* record_value(int round, int block, std::string_view value);
  // Records that a match request for the block was sent.
  void record_sent(int block) { blocks_[block].is_asked = true; }
  // Records the end of a round.
  // @param retry_after the advice of a rejected round for the client; 0: none
  void record_round_result(Time now, int round, RoundResult result, Time retry_after);

  // The next thing to do, or none until the next event or next_wake_up(). kRespond and kReject end the plan.
  std::optional<Decision> next_decision(Time now);
  Time next_wake_up(Time now) const;  // kNever once the plan has ended
  const QueryBlock& block(int i) const { return query_.blocks[i]; }
  const Round& round(int i) const { return rounds_[i]; }
  std::string take_text(int i) { return std::move(rounds_[i].text); }  // call it once, when the round is sent
  bool has_ended() const { return has_ended_; }

  // The following functions are for the response, after a kRespond decision.

  // The version of a block's matches; empty where the matches don't count.
  std::string_view version_of(int block) const {
    return blocks_[block].counts() ? std::string_view(blocks_[block].list->version) : std::string_view();
  }
  QueryReport report() const;
  // Calls f(shard, id, score, detail) for each stall of the response, best first. The detail is empty if it
  // was not fetched.
  template <class F>
  void for_each_stall(F f) const {
    std::size_t shown = 0;
    for (const RankedMatch& s : top_.matches) {
      if (shown++ >= max_stalls_) break;
      const Block& b = blocks_[s.block];
      const std::string id(b.list->id(s.entry));
      const auto d = b.details_of(b.list->version).find(id);
      f(b.shard, id, b.list->entries[s.entry].score,
        d == b.details_of(b.list->version).end() ? std::string_view() : d->second);
    }
  }
  std::size_t memory_bytes() const { return bytes_; }  // of matches and details, approximately

 private:
  using DetailMap = std::map<std::string, std::string_view>;
  struct Block {
    int shard = 0;
    double weight = 0;
    std::optional<MatchList> list;
    std::string details_version;
    DetailMap details;
    std::vector<std::shared_ptr<const std::string>> values;  // the bytes that `details` refers to
    // Open rounds of this block alone; -1: none.
    int match_round = -1;
    int fetch_round = -1;
    bool is_asked = false;
    bool has_changed = false;  // the list is known to be out of date
    bool needs_rematch = false;
    bool has_lost_details = false;  // no more fetches are tried
    bool has_lost_pages = false;    // no further pages are requested
    int rematches = 0;
    std::vector<std::uint32_t> needed;  // entries among the best

    bool counts() const { return list && !has_changed; }
    const DetailMap& details_of(const std::string& version) const {
      static const DetailMap none;
      return version == details_version ? details : none;
    }
    bool has_all_details() const;
  };

  std::optional<Decision> start_match();
  std::optional<Decision> match_again(Time now);
  std::optional<Decision> fetch(Time now);
  std::optional<Decision> end_query(Time now);
  Decision run_round(Round round);
  void merge_matches();
  bool may_rematch(const Block& b, Time now) const;
  bool is_match_phase_over(Time now) const;
  bool has_open_block_round() const;
  double matched_share() const;
  double min_share() const;  // of weight, below which the query is rejected
  bool is_match_complete() const;
  bool must_reject() const;
  bool has_time_to_fetch(Time now) const;
  std::size_t limit() const {
    return planner_.options.prunes_by_score ? max_stalls_ : planner_.options.max_stalls;
  }
  const char* record_matches(Block& b, const Round& r, std::string_view value);
  const char* record_details(Block& b, const Round& r, std::string_view value);
  Decision match_block(Block& b, std::optional<RankPosition> after, std::size_t page, Time now);
  void update_memory(Block& b, std::size_t before);
  static std::size_t bytes_of(const Block& b);

  QueryPlanner& planner_;
  const Query query_;
  std::vector<Block> blocks_;
  std::vector<Round> rounds_;
  TopMatches top_;
  std::size_t max_stalls_ = 0;  // in the response
  Time started_at_ = 0;
  Time match_cutoff_ = 0;    // from then on the fetch phase may start without the blocks still missing
  Time match_deadline_ = 0;  // matches that come until then still count
  Time deadline_ = 0;
  Time fetch_started_at_ = 0;
  Time fetch_deadline_ = kNever;
  Time retry_after_ = 0;
  bool is_match_open_ = true;
  bool is_match_round_complete_ = false;
  bool needs_merge_ = true;
  bool has_fetch_started_ = false;
  bool has_ended_ = false;
  bool has_no_time_to_fetch_ = false;
  bool is_fetch_rejected_ = false;
  std::size_t bytes_ = 0;
};

}  // namespace cairnhub::two_phase
