// What a member has counted since its start.
#pragma once
#include <cstdint>

namespace cairnhub::membership {

struct MembershipCounters {
  std::uint64_t probes = 0;
  std::uint64_t probes_failed = 0;         // neither the target nor a helper answered
  std::uint64_t suspicions = 0;            // members that became suspect here, whoever accused them
  std::uint64_t refutations = 0;           // of this member's own suspicion, death or departure
  std::uint64_t full_syncs = 0;            // begun here
  std::uint64_t members_not_admitted = 0;  // updates on unknown members, refused at max_members
  std::uint64_t address_conflicts = 0;     // another changed a live member's address: two use one name
};

}  // namespace cairnhub::membership
