#include "maintenance/job_queue.h"

#include <google/protobuf/text_format.h>

#include <algorithm>

#include "base/first_error.h"
#include "maintenance.pb.h"
#include "maintenance/job_scheduler.h"

namespace cairnhub::maintenance {

namespace {

bool good(const std::string& name) {
  if (name.empty() || name.size() > 64) return false;
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
}

std::string said(std::int64_t n) { return std::to_string(n); }

void put(const Request& r, upkeep::wire::Request& w) {
  w.set_machine(r.machine);
  for (const auto& n : r.nodes) w.add_node(n);
  for (const auto& b : r.brokers) w.add_broker(b);
  if (!r.rack.empty()) w.set_rack(r.rack);
  if (!r.zone.empty()) w.set_zone(r.zone);
  if (!r.region.empty()) w.set_region(r.region);
  if (r.earliest) w.set_earliest_ms(r.earliest / kMs);
  if (r.latest != kNever) w.set_latest_ms(r.latest / kMs);
  w.set_length_ms(r.length / kMs);
  if (r.priority) w.set_priority(r.priority);
  if (r.emergency) w.set_emergency(true);
  for (const int c : r.cells) w.add_cell(c);
}

// Past these no sum of times overflows.
constexpr std::int64_t kTimeMost = 4'000'000'000'000, kLengthMost = 31LL * 86'400'000;  // ms
Time moment(std::int64_t ms) { return std::clamp<std::int64_t>(ms, 0, kTimeMost) * kMs; }

Request take(const upkeep::wire::Request& w) {
  Request r;
  r.machine = w.machine();
  r.nodes = {w.node().begin(), w.node().end()};
  r.brokers = {w.broker().begin(), w.broker().end()};
  r.rack = w.rack(), r.zone = w.zone(), r.region = w.region();
  r.earliest = moment(w.earliest_ms());
  if (w.has_latest_ms()) r.latest = moment(w.latest_ms());
  r.length = std::clamp<std::int64_t>(w.length_ms(), 0, kLengthMost) * kMs;
  r.priority = std::clamp(w.priority(), -1000, 1000), r.emergency = w.emergency();
  for (const int c : w.cell()) r.cells.push_back(std::clamp(c, 0, 65535));
  return r;
}

void put(const Facts& f, upkeep::wire::Facts& w) {
  w.set_revision(f.revision), w.set_cells(f.cells), w.set_width(f.width);
  auto& t = *w.mutable_terms();
  t.set_holders_least(f.terms.holders_least), t.set_at_once(f.terms.at_once), t.set_a_rack(f.terms.a_rack);
  t.set_a_zone(f.terms.a_zone), t.set_a_region(f.terms.a_region), t.set_zone_keep(f.terms.zone_keep);
  t.set_headroom(f.terms.headroom), t.set_lost_after_ms(f.terms.lost_after / kMs);
  t.set_around_ms(f.terms.around / kMs), t.set_stop_on_loss(f.terms.stop_on_loss);
  for (const auto& [name, n] : f.nodes) {
    auto& o = *w.add_node();
    o.set_name(name), o.set_cell(n.cell), o.set_zone(n.zone), o.set_ready(n.ready), o.set_warm(n.warm);
  }
  for (const auto& [name, z] : f.zones) {
    auto& o = *w.add_zone();
    o.set_name(name), o.set_region(z.region), o.set_near(z.near), o.set_load(z.load),
        o.set_capacity(z.capacity);
  }
  for (const auto& v : f.voters) w.add_voter(v);
}

std::optional<Facts> take(const upkeep::wire::Facts& w) {
  Facts f;
  if (w.cells() < 0 || w.cells() > 65536 || w.width() < 0 || w.width() > w.cells()) return std::nullopt;
  if (w.node_size() > static_cast<int>(Works::kNodes)) return std::nullopt;
  f.revision = w.revision(), f.cells = w.cells(), f.width = w.width();
  const auto& t = w.terms();
  const auto count = [](int n) { return std::clamp(n, 0, 100000); };
  const auto share = [](double d) { return d >= 0 && d <= 1; };  // no number is none
  const auto rate = [](double d) { return d >= 0 && d <= 1e12; };
  if (!share(t.zone_keep()) || !share(t.headroom())) return std::nullopt;
  f.terms = {count(t.holders_least()),
             count(t.at_once()),
             count(t.a_rack()),
             count(t.a_zone()),
             count(t.a_region()),
             t.zone_keep(),
             t.headroom(),
             std::clamp<std::int64_t>(t.lost_after_ms(), 0, kLengthMost) * kMs,
             std::clamp<std::int64_t>(t.around_ms(), 0, kLengthMost) * kMs,
             t.stop_on_loss()};
  for (const auto& n : w.node()) {
    if (n.cell() < 0 || n.cell() >= f.cells) return std::nullopt;
    f.nodes[n.name()] = {n.cell(), n.zone(), n.ready(), n.warm()};
  }
  for (const auto& z : w.zone()) {
    if (!rate(z.load()) || !rate(z.capacity())) return std::nullopt;
    f.zones[z.name()] = {z.region(), z.near(), z.load(), z.capacity()};
  }
  f.voters = {w.voter().begin(), w.voter().end()};
  return f;
}

constexpr int kSteps = 8;

bool may_follow(Step from, Step to) {
  switch (from) {
    case Step::queued:
      return to == Step::draining;
    case Step::draining:
      return to == Step::empty || to == Step::queued;
    case Step::empty:
      return to == Step::at_work || to == Step::queued;
    case Step::at_work:
      return to == Step::lost;
    case Step::returning:
      return to == Step::done || to == Step::lost;
    default:
      return false;
  }
}

}  // namespace

const char* name_of(Step step) {
  switch (step) {
    case Step::queued:
      return "queued";
    case Step::draining:
      return "draining";
    case Step::empty:
      return "empty";
    case Step::at_work:
      return "at work";
    case Step::returning:
      return "returning";
    case Step::done:
      return "in service";
    case Step::cancelled:
      return "cancelled";
    case Step::lost:
      return "lost";
  }
  return "?";
}

std::string encode(const Op& op) {
  upkeep::wire::Op w;
  w.set_at_ms(op.at / kMs);
  if (op.request) put(*op.request, *w.mutable_request());
  if (op.facts) put(*op.facts, *w.mutable_facts());
  if (op.step) {
    w.mutable_step()->set_work(op.step->work);
    w.mutable_step()->set_from(static_cast<std::uint32_t>(op.step->from));
    w.mutable_step()->set_to(static_cast<std::uint32_t>(op.step->to));
  }
  if (op.hold) w.set_hold(*op.hold);
  if (op.resume) w.set_resume(*op.resume);
  if (op.cancel) w.set_cancel(*op.cancel);
  if (op.done) w.set_done(*op.done);
  std::string text;
  google::protobuf::TextFormat::Printer printer;
  printer.SetSingleLineMode(true);
  printer.PrintToString(w, &text);
  return text;
}

std::optional<Op> decode_op(const std::string& text) {
  upkeep::wire::Op w;
  google::protobuf::TextFormat::Parser parser;
  FirstError error;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &w)) return std::nullopt;
  Op op;
  op.at = moment(w.at_ms());
  if (w.has_request()) op.request = take(w.request());
  if (w.has_facts() && !(op.facts = take(w.facts()))) return std::nullopt;
  if (w.has_step()) {
    if (w.step().from() >= kSteps || w.step().to() >= kSteps) return std::nullopt;
    op.step = Op::Move{w.step().work(), static_cast<Step>(w.step().from()), static_cast<Step>(w.step().to())};
  }
  if (w.has_hold()) op.hold = w.hold();
  if (w.has_resume()) op.resume = w.resume();
  if (w.has_cancel()) op.cancel = w.cancel();
  if (w.has_done()) op.done = w.done();
  return op;
}

