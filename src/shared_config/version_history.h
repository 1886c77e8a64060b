// The replicated state machine of the configuration log: a history of versions of the rules.
//
// The same entries in the same order produce the same state at every broker, so nothing here depends on time,
// leases or peers.
//
// A version is complete and immutable. Versions are numbered from 1; one of them is in force, and newer ones
// may wait to take effect. The baseline is the rule set that a broker acts on while it holds no lease. It
// lies within the version in force and within every later one, so a broker without a lease contradicts no
// other. The baseline changes in two steps: while a next baseline is pending, brokers act on the meet of
// both; once every enrolled broker does so, the next one replaces the old one.
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

// One version of the rules, or a baseline; immutable.
struct Version {
  std::uint64_t number = 0;
  std::string text;  // canonical text of `rules`
  std::string hash;  // of `text`
  std::string who;
  std::string why;
  std::string id;    // of the proposal
  std::string note;  // the data that the zone shares were computed from
  std::shared_ptr<const Rules> rules;
};

// An entry of the replicated log.
struct Entry {
  enum class Kind {
    propose = 1,     // a new version; rejected if another proposal changed the settings since `base`
    propose_ground,  // a new baseline; rejected if another proposal changed its settings since `base`
    force,           // the version `number` takes effect
    force_ground,    // the next baseline, `number`, takes effect
    enlist,          // enrolls the broker `name`
    strike,          // removes the broker `name`
    propose_zones,   // the newest version with other zone shares and a note; `base` made the current shares
    order,           // sets an operator's order on the zone `name`; an empty text clears it
    propose_works,   // the newest version with other endpoints in maintenance; `base` made the current ones
    ground_works,    // the baseline with other endpoints in maintenance; `base` made the current ones
    board            // for the additional state machine
  };
  Kind kind = Kind::propose;
  std::string id;    // of the proposal; an entry with a known id is applied once only
  std::string text;  // rules, a zone order or an entry of the additional state machine, by kind
  std::string who;
  std::string why;
  std::string name;  // of a broker or a zone, by kind
  std::string note;
  std::uint64_t base = 0;
  std::uint64_t number = 0;
};
std::string encode(const Entry& entry);
// Returns nothing if the bytes are malformed or a field exceeds its limit.
std::optional<Entry> decode_entry(std::string_view bytes);

// The result of applying an entry.
struct Verdict {
  std::uint64_t number = 0;  // the version or baseline that a proposal became; 0: rejected
  std::string refused;       // the reason of the rejection
};

// An additional state machine that the log drives beside the versions, implemented by another package. The
// same entries produce the same state at every voter. An instance is immutable.
class Board {
 public:
  virtual ~Board() = default;
  // Sets `next` to the state after the entry, unless the entry is rejected.
  virtual Verdict apply(const Entry& entry, std::shared_ptr<const Board>& next) const = 0;
  virtual std::string snapshot() const = 0;
  // Returns null if the bytes are malformed.
  virtual std::shared_ptr<const Board> restore(std::string_view bytes) const = 0;
};

// An operator's order on a zone; it holds until the operator clears it.
struct Order {
  std::string what;  // "evacuate" or "hold"
  std::string who;
  std::string why;
};

class Versions {
 public:
  // `board`: the initial state of the additional state machine, if the log drives one.
  explicit Versions(std::shared_ptr<const Board> board = nullptr);

  // Applies one entry of the log.
  Verdict apply(const Entry& entry);

  std::uint64_t newest() const { return versions_.rbegin()->first; }
  std::uint64_t in_force() const { return in_force_; }
  const std::map<std::uint64_t, Version>& all() const { return versions_; }
  // Returns null if the version is unknown or has been dropped.
  const Version* at(std::uint64_t number) const;
  const Version& ground() const { return ground_; }
  const std::optional<Version>& ground_next() const { return ground_next_; }
  // The brokers that must take up a baseline before it takes effect.
  const std::set<std::string>& roster() const { return roster_; }
  const std::map<std::string, Order>& orders() const { return orders_; }  // by zone
  // The last version that changed the zone shares, the last that changed the endpoints in maintenance, and
  // the last baseline that changed those; 0: none.
  std::uint64_t zones_from() const { return zones_from_; }
  std::uint64_t works_from() const { return works_from_; }
  std::uint64_t ground_works_from() const { return ground_works_from_; }

  const std::shared_ptr<const Board>& board() const { return board_; }

  std::string snapshot() const;
  // Replaces the state; returns false and changes nothing if the bytes are malformed.
  bool restore(std::string_view bytes);

  static constexpr std::size_t kKept = 128;     // versions older than the one in force
  static constexpr std::size_t kWaiting = 512;  // versions newer than the one in force
  static constexpr std::size_t kSeen = 1024;    // ids of proposals
  static constexpr std::size_t kRoster = 4096;
  static constexpr std::size_t kOrders = 64;

 private:
  Verdict propose(const Entry& e);
  Verdict propose_ground(const Entry& e);
  Verdict set_zone_order(const Entry& e);
  Verdict apply_to_board(const Entry& e);
  void drop_old_versions();

  std::map<std::uint64_t, Version> versions_;  // never empty: version 1 restricts nothing
  std::uint64_t in_force_ = 1;
  Version ground_;
  std::optional<Version> ground_next_;
  std::set<std::string> roster_;
  std::map<std::string, Order> orders_;
  std::shared_ptr<const Board> board_;
  std::uint64_t zones_from_ = 0;
  std::uint64_t works_from_ = 0;
  std::uint64_t ground_works_from_ = 0;
  std::uint64_t settings_from_ = 1;                         // the last version that an operator proposed
  std::uint64_t ground_settings_from_ = 1;                  // the last baseline that an operator proposed
  std::deque<std::pair<std::string, std::uint64_t>> seen_;  // id and result of recent proposals, oldest first
};

}  // namespace cairnhub::shared_config
