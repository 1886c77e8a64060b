#include "two_phase/query_plan.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace cairnhub::two_phase {

namespace {

// Sums of weights may fall this far short, as in the decision module.
constexpr double kWeightSlack = 0.0001;
// Most matches anew that are saved up over all multigets.
constexpr double kRematchMost = 64;
constexpr std::size_t kLeastPage = 32;

// How many of the best N to ask of each block at first. Where the best are spread by chance over k blocks,
// one holds N/k of them, give or take the root of that; three times the root leaves about one block in a
// thousand to be asked for more, and a skewed one costs one page more.
// Least: a page of some tens costs less than a further round trip.
std::size_t first_page(std::size_t limit, std::size_t blocks, std::size_t most) {
  if (limit == kUnlimited) return most;
  const double mean = static_cast<double>(limit) / static_cast<double>(blocks);
  const auto page = static_cast<std::size_t>(std::ceil(mean + 3 * std::sqrt(mean)));
  return std::min({limit, std::max(page, kLeastPage), most});
}

std::string match_text(const std::string& query, std::size_t page, const std::optional<RankPosition>& after,
                       const std::string& version) {
  nlohmann::ordered_json ask{{"phase", "match"}, {"query", query}, {"page", page}};
  if (after) ask["after"] = {after->id, after->score}, ask["version"] = version;
  return ask.dump();
}

std::string fetch_text(const std::string& query, const std::set<std::string>& stalls,
                       const std::string& version) {
  return nlohmann::ordered_json{
      {"phase", "fetch"}, {"query", query}, {"version", version}, {"stalls", stalls}}
      .dump();
}

}  // namespace

void QueryPlanner::matched_first(std::size_t blocks) {
  saved_ = std::min(kRematchMost, saved_ + options.rematch_share * static_cast<double>(blocks));
}

// ---- What is known ----

QueryPlan::QueryPlan(QueryPlanner& planner, Query query, Time now)
    : planner_(planner), query_(std::move(query)), began_(now) {
  const PlanOptions& t = planner.options;
  for (const QueryBlock& b : query_.blocks) {
    Block& mine = blocks_.emplace_back();
    mine.shard = b.shard, mine.weight = b.weight;
  }
  bytes_ = query_.text.size() + blocks_.size() * (sizeof(Block) + sizeof(Round));
  most_ = std::min(query_.limit.value_or(t.max_stalls), t.max_stalls);
  const Time all = std::max<Time>(query_.time_left - t.reserved_time, 0);
  end_ = now + (t.has_late_value ? all : std::min(all, t.latency_objective));
  // The split aims at the latency budget; what comes later still counts where it earns something.
  const Time aim = std::min(all, t.latency_objective);
  cut_ = now + planner.split.match_time(blocks_.size(), aim);
  join_until_ = std::max(cut_, end_ - planner.split.typical_fetch_time(blocks_.size(), aim));
  if (query_.match_budget) cut_ = join_until_ = std::min(now + *query_.match_budget, end_);
}

std::size_t QueryPlan::bytes_of(const Block& b) {
  std::size_t n = b.list ? b.list->bytes() : 0;
  for (const auto& v : b.values) n += v->size();
  return n + b.details.size() * 64;
}
void QueryPlan::recount(Block& b, std::size_t before) { bytes_ += bytes_of(b) - before; }

const char* QueryPlan::record_value(int round, int block, std::string_view value) {
  if (ended_) return nullptr;
  const Round& r = rounds_[round];
  Block& b = blocks_[block];
  const std::size_t before = bytes_of(b);
  const char* wrong = r.kind == RoundKind::kFetch ? take_details(b, r, value) : take_match(b, r, value);
  recount(b, before);
  return wrong;
}

const char* QueryPlan::take_match(Block& b, const Round& r, std::string_view value) {
  MatchList list;
  if (const char* wrong = parse_match(value, r.page_size, r.after ? &*r.after : nullptr, list)) return wrong;
  if (!r.after) {
    b.list = std::move(list);
    b.changed = b.anew = b.lost = b.page_lost = false;
  } else if (list.version != b.list->version) {
    b.changed = b.anew = true;  // it changed between its pages
  } else {
    MatchList joined = *b.list;
    if (!joined.append_page(list)) return "a further page that doesn't agree with the last";
    b.list = std::move(joined);
  }
  b.match_round = -1;
  return dirty_ = true, nullptr;
}

