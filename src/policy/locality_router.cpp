#include "policy/locality_router.h"

#include <algorithm>
#include <utility>

namespace cairnhub {

namespace {

constexpr double kMaxSavedAttempts = 4;  // credit that a zone keeps, unless one request needs more

}  // namespace

void LocalityRouter::configure(std::vector<ZoneLimit> zones, int remote_penalty, double exploration_share) {
  credit_.resize(zones.size(), 0);
  zones_ = std::move(zones);
  remote_penalty_ = remote_penalty;
  exploration_share_ = exploration_share;
}

void LocalityRouter::draw_preferred_zone(ShardRequest& shard_request, RandomSource& random) const {
  if (zones_.size() < 2 || random.unit() >= exploration_share_) return;
  shard_request.explores_zone = true;
  shard_request.preferred_zone = static_cast<int>(random.below(zones_.size()));
}

bool LocalityRouter::allows(const ShardRequest& shard_request, const Endpoint& endpoint) const {
  if (zones_.empty() || endpoint.zone == 0) return true;
  const auto zone = static_cast<std::size_t>(endpoint.zone);
  if (zone >= zones_.size() || !(credit_[zone] > 0)) return false;
  return !(shard_request.request->request_class->stays_in_region && zones_[zone].is_other_region);
}

int LocalityRouter::batch_penalty(const ShardRequest& shard_request, const Endpoint& endpoint,
                                  int slowness_level) const {
  if (zones_.empty()) return 0;
  const bool is_preferred = endpoint.zone == shard_request.preferred_zone;
  if (shard_request.explores_zone && is_preferred) return 0;
  const bool has_spent_own_share = endpoint.zone == 0 && zones_[0].max_share < 1 && credit_[0] <= 0;
  const int distance_penalty = is_preferred && !endpoint.is_ejected ? 0 : remote_penalty_;
  return distance_penalty + (has_spent_own_share ? 2 * remote_penalty_ : 0) +
         std::min(slowness_level, 2 * remote_penalty_);
}

void LocalityRouter::record_demand(double shard_requests) {
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    const double max_credit = std::max(kMaxSavedAttempts, shard_requests);
    credit_[zone] = std::min(max_credit, credit_[zone] + shard_requests * zones_[zone].max_share);
  }
}

void LocalityRouter::record_attempt(const Endpoint& endpoint) {
  if (zones_.empty()) return;
  double& credit = credit_of(endpoint);
  // The debt is limited: the own zone also gets attempts that no other zone could take, and need not make up
  // for them.
  credit = std::max(-kMaxSavedAttempts, credit - 1);
}

void LocalityRouter::reserve(const Endpoint& endpoint) {
  if (zones_.empty()) return;
  credit_of(endpoint) -= 1;
  reserved_zones_.push_back(endpoint.zone);
}

void LocalityRouter::release_reservations() {
  for (const int zone : std::exchange(reserved_zones_, {})) {
    credit_[static_cast<std::size_t>(zone)] += 1;
  }
}

}  // namespace cairnhub
