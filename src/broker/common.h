// What brokers hold in common, as the core asks for it. A broker that has nothing in common with others has
// none of these, and everything is as its own settings and its own agent say.
#pragma once
#include <climits>
#include <cstdint>
#include <string>

#include "decide.h"

namespace cairnhub::broker {

// May only take away from what the settings allow.
struct OpLimits {
  bool served = true;
  Time time_most = kNever;
  int held_most = INT_MAX;  // multigets in hand here
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
  virtual void list_node(const std::string& node, Time started, NodeState state) = 0;
  virtual void list_ends() = 0;
  // The agent has been moved: revisions begin anew.
  virtual void list_anew() = 0;
};

}  // namespace cairnhub::broker