const char* QueryPlan::take_details(Block& b, const Round& r, std::string_view value) {
  FetchedDetails d;
  const std::string& version = b.list->version;
  if (const char* wrong = parse_details(value, r.stalls, version, d)) return wrong;
  if (d.version != b.details_version) b.details.clear(), b.values.clear(), b.details_version = d.version;
  for (const auto& [stall, detail] : d.stalls) b.details[stall] = detail;
  b.values.push_back(d.value);
  // Danger: details of one version put behind matches of another. What came counts if the block, matched
  // again, is found at that version.
  if (d.version != version) b.changed = b.anew = dirty_ = true;
  b.fetch_round = -1;
  return nullptr;
}

void QueryPlan::record_round_result(Time now, int round, RoundResult how, Time come_back) {
  Round& r = rounds_[round];
  if (ended_ || !std::exchange(r.is_open, false)) return;
  if (r.kind == RoundKind::kMatch) {
    first_open_ = false;
    first_whole_ = how == RoundResult::kComplete;
    if (how == RoundResult::kRejected) come_back_ = come_back;
    planner_.split.record_match(blocks_.size(), now - began_);
    if (first_whole_) planner_.matched_first(blocks_.size());
    return;
  }
  Block& b = blocks_[r.blocks[0]];
  // Its value may have come long before, and the next round of its block be out.
  int& out = r.kind == RoundKind::kFetch ? b.fetch_round : b.match_round;
  if (out != round) return;
  out = -1;
  if (r.kind == RoundKind::kFetch) {
    // No holder gave them. Those it has now may know other stalls; but where nothing was sent, as nodes have
    // too much to do, matching again would only add to that.
    fetch_pushed_back_ = fetch_pushed_back_ || how == RoundResult::kRejected;
    (how == RoundResult::kRejected ? b.lost : b.anew) = true;
  } else {
    (r.after ? b.page_lost : b.lost) = true;  // one known to have changed isn't counted any more
  }
}

// ---- What follows ----

// The pruned set, computed anew here alone whenever what it stands on has changed.
void QueryPlan::prune() {
  dirty_ = false;
  std::vector<const MatchList*> lists;
  for (Block& b : blocks_) {
    lists.push_back(b.counts() ? &*b.list : nullptr);
    b.needed.clear();
  }
  ranked_ = merge_top_k(lists, limit());
  for (const RankedMatch& s : ranked_.matches) blocks_[s.block].needed.push_back(s.entry);
}

bool QueryPlan::Block::all_in() const {
  if (needed.empty()) return true;
  const DetailMap& in = details_of(list->version);
  return std::all_of(needed.begin(), needed.end(),
                     [&](std::uint32_t e) { return in.count(std::string(list->id(e))) != 0; });
}

double QueryPlan::share_in() const {
  double sum = 0;
  for (const Block& b : blocks_) sum += b.counts() ? b.weight : 0;
  return sum;
}

double QueryPlan::least_share() const {
  const PlanOptions& t = planner_.options;
  return (t.allows_partial_response ? t.min_response_share : t.required_share) - kWeightSlack;
}

// Too few blocks have matched, and no more will: whatever is fetched, no answer may be given.
bool QueryPlan::hopeless() const {
  return !first_open_ && share_in() < least_share() &&
         std::none_of(blocks_.begin(), blocks_.end(),
                      [](const Block& b) { return b.match_round >= 0 || b.anew; });
}

// Every block that the op type needs has matched, and no unseen match of theirs could enter the answer.
bool QueryPlan::first_complete() const {
  return first_whole_ && share_in() >= planner_.options.required_share - kWeightSlack &&
         ranked_.unfinished_lists.empty();
}

bool QueryPlan::busy() const {
  return std::any_of(blocks_.begin(), blocks_.end(),
                     [](const Block& b) { return b.match_round >= 0 || b.fetch_round >= 0; });
}

