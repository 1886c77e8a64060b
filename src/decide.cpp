// THE decision module: every choice this broker makes, with every table and tuned value, is in this file.
//
// How callers use it: the interface is src/decide.h. A host makes one Decider an instance, tells it its settings,
// reports inputs as they happen, and after each batch of inputs pulls decisions with next() until there is none.
// Inputs only update what is known; nothing is chosen outside next().
//
// The ordinary path is the design's (docs/design.md): draw n parts and a margin at random, each to the replica
// with the fewest of this broker's calls out, answer on the first n. Beside it stand these mechanisms:
//   1. Suspects   a node that is silent, breaks, or is far slower than its peers is left alone, then tried
//   2. Rescue     a send that is overdue or dead is made up for by an undrawn part, else a second copy
//   3. Cold cap   a node that has just started gets no more than it can surely bear
//   4. Pushback   a multiget that can't be in time is turned away at once, and the margin is dropped
//   5. Lateness   what no longer earns anything ends at once
//   6. List       the list is followed and its subscription kept up
#include "decide.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace cairnhub {

namespace {

// Sums of weights on the wire may fall this far short.
constexpr double kWeightSlack = 0.0001;
// Parts drawn beyond n: the design page's starting value.
constexpr int kMargin = 1;
// Further sends earned by each first send: the paper's own overhead of late binding, about a tenth (§1, §6).
constexpr double kRescueShare = 0.1;
// Most further sends saved up: about what one node that dies under load holds of one broker's parts.
constexpr double kRescueMost = 16;
// A send is overdue past the usual latency plus so many deviations: TCP's retransmission timer (RFC 6298).
constexpr int kOverdueDeviations = 4;
// A node this many times slower than the median of its peers is suspect; it's cleared under two thirds of that.
// Between the two, fewest-outstanding alone keeps a slow node's load down.
constexpr double kSlowFactor = 3;
// A suspect is tried again after so many usual latencies, doubling up to so many times that.
constexpr int kTrialLatencies = 4, kTrialDoublings = 8;
// Share of a node's sends that come to nothing, smoothed: past the most it is suspect, under half of it cleared.
// Two bad ends in a row do it, one in four keeps it; sound nodes lose far less than one in a hundred.
constexpr double kLossGain = 1.0 / 4, kLossMost = 0.3;
// Where all nodes lose (a bad network), a node is only suspect when it loses more: added times the common share.
constexpr double kCommonGain = 1.0 / 64, kCommonTimes = 3;
// A send that so many later ones to its node have overtaken isn't queueing there.
constexpr int kOvertaken = 3;
// Smoothing of latencies: RFC 6298's eighth and quarter.
constexpr double kMeanGain = 1.0 / 8, kDeviationGain = 1.0 / 4;
// Part of the fall limit that one broker lets itself use; the rest is for parts heavier than the average.
constexpr double kColdSafety = 0.7;
// A multiget is turned away when its estimate passes this share of the latency budget left.
constexpr double kPushbackShare = 0.75;
// Past this share of the budget the margin is dropped and traffic over its tenant's share turned away.
constexpr double kStressShare = 0.5;
// Past this share of the most-held limit only the most important multigets within their share are taken.
constexpr double kCrowdedShare = 0.8;

constexpr std::uint64_t kListToken = ~std::uint64_t{0};

// Chance: all of it comes from here.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) {
    std::seed_seq words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
    rng_.seed(words);
  }
  std::size_t below(std::size_t n) { return rng_() % n; }
  double unit() { return rng_() / 4294967296.0; }

 private:
  std::mt19937 rng_;
};

// Who is listed and who holds what.
class Nodes {
 public:
  void layout(int cells, int replicas) {
    cells_.resize(cells);
    replicas_ = replicas;
  }
  Node& at(NodeId id) {
    auto& slot = by_id_[id];
    if (!slot) {
      slot = std::make_unique<Node>();
      slot->id = id;
      slot->cell = -1;
    }
    return *slot;
  }
  void place(Node& node, int cell) {
    if (node.cell == cell || cell < 0 || cell >= static_cast<int>(cells_.size())) return;
    if (node.cell >= 0) std::erase(cells_[node.cell], &node);
    node.cell = cell;
    cells_[cell].push_back(&node);
  }
  std::vector<Node*> holders(int shard) const {
    std::vector<Node*> found;
    for (int j = 0; j < replicas_; ++j)
      for (Node* n : cells_[(shard + j) % cells_.size()])
        if (n->listed_ready) found.push_back(n);
    return found;
  }
  template <class F>
  void each(F f) {
    for (auto& [id, node] : by_id_) f(*node);
  }

 private:
  std::map<NodeId, std::unique_ptr<Node>> by_id_;
  std::vector<std::vector<Node*>> cells_;
  int replicas_ = 1;
};

