// Holds all endpoints that are listed or were removed recently, by id and by ring position; the ring
// position determines which shards an endpoint holds. Sums over all endpoints are updated with each change,
// so the cost of an event does not grow with the cluster.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "policy/endpoint.h"

namespace cairnhub {

class EndpointTable {
 public:
  // Shard s is held at ring positions s .. s + replicas - 1, modulo ring_size.
  void set_layout(int ring_size, int replicas);

  Endpoint& find_or_add(EndpointId id);
  // Moves the endpoint to the ring position. A position outside the ring is ignored.
  void place(Endpoint& endpoint, int ring_position);
  void set_ready(Endpoint& endpoint, bool is_ready);
  void mark_removed(Endpoint& endpoint, Time now);

  // Returns all endpoints that hold the shard, whether they are ready or not.
  std::vector<Endpoint*> replicas(int shard) const;

  // Counts a successful response, and drops those from before `since` from the count.
  void record_response(Endpoint& endpoint, Time now, Time since);
  // Returns the mean number of counted responses over the ready endpoints.
  double mean_recent_responses() const;

  // Erases one endpoint that was removed before `before` and has no attempts in flight and no counted
  // responses.
  // @return the id of the erased endpoint; nothing if there is none
  std::optional<EndpointId> forget_one(Time before);

  // Calls the function for each endpoint, in the order of ids.
  template <class Function>
  void for_each(Function function) {
    for (auto& [id, endpoint] : endpoints_) function(*endpoint);
  }

 private:
  void count_response(Endpoint& endpoint, int change);

  struct Response {
    Time at;
    Endpoint* endpoint;
  };
  struct Removal {
    Time at;
    EndpointId id;
  };
  std::map<EndpointId, std::unique_ptr<Endpoint>> endpoints_;
  std::vector<std::vector<Endpoint*>> ring_;
  int replicas_ = 1;
  std::deque<Response> responses_;  // oldest first
  std::deque<Removal> removals_;    // oldest first
  int ready_count_ = 0;
  int responses_of_ready_ = 0;
};

}  // namespace cairnhub