// The first phase is over: nothing more is expected of it, or its time is up and what is in may be answered.
bool QueryPlan::first_closed(Time now) const {
  if (fetching_) return true;
  if (!first_open_ && !busy()) return true;
  return now >= cut_ && share_in() >= least_share() && !ranked_.matches.empty();
}

bool QueryPlan::can_finish(Time now) const {
  std::size_t blocks = 0;
  for (const Block& b : blocks_) blocks += !b.needed.empty();
  const Time by = std::min(end_, fetching_ ? fetch_end_ : now + query_.fetch_budget.value_or(kNever - now));
  return by - now >= std::max(planner_.split.min_fetch_time(blocks), planner_.options.initial_min_fetch_time);
}

bool QueryPlan::may_match_anew(const Block& b, Time now) const {
  const PlanOptions& t = planner_.options;
  const Time needs =
      planner_.split.typical_match_time(1, t.latency_objective) / 2 + planner_.split.min_fetch_time(1);
  return b.rematches < t.max_rematches_per_block && planner_.may_rematch() &&
         std::min(end_, fetch_end_) - now >= needs;
}

Decision QueryPlan::ask(Round round) {
  rounds_.push_back(std::move(round));
  return {Decision::Kind::kRunRound, static_cast<int>(rounds_.size()) - 1};
}

std::optional<Decision> QueryPlan::open_first() {
  Round r(RoundKind::kMatch, join_until_ - began_);
  r.page_size = first_page(limit(), blocks_.size(), planner_.options.max_page_size);
  r.text = match_text(query_.text, r.page_size, std::nullopt, "");
  for (std::size_t b = 0; b < blocks_.size(); ++b) r.blocks.push_back(static_cast<int>(b));
  return ask(std::move(r));
}

Decision QueryPlan::match_block(Block& b, std::optional<RankPosition> after, std::size_t page, Time now) {
  Round r(RoundKind::kMatchAgain, std::min(end_, fetch_end_) - now);
  b.match_round = static_cast<int>(rounds_.size());
  r.blocks.push_back(static_cast<int>(&b - blocks_.data()));
  r.page_size = std::min(page, planner_.options.max_page_size);
  r.text = match_text(query_.text, r.page_size, after, after ? b.list->version : "");
  r.after = std::move(after);
  return ask(std::move(r));
}

// Further pages that could still enter the answer, and blocks that changed or lost their holders.
std::optional<Decision> QueryPlan::match_again(Time now) {
  for (const UnfinishedList& w : ranked_.unfinished_lists) {
    Block& b = blocks_[w.block];
    // Not before the first phase has said all: what others match may push this block's unseen ones out.
    if (b.match_round >= 0 || b.page_lost || b.anew || (first_open_ && !first_closed(now))) continue;
    return match_block(b, b.list->last(), w.max_missing, now);
  }
  for (Block& b : blocks_) {
    if (!b.anew || b.match_round >= 0 || b.fetch_round >= 0) continue;
    b.anew = false;
    if (!may_match_anew(b, now)) {
      b.lost = true;
      continue;
    }
    ++b.rematches, planner_.rematched();
    const std::size_t first = first_page(limit(), blocks_.size(), planner_.options.max_page_size);
    return match_block(b, std::nullopt, limit() == 0 ? 0 : std::max(first, b.needed.size()), now);
  }
  return std::nullopt;
}