// Rule 4, and mechanism 3. Danger: all brokers together push a cold node over. What this broker's parts get done
// on the average warm node is surely within that node's capacity, and the sum over brokers is too, however
// many there are and however traffic is spread over them; so a cold node gets that rate times its present share
// and the fall multiple, halved. Also caught: a restart loop. Harm: with little traffic seen, a cold node
// warms up with less than it could bear.
class ColdGuard {
 public:
  void set(double from, Time warm_after, double multiple, Time span) {
    from_ = from, warm_after_ = warm_after, multiple_ = multiple, span_ = std::max<Time>(span, 1);
  }
  bool cold(const Node& n, Time now) const { return n.started > 0 && now - n.started < warm_after_; }
  double present_share(const Node& n, Time now) const {
    if (!cold(n, now)) return 1;
    return from_ + (1 - from_) * std::max(0.0, seconds(now - n.started) / seconds(warm_after_));
  }
  bool allows(Node& n, Time now) {
    if (!cold(n, now)) return true;
    while (!n.cold_sends.empty() && n.cold_sends.front() <= now - span_) n.cold_sends.pop_front();
    const double allowance =
        kColdSafety * multiple_ * present_share(n, now) * seconds(span_) * best_rate_;
    return n.cold_sends.size() + 1 <= std::max(1.0, allowance);
  }
  void sent(Node& n, Time now) {
    if (cold(n, now)) n.cold_sends.push_back(now);
  }
  void returned(Node& n, Time now, Nodes& nodes) {
    n.returns.push_back(now);
    while (n.returns.front() < now - window()) n.returns.pop_front();
    learn_rate(now, nodes);
  }

 private:
  Time window() const { return 4 * span_; }
  // Parts a second that the average warm node has returned to this broker at best. The best, not the latest: where
  // many nodes die at once little gets through, and a cap that fell with it would keep it so.
  void learn_rate(Time now, Nodes& nodes) {
    double count = 0, warm = 0;
    nodes.each([&](Node& n) {
      if (!n.listed_ready || cold(n, now)) return;
      ++warm;
      count += std::count_if(n.returns.begin(), n.returns.end(), [&](Time t) { return t >= now - window(); });
    });
    if (warm > 0) best_rate_ = std::max(best_rate_, count / warm / seconds(window()));
  }
  double from_ = 1, multiple_ = 1, best_rate_ = 0;
  Time warm_after_ = 0, span_ = kSecond;
};

// Rule 6 where a budget is stated, and this broker's own limit on further sends everywhere.
class FurtherSends {
 public:
  void set(double free, double share, Time window) { free_ = free, share_ = share, window_ = window; }
  void taken(Time now) {
    if (window_ > 0) taken_.push_back(now);
  }
  void first_send() { saved_ = std::min(kRescueMost, saved_ + kRescueShare); }
  bool within_rule(Time now) {
    if (window_ <= 0) return true;
    // What arrived a window ago may or may not still count: drop it early; what was sent then: keep it longer.
    while (!taken_.empty() && taken_.front() <= now - window_) taken_.pop_front();
    while (!sent_.empty() && sent_.front() < now - window_) sent_.pop_front();
    return static_cast<double>(sent_.size()) + 1 <= free_ + share_ * static_cast<double>(taken_.size());
  }
  bool saved() const { return saved_ >= 1; }
  void spend() { saved_ -= 1; }
  void further_send(Time now) {
    if (window_ > 0) sent_.push_back(now);
  }

 private:
  double free_ = 0, share_ = 0, saved_ = kRescueMost / 4;
  Time window_ = 0;
  std::deque<Time> taken_, sent_;
};

