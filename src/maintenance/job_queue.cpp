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

void put(const JobRequest& r, upkeep::wire::Request& w) {
  w.set_machine(r.machine);
  for (const auto& n : r.endpoints) w.add_node(n);
  for (const auto& b : r.brokers) w.add_broker(b);
  if (!r.rack.empty()) w.set_rack(r.rack);
  if (!r.zone.empty()) w.set_zone(r.zone);
  if (!r.region.empty()) w.set_region(r.region);
  if (r.earliest_start) w.set_earliest_ms(r.earliest_start / kMillisecond);
  if (r.latest_end != kNever) w.set_latest_ms(r.latest_end / kMillisecond);
  w.set_length_ms(r.duration / kMillisecond);
  if (r.priority) w.set_priority(r.priority);
  if (r.is_emergency) w.set_emergency(true);
  for (const int c : r.ring_positions) w.add_cell(c);
}

// Past these no sum of times overflows.
constexpr std::int64_t kTimeMost = 4'000'000'000'000, kLengthMost = 31LL * 86'400'000;  // ms
Time moment(std::int64_t ms) { return std::clamp<std::int64_t>(ms, 0, kTimeMost) * kMillisecond; }

JobRequest take(const upkeep::wire::Request& w) {
  JobRequest r;
  r.machine = w.machine();
  r.endpoints = {w.node().begin(), w.node().end()};
  r.brokers = {w.broker().begin(), w.broker().end()};
  r.rack = w.rack(), r.zone = w.zone(), r.region = w.region();
  r.earliest_start = moment(w.earliest_ms());
  if (w.has_latest_ms()) r.latest_end = moment(w.latest_ms());
  r.duration = std::clamp<std::int64_t>(w.length_ms(), 0, kLengthMost) * kMillisecond;
  r.priority = std::clamp(w.priority(), -1000, 1000), r.is_emergency = w.emergency();
  for (const int c : w.cell()) r.ring_positions.push_back(std::clamp(c, 0, 65535));
  return r;
}

void put(const FleetStatus& f, upkeep::wire::Facts& w) {
  w.set_revision(f.revision), w.set_cells(f.ring_size), w.set_width(f.replicas_per_shard);
  auto& t = *w.mutable_terms();
  t.set_holders_least(f.limits.min_warm_replicas), t.set_at_once(f.limits.max_machines),
      t.set_a_rack(f.limits.max_machines_per_rack);
  t.set_a_zone(f.limits.max_machines_per_zone), t.set_a_region(f.limits.max_machines_per_region),
      t.set_zone_keep(f.limits.min_zone_share_in_service);
  t.set_headroom(f.limits.min_headroom_share), t.set_lost_after_ms(f.limits.lost_after / kMillisecond);
  t.set_around_ms(f.limits.transition_time / kMillisecond), t.set_stop_on_loss(f.limits.holds_queue_on_loss);
  for (const auto& [name, n] : f.endpoints) {
    auto& o = *w.add_node();
    o.set_name(name), o.set_cell(n.ring_position), o.set_zone(n.zone), o.set_ready(n.is_ready),
        o.set_warm(n.is_warm);
  }
  for (const auto& [name, z] : f.zones) {
    auto& o = *w.add_zone();
    o.set_name(name), o.set_region(z.region), o.set_near(z.serves_locally), o.set_load(z.load_per_second),
        o.set_capacity(z.capacity_per_second);
  }
  for (const auto& v : f.voters) w.add_voter(v);
}