shared_config::ApplyResult Works::apply(
    const shared_config::ConfigEntry& e,
    std::shared_ptr<const shared_config::ReplicatedStateMachine>& next) const {
  const auto op = decode_op(e.text);
  if (!op) return {0, "an entry on works that can't be read"};
  auto made = std::make_shared<Works>(*this);
  shared_config::ApplyResult v;
  if (op->request) {
    v = made->request(e, *op);
  } else if (op->facts) {
    made->facts_ = *op->facts, made->facts_at_ = op->at;
    v = {1, ""};
  } else if (op->step) {
    v = made->step(e, *op);
  } else {
    v = made->operators(e, *op);
  }
  if (v.number) next = std::move(made);
  return v;
}

void Works::to(Work& w, Step step, Time at, const std::string& why) {
  w.step = step, w.since = at, w.last = why.substr(0, 256);
  if (!w.open()) forget_old();
}

void Works::forget_old() {
  std::size_t ended = 0;
  for (const auto& [n, w] : works_) ended += !w.open();
  for (auto it = works_.begin(); it != works_.end() && ended > kEnded;)
    if (!it->second.open())
      it = works_.erase(it), --ended;
    else
      ++it;
}

shared_config::ApplyResult Works::request(const shared_config::ConfigEntry& e, const Op& op) {
  const Request& r = *op.request;
  if (!good(r.machine)) return {0, "machine is missing or no name"};
  if (r.nodes.empty() && r.brokers.empty()) return {0, "a machine carries at least one node or broker"};
  if (r.nodes.size() > 64 || r.brokers.size() > 64)
    return {0, "a machine carries at most 64 nodes and brokers"};
  std::set<std::string> twice;
  for (const auto* names : {&r.nodes, &r.brokers})
    for (const auto& n : *names)
      if (!good(n) || !twice.insert(n).second) return {0, "\"" + n + "\" is no name, or stands twice"};
  if (r.length <= 0) return {0, "how long the work takes must be stated"};
  if (facts_.cells == 0) return {0, "the brokers don't know the nodes yet; say it again"};
  std::size_t open = 0;
  for (const auto& [n, w] : works_) {
    if (!w.open()) continue;
    ++open;
    bool same = w.request.machine == r.machine;
    for (const auto& node : r.nodes)
      same = same || std::count(w.request.nodes.begin(), w.request.nodes.end(), node);
    for (const auto& b : r.brokers)
      same = same || std::count(w.request.brokers.begin(), w.request.brokers.end(), b);
    if (same)
      return {0,
              "work " + said(static_cast<std::int64_t>(n)) + " has that machine or what it carries already"};
  }
  if (open >= kOpen) return {0, "too many works wait"};
  for (const auto& n : r.nodes)
    if (!facts_.nodes.count(n)) return {0, "no node \"" + n + "\" in the list"};
  if (!r.emergency) {
    if (const std::string why = never_fits(r); !why.empty()) return {0, "it never fits: " + why};
    // Neither itself too late, nor another that is worth as much and would have been in time.
    const bool due = r.latest != kNever || std::any_of(works_.begin(), works_.end(), [](const auto& w) {
                       return w.second.step == Step::queued && w.second.request.latest != kNever;
                     });
    std::set<std::uint64_t> late_before;
    if (due)
      for (const Planned& p : plan(*this, op.at))
        if (!p.in_time) late_before.insert(p.work);
    for (const Planned& p : due ? plan(*this, op.at, &r) : std::vector<Planned>{}) {
      if (p.in_time || late_before.count(p.work)) continue;
      if (p.work == 0)
        return {0, "it can't be over by its latest; it could begin " + said((p.start - op.at) / kSecond) +
                       " s from now and takes " + said((r.length + facts_.terms.around) / kSecond) + " s"};
      if (works_.at(p.work).request.priority >= r.priority)
        return {0, "work " + said(static_cast<std::int64_t>(p.work)) +
                       " would be over too late; state a later time for this one, or a higher priority"};
    }
  }
  Work w;
  w.request = r;
  w.request.cells.clear();
  for (const auto& n : r.nodes) w.request.cells.push_back(facts_.nodes.at(n).cell);
  w.request.zone = zone_of(r), w.request.region = region_of(r);
  w.number = ++last_, w.who = e.who, w.why = e.why, w.since = op.at, w.last = "asked for";
  works_[w.number] = w;
  return {w.number, ""};
}

