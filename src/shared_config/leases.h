// A lease determines which versions of the rules a broker may act on, and until when. The code does no I/O
// and reads no clock.
//
// The client counts a lease from the moment of its request and the leader from the moment of its grant, each
// on its own monotonic clock, whose rate is within `max_clock_drift` of true time. A client with a lease
// (low, high) acts on the meet of the versions from low to high; a client without one acts on the baseline.
//
// The leader issues a grant only after a majority of voters has confirmed its leadership since the request
// arrived. No grant ends below the newest version. A version takes effect only after every lease that ends
// below that version was replaced or has expired. So the intervals of any two clients overlap at any moment,
// and no broker does anything that the version of another broker forbids (docs/accord.md has the proof;
// tests/leases.cpp checks all event orders of a small model).
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "shared_config/version_history.h"

namespace cairnhub::shared_config {

struct LeaseSettings {
  Time max_divergence = 2 * kSecond;  // the longest time that two brokers may act on contradicting versions
  double max_clock_drift = 0.01;      // the largest error of a clock's rate, as a share
  // The duration of a lease in true time. The rest of `max_divergence` covers the commits around it.
  Time lease_duration() const { return max_divergence * 6 / 10; }
  Time client_duration() const {
    return static_cast<Time>(static_cast<double>(lease_duration()) * (1 - max_clock_drift));
  }
  Time leader_duration() const {
    return static_cast<Time>(static_cast<double>(lease_duration()) * (1 + max_clock_drift));
  }
  Time renew_interval() const { return lease_duration() / 3; }
  Time retry_interval() const { return lease_duration() / 8; }
};

// A broker's request for a lease.
struct LeaseRequest {
  std::uint64_t sequence = 0;  // upper half: incarnation of the process; lower half: a counter
  // Sequence of the grant that the broker acts under; the broker never returns to an earlier grant.
  std::uint64_t current_grant = 0;
  std::uint64_t newest_version = 0;    // the newest version whose content the broker holds
  std::uint64_t baseline = 0;          // the newest baseline that the broker follows, settled or next
  std::uint64_t settled_baseline = 0;  // the newest baseline that the broker knows to be settled
  bool may_vote = false;
  bool releases_lease = false;  // true: the broker releases its lease
  std::uint64_t voter_id = 0;   // identity of the broker's store; 0 if the broker can't vote
};

// The leader's answer to a request.
struct LeaseGrant {
  std::uint64_t sequence = 0;  // sequence of the request
  std::uint64_t low = 0;       // the first version of the lease; 0: no lease
  std::uint64_t high = 0;      // the last version of the lease
  std::uint64_t term = 0;
  std::vector<Version> versions;    // the versions that the receiver lacks
  std::optional<Version> baseline;  // the baselines, if the receiver's are out of date
  std::optional<Version> next_baseline;
};

// The configuration that a broker acts on; immutable.
struct ActiveConfig {
  std::uint64_t low = 0;   // the first version of the lease; 0: no lease, the baseline applies
  std::uint64_t high = 0;  // the last version of the lease
  std::uint64_t baseline = 0;
  std::shared_ptr<const RuleSet> rules;
};

// The lease client of each broker.
class LeaseClient {
 public:
  // `incarnation` is the incarnation of the process, which grows with each restart. Without it, the client
  // could accept a grant to a request of an earlier process: the leader would not know of that lease, and the
  // grant would omit a baseline that only the earlier process had received.
  LeaseClient(const LeaseSettings& settings, RuleSet baseline, std::uint32_t incarnation = 0);

  // Returns the configuration in effect at `now`. The function is cheap, as it is called before each
  // operation.
  const std::shared_ptr<const ActiveConfig>& active_config(Time now) const {
    return now < lease_expires_at_ ? leased_config_ : baseline_config_;
  }
  Time lease_expires_at() const { return lease_expires_at_; }

  Time next_wake() const { return next_request_; }
  // Makes a new request; earlier requests may still be answered.
  LeaseRequest make_request(Time now);
  // Applies a grant; returns false if the grant answers no request of this process.
  bool handle_grant(Time now, const LeaseGrant& grant);
  // Handles the answer that the receiver of the request isn't the leader: the next request follows soon.
  void handle_not_leader(Time now);
  void request_soon(Time now) { next_request_ = std::min(next_request_, now); }
  void release() { lease_expires_at_ = 0; }
  // Restores the baseline that an earlier process stored. Must be called before the first request.
  void restore_baseline(const Version& baseline);
  const Version& baseline() const { return baseline_; }
  const std::optional<Version>& next_baseline() const { return next_baseline_; }
  // Returns the rules in effect without a lease.
  const RuleSet& baseline_rules() const { return *baseline_config_->rules; }
  // Returns the newest version for which this broker holds all versions from the lease's first one on; 0:
  // none.
  std::uint64_t newest_version() const { return newest_version_; }
  const std::map<std::uint64_t, Version>& versions() const { return versions_; }
  // Appends the complete state, with times relative to `now`, for model checking: equal output means equal
  // future behaviour.
  void append_state(Time now, std::string& into) const;

