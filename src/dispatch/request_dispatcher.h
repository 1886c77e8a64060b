// The routing stage: tells the policy what happens and carries out what it decides. Chooses nothing.
#pragma once
#include <map>

#include "base/timer.h"
#include "dispatch/common.h"
#include "dispatch/in_flight_requests.h"
#include "dispatch/request_trace.h"
#include "policy/request_class_limiter.h"

namespace cairnhub::dispatch {

class Route {
 public:
  // `forget` is told the nodes that the policy has forgotten; `follow_up` is asked at the end of each turn
  // for what follows from multigets that have ended: false where there was nothing; `names` gives the names
  // of nodes for the trace of multigets.
  Route(event_base* base, RequestPolicy& policy, Book& book, Hosts& hosts,
        std::function<void(EndpointId)> forget, std::function<bool()> follow_up, Trace::Names names = {});

  // What is held in common with other brokers is asked before anything is done; `apply` follows its changes,
  // `refresh` what may change with each send and each byte. `sent` marks each send. `come_back`: advice to
  // clients whom it turns away; 0: none.
  struct Held {
    std::function<void()> apply, refresh;
    std::function<void(Attempt&)> sent;
    Time come_back = 0;
  };
  void hold(Common& common, Held held);
  void derived(int op_type, int from);  // rounds of a plan count as the op type they come from
  int counted_as(int op_type) const;
  // Ahead of all else that a multiget's op type allows: its limits now.
  const OpLimits& limits(int op_type);
  bool two_phase(int op_type);
  bool index(const std::string& name);

  void look();  // at what is in common
  // Before anything is decided or begun `departures` is called, unless it was within the last 50 ms: it
  // abandons the multigets whose clients have gone.
  void look_at_clients();
  void on_departures(std::function<void()> departures) { departures_ = std::move(departures); }
  RequestId arrived(std::unique_ptr<Query> query);
  void abandoned(RequestId query);
  void turn();  // pulls decisions until none is left

 private:
  void wake_due();
  void carry_out(const PolicyAction& d);
  void send(const PolicyAction& d);
  void end(Query& query);

  RequestPolicy& policy_;
  Book& book_;
  Hosts& hosts_;
  std::function<void(EndpointId)> forget_;
  std::function<bool()> follow_up_;
  std::multimap<Time, std::uint64_t> wakes_;
  Timer wake_;
  Trace trace_;
  Common* common_ = nullptr;
  Held with_;
  std::map<int, int> derived_;
  RequestClassLimiter class_limiter_;  // asked where something is in common
  std::function<void()> departures_;
  Time clients_seen_ = 0;
  bool turning_ = false;
  std::uint32_t arrivals_ = 0;
};

}  // namespace cairnhub::dispatch