// Mechanism 1. Danger: a node that hangs, dies unlisted, answers errors fast (and so looks idle) or runs far
// slower than its peers draws or keeps parts. Judged by its own outcomes alone: the list and load reports may be
// wrong. Also caught: a cut link seen by this broker only, full queues, restart loops. Harm: when a whole shard's
// replicas look bad the least loaded is still asked; when most nodes slow together none is suspect.
class Judge {
 public:
  Time overdue_after(const OpType& op) const {
    return std::max<Time>(2 * op.usual, op.usual + kOverdueDeviations * op.deviation);
  }
  bool suspect(const Node& n) const { return n.suspect_since != kNever; }
  bool due_for_trial(const Node& n, Time now) const { return now >= n.next_trial && n.out.empty(); }
  void suspect_now(Node& n, Time usual, Time now) {
    if (!suspect(n)) n.suspect_since = now, n.trial_wait = kTrialLatencies * usual;
    n.next_trial = now + n.trial_wait;
  }
  void tried(Node& n, Time usual, Time now) {
    n.trial_wait = std::min<Time>(2 * n.trial_wait, Time{kTrialLatencies} * kTrialDoublings * usual);
    n.next_trial = now + n.trial_wait;
  }
  void good(Send& s, OpType& op, Time latency, Time now, Nodes& nodes) {
    Node& n = *s.node;
    op.deviation += static_cast<Time>(kDeviationGain * static_cast<double>(std::abs(latency - op.usual) -
                                                                           op.deviation));
    op.usual += static_cast<Time>(kMeanGain * static_cast<double>(latency - op.usual));
    ++op.samples;
    const double pace = seconds(latency) / (s.out_before + 1);
    const double gain = n.paces++ ? 2 * kMeanGain : 1;
    n.latency += gain * (seconds(latency) - n.latency);
    n.crowd += gain * (s.out_before + 1 - n.crowd);
    n.pace = n.latency / n.crowd;  // weighs the answers that had to queue, unlike a mean of ratios
    if (!s.overdue) n.loss -= kLossGain * n.loss;
    common_loss_ -= kCommonGain * common_loss_;
    for (Send* older : n.out)
      if (older->at < s.at) ++older->overtaken;
    const double peers = median_pace(nodes);
    if (suspect(n)) {
      if (pace > kSlowFactor * 2 / 3 * peers || s.overdue) return;
      n.next_trial = now, n.trial_wait = kTrialLatencies * op.usual;
      if (n.loss < kLossMost / 2) n.suspect_since = kNever, n.paces = 0;
    } else if (n.paces > 3 && n.pace > kSlowFactor * peers) {
      suspect_now(n, op.usual, now);
    }
  }
  void astray() { common_loss_ += kCommonGain * (1 - common_loss_); }
  // A send came to nothing, or looks so. A break or silence says more than a lone error.
  void bad(Node& n, bool grave, Time usual, Time now) {
    n.loss += kLossGain * (1 - n.loss);
    if (grave) n.loss = std::max(n.loss, 0.5);
    if (n.loss > kLossMost + kCommonTimes * common_loss_) suspect_now(n, usual, now);
  }
  double median_pace(Nodes& nodes) {
    std::vector<double> paces;
    nodes.each([&](Node& n) {
      if (n.listed_ready && n.paces > 0) paces.push_back(n.pace);
    });
    if (paces.empty()) return 0;
    std::nth_element(paces.begin(), paces.begin() + paces.size() / 2, paces.end());
    return paces[paces.size() / 2];
  }

 private:
  double common_loss_ = 0;
};

double weight_in(const Multiget& mg) {
  double sum = 0;
  for (const auto& p : mg.parts)
    if (p->step == mg.step && p->returned) sum += p->weight;
  return sum;
}

bool ran_never(const Part& p) {
  return std::all_of(p.sends.begin(), p.sends.end(),
                     [](const auto& s) { return s->ended && never_ran(s->outcome); });
}

}  // namespace

struct Decider::Impl {
  explicit Impl(std::uint64_t seed) : chance(seed) {}

  Chance chance;
  Nodes nodes;
  ColdGuard cold;
  FurtherSends further;
  Judge judge;
  std::deque<OpType> op_types;
  struct Tenant {
    double quota_here = 0;
    std::deque<Time> recent;
  };
  std::vector<Tenant> tenants;
  int brokers = 1, zone = 0, parts_a_call = 1, send_limit = 1, most_held = 1 << 30;
  bool marks_retries = false, second_copies = false, may_cancel = false, may_say_when = false;
  Time longest_wait = 0, tick = 0;

  std::unordered_map<RequestId, std::unique_ptr<Multiget>> multigets;  // looked up, never walked
  std::unordered_map<RequestId, Part*> parts;
  std::map<float, Multiget*> by_number;
  std::deque<Multiget*> agenda;
  std::deque<Decision> cancels;
  int held = 0;
  std::uint64_t turn = 1;

  // The list.
  bool must_subscribe = false, subscribe_now = false;
  Time ask_every = 10 * kSecond, list_wait = 0, list_wake = kNever;
  bool complete_list = false;
  std::uint64_t list_count = 0;

  // ---- Bookkeeping ----

  void look_at(Multiget& mg) {
    if (mg.queued) return;
    mg.queued = true;
    agenda.push_back(&mg);
  }

  void forget_if_done(Multiget& mg) {
    if (mg.phase != Phase::ended || mg.queued) return;
    for (const auto& p : mg.parts)
      if (p->out()) return;
    for (const auto& p : mg.parts) parts.erase(p->id);
    multigets.erase(mg.id);
  }

  void cancel_out(Part& p) {
    if (!may_cancel) return;
    for (auto& s : p.sends)
      if (!s->ended && !s->cancelled) {
        s->cancelled = true;
        cancels.push_back({Decision::Kind::cancel, p.id, 0, s->index});
      }
  }

