#include "two_phase/query_plan.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace cairnhub::two_phase {

namespace {

// How far sums of weights may fall short, as in the policy.
constexpr double kWeightSlack = 0.0001;
// The most rematches that the budget accumulates over all queries.
constexpr double kMaxRematchBudget = 64;
constexpr std::size_t kMinPageSize = 32;

// How many matches to request from each block at first. If the best N are spread randomly over k blocks, a
// block holds N/k of them with a standard deviation of about the root of N/k. Adding three deviations leaves
// about one block in a thousand that needs a second page; a skewed distribution costs one more page. The
// minimum is there because a page of some tens of matches costs less than another round trip.
std::size_t first_page_size(std::size_t limit, std::size_t blocks, std::size_t max_page_size) {
  if (limit == kUnlimited) return max_page_size;
  const double mean = static_cast<double>(limit) / static_cast<double>(blocks);
  const auto page = static_cast<std::size_t>(std::ceil(mean + 3 * std::sqrt(mean)));
  return std::min({limit, std::max(page, kMinPageSize), max_page_size});
}

std::string match_text(const std::string& query, std::size_t page, const std::optional<RankPosition>& after,
                       const std::string& version) {
  nlohmann::ordered_json request{{"phase", "match"}, {"query", query}, {"page", page}};
  if (after) {
    request["after"] = {after->id, after->score};
    request["version"] = version;
  }
  return request.dump();
}

std::string fetch_text(const std::string& query, const std::set<std::string>& stalls,
                       const std::string& version) {
  return nlohmann::ordered_json{
      {"phase", "fetch"}, {"query", query}, {"version", version}, {"stalls", stalls}}
      .dump();
}

}  // namespace

void QueryPlanner::record_complete_match(std::size_t blocks) {
  rematch_budget_ =
      std::min(kMaxRematchBudget, rematch_budget_ + options.rematch_share * static_cast<double>(blocks));
}

// ---- Recording of events ----

QueryPlan::QueryPlan(QueryPlanner& planner, Query query, Time now)
    : planner_(planner), query_(std::move(query)), started_at_(now) {
  const PlanOptions& t = planner.options;
  for (const QueryBlock& b : query_.blocks) {
    Block& mine = blocks_.emplace_back();
    mine.shard = b.shard;
    mine.weight = b.weight;
  }
  bytes_ = query_.text.size() + blocks_.size() * (sizeof(Block) + sizeof(Round));
  max_stalls_ = std::min(query_.limit.value_or(t.max_stalls), t.max_stalls);
  const Time all = std::max<Time>(query_.time_left - t.reserved_time, 0);
  deadline_ = now + (t.has_late_value ? all : std::min(all, t.latency_objective));
  // The split is made for the latency objective; later responses still count where the class gives them
  // value.
  const Time split_time = std::min(all, t.latency_objective);
  match_cutoff_ = now + planner.split.match_time(blocks_.size(), split_time);
  match_deadline_ =
      std::max(match_cutoff_, deadline_ - planner.split.typical_fetch_time(blocks_.size(), split_time));
  if (query_.match_budget) {
    match_deadline_ = std::min(now + *query_.match_budget, deadline_);
    match_cutoff_ = match_deadline_;
  }
}

std::size_t QueryPlan::bytes_of(const Block& b) {
  std::size_t n = b.list ? b.list->memory_bytes() : 0;
  for (const auto& v : b.values) n += v->size();
  return n + b.details.size() * 64;
}
void QueryPlan::update_memory(Block& b, std::size_t before) { bytes_ += bytes_of(b) - before; }

const char* QueryPlan::record_value(int round, int block, std::string_view value) {
  if (has_ended_) return nullptr;
  const Round& r = rounds_[round];
  Block& b = blocks_[block];
  const std::size_t before = bytes_of(b);
  const char* error = r.kind == RoundKind::kFetch ? record_details(b, r, value) : record_matches(b, r, value);
  update_memory(b, before);
  return error;
}

const char* QueryPlan::record_matches(Block& b, const Round& r, std::string_view value) {
  MatchList list;
  if (const char* error = parse_match(value, r.page_size, r.after ? &*r.after : nullptr, list)) return error;
  if (!r.after) {
    b.list = std::move(list);
    b.has_changed = false;
    b.needs_rematch = false;
    b.has_lost_details = false;
    b.has_lost_pages = false;
  } else if (list.version != b.list->version) {
    b.has_changed = true;  // between two pages
    b.needs_rematch = true;
  } else {
    MatchList joined = *b.list;
    if (!joined.append_page(list)) return "a further page that doesn't agree with the last";
    b.list = std::move(joined);
  }
  b.match_round = -1;
  needs_merge_ = true;
  return nullptr;
}

