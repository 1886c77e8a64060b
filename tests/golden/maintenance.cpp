// Maintenance: what brokers say, through the codec; operations as the log holds them, as text; the jobs'
// snapshot.
#include <iterator>

#include "golden/golden.h"
#include "maintenance.pb.h"
#include "maintenance/job_codec.h"

namespace cairnhub::golden {

namespace {

using maintenance::FleetStatus;
using maintenance::JobOperation;
using maintenance::JobRequest;
using maintenance::JobState;

constexpr Time kAt = 1'700'000'000'000 * maintenance::kMillisecond;
constexpr std::uint64_t kJob = 300;
// In the order of their numbers in the log and the snapshot.
constexpr JobState kSteps[] = {JobState::kQueued,        JobState::kDraining,  JobState::kEmpty,
                               JobState::kInMaintenance, JobState::kReturning, JobState::kDone,
                               JobState::kCancelled,     JobState::kLost};

maintenance::MaintenanceMessage message() {
  maintenance::MaintenanceMessage message;
  message.open_attempts.emplace();
  message.open_attempts->lease_low_version = 18;
  message.open_attempts->by_endpoint = {{"h1", 0}, {"h2", 700}};
  message.stop_for_job = kJob;
  return message;
}

void expect_message(const std::string& bytes) {
  const auto read = maintenance::decode_message(bytes);
  ASSERT_TRUE(read.has_value());
  ASSERT_TRUE(read->open_attempts.has_value());
  EXPECT_EQ(read->open_attempts->lease_low_version, 18U);
  EXPECT_EQ(read->open_attempts->by_endpoint, message().open_attempts->by_endpoint);
  EXPECT_EQ(read->stop_for_job, kJob);
}

JobRequest request() {
  JobRequest request;
  request.machine = "m1";
  request.endpoints = {"h1", "h2"};
  request.brokers = {"b1"};
  request.ring_positions = {4, 5};
  request.rack = "r1";
  request.zone = "east";
  request.region = "north";
  request.earliest_start = kAt + kSecond;
  request.latest_end = kAt + 2 * kSecond;
  request.duration = 600 * kSecond;
  request.priority = -7;
  request.is_emergency = true;
  return request;
}

void expect_request(const JobRequest& read) {
  const JobRequest wanted = request();
  EXPECT_EQ(read.machine, wanted.machine);
  EXPECT_EQ(read.endpoints, wanted.endpoints);
  EXPECT_EQ(read.brokers, wanted.brokers);
  EXPECT_EQ(read.ring_positions, wanted.ring_positions);
  EXPECT_EQ(read.rack, wanted.rack);
  EXPECT_EQ(read.zone, wanted.zone);
  EXPECT_EQ(read.region, wanted.region);
  EXPECT_EQ(read.earliest_start, wanted.earliest_start);
  EXPECT_EQ(read.latest_end, wanted.latest_end);
  EXPECT_EQ(read.duration, wanted.duration);
  EXPECT_EQ(read.priority, wanted.priority);
  EXPECT_EQ(read.is_emergency, wanted.is_emergency);
}

FleetStatus facts() {
  FleetStatus facts;
  facts.revision = 41;
  facts.ring_size = 20;
  facts.replicas_per_shard = 3;
  facts.limits = {1, 2, 3, 4, 5, 0.25, 0.125, 3600 * kSecond, 60 * kSecond, true};
  facts.endpoints["h1"] = {4, "east", true, false};
  facts.endpoints["h2"] = {5, "east", false, true};
  facts.zones["east"] = {"north", true, 120.5, 1000};
  facts.voters = {"b1", "b2"};
  return facts;
}

void expect_facts(const FleetStatus& read) {
  const FleetStatus wanted = facts();
  EXPECT_EQ(read.revision, wanted.revision);
  EXPECT_EQ(read.ring_size, wanted.ring_size);
  EXPECT_EQ(read.replicas_per_shard, wanted.replicas_per_shard);
  EXPECT_TRUE(read.limits == wanted.limits);
  EXPECT_TRUE(read.endpoints == wanted.endpoints);
  EXPECT_TRUE(read.zones == wanted.zones);
  EXPECT_EQ(read.voters, wanted.voters);
}

JobOperation with_request() {
  JobOperation op;
  op.request = request();
  return op;
}

JobOperation with_facts() {
  JobOperation op;
  op.fleet_status = facts();
  return op;
}

JobOperation with_step() {
  JobOperation op;
  op.transition = JobOperation::Transition{kJob, JobState::kReturning, JobState::kLost};
  return op;
}

JobOperation with_operators_words() {
  JobOperation op;
  op.hold = 1;
  op.resume = 2;
  op.cancel = 3;
  op.done = 4;
  return op;
}

void expect_operation(const JobOperation& read, const JobOperation& wanted) {
  EXPECT_EQ(read.stated_at, kAt);
  ASSERT_EQ(read.request.has_value(), wanted.request.has_value());
  if (read.request) {
    expect_request(*read.request);
  }
  ASSERT_EQ(read.fleet_status.has_value(), wanted.fleet_status.has_value());
  if (read.fleet_status) {
    expect_facts(*read.fleet_status);
  }
  ASSERT_EQ(read.transition.has_value(), wanted.transition.has_value());
  if (read.transition) {
    EXPECT_EQ(read.transition->job, wanted.transition->job);
    EXPECT_EQ(read.transition->from, wanted.transition->from);
    EXPECT_EQ(read.transition->to, wanted.transition->to);
  }
  EXPECT_EQ(read.hold, wanted.hold);
  EXPECT_EQ(read.resume, wanted.resume);
  EXPECT_EQ(read.cancel, wanted.cancel);
  EXPECT_EQ(read.done, wanted.done);
}

Golden operation(const std::string& name, JobOperation (*build)()) {
  const auto encode = [build] {
    JobOperation op = build();
    op.stated_at = kAt;
    return maintenance::encode_operation(op);
  };
  const auto decode = [build](const std::string& bytes) {
    const auto read = maintenance::decode_operation(bytes);
    ASSERT_TRUE(read.has_value());
    expect_operation(*read, build());
  };
  return {"maintenance.operation." + name, encode, decode};
}

void fill(upkeep::wire::Work& job, std::uint32_t step) {
  job.set_number(kJob + step);
  auto& asked = *job.mutable_request();
  asked.set_machine("m" + std::to_string(step));
  asked.add_node("h1");
  asked.add_broker("b1");
  asked.set_rack("r1");
  asked.set_zone("east");
  asked.set_region("north");
  asked.set_earliest_ms(1);
  asked.set_latest_ms(2);
  asked.set_length_ms(3);
  asked.set_priority(-4);
  asked.set_emergency(true);
  asked.add_cell(5);
  job.set_who("ann");
  job.set_why("because");
  job.set_step(step);
  job.set_since_ms(1'700'000'000'000 + step);
  job.set_held(true);
  job.set_last("asked for");
}

void fill(upkeep::wire::Facts& facts) {
  facts.set_revision(41);
  facts.set_cells(20);
  facts.set_width(3);
  auto& terms = *facts.mutable_terms();
  terms.set_holders_least(1);
  terms.set_at_once(2);
  terms.set_a_rack(3);
  terms.set_a_zone(4);
  terms.set_a_region(5);
  terms.set_zone_keep(0.25);
  terms.set_headroom(0.125);
  terms.set_lost_after_ms(3'600'000);
  terms.set_around_ms(60'000);
  terms.set_stop_on_loss(true);
  auto& node = *facts.add_node();
  node.set_name("h1");
  node.set_cell(4);
  node.set_zone("east");
  node.set_ready(true);
  node.set_warm(true);
  auto& zone = *facts.add_zone();
  zone.set_name("east");
  zone.set_region("north");
  zone.set_near(true);
  zone.set_load(120.5);
  zone.set_capacity(1000);
  facts.add_voter("b1");
}

// A snapshot of jobs in each step.
std::string snapshot() {
  upkeep::wire::State state;
  state.set_last(kJob + 7);
  state.set_held(true);
  for (std::uint32_t step = 0; step < std::size(kSteps); ++step) {
    fill(*state.add_work(), step);
  }
  fill(*state.mutable_facts());
  state.set_facts_at_ms(1'700'000'000'000);
  return state.SerializeAsString();
}

void expect_job(const maintenance::Job& job, int step) {
  EXPECT_EQ(job.number, kJob + static_cast<std::uint64_t>(step));
  EXPECT_EQ(job.state, kSteps[step]);
  EXPECT_EQ(job.requested_by, "ann");
  EXPECT_EQ(job.reason, "because");
  EXPECT_EQ(job.state_since, kAt + step * maintenance::kMillisecond);
  EXPECT_TRUE(job.is_held);
  EXPECT_EQ(job.state_reason, "asked for");
  const JobRequest& asked = job.request;
  EXPECT_EQ(asked.machine, "m" + std::to_string(step));
  EXPECT_EQ(asked.endpoints, std::vector<std::string>{"h1"});
  EXPECT_EQ(asked.brokers, std::vector<std::string>{"b1"});
  EXPECT_EQ(asked.rack, "r1");
  EXPECT_EQ(asked.zone, "east");
  EXPECT_EQ(asked.region, "north");
  EXPECT_EQ(asked.earliest_start, 1 * maintenance::kMillisecond);
  EXPECT_EQ(asked.latest_end, 2 * maintenance::kMillisecond);
  EXPECT_EQ(asked.duration, 3 * maintenance::kMillisecond);
  EXPECT_EQ(asked.priority, -4);
  EXPECT_TRUE(asked.is_emergency);
  EXPECT_EQ(asked.ring_positions, std::vector<int>{5});
}

void expect_snapshot(const std::string& bytes) {
  const auto board = maintenance::JobQueue().restore(bytes);
  const auto* jobs = dynamic_cast<const maintenance::JobQueue*>(board.get());
  ASSERT_NE(jobs, nullptr);
  EXPECT_TRUE(jobs->is_held());
  EXPECT_EQ(jobs->fleet_status_at(), kAt);
  ASSERT_EQ(jobs->jobs().size(), std::size(kSteps));
  int step = 0;
  for (const auto& [number, job] : jobs->jobs()) {
    expect_job(job, step);
    ++step;
  }
  FleetStatus wanted = facts();
  wanted.endpoints = {{"h1", {4, "east", true, true}}};
  wanted.voters = {"b1"};
  EXPECT_TRUE(jobs->fleet_status() == wanted);
  EXPECT_EQ(jobs->snapshot(), bytes);
}

}  // namespace

std::vector<Golden> maintenance() {
  return {{"maintenance.message", [] { return maintenance::encode_message(message()); }, expect_message},
          operation("request", with_request),
          operation("facts", with_facts),
          operation("step", with_step),
          operation("operators", with_operators_words),
          {"maintenance.snapshot", snapshot, expect_snapshot}};
}

}  // namespace cairnhub::golden
