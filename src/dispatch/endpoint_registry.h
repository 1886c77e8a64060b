// The endpoint list: parses the lists that the discovery agent sends, assigns each endpoint an id of the
// broker's own, and passes on the endpoints' entries.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "dispatch/cluster_control.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

// The endpoints by name, with their ids.
class EndpointRegistry {
 public:
  // An endpoint as the list states it.
  struct Entry {
    std::string id;
    std::string flavor;
    std::string locality;
    Address address;
    EndpointState state;
    Time started_at;
    int ring_position;
  };
  using EndpointUpdated = std::function<void(EndpointId, const Entry&)>;
  // @param policy  gets every entry of each list
  // @param updated called with each entry that is added or may have changed
  EndpointRegistry(RequestPolicy& policy, EndpointUpdated updated)
      : policy_(policy), updated_(std::move(updated)) {}

  // Applies a complete list, or changes to the list. Applies nothing of a malformed list.
  // @param min_revision a list of a lower revision is refused
  // @return what is wrong with the list, or null
  const char* apply_list(std::string_view json, std::uint64_t min_revision = 0);
  // From now on, endpoints are withheld as the cluster has agreed, and lists older than a list that the
  // cluster acts on are refused.
  void set_cluster_control(ClusterControl& cluster) { cluster_ = &cluster; }
  // Refuses lists of more JSON values, so that a parsed list fits into the memory.
  void limit_values(std::size_t max_values) { max_values_ = max_values; }
  // Updates the endpoints that the cluster has begun or ceased to withhold. Needs set_cluster_control().
  void update_withheld();
  // Accepts lists of any revision again: they come from another agent, whose revisions start anew.
  void reset_revision() {
    revision_ = 0;
    if (cluster_) cluster_->list_reset();
  }
  void forget(EndpointId id);                       // an endpoint that is listed again gets another id
  int zone_of(EndpointId id) const;                 // 0 if the endpoint or its zone is unknown
  std::string name_of(EndpointId id) const;         // empty if the endpoint is unknown
  EndpointId id_of(const std::string& name) const;  // 0 if the endpoint is unknown
  // Returns the names of the endpoints in service at the ring position.
  std::vector<std::string> ready_at(int ring_position) const;
  int ready_count() const;  // endpoints in service
  bool has_list() const { return has_list_; }
  std::uint64_t revision() const { return revision_; }

 private:
  struct Endpoint {
    EndpointId id = 0;
    Entry entry;
    std::uint64_t last_list = 0;  // number of the last list that named the endpoint
    bool is_withheld = false;
  };
  void report(Endpoint& endpoint);

  RequestPolicy& policy_;
  EndpointUpdated updated_;
  ClusterControl* cluster_ = nullptr;
  std::map<std::string, Endpoint> endpoints_;  // by name
  std::unordered_map<EndpointId, int> zones_;  // zones of endpoints outside zone 0; must not be iterated over
  EndpointId last_id_ = 0;
  std::size_t max_values_ = SIZE_MAX;
  bool has_list_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t list_count_ = 0;
};

}  // namespace cairnhub::dispatch
