// What brokers hold in common, as the core asks for it. A broker that has nothing in common with others has
// none of these, and everything is as its own settings and its own agent say.
#pragma once
#include <climits>
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/account.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

struct Query;

// May only take away from what the settings allow.
struct OpLimits {
  bool served = true;
  Time time_most = kNever;
  int held_most = INT_MAX;  // multigets in hand here
  Time budget_most = kNever;
  double least = 0;  // share of weight under which no answer may be given
};

class Common {
 public:
  virtual ~Common() = default;

  // A look at the clock, before anything is done: true where what is acted on is other than at the last look.
  // Danger: a process that stood still and goes on must not act on what it was allowed before.
  virtual bool changed() = 0;
  virtual const OpLimits& limits(int op_type) const = 0;  // by number in the settings
  virtual int sends_most() const = 0;
  virtual bool second_copies() const = 0;
  virtual bool two_phase(int op_type) const = 0;
  virtual bool index(const std::string& name) const = 0;

  // Nothing new goes to the node, whatever the own list says; `started` as the own list has it.
  virtual bool withheld(const std::string& node, Time started) const = 0;
  // A list of a lower revision is not taken.
  virtual std::uint64_t list_floor() const = 0;
  // What the own agent's list says, once it is taken.
  virtual void list_begins(std::uint64_t revision, bool whole) = 0;
  virtual void list_node(const std::string& node, Time started, EndpointState state,
                         const std::string& locality, int cell) = 0;
  virtual void list_ends() = 0;
  // The agent has been moved: revisions begin anew.
  virtual void list_anew() = 0;

  // Zones by number, this broker's own the first; none: nearness counts for nothing here. A locality that
  // names none has the number past the last.
  virtual const std::vector<ZoneLimit>& zones() const = 0;
  virtual int zone_step() const = 0;
  virtual double look_around() const = 0;
  virtual int zone_of(const std::string& locality) const = 0;
  virtual bool stays_in_region(int op_type) const = 0;
  // A send goes to a zone: true where its op type's budget of bytes that cross is spent, so that it crosses
  // only for want of any holder here. How it ended; what it carried, whenever that is known.
  virtual bool sent(int zone, int op_type) = 0;
  virtual void ended(const Account& whose, EndpointId node, AttemptOutcome how, Time latency) = 0;
  virtual void carried(const Carried& what) = 0;
  // What a client asks for, whatever becomes of it.
  virtual void asked(int op_type, const Query& query) = 0;
  // Whether any op type has such a budget, and whether that of this one is spent at the moment.
  virtual bool budgets() const = 0;
  virtual bool stays_near(int op_type) = 0;
};

}  // namespace cairnhub::dispatch
