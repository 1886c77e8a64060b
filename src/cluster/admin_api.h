// The HTTP API for operators, used by `cairnhub accord`, `cairnhub peers`, `cairnhub zones` and
// `cairnhub upkeep`. Reports this broker's view of the cluster as JSON and takes proposals for the shared
// log. Listens on an address of its own, never on the address for clients.
//
//   GET /accord/status, /accord/history, /peers, /zones, /zones/crossing, /upkeep
//   POST /accord/propose
//   {"kind":"version"|"ground"|"strike"|"order"|"work","rules","name","base","who","why",
//                         "id"}
//     200 {"number":N} accepted, 409 {"refused":"..."}, 504 no verdict in time
#pragma once
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "cluster/cluster_node.h"

struct evhttp;
struct evhttp_request;

namespace cairnhub::cluster {

// Serves the API from the event loop until it is destroyed.
class AdminApi {
 public:
  // Throws std::runtime_error with a one-line message if the server can't listen on the configured address.
  AdminApi(event_base* base, ClusterNode& node);
  ~AdminApi();
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

 private:
  struct PendingProposal;
  void handle_request(evhttp_request* request);
  void propose(evhttp_request* request);
  static void send_reply(evhttp_request* request, int status, const std::string& body);
  std::string status_json() const;
  std::string history_json() const;
  std::string zones_json() const;
  std::string cross_zone_traffic_json() const;
  std::string maintenance_json() const;
  static std::optional<std::string> parse_job_operation(const nlohmann::json& body);
  std::string peers_json() const;

  ClusterNode& node_;
  evhttp* http_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // false once this object is destroyed
  static constexpr std::size_t kMaxPendingProposals = 64;
  std::size_t pending_proposals_ = 0;
};

}  // namespace cairnhub::cluster
