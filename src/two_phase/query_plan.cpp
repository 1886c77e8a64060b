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
  if (limit == kAll) return most;
  const double mean = static_cast<double>(limit) / static_cast<double>(blocks);
  const auto page = static_cast<std::size_t>(std::ceil(mean + 3 * std::sqrt(mean)));
  return std::min({limit, std::max(page, kLeastPage), most});
}

std::string match_text(const std::string& query, std::size_t page, const std::optional<Place>& after,
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

void Planner::matched_first(std::size_t blocks) {
  saved_ = std::min(kRematchMost, saved_ + terms.rematch_share * static_cast<double>(blocks));
}

// ---- What is known ----

Plan::Plan(Planner& planner, Query query, Time now)
    : planner_(planner), query_(std::move(query)), began_(now) {
  const Terms& t = planner.terms;
  for (const BlockAsked& b : query_.blocks) {
    Block& mine = blocks_.emplace_back();
    mine.shard = b.shard, mine.weight = b.weight;
  }
  bytes_ = query_.text.size() + blocks_.size() * (sizeof(Block) + sizeof(Round));
  most_ = std::min(query_.limit.value_or(t.stalls_most), t.stalls_most);
  const Time all = std::max<Time>(query_.left - t.spare, 0);
  end_ = now + (t.late_earns ? all : std::min(all, t.latency_budget));
  // The split aims at the latency budget; what comes later still counts where it earns something.
  const Time aim = std::min(all, t.latency_budget);
  cut_ = now + planner.split.first_share(blocks_.size(), aim);
  join_until_ = std::max(cut_, end_ - planner.split.usual_fetch(blocks_.size(), aim));
  if (query_.match_budget) cut_ = join_until_ = std::min(now + *query_.match_budget, end_);
}

std::size_t Plan::bytes_of(const Block& b) {
  std::size_t n = b.list ? b.list->bytes() : 0;
  for (const auto& v : b.values) n += v->size();
  return n + b.details.size() * 64;
}
void Plan::recount(Block& b, std::size_t before) { bytes_ += bytes_of(b) - before; }

const char* Plan::came(int round, int block, std::string_view value) {
  if (ended_) return nullptr;
  const Round& r = rounds_[round];
  Block& b = blocks_[block];
  const std::size_t before = bytes_of(b);
  const char* wrong = r.kind == RoundKind::fetch ? take_details(b, r, value) : take_match(b, r, value);
  recount(b, before);
  return wrong;
}

const char* Plan::take_match(Block& b, const Round& r, std::string_view value) {
  MatchList list;
  if (const char* wrong = read_match(value, r.page, r.after ? &*r.after : nullptr, list)) return wrong;
  if (!r.after) {
    b.list = std::move(list);
    b.changed = b.anew = b.lost = b.page_lost = false;
  } else if (list.version != b.list->version) {
    b.changed = b.anew = true;  // it changed between its pages
  } else {
    MatchList joined = *b.list;
    if (!joined.join(list)) return "a further page that doesn't agree with the last";
    b.list = std::move(joined);
  }
  b.match_round = -1;
  return dirty_ = true, nullptr;
}

const char* Plan::take_details(Block& b, const Round& r, std::string_view value) {
  Details d;
  const std::string& version = b.list->version;
  if (const char* wrong = read_details(value, r.stalls, version, d)) return wrong;
  if (d.version != b.details_version) b.details.clear(), b.values.clear(), b.details_version = d.version;
  for (const auto& [stall, detail] : d.stalls) b.details[stall] = detail;
  b.values.push_back(d.value);
  // Danger: details of one version put behind matches of another. What came counts if the block, matched
  // again, is found at that version.
  if (d.version != version) b.changed = b.anew = dirty_ = true;
  b.fetch_round = -1;
  return nullptr;
}

void Plan::round_ended(Time now, int round, RoundEnd how, Time come_back) {
  Round& r = rounds_[round];
  if (ended_ || !std::exchange(r.open, false)) return;
  if (r.kind == RoundKind::match) {
    first_open_ = false;
    first_whole_ = how == RoundEnd::whole;
    if (how == RoundEnd::pushed_back) come_back_ = come_back;
    planner_.split.match_took(blocks_.size(), now - began_);
    if (first_whole_) planner_.matched_first(blocks_.size());
    return;
  }
  Block& b = blocks_[r.blocks[0]];
  // Its value may have come long before, and the next round of its block be out.
  int& out = r.kind == RoundKind::fetch ? b.fetch_round : b.match_round;
  if (out != round) return;
  out = -1;
  if (r.kind == RoundKind::fetch) {
    // No holder gave them. Those it has now may know other stalls; but where nothing was sent, as nodes have
    // too much to do, matching again would only add to that.
    fetch_pushed_back_ = fetch_pushed_back_ || how == RoundEnd::pushed_back;
    (how == RoundEnd::pushed_back ? b.lost : b.anew) = true;
  } else {
    (r.after ? b.page_lost : b.lost) = true;  // one known to have changed isn't counted any more
  }
}

// ---- What follows ----

// The pruned set, computed anew here alone whenever what it stands on has changed.
void Plan::prune() {
  dirty_ = false;
  std::vector<const MatchList*> lists;
  for (Block& b : blocks_) {
    lists.push_back(b.counts() ? &*b.list : nullptr);
    b.needed.clear();
  }
  ranked_ = rank(lists, limit());
  for (const Survivor& s : ranked_.survivors) blocks_[s.block].needed.push_back(s.entry);
}

bool Plan::Block::all_in() const {
  if (needed.empty()) return true;
  const DetailMap& in = details_of(list->version);
  return std::all_of(needed.begin(), needed.end(),
                     [&](std::uint32_t e) { return in.count(std::string(list->id(e))) != 0; });
}

double Plan::share_in() const {
  double sum = 0;
  for (const Block& b : blocks_) sum += b.counts() ? b.weight : 0;
  return sum;
}

double Plan::least_share() const {
  const Terms& t = planner_.terms;
  return (t.partial ? t.least : t.need) - kWeightSlack;
}

// Too few blocks have matched, and no more will: whatever is fetched, no answer may be given.
bool Plan::hopeless() const {
  return !first_open_ && share_in() < least_share() &&
         std::none_of(blocks_.begin(), blocks_.end(),
                      [](const Block& b) { return b.match_round >= 0 || b.anew; });
}

// Every block that the op type needs has matched, and no unseen match of theirs could enter the answer.
bool Plan::first_complete() const {
  return first_whole_ && share_in() >= planner_.terms.need - kWeightSlack && ranked_.wanting.empty();
}

bool Plan::busy() const {
  return std::any_of(blocks_.begin(), blocks_.end(),
                     [](const Block& b) { return b.match_round >= 0 || b.fetch_round >= 0; });
}

// The first phase is over: nothing more is expected of it, or its time is up and what is in may be answered.
bool Plan::first_closed(Time now) const {
  if (fetching_) return true;
  if (!first_open_ && !busy()) return true;
  return now >= cut_ && share_in() >= least_share() && !ranked_.survivors.empty();
}

bool Plan::can_finish(Time now) const {
  std::size_t blocks = 0;
  for (const Block& b : blocks_) blocks += !b.needed.empty();
  const Time by = std::min(end_, fetching_ ? fetch_end_ : now + query_.fetch_budget.value_or(kNever - now));
  return by - now >= std::max(planner_.split.least_fetch(blocks), planner_.terms.shortest_fetch);
}

bool Plan::may_match_anew(const Block& b, Time now) const {
  const Terms& t = planner_.terms;
  const Time needs = planner_.split.usual_match(1, t.latency_budget) / 2 + planner_.split.least_fetch(1);
  return b.rematches < t.rematches && planner_.may_rematch() && std::min(end_, fetch_end_) - now >= needs;
}

Decision Plan::ask(Round round) {
  rounds_.push_back(std::move(round));
  return {Decision::Kind::ask, static_cast<int>(rounds_.size()) - 1};
}

std::optional<Decision> Plan::open_first() {
  Round r(RoundKind::match, join_until_ - began_);
  r.page = first_page(limit(), blocks_.size(), planner_.terms.page_most);
  r.text = match_text(query_.text, r.page, std::nullopt, "");
  for (std::size_t b = 0; b < blocks_.size(); ++b) r.blocks.push_back(static_cast<int>(b));
  return ask(std::move(r));
}

Decision Plan::match_block(Block& b, std::optional<Place> after, std::size_t page, Time now) {
  Round r(RoundKind::again, std::min(end_, fetch_end_) - now);
  b.match_round = static_cast<int>(rounds_.size());
  r.blocks.push_back(static_cast<int>(&b - blocks_.data()));
  r.page = std::min(page, planner_.terms.page_most);
  r.text = match_text(query_.text, r.page, after, after ? b.list->version : "");
  r.after = std::move(after);
  return ask(std::move(r));
}

// Further pages that could still enter the answer, and blocks that changed or lost their holders.
std::optional<Decision> Plan::match_again(Time now) {
  for (const Wanting& w : ranked_.wanting) {
    Block& b = blocks_[w.block];
    // Not before the first phase has said all: what others match may push this block's unseen ones out.
    if (b.match_round >= 0 || b.page_lost || b.anew || (first_open_ && !first_closed(now))) continue;
    return match_block(b, b.list->last(), w.most, now);
  }
  for (Block& b : blocks_) {
    if (!b.anew || b.match_round >= 0 || b.fetch_round >= 0) continue;
    b.anew = false;
    if (!may_match_anew(b, now)) {
      b.lost = true;
      continue;
    }
    ++b.rematches, planner_.rematched();
    const std::size_t first = first_page(limit(), blocks_.size(), planner_.terms.page_most);
    return match_block(b, std::nullopt, limit() == 0 ? 0 : std::max(first, b.needed.size()), now);
  }
  return std::nullopt;
}

std::optional<Decision> Plan::fetch(Time now) {
  if (!first_closed(now) || no_time_) return std::nullopt;
  for (Block& b : blocks_) {
    if (b.match_round >= 0 || b.fetch_round >= 0 || !b.counts() || b.anew || b.lost || b.needed.empty())
      continue;
    const DetailMap& in = b.details_of(b.list->version);
    Round r(RoundKind::fetch, 0);
    for (const std::uint32_t e : b.needed) {  // what is in already isn't fetched twice
      if (r.stalls.size() >= planner_.terms.fetch_most) break;
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
    r.span = std::min(end_, fetch_end_) - now;
    r.blocks.push_back(static_cast<int>(&b - blocks_.data()));
    r.text = fetch_text(query_.text, r.stalls, b.list->version);
    b.fetch_round = static_cast<int>(rounds_.size());
    return ask(std::move(r));
  }
  return std::nullopt;
}

// Rule 5: the one place that ends it. Whole only from a complete first phase all of whose survivors are in;
// otherwise an answer only from the least share, counted by blocks whose matches stand.
std::optional<Decision> Plan::finish(Time now) {
  ended_ = true;
  const Terms& t = planner_.terms;
  const Report r = report();
  if (fetching_) planner_.split.fetch_took(r.fetch.asked, now - fetch_began_, r.fetch.whole);
  const bool whole = r.why.empty();
  if (whole || share_in() >= least_share()) return Decision{Decision::Kind::answer, 0, whole};
  return Decision{Decision::Kind::push_back, 0, false, come_back_ > 0 ? come_back_ : t.come_back};
}

std::optional<Decision> Plan::next(Time now) {
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

Time Plan::due(Time now) const {
  if (ended_) return kNever;
  const Time last = std::min(end_, fetch_end_);
  return !fetching_ && now < cut_ ? std::min(last, cut_) : last;
}

Report Plan::report() const {
  const Terms& t = planner_.terms;
  Report r;
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
  r.match.whole = first_complete();
  if (first_whole_ && share_in() >= t.need - kWeightSlack) r.match.missing = 0;  // the surplus wasn't needed
  r.fetch.whole = r.fetch.missing == 0;
  if (!first_whole_ || share_in() < t.need - kWeightSlack) r.why.push_back("match_incomplete");
  if (changed) r.why.push_back("block_changed");
  if (!ranked_.wanting.empty()) r.why.push_back("pages_missing");
  if (most_ < query_.limit.value_or(kAll) && r.matches > most_) r.why.push_back("more_than_most");
  if (!r.fetch.whole)
    r.why.push_back(no_time_             ? "no_time_to_fetch"
                    : fetch_pushed_back_ ? "fetch_pushed_back"
                                         : "fetch_incomplete");
  return r;
}

}  // namespace cairnhub::two_phase
