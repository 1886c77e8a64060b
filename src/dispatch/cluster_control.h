// Interface to the rules that the brokers of a cluster have agreed on: limits for requests, endpoints that
// must not be used, and the zones to send to. A broker that runs alone has no such rules and follows its own
// settings and its own discovery agent.
#pragma once
#include <climits>
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/traffic_account.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

struct Request;

// Limits of a request class. They can only tighten what the settings allow.
struct RequestClassLimits {
  bool is_served = true;
  Time max_time = kNever;       // longest time that a request may take
  int max_in_flight = INT_MAX;  // requests in flight in this broker
  Time max_latency_objective = kNever;
  double min_answer_share = 0;  // share of weight below which no response may be given
};

// Returns the rules of the cluster, and takes the reports that they are based on.
class ClusterControl {
 public:
  virtual ~ClusterControl() = default;

  // Reads the clock and drops permissions that have expired. Must be called before each decision: a process
  // that was suspended must not act on permissions from before.
  // @return whether the rules in force differ from those of the previous call
  virtual bool refresh_rules() = 0;
  virtual const RequestClassLimits& limits(int request_class) const = 0;  // by index in the settings
  virtual int max_attempts() const = 0;                                   // for each shard request
  virtual bool may_hedge() const = 0;  // as RequestPolicy::set_attempts() takes it
  virtual bool may_run_two_phase(int request_class) const = 0;
  virtual bool serves_index(const std::string& name) const = 0;  // an index of the search API

  // Returns whether no new attempt may go to the endpoint, whatever the broker's own list says.
  // @param started_at as in the broker's own list
  virtual bool is_withheld(const std::string& endpoint, Time started_at) const = 0;
  // Lists of a lower revision must not be applied.
  virtual std::uint64_t min_list_revision() const = 0;
  // Report each list of the broker's own agent once it is applied: list_begins, list_endpoint for each entry,
  // list_ends.
  virtual void list_begins(std::uint64_t revision, bool is_complete) = 0;
  virtual void list_endpoint(const std::string& endpoint, Time started_at, EndpointState state,
                             const std::string& locality, int ring_position) = 0;
  virtual void list_ends() = 0;
  // Reports that the address of the agent has changed, and that the revisions of its lists start anew.
  virtual void list_reset() = 0;

  // Returns the limits of the zones by number, this broker's own zone first. Empty: locality is not used.
  virtual const std::vector<ZoneLimit>& zones() const = 0;
  virtual int zone_step() const = 0;             // as RequestPolicy::limit_zones() takes it
  virtual double exploration_share() const = 0;  // as RequestPolicy::limit_zones() takes it
  // Returns the number of the locality's zone; for a locality that names no zone, the number after the last.
  virtual int zone_of(const std::string& locality) const = 0;
  virtual bool stays_in_region(int request_class) const = 0;  // as RequestPolicy::keep_in_region() takes it
  // Records an attempt that is sent to a zone.
  // @return whether the class has spent its budget for bytes across zones, so that the attempt crosses zones
  //         only because no replica is left in this one
  virtual bool record_attempt(int zone, int request_class) = 0;
  virtual void record_attempt_end(const TrafficAccount& account, EndpointId endpoint, AttemptOutcome outcome,
                                  Time latency) = 0;
  virtual void record_bytes(const TransferredBytes& bytes) = 0;
  // Records a request on arrival, whether it is admitted or not.
  virtual void record_request(int request_class, const Request& request) = 0;
  virtual bool has_byte_budgets() const = 0;          // whether any class has a budget for bytes across zones
  virtual bool stays_in_zone(int request_class) = 0;  // whether the class has spent its budget for now
};

}  // namespace cairnhub::dispatch
