// Prefers endpoints of the own zone, and limits what goes to other zones.
//
// Decides: whether an attempt may go to an endpoint's zone, and by how many batches the endpoint counts as
// busier.
//
// Inputs: the share of this broker's shard requests that each zone may get, as all brokers have agreed on
// it. An attempt takes one of its zone's credits; they gather with what clients ask for.
//
// Why: when a zone fails, all brokers would move their whole load to the next one, which would fail too.
#pragma once
#include <cstddef>
#include <vector>

#include "base/random_source.h"
#include "policy/request.h"
#include "policy/zone_limit.h"

namespace cairnhub {

class LocalityRouter {
 public:
  // See RequestPolicy::set_zone_limits.
  void configure(std::vector<ZoneLimit> zones, int step, double exploration_share);
  bool is_enabled() const { return !zones_.empty(); }

  // Draws whether a selected shard request prefers another zone, so that its latency stays known.
  void draw_preferred_zone(ShardRequest& shard_request, RandomSource& random) const;

  bool allows(const ShardRequest& shard_request, const Endpoint& endpoint) const;
  // Batches to add to those in flight to the endpoint. An ejected one counts as far away, else whatever finds
  // the others busy would try it.
  int extra_batches(const ShardRequest& shard_request, const Endpoint& endpoint, int steps_slower) const;

  // Asked for by a request, admitted or not, or by a further attempt. Without the latter, those would use up
  // what first attempts need, and they would wait for requests that never come.
  void record_demand(double shard_requests);
  void record_attempt(const Endpoint& endpoint);

  // Credit held by the shard requests of one request while its latency is estimated: else all of them would
  // count on the same credit, and the request would wait for what it can't get.
  void reserve(const Endpoint& endpoint);
  void release_reservations();

 private:
  double& credit_of(const Endpoint& endpoint) { return credit_[static_cast<std::size_t>(endpoint.zone)]; }

  std::vector<ZoneLimit> zones_;
  std::vector<double> credit_;  // attempts, by zone
  std::vector<int> reserved_zones_;
  int step_ = 0;
  double exploration_share_ = 0;
};

}  // namespace cairnhub
