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

struct RaftSettings {
  Time election_timeout =
      300 * kSecond / 1000;  // without a leader for this to twice this, one asks for votes
  Time heartbeat_interval = 60 * kSecond / 1000;
  Time tick_interval = 20 * kSecond / 1000;
  unsigned snapshot_threshold = 512;  // entries
  unsigned snapshot_trailing = 64;
};

struct RaftMember {
  std::uint64_t id = 0;
  std::string name;
  bool is_voter = true;
};

// Of a broker whose store was made by `accord init`; every other store draws its own.
std::uint64_t initial_voter_id(const std::string& name);

class RaftNode {
 public:
  // `applied` is told each entry, as it is applied, with what it led to.
  using Applied = std::function<void(const Entry&, const Verdict&)>;
  RaftNode(const RaftSettings& terms, const std::string& name, DurableStore& store, std::uint64_t seed,
           Applied applied, std::shared_ptr<const Board> board = nullptr);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  bool start(Time now);  // false: broken
  void tick(Time now);   // every terms.tick
  void handle_message(Time now, const std::string& from, const accord::wire::Raft& message);
  struct Outgoing {
    std::string to;
    std::string bytes;
  };
  std::optional<Outgoing> take_message();
  // Ends of sends and appends are told to the library here, outside its own calls: after each of the above.
  void run_callbacks(Time now);

  // `done`: the verdict, or none where the entry may or may not come in.
  using Done = std::function<void(const std::optional<Verdict>&)>;
  bool propose(Time now, const Entry& entry, Done done);  // false: does not lead
  bool add_voter(Time now, std::uint64_t id, const std::string& name);
  bool remove_voter(Time now, std::uint64_t id);
  bool has_change_in_progress() const;  // a change of voters is under way
  bool transfer_leadership(Time now);   // leadership, to any voter

  bool has_failed() const;
  bool is_leader() const;  // and has applied all that was committed before its term
  std::uint64_t term() const;
  std::string leader() const;  // empty: not known
  std::uint64_t id() const;
  std::vector<RaftMember> members() const;
  std::set<std::string> voter_names() const;  // their names
  const Versions& versions() const;
  std::uint64_t applied_index() const;

  // For a new store: the log's first entry names the voters.
  static bool bootstrap(DurableStore& store, const std::vector<RaftMember>& voters);
  // Where a majority is gone for good: from now on these vote, whatever the log says. An operator's last
  // resort.
  static bool force_voters(DurableStore& store, const std::vector<RaftMember>& voters);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnhub::shared_config
