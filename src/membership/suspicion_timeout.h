// How long a suspect may take to refute.
#pragma once
#include <cstddef>

#include "base/time.h"
#include "membership/membership_options.h"

namespace cairnhub::membership {

// Falls from its maximum to its minimum with the logarithm of independent confirmations (Lifeguard, 4.2), so
// that one faulty accuser alone doesn't make a sound member look dead.
// @param other_live_members  suspects among them
// @param accusers            the first and all that confirmed
// @return the time from the first accusation on.
Time suspicion_timeout(const MembershipOptions& options, std::size_t other_live_members,
                       std::size_t accusers);

}  // namespace cairnhub::membership
