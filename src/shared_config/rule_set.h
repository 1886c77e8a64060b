// Rules that brokers hold in common. They form a meet-semilattice: of any two there is a greatest rule set
// that allows nothing either forbids. That is what makes a common ground: who acts on the meet of two
// versions contradicts neither.
//
// | rule          | wider            | the meet of two        |
// | served        | true             | true in both           |
// | time_most     | longer           | the shorter            |
// | held_most     | more             | the fewer              |
// | budget_most   | longer           | the shorter            |
// | least_share   | less             | the greater            |
// | crossing_most | more             | the fewer              |
// | sends_most    | more             | the fewer              |
// | second_copies | true             | true in both           |
// | two_phase_off, index_off, withheld | fewer names | the names of either |
// | list_floor    | lower            | the higher             |
// | zone_shares   | more, by pair    | the less               |
// | at_work       | fewer nodes      | the nodes of either    |
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

struct OpRule {
  bool served = true;
  Time time_most = kNever;
  int held_most = INT_MAX;
  Time budget_most = kNever;
  double least_share = 0;
  std::int64_t crossing_most = INT64_MAX;  // bytes a second between zones, of one broker
  bool operator==(const OpRule&) const = default;
};

// How much of its parts a zone's brokers may send to each other zone, in thousandths. Their own zone is never
// forbidden them.
struct ZoneShares {
  int otherwise = 1000;                                     // pairs not named
  std::map<std::pair<std::string, std::string>, int> most;  // from, to: never as `otherwise`
  int of(const std::string& from, const std::string& to) const;
  void set(const std::string& from, const std::string& to, int thousandths);
  bool operator==(const ZoneShares&) const = default;
};

struct Rules {
  std::map<std::string, OpRule> op_types;  // none of them says nothing
  int sends_most = INT_MAX;
  bool second_copies = true;
  std::set<std::string> two_phase_off, index_off, withheld;
  std::uint64_t list_floor = 0;
  ZoneShares zones;
  std::set<std::string> at_work;  // nodes that are taken out for work, or being so
  bool operator==(const Rules&) const = default;

  const OpRule& of(const std::string& op_type) const;
};

Rules meet(const Rules& a, const Rules& b);
// `a` allows nothing that `b` forbids.
bool within(const Rules& a, const Rules& b);
// The first thing that `a` allows and `b` forbids, in words; empty where a is within b.
std::string beyond(const Rules& a, const Rules& b);

// One line: the place, the field, and what is allowed.
struct RulesError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
Rules parse_rules(const std::string& text, const std::string& file);  // throws RulesError
// The one text of these rules: equal rules give equal text.
std::string text_of(const Rules& rules);
std::string hash_of(const std::string& text);  // 16 hex digits (BLAKE2b, 64 bits)

constexpr std::size_t kRulesTextMost = 64 << 10;  // bytes

}  // namespace cairnhub::shared_config
