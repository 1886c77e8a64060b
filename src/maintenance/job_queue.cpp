#include "maintenance/job_queue.h"

#include <google/protobuf/text_format.h>

#include <algorithm>

#include "base/first_error.h"
#include "maintenance.pb.h"
#include "maintenance/job_scheduler.h"

namespace cairnhub::maintenance {

namespace {

constexpr std::size_t kMaxStateReasonBytes = 256;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxNamesPerMachine = 64;

bool is_valid_name(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
}

std::string number_text(std::int64_t number) { return std::to_string(number); }

void write_request(const JobRequest& request, upkeep::wire::Request& wire) {
  wire.set_machine(request.machine);
  for (const auto& endpoint : request.endpoints) wire.add_node(endpoint);
  for (const auto& broker : request.brokers) wire.add_broker(broker);
  if (!request.rack.empty()) wire.set_rack(request.rack);
  if (!request.zone.empty()) wire.set_zone(request.zone);
  if (!request.region.empty()) wire.set_region(request.region);
  if (request.earliest_start) wire.set_earliest_ms(request.earliest_start / kMillisecond);
  if (request.latest_end != kNever) wire.set_latest_ms(request.latest_end / kMillisecond);
  wire.set_length_ms(request.duration / kMillisecond);
  if (request.priority) wire.set_priority(request.priority);
  if (request.is_emergency) wire.set_emergency(true);
  for (const int position : request.ring_positions) wire.add_cell(position);
}

// Times are clamped to this range, so that no sum of times overflows.
constexpr std::int64_t kMaxTimeMs = 4'000'000'000'000;
constexpr std::int64_t kMaxDurationMs = 31LL * 86'400'000;
Time time_from_ms(std::int64_t ms) { return std::clamp<std::int64_t>(ms, 0, kMaxTimeMs) * kMillisecond; }

JobRequest read_request(const upkeep::wire::Request& wire) {
  JobRequest request;
  request.machine = wire.machine();
  request.endpoints = {wire.node().begin(), wire.node().end()};
  request.brokers = {wire.broker().begin(), wire.broker().end()};
  request.rack = wire.rack();
  request.zone = wire.zone();
  request.region = wire.region();
  request.earliest_start = time_from_ms(wire.earliest_ms());
  if (wire.has_latest_ms()) request.latest_end = time_from_ms(wire.latest_ms());
  request.duration = std::clamp<std::int64_t>(wire.length_ms(), 0, kMaxDurationMs) * kMillisecond;
  request.priority = std::clamp(wire.priority(), -1000, 1000);
  request.is_emergency = wire.emergency();
  for (const int position : wire.cell()) request.ring_positions.push_back(std::clamp(position, 0, 65535));
  return request;
}

void write_fleet_status(const FleetStatus& status, upkeep::wire::Facts& wire) {
  wire.set_revision(status.revision);
  wire.set_cells(status.ring_size);
  wire.set_width(status.replicas_per_shard);
  auto& limits = *wire.mutable_terms();
  limits.set_holders_least(status.limits.min_warm_replicas);
  limits.set_at_once(status.limits.max_machines);
  limits.set_a_rack(status.limits.max_machines_per_rack);
  limits.set_a_zone(status.limits.max_machines_per_zone);
  limits.set_a_region(status.limits.max_machines_per_region);
  limits.set_zone_keep(status.limits.min_zone_share_in_service);
  limits.set_headroom(status.limits.min_headroom_share);
  limits.set_lost_after_ms(status.limits.lost_after / kMillisecond);
  limits.set_around_ms(status.limits.transition_time / kMillisecond);
  limits.set_stop_on_loss(status.limits.holds_queue_on_loss);
  for (const auto& [name, endpoint] : status.endpoints) {
    auto& entry = *wire.add_node();
    entry.set_name(name);
    entry.set_cell(endpoint.ring_position);
    entry.set_zone(endpoint.zone);
    entry.set_ready(endpoint.is_ready);
    entry.set_warm(endpoint.is_warm);
  }
  for (const auto& [name, zone] : status.zones) {
    auto& entry = *wire.add_zone();
    entry.set_name(name);
    entry.set_region(zone.region);
    entry.set_near(zone.serves_locally);
    entry.set_load(zone.load_per_second);
    entry.set_capacity(zone.capacity_per_second);
  }
  for (const auto& voter : status.voters) wire.add_voter(voter);
}

std::optional<FleetStatus> read_fleet_status(const upkeep::wire::Facts& wire) {
  FleetStatus status;
  if (wire.cells() < 0 || wire.cells() > 65536 || wire.width() < 0 || wire.width() > wire.cells()) {
    return std::nullopt;
  }
  if (wire.node_size() > static_cast<int>(JobQueue::kMaxEndpoints)) return std::nullopt;
  status.revision = wire.revision();
  status.ring_size = wire.cells();
  status.replicas_per_shard = wire.width();
  const auto& limits = wire.terms();
  const auto count = [](int n) { return std::clamp(n, 0, 100000); };
  // NaN fails both comparisons and so both checks.
  const auto is_share = [](double value) { return value >= 0 && value <= 1; };
  const auto is_rate = [](double value) { return value >= 0 && value <= 1e12; };
  if (!is_share(limits.zone_keep()) || !is_share(limits.headroom())) return std::nullopt;
  status.limits = {count(limits.holders_least()),
                   count(limits.at_once()),
                   count(limits.a_rack()),
                   count(limits.a_zone()),
                   count(limits.a_region()),
                   limits.zone_keep(),
                   limits.headroom(),
                   std::clamp<std::int64_t>(limits.lost_after_ms(), 0, kMaxDurationMs) * kMillisecond,
                   std::clamp<std::int64_t>(limits.around_ms(), 0, kMaxDurationMs) * kMillisecond,
                   limits.stop_on_loss()};
  for (const auto& node : wire.node()) {
    if (node.cell() < 0 || node.cell() >= status.ring_size) return std::nullopt;
    status.endpoints[node.name()] = {node.cell(), node.zone(), node.ready(), node.warm()};
  }
  for (const auto& zone : wire.zone()) {
    if (!is_rate(zone.load()) || !is_rate(zone.capacity())) return std::nullopt;
    status.zones[zone.name()] = {zone.region(), zone.near(), zone.load(), zone.capacity()};
  }
  status.voters = {wire.voter().begin(), wire.voter().end()};
  return status;
}

constexpr int kJobStates = 8;

// Returns whether the leader may propose the transition. Operators cancel a job, and report a machine as
// returned, with separate operations.
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

const char* job_state_name(JobState state) {
  switch (state) {
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

std::string encode_operation(const JobOperation& operation) {
  upkeep::wire::Op wire;
  wire.set_at_ms(operation.stated_at / kMillisecond);
  if (operation.request) write_request(*operation.request, *wire.mutable_request());
  if (operation.fleet_status) write_fleet_status(*operation.fleet_status, *wire.mutable_facts());
  if (operation.transition) {
    wire.mutable_step()->set_work(operation.transition->job);
    wire.mutable_step()->set_from(static_cast<std::uint32_t>(operation.transition->from));
    wire.mutable_step()->set_to(static_cast<std::uint32_t>(operation.transition->to));
  }
  if (operation.hold) wire.set_hold(*operation.hold);
  if (operation.resume) wire.set_resume(*operation.resume);
  if (operation.cancel) wire.set_cancel(*operation.cancel);
  if (operation.done) wire.set_done(*operation.done);
  std::string text;
  google::protobuf::TextFormat::Printer printer;
  printer.SetSingleLineMode(true);
  printer.PrintToString(wire, &text);
  return text;
}

std::optional<JobOperation> decode_operation(const std::string& text) {
  upkeep::wire::Op wire;
  google::protobuf::TextFormat::Parser parser;
  FirstError error;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &wire)) return std::nullopt;
  JobOperation operation;
  operation.stated_at = time_from_ms(wire.at_ms());
  if (wire.has_request()) operation.request = read_request(wire.request());
  if (wire.has_facts() && !(operation.fleet_status = read_fleet_status(wire.facts()))) return std::nullopt;
  if (wire.has_step()) {
    if (wire.step().from() >= kJobStates || wire.step().to() >= kJobStates) return std::nullopt;
    operation.transition =
        JobOperation::Transition{wire.step().work(), static_cast<JobState>(wire.step().from()),
                                 static_cast<JobState>(wire.step().to())};
  }
  if (wire.has_hold()) operation.hold = wire.hold();
  if (wire.has_resume()) operation.resume = wire.resume();
  if (wire.has_cancel()) operation.cancel = wire.cancel();
  if (wire.has_done()) operation.done = wire.done();
  return operation;
}

shared_config::ApplyResult JobQueue::apply(
    const shared_config::ConfigEntry& entry,
    std::shared_ptr<const shared_config::ReplicatedStateMachine>& next) const {
  const auto operation = decode_operation(entry.text);
  if (!operation) return {0, "the maintenance operation is malformed"};
  auto queue = std::make_shared<JobQueue>(*this);
  shared_config::ApplyResult verdict;
  if (operation->request) {
    verdict = queue->apply_request(entry, *operation);
  } else if (operation->fleet_status) {
    queue->fleet_status_ = *operation->fleet_status;
    queue->fleet_status_at_ = operation->stated_at;
    verdict = {1, ""};
  } else if (operation->transition) {
    verdict = queue->apply_transition(entry, *operation);
  } else {
    verdict = queue->apply_operator_action(entry, *operation);
  }
  if (verdict.number) next = std::move(queue);
  return verdict;
}

void JobQueue::set_state(Job& job, JobState state, Time at, const std::string& reason) {
  job.state = state;
  job.state_since = at;
  job.state_reason = reason.substr(0, kMaxStateReasonBytes);
  if (!job.is_open()) drop_old_jobs();
}

void JobQueue::drop_old_jobs() {
  std::size_t ended = 0;
  for (const auto& [number, job] : jobs_) ended += !job.is_open();
  for (auto it = jobs_.begin(); it != jobs_.end() && ended > kMaxEndedJobs;) {
    if (!it->second.is_open()) {
      it = jobs_.erase(it);
      --ended;
    } else {
      ++it;
    }
  }
}

shared_config::ApplyResult JobQueue::apply_request(const shared_config::ConfigEntry& entry,
                                                   const JobOperation& operation) {
  const JobRequest& request = *operation.request;
  if (!is_valid_name(request.machine)) {
    return {0, "machine: missing, longer than 64 bytes, or not printable ASCII without spaces"};
  }
  if (request.endpoints.empty() && request.brokers.empty()) {
    return {0, "a machine carries at least one node or broker"};
  }
  if (request.endpoints.size() > kMaxNamesPerMachine || request.brokers.size() > kMaxNamesPerMachine) {
    return {0, "a machine carries at most 64 nodes and 64 brokers"};
  }
  std::set<std::string> seen;
  for (const auto* names : {&request.endpoints, &request.brokers}) {
    for (const auto& name : *names) {
      if (!is_valid_name(name) || !seen.insert(name).second) {
        return {0, "\"" + name + "\" is no name of 1 to 64 printable ASCII characters, or is named twice"};
      }
    }
  }
  if (request.duration <= 0) return {0, "length_ms: how long the work takes is missing"};
  if (fleet_status_.ring_size == 0) return {0, "the brokers don't know the nodes yet; say it again"};
  std::size_t open = 0;
  for (const auto& [number, job] : jobs_) {
    if (!job.is_open()) continue;
    ++open;
    bool overlaps = job.request.machine == request.machine;
    for (const auto& endpoint : request.endpoints) {
      overlaps = overlaps || std::count(job.request.endpoints.begin(), job.request.endpoints.end(), endpoint);
    }
    for (const auto& broker : request.brokers) {
      overlaps = overlaps || std::count(job.request.brokers.begin(), job.request.brokers.end(), broker);
    }
    if (overlaps) {
      return {0, "work " + number_text(static_cast<std::int64_t>(number)) +
                     " has that machine or what it carries already"};
    }
  }
  if (open >= kMaxOpenJobs) {
    return {0, number_text(static_cast<std::int64_t>(open)) + " jobs are open, the most there may be"};
  }
  for (const auto& endpoint : request.endpoints) {
    if (!fleet_status_.endpoints.count(endpoint)) return {0, "no node \"" + endpoint + "\" in the list"};
  }
  if (!request.is_emergency) {
    if (const std::string reason = permanent_blocking_reason(request); !reason.empty()) {
      return {0, "it never fits: " + reason};
    }
    // The request is refused if its job would be late in the plan, or would make another job late that is in
    // time without it and has the same or a higher priority.
    const bool has_deadlines =
        request.latest_end != kNever || std::any_of(jobs_.begin(), jobs_.end(), [](const auto& other) {
          return other.second.state == JobState::kQueued && other.second.request.latest_end != kNever;
        });
    std::set<std::uint64_t> late_before;
    if (has_deadlines) {
      for (const PlannedJob& planned : plan_jobs(*this, operation.stated_at)) {
        if (!planned.is_in_time) late_before.insert(planned.job);
      }
    }
    for (const PlannedJob& planned :
         has_deadlines ? plan_jobs(*this, operation.stated_at, &request) : std::vector<PlannedJob>{}) {
      if (planned.is_in_time || late_before.count(planned.job)) continue;
      if (planned.job == 0) {
        return {0,
                "it can't be over by its latest; it could begin " +
                    number_text((planned.start - operation.stated_at) / kSecond) + " s from now and takes " +
                    number_text((request.duration + fleet_status_.limits.transition_time) / kSecond) + " s"};
      }
      if (jobs_.at(planned.job).request.priority >= request.priority) {
        return {0, "work " + number_text(static_cast<std::int64_t>(planned.job)) +
                       " would be over too late; state a later time for this one, or a higher priority"};
      }
    }
  }
  Job job;
  job.request = request;
  job.request.ring_positions.clear();
  for (const auto& endpoint : request.endpoints) {
    job.request.ring_positions.push_back(fleet_status_.endpoints.at(endpoint).ring_position);
  }
  job.request.zone = zone_of(request);
  job.request.region = region_of(request);
  job.number = ++last_number_;
  job.requested_by = entry.who;
  job.reason = entry.why;
  job.state_since = operation.stated_at;
  job.state_reason = "asked for";
  jobs_[job.number] = job;
  return {job.number, ""};
}

shared_config::ApplyResult JobQueue::apply_transition(const shared_config::ConfigEntry& entry,
                                                      const JobOperation& operation) {
  const auto it = jobs_.find(operation.transition->job);
  if (it == jobs_.end()) return {0, "no such work"};
  Job& job = it->second;
  const JobState to = operation.transition->to;
  if (job.state != operation.transition->from) {
    return {0, std::string("it is ") + job_state_name(job.state) + " by now"};
  }
  if (!may_follow(job.state, to)) {
    return {0, std::string(job_state_name(to)) + " does not follow " + job_state_name(job.state)};
  }
  const bool is_forward = to == JobState::kDraining || to == JobState::kInMaintenance;
  if (is_forward && (is_held_ || job.is_held)) return {0, "it is held"};
  if (to == JobState::kDraining && !job.request.is_emergency) {
    if (const std::string reason = blocking_reason(job.request, job.number); !reason.empty()) {
      return {0, reason};
    }
  }
  set_state(job, to, operation.stated_at, entry.why);
  if (job.state == JobState::kLost && fleet_status_.limits.holds_queue_on_loss) is_held_ = true;
  return {job.number, ""};
}

shared_config::ApplyResult JobQueue::apply_operator_action(const shared_config::ConfigEntry& entry,
                                                           const JobOperation& operation) {
  const auto number = operation.hold     ? *operation.hold
                      : operation.resume ? *operation.resume
                      : operation.cancel ? *operation.cancel
                                         : operation.done.value_or(0);
  if (!number && (operation.hold || operation.resume)) {
    is_held_ = operation.hold.has_value();
    return {1, ""};
  }
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) return {0, "no such work"};
  Job& job = it->second;
  const std::string by = " by " + entry.who + ": " + entry.why;
  if (operation.hold || operation.resume) {
    if (!job.is_open()) return {0, std::string("it is ") + job_state_name(job.state)};
    job.is_held = operation.hold.has_value();
    job.state_reason = (job.is_held ? "held" : "resumed") + by;
    return {job.number, ""};
  }
  if (operation.cancel) {
    if (job.state != JobState::kQueued && job.state != JobState::kDraining && job.state != JobState::kEmpty) {
      return {0, std::string("it is ") + job_state_name(job.state) +
                     (job.state == JobState::kInMaintenance ? ": say done once it is back" : "")};
    }
    set_state(job, JobState::kCancelled, operation.stated_at, "cancelled" + by);
    return {job.number, ""};
  }
  if (operation.done) {
    if (job.state != JobState::kInMaintenance && job.state != JobState::kLost) {
      return {0, std::string("it is ") + job_state_name(job.state)};
    }
    set_state(job, JobState::kReturning, operation.stated_at, "done, said" + by);
    return {job.number, ""};
  }
  return {0, "the maintenance operation holds no action"};
}

std::set<std::string> JobQueue::endpoints_out() const {
  std::set<std::string> all;
  for (const auto& [number, job] : jobs_) {
    if (job.takes_endpoints_out()) all.insert(job.request.endpoints.begin(), job.request.endpoints.end());
  }
  return all;
}

std::set<std::string> JobQueue::baseline_exclusions() const {
  std::set<std::string> excluded = endpoints_out();
  int jobs_left = 2 * fleet_status_.limits.max_machines;
  for (const auto& [number, job] : jobs_) {
    if (job.state != JobState::kQueued || job.is_held || job.request.endpoints.empty()) continue;
    if (jobs_left-- == 0) break;
    std::set<std::string> candidate = excluded;
    candidate.insert(job.request.endpoints.begin(), job.request.endpoints.end());
    const auto own_shards = shards_of(job.request);
    const bool all_keep_a_replica = std::all_of(own_shards.begin(), own_shards.end(), [&](int shard) {
      return std::any_of(fleet_status_.endpoints.begin(), fleet_status_.endpoints.end(),
                         [&](const auto& endpoint) {
                           return holds(endpoint.second, shard) && !candidate.count(endpoint.first);
                         });
    });
    if (all_keep_a_replica) excluded = std::move(candidate);
  }
  return excluded;
}

std::string JobQueue::zone_of(const JobRequest& request) const {
  if (!request.zone.empty() || request.endpoints.empty()) return request.zone;
  const auto it = fleet_status_.endpoints.find(request.endpoints.front());
  return it == fleet_status_.endpoints.end() ? "" : it->second.zone;
}

std::string JobQueue::region_of(const JobRequest& request) const {
  if (!request.region.empty()) return request.region;
  const auto it = fleet_status_.zones.find(zone_of(request));
  return it == fleet_status_.zones.end() ? "" : it->second.region;
}

int JobQueue::voter_count(const JobRequest& request) const {
  return static_cast<int>(
      std::count_if(request.brokers.begin(), request.brokers.end(),
                    [&](const auto& broker) { return fleet_status_.voters.count(broker); }));
}

std::vector<int> JobQueue::shards_of(const JobRequest& request) const {
  std::set<int> shards;
  const int ring_size = fleet_status_.ring_size;
  const auto add_position = [&](int position) {
    for (int offset = 0; offset < fleet_status_.replicas_per_shard; ++offset) {
      shards.insert((position % ring_size - offset + ring_size) % ring_size);
    }
  };
  if (ring_size == 0) return {};
  for (const int position : request.ring_positions) add_position(position);
  if (request.ring_positions.empty()) {
    for (const auto& name : request.endpoints) {
      if (const auto it = fleet_status_.endpoints.find(name); it != fleet_status_.endpoints.end()) {
        add_position(it->second.ring_position);
      }
    }
  }
  return {shards.begin(), shards.end()};
}

bool JobQueue::holds(const EndpointStatus& endpoint, int shard) const {
  return (endpoint.ring_position - shard + fleet_status_.ring_size) % fleet_status_.ring_size <
         fleet_status_.replicas_per_shard;
}

int JobQueue::warm_replicas(int shard, const std::set<std::string>& out) const {
  int count = 0;
  for (const auto& [name, endpoint] : fleet_status_.endpoints) {
    count += holds(endpoint, shard) && endpoint.is_ready && endpoint.is_warm && !out.count(name);
  }
  return count;
}

std::vector<int> JobQueue::shards_below_min_replicas(const JobRequest& request) const {
  std::set<std::string> out = endpoints_out();
  out.insert(request.endpoints.begin(), request.endpoints.end());
  std::vector<int> below;
  for (const int shard : shards_of(request)) {
    if (warm_replicas(shard, out) < fleet_status_.limits.min_warm_replicas) below.push_back(shard);
  }
  return below;
}

int JobQueue::max_zone_endpoints_out(const std::string& zone) const {
  int all = 0;
  int down = 0;
  const std::set<std::string> out = endpoints_out();
  for (const auto& [name, endpoint] : fleet_status_.endpoints) {
    if (endpoint.zone != zone) continue;
    ++all;
    down += !endpoint.is_ready && !out.count(name);
  }
  int max_out = static_cast<int>((1 - fleet_status_.limits.min_zone_share_in_service) * all + 1e-9) - down;
  const auto it = fleet_status_.zones.find(zone);
  if (it != fleet_status_.zones.end() && it->second.capacity_per_second > 0 && all > 0) {
    // The zone's capacity is the capacity of its endpoints in service. An endpoint that is out is assumed to
    // add the average capacity of an endpoint in service.
    int in_service = 0;
    for (const auto& [name, endpoint] : fleet_status_.endpoints) {
      in_service += endpoint.zone == zone && endpoint.is_ready && !out.count(name);
    }
    const double capacity_each = it->second.capacity_per_second / std::max(1, in_service);
    const int needed = static_cast<int>(
        std::min(1e6, it->second.load_per_second /
                              (capacity_each * std::max(0.01, 1 - fleet_status_.limits.min_headroom_share)) +
                          0.999));
    max_out = std::min(max_out, in_service + (all - down - in_service) - needed);
  }
  return std::max(0, max_out);
}

std::string JobQueue::permanent_blocking_reason(const JobRequest& request) const {
  const std::set<std::string> out(request.endpoints.begin(), request.endpoints.end());
  for (const int shard : shards_of(request)) {
    int left = 0;
    for (const auto& [name, endpoint] : fleet_status_.endpoints) {
      left += holds(endpoint, shard) && !out.count(name);
    }
    if (left < fleet_status_.limits.min_warm_replicas) {
      return "shard " + number_text(shard) + " would keep " + number_text(left) + " holders, and " +
             number_text(fleet_status_.limits.min_warm_replicas) + " are stated";
    }
  }
  const std::string zone = zone_of(request);
  int zone_endpoints = 0;
  int zone_endpoints_out = 0;
  for (const auto& [name, endpoint] : fleet_status_.endpoints) {
    if (endpoint.zone == zone) {
      ++zone_endpoints;
      zone_endpoints_out += static_cast<int>(out.count(name));
    }
  }
  if (zone_endpoints_out > 0 &&
      zone_endpoints_out >
          static_cast<int>((1 - fleet_status_.limits.min_zone_share_in_service) * zone_endpoints + 1e-9)) {
    return "zone \"" + zone + "\" would lose " + number_text(zone_endpoints_out) + " of " +
           number_text(zone_endpoints) + " nodes";
  }
  const int voters_out = voter_count(request);
  const int voters = static_cast<int>(fleet_status_.voters.size());
  if (voters_out > 0 && 2 * (voters - voters_out) <= voters) {
    return number_text(voters_out) + " of " + number_text(voters) +
           " voters stand on it: what is left is no majority";
  }
  return "";
}

std::string JobQueue::blocking_reason(const JobRequest& request, std::uint64_t own_number) const {
  const MaintenanceLimits& limits = fleet_status_.limits;
  const std::vector<int> own_shards = shards_of(request);
  const std::string zone = zone_of(request);
  const std::string region = region_of(request);
  int machines_out = 0;
  int rack_machines_out = 0;
  int zone_machines_out = 0;
  int region_machines_out = 0;
  int zone_endpoints_out = static_cast<int>(request.endpoints.size());
  int voters_out = voter_count(request);
  for (const auto& [number, job] : jobs_) {
    if (number == own_number || !job.is_in_progress()) continue;
    const std::string other =
        "work " + number_text(static_cast<std::int64_t>(number)) + " on " + job.request.machine;
    // A lost machine blocks no other job by its shards or as one of the machines out. Its shards still have
    // one replica less and its voters don't vote; both are counted.
    if (job.state != JobState::kLost) {
      for (const int shard : shards_of(job.request)) {
        if (std::binary_search(own_shards.begin(), own_shards.end(), shard)) {
          return "shard " + number_text(shard) + " is held there too, and " + other + " is not warm again";
        }
      }
      ++machines_out;
      rack_machines_out += !request.rack.empty() && job.request.rack == request.rack;
      region_machines_out += !region.empty() && region_of(job.request) == region;
      if (!zone.empty() && zone_of(job.request) == zone) {
        ++zone_machines_out;
        zone_endpoints_out += static_cast<int>(job.request.endpoints.size());
      }
    }
    voters_out += voter_count(job.request);
  }
  if (machines_out >= limits.max_machines) {
    return number_text(machines_out) + " machines are out, the limit is " + number_text(limits.max_machines);
  }
  if (rack_machines_out >= limits.max_machines_per_rack) {
    return "rack \"" + request.rack + "\": " + number_text(rack_machines_out) +
           " machines are out, the limit is " + number_text(limits.max_machines_per_rack);
  }
  if (zone_machines_out >= limits.max_machines_per_zone) {
    return "zone \"" + zone + "\": " + number_text(zone_machines_out) + " machines are out, the limit is " +
           number_text(limits.max_machines_per_zone);
  }
  if (region_machines_out >= limits.max_machines_per_region) {
    return "region \"" + region + "\": " + number_text(region_machines_out) +
           " machines are out, the limit is " + number_text(limits.max_machines_per_region);
  }
  const int voters = static_cast<int>(fleet_status_.voters.size());
  if (voter_count(request) > 0 && 2 * (voters - voters_out) <= voters) {
    return "no majority of voters would be left";
  }
  const auto it = fleet_status_.zones.find(zone);
  if (it != fleet_status_.zones.end() && !it->second.serves_locally) {
    return "zone \"" + zone + "\" is in failover";
  }
  if (!zone.empty() && !request.endpoints.empty()) {
    if (const int max_out = max_zone_endpoints_out(zone); zone_endpoints_out > max_out) {
      return "zone \"" + zone + "\" can spare " + number_text(max_out) + " nodes, and " +
             number_text(zone_endpoints_out) + " would be out";
    }
  }
  if (const auto below = shards_below_min_replicas(request); !below.empty()) {
    return "shard " + number_text(below.front()) + " would keep fewer than " +
           number_text(limits.min_warm_replicas) + " warm holders";
  }
  return "";
}

std::string JobQueue::snapshot() const {
  upkeep::wire::State wire;
  wire.set_last(last_number_);
  wire.set_held(is_held_);
  for (const auto& [number, job] : jobs_) {
    auto& work = *wire.add_work();
    work.set_number(number);
    write_request(job.request, *work.mutable_request());
    work.set_who(job.requested_by);
    work.set_why(job.reason);
    work.set_step(static_cast<std::uint32_t>(job.state));
    work.set_since_ms(job.state_since / kMillisecond);
    work.set_held(job.is_held);
    work.set_last(job.state_reason);
  }
  write_fleet_status(fleet_status_, *wire.mutable_facts());
  wire.set_facts_at_ms(fleet_status_at_ / kMillisecond);
  return wire.SerializeAsString();
}

std::shared_ptr<const shared_config::ReplicatedStateMachine> JobQueue::restore(std::string_view bytes) const {
  upkeep::wire::State wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return nullptr;
  auto queue = std::make_shared<JobQueue>();
  queue->last_number_ = wire.last();
  queue->is_held_ = wire.held();
  for (const auto& work : wire.work()) {
    if (work.step() >= kJobStates) return nullptr;
    queue->jobs_[work.number()] = {work.number(),
                                   read_request(work.request()),
                                   work.who(),
                                   work.why(),
                                   static_cast<JobState>(work.step()),
                                   time_from_ms(work.since_ms()),
                                   work.held(),
                                   work.last()};
  }
  const auto status = read_fleet_status(wire.facts());
  if (!status) return nullptr;
  queue->fleet_status_ = *status;
  queue->fleet_status_at_ = time_from_ms(wire.facts_at_ms());
  return queue;
}

}  // namespace cairnhub::maintenance