  void end(Multiget& mg) {
    mg.phase = Phase::ended;
    held -= 1 + static_cast<int>(mg.parts.size());
    by_number.erase(mg.number);
    for (auto& p : mg.parts) {
      p->over = true;
      cancel_out(*p);
    }
  }

  // ---- The gate: every send passes here, and each rule on sends is enforced here alone ----

  bool may_send(const Part& p, Node& n, Time now) {
    if (!may_send_at_all(p, now)) return false;
    if (!n.listed_ready) return false;                   // rule 3: at once, the grace is not used
    if (!cold.allows(n, now)) return false;       // rule 4
    return p.sends.empty() || further.within_rule(now);  // rule 6
  }

  bool may_send_at_all(const Part& p, Time now) const {
    const Multiget& mg = *p.multiget;
    if (mg.phase != Phase::collecting || p.over || p.returned || now >= mg.expires) return false;  // rule 1
    if (static_cast<int>(p.sends.size()) >= send_limit) return false;
    if (p.out() && !second_copies) return false;
    if (mg.op->effect == Effect::non_retriable && !ran_never(p)) return false;  // rule 2
    if (mg.op->effect == Effect::deduped)
      for (const auto& s : p.sends)
        if (!(s->ended && never_ran(s->outcome)) && now > s->at + mg.op->dedupe_window) return false;
    return true;
  }

  // ---- The replica pick ----

  bool joins_call(const Node& n) const {
    return n.open_turn == turn && n.open_call && n.open_call->parts < parts_a_call;
  }

  // Higher is worse. A suspect counts as good when it is due for a trial, with nothing of ours out there.
  int badness(const Node& n, Time now) const {
    return judge.suspect(n) && !judge.due_for_trial(n, now) ? 1 : 0;
  }

  // The design's pick: fewest of this broker's calls out, ties at random. A part that joins a call with room adds
  // none, so that call isn't counted against its node. Better-judged nodes come first.
  Node* pick(const Part& p, Time now) {
    Node* best = nullptr;
    int best_bad = 0, best_calls = 0;
    std::size_t ties = 0;
    for (Node* n : nodes.holders(p.shard)) {
      const bool has_it = std::any_of(p.sends.begin(), p.sends.end(), [&](const auto& s) {
        return s->node == n && !(s->ended && s->outcome == Outcome::error);
      });
      if (has_it || !may_send(p, *n, now)) continue;
      const int bad = badness(*n, now);
      const int calls = 2 * n->calls_out - (joins_call(*n) ? 3 : 0);
      if (best && std::pair(bad, calls) > std::pair(best_bad, best_calls)) continue;
      if (!best || std::pair(bad, calls) < std::pair(best_bad, best_calls)) ties = 0;
      if (chance.below(++ties) == 0) best = n;
      best_bad = bad, best_calls = calls;
    }
    return best;
  }

  Decision send(Part& p, Node& n, Time now, bool spend) {
    auto s = std::make_unique<Send>();
    s->part = &p, s->node = &n, s->at = now;
    s->index = static_cast<int>(p.sends.size());
    s->out_before = queue(n);
    if (p.sends.empty())
      further.first_send();
    else
      further.further_send(now);
    if (spend) further.spend();
    if (judge.suspect(n)) judge.tried(n, p.multiget->op->usual, now);
    cold.sent(n, now);
    if (joins_call(n)) {
      s->call = n.out.back()->call;
    } else {
      s->call = std::make_shared<Call>();
      n.open_call = s->call.get(), n.open_turn = turn;
      ++n.calls_out;
    }
    ++s->call->parts, ++s->call->parts_out;
    n.out.push_back(s.get());
    p.sends.push_back(std::move(s));
    return {Decision::Kind::send, p.id, n.id, 0, false, useful_until(*p.multiget) - now, 0};
  }

  // ---- Time ----

  // When an answer stops earning its full importance. A client's later try comes with what its client has left,
  // which tells how long that client has waited. Where later tries aren't marked, first tries are known by
  // all coming with the same time. Danger: clients that come with little time on their first try look like
  // later ones that have waited out their budget; so where that isn't certain they are given all they ask for.
  Time budget_ends(const Multiget& mg) const {
    const Time left = mg.expires - mg.arrived, budget = mg.op->latency_budget;
    const bool later_try = marks_retries ? mg.client_retry : std::abs(left - mg.op->first_try) > tick;
    Time waited = later_try ? std::max<Time>(0, mg.op->route_timeout - left) : 0;
    if (!marks_retries && waited >= budget) waited = 0;
    return std::min(mg.arrived + budget - waited, mg.expires);
  }

  // Mechanism 5. Danger: work for answers that earn nothing any more, which makes others late.
  Time useful_until(const Multiget& mg) const {
    const Time end = mg.expires - tick;
    return mg.op->late_share > 0 ? end : std::min(end, budget_ends(mg));
  }

  // ---- Estimates ----

