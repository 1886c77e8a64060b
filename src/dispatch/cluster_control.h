// What brokers hold in common, as the core asks for it. A broker that has nothing in common with others has
// none of these, and everything is as its own settings and its own agent say.
#pragma once
#include <climits>
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/traffic_account.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

struct Request;

// May only take away from what the settings allow.
struct RequestClassLimits {
  bool is_served = true;
  Time max_time = kNever;
  int max_in_flight = INT_MAX;  // multigets in hand here
  Time max_latency_objective = kNever;
  double min_answer_share = 0;  // share of weight under which no answer may be given
};

class ClusterControl {
 public:
  virtual ~ClusterControl() = default;

  // A look at the clock, before anything is done: true where what is acted on is other than at the last look.
  // Danger: a process that stood still and goes on must not act on what it was allowed before.
  virtual bool refresh_rules() = 0;
  virtual const RequestClassLimits& limits(int op_type) const = 0;  // by number in the settings
  virtual int max_attempts() const = 0;
  virtual bool may_hedge() const = 0;
  virtual bool may_run_two_phase(int op_type) const = 0;
  virtual bool serves_index(const std::string& name) const = 0;

  // Nothing new goes to the node, whatever the own list says; `started` as the own list has it.
  virtual bool is_withheld(const std::string& node, Time started) const = 0;
  // A list of a lower revision is not taken.
  virtual std::uint64_t min_list_revision() const = 0;
  // What the own agent's list says, once it is taken.
  virtual void list_begins(std::uint64_t revision, bool whole) = 0;
  virtual void list_endpoint(const std::string& node, Time started, EndpointState state,
                             const std::string& locality, int cell) = 0;
  virtual void list_ends() = 0;
  // The agent has been moved: revisions begin anew.
  virtual void list_reset() = 0;

  // Zones by number, this broker's own the first; none: nearness counts for nothing here. A locality that
  // names none has the number past the last.
  virtual const std::vector<ZoneLimit>& zones() const = 0;
  virtual int zone_step() const = 0;
  virtual double exploration_share() const = 0;
  virtual int zone_of(const std::string& locality) const = 0;
  virtual bool stays_in_region(int op_type) const = 0;
  // A send goes to a zone: true where its op type's budget of bytes that cross is spent, so that it crosses
  // only for want of any holder here. How it ended; what it carried, whenever that is known.
  virtual bool record_attempt(int zone, int op_type) = 0;
  virtual void record_attempt_end(const TrafficAccount& whose, EndpointId node, AttemptOutcome how,
                                  Time latency) = 0;
  virtual void record_bytes(const TransferredBytes& what) = 0;
  // What a client asks for, whatever becomes of it.
  virtual void record_request(int op_type, const Request& query) = 0;
  // Whether any op type has such a budget, and whether that of this one is spent at the moment.
  virtual bool has_byte_budgets() const = 0;
  virtual bool stays_in_zone(int op_type) = 0;
};

}  // namespace cairnhub::dispatch
