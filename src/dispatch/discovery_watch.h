// Keeps the endpoint list current by long polling the discovery agent: one HTTP request after another, each
// of which waits for changes newer than the current list. After a request that fails or isn't answered in
// time, the next request uses a new connection.
#pragma once
#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "base/http_message_memory.h"
#include "base/timer.h"
#include "dispatch/endpoint_registry.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::dispatch {

// How long requests wait for changes, and how soon a request is abandoned or repeated.
struct DiscoveryWatchTiming {
  // Bounds of the wait that a request states; the wait is drawn anew for each request.
  Time min_wait;
  Time max_wait;
  Time answer_timeout;  // on top of the wait
  // Wait and answer timeout of a request that follows a failed request.
  Time wait_after_failure;
  Time answer_timeout_after_failure;
  Time complete_list_timeout;  // timeout of a request for the complete list, which doesn't wait
  Time max_retry_delay;        // longest delay between failed requests

  // Returns the timing for an agent of this broker's own: requests cost nothing and are answered at once.
  static DiscoveryWatchTiming pushed();
  // Returns the timing for one service that answers all brokers: it expects a request from each broker every
  // few seconds, and refuses more.
  static DiscoveryWatchTiming polled();
};

// Polls the agent and applies its answers to the registry.
class DiscoveryWatch {
 public:
  // @param max_list_bytes longer answers are rejected
  // @param on_update called after each request has ended, with whether the list was updated
  // @throws std::runtime_error if the address is invalid
  DiscoveryWatch(event_base* base, const std::string& discovery_address, DiscoveryWatchTiming timing,
                 std::uint64_t seed, std::size_t max_list_bytes, EndpointRegistry& registry,
                 std::function<void(bool)> on_update);
  ~DiscoveryWatch();
  // Starts the polling.
  void request_list();
  // Polls another agent from now on, and requests its complete list first.
  void set_address(const std::string& discovery_address);
  // Requests the complete list at once, on a new connection, because the current list is known to be out of
  // date.
  void refresh();
  // Stops the polling and closes the connection.
  void stop();

 private:
  enum class LastRequest { kAnswered, kRefused, kFailed };

  void parse_discovery_address(const std::string& discovery_address);
  void on_answer(evhttp_request* request);
  void on_deadline();
  void record_received(std::size_t bytes);
  static void on_input(evbuffer* input, const evbuffer_cb_info* info, void* self);
  void on_failure(const char* reason, LastRequest result = LastRequest::kFailed);
  const char* apply_answer(evhttp_request* request);  // returns what is wrong with the answer, or null

  event_base* base_;
  const DiscoveryWatchTiming timing_;
  std::string host_;
  std::uint16_t port_ = 0;
  bool needs_complete_list_ = false;  // from set_address() or refresh() until an answer arrives
  LastRequest last_request_ = LastRequest::kAnswered;
  std::mt19937 random_;
  const std::size_t max_list_bytes_;
  EndpointRegistry& registry_;
  std::function<void(bool)> on_update_;
  evhttp_connection* connection_ = nullptr;
  // Highest revision answered on the connection. An answer that comes a second time may be taken for the
  // answer to a later request; it must not bring back an older list.
  std::uint64_t connection_revision_ = 0;
  HttpMessageMemory answer_memory_;  // of the answer being read
  bool is_answer_too_long_ = false;
  Timer next_request_;
  Timer deadline_;
  Time retry_delay_ = 0;
  Time requested_at_ = 0;
};

}  // namespace cairnhub::dispatch
