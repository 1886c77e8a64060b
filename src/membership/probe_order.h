// Whom to probe next.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "membership/member_table.h"

namespace cairnhub::membership {

// Goes through the live members in rounds, each in a new random order, so that no member waits for its next
// probe longer than two rounds (SWIM, 4.3).
class ProbeOrder {
 public:
  // @return the next live member; null where there is none.
  const Member* next(const MemberTable& members, RandomSource& random);

  // Puts a member that became live at a random place in the rest of the round.
  void insert(const std::string& name, RandomSource& random);

 private:
  std::vector<std::string> round_;
  std::size_t next_index_ = 0;
};

}  // namespace cairnhub::membership