shared_config::ApplyResult Works::step(const shared_config::ConfigEntry& e, const Op& op) {
  const auto it = works_.find(op.step->work);
  if (it == works_.end()) return {0, "no such work"};
  Work& w = it->second;
  if (w.step != op.step->from) return {0, std::string("it is ") + name_of(w.step) + " by now"};
  if (!may_follow(w.step, op.step->to))
    return {0, std::string(name_of(op.step->to)) + " does not follow " + name_of(w.step)};
  const bool onwards = op.step->to == Step::draining || op.step->to == Step::at_work;
  if (onwards && (held_ || w.held)) return {0, "it is held"};
  if (op.step->to == Step::draining && !w.request.emergency)
    if (const std::string why = forbids(w.request, w.number); !why.empty()) return {0, why};
  to(w, op.step->to, op.at, e.why);
  if (w.step == Step::lost && facts_.terms.stop_on_loss) held_ = true;
  return {w.number, ""};
}

shared_config::ApplyResult Works::operators(const shared_config::ConfigEntry& e, const Op& op) {
  const auto named = op.hold     ? *op.hold
                     : op.resume ? *op.resume
                     : op.cancel ? *op.cancel
                                 : op.done.value_or(0);
  if (!named && (op.hold || op.resume)) {
    held_ = op.hold.has_value();
    return {1, ""};
  }
  const auto it = works_.find(named);
  if (it == works_.end()) return {0, "no such work"};
  Work& w = it->second;
  const std::string by = " by " + e.who + ": " + e.why;
  if (op.hold || op.resume) {
    if (!w.open()) return {0, std::string("it is ") + name_of(w.step)};
    w.held = op.hold.has_value();
    w.last = (w.held ? "held" : "resumed") + by;
    return {w.number, ""};
  }
  if (op.cancel) {
    if (w.step != Step::queued && w.step != Step::draining && w.step != Step::empty)
      return {0, std::string("it is ") + name_of(w.step) +
                     (w.step == Step::at_work ? ": say done once it is back" : "")};
    to(w, Step::cancelled, op.at, "cancelled" + by);
    return {w.number, ""};
  }
  if (op.done) {
    if (w.step != Step::at_work && w.step != Step::lost) return {0, std::string("it is ") + name_of(w.step)};
    to(w, Step::returning, op.at, "done, said" + by);
    return {w.number, ""};
  }
  return {0, "an entry on works that says nothing"};
}