std::optional<FleetStatus> take(const upkeep::wire::Facts& w) {
  FleetStatus f;
  if (w.cells() < 0 || w.cells() > 65536 || w.width() < 0 || w.width() > w.cells()) return std::nullopt;
  if (w.node_size() > static_cast<int>(JobQueue::kMaxEndpoints)) return std::nullopt;
  f.revision = w.revision(), f.ring_size = w.cells(), f.replicas_per_shard = w.width();
  const auto& t = w.terms();
  const auto count = [](int n) { return std::clamp(n, 0, 100000); };
  const auto share = [](double d) { return d >= 0 && d <= 1; };  // no number is none
  const auto rate = [](double d) { return d >= 0 && d <= 1e12; };
  if (!share(t.zone_keep()) || !share(t.headroom())) return std::nullopt;
  f.limits = {count(t.holders_least()),
              count(t.at_once()),
              count(t.a_rack()),
              count(t.a_zone()),
              count(t.a_region()),
              t.zone_keep(),
              t.headroom(),
              std::clamp<std::int64_t>(t.lost_after_ms(), 0, kLengthMost) * kMillisecond,
              std::clamp<std::int64_t>(t.around_ms(), 0, kLengthMost) * kMillisecond,
              t.stop_on_loss()};
  for (const auto& n : w.node()) {
    if (n.cell() < 0 || n.cell() >= f.ring_size) return std::nullopt;
    f.endpoints[n.name()] = {n.cell(), n.zone(), n.ready(), n.warm()};
  }
  for (const auto& z : w.zone()) {
    if (!rate(z.load()) || !rate(z.capacity())) return std::nullopt;
    f.zones[z.name()] = {z.region(), z.near(), z.load(), z.capacity()};
  }
  f.voters = {w.voter().begin(), w.voter().end()};
  return f;
}

constexpr int kSteps = 8;

bool may_follow(JobState from, JobState to) {
  switch (from) {
    case JobState::kQueued:
      return to == JobState::kDraining;
    case JobState::kDraining:
      return to == JobState::kEmpty || to == JobState::kQueued;
    case JobState::kEmpty:
      return to == JobState::kInMaintenance || to == JobState::kQueued;
    case JobState::kInMaintenance:
      return to == JobState::kLost;
    case JobState::kReturning:
      return to == JobState::kDone || to == JobState::kLost;
    default:
      return false;
  }
}

}  // namespace

const char* job_state_name(JobState step) {
  switch (step) {
    case JobState::kQueued:
      return "queued";
    case JobState::kDraining:
      return "draining";
    case JobState::kEmpty:
      return "empty";
    case JobState::kInMaintenance:
      return "at work";
    case JobState::kReturning:
      return "returning";
    case JobState::kDone:
      return "in service";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kLost:
      return "lost";
  }
  return "?";
}

std::string encode_operation(const JobOperation& op) {
  upkeep::wire::Op w;
  w.set_at_ms(op.stated_at / kMillisecond);
  if (op.request) put(*op.request, *w.mutable_request());
  if (op.fleet_status) put(*op.fleet_status, *w.mutable_facts());
  if (op.transition) {
    w.mutable_step()->set_work(op.transition->job);
    w.mutable_step()->set_from(static_cast<std::uint32_t>(op.transition->from));
    w.mutable_step()->set_to(static_cast<std::uint32_t>(op.transition->to));
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

std::optional<JobOperation> decode_operation(const std::string& text) {
  upkeep::wire::Op w;
  google::protobuf::TextFormat::Parser parser;
  FirstError error;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &w)) return std::nullopt;
  JobOperation op;
  op.stated_at = moment(w.at_ms());
  if (w.has_request()) op.request = take(w.request());
  if (w.has_facts() && !(op.fleet_status = take(w.facts()))) return std::nullopt;
  if (w.has_step()) {
    if (w.step().from() >= kSteps || w.step().to() >= kSteps) return std::nullopt;
    op.transition = JobOperation::Transition{w.step().work(), static_cast<JobState>(w.step().from()),
                                             static_cast<JobState>(w.step().to())};
  }
  if (w.has_hold()) op.hold = w.hold();
  if (w.has_resume()) op.resume = w.resume();
  if (w.has_cancel()) op.cancel = w.cancel();
  if (w.has_done()) op.done = w.done();
  return op;
}

shared_config::Verdict JobQueue::apply(const shared_config::Entry& e,
                                       std::shared_ptr<const shared_config::Board>& next) const {
  const auto op = decode_operation(e.text);
  if (!op) return {0, "an entry on works that can't be read"};
  auto made = std::make_shared<JobQueue>(*this);
  shared_config::Verdict v;
  if (op->request) {
    v = made->request(e, *op);
  } else if (op->fleet_status) {
    made->facts_ = *op->fleet_status, made->facts_at_ = op->stated_at;
    v = {1, ""};
  } else if (op->transition) {
    v = made->step(e, *op);
  } else {
    v = made->operators(e, *op);
  }
  if (v.number) next = std::move(made);
  return v;
}

