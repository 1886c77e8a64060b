// The list of nodes. The one place where their ids, addresses, phases and start times become the broker's
// own.
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

class EndpointRegistry {
 public:
  struct Entry {
    std::string id, flavor, locality;
    Address address;
    EndpointState state;
    Time started_at;
    int ring_position;
  };
  // `tell` learns what the list says of each node, the policy the whole list.
  using EndpointUpdated = std::function<void(EndpointId, const Entry&)>;
  EndpointRegistry(RequestPolicy& policy, EndpointUpdated tell) : policy_(policy), tell_(std::move(tell)) {}

  // Takes a list or changes to it. Nothing of a malformed one is taken: returns what is wrong with it, or
  // null.
  const char* apply_list(std::string_view json);
  // From now on nodes are withheld as brokers know in common, and no list is taken that is older than one
  // they act on.
  void set_cluster_control(ClusterControl& common) { common_ = &common; }
  void update_withheld();  // what is withheld may have changed
  void reset_revision() {  // another agent: its revisions aren't those of the list in hand
    revision_ = 0;
    if (common_) common_->list_reset();
  }
  void forget(EndpointId id);
  int zone_of(EndpointId id) const;                 // 0 where it isn't known
  std::string name_of(EndpointId id) const;         // empty where it isn't known
  EndpointId id_of(const std::string& name) const;  // 0 where it isn't known
  // Names of nodes in service, by cell.
  std::vector<std::string> ready_at(int cell) const;
  int ready_count() const;
  bool has_list() const { return held_; }
  std::uint64_t revision() const { return revision_; }

 private:
  struct Known {
    EndpointId id = 0;
    Entry entry;
    std::uint64_t named_in = 0;
    bool withheld = false;
  };
  void tell(Known& k);
  RequestPolicy& policy_;
  EndpointUpdated tell_;
  ClusterControl* common_ = nullptr;
  std::map<std::string, Known> known_;
  std::unordered_map<EndpointId, int> zones_;  // of those not in zone 0; looked up, never walked
  EndpointId last_id_ = 0;
  bool held_ = false;
  std::uint64_t revision_ = 0, lists_ = 0;
};

}  // namespace cairnhub::dispatch
