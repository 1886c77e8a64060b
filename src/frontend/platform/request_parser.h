// Parses and validates requests in the platform's format, and rejects requests beyond hard limits. The policy
// makes all further decisions.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>

#include "dispatch/in_flight_requests.h"
#include "dispatch/request_dispatcher.h"
#include "settings/settings.h"

namespace cairnhub::frontend::platform {

// A client's HTTP request, not yet validated. Fields from headers are null if the header is missing or
// repeated.
struct ClientRequest {
  std::string_view class_name;  // the request class that the path names
  const char* name;             // X-Txn
  const char* class_header;     // X-Lane, which repeats the request class
  const char* time_left;        // X-Remaining, in seconds
  const char* client_retry;     // X-Resent
  std::string_view body;
  std::string_view method = "POST";
  std::string_view path = {};        // path of the URL, not decoded
  std::string_view parameters = {};  // query parameters of the URL, not decoded
  // Time since the request's last byte arrived, spent unread or behind other requests of the connection.
  Time waited = 0;
};

// Parses requests in the platform's format and passes them to the dispatcher.
class RequestParser {
 public:
  RequestParser(const settings::Settings& settings, dispatch::InFlightRequests& requests,
                dispatch::RequestDispatcher& dispatcher);

  // Starts a request, or responds with the reason for its rejection.
  // @return the request's id; 0 if the request is rejected
  RequestId start_request(const ClientRequest& client_request,
                          std::unique_ptr<dispatch::Responder> responder);

  // Parses everything but the body. Also used by other frontends.
  // @return what is wrong, or null
  const char* parse_head(const ClientRequest& client_request, dispatch::Request& request) const;
  // Parses the list of shards in the body. Also used by other frontends.
  // @return what is wrong, or null
  const char* parse_shard_requests(const nlohmann::json& body, dispatch::Request& request) const;
  // Returns whether new requests must be rejected because the requests in flight take too much memory.
  bool is_full() const { return requests_.is_full(); }
  // Returns what clients are advised whose requests are rejected so. 0: no advice
  Time rejection_retry_after() const { return dispatcher_.rejection_retry_after(); }
  // Returns the HTTP status for an error that parse_head() or parse_shard_requests() returned.
  static int status_of(const char* error);

 private:
  struct ClassEntry {
    int index;
    Time max_time;
  };
  const char* parse(const ClientRequest& client_request, dispatch::Request& request) const;

  std::unordered_map<std::string, ClassEntry> classes_;  // by name
  int shard_count_;
  dispatch::InFlightRequests& requests_;
  dispatch::RequestDispatcher& dispatcher_;
};

}  // namespace cairnhub::frontend::platform
