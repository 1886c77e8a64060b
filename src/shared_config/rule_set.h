// Restrictions that all brokers apply, written by operators on top of each broker's own settings.
//
// Rule sets form a meet-semilattice: for any two there is a greatest rule set that allows nothing that either
// of them forbids, the meet. A broker that acts on the meet of two versions contradicts neither of them.
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
struct OpRule {
  bool served = true;                      // false: requests are rejected on arrival
  Time time_most = kNever;                 // of a request, even if its client would wait longer
  int held_most = INT_MAX;                 // requests in progress at one broker
  Time budget_most = kNever;               // a later answer counts as late
  double least_share = 0;                  // of the weight, for a partial answer; 0 to 1
  std::int64_t crossing_most = INT64_MAX;  // sent by one broker between zones
  bool operator==(const OpRule&) const = default;
};

// The share of its shard requests that a zone's brokers may send to each other zone, in thousandths. Requests
// within a zone are never restricted.
struct ZoneShares {
  int otherwise = 1000;  // for pairs that are not listed
  std::map<std::pair<std::string, std::string>, int>
      most;  // key: (from, to); holds no entry that equals the default
  // Returns the share of the pair, in thousandths.
  int of(const std::string& from, const std::string& to) const;
  void set(const std::string& from, const std::string& to, int thousandths);
  bool operator==(const ZoneShares&) const = default;
};

// One complete set of restrictions. The default restricts nothing.
struct Rules {
  std::map<std::string, OpRule> op_types;  // without entries that restrict nothing
  int sends_most = INT_MAX;                // attempts of one shard request
  bool second_copies = true;               // false: no hedged attempts
  std::set<std::string> two_phase_off;     // request classes that may not run in two phases
  std::set<std::string> index_off;         // indices that are not served
  std::set<std::string> withheld;          // endpoints that receive no new attempts
  std::uint64_t list_floor = 0;            // endpoint lists of a lower revision are ignored
  ZoneShares zones;
  std::set<std::string> at_work;  // endpoints that maintenance has taken out of service or is taking out
  bool operator==(const Rules&) const = default;

  // Returns the restrictions of a request class; the default ones if it has no entry.
  const OpRule& of(const std::string& op_type) const;
};

// Returns the greatest rule set that allows nothing that `a` or `b` forbids.
Rules meet(const Rules& a, const Rules& b);
// True if `a` allows nothing that `b` forbids.
bool within(const Rules& a, const Rules& b);
// Describes the first rule by which `a` allows more than `b`; empty if there is none.
std::string beyond(const Rules& a, const Rules& b);

// A rule set that cannot be parsed. what() is one line: the file, the field and the allowed values.
struct RulesError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Parses rules in protobuf text format. `file` names the source in errors. Throws RulesError.
Rules parse_rules(const std::string& text, const std::string& file);
// Returns the canonical text form: equal rule sets have equal texts.
std::string text_of(const Rules& rules);
// Returns 64 bits of the BLAKE2b hash of `text` as 16 hex digits.
std::string hash_of(const std::string& text);

constexpr std::size_t kRulesTextMost = 64 << 10;

}  // namespace cairnhub::shared_config