 private:
  void rebuild_baseline();
  LeaseSettings settings_;
  std::map<std::uint64_t, Version> versions_;
  std::uint64_t newest_version_ = 0;
  Version baseline_;
  std::optional<Version> next_baseline_;
  std::uint64_t baseline_term_ = 0;  // term of the leader that sent the baselines
  std::shared_ptr<const ActiveConfig> leased_config_;
  std::shared_ptr<const ActiveConfig> baseline_config_;
  Time lease_expires_at_ = 0;
  Time next_request_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t current_grant_ = 0;
  std::map<std::uint64_t, Time> request_times_;  // times of the latest requests, by sequence
};

// The lease manager at the leader.
class LeaseManager {
 public:
  explicit LeaseManager(const LeaseSettings& settings) : settings_(settings) {}

  // Starts a term as leader. Leases of earlier leaders may last for one lease duration from now.
  void start_term(Time now, std::uint64_t term, std::set<std::string> voters, const std::string& self);
  void stop_leading() { is_leading_ = false; }
  void set_voters(std::set<std::string> voters) { voters_ = std::move(voters); }

  // Handles a request of any broker, including this broker. `take_grants` returns the answer once a majority
  // has confirmed this leader.
  void handle_request(Time now, const std::string& by, const LeaseRequest& request);
  // Drops the lease that a broker released.
  void release(const std::string& name);
  // Starts a round of confirmation by the voters if requests wait for a round; returns the round's number.
  std::optional<std::uint64_t> start_round(Time now);
  void handle_confirmation(Time now, const std::string& by, std::uint64_t term, std::uint64_t round,
                           const VersionHistory& versions);
  struct AddressedGrant {
    std::string to;  // name of a broker
    LeaseGrant grant;
  };
  // Returns the grants since the last call.
  std::vector<AddressedGrant> take_grants() { return std::exchange(grants_, {}); }

  // Returns the newest version that may take effect now; 0: none.
  std::uint64_t activatable_version(Time now, const VersionHistory& versions) const;
  // Returns true if there is a next baseline and every enrolled broker follows it.
  bool may_activate_baseline(const VersionHistory& versions) const;
  // Return, for operators, the brokers that the newest version, or the next baseline, still waits for.
  std::vector<std::string> brokers_delaying_version(Time now, const VersionHistory& versions) const;
  std::vector<std::string> brokers_delaying_baseline(const VersionHistory& versions) const;
  // Returns when `activatable_version` may change without a message; kNever if no version waits.
  Time next_wake(Time now, const VersionHistory& versions) const;

  // An issued grant. A grant may get lost, and its receiver then continues under an earlier grant: each grant
  // counts until it expires or until its receiver reports that it acts under a later grant.
  struct OutstandingGrant {
    std::uint64_t sequence;
    std::uint64_t high;
    Time expires_at;
  };
  // The state of one broker, as its requests report it.
  struct BrokerState {
    std::vector<OutstandingGrant> outstanding;  // oldest first
    std::uint64_t baseline = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t previous_incarnation = 0;  // delayed requests of the previous incarnation are ignored
    bool has_lease(Time now) const { return !outstanding.empty() && outstanding.back().expires_at > now; }
    // Returns the lowest end of the broker's unexpired leases; UINT64_MAX if there are none.
    std::uint64_t lowest_high(Time now) const;
    bool may_vote = false;
    std::uint64_t voter_id = 0;
  };
  const std::map<std::string, BrokerState>& brokers() const { return brokers_; }
  // Appends the complete state, as LeaseClient::append_state does.
  void append_state(Time now, std::string& into) const;

 private:
  void grant(Time now, const std::string& to, const LeaseRequest& request, const VersionHistory& versions);
  LeaseSettings settings_;
  bool is_leading_ = false;
  std::uint64_t term_ = 0;
  Time earlier_leases_expire_at_ = 0;  // when the leases of earlier leaders have expired
  std::set<std::string> voters_;
  std::string self_;
  std::map<std::string, BrokerState> brokers_;            // by broker; at most VersionHistory::kMaxBrokers
  std::map<std::string, LeaseRequest> waiting_requests_;  // requests for the next round, by broker
  std::map<std::string, LeaseRequest> round_requests_;    // requests of the current round, by broker
  std::uint64_t round_ = 0;
  Time round_started_at_ = 0;
  bool round_in_progress_ = false;
  std::set<std::string> confirmed_by_;  // voters that have confirmed the current round
  std::vector<AddressedGrant> grants_;
};

}  // namespace cairnhub::shared_config