  // Parts of ours that wait or run at the node; what has gone astray does neither.
  static int queue(const Node& n) {
    return static_cast<int>(std::count_if(n.out.begin(), n.out.end(), [](auto* s) { return !s->astray; }));
  }

  // Latency to expect of a part sent to this node now, in seconds.
  double estimate(const Node& n, Time now) {
    double pace = n.paces > 3 ? n.pace : judge.median_pace(nodes) / cold.present_share(n, now);
    return pace * (queue(n) + 1);
  }

  // Latency to expect of a multiget: that of the slowest part it can't do without.
  double estimate(const Multiget& mg, Time now) {
    std::vector<const Part*> order;
    for (const auto& p : mg.parts) {
      Node* n = pick(*p, now);
      p->expected = n ? estimate(*n, now) : seconds(mg.op->latency_budget);
      order.push_back(p.get());
    }
    std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) { return a->expected < b->expected; });
    double weight = 0;
    for (const Part* p : order)
      if ((weight += p->weight) >= mg.op->need - kWeightSlack) return p->expected;
    return order.empty() ? 0 : order.back()->expected;
  }

  // ---- Decisions about one multiget ----

  double needed(const Multiget& mg) const { return (mg.step == 2 ? 1 : mg.op->need) - kWeightSlack; }

  std::optional<Decision> answer(Multiget& mg, bool whole) {
    if (mg.step == 1 && mg.op->second_step_parts > 0) {
      mg.phase = Phase::waiting_second_step;
      mg.first_step_whole = whole;
      for (auto& p : mg.parts) {
        p->over = true;
        cancel_out(*p);
      }
    } else {
      end(mg);
    }
    return Decision{Decision::Kind::answer, mg.id, 0, 0, whole, 0, 0};
  }

  // No answer to this part can come any more: nothing is out and no rule on the part itself allows a send.
  bool lost(const Part& p, Time now) const { return !p.returned && !p.out() && !may_send_at_all(p, now); }

  // Rule 5: the one place that answers. Less than whole goes out only when time is up.
  std::optional<Decision> settle(Multiget& mg, Time now) {
    const double in = weight_in(mg);
    const bool any = std::any_of(mg.parts.begin(), mg.parts.end(),
                                 [&](const auto& p) { return p->step == mg.step && p->returned; });
    if (any && in >= needed(mg)) return answer(mg, mg.step == 1 || mg.first_step_whole);
    double possible = 0;
    for (const auto& p : mg.parts)
      if (p->step == mg.step && !lost(*p, now)) possible += p->weight;
    if (now < useful_until(mg) && possible >= needed(mg)) return std::nullopt;
    const bool partial_allowed = mg.op->least < mg.op->need - kWeightSlack && mg.op->partial_share > 0;
    if (any && partial_allowed && in >= mg.op->least) return answer(mg, false);
    return give_up(mg, longest_wait);
  }

  // Final answer without parts, at once. A pushback only where trying again is harmless (rule 2).
  Decision give_up(Multiget& mg, Time come_back) {
    const bool harmless =
        mg.op->effect == Effect::retriable ||
        std::all_of(mg.parts.begin(), mg.parts.end(), [](const auto& p) { return ran_never(*p); });
    end(mg);
    if (!harmless) return {Decision::Kind::fail, mg.id};
    const Time when = may_say_when ? std::min(come_back, longest_wait) : 0;
    return {Decision::Kind::push_back, mg.id, 0, 0, false, when, 0};
  }

  // Mechanism 4. Danger: overload turns every answer late. Also caught: a shard whose replicas are all in trouble.
  // Harm: an estimate too high turns away what would have been in time; the client's own retry mends some.
  std::optional<Decision> admit(Multiget& mg, Time now) {
    Tenant* tenant = mg.tenant < static_cast<int>(tenants.size()) ? &tenants[mg.tenant] : nullptr;
    bool over_share = false;
    if (tenant && tenant->quota_here > 0) {
      while (!tenant->recent.empty() && tenant->recent.front() < now - 2 * kSecond) tenant->recent.pop_front();
      over_share = static_cast<double>(tenant->recent.size()) > 2 * tenant->quota_here;
    }
    const double left = seconds(budget_ends(mg) - now), wait = estimate(mg, now);
    double top = 0;
    for (const auto& op : op_types) top = std::max(top, op.importance);
    const bool stressed = wait > kStressShare * left;
    const bool crowded = held > kCrowdedShare * most_held && (over_share || mg.op->importance < top);
    if (wait > kPushbackShare * left || (stressed && over_share) || crowded)
      return give_up(mg, static_cast<Time>(std::max(0.0, wait - kStressShare * left) * kSecond));
    if (tenant) tenant->recent.push_back(now);
    mg.admitted = true;
    draw(mg, kStressShare * left);
    return std::nullopt;
  }

  // The design's draw: n distinct parts at random and the margin; the others stay unsent. A part that would take
  // longer than the limit is a straggler already: it's drawn last, and never as margin.
  void draw(Multiget& mg, double limit) {
    std::vector<Part*> order;
    for (auto& p : mg.parts) order.push_back(p.get());
    if (mg.op->need < 1 - kWeightSlack) {
      for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[chance.below(i)]);
      std::stable_partition(order.begin(), order.end(), [&](Part* p) { return p->expected <= limit; });
    }
    double weight = 0;
    int margin = kMargin;
    for (Part* p : order) {
      if (weight >= needed(mg) && (margin-- <= 0 || p->expected > limit)) break;
      p->drawn = true;
      weight += p->weight;
    }
  }

  // A part still on its way, as far as can be told.
  static bool hopeful(const Part& p) {
    return std::any_of(p.sends.begin(), p.sends.end(),
                       [](const auto& s) { return !s->ended && !s->overdue && !s->cancelled; });
  }

  // Marks sends that are overdue against what has been seen for like work, and those gone astray: the node has
  // answered nothing since, or has answered later sends first. The latter shows before a send is overdue.
  void mark_overdue(Multiget& mg, Time now) {
    const Time limit = judge.overdue_after(*mg.op), early = mg.op->usual + mg.op->deviation;
    for (auto& p : mg.parts)
      for (auto& s : p->sends) {
        if (s->ended || s->astray) continue;
        const bool overtaken = s->overtaken >= kOvertaken && now - s->at >= early;
        const bool silent = s->node->last_return <= s->at && now - s->at >= limit;
        if (now - s->at >= limit || overtaken) s->overdue = true;
        if (!silent && !overtaken) continue;
        s->astray = true;
        judge.astray();
        judge.bad(*s->node, silent, mg.op->usual, now);
      }
  }

  // First sends of drawn parts, and mechanism 2. Danger: a multiget waits out its time on a send that won't come.
  // Nothing further is sent while what is in and on its way suffices: the margin covers a first straggler. Also
  // caught: resets, errors, full queues, nodes gone from the list. Harm: under overload copies add load, so
  // they come out of a small saved-up share, and a merely slow node's parts are copied to an idle node only.
  std::optional<Decision> send_next(Multiget& mg, Time now) {
    double coming = weight_in(mg);
    for (auto& p : mg.parts) {
      if (p->step != mg.step || p->returned) continue;
      if (p->drawn && p->sends.empty())
        if (Node* n = pick(*p, now)) return send(*p, *n, now, false);
      if (hopeful(*p)) coming += p->weight;
    }
    if (coming >= needed(mg)) return std::nullopt;
    if (budget_ends(mg) - now < mg.op->usual / 2 && mg.op->late_share < 0.5) return std::nullopt;
    for (auto& p : mg.parts) {  // proved never to have run: at once elsewhere
      if (p->step != mg.step || p->returned || p->sends.empty() || p->out() || !ran_never(*p)) continue;
      const bool spend = p->sends.back()->outcome == Outcome::full;
      if (spend && !further.saved()) continue;
      if (Node* n = pick(*p, now)) return send(*p, *n, now, spend);
    }
    if (!further.saved()) return std::nullopt;
    for (auto& p : mg.parts) {
      if (p->step != mg.step || p->drawn) continue;
      Node* n = pick(*p, now);
      if (!n || badness(*n, now) > 0) continue;
      p->drawn = true;
      return send(*p, *n, now, true);
    }
    for (auto& p : mg.parts) {
      if (p->step != mg.step || p->returned || p->sends.empty() || hopeful(*p)) continue;
      const bool merely_slow = std::any_of(p->sends.begin(), p->sends.end(), [&](const auto& s) {
        return !s->ended && !s->astray && !judge.suspect(*s->node);
      });
      Node* n = pick(*p, now);
      if (!n || badness(*n, now) > 0 || (merely_slow && n->calls_out > 0)) continue;
      return send(*p, *n, now, true);
    }
    return std::nullopt;
  }

  // Each multiget asks to be woken before anything about it falls due, its end at the latest (rule 1).
  std::optional<Decision> wake(Multiget& mg, Time now) {
    const Time limit = judge.overdue_after(*mg.op), pause = std::max<Time>(mg.op->usual / 4, tick);
    Time at = std::max(useful_until(mg), now);
    for (const auto& p : mg.parts) {
      if (p->step != mg.step || p->returned || !p->drawn) continue;
      if (!hopeful(*p)) at = std::min(at, now + pause);
      for (const auto& s : p->sends)
        if (!s->ended && !s->overdue) at = std::min(at, std::max(s->at + limit, now + tick));
    }
    if (mg.woken_at > now && mg.woken_at <= at) return std::nullopt;
    mg.woken_at = at;
    return Decision{Decision::Kind::wake, 0, 0, 0, false, at - now, mg.id};
  }

  std::optional<Decision> consider(Multiget& mg, Time now) {
    if (mg.phase == Phase::ended) return std::nullopt;
    if (mg.phase == Phase::collecting) {
      if (auto d = settle(mg, now)) return d;
      if (!mg.admitted)
        if (auto d = admit(mg, now)) return d;
      mark_overdue(mg, now);
      if (auto d = send_next(mg, now)) return d;
    } else if (now >= useful_until(mg)) {
      return give_up(mg, longest_wait);
    }
    return wake(mg, now);
  }

  // Mechanism 6. Danger: a list that has stopped telling, and brokers that ask for it all at once.
  std::optional<Decision> follow_list(Time now) {
    if (!must_subscribe) return std::nullopt;
    if (subscribe_now) {
      subscribe_now = false;
      return Decision{Decision::Kind::subscribe};
    }
    if (list_wake != kNever && list_wake > now) {
      const Time at = std::exchange(list_wake, kNever);
      return Decision{Decision::Kind::wake, 0, 0, 0, false, at - now, kListToken};
    }
    return std::nullopt;
  }

  std::optional<Decision> next(Time now) {
    if (auto d = follow_list(now)) return d;
    for (;;) {
      if (!cancels.empty()) {
        const Decision d = cancels.front();
        cancels.pop_front();
        return d;
      }
      if (agenda.empty()) break;
      Multiget& mg = *agenda.front();
      if (auto d = consider(mg, now)) return d;
      mg.queued = false;
      agenda.pop_front();
      forget_if_done(mg);
    }
    ++turn;
    return std::nullopt;
  }
};

