// The sending stage: connections to nodes, frames, time-outs. Says of each send how it ended and how far it
// had come.
#pragma once
#include <event2/bufferevent.h>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "broker/members.h"
#include "broker/query.h"
#include "broker/timer.h"

namespace cairnhub::broker {

// How far a send had come when it ended. Only one wholly written can have run.
enum class Reached { never_connected, partly_written, wholly_written };

// `spoilt`: its connection was closed from this side, as the node had sent what can't be used there.
enum class End { returned, error, full, broken, spoilt, timed_out, given_up };

struct Result {
  End end;
  Reached reached;
  std::string_view value;  // of one that returned
};

struct SendLimits {
  int calls_a_connection, parts_a_call;
  Time connect_within, idle_at_most;
  std::size_t connections;
};

class Sender {
 public:
  // `ended` is told each end, exactly once for each send; it must only note it down. `turn` follows at the
  // end of each callback.
  using Ended = std::function<void(Errand&, const Result&)>;
  Sender(event_base* base, SendLimits limits, Ended ended, std::function<void()> turn);
  ~Sender();

  // What the list says of a node; `name` is for the log.
  void node(NodeId id, const std::string& name, const Address& address, NodeState state);
  void forget(NodeId id);  // one of which nothing is out
  void send(Errand& errand, NodeId to);
  void give_up(Errand& errand);
  void withdraw(Errand& errand);  // gives it up if its frame is not begun
  void flush();                   // what was sent this turn goes out

 private:
  struct Call;
  struct Link;
  struct Node;
  struct OnWay;

  Link* link_with_room(Node& node);
  Link* open(Node& node);
  void write(Link& link);
  void readable(Link& link);
  void happened(Link& link, short what);
  const char* take_frame(Link& link, std::string_view bytes);  // what is wrong with it, or null
  void break_off(Link& link, const char* why, End how = End::broken);
  void finish(OnWay& way, const Result& result);
  void stop(OnWay& way, End why);
  Reached reached(const OnWay& way) const;

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
