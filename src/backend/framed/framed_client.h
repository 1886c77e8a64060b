// Hosts that speak the platform's frames: connections to nodes, frames, time-outs.
#pragma once
#include <event2/bufferevent.h>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "base/timer.h"
#include "dispatch/backend.h"
#include "dispatch/request.h"

namespace cairnhub::backend {

struct FramedClientLimits {
  int max_batches_per_connection, max_shard_requests_per_batch;
  Time connect_timeout, idle_timeout;
  std::size_t max_connections;
};

class FramedClient : public dispatch::Backend {
 public:
  FramedClient(event_base* base, FramedClientLimits limits, AttemptEnded ended, std::function<void()> turn);
  ~FramedClient() override;

  void update_endpoint(EndpointId id, const std::string& name, const Address& address,
                       EndpointState state) override;
  void forget_endpoint(EndpointId id) override;
  void close_idle_connections(EndpointId id) override;
  void send(dispatch::Attempt& attempt, EndpointId to) override;
  void cancel(dispatch::Attempt& attempt) override;
  void cancel_unwritten(dispatch::Attempt& attempt) override;
  void flush() override;

 private:
  struct Call;
  struct Connection;
  struct Node;
  struct InFlight;

  Connection* connection_with_room(Node& node);
  Connection* open(Node& node);
  void close_longest_idle();
  void write(Connection& connection);
  void withdraw_expired(Connection& connection);
  void readable(Connection& connection);
  void happened(Connection& connection, short what);
  const char* take_frame(Connection& connection, std::string_view bytes);  // what is wrong with it, or null
  void break_off(Connection& connection, const char* why,
                 dispatch::AttemptEnd how = dispatch::AttemptEnd::kConnectionLost);
  void finish(InFlight& sent, const dispatch::AttemptResult& result);
  void stop(InFlight& sent, dispatch::AttemptEnd why);
  dispatch::WriteProgress reached(const InFlight& sent) const;
  void handed_over(Connection& connection, const dispatch::Attempt& attempt, std::size_t bytes);

  event_base* base_;
  FramedClientLimits limits_;
  AttemptEnded ended_;
  std::function<void()> turn_;
  std::size_t open_ = 0;
  std::map<EndpointId, std::unique_ptr<Node>> nodes_;
  std::map<dispatch::Attempt*, std::unique_ptr<InFlight>> in_flight_;
  std::vector<Node*> touched_;  // this turn, in the order first sent to
};

}  // namespace cairnhub::backend
