// A change that the owner of SwimMembership is notified of.
#pragma once
#include <cstdint>
#include <string>

#include "membership/member_state.h"

namespace cairnhub::membership {

struct StateChange {
  std::string name;  // of the member that changed
  MemberState from;
  MemberState to;
  std::uint64_t incarnation;  // that `to` is said of
};

}  // namespace cairnhub::membership
