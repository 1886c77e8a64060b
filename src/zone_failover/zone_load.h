// Counts the results of one broker's attempts by zone. The counts decay exponentially, so that they describe
// the last seconds. Does no I/O and reads no clock.
#pragma once
#include <map>
#include <string>

#include "base/time.h"
#include "policy/endpoint_state.h"

namespace cairnhub::zone_failover {

constexpr std::size_t kMaxZones = 64;

// Measurements of one zone by one broker. Rates count attempts per second.
struct ZoneStats {
  double attempts_per_second = 0;   // attempts that ended, whatever the result
  double responses_per_second = 0;  // includes errors: an endpoint that returns an error is alive
  double rejected_per_second = 0;   // rejected because the endpoint's queue was full
  double lost_per_second = 0;       // connection broken, or no response
  double mean_latency_seconds = 0;  // mean over the responses
  // Attempts that the endpoints in service can handle; those in slow start count by their present share.
  // 0: not known.
  double capacity_per_second = 0;
  int endpoints_in_service = 0;
  int endpoints_tried = 0;     // endpoints that were sent an attempt recently
  int endpoints_down = 0;      // tried, and lost the last attempt; these get hardly any further attempts
  double load_per_second = 0;  // attempts, averaged over ten windows
};

enum class AttemptResult { kResponded, kRejected, kLost, kCancelled };

class ZoneLoad {
 public:
  // Results are averaged over `window`, demand and load over ten of them.
  explicit ZoneLoad(Time window) : window_(window) {}

  void record_attempt_result(Time now, const std::string& zone, EndpointId endpoint, AttemptResult result,
                             Time latency);
  // Records the shard requests of a client request, whether or not they are sent. `remote_only` of them are
  // for shards without a replica in service in the home zone.
  void record_demand(Time now, double shard_requests, double remote_only);
  void set_endpoints(const std::string& zone, int endpoints_in_service, double capacity_per_second);
  // Clears the endpoints in service of all zones; called before set_endpoints() for each zone.
  void clear_endpoints();

  std::map<std::string, ZoneStats> zone_stats(Time now) const;
  double demand_per_second(Time now) const {
    return demand_ * decay(demand_at_, now, long_window()) / seconds(long_window());
  }
  // Returns the demand without a local replica. Uses the share over the long or the short window, whichever
  // is higher.
  double remote_only_demand_per_second(Time now) const;

 private:
  struct ZoneCounts {
    Time updated_at = 0;
    double attempts = 0;
    double responses = 0;
    double rejected = 0;
    double lost = 0;
    double latency_seconds = 0;
    double load = 0;
    struct LastAttempt {
      Time ended_at = 0;
      bool is_lost = false;
    };
    std::map<EndpointId, LastAttempt> last_attempts;  // of endpoints tried recently
    double usual_latency_seconds = 0;                 // smoothed over many responses
    int endpoints_in_service = 0;
    double capacity_per_second = 0;
    Time swept_at = 0;
  };
  double decay(Time from, Time now, Time window) const;
  Time long_window() const { return 10 * window_; }
  // Returns null for an empty name, or a new one beyond kMaxZones.
  ZoneCounts* find_or_add(const std::string& zone);
  Time window_;
  std::map<std::string, ZoneCounts> zones_;  // at most kMaxZones
  double demand_ = 0;                        // over the long window
  double remote_only_demand_ = 0;
  double recent_demand_ = 0;  // over the short window
  double recent_remote_only_demand_ = 0;
  Time demand_at_ = 0;
};

}  // namespace cairnhub::zone_failover