void JobQueue::to(Job& w, JobState step, Time at, const std::string& why) {
  w.state = step, w.state_since = at, w.state_reason = why.substr(0, 256);
  if (!w.is_open()) forget_old();
}

void JobQueue::forget_old() {
  std::size_t ended = 0;
  for (const auto& [n, w] : works_) ended += !w.is_open();
  for (auto it = works_.begin(); it != works_.end() && ended > kMaxEndedJobs;)
    if (!it->second.is_open())
      it = works_.erase(it), --ended;
    else
      ++it;
}

shared_config::Verdict JobQueue::request(const shared_config::Entry& e, const JobOperation& op) {
  const JobRequest& r = *op.request;
  if (!good(r.machine)) return {0, "machine is missing or no name"};
  if (r.endpoints.empty() && r.brokers.empty()) return {0, "a machine carries at least one node or broker"};
  if (r.endpoints.size() > 64 || r.brokers.size() > 64)
    return {0, "a machine carries at most 64 nodes and brokers"};
  std::set<std::string> twice;
  for (const auto* names : {&r.endpoints, &r.brokers})
    for (const auto& n : *names)
      if (!good(n) || !twice.insert(n).second) return {0, "\"" + n + "\" is no name, or stands twice"};
  if (r.duration <= 0) return {0, "how long the work takes must be stated"};
  if (facts_.ring_size == 0) return {0, "the brokers don't know the nodes yet; say it again"};
  std::size_t open = 0;
  for (const auto& [n, w] : works_) {
    if (!w.is_open()) continue;
    ++open;
    bool same = w.request.machine == r.machine;
    for (const auto& node : r.endpoints)
      same = same || std::count(w.request.endpoints.begin(), w.request.endpoints.end(), node);
    for (const auto& b : r.brokers)
      same = same || std::count(w.request.brokers.begin(), w.request.brokers.end(), b);
    if (same)
      return {0,
              "work " + said(static_cast<std::int64_t>(n)) + " has that machine or what it carries already"};
  }
  if (open >= kMaxOpenJobs) return {0, "too many works wait"};
  for (const auto& n : r.endpoints)
    if (!facts_.endpoints.count(n)) return {0, "no node \"" + n + "\" in the list"};
  if (!r.is_emergency) {
    if (const std::string why = permanent_blocking_reason(r); !why.empty())
      return {0, "it never fits: " + why};
    // Neither itself too late, nor another that is worth as much and would have been in time.
    const bool due = r.latest_end != kNever || std::any_of(works_.begin(), works_.end(), [](const auto& w) {
                       return w.second.state == JobState::kQueued && w.second.request.latest_end != kNever;
                     });
    std::set<std::uint64_t> late_before;
    if (due)
      for (const PlannedJob& p : plan_jobs(*this, op.stated_at))
        if (!p.is_in_time) late_before.insert(p.job);
    for (const PlannedJob& p : due ? plan_jobs(*this, op.stated_at, &r) : std::vector<PlannedJob>{}) {
      if (p.is_in_time || late_before.count(p.job)) continue;
      if (p.job == 0)
        return {0, "it can't be over by its latest; it could begin " +
                       said((p.start - op.stated_at) / kSecond) + " s from now and takes " +
                       said((r.duration + facts_.limits.transition_time) / kSecond) + " s"};
      if (works_.at(p.job).request.priority >= r.priority)
        return {0, "work " + said(static_cast<std::int64_t>(p.job)) +
                       " would be over too late; state a later time for this one, or a higher priority"};
    }
  }
  Job w;
  w.request = r;
  w.request.ring_positions.clear();
  for (const auto& n : r.endpoints) w.request.ring_positions.push_back(facts_.endpoints.at(n).ring_position);
  w.request.zone = zone_of(r), w.request.region = region_of(r);
  w.number = ++last_, w.requested_by = e.who, w.reason = e.why, w.state_since = op.stated_at,
  w.state_reason = "asked for";
  works_[w.number] = w;
  return {w.number, ""};
}

