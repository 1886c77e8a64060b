// A request from a client, its shard requests, and the attempts made for each: the bytes that are passed on
// unchanged, and what the policy needs to know.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/body_source.h"
#include "dispatch/client_memory.h"
#include "dispatch/traffic_account.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

struct ShardRequest;
struct Request;

// Writes the response to the connection that the request came on.
class Responder {
 public:
  virtual ~Responder() = default;
  // Sends the response. May be called once.
  // @param retry_after  seconds as text, or empty
  // @param content_type null: JSON for status 200, plain text for any other
  virtual void respond(int status, std::string_view retry_after, std::string body,
                       const char* content_type = nullptr) = 0;
  // Sends a response with the pieces of `source`, each once the client has read those before it. A short body
  // is sent whole, with its length. May be called once, in place of respond(). The source must live until the
  // response is complete or the client has disconnected: the function that abandons the request is kept
  // until then, and may own the source.
  virtual void respond_in_pieces(int status, const char* content_type, BodySource& source) = 0;
  // Pulls further pieces after the source had none. Does nothing before respond_in_pieces(), while pieces are
  // being written, and once the client has disconnected. The request may be destroyed when this returns.
  virtual void resume() = 0;
};

// Callbacks by which a frontend handles the values of a request and its end. One of on_response, on_rejected
// and on_failed is called, once; none is called if the client abandons the request.
class RequestCallbacks {
 public:
  virtual ~RequestCallbacks() = default;
  enum class ValueUse {
    kKeep,     // the value is kept with its shard request
    kTaken,    // the callback has copied the parts of the value that it needs
    kInvalid,  // the attempt counts as failed; it may have run
    // The broker can't keep the value. The attempt counts as cancelled; it may have run, and no other is
    // made.
    kNoMemory,
  };
  // Called with the value that an endpoint returned. May only record the value.
  virtual ValueUse on_value(const ShardRequest&, std::string_view) { return ValueUse::kKeep; }
  virtual void on_response(const Request& request, bool is_complete) = 0;
  // Called if the request is rejected; a retry is harmless. @param retry_after 0: no advice
  virtual void on_rejected(const Request& request, Time retry_after) = 0;
  virtual void on_failed(const Request& request) = 0;  // the request may have taken effect
};

// One attempt for a shard request, as backends handle it.
struct Attempt {
  ShardRequest* shard_request = nullptr;
  EndpointId endpoint = 0;
  int index = 0;
  Time sent_at = 0;
  Time expires_at = 0;
  Time ended_at = 0;
  Time begins_by = kNever;  // latest time at which the attempt's writing may begin
  bool has_ended = false;
  bool lacked_memory = false;                    // the broker had no memory for the value
  TrafficAccount account;                        // set only if bytes are counted
  AttemptOutcome outcome = AttemptOutcome::kOk;  // valid once has_ended is true
};

// The part of a request that goes to one shard.
struct ShardRequest {
  RequestId id = 0;
  Request* request = nullptr;
  int shard = 0;
  double weight = 0;
  std::string name;                 // name sent to endpoints
  std::optional<std::string> body;  // none: the body of the request
  std::string http_target;          // target of the HTTP request; framed backends put it before the body
  std::optional<std::string> value;
  std::vector<std::unique_ptr<Attempt>> attempts;
};

// A request as a frontend has read it, with its state since then.
struct Request {
  RequestId id = 0;
  std::string name;
  std::string body;
  int request_class = 0;
  bool is_client_retry = false;
  Time time_left = 0;
  Time arrived_at = 0;
  std::vector<std::unique_ptr<ShardRequest>> shard_requests;
  std::size_t max_value_bytes = 65536;          // the most that a response in the platform's form holds
  MemoryReservation request_memory;             // approximate
  MemoryReservation value_memory;               // values kept with their shard requests
  std::unique_ptr<RequestCallbacks> callbacks;  // null once the request has ended
};

}  // namespace cairnhub::dispatch
