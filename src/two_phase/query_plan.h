// One two-phase multiget: match in every block, prune, fetch from the blocks that matter, one final answer.
//
// A QueryPlan neither sends nor waits. Tell it what comes, each input with its time; after each batch of
// inputs pull next() until there is none, and call again at due(). What it asks for are *rounds*: each is a
// multiget of its own to the decision module (policy/request_policy.h), which alone chooses nodes, rescues
// and pushes back. Round 0 asks every block to match and is decided as its op type states (any n of k, or
// all); a round of kind `again` asks one block for a further page or to match anew, one of kind `fetch` asks
// one for the details of matches. These are of one part each, so that a block in trouble can't have the
// others' pushed back with it.
//
// Times are nanoseconds on one clock. docs/two-phase.md tells what was weighed.
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

// What the operator states of an op type.
struct PlanOptions {
  double required_share = 1, min_response_share = 1;  // shares of weight, as the op type's
  bool allows_partial_response = false;  // whether an answer from fewer blocks than `need` earns anything
  Time latency_objective = kSecond;
  bool has_late_value = false;              // past the latency budget
  Time retry_after = 0;                     // told to one pushed back by the plan; 0 = no advice
  double initial_match_share = 0.5;         // of the time, until enough is known
  Time initial_min_fetch_time = 5'000'000;  // no second phase with less left, until enough is known
  Time reserved_time = 10'000'000;          // kept at the end to write the answer
  int max_rematches_per_block = 2;          // of one block
  double rematch_share = 0.1;               // of the blocks matched, over all multigets
  std::size_t max_page_size = 1000;         // matches in one page
  std::size_t max_fetch_size = 200;         // stalls in one fetch
  std::size_t max_stalls = 10000;           // in one answer
  bool learns_time_split = true, prunes_by_score = true;
};

// What all plans of one op type share: what the phases took, and the credit for matching anew.
class QueryPlanner {
 public:
  explicit QueryPlanner(const PlanOptions& t)
      : options(t), split(t.initial_match_share, t.initial_min_fetch_time, t.learns_time_split), stated_(t) {}
  PlanOptions options;
  TimeSplit split;

  // Holds the plans to less than stated. A plan in hand keeps to the time it was taken with, and to the share
  // that counts when it answers; from the needed share on an answer is whole.
  void limit(Time budget_most, double least) {
    options.latency_objective = std::min(stated_.latency_objective, budget_most);
    options.min_response_share =
        std::min(stated_.required_share, std::max(stated_.min_response_share, least));
  }

  // Danger: blocks whose replicas never agree would be matched without end by every multiget.
  bool may_rematch() const { return saved_ >= 1; }
  void rematched() { saved_ -= 1; }
  void matched_first(std::size_t blocks);

 private:
  PlanOptions stated_;
  double saved_ = 16;
};

struct QueryBlock {
  int shard;
  double weight;
};
struct Query {
  std::vector<QueryBlock> blocks;
  std::string text;                  // goes to hosts unchanged
  std::optional<std::size_t> limit;  // the best N; none: all
  Time time_left = 0;
  std::optional<Time> match_budget, fetch_budget;  // the client's own statement wins
};

enum class RoundKind { kMatch, kMatchAgain, kFetch };
// `pushed_back`: nothing of it was sent.
enum class RoundResult { kComplete, kPartial, kRejected, kFailed };

struct Round {
  Round(RoundKind k, Time limit) : kind(k), time_limit(limit) {}
  RoundKind kind;
  Time time_limit = 0;                // until when its answers are of use, from its decision on
  std::vector<int> blocks;            // places in Query::blocks: all of them, or one
  std::string text;                   // what they are asked
  std::size_t page_size = 0;          // match, again
  std::optional<RankPosition> after;  // again: a further page; none: anew
  std::set<std::string> stalls;       // fetch
  bool is_open = true;
};

struct Decision {
  enum class Kind { kRunRound, kRespond, kReject };
  Kind kind;
  int round = 0;             // ask
  bool is_complete = false;  // answer
  Time retry_after = 0;      // push_back: when to return
};

// For the answer.
struct QueryReport {
  struct Phase {
    int asked = 0, answered = 0, missing = 0;
    bool is_complete = false;
  };
  int blocks = 0, pruned = 0, rematched = 0;
  Phase match, fetch;
  std::uint64_t matches = 0;  // in the blocks that answered
  std::vector<const char*> incomplete_reasons;
};

