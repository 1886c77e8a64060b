#include "membership/suspicion_timeout.h"

#include <algorithm>
#include <cmath>

namespace cairnhub::membership {

Time suspicion_timeout(const MembershipOptions& options, std::size_t other_live_members,
                       std::size_t accusers) {
  const double size_factor = std::max(1.0, std::log10(static_cast<double>(other_live_members + 1)));
  const double min = options.suspicion_multiplier * size_factor * static_cast<double>(options.probe_interval);
  const double max = options.max_suspicion_timeout_multiplier * min;
  const double confirmations = accusers == 0 ? 0.0 : static_cast<double>(accusers - 1);
  const double confirmed_share =
      std::log(confirmations + 1) / std::log(options.suspicion_confirmations + 1.0);
  return static_cast<Time>(std::max(min, max - (max - min) * confirmed_share));
}

}  // namespace cairnhub::membership
