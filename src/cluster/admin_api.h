// The operators' address: what this broker knows of the others and of the versions, and the door for
// proposals. HTTP and JSON for `cairnhub accord` and `cairnhub peers`; on an address of its own, never the
// clients' one.
//
//   GET /accord/status, /accord/history, /peers, /zones, /zones/crossing, /upkeep
//   POST /accord/propose {"kind":"version"|"ground"|"strike","rules","name","base","who","why","id"}
//     200 {"number":N} taken, 409 {"refused":"..."}, 504 not known within its time
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

class AdminApi {
 public:
  // Throws std::runtime_error with one line where the address can't be had.
  AdminApi(event_base* base, ClusterNode& fleet);
  ~AdminApi();
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

 private:
  struct Waiting;
  void asked(evhttp_request* r);
  void propose(evhttp_request* r);
  static void reply(evhttp_request* r, int status, const std::string& body);
  std::string status() const;
  std::string history() const;
  std::string zones() const;
  std::string crossing() const;
  std::string works() const;
  static std::optional<std::string> work_op(const nlohmann::json& said);
  std::string peers() const;

  ClusterNode& fleet_;
  evhttp* http_;
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // false once this is gone
  static constexpr std::size_t kWaitingMost = 64;
  std::size_t waiting_ = 0;
};

}  // namespace cairnhub::cluster
