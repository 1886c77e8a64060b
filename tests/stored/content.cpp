#include "stored/content.h"

#include <string>
#include <utility>

#include "maintenance/job_queue.h"

namespace cairnhub::stored {

namespace {

using shared_config::Entry;
using Kind = Entry::Kind;
using Entries = std::vector<Entry>;
using maintenance::JobState;
using maintenance::kMillisecond;

constexpr Time kWallClock = 1'700'000'000'000 * kMillisecond;
constexpr int kPairsOfNodes = 10;
constexpr int kCellsApart = 2;

const char* const kBaseline = R"(
  op_type { name: "bulk" served: false }
  op_type { name: "lookup" time_most_ms: 250 held_most: 10 latency_budget_most_ms: 100 least_share: 0.9
            crossing_bytes_most: 1000000 }
  sends_most: 2 second_copies: false two_phase_off: "ranked" two_phase_off: "scan" index_off: "old"
  withheld_node: "a8" list_floor: 7
  zone_shares { otherwise: 100 share { from: "east" to: "west" most: 50 } })";
const char* const kNarrowerBaseline = R"(
  op_type { name: "bulk" served: false }
  op_type { name: "lookup" time_most_ms: 200 held_most: 5 latency_budget_most_ms: 80 least_share: 0.95
            crossing_bytes_most: 500000 }
  sends_most: 1 second_copies: false two_phase_off: "ranked" two_phase_off: "scan" index_off: "old"
  index_off: "older" withheld_node: "a8" list_floor: 8)";
const char* const kRules = R"(
  op_type { name: "bulk" served: false }
  op_type { name: "lookup" time_most_ms: 500 held_most: 50 latency_budget_most_ms: 200 least_share: 0.5
            crossing_bytes_most: 4000000 }
  sends_most: 3 two_phase_off: "scan" index_off: "old" withheld_node: "a8" list_floor: 5)";
const char* const kWiderRules = R"(
  op_type { name: "lookup" held_most: 80 least_share: 0.25 }
  sends_most: 4 index_off: "old" list_floor: 6)";

Entry entry(Kind kind, const std::string& id, const std::string& text, std::uint64_t base = 0) {
  Entry made;
  made.kind = kind;
  made.id = id;
  made.text = text;
  made.base = base;
  made.who = "ann";
  made.why = "because of " + id + ", \"quoted\"\nand a second line";
  return made;
}

Entry with_note(Entry made, const std::string& note) {
  made.note = note;
  return made;
}

Entry up_to(Kind kind, std::uint64_t number) {
  Entry made;
  made.kind = kind;
  made.number = number;
  return made;
}

Entry of_broker(Kind kind, const std::string& name) {
  Entry made;
  made.kind = kind;
  made.name = name;
  return made;
}

Entry order(const std::string& id, const std::string& zone, const std::string& what) {
  Entry made = entry(Kind::order, id, what);
  made.name = zone;
  return made;
}

Entry job_entry(const std::string& id, maintenance::JobOperation op, int seconds) {
  op.stated_at = kWallClock + seconds * kSecond;
  return entry(Kind::board, id, maintenance::encode_operation(op));
}

Entry facts(const std::string& id, bool all_warm, int seconds) {
  maintenance::FleetStatus seen;
  seen.revision = 41;
  seen.ring_size = kPairsOfNodes * kCellsApart;
  seen.replicas_per_shard = 2;
  seen.limits = {1, 20, 19, 18, 17, 0.25, 0.125, 3600 * kSecond, 60 * kSecond, true};
  for (int pair = 0; pair < kPairsOfNodes; ++pair) {
    const std::string zone = pair == kPairsOfNodes - 1 ? "west" : "east";
    seen.endpoints["a" + std::to_string(pair)] = {pair * kCellsApart, zone, true, true};
    seen.endpoints["b" + std::to_string(pair)] = {pair * kCellsApart, zone, true, all_warm || pair != 0};
  }
  seen.zones["east"] = {"north", true, 120.5, 1000};
  seen.zones["west"] = {"south", false, 10.25, 0};
  seen.voters = {"b1", "b2", "b3"};
  maintenance::JobOperation op;
  op.fleet_status = seen;
  return job_entry(id, op, seconds);
}

