// Prefers endpoints in the broker's own zone and limits the load sent to other zones.
//
// Decides: whether an attempt may go to an endpoint's zone, and how many batches are added to the
// endpoint's load when replicas are compared.
//
// Inputs: for each zone, the maximum share of this broker's shard requests, as agreed by all brokers.
// Demand from clients adds credit to each zone; an attempt spends one credit of its zone.
//
// Why: when a zone fails, all brokers would otherwise move their whole load to the next zone, which would
// fail too.
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
  void configure(std::vector<ZoneLimit> zones, int remote_penalty, double exploration_share);
  bool is_enabled() const { return !zones_.empty(); }

  // Makes a selected shard request, at random, prefer a zone drawn at random, so that the latency of every
  // zone stays known.
  void draw_preferred_zone(ShardRequest& shard_request, RandomSource& random) const;

  // Whether the limits allow the shard request to go to the endpoint's zone.
  bool allows(const ShardRequest& shard_request, const Endpoint& endpoint) const;
  // Returns the number of batches to add to those in flight to the endpoint when replicas are compared. An
  // ejected endpoint gets the penalty of a remote one, since shard requests that find the other endpoints
  // busy would otherwise try it.
  int batch_penalty(const ShardRequest& shard_request, const Endpoint& endpoint, int slowness_level) const;

  // Adds credit for shard requests that a client asked for, whether its request is admitted or not, and for
  // further attempts. Without the credit for further attempts, these would use up the credit that first
  // attempts need and would then wait for new requests that may not arrive.
  void record_demand(double shard_requests);
  void record_attempt(const Endpoint& endpoint);

  // Reserves credit for the shard requests of one request while its latency is estimated. Without
  // reservations all of them would count on the same credit, and the request would be admitted but have to
  // wait for credit.
  void reserve(const Endpoint& endpoint);
  void release_reservations();

 private:
  double& credit_of(const Endpoint& endpoint) { return credit_[static_cast<std::size_t>(endpoint.zone)]; }

  std::vector<ZoneLimit> zones_;
  std::vector<double> credit_;  // attempts, by zone
  std::vector<int> reserved_zones_;
  int remote_penalty_ = 0;
  double exploration_share_ = 0;
};

}  // namespace cairnhub