std::set<std::string> Works::out_nodes() const {
  std::set<std::string> all;
  for (const auto& [n, w] : works_)
    if (w.takes_out()) all.insert(w.request.nodes.begin(), w.request.nodes.end());
  return all;
}

std::set<std::string> Works::withheld_beforehand() const {
  std::set<std::string> all = out_nodes();
  int more = 2 * facts_.terms.at_once;
  for (const auto& [n, w] : works_) {
    if (w.step != Step::queued || w.held || w.request.nodes.empty()) continue;
    if (more-- == 0) break;
    std::set<std::string> with = all;
    with.insert(w.request.nodes.begin(), w.request.nodes.end());
    const auto mine = shards(w.request);
    const bool all_keep = std::all_of(mine.begin(), mine.end(), [&](int s) {
      return std::any_of(facts_.nodes.begin(), facts_.nodes.end(),
                         [&](const auto& node) { return holds(node.second, s) && !with.count(node.first); });
    });
    if (all_keep) all = std::move(with);
  }
  return all;
}

std::string Works::zone_of(const Request& r) const {
  if (!r.zone.empty() || r.nodes.empty()) return r.zone;
  const auto it = facts_.nodes.find(r.nodes.front());
  return it == facts_.nodes.end() ? "" : it->second.zone;
}