// ---- The door ----

Decider::Decider(std::uint64_t seed) : impl_(std::make_unique<Impl>(seed)) {}
Decider::~Decider() = default;

void Decider::set_place(int, int brokers, int zone) {
  impl_->brokers = std::max(1, brokers), impl_->zone = zone;
}
void Decider::add_op_type(const OpType& op) {
  OpType& mine = impl_->op_types.emplace_back(op);
  // Until something has been seen: a quarter of the latency budget leaves time for one overdue send and a copy.
  mine.usual = op.latency_budget / 4, mine.deviation = mine.usual / 4;
}
void Decider::add_tenant(double, double quota_per_second) {
  impl_->tenants.push_back({quota_per_second / impl_->brokers, {}});
}
void Decider::set_layout(int cells, int replicas_in_a_row, int, int parts_a_call) {
  impl_->nodes.layout(cells, replicas_in_a_row);
  impl_->parts_a_call = std::max(1, parts_a_call);
}
void Decider::set_send_limits(int sends_a_part, bool second_copies, bool cancel) {
  impl_->send_limit = sends_a_part, impl_->second_copies = second_copies, impl_->may_cancel = cancel;
}
void Decider::set_send_budget(double free, double share, Time window) {
  impl_->further.set(free, share, window);
}
void Decider::set_pushback(int most_held, bool may_say_when, Time longest_wait, double) {
  impl_->most_held = most_held, impl_->may_say_when = may_say_when, impl_->longest_wait = longest_wait;
}
void Decider::set_clients(bool mark_retries) { impl_->marks_retries = mark_retries; }
void Decider::set_drain_grace(Time) {}
void Decider::set_cold(double cold_from, Time warm_after, double fall_multiple, Time fall_span) {
  impl_->cold.set(cold_from, warm_after, fall_multiple, fall_span);
}
void Decider::set_list(bool must_subscribe, Time ask_every) {
  impl_->must_subscribe = must_subscribe, impl_->ask_every = ask_every;
}
void Decider::set_timing(Time tick, Time) { impl_->tick = tick; }

