// The book of versions: what the log's entries lead to. The same entries in the same order give the same book
// at every broker; nothing here knows of time, leases or peers.
//
// A version is whole and immutable. Versions are numbered from 1 on; the newest of them may wait for force
// while an older one has it. The common ground is what a broker without a lease acts on; it lies within every
// version from the one in force on, so that such a broker contradicts nobody. It changes in two steps: while
// a next ground waits, brokers take the meet of both; once all that are enlisted do, the next one alone
// counts.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "accord/rules.h"

namespace cairnhub::accord {

struct Version {
  std::uint64_t number = 0;
  std::string text, hash, who, why, id;
  std::shared_ptr<const Rules> rules;
};

struct Entry {
  enum class Kind { propose = 1, propose_ground, force, force_ground, enlist, strike };
  Kind kind = Kind::propose;
  std::string id, text, who, why, name;
  std::uint64_t base = 0, number = 0;
};
std::string encode(const Entry& entry);
std::optional<Entry> decode_entry(std::string_view bytes);

struct Verdict {
  std::uint64_t number = 0;  // what the proposal became; 0: refused
  std::string refused;       // why
};

class Versions {
 public:
  Versions();

  Verdict apply(const Entry& entry);

  std::uint64_t newest() const { return versions_.rbegin()->first; }
  std::uint64_t in_force() const { return in_force_; }
  const std::map<std::uint64_t, Version>& all() const { return versions_; }
  const Version* at(std::uint64_t number) const;
  const Version& ground() const { return ground_; }
  const std::optional<Version>& ground_next() const { return ground_next_; }
  const std::set<std::string>& roster() const { return roster_; }

  std::string snapshot() const;
  bool restore(std::string_view bytes);  // false, and nothing taken, where it can't be used

  static constexpr std::size_t kKept = 128;     // versions below the one in force
  static constexpr std::size_t kWaiting = 512;  // versions above it
  static constexpr std::size_t kSeen = 1024;    // ids of proposals
  static constexpr std::size_t kRoster = 4096;

 private:
  Verdict propose(const Entry& e);
  Verdict propose_ground(const Entry& e);
  void forget_old();

  std::map<std::uint64_t, Version> versions_;  // never empty: version 1 takes nothing away
  std::uint64_t in_force_ = 1;
  Version ground_;
  std::optional<Version> ground_next_;
  std::set<std::string> roster_;
  std::deque<std::pair<std::string, std::uint64_t>> seen_;
};

}  // namespace cairnhub::accord
