#include "stored/stores.h"

#include <stdexcept>

#include "maintenance/job_queue.h"
#include "shared_config/raft_node.h"
#include "stored/content.h"
#include "stored/dump.h"

namespace cairnhub::stored {

namespace {

using shared_config::ConfigEntry;
using shared_config::LogEntry;

constexpr unsigned short kCommand = 1;  // entry types of the consensus library
constexpr unsigned short kBarrier = 2;
constexpr std::uint64_t kLaterTerm = 3;
constexpr std::uint64_t kAppendedTerm = 4;
constexpr unsigned kEntriesKeptBelowSnapshot = 2;
constexpr unsigned kNoSnapshot = 1000;
constexpr std::uint64_t kEngineSeed = 11;
constexpr int kTicksAtMost = 1000;
const char* const kBroker = "b1";

std::vector<LogEntry> as_log(const std::vector<ConfigEntry>& entries, std::uint64_t term) {
  std::vector<LogEntry> log;
  for (const ConfigEntry& entry : entries) {
    log.push_back({term, kCommand, shared_config::encode(entry)});
  }
  return log;
}

void require(bool held, const char* what) {
  if (!held) {
    throw std::runtime_error(std::string("the store refused: ") + what);
  }
}

std::uint64_t next_index(const shared_config::Stored& held) { return held.first + held.entries.size(); }

}  // namespace

std::unique_ptr<shared_config::Kept> open_store(const std::string& folder) {
  std::string set_aside;
  auto store = shared_config::Kept::open(folder, shared_config::first_voter_id(kBroker), &set_aside);
  if (!set_aside.empty()) {
    throw std::runtime_error("the store was taken for damaged: " + set_aside);
  }
  return store;
}

void write_log_alone(const std::string& folder) {
  const auto store = open_store(folder);
  const std::vector<shared_config::Voter> voters = {{shared_config::first_voter_id("b1"), "b1", true},
                                                    {shared_config::first_voter_id("b2"), "b2", true},
                                                    {shared_config::first_voter_id("b3"), "b3", false}};
  require(shared_config::Engine::bootstrap(*store, voters), "the first entry");
  std::vector<LogEntry> log = as_log(entries_before_snapshot(), 1);
  log.push_back({kLaterTerm, kBarrier, std::string(8, '\0')});
  for (LogEntry& entry : as_log(entries_after_snapshot(), kLaterTerm)) {
    log.push_back(std::move(entry));
  }
  require(store->set_term(kLaterTerm), "a term");
  require(store->set_vote(shared_config::first_voter_id("b2")), "a vote");
  require(store->append(2, log), "entries");
  store->keep_ground(kKeptBaseline, kKeptBaselineNumber);
}

void write_snapshot_and_tail(const std::string& folder) {
  {
    const auto store = open_store(folder);
    require(
        shared_config::Engine::bootstrap(*store, {{shared_config::first_voter_id(kBroker), kBroker, true}}),
        "the voter");
    store->keep_ground(kKeptBaseline, kKeptBaselineNumber);
  }
  const std::vector<ConfigEntry> before = entries_before_snapshot();
  std::vector<ConfigEntry> all = before;
  for (const ConfigEntry& entry : entries_after_snapshot()) {
    all.push_back(entry);
  }
  const unsigned first_two = 2;  // the voter's own entry and the new leader's barrier
  run_engine(folder, all, static_cast<unsigned>(before.size()) + first_two);
}

shared_config::VersionHistory replay(const shared_config::Kept& store, Numbers* numbers) {
  const shared_config::Stored& held = store.loaded();
  shared_config::VersionHistory versions(std::make_shared<maintenance::JobQueue>());
  if (held.snapshot) {
    require(versions.restore(held.snapshot->data), "its snapshot");
  }
  std::uint64_t index = held.first;
  for (const LogEntry& logged : held.entries) {
    const bool is_in_snapshot = held.snapshot && index <= held.snapshot->index;
    ++index;
    if (logged.type != kCommand || is_in_snapshot) {
      continue;
    }
    const auto entry = shared_config::decode_entry(logged.data);
    require(entry.has_value(), "an entry");
    const shared_config::ApplyResult verdict = versions.apply(*entry);
    if (numbers) {
      numbers->push_back(verdict.number);
    }
  }
  return versions;
}

void append_to_log_alone(const std::string& folder) {
  const auto store = open_store(folder);
  const shared_config::Stored& held = store->loaded();
  const std::uint64_t next = next_index(held);
  const std::vector<LogEntry> log = as_log(entries_to_append(), kAppendedTerm);
  require(store->set_term(kAppendedTerm), "a later term");
  require(store->set_vote(shared_config::first_voter_id("b3")), "a later vote");
  require(store->append(next, {{kAppendedTerm, kCommand, "to be cut off"}}), "an entry");
  require(store->truncate(next), "cutting off");
  require(store->append(next, log), "further entries");
  shared_config::VersionHistory versions = replay(*store);
  for (const ConfigEntry& entry : entries_to_append()) {
    versions.apply(entry);
  }
  const std::uint64_t last = next + log.size() - 1;
  const std::string voters = "";  // in the engine's own form; another store's test holds one
  require(store->put({last, kAppendedTerm, 1, voters, versions.snapshot()}, last), "a snapshot");
}

EngineRun run_engine(const std::string& folder, const std::vector<ConfigEntry>& entries,
                     unsigned snapshot_after) {
  const auto store = open_store(folder);
  shared_config::EngineTerms terms;
  terms.snapshot_after = snapshot_after == 0 ? kNoSnapshot : snapshot_after;
  terms.snapshot_keeps = kEntriesKeptBelowSnapshot;
  shared_config::Engine engine(terms, kBroker, *store, kEngineSeed, nullptr,
                               std::make_shared<maintenance::JobQueue>());
  Time now = 0;
  EngineRun run;
  run.is_broken = !engine.start(now);
  for (int ticks = 0; ticks < kTicksAtMost && !engine.leads(); ++ticks) {
    now += terms.tick;
    engine.tick(now);
  }
  for (const ConfigEntry& entry : entries) {
    const bool is_taken =
        engine.propose(now, entry, [&](const std::optional<shared_config::ApplyResult>& verdict) {
          run.numbers.push_back(verdict ? verdict->number : 0);
        });
    require(is_taken, "a proposal");
    engine.turn(now);
  }
  run.state = dump_state(engine.versions());
  run.is_broken = run.is_broken || engine.broken() || !engine.leads();
  return run;
}

}  // namespace cairnhub::stored