class QueryPlan {
 public:
  QueryPlan(QueryPlanner& planner, Query query, Time now);

  // Inputs. `came` returns what is wrong with a value, or null where it's taken.
  const char* record_value(int round, int block, std::string_view value);
  void record_sent(int block) { blocks_[block].asked = true; }  // a match of it has gone out
  void record_round_result(Time now, int round, RoundResult how, Time come_back);

  std::optional<Decision> next_decision(Time now);
  Time next_wake_up(Time now) const;  // kNever once ended
  const QueryBlock& block(int i) const { return query_.blocks[i]; }
  const Round& round(int i) const { return rounds_[i]; }
  std::string take_text(int i) { return std::move(rounds_[i].text); }  // once, as it's sent
  bool has_ended() const { return ended_; }

  // Once it has decided to answer.
  // The version that a block's matches stand for; empty where they don't count.
  std::string_view version_of(int block) const {
    return blocks_[block].counts() ? std::string_view(blocks_[block].list->version) : std::string_view();
  }
  QueryReport report() const;
  template <class F>
  void for_each_stall(F f) const {  // best first: block, id, score, detail (empty where it isn't in)
    std::size_t shown = 0;
    for (const RankedMatch& s : ranked_.matches) {
      if (shown++ >= most_) break;
      const Block& b = blocks_[s.block];
      const std::string id(b.list->id(s.entry));
      const auto d = b.details_of(b.list->version).find(id);
      f(b.shard, id, b.list->entries[s.entry].score,
        d == b.details_of(b.list->version).end() ? std::string_view() : d->second);
    }
  }
  std::size_t memory_bytes() const { return bytes_; }  // held: matches and details, about

 private:
  using DetailMap = std::map<std::string, std::string_view>;
  struct Block {
    int shard = 0;
    double weight = 0;
    std::optional<MatchList> list;
    std::string details_version;
    DetailMap details;
    std::vector<std::shared_ptr<const std::string>> values;  // what the details look into
    int match_round = -1, fetch_round = -1;                  // open ones it is in, beside round 0
    bool asked = false;
    bool changed = false;    // the list is known to be out of date
    bool anew = false;       // to be matched again
    bool lost = false;       // its details are given up
    bool page_lost = false;  // its further pages are
    int rematches = 0;
    std::vector<std::uint32_t> needed;  // entries that survive

    bool counts() const { return list && !changed; }
    const DetailMap& details_of(const std::string& version) const {
      static const DetailMap none;
      return version == details_version ? details : none;
    }
    bool all_in() const;
  };

  std::optional<Decision> open_first();
  std::optional<Decision> match_again(Time now);
  std::optional<Decision> fetch(Time now);
  std::optional<Decision> finish(Time now);
  Decision ask(Round round);
  void prune();
  bool may_match_anew(const Block& b, Time now) const;
  bool first_closed(Time now) const;
  bool busy() const;  // rounds beside the first are out
  double share_in() const;
  double least_share() const;  // of weight, under which no answer may be given
  bool first_complete() const;
  bool hopeless() const;
  bool can_finish(Time now) const;
  std::size_t limit() const { return planner_.options.prunes_by_score ? most_ : planner_.options.max_stalls; }
  const char* take_match(Block& b, const Round& r, std::string_view value);
  const char* take_details(Block& b, const Round& r, std::string_view value);
  Decision match_block(Block& b, std::optional<RankPosition> after, std::size_t page, Time now);
  void recount(Block& b, std::size_t before);
  static std::size_t bytes_of(const Block& b);

  QueryPlanner& planner_;
  const Query query_;
  std::vector<Block> blocks_;
  std::vector<Round> rounds_;
  TopMatches ranked_;
  std::size_t most_ = 0;  // stalls in the answer
  Time began_ = 0, cut_ = 0, join_until_ = 0, end_ = 0;
  Time fetch_began_ = 0, fetch_end_ = kNever;
  Time come_back_ = 0;
  bool first_open_ = true, first_whole_ = false, dirty_ = true, fetching_ = false, ended_ = false;
  bool no_time_ = false, fetch_pushed_back_ = false;
  std::size_t bytes_ = 0;
};

}  // namespace cairnhub::two_phase
