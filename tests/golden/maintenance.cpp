// Maintenance: what brokers say, through the codec; operations as the log holds them, as text; the jobs'
// snapshot.
#include <iterator>

#include "golden/golden.h"
#include "maintenance.pb.h"
#include "maintenance/job_codec.h"

namespace cairnhub::golden {

namespace {

using maintenance::Facts;
using maintenance::Op;
using maintenance::Request;
using maintenance::Step;

constexpr Time kAt = 1'700'000'000'000 * maintenance::kMs;
constexpr std::uint64_t kJob = 300;
// In the order of their numbers in the log and the snapshot.
constexpr Step kSteps[] = {Step::queued,    Step::draining, Step::empty,     Step::at_work,
                           Step::returning, Step::done,     Step::cancelled, Step::lost};

maintenance::Message message() {
  maintenance::Message message;
  message.clear.emplace();
  message.clear->low = 18;
  message.clear->out = {{"h1", 0}, {"h2", 700}};
  message.stand_down = kJob;
  return message;
}

void expect_message(const std::string& bytes) {
  const auto read = maintenance::decode(bytes);
  ASSERT_TRUE(read.has_value());
  ASSERT_TRUE(read->clear.has_value());
  EXPECT_EQ(read->clear->low, 18U);
  EXPECT_EQ(read->clear->out, message().clear->out);
  EXPECT_EQ(read->stand_down, kJob);
}

Request request() {
  Request request;
  request.machine = "m1";
  request.nodes = {"h1", "h2"};
  request.brokers = {"b1"};
  request.cells = {4, 5};
  request.rack = "r1";
  request.zone = "east";
  request.region = "north";
  request.earliest = kAt + kSecond;
  request.latest = kAt + 2 * kSecond;
  request.length = 600 * kSecond;
  request.priority = -7;
  request.emergency = true;
  return request;
}

void expect_request(const Request& read) {
  const Request wanted = request();
  EXPECT_EQ(read.machine, wanted.machine);
  EXPECT_EQ(read.nodes, wanted.nodes);
  EXPECT_EQ(read.brokers, wanted.brokers);
  EXPECT_EQ(read.cells, wanted.cells);
  EXPECT_EQ(read.rack, wanted.rack);
  EXPECT_EQ(read.zone, wanted.zone);
  EXPECT_EQ(read.region, wanted.region);
  EXPECT_EQ(read.earliest, wanted.earliest);
  EXPECT_EQ(read.latest, wanted.latest);
  EXPECT_EQ(read.length, wanted.length);
  EXPECT_EQ(read.priority, wanted.priority);
  EXPECT_EQ(read.emergency, wanted.emergency);
}

Facts facts() {
  Facts facts;
  facts.revision = 41;
  facts.cells = 20;
  facts.width = 3;
  facts.terms = {1, 2, 3, 4, 5, 0.25, 0.125, 3600 * kSecond, 60 * kSecond, true};
  facts.nodes["h1"] = {4, "east", true, false};
  facts.nodes["h2"] = {5, "east", false, true};
  facts.zones["east"] = {"north", true, 120.5, 1000};
  facts.voters = {"b1", "b2"};
  return facts;
}

void expect_facts(const Facts& read) {
  const Facts wanted = facts();
  EXPECT_EQ(read.revision, wanted.revision);
  EXPECT_EQ(read.cells, wanted.cells);
  EXPECT_EQ(read.width, wanted.width);
  EXPECT_TRUE(read.terms == wanted.terms);
  EXPECT_TRUE(read.nodes == wanted.nodes);
  EXPECT_TRUE(read.zones == wanted.zones);
  EXPECT_EQ(read.voters, wanted.voters);
}

Op with_request() {
  Op op;
  op.request = request();
  return op;
}

Op with_facts() {
  Op op;
  op.facts = facts();
  return op;
}

Op with_step() {
  Op op;
  op.step = Op::Move{kJob, Step::returning, Step::lost};
  return op;
}

Op with_operators_words() {
  Op op;
  op.hold = 1;
  op.resume = 2;
  op.cancel = 3;
  op.done = 4;
  return op;
}

void expect_operation(const Op& read, const Op& wanted) {
  EXPECT_EQ(read.at, kAt);
  ASSERT_EQ(read.request.has_value(), wanted.request.has_value());
  if (read.request) {
    expect_request(*read.request);
  }
  ASSERT_EQ(read.facts.has_value(), wanted.facts.has_value());
  if (read.facts) {
    expect_facts(*read.facts);
  }
  ASSERT_EQ(read.step.has_value(), wanted.step.has_value());
  if (read.step) {
    EXPECT_EQ(read.step->work, wanted.step->work);
    EXPECT_EQ(read.step->from, wanted.step->from);
    EXPECT_EQ(read.step->to, wanted.step->to);
  }
  EXPECT_EQ(read.hold, wanted.hold);
  EXPECT_EQ(read.resume, wanted.resume);
  EXPECT_EQ(read.cancel, wanted.cancel);
  EXPECT_EQ(read.done, wanted.done);
}

Golden operation(const std::string& name, Op (*build)()) {
  const auto encode = [build] {
    Op op = build();
    op.at = kAt;
    return maintenance::encode(op);
  };
  const auto decode = [build](const std::string& bytes) {
    const auto read = maintenance::decode_op(bytes);
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

void expect_job(const maintenance::Work& job, int step) {
  EXPECT_EQ(job.number, kJob + static_cast<std::uint64_t>(step));
  EXPECT_EQ(job.step, kSteps[step]);
  EXPECT_EQ(job.who, "ann");
  EXPECT_EQ(job.why, "because");
  EXPECT_EQ(job.since, kAt + step * maintenance::kMs);
  EXPECT_TRUE(job.held);
  EXPECT_EQ(job.last, "asked for");
  const Request& asked = job.request;
  EXPECT_EQ(asked.machine, "m" + std::to_string(step));
  EXPECT_EQ(asked.nodes, std::vector<std::string>{"h1"});
  EXPECT_EQ(asked.brokers, std::vector<std::string>{"b1"});
  EXPECT_EQ(asked.rack, "r1");
  EXPECT_EQ(asked.zone, "east");
  EXPECT_EQ(asked.region, "north");
  EXPECT_EQ(asked.earliest, 1 * maintenance::kMs);
  EXPECT_EQ(asked.latest, 2 * maintenance::kMs);
  EXPECT_EQ(asked.length, 3 * maintenance::kMs);
  EXPECT_EQ(asked.priority, -4);
  EXPECT_TRUE(asked.emergency);
  EXPECT_EQ(asked.cells, std::vector<int>{5});
}

void expect_snapshot(const std::string& bytes) {
  const auto board = maintenance::Works().restore(bytes);
  const auto* jobs = dynamic_cast<const maintenance::Works*>(board.get());
  ASSERT_NE(jobs, nullptr);
  EXPECT_TRUE(jobs->held());
  EXPECT_EQ(jobs->facts_at(), kAt);
  ASSERT_EQ(jobs->all().size(), std::size(kSteps));
  int step = 0;
  for (const auto& [number, job] : jobs->all()) {
    expect_job(job, step);
    ++step;
  }
  Facts wanted = facts();
  wanted.nodes = {{"h1", {4, "east", true, true}}};
  wanted.voters = {"b1"};
  EXPECT_TRUE(jobs->facts() == wanted);
  EXPECT_EQ(jobs->snapshot(), bytes);
}

}  // namespace

std::vector<Golden> maintenance() {
  return {{"maintenance.message", [] { return maintenance::encode(message()); }, expect_message},
          operation("request", with_request),
          operation("facts", with_facts),
          operation("step", with_step),
          operation("operators", with_operators_words),
          {"maintenance.snapshot", snapshot, expect_snapshot}};
}

}  // namespace cairnhub::golden