maintenance::JobRequest machine(int number) {
  maintenance::JobRequest request;
  request.machine = "m" + std::to_string(number);
  request.endpoints = {"a" + std::to_string(number)};
  request.duration = 600 * kSecond;
  return request;
}

Entry request(const std::string& id, const maintenance::JobRequest& wanted, int seconds) {
  maintenance::JobOperation op;
  op.request = wanted;
  return job_entry(id, op, seconds);
}

Entry move(const std::string& id, std::uint64_t job, JobState from, JobState to, int seconds) {
  maintenance::JobOperation op;
  op.transition = maintenance::JobOperation::Transition{job, from, to};
  return job_entry(id, op, seconds);
}

Entry hold(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.hold = job;
  return job_entry(id, op, seconds);
}

Entry resume(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.resume = job;
  return job_entry(id, op, seconds);
}

Entry cancel(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.cancel = job;
  return job_entry(id, op, seconds);
}

Entry done(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.done = job;
  return job_entry(id, op, seconds);
}

void add(Entries& to, Entries more) {
  for (Entry& one : more) {
    to.push_back(std::move(one));
  }
}

Entries brokers_and_rules() {
  return {of_broker(Kind::enlist, "b1"),
          of_broker(Kind::enlist, "b2"),
          of_broker(Kind::enlist, "b3"),
          of_broker(Kind::enlist, "b4"),
          of_broker(Kind::strike, "b4"),
          of_broker(Kind::strike, "never-there"),
          entry(Kind::propose_ground, "baseline-2", kBaseline, 1),
          up_to(Kind::force_ground, 2),
          entry(Kind::propose, "rules-2", kRules, 1),
          up_to(Kind::force, 2),
          entry(Kind::propose, "refused-old-base", kRules, 1),
          entry(Kind::propose, "refused-misspelt", "op_type { name: \"lookup\" held_mots: 5 }", 2),
          entry(Kind::propose, "refused-below-baseline", "op_type { name: \"lookup\" held_most: 1 }", 2),
          entry(Kind::propose, "rules-2", kRules, 1),
          up_to(Kind::force, 9),
          with_note(entry(Kind::propose_zones, "shares-3",
                          "zone_shares { otherwise: 500 share { from: \"east\" to: \"west\" most: 250 } "
                          "share { from: \"west\" to: \"east\" most: 1000 } }"),
                    "east:far_until=17,\"ü\"")};
}

Entries jobs_asked_for() {
  maintenance::JobRequest planned = machine(0);
  planned.rack = "r1";
  planned.earliest_start = kWallClock + 3600 * kSecond;
  planned.latest_end = kWallClock + 86400 * kSecond;
  planned.priority = 7;
  Entries all = {facts("facts-1", true, 1), request("job-1", planned, 2)};
  for (int number = 1; number <= 7; ++number) {
    all.push_back(request("job-" + std::to_string(number + 1), machine(number), 2 + number));
  }
  maintenance::JobRequest urgent = machine(8);
  urgent.endpoints = {"a8", "b8"};
  urgent.brokers = {"b3"};
  urgent.zone = "elsewhere";
  urgent.region = "abroad";
  urgent.priority = -3;
  urgent.is_emergency = true;
  all.push_back(request("job-9", urgent, 11));
  all.push_back(request("job-10", machine(9), 12));
  all.push_back(request("refused-same-machine", machine(9), 13));
  return all;
}