shared_config::Verdict JobQueue::step(const shared_config::Entry& e, const JobOperation& op) {
  const auto it = works_.find(op.transition->job);
  if (it == works_.end()) return {0, "no such work"};
  Job& w = it->second;
  if (w.state != op.transition->from) return {0, std::string("it is ") + job_state_name(w.state) + " by now"};
  if (!may_follow(w.state, op.transition->to))
    return {0,
            std::string(job_state_name(op.transition->to)) + " does not follow " + job_state_name(w.state)};
  const bool onwards =
      op.transition->to == JobState::kDraining || op.transition->to == JobState::kInMaintenance;
  if (onwards && (held_ || w.is_held)) return {0, "it is held"};
  if (op.transition->to == JobState::kDraining && !w.request.is_emergency)
    if (const std::string why = blocking_reason(w.request, w.number); !why.empty()) return {0, why};
  to(w, op.transition->to, op.stated_at, e.why);
  if (w.state == JobState::kLost && facts_.limits.holds_queue_on_loss) held_ = true;
  return {w.number, ""};
}

shared_config::Verdict JobQueue::operators(const shared_config::Entry& e, const JobOperation& op) {
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
  Job& w = it->second;
  const std::string by = " by " + e.who + ": " + e.why;
  if (op.hold || op.resume) {
    if (!w.is_open()) return {0, std::string("it is ") + job_state_name(w.state)};
    w.is_held = op.hold.has_value();
    w.state_reason = (w.is_held ? "held" : "resumed") + by;
    return {w.number, ""};
  }
  if (op.cancel) {
    if (w.state != JobState::kQueued && w.state != JobState::kDraining && w.state != JobState::kEmpty)
      return {0, std::string("it is ") + job_state_name(w.state) +
                     (w.state == JobState::kInMaintenance ? ": say done once it is back" : "")};
    to(w, JobState::kCancelled, op.stated_at, "cancelled" + by);
    return {w.number, ""};
  }
  if (op.done) {
    if (w.state != JobState::kInMaintenance && w.state != JobState::kLost)
      return {0, std::string("it is ") + job_state_name(w.state)};
    to(w, JobState::kReturning, op.stated_at, "done, said" + by);
    return {w.number, ""};
  }
  return {0, "an entry on works that says nothing"};
}

std::set<std::string> JobQueue::endpoints_out() const {
  std::set<std::string> all;
  for (const auto& [n, w] : works_)
    if (w.takes_endpoints_out()) all.insert(w.request.endpoints.begin(), w.request.endpoints.end());
  return all;
}

std::set<std::string> JobQueue::baseline_exclusions() const {
  std::set<std::string> all = endpoints_out();
  int more = 2 * facts_.limits.max_machines;
  for (const auto& [n, w] : works_) {
    if (w.state != JobState::kQueued || w.is_held || w.request.endpoints.empty()) continue;
    if (more-- == 0) break;
    std::set<std::string> with = all;
    with.insert(w.request.endpoints.begin(), w.request.endpoints.end());
    const auto mine = shards_of(w.request);
    const bool all_keep = std::all_of(mine.begin(), mine.end(), [&](int s) {
      return std::any_of(facts_.endpoints.begin(), facts_.endpoints.end(),
                         [&](const auto& node) { return holds(node.second, s) && !with.count(node.first); });
    });
    if (all_keep) all = std::move(with);
  }
  return all;
}

std::string JobQueue::zone_of(const JobRequest& r) const {
  if (!r.zone.empty() || r.endpoints.empty()) return r.zone;
  const auto it = facts_.endpoints.find(r.endpoints.front());
  return it == facts_.endpoints.end() ? "" : it->second.zone;
}

std::string JobQueue::region_of(const JobRequest& r) const {
  if (!r.region.empty()) return r.region;
  const auto it = facts_.zones.find(zone_of(r));
  return it == facts_.zones.end() ? "" : it->second.region;
}

