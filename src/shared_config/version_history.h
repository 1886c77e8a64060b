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

#include "shared_config/rule_set.h"

namespace cairnhub::shared_config {

struct Version {
  std::uint64_t number = 0;
  std::string text, hash, who, why, id;
  std::string note;  // beside the rules, for those who make zone shares: what they act on
  std::shared_ptr<const Rules> rules;
};

struct Entry {
  // propose, propose_ground: `base` is the newest its proposer has seen; one that has brought other settings
  // since makes it refused. propose_zones: the newest version's rules with the zone shares of these, and a
  // note; `base` is the version that brought the shares before. order: of an operator, of the zone `name`;
  // one with no text ends the last. propose_works, ground_works: the same for nodes at work, of the newest
  // version and of the ground. board: for the board that stands beside the versions.
  enum class Kind {
    propose = 1,
    propose_ground,
    force,
    force_ground,
    enlist,
    strike,
    propose_zones,
    order,
    propose_works,
    ground_works,
    board
  };
  Kind kind = Kind::propose;
  std::string id, text, who, why, name, note;
  std::uint64_t base = 0, number = 0;
};
std::string encode(const Entry& entry);
std::optional<Entry> decode_entry(std::string_view bytes);

struct Verdict {
  std::uint64_t number = 0;  // what the proposal became; 0: refused
  std::string refused;       // why
};

// What else the log carries, kept by another package: the same entries lead to the same board at every voter.
// Never changed once made.
class Board {
 public:
  virtual ~Board() = default;
  // `next`: the board after it, where it is not refused.
  virtual Verdict apply(const Entry& entry, std::shared_ptr<const Board>& next) const = 0;
  virtual std::string snapshot() const = 0;
  virtual std::shared_ptr<const Board> restore(std::string_view bytes) const = 0;  // null: can't be used
};

// What an operator has ordered of a zone, until it is ended.
struct Order {
  std::string what, who, why;
};

class Versions {
 public:
  explicit Versions(std::shared_ptr<const Board> board = nullptr);

  Verdict apply(const Entry& entry);

  std::uint64_t newest() const { return versions_.rbegin()->first; }
  std::uint64_t in_force() const { return in_force_; }
  const std::map<std::uint64_t, Version>& all() const { return versions_; }
  const Version* at(std::uint64_t number) const;
  const Version& ground() const { return ground_; }
  const std::optional<Version>& ground_next() const { return ground_next_; }
  const std::set<std::string>& roster() const { return roster_; }
  const std::map<std::string, Order>& orders() const { return orders_; }  // by zone
  // The version that brought the shares, the nodes at work, the ground that brought those; 0: none yet.
  std::uint64_t zones_from() const { return zones_from_; }
  std::uint64_t works_from() const { return works_from_; }
  std::uint64_t ground_works_from() const { return ground_works_from_; }

  const std::shared_ptr<const Board>& board() const { return board_; }

  std::string snapshot() const;
  bool restore(std::string_view bytes);  // false, and nothing taken, where it can't be used

  static constexpr std::size_t kKept = 128;     // versions below the one in force
  static constexpr std::size_t kWaiting = 512;  // versions above it
  static constexpr std::size_t kSeen = 1024;    // ids of proposals
  static constexpr std::size_t kRoster = 4096;
  static constexpr std::size_t kOrders = 64;

 private:
  Verdict propose(const Entry& e);
  Verdict propose_ground(const Entry& e);
  Verdict order(const Entry& e);
  Verdict on_board(const Entry& e);
  void forget_old();

  std::map<std::uint64_t, Version> versions_;  // never empty: version 1 takes nothing away
  std::uint64_t in_force_ = 1;
  Version ground_;
  std::optional<Version> ground_next_;
  std::set<std::string> roster_;
  std::map<std::string, Order> orders_;
  std::shared_ptr<const Board> board_;
  std::uint64_t zones_from_ = 0, works_from_ = 0, ground_works_from_ = 0;
  std::uint64_t settings_from_ = 1, ground_settings_from_ = 1;  // that an operator brought
  std::deque<std::pair<std::string, std::uint64_t>> seen_;
};

}  // namespace cairnhub::shared_config