void Decider::start(Time) { impl_->subscribe_now = impl_->must_subscribe; }

void Decider::list_begins(bool complete) {
  impl_->complete_list = complete;
  ++impl_->list_count;
}

void Decider::list_node(Time now, NodeId id, NodeState state, Time started, int cell, int, double) {
  Node& n = impl_->nodes.at(id);
  impl_->nodes.place(n, cell);
  n.named_in_list = impl_->list_count;
  if (state == NodeState::ready) {
    if (n.started != started) n.suspect_since = kNever, n.loss = 0, n.paces = 0;  // another process
    n.started = started;
    n.listed_ready = true, n.away_since = kNever;
  } else if (n.listed_ready) {
    n.listed_ready = false, n.away_since = now;
  }
  if (state == NodeState::gone)
    for (Send* s : n.out) s->overdue = true, impl_->look_at(*s->part->multiget);
}

void Decider::list_ends(Time now) {
  impl_->list_wait = 0;
  if (!impl_->complete_list) return;
  impl_->nodes.each([&](Node& n) {
    if (n.listed_ready && n.named_in_list != impl_->list_count) n.listed_ready = false, n.away_since = now;
  });
}

void Decider::list_failed(Time now) {
  Impl& m = *impl_;
  // Doubling waits, spread at random, from a twentieth of the interval at which asking is owed up to half of it.
  m.list_wait = std::clamp(2 * m.list_wait, m.ask_every / 20, m.ask_every / 2);
  m.list_wake = now + static_cast<Time>((0.5 + m.chance.unit()) * static_cast<double>(m.list_wait));
}