// Jobs 2 to 8 each to a step of its own; what is asked for alone stays queued.
Entries jobs_moved() {
  Entries all;
  for (std::uint64_t job = 2; job <= 8; ++job) {
    all.push_back(move("draining-" + std::to_string(job), job, JobState::kQueued, JobState::kDraining,
                       20 + static_cast<int>(job)));
  }
  for (std::uint64_t job : {3, 4, 5, 6, 8}) {
    all.push_back(move("empty-" + std::to_string(job), job, JobState::kDraining, JobState::kEmpty,
                       30 + static_cast<int>(job)));
  }
  for (std::uint64_t job : {4, 5, 6, 8}) {
    all.push_back(move("at-work-" + std::to_string(job), job, JobState::kEmpty, JobState::kInMaintenance,
                       40 + static_cast<int>(job)));
  }
  add(all, {done("done-5", 5, 50), done("done-6", 6, 51),
            move("in-service-6", 6, JobState::kReturning, JobState::kDone, 52), cancel("cancel-7", 7, 53),
            move("refused-failover", 10, JobState::kQueued, JobState::kDraining, 54),
            move("refused-step", 3, JobState::kEmpty, JobState::kDone, 55), hold("hold-1", 1, 56),
            move("lost-8", 8, JobState::kInMaintenance, JobState::kLost, 57),
            move("refused-held", 9, JobState::kQueued, JobState::kDraining, 58)});
  return all;
}

Entries nodes_at_work_and_orders() {
  const std::string nodes = "at_work: \"a1\" at_work: \"a2\" at_work: \"a3\" at_work: \"a7\"";
  return {entry(Kind::ground_works, "works-baseline-3", nodes),
          entry(Kind::propose_ground, "refused-baseline-waits", kNarrowerBaseline, 2),
          up_to(Kind::force_ground, 3),
          entry(Kind::propose_works, "works-4", nodes),
          up_to(Kind::force, 3),
          entry(Kind::propose_ground, "baseline-4", kNarrowerBaseline, 3),
          order("order-1", "west", "evacuate"),
          order("order-2", "east", "hold"),
          order("order-3", "middle", "hold"),
          order("order-4", "middle", ""),
          order("refused-order", "middle", "dance")};
}

}  // namespace

const char* const kKeptBaseline = "op_type {\n  name: \"lookup\"\n  held_most: 10\n}\nat_work: \"a1\"\n";

Entries entries_before_snapshot() {
  Entries all = brokers_and_rules();
  add(all, jobs_asked_for());
  add(all, jobs_moved());
  add(all, nodes_at_work_and_orders());
  return all;
}

Entries entries_after_snapshot() {
  return {up_to(Kind::force_ground, 4),
          up_to(Kind::force, 4),
          entry(Kind::propose, "rules-5", kWiderRules, 4),
          with_note(entry(Kind::propose_zones, "shares-6", "zone_shares { otherwise: 900 }", 3), "none far"),
          entry(Kind::propose_works, "works-7", "", 4),
          up_to(Kind::force, 7),
          entry(Kind::ground_works, "works-baseline-5", "", 3),
          order("order-5", "east", ""),
          of_broker(Kind::enlist, "b5"),
          of_broker(Kind::strike, "b1"),
          resume("resume-all", 0, 60),
          resume("resume-1", 1, 61),
          move("back-2", 2, JobState::kDraining, JobState::kQueued, 62),
          move("draining-9", 9, JobState::kQueued, JobState::kDraining, 63),
          done("done-8", 8, 64),
          facts("facts-2", false, 65)};
}

Entries entries_to_append() {
  return {up_to(Kind::force_ground, 5),
          entry(Kind::propose, "rules-8", kRules, 7),
          with_note(entry(Kind::propose_zones, "shares-9", "zone_shares { otherwise: 700 }", 6), "further"),
          up_to(Kind::force, 9),
          entry(Kind::ground_works, "works-baseline-6", "at_work: \"a1\"", 5),
          up_to(Kind::force_ground, 6),
          entry(Kind::propose_works, "works-10", "at_work: \"a1\"", 7),
          up_to(Kind::force, 10),
          entry(Kind::propose_ground, "baseline-7", kNarrowerBaseline, 6),
          entry(Kind::propose, "rules-2", kRules, 1),
          order("order-6", "middle", "hold"),
          of_broker(Kind::enlist, "b6"),
          of_broker(Kind::strike, "b5"),
          done("done-4", 4, 70),
          request("job-11", machine(6), 71),
          cancel("cancel-1", 1, 72)};
}

}  // namespace cairnhub::stored
