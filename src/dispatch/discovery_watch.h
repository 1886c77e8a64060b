// Service discovery watch: keeps the member list current with one HTTP call after another, each of which
// waits for changes newer than the list in hand. A call that fails, or is silent for too long, is followed by
// another on a new connection.
#pragma once
#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "base/timer.h"
#include "dispatch/endpoint_registry.h"

struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::dispatch {

// How long calls wait, and how soon one is given up or made again.
struct DiscoveryWatchTiming {
  // A call for changes asks to be answered after so long at the latest; drawn anew each time.
  Time min_wait, max_wait;
  Time answer_timeout;  // beyond that wait
  // Likewise of a call that follows a failed one.
  Time wait_after_failure, answer_timeout_after_failure;
  Time complete_list_timeout;  // of a call for the whole list, which doesn't wait
  Time max_retry_delay;        // between failed calls

  // Calls cost nothing and are answered at once.
  static DiscoveryWatchTiming pushed();
  // One service answers all brokers, with a call from each of them every few seconds, and refuses what is
  // more.
  static DiscoveryWatchTiming polled();
};

class DiscoveryWatch {
 public:
  // `largest_list`: bytes of an answer. `on_update` is called after each call has ended; its argument tells
  // whether the list was updated.
  DiscoveryWatch(event_base* base, const std::string& discovery, DiscoveryWatchTiming timing,
                 std::uint64_t seed, std::size_t largest_list, EndpointRegistry& members,
                 std::function<void(bool)> on_update);
  ~DiscoveryWatch();
  void request_list();
  // Follows another address from now on, beginning with its whole list.
  void set_address(const std::string& discovery);
  // Asks for the whole list at once, on a new connection: the list in hand is known to be behind.
  void refresh();
  void stop();

 private:
  enum class LastCall { answered, refused, failed };

  void parse_discovery_address(const std::string& discovery);
  void on_answer(evhttp_request* request);
  void on_deadline();
  void on_failure(const char* reason, LastCall how = LastCall::failed);
  const char* take_answer(evhttp_request* request);  // what is wrong with it, or null

  event_base* base_;
  const DiscoveryWatchTiming timing_;
  std::string host_;
  std::uint16_t port_ = 0;
  bool whole_list_ = false;  // moved, or known to be behind, and nothing heard since
  LastCall last_call_ = LastCall::answered;
  std::mt19937 random_;
  const std::size_t largest_list_;
  EndpointRegistry& members_;
  std::function<void(bool)> on_update_;
  evhttp_connection* connection_ = nullptr;
  Timer next_call_;
  Timer deadline_;
  Time retry_wait_ = 0, called_at_ = 0;
};

}  // namespace cairnhub::dispatch