const char* QueryPlan::record_details(Block& b, const Round& r, std::string_view value) {
  FetchedDetails d;
  const std::string& version = b.list->version;
  if (const char* error = parse_details(value, r.stalls, version, d)) return error;
  if (d.version != b.details_version) {
    b.details.clear();
    b.values.clear();
    b.details_version = d.version;
  }
  for (const auto& [stall, detail] : d.stalls) b.details[stall] = detail;
  b.values.push_back(d.value);
  // Details of one version must not be combined with matches of another. The details are kept, and count if a
  // rematch finds the block at their version.
  if (d.version != version) {
    b.has_changed = true;
    b.needs_rematch = true;
    needs_merge_ = true;
  }
  b.fetch_round = -1;
  return nullptr;
}

void QueryPlan::record_round_result(Time now, int round, RoundResult result, Time retry_after) {
  Round& r = rounds_[round];
  if (has_ended_ || !std::exchange(r.is_open, false)) return;
  if (r.kind == RoundKind::kMatch) {
    is_match_open_ = false;
    is_match_round_complete_ = result == RoundResult::kComplete;
    if (result == RoundResult::kRejected) retry_after_ = retry_after;
    planner_.split.record_match(blocks_.size(), now - started_at_);
    if (is_match_round_complete_) planner_.record_complete_match(blocks_.size());
    return;
  }
  Block& b = blocks_[r.blocks[0]];
  // The value may have come long before the round's end, and the block's next round may be open already.
  int& open_round = r.kind == RoundKind::kFetch ? b.fetch_round : b.match_round;
  if (open_round != round) return;
  open_round = -1;
  if (r.kind == RoundKind::kFetch) {
    // No replica returned the details. The current replicas may hold other stalls, so the block is matched
    // again; but if nothing was sent because endpoints are overloaded, a rematch would only add to the load.
    is_fetch_rejected_ = is_fetch_rejected_ || result == RoundResult::kRejected;
    (result == RoundResult::kRejected ? b.has_lost_details : b.needs_rematch) = true;
  } else {
    // A block whose list is out of date no longer counts in any case.
    (r.after ? b.has_lost_pages : b.has_lost_details) = true;
  }
}

// ---- Decisions ----

// Recomputes the best matches and which entries of each block are among them. No other function changes
// these.
void QueryPlan::merge_matches() {
  needs_merge_ = false;
  std::vector<const MatchList*> lists;
  for (Block& b : blocks_) {
    lists.push_back(b.counts() ? &*b.list : nullptr);
    b.needed.clear();
  }
  top_ = merge_top_k(lists, limit());
  for (const RankedMatch& s : top_.matches) blocks_[s.block].needed.push_back(s.entry);
}

bool QueryPlan::Block::has_all_details() const {
  if (needed.empty()) return true;
  const DetailMap& in = details_of(list->version);
  return std::all_of(needed.begin(), needed.end(),
                     [&](std::uint32_t e) { return in.count(std::string(list->id(e))) != 0; });
}

double QueryPlan::matched_share() const {
  double sum = 0;
  for (const Block& b : blocks_) sum += b.counts() ? b.weight : 0;
  return sum;
}

double QueryPlan::min_share() const {
  const PlanOptions& t = planner_.options;
  return (t.allows_partial_response ? t.min_response_share : t.required_share) - kWeightSlack;
}

// Too few blocks have matched for a response, and no more can.
bool QueryPlan::must_reject() const {
  return !is_match_open_ && matched_share() < min_share() &&
         std::none_of(blocks_.begin(), blocks_.end(),
                      [](const Block& b) { return b.match_round >= 0 || b.needs_rematch; });
}

// The required share of blocks has matched, and no further page could change the best matches.
bool QueryPlan::is_match_complete() const {
  return is_match_round_complete_ && matched_share() >= planner_.options.required_share - kWeightSlack &&
         top_.unfinished_lists.empty();
}

bool QueryPlan::has_open_block_round() const {
  return std::any_of(blocks_.begin(), blocks_.end(),
                     [](const Block& b) { return b.match_round >= 0 || b.fetch_round >= 0; });
}

