// One claim on one member, as gossip carries it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>

#include "membership/member_state.h"

namespace cairnhub::membership {

// Of two updates on one member the higher incarnation wins, then the later MemberState.
struct MemberUpdate {
  std::string name;
  std::string address;            // where the member receives messages
  std::uint64_t incarnation = 0;  // raised by the member itself alone, to refute what is said of it
  MemberState state = MemberState::alive;
  std::string accuser;  // who could not reach it; set with MemberState::suspect only
  bool operator==(const MemberUpdate&) const = default;
};

// @return a hash of what all members should agree on before long, to be summed over members. Zero for one
// that isn't live, as not every member knows of every dead one; suspicion is left out, as it comes and goes.
std::uint64_t digest_of(const MemberUpdate& update);

// @return about how many bytes the update takes in a message.
std::size_t approximate_size_bytes(const MemberUpdate& update);

}  // namespace cairnhub::membership