int JobQueue::voter_count(const JobRequest& r) const {
  return static_cast<int>(std::count_if(r.brokers.begin(), r.brokers.end(),
                                        [&](const auto& b) { return facts_.voters.count(b); }));
}

std::vector<int> JobQueue::shards_of(const JobRequest& r) const {
  std::set<int> all;
  const auto add = [&](int cell) {
    for (int j = 0; j < facts_.replicas_per_shard; ++j)
      all.insert((cell % facts_.ring_size - j + facts_.ring_size) % facts_.ring_size);
  };
  if (facts_.ring_size == 0) return {};
  for (const int cell : r.ring_positions) add(cell);
  if (r.ring_positions.empty())
    for (const auto& name : r.endpoints)
      if (const auto it = facts_.endpoints.find(name); it != facts_.endpoints.end())
        add(it->second.ring_position);
  return {all.begin(), all.end()};
}

bool JobQueue::holds(const EndpointStatus& node, int shard) const {
  return (node.ring_position - shard + facts_.ring_size) % facts_.ring_size < facts_.replicas_per_shard;
}

int JobQueue::warm_holders(int shard, const std::set<std::string>& out) const {
  int n = 0;
  for (const auto& [name, f] : facts_.endpoints)
    n += holds(f, shard) && f.is_ready && f.is_warm && !out.count(name);
  return n;
}

std::vector<int> JobQueue::shards_below_min_replicas(const JobRequest& r) const {
  std::set<std::string> out = endpoints_out();
  out.insert(r.endpoints.begin(), r.endpoints.end());
  std::vector<int> all;
  for (const int s : shards_of(r))
    if (warm_holders(s, out) < facts_.limits.min_warm_replicas) all.push_back(s);
  return all;
}

int JobQueue::max_zone_endpoints_out(const std::string& zone) const {
  int all = 0, down = 0;
  const std::set<std::string> out = endpoints_out();
  for (const auto& [name, f] : facts_.endpoints) {
    if (f.zone != zone) continue;
    ++all;
    down += !f.is_ready && !out.count(name);
  }
  int may = static_cast<int>((1 - facts_.limits.min_zone_share_in_service) * all + 1e-9) - down;
  const auto z = facts_.zones.find(zone);
  if (z != facts_.zones.end() && z->second.capacity_per_second > 0 && all > 0) {
    // Its capacity is that of the nodes in service; of those out the like is taken off.
    int in = 0;
    for (const auto& [name, f] : facts_.endpoints) in += f.zone == zone && f.is_ready && !out.count(name);
    const double each = z->second.capacity_per_second / std::max(1, in);
    const int needed = static_cast<int>(std::min(
        1e6,
        z->second.load_per_second / (each * std::max(0.01, 1 - facts_.limits.min_headroom_share)) + 0.999));
    may = std::min(may, in + (all - down - in) - needed);
  }
  return std::max(0, may);
}

std::string JobQueue::permanent_blocking_reason(const JobRequest& r) const {
  const std::set<std::string> out(r.endpoints.begin(), r.endpoints.end());
  for (const int s : shards_of(r)) {
    int left = 0;
    for (const auto& [name, f] : facts_.endpoints) left += holds(f, s) && !out.count(name);
    if (left < facts_.limits.min_warm_replicas)
      return "shard " + said(s) + " would keep " + said(left) + " holders, and " +
             said(facts_.limits.min_warm_replicas) + " are stated";
  }
  const std::string zone = zone_of(r);
  int all = 0, of_it = 0;
  for (const auto& [name, f] : facts_.endpoints)
    if (f.zone == zone) ++all, of_it += static_cast<int>(out.count(name));
  if (of_it > 0 && of_it > static_cast<int>((1 - facts_.limits.min_zone_share_in_service) * all + 1e-9))
    return "zone \"" + zone + "\" would lose " + said(of_it) + " of " + said(all) + " nodes";
  const int voters = voter_count(r), of_all = static_cast<int>(facts_.voters.size());
  if (voters > 0 && 2 * (of_all - voters) <= of_all)
    return said(voters) + " of " + said(of_all) + " voters stand on it: what is left is no majority";
  return "";
}