// No more matches are expected, or the cut-off has passed and the matches so far suffice for a response.
bool QueryPlan::is_match_phase_over(Time now) const {
  if (has_fetch_started_) return true;
  if (!is_match_open_ && !has_open_block_round()) return true;
  return now >= match_cutoff_ && matched_share() >= min_share() && !top_.matches.empty();
}

bool QueryPlan::has_time_to_fetch(Time now) const {
  std::size_t blocks = 0;
  for (const Block& b : blocks_) blocks += !b.needed.empty();
  const Time by = std::min(
      deadline_, has_fetch_started_ ? fetch_deadline_ : now + query_.fetch_budget.value_or(kNever - now));
  return by - now >= std::max(planner_.split.min_fetch_time(blocks), planner_.options.initial_min_fetch_time);
}

bool QueryPlan::may_rematch(const Block& b, Time now) const {
  const PlanOptions& t = planner_.options;
  const Time needs =
      planner_.split.typical_match_time(1, t.latency_objective) / 2 + planner_.split.min_fetch_time(1);
  return b.rematches < t.max_rematches_per_block && planner_.may_rematch() &&
         std::min(deadline_, fetch_deadline_) - now >= needs;
}

Decision QueryPlan::run_round(Round round) {
  rounds_.push_back(std::move(round));
  return {Decision::Kind::kRunRound, static_cast<int>(rounds_.size()) - 1};
}

std::optional<Decision> QueryPlan::start_match() {
  Round r(RoundKind::kMatch, match_deadline_ - started_at_);
  r.page_size = first_page_size(limit(), blocks_.size(), planner_.options.max_page_size);
  r.text = match_text(query_.text, r.page_size, std::nullopt, "");
  for (std::size_t b = 0; b < blocks_.size(); ++b) r.blocks.push_back(static_cast<int>(b));
  return run_round(std::move(r));
}

Decision QueryPlan::match_block(Block& b, std::optional<RankPosition> after, std::size_t page, Time now) {
  Round r(RoundKind::kMatchAgain, std::min(deadline_, fetch_deadline_) - now);
  b.match_round = static_cast<int>(rounds_.size());
  r.blocks.push_back(static_cast<int>(&b - blocks_.data()));
  r.page_size = std::min(page, planner_.options.max_page_size);
  r.text = match_text(query_.text, r.page_size, after, after ? b.list->version : "");
  r.after = std::move(after);
  return run_round(std::move(r));
}

// Requests further pages that could change the best matches, and rematches blocks that changed or whose
// replicas failed.
std::optional<Decision> QueryPlan::match_again(Time now) {
  for (const UnfinishedList& w : top_.unfinished_lists) {
    Block& b = blocks_[w.block];
    // Waits for the match phase: matches of other blocks may make this block's next page unnecessary.
    if (b.match_round >= 0 || b.has_lost_pages || b.needs_rematch ||
        (is_match_open_ && !is_match_phase_over(now)))
      continue;
    return match_block(b, b.list->last(), w.max_missing, now);
  }
  for (Block& b : blocks_) {
    if (!b.needs_rematch || b.match_round >= 0 || b.fetch_round >= 0) continue;
    b.needs_rematch = false;
    if (!may_rematch(b, now)) {
      b.has_lost_details = true;
      continue;
    }
    ++b.rematches;
    planner_.record_rematch();
    const std::size_t first = first_page_size(limit(), blocks_.size(), planner_.options.max_page_size);
    return match_block(b, std::nullopt, limit() == 0 ? 0 : std::max(first, b.needed.size()), now);
  }
  return std::nullopt;
}

