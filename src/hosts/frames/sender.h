// Hosts that speak the platform's frames: connections to nodes, frames, time-outs.
#pragma once
#include <event2/bufferevent.h>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "base/timer.h"
#include "broker/hosts.h"
#include "broker/query.h"

namespace cairnhub::broker {

struct SendLimits {
  int calls_a_connection, parts_a_call;
  Time connect_within, idle_at_most;
  std::size_t connections;
};

class Sender : public Hosts {
 public:
  Sender(event_base* base, SendLimits limits, Ended ended, std::function<void()> turn);
  ~Sender() override;

  void node(NodeId id, const std::string& name, const Address& address, NodeState state) override;
  void forget(NodeId id) override;
  void let_go(NodeId id) override;
  void send(Errand& errand, NodeId to) override;
  void give_up(Errand& errand) override;
  void withdraw(Errand& errand) override;
  void flush() override;

 private:
  struct Call;
  struct Link;
  struct Node;
  struct OnWay;

  Link* link_with_room(Node& node);
  Link* open(Node& node);
  void let_go_idle();
  void write(Link& link);
  void withdraw_expired(Link& link);
  void readable(Link& link);
  void happened(Link& link, short what);
  const char* take_frame(Link& link, std::string_view bytes);  // what is wrong with it, or null
  void break_off(Link& link, const char* why, End how = End::broken);
  void finish(OnWay& way, const Result& result);
  void stop(OnWay& way, End why);
  Reached reached(const OnWay& way) const;
  void handed_over(Link& link, const Errand& errand, std::size_t bytes);

  event_base* base_;
  SendLimits limits_;
  Ended ended_;
  std::function<void()> turn_;
  std::size_t open_ = 0;
  std::map<NodeId, std::unique_ptr<Node>> nodes_;
  std::map<Errand*, std::unique_ptr<OnWay>> ways_;
  std::vector<Node*> touched_;  // this turn, in the order first sent to
};

}  // namespace cairnhub::broker
