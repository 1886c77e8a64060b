// The routing stage: tells the decider what happens and carries out what it decides. Chooses nothing.
#pragma once
#include <map>

#include "broker/book.h"
#include "broker/timer.h"

namespace cairnhub::broker {

class Route {
 public:
  // `forget` is told the nodes that the decider has forgotten.
  Route(event_base* base, Decider& decider, Book& book, Sender& sender, std::function<void(NodeId)> forget);

  void arrived(std::unique_ptr<Query> query);
  void abandoned(RequestId query);
  void turn();  // pulls decisions until none is left

 private:
  void carry_out(const Decision& d);
  void send(const Decision& d);
  void end(Query& query);

  Decider& decider_;
  Book& book_;
  Sender& sender_;
  std::function<void(NodeId)> forget_;
  std::multimap<Time, std::uint64_t> wakes_;
  Timer wake_;
  bool turning_ = false;
  std::uint32_t arrivals_ = 0;
};

}  // namespace cairnhub::broker
