// The routing stage: tells the decider what happens and carries out what it decides. Chooses nothing.
#pragma once
#include <map>

#include "base/timer.h"
#include "broker/book.h"
#include "broker/trace.h"

namespace cairnhub::broker {

class Route {
 public:
  // `forget` is told the nodes that the decider has forgotten; `follow_up` is asked at the end of each turn
  // for what follows from multigets that have ended: false where there was nothing; `names` gives the names
  // of nodes for the trace of multigets.
  Route(event_base* base, Decider& decider, Book& book, Hosts& hosts, std::function<void(NodeId)> forget,
        std::function<bool()> follow_up, Trace::Names names = {});

  RequestId arrived(std::unique_ptr<Query> query);
  void abandoned(RequestId query);
  void turn();  // pulls decisions until none is left

 private:
  void carry_out(const Decision& d);
  void send(const Decision& d);
  void end(Query& query);

  Decider& decider_;
  Book& book_;
  Hosts& hosts_;
  std::function<void(NodeId)> forget_;
  std::function<bool()> follow_up_;
  std::multimap<Time, std::uint64_t> wakes_;
  Timer wake_;
  Trace trace_;
  bool turning_ = false;
  std::uint32_t arrivals_ = 0;
};

}  // namespace cairnhub::broker
