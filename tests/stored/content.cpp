#include "stored/content.h"

#include <string>
#include <utility>

#include "maintenance/job_queue.h"

namespace cairnhub::stored {

namespace {

using shared_config::ConfigEntry;
using Kind = ConfigEntry::Kind;
using Entries = std::vector<ConfigEntry>;
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

ConfigEntry entry(Kind kind, const std::string& id, const std::string& text, std::uint64_t base = 0) {
  ConfigEntry made;
  made.kind = kind;
  made.id = id;
  made.text = text;
  made.base = base;
  made.who = "ann";
  made.why = "because of " + id + ", \"quoted\"\nand a second line";
  return made;
}

ConfigEntry with_note(ConfigEntry made, const std::string& note) {
  made.note = note;
  return made;
}

ConfigEntry up_to(Kind kind, std::uint64_t number) {
  ConfigEntry made;
  made.kind = kind;
  made.number = number;
  return made;
}

ConfigEntry of_broker(Kind kind, const std::string& name) {
  ConfigEntry made;
  made.kind = kind;
  made.name = name;
  return made;
}

ConfigEntry order(const std::string& id, const std::string& zone, const std::string& what) {
  ConfigEntry made = entry(Kind::kSetZoneOrder, id, what);
  made.name = zone;
  return made;
}

ConfigEntry job_entry(const std::string& id, maintenance::JobOperation op, int seconds) {
  op.stated_at = kWallClock + seconds * kSecond;
  return entry(Kind::kStateMachine, id, maintenance::encode_operation(op));
}

ConfigEntry facts(const std::string& id, bool all_warm, int seconds) {
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

ConfigEntry request(const std::string& id, const maintenance::JobRequest& wanted, int seconds) {
  maintenance::JobOperation op;
  op.request = wanted;
  return job_entry(id, op, seconds);
}

ConfigEntry move(const std::string& id, std::uint64_t job, JobState from, JobState to, int seconds) {
  maintenance::JobOperation op;
  op.transition = maintenance::JobOperation::Transition{job, from, to};
  return job_entry(id, op, seconds);
}

ConfigEntry hold(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.hold = job;
  return job_entry(id, op, seconds);
}

ConfigEntry resume(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.resume = job;
  return job_entry(id, op, seconds);
}

ConfigEntry cancel(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.cancel = job;
  return job_entry(id, op, seconds);
}

ConfigEntry done(const std::string& id, std::uint64_t job, int seconds) {
  maintenance::JobOperation op;
  op.done = job;
  return job_entry(id, op, seconds);
}

void add(Entries& to, Entries more) {
  for (ConfigEntry& one : more) {
    to.push_back(std::move(one));
  }
}

Entries brokers_and_rules() {
  return {
      of_broker(Kind::kEnrollBroker, "b1"),
      of_broker(Kind::kEnrollBroker, "b2"),
      of_broker(Kind::kEnrollBroker, "b3"),
      of_broker(Kind::kEnrollBroker, "b4"),
      of_broker(Kind::kRemoveBroker, "b4"),
      of_broker(Kind::kRemoveBroker, "never-there"),
      entry(Kind::kProposeBaseline, "baseline-2", kBaseline, 1),
      up_to(Kind::kActivateBaseline, 2),
      entry(Kind::kProposeVersion, "rules-2", kRules, 1),
      up_to(Kind::kActivateVersion, 2),
      entry(Kind::kProposeVersion, "refused-old-base", kRules, 1),
      entry(Kind::kProposeVersion, "refused-misspelt", "op_type { name: \"lookup\" held_mots: 5 }", 2),
      entry(Kind::kProposeVersion, "refused-below-baseline", "op_type { name: \"lookup\" held_most: 1 }", 2),
      entry(Kind::kProposeVersion, "rules-2", kRules, 1),
      up_to(Kind::kActivateVersion, 9),
      with_note(entry(Kind::kProposeZoneShares, "shares-3",
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
  return {entry(Kind::kProposeBaselineMaintenance, "works-baseline-3", nodes),
          entry(Kind::kProposeBaseline, "refused-baseline-waits", kNarrowerBaseline, 2),
          up_to(Kind::kActivateBaseline, 3),
          entry(Kind::kProposeMaintenance, "works-4", nodes),
          up_to(Kind::kActivateVersion, 3),
          entry(Kind::kProposeBaseline, "baseline-4", kNarrowerBaseline, 3),
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
  return {
      up_to(Kind::kActivateBaseline, 4),
      up_to(Kind::kActivateVersion, 4),
      entry(Kind::kProposeVersion, "rules-5", kWiderRules, 4),
      with_note(entry(Kind::kProposeZoneShares, "shares-6", "zone_shares { otherwise: 900 }", 3), "none far"),
      entry(Kind::kProposeMaintenance, "works-7", "", 4),
      up_to(Kind::kActivateVersion, 7),
      entry(Kind::kProposeBaselineMaintenance, "works-baseline-5", "", 3),
      order("order-5", "east", ""),
      of_broker(Kind::kEnrollBroker, "b5"),
      of_broker(Kind::kRemoveBroker, "b1"),
      resume("resume-all", 0, 60),
      resume("resume-1", 1, 61),
      move("back-2", 2, JobState::kDraining, JobState::kQueued, 62),
      move("draining-9", 9, JobState::kQueued, JobState::kDraining, 63),
      done("done-8", 8, 64),
      facts("facts-2", false, 65)};
}

Entries entries_to_append() {
  return {
      up_to(Kind::kActivateBaseline, 5),
      entry(Kind::kProposeVersion, "rules-8", kRules, 7),
      with_note(entry(Kind::kProposeZoneShares, "shares-9", "zone_shares { otherwise: 700 }", 6), "further"),
      up_to(Kind::kActivateVersion, 9),
      entry(Kind::kProposeBaselineMaintenance, "works-baseline-6", "at_work: \"a1\"", 5),
      up_to(Kind::kActivateBaseline, 6),
      entry(Kind::kProposeMaintenance, "works-10", "at_work: \"a1\"", 7),
      up_to(Kind::kActivateVersion, 10),
      entry(Kind::kProposeBaseline, "baseline-7", kNarrowerBaseline, 6),
      entry(Kind::kProposeVersion, "rules-2", kRules, 1),
      order("order-6", "middle", "hold"),
      of_broker(Kind::kEnrollBroker, "b6"),
      of_broker(Kind::kRemoveBroker, "b5"),
      done("done-4", 4, 70),
      request("job-11", machine(6), 71),
      cancel("cancel-1", 1, 72)};
}

}  // namespace cairnhub::stored