std::string Works::region_of(const Request& r) const {
  if (!r.region.empty()) return r.region;
  const auto it = facts_.zones.find(zone_of(r));
  return it == facts_.zones.end() ? "" : it->second.region;
}

int Works::voters_of(const Request& r) const {
  return static_cast<int>(std::count_if(r.brokers.begin(), r.brokers.end(),
                                        [&](const auto& b) { return facts_.voters.count(b); }));
}

std::vector<int> Works::shards(const Request& r) const {
  std::set<int> all;
  const auto add = [&](int cell) {
    for (int j = 0; j < facts_.width; ++j)
      all.insert((cell % facts_.cells - j + facts_.cells) % facts_.cells);
  };
  if (facts_.cells == 0) return {};
  for (const int cell : r.cells) add(cell);
  if (r.cells.empty())
    for (const auto& name : r.nodes)
      if (const auto it = facts_.nodes.find(name); it != facts_.nodes.end()) add(it->second.cell);
  return {all.begin(), all.end()};
}

bool Works::holds(const NodeFact& node, int shard) const {
  return (node.cell - shard + facts_.cells) % facts_.cells < facts_.width;
}

int Works::warm_holders(int shard, const std::set<std::string>& out) const {
  int n = 0;
  for (const auto& [name, f] : facts_.nodes) n += holds(f, shard) && f.ready && f.warm && !out.count(name);
  return n;
}

std::vector<int> Works::endangers(const Request& r) const {
  std::set<std::string> out = out_nodes();
  out.insert(r.nodes.begin(), r.nodes.end());
  std::vector<int> all;
  for (const int s : shards(r))
    if (warm_holders(s, out) < facts_.terms.holders_least) all.push_back(s);
  return all;
}

int Works::zone_nodes_most(const std::string& zone) const {
  int all = 0, down = 0;
  const std::set<std::string> out = out_nodes();
  for (const auto& [name, f] : facts_.nodes) {
    if (f.zone != zone) continue;
    ++all;
    down += !f.ready && !out.count(name);
  }
  int may = static_cast<int>((1 - facts_.terms.zone_keep) * all + 1e-9) - down;
  const auto z = facts_.zones.find(zone);
  if (z != facts_.zones.end() && z->second.capacity > 0 && all > 0) {
    // Its capacity is that of the nodes in service; of those out the like is taken off.
    int in = 0;
    for (const auto& [name, f] : facts_.nodes) in += f.zone == zone && f.ready && !out.count(name);
    const double each = z->second.capacity / std::max(1, in);
    const int needed = static_cast<int>(
        std::min(1e6, z->second.load / (each * std::max(0.01, 1 - facts_.terms.headroom)) + 0.999));
    may = std::min(may, in + (all - down - in) - needed);
  }
  return std::max(0, may);
}

std::string Works::never_fits(const Request& r) const {
  const std::set<std::string> out(r.nodes.begin(), r.nodes.end());
  for (const int s : shards(r)) {
    int left = 0;
    for (const auto& [name, f] : facts_.nodes) left += holds(f, s) && !out.count(name);
    if (left < facts_.terms.holders_least)
      return "shard " + said(s) + " would keep " + said(left) + " holders, and " +
             said(facts_.terms.holders_least) + " are stated";
  }
  const std::string zone = zone_of(r);
  int all = 0, of_it = 0;
  for (const auto& [name, f] : facts_.nodes)
    if (f.zone == zone) ++all, of_it += static_cast<int>(out.count(name));
  if (of_it > 0 && of_it > static_cast<int>((1 - facts_.terms.zone_keep) * all + 1e-9))
    return "zone \"" + zone + "\" would lose " + said(of_it) + " of " + said(all) + " nodes";
  const int voters = voters_of(r), of_all = static_cast<int>(facts_.voters.size());
  if (voters > 0 && 2 * (of_all - voters) <= of_all)
    return said(voters) + " of " + said(of_all) + " voters stand on it: what is left is no majority";
  return "";
}