std::string JobQueue::blocking_reason(const JobRequest& r, std::uint64_t itself) const {
  const MaintenanceLimits& t = facts_.limits;
  const std::vector<int> mine = shards_of(r);
  const std::string zone = zone_of(r), region = region_of(r);
  int all = 0, rack = 0, in_zone = 0, in_region = 0, zone_nodes = static_cast<int>(r.endpoints.size());
  int voters = voter_count(r);
  for (const auto& [n, w] : works_) {
    if (n == itself || !w.is_in_progress()) continue;
    const std::string beside = "work " + said(static_cast<std::int64_t>(n)) + " on " + w.request.machine;
    if (w.state != JobState::kLost) {
      for (const int s : shards_of(w.request))
        if (std::binary_search(mine.begin(), mine.end(), s))
          return "shard " + said(s) + " is held there too, and " + beside + " is not warm again";
      ++all, rack += !r.rack.empty() && w.request.rack == r.rack;
      in_region += !region.empty() && region_of(w.request) == region;
      if (!zone.empty() && zone_of(w.request) == zone)
        ++in_zone, zone_nodes += static_cast<int>(w.request.endpoints.size());
    }
    voters += voter_count(w.request);
  }
  if (all >= t.max_machines) return said(all) + " machines are out, as many as may be";
  if (rack >= t.max_machines_per_rack)
    return "of rack \"" + r.rack + "\" " + said(rack) + " are out, as many as may be";
  if (in_zone >= t.max_machines_per_zone)
    return "of zone \"" + zone + "\" " + said(in_zone) + " are out, as many as may be";
  if (in_region >= t.max_machines_per_region)
    return "of region \"" + region + "\" " + said(in_region) + " are out, as many as may be";
  const int of_all = static_cast<int>(facts_.voters.size());
  if (voter_count(r) > 0 && 2 * (of_all - voters) <= of_all) return "no majority of voters would be left";
  const auto z = facts_.zones.find(zone);
  if (z != facts_.zones.end() && !z->second.serves_locally) return "zone \"" + zone + "\" is in failover";
  if (!zone.empty() && !r.endpoints.empty())
    if (const int most = max_zone_endpoints_out(zone); zone_nodes > most)
      return "zone \"" + zone + "\" can spare " + said(most) + " nodes, and " + said(zone_nodes) +
             " would be out";
  if (const auto shards_short = shards_below_min_replicas(r); !shards_short.empty())
    return "shard " + said(shards_short.front()) + " would keep fewer than " + said(t.min_warm_replicas) +
           " warm holders";
  return "";
}

std::string JobQueue::snapshot() const {
  upkeep::wire::State s;
  s.set_last(last_), s.set_held(held_);
  for (const auto& [n, w] : works_) {
    auto& o = *s.add_work();
    o.set_number(n), put(w.request, *o.mutable_request());
    o.set_who(w.requested_by), o.set_why(w.reason), o.set_step(static_cast<std::uint32_t>(w.state));
    o.set_since_ms(w.state_since / kMillisecond), o.set_held(w.is_held), o.set_last(w.state_reason);
  }
  put(facts_, *s.mutable_facts());
  s.set_facts_at_ms(facts_at_ / kMillisecond);
  return s.SerializeAsString();
}

std::shared_ptr<const shared_config::Board> JobQueue::restore(std::string_view bytes) const {
  upkeep::wire::State s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return nullptr;
  auto made = std::make_shared<JobQueue>();
  made->last_ = s.last(), made->held_ = s.held();
  for (const auto& o : s.work()) {
    if (o.step() >= kSteps) return nullptr;
    made->works_[o.number()] = {
        o.number(),           take(o.request()), o.who(), o.why(), static_cast<JobState>(o.step()),
        moment(o.since_ms()), o.held(),          o.last()};
  }
  const auto f = take(s.facts());
  if (!f) return nullptr;
  made->facts_ = *f, made->facts_at_ = moment(s.facts_at_ms());
  return made;
}

}  // namespace cairnhub::maintenance
