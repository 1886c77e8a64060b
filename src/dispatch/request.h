// A multiget as it passes the stages: the bytes that go on unchanged, and what the decisions need.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/traffic_account.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

struct ShardRequest;
struct Request;

// Where an answer is written, on whatever connection its request came.
class Responder {
 public:
  virtual ~Responder() = default;
  // `come_back` in seconds as text, or empty; `type`: of the body, or null for JSON with a 200 and text else.
  // Called once.
  virtual void respond(int status, std::string_view come_back, std::string body,
                       const char* type = nullptr) = 0;
};

// Whose multiget it is. It's told of each value that comes and, once, how the multiget ended; a front stands
// behind this, and the form of what its client is told.
class RequestCallbacks {
 public:
  virtual ~RequestCallbacks() = default;
  // What becomes of a value that a node gave: it's kept with its part, or the client has taken what it needs
  // of it, or it's spoilt and counts as a send that failed and may have run. May only note down.
  enum class ValueUse { kKeep, kTaken, kInvalid };
  virtual ValueUse on_value(const ShardRequest&, std::string_view) { return ValueUse::kKeep; }
  virtual void on_response(const Request& query, bool whole) = 0;
  virtual void on_rejected(const Request& query,
                           Time come_back) = 0;      // 0 = no advice; trying again is harmless
  virtual void on_failed(const Request& query) = 0;  // may have taken effect
};

// One attempt of one part, as the sending stage holds it.
struct Attempt {
  ShardRequest* shard_request = nullptr;
  EndpointId endpoint = 0;
  int index = 0;
  Time sent_at = 0, expires_at = 0, ended_at = 0;
  Time begins_by = kNever;  // not to be begun later
  bool has_ended = false;
  TrafficAccount account;                        // set where bytes are counted
  AttemptOutcome outcome = AttemptOutcome::kOk;  // once ended
};

struct ShardRequest {
  RequestId id = 0;
  Request* request = nullptr;
  int shard = 0;
  double weight = 0;
  std::string name;                 // at the nodes
  std::optional<std::string> body;  // its own; none: the multiget's
  std::string http_target;  // where it's asked at hosts that speak HTTP; goes before the text elsewhere
  std::optional<std::string> value;
  std::vector<std::unique_ptr<Attempt>> attempts;
};

struct Request {
  RequestId id = 0;
  std::string name, body;
  int request_class = 0;
  bool is_client_retry = false;
  Time time_left = 0, arrived_at = 0;
  std::vector<std::unique_ptr<ShardRequest>> shard_requests;
  std::size_t value_bytes = 0, max_value_bytes = 65536;  // no answer in the platform's form holds more
  std::size_t memory_bytes = 0;                          // what it takes of the memory, about
  std::unique_ptr<RequestCallbacks> callbacks;           // none once answered or gone
};

}  // namespace cairnhub::dispatch