std::string Works::forbids(const Request& r, std::uint64_t itself) const {
  const Terms& t = facts_.terms;
  const std::vector<int> mine = shards(r);
  const std::string zone = zone_of(r), region = region_of(r);
  int all = 0, rack = 0, in_zone = 0, in_region = 0, zone_nodes = static_cast<int>(r.nodes.size());
  int voters = voters_of(r);
  for (const auto& [n, w] : works_) {
    if (n == itself || !w.under_way()) continue;
    const std::string beside = "work " + said(static_cast<std::int64_t>(n)) + " on " + w.request.machine;
    if (w.step != Step::lost) {
      for (const int s : shards(w.request))
        if (std::binary_search(mine.begin(), mine.end(), s))
          return "shard " + said(s) + " is held there too, and " + beside + " is not warm again";
      ++all, rack += !r.rack.empty() && w.request.rack == r.rack;
      in_region += !region.empty() && region_of(w.request) == region;
      if (!zone.empty() && zone_of(w.request) == zone)
        ++in_zone, zone_nodes += static_cast<int>(w.request.nodes.size());
    }
    voters += voters_of(w.request);
  }
  if (all >= t.at_once) return said(all) + " machines are out, as many as may be";
  if (rack >= t.a_rack) return "of rack \"" + r.rack + "\" " + said(rack) + " are out, as many as may be";
  if (in_zone >= t.a_zone) return "of zone \"" + zone + "\" " + said(in_zone) + " are out, as many as may be";
  if (in_region >= t.a_region)
    return "of region \"" + region + "\" " + said(in_region) + " are out, as many as may be";
  const int of_all = static_cast<int>(facts_.voters.size());
  if (voters_of(r) > 0 && 2 * (of_all - voters) <= of_all) return "no majority of voters would be left";
  const auto z = facts_.zones.find(zone);
  if (z != facts_.zones.end() && !z->second.near) return "zone \"" + zone + "\" is in failover";
  if (!zone.empty() && !r.nodes.empty())
    if (const int most = zone_nodes_most(zone); zone_nodes > most)
      return "zone \"" + zone + "\" can spare " + said(most) + " nodes, and " + said(zone_nodes) +
             " would be out";
  if (const auto shards_short = endangers(r); !shards_short.empty())
    return "shard " + said(shards_short.front()) + " would keep fewer than " + said(t.holders_least) +
           " warm holders";
  return "";
}

std::string Works::snapshot() const {
  upkeep::wire::State s;
  s.set_last(last_), s.set_held(held_);
  for (const auto& [n, w] : works_) {
    auto& o = *s.add_work();
    o.set_number(n), put(w.request, *o.mutable_request());
    o.set_who(w.who), o.set_why(w.why), o.set_step(static_cast<std::uint32_t>(w.step));
    o.set_since_ms(w.since / kMs), o.set_held(w.held), o.set_last(w.last);
  }
  put(facts_, *s.mutable_facts());
  s.set_facts_at_ms(facts_at_ / kMs);
  return s.SerializeAsString();
}

std::shared_ptr<const shared_config::ReplicatedStateMachine> Works::restore(std::string_view bytes) const {
  upkeep::wire::State s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return nullptr;
  auto made = std::make_shared<Works>();
  made->last_ = s.last(), made->held_ = s.held();
  for (const auto& o : s.work()) {
    if (o.step() >= kSteps) return nullptr;
    made->works_[o.number()] = {
        o.number(),           take(o.request()), o.who(), o.why(), static_cast<Step>(o.step()),
        moment(o.since_ms()), o.held(),          o.last()};
  }
  const auto f = take(s.facts());
  if (!f) return nullptr;
  made->facts_ = *f, made->facts_at_ = moment(s.facts_at_ms());
  return made;
}

}  // namespace cairnhub::maintenance
