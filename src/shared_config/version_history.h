// The replicated state machine of the configuration log: a history of versions of the rules.
//
// The same entries in the same order produce the same state at every broker, so nothing here depends on time,
// leases or peers.
//
// A version is complete and immutable. Versions are numbered from 1; one of them is in force, and newer ones
// may wait to take effect. The baseline is the rule set that a broker acts on while it holds no lease. The
// baseline allows nothing that the version in force or a later version forbids, so a broker without a lease
// contradicts no other broker. The baseline changes in two steps: while a next baseline is pending, brokers
// act on the meet of both baselines; once every enrolled broker does so, the next baseline replaces the old
// one.
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
  std::string hash;  // content hash of `text`
  std::string who;
  std::string why;
  std::string id;    // id of the proposal
  std::string note;  // the data that the zone shares were computed from
  std::shared_ptr<const RuleSet> rules;
};

// Returns about how many bytes the version takes in a message or a snapshot.
std::size_t encoded_bytes(const Version& version);

// An entry of the replicated log.
struct ConfigEntry {
  enum class Kind {
    kProposeVersion = 1,  // a new version; rejected if another proposal changed the settings since `base`
    kProposeBaseline,     // a new baseline; rejected if another proposal changed its settings since `base`
    kActivateVersion,     // the version `number` takes effect
    kActivateBaseline,    // the next baseline, `number`, takes effect
    kEnrollBroker,        // adds the broker `name` to the enrolled brokers
    kRemoveBroker,        // removes the broker `name` from the enrolled brokers
    kProposeZoneShares,   // the newest version with new zone shares and a note
    kSetZoneOrder,        // sets an operator's order on the zone `name`; an empty text clears it
    kProposeMaintenance,  // the newest version with a new set of endpoints in maintenance
    kProposeBaselineMaintenance,  // the baseline with a new set of endpoints in maintenance
    kStateMachine                 // an entry of the additional state machine
  };
  Kind kind = Kind::kProposeVersion;
  std::string id;    // id of the proposal; entries with the same id are applied only once
  std::string text;  // rules, a zone order or an entry of the additional state machine, by kind
  std::string who;
  std::string why;
  std::string name;  // name of a broker or a zone, by kind
  std::string note;
  // The version or baseline that a proposal was made from. A proposal for zone shares or maintenance names
  // the version or baseline that last changed them; it is rejected with any other number.
  std::uint64_t base = 0;
  std::uint64_t number = 0;
};
std::string encode(const ConfigEntry& entry);
// Returns nothing if the bytes are malformed or a field exceeds its limit.
std::optional<ConfigEntry> decode_entry(std::string_view bytes);
// Describes the first field that decode_entry() refuses for its length; returns an empty string if there is
// none.
std::string first_field_over_limit(const ConfigEntry& entry);

// The result of applying an entry.
struct ApplyResult {
  std::uint64_t number = 0;  // the version or baseline that a proposal became; 0: rejected
  std::string rejection;     // the reason for the rejection
};

// An additional state machine that the log drives beside the versions, implemented by another package. The
// same entries produce the same state at every voter. An instance is immutable.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;
  // Sets `next` to the state after the entry, unless the entry is rejected.
  virtual ApplyResult apply(const ConfigEntry& entry,
                            std::shared_ptr<const ReplicatedStateMachine>& next) const = 0;
  virtual std::string snapshot() const = 0;
  // Returns null if the bytes are malformed.
  virtual std::shared_ptr<const ReplicatedStateMachine> restore(std::string_view bytes) const = 0;
};

// An operator's order on a zone; the order holds until an operator clears it.
struct ZoneOrder {
  std::string action;  // "evacuate" or "hold"
  std::string who;
  std::string why;
};

// Holds the state that the entries of the log produce.
class VersionHistory {
 public:
  // `state_machine` is the initial state of the additional state machine; null if there is none.
  explicit VersionHistory(std::shared_ptr<const ReplicatedStateMachine> state_machine = nullptr);

  // Applies one entry of the log.
  ApplyResult apply(const ConfigEntry& entry);

  std::uint64_t newest() const { return versions_.rbegin()->first; }
  std::uint64_t in_force() const { return in_force_; }
  const std::map<std::uint64_t, Version>& versions() const { return versions_; }
  // Returns null if the version is unknown or has been dropped.
  const Version* find(std::uint64_t number) const;
  const Version& baseline() const { return baseline_; }
  const std::optional<Version>& next_baseline() const { return next_baseline_; }
  // Returns the brokers that must follow a baseline before it takes effect.
  const std::set<std::string>& enrolled_brokers() const { return enrolled_brokers_; }
  const std::map<std::string, ZoneOrder>& zone_orders() const { return zone_orders_; }  // by zone
  // Return the last version that changed the zone shares, the last version that changed the endpoints in
  // maintenance, and the last baseline that changed the endpoints in maintenance; 0: none.
  std::uint64_t zone_shares_version() const { return zone_shares_version_; }
  std::uint64_t maintenance_version() const { return maintenance_version_; }
  std::uint64_t baseline_maintenance_version() const { return baseline_maintenance_version_; }

  const std::shared_ptr<const ReplicatedStateMachine>& state_machine() const { return state_machine_; }

  std::string snapshot() const;
  // Replaces the state; returns false and changes nothing if the bytes are malformed.
  bool restore(std::string_view bytes);

  static constexpr std::size_t kMaxOldVersions = 128;      // versions older than the one in force
  static constexpr std::size_t kMaxPendingVersions = 512;  // versions newer than the one in force
  // As encoded_bytes() counts them. A snapshot and a grant to a new broker hold both, and each must fit into
  // one message between brokers.
  static constexpr std::size_t kMaxOldVersionBytes = std::size_t{1} << 20;
  static constexpr std::size_t kMaxPendingVersionBytes = std::size_t{1} << 20;
  static constexpr std::size_t kMaxProposalIds = 1024;  // ids of proposals
  static constexpr std::size_t kMaxBrokers = 4096;
  static constexpr std::size_t kMaxZoneOrders = 64;

 private:
  ApplyResult propose(const ConfigEntry& e);
  ApplyResult propose_baseline(const ConfigEntry& e);
  ApplyResult set_zone_order(const ConfigEntry& e);
  ApplyResult apply_to_state_machine(const ConfigEntry& e);
  void drop_old_versions();
  std::size_t pending_version_bytes() const;

  std::map<std::uint64_t, Version> versions_;  // never empty: version 1 restricts nothing
  std::uint64_t in_force_ = 1;
  Version baseline_;
  std::optional<Version> next_baseline_;
  std::set<std::string> enrolled_brokers_;
  std::map<std::string, ZoneOrder> zone_orders_;
  std::shared_ptr<const ReplicatedStateMachine> state_machine_;
  std::uint64_t zone_shares_version_ = 0;
  std::uint64_t maintenance_version_ = 0;
  std::uint64_t baseline_maintenance_version_ = 0;
  std::uint64_t settings_version_ = 1;           // the last version that an operator proposed
  std::uint64_t baseline_settings_version_ = 1;  // the last baseline that an operator proposed
  // Ids and results of recent proposals, oldest first.
  std::deque<std::pair<std::string, std::uint64_t>> recent_proposals_;
};

}  // namespace cairnhub::shared_config