std::optional<Decision> QueryPlan::fetch(Time now) {
  if (!first_closed(now) || no_time_) return std::nullopt;
  for (Block& b : blocks_) {
    if (b.match_round >= 0 || b.fetch_round >= 0 || !b.counts() || b.anew || b.lost || b.needed.empty())
      continue;
    const DetailMap& in = b.details_of(b.list->version);
    Round r(RoundKind::kFetch, 0);
    for (const std::uint32_t e : b.needed) {  // what is in already isn't fetched twice
      if (r.stalls.size() >= planner_.options.max_fetch_size) break;
      std::string id(b.list->id(e));
      if (!in.count(id)) r.stalls.insert(std::move(id));
    }
    if (r.stalls.empty()) continue;
    // Danger: work for a second phase that can't finish, at hosts that others wait for.
    if (!can_finish(now)) return no_time_ = true, std::nullopt;
    if (!std::exchange(fetching_, true)) {
      fetch_began_ = now;
      if (query_.fetch_budget) fetch_end_ = std::min(end_, now + *query_.fetch_budget);
    }
    r.time_limit = std::min(end_, fetch_end_) - now;
    r.blocks.push_back(static_cast<int>(&b - blocks_.data()));
    r.text = fetch_text(query_.text, r.stalls, b.list->version);
    b.fetch_round = static_cast<int>(rounds_.size());
    return ask(std::move(r));
  }
  return std::nullopt;
}

// Rule 5: the one place that ends it. Whole only from a complete first phase all of whose survivors are in;
// otherwise an answer only from the least share, counted by blocks whose matches stand.
std::optional<Decision> QueryPlan::finish(Time now) {
  ended_ = true;
  const PlanOptions& t = planner_.options;
  const QueryReport r = report();
  if (fetching_) planner_.split.record_fetch(r.fetch.asked, now - fetch_began_, r.fetch.is_complete);
  const bool whole = r.incomplete_reasons.empty();
  if (whole || share_in() >= least_share()) return Decision{Decision::Kind::kRespond, 0, whole};
  return Decision{Decision::Kind::kReject, 0, false, come_back_ > 0 ? come_back_ : t.retry_after};
}

std::optional<Decision> QueryPlan::next_decision(Time now) {
  if (ended_) return std::nullopt;
  if (rounds_.empty() && now < end_) return open_first();
  if (dirty_ && (!first_open_ || now >= cut_)) prune();  // before, nothing hangs on it
  if (now >= end_ || now >= fetch_end_ || hopeless()) return finish(now);
  if (auto d = match_again(now)) return d;
  if (auto d = fetch(now)) return d;
  // Less than whole goes out only when nothing more can come, or nothing more could be done with it.
  if (!busy() && (!first_open_ || (no_time_ && first_closed(now)))) return finish(now);
  return std::nullopt;
}

Time QueryPlan::next_wake_up(Time now) const {
  if (ended_) return kNever;
  const Time last = std::min(end_, fetch_end_);
  return !fetching_ && now < cut_ ? std::min(last, cut_) : last;
}

QueryReport QueryPlan::report() const {
  const PlanOptions& t = planner_.options;
  QueryReport r;
  r.blocks = static_cast<int>(blocks_.size());
  bool changed = false;
  for (const Block& b : blocks_) {
    r.match.asked += b.asked;
    r.match.answered += b.counts();
    r.match.missing += b.asked && !b.counts();
    r.pruned += b.counts() && b.needed.empty();
    r.rematched += b.rematches;
    r.matches += b.counts() ? b.list->total : 0;
    changed = changed || b.changed;
    if (b.needed.empty()) continue;
    ++r.fetch.asked;
    ++(b.all_in() ? r.fetch.answered : r.fetch.missing);
  }
  r.match.is_complete = first_complete();
  if (first_whole_ && share_in() >= t.required_share - kWeightSlack)
    r.match.missing = 0;  // the surplus wasn't needed
  r.fetch.is_complete = r.fetch.missing == 0;
  if (!first_whole_ || share_in() < t.required_share - kWeightSlack)
    r.incomplete_reasons.push_back("match_incomplete");
  if (changed) r.incomplete_reasons.push_back("block_changed");
  if (!ranked_.unfinished_lists.empty()) r.incomplete_reasons.push_back("pages_missing");
  if (most_ < query_.limit.value_or(kUnlimited) && r.matches > most_)
    r.incomplete_reasons.push_back("more_than_most");
  if (!r.fetch.is_complete)
    r.incomplete_reasons.push_back(no_time_             ? "no_time_to_fetch"
                                   : fetch_pushed_back_ ? "fetch_pushed_back"
                                                        : "fetch_incomplete");
  return r;
}

}  // namespace cairnhub::two_phase
