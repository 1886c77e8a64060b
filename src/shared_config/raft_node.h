// The log that voters agree on: Raft (Ongaro and Ousterhout 2014; pre-vote, leadership transfer and one
// change of voters at a time after Ongaro's thesis) by Debian's libraft, driven by our time, messages, store
// and chance, so that a seed plays the whole.
//
// Errors: a store that fails makes the engine `broken`: it says nothing more and votes no more.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "shared_config/durable_store.h"
#include "shared_config/version_history.h"

namespace cairnhub::accord::wire {
class Raft;
}

namespace cairnhub::shared_config {

struct EngineTerms {
  Time election = 300 * kSecond / 1000;  // without a leader for this to twice this, one asks for votes
  Time heartbeat = 60 * kSecond / 1000;
  Time tick = 20 * kSecond / 1000;
  unsigned snapshot_after = 512;  // entries
  unsigned snapshot_keeps = 64;
};

struct Voter {
  std::uint64_t id = 0;
  std::string name;
  bool votes = true;
};

// Of a broker whose store was made by `accord init`; every other store draws its own.
std::uint64_t first_voter_id(const std::string& name);

class Engine {
 public:
  // `applied` is told each entry, as it is applied, with what it led to.
  using Applied = std::function<void(const ConfigEntry&, const ApplyResult&)>;
  Engine(const EngineTerms& terms, const std::string& name, Store& store, std::uint64_t seed, Applied applied,
         std::shared_ptr<const ReplicatedStateMachine> board = nullptr);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  bool start(Time now);  // false: broken
  void tick(Time now);   // every terms.tick
  void received(Time now, const std::string& from, const accord::wire::Raft& message);
  struct Outgoing {
    std::string to;
    std::string bytes;
  };
  std::optional<Outgoing> send();
  // Ends of sends and appends are told to the library here, outside its own calls: after each of the above.
  void turn(Time now);

  // `done`: the verdict, or none where the entry may or may not come in.
  using Done = std::function<void(const std::optional<ApplyResult>&)>;
  bool propose(Time now, const ConfigEntry& entry, Done done);  // false: does not lead
  bool add_voter(Time now, std::uint64_t id, const std::string& name);
  bool remove_voter(Time now, std::uint64_t id);
  bool changing() const;     // a change of voters is under way
  bool hand_over(Time now);  // leadership, to any voter

  bool broken() const;
  bool leads() const;  // and has applied all that was committed before its term
  std::uint64_t term() const;
  std::string leader() const;  // empty: not known
  std::uint64_t id() const;
  std::vector<Voter> voters() const;
  std::set<std::string> voting() const;  // their names
  const VersionHistory& versions() const;
  std::uint64_t applied_index() const;

  // For a new store: the log's first entry names the voters.
  static bool bootstrap(Store& store, const std::vector<Voter>& voters);
  // Where a majority is gone for good: from now on these vote, whatever the log says. An operator's last
  // resort.
  static bool force_voters(Store& store, const std::vector<Voter>& voters);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnhub::shared_config