std::optional<Decision> QueryPlan::fetch(Time now) {
  if (!is_match_phase_over(now) || has_no_time_to_fetch_) return std::nullopt;
  for (Block& b : blocks_) {
    if (b.match_round >= 0 || b.fetch_round >= 0 || !b.counts() || b.needs_rematch || b.has_lost_details ||
        b.needed.empty())
      continue;
    const DetailMap& in = b.details_of(b.list->version);
    Round r(RoundKind::kFetch, 0);
    for (const std::uint32_t e : b.needed) {  // skips details fetched before
      if (r.stalls.size() >= planner_.options.max_fetch_size) break;
      std::string id(b.list->id(e));
      if (!in.count(id)) r.stalls.insert(std::move(id));
    }
    if (r.stalls.empty()) continue;
    // A fetch that can't complete in time would only load endpoints that other queries need.
    if (!has_time_to_fetch(now)) {
      has_no_time_to_fetch_ = true;
      return std::nullopt;
    }
    if (!std::exchange(has_fetch_started_, true)) {
      fetch_started_at_ = now;
      if (query_.fetch_budget) fetch_deadline_ = std::min(deadline_, now + *query_.fetch_budget);
    }
    r.time_limit = std::min(deadline_, fetch_deadline_) - now;
    r.blocks.push_back(static_cast<int>(&b - blocks_.data()));
    r.text = fetch_text(query_.text, r.stalls, b.list->version);
    b.fetch_round = static_cast<int>(rounds_.size());
    return run_round(std::move(r));
  }
  return std::nullopt;
}

// Rule 5: the only place that ends the plan. A response is complete only after a complete match phase with
// all details fetched; otherwise the blocks whose matches count must reach the least share.
std::optional<Decision> QueryPlan::end_query(Time now) {
  has_ended_ = true;
  const PlanOptions& t = planner_.options;
  const QueryReport r = report();
  if (has_fetch_started_)
    planner_.split.record_fetch(r.fetch.asked, now - fetch_started_at_, r.fetch.is_complete);
  const bool is_complete = r.incomplete_reasons.empty();
  if (is_complete || matched_share() >= min_share())
    return Decision{Decision::Kind::kRespond, 0, is_complete};
  return Decision{Decision::Kind::kReject, 0, false, retry_after_ > 0 ? retry_after_ : t.retry_after};
}

std::optional<Decision> QueryPlan::next_decision(Time now) {
  if (has_ended_) return std::nullopt;
  if (rounds_.empty() && now < deadline_) return start_match();
  // No decision depends on the merged matches earlier.
  if (needs_merge_ && (!is_match_open_ || now >= match_cutoff_)) merge_matches();
  if (now >= deadline_ || now >= fetch_deadline_ || must_reject()) return end_query(now);
  if (auto d = match_again(now)) return d;
  if (auto d = fetch(now)) return d;
  // A partial response goes out only when no more values can come, or there is no time left to use them.
  if (!has_open_block_round() && (!is_match_open_ || (has_no_time_to_fetch_ && is_match_phase_over(now))))
    return end_query(now);
  return std::nullopt;
}

Time QueryPlan::next_wake_up(Time now) const {
  if (has_ended_) return kNever;
  const Time last = std::min(deadline_, fetch_deadline_);
  return !has_fetch_started_ && now < match_cutoff_ ? std::min(last, match_cutoff_) : last;
}

QueryReport QueryPlan::report() const {
  const PlanOptions& t = planner_.options;
  QueryReport r;
  r.blocks = static_cast<int>(blocks_.size());
  bool changed = false;
  for (const Block& b : blocks_) {
    r.match.asked += b.is_asked;
    r.match.answered += b.counts();
    r.match.missing += b.is_asked && !b.counts();
    r.pruned += b.counts() && b.needed.empty();
    r.rematched += b.rematches;
    r.matches += b.counts() ? b.list->total : 0;
    changed = changed || b.has_changed;
    if (b.needed.empty()) continue;
    ++r.fetch.asked;
    ++(b.has_all_details() ? r.fetch.answered : r.fetch.missing);
  }
  r.match.is_complete = is_match_complete();
  if (is_match_round_complete_ && matched_share() >= t.required_share - kWeightSlack)
    r.match.missing = 0;  // the margin wasn't needed
  r.fetch.is_complete = r.fetch.missing == 0;
  if (!is_match_round_complete_ || matched_share() < t.required_share - kWeightSlack)
    r.incomplete_reasons.push_back("match_incomplete");
  if (changed) r.incomplete_reasons.push_back("block_changed");
  if (!top_.unfinished_lists.empty()) r.incomplete_reasons.push_back("pages_missing");
  if (max_stalls_ < query_.limit.value_or(kUnlimited) && r.matches > max_stalls_)
    r.incomplete_reasons.push_back("more_than_most");
  if (!r.fetch.is_complete)
    r.incomplete_reasons.push_back(has_no_time_to_fetch_ ? "no_time_to_fetch"
                                   : is_fetch_rejected_  ? "fetch_pushed_back"
                                                         : "fetch_incomplete");
  return r;
}

}  // namespace cairnhub::two_phase
