// Rules that brokers hold in common. They form a meet-semilattice: of any two there is a greatest rule set
// that allows nothing either forbids. That is what makes a common ground: who acts on the meet of two
// versions contradicts neither.
//
// | rule          | wider            | the meet of two        |
// | served        | true             | true in both           |
// | time_most     | longer           | the shorter            |
// | held_most     | more             | the fewer              |
// | sends_most    | more             | the fewer              |
// | second_copies | true             | true in both           |
// | two_phase_off, index_off, withheld | fewer names | the names of either |
// | list_floor    | lower            | the higher             |
#pragma once
#include <climits>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "model/time.h"

namespace cairnhub::accord {

struct OpRule {
  bool served = true;
  Time time_most = kNever;
  int held_most = INT_MAX;
  bool operator==(const OpRule&) const = default;
};

struct Rules {
  std::map<std::string, OpRule> op_types;  // none of them says nothing
  int sends_most = INT_MAX;
  bool second_copies = true;
  std::set<std::string> two_phase_off, index_off, withheld;
  std::uint64_t list_floor = 0;
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

}  // namespace cairnhub::accord