void Decider::multiget_arrived(Time now, RequestId id, int op_type, int tenant, float number, int parts,
                               bool client_retry, Time time_left) {
  Impl& m = *impl_;
  if (op_type < 0 || op_type >= static_cast<int>(m.op_types.size()))
    throw std::out_of_range("multiget of an unknown op type");
  auto mg = std::make_unique<Multiget>();
  mg->id = id, mg->op = &m.op_types[op_type], mg->tenant = tenant, mg->number = number;
  mg->parts_expected = parts, mg->client_retry = client_retry;
  mg->arrived = now, mg->expires = now + time_left;
  // A majority vote tells the time that first tries come with: later tries differ, also from each other.
  if (std::abs(time_left - mg->op->first_try) <= m.tick)
    ++mg->op->first_try_votes;
  else if (--mg->op->first_try_votes < 0)
    mg->op->first_try = time_left, mg->op->first_try_votes = 1;
  ++m.held;
  m.further.taken(now);
  m.by_number[number] = mg.get();
  m.look_at(*mg);
  m.multigets[id] = std::move(mg);
}

void Decider::part_arrived(Time now, RequestId id, float number, int shard, double weight) {
  Impl& m = *impl_;
  const auto it = m.by_number.find(number);
  if (it == m.by_number.end()) return;  // its multiget has ended
  Multiget& mg = *it->second;
  if (mg.phase == Phase::waiting_second_step) mg.phase = Phase::collecting, mg.step = 2;
  auto p = std::make_unique<Part>();
  p->id = id, p->multiget = &mg, p->shard = shard, p->step = mg.step, p->weight = weight;
  p->drawn = mg.step == 2;  // a second step needs all its parts
  ++m.held;
  m.further.taken(now);
  m.parts[id] = p.get();
  mg.parts.push_back(std::move(p));
  m.look_at(mg);
}

void Decider::send_ended(Time now, RequestId part, int send_index, Outcome outcome, Time latency, bool part_over,
                         const LoadReport& report) {
  Impl& m = *impl_;
  const auto it = m.parts.find(part);
  if (it == m.parts.end()) return;
  Part& p = *it->second;
  if (send_index >= static_cast<int>(p.sends.size()) || p.sends[send_index]->ended) return;
  Send& s = *p.sends[send_index];
  Node& n = *s.node;
  s.ended = true, s.outcome = outcome;
  std::erase(n.out, &s);
  if (--s.call->parts_out == 0) --n.calls_out;
  if (n.open_call == s.call.get()) n.open_call = nullptr;
  if (report.held >= 0 || report.busy >= 0 || report.service_ms >= 0) n.report = report, n.report_at = now;
  if (outcome == Outcome::ok) {
    n.last_return = now;
    m.judge.good(s, *p.multiget->op, latency, now, m.nodes);
    m.cold.returned(n, now, m.nodes);
    if (!p.over) {
      p.returned = true;
      m.cancel_out(p);
    }
  } else if (outcome != Outcome::cancelled && outcome != Outcome::not_sent && outcome != Outcome::timed_out) {
    m.judge.bad(n, outcome == Outcome::connect_failed || outcome == Outcome::reset, p.multiget->op->usual, now);
  } else if (outcome == Outcome::timed_out && n.last_return <= s.at && !s.astray) {
    m.judge.bad(n, true, p.multiget->op->usual, now);
  }
  if (part_over && !p.returned) p.over = true;
  if (p.multiget->phase == Phase::ended)
    m.forget_if_done(*p.multiget);
  else
    m.look_at(*p.multiget);
}

void Decider::multiget_abandoned(Time, RequestId id) {
  Impl& m = *impl_;
  const auto it = m.multigets.find(id);
  if (it == m.multigets.end() || it->second->phase == Phase::ended) return;
  m.end(*it->second);
  m.look_at(*it->second);
}

void Decider::woken(Time, std::uint64_t token) {
  Impl& m = *impl_;
  if (token == kListToken) {
    m.subscribe_now = true;
    return;
  }
  const auto it = m.multigets.find(static_cast<RequestId>(token));
  if (it != m.multigets.end()) m.look_at(*it->second);
}

std::optional<Decision> Decider::next(Time now) { return impl_->next(now); }

}  // namespace cairnhub
