// Restrictions that all brokers apply, written by operators on top of each broker's own settings.
//
// Rule sets form a meet-semilattice: for any two rule sets, their meet is the greatest rule set that allows
// nothing that either of them forbids. A broker that acts on the meet of two versions contradicts neither.
//
// | rule                                               | allows more  | meet of two            |
// | -------------------------------------------------- | ------------ | ---------------------- |
// | served, second copies                              | true         | true only if both are  |
// | time, held, budget, crossing bytes, attempts       | larger       | the smaller            |
// | least share, list floor                            | smaller      | the larger             |
// | two-phase off, index off, withheld, nodes at work  | fewer names  | the union of the names |
// | zone shares, per pair of zones                     | larger       | the smaller            |
#pragma once
#include <climits>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/time.h"

namespace cairnhub::shared_config {

// The restrictions of one request class. The default restricts nothing.
struct RequestClassRule {
  bool is_served = true;             // false: requests are rejected on arrival
  Time max_duration = kNever;        // a request ends by then, even if its client would wait longer
  int max_in_progress = INT_MAX;     // requests in progress at one broker
  Time max_latency_budget = kNever;  // a later answer counts as late
  double min_share = 0;              // share of the weight that a partial answer needs; 0 to 1
  std::int64_t max_cross_zone_bytes_per_second = INT64_MAX;  // bytes that one broker sends between zones
  bool operator==(const RequestClassRule&) const = default;
};

// The share of its shard requests that a zone's brokers may send to each other zone, in thousandths. Requests
// within a zone are never restricted.
struct ZoneShares {
  int default_thousandths = 1000;  // share for pairs that are not listed
  // Shares by (from, to); holds no entry that equals the default.
  std::map<std::pair<std::string, std::string>, int> thousandths_by_pair;
  // Returns the share of the pair, in thousandths.
  int thousandths(const std::string& from, const std::string& to) const;
  void set_thousandths(const std::string& from, const std::string& to, int thousandths);
  bool operator==(const ZoneShares&) const = default;
};

// One complete set of restrictions. The default restricts nothing.
struct RuleSet {
  std::map<std::string, RequestClassRule> request_classes;  // holds no entry that restricts nothing
  int max_attempts = INT_MAX;                               // attempts of one shard request
  bool allows_hedging = true;                               // false: no hedged attempts
  std::set<std::string> two_phase_disabled;                 // request classes that may not run in two phases
  std::set<std::string> disabled_indices;                   // indices that are not served
  std::set<std::string> withheld_endpoints;                 // endpoints that receive no new attempts
  std::uint64_t min_list_revision = 0;                      // endpoint lists of a lower revision are ignored
  ZoneShares zone_shares;
  std::set<std::string> endpoints_in_maintenance;  // out of service for maintenance, or draining for it
  bool operator==(const RuleSet&) const = default;

  // Returns the restrictions of a request class; the default restrictions if the class has no entry.
  const RequestClassRule& rule_for(const std::string& op_type) const;
};

// Returns the greatest rule set that allows nothing that `a` or `b` forbids.
RuleSet meet(const RuleSet& a, const RuleSet& b);
// Returns true if `a` allows nothing that `b` forbids.
bool is_within(const RuleSet& a, const RuleSet& b);
// Describes the first rule by which `a` allows more than `b`; returns an empty string if there is none.
std::string first_excess(const RuleSet& a, const RuleSet& b);

// Reports a rule set that cannot be parsed. what() is one line: the file, the field and the allowed values.
struct RuleSetError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Parses rules that an operator or another broker proposes, in protobuf text format of at most
// kMaxRuleSetTextBytes. `file` names the source in errors. Throws RuleSetError.
RuleSet parse_rule_set(const std::string& text, const std::string& file);
// Parses the canonical text of rules that were accepted, of at most kMaxCanonicalTextBytes. The limits of a
// proposal don't apply: the canonical text of a proposal is longer than its own text, and an accepted rule
// set joins the parts of several proposals. `source` names the source in errors. Throws RuleSetError.
RuleSet parse_accepted_rule_set(const std::string& text, const std::string& source);
// Returns the canonical text form: equal rule sets have equal texts.
std::string canonical_text(const RuleSet& rules);
// Returns a short text form for proposals. parse_rule_set() reads it unless it exceeds kMaxRuleSetTextBytes.
std::string proposal_text(const RuleSet& rules);
// Returns 64 bits of the BLAKE2b hash of `text` as 16 hex digits.
std::string content_hash(const std::string& text);

constexpr std::size_t kMaxRuleSetTextBytes = 64 << 10;  // of a proposal
// Of accepted rules. The canonical text of a proposal is less than four times as long as its own text; a
// version joins the parts of up to three proposals, and a saved baseline may be the meet of two baselines.
constexpr std::size_t kMaxCanonicalTextBytes = std::size_t{2} << 20;

}  // namespace cairnhub::shared_config
