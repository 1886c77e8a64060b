// A broker's own account of its parts by zone: what it sent, what came of it, how long it took; aged, so that
// it tells of the last seconds. No I/O and no clock.
#pragma once
#include <map>
#include <string>

#include "base/time.h"
#include "policy/endpoint_state.h"

namespace cairnhub::zone_failover {

constexpr std::size_t kMaxZones = 64;

// What one broker says of one zone. Rates are a second.
struct ZoneStats {
  double attempts_per_second = 0;   // parts that ended one way or the other
  double responses_per_second = 0;  // errors among them: whoever errs is there
  double rejected_per_second = 0;   // turned away as the host was full
  double lost_per_second = 0;       // broken, silent
  double mean_latency_seconds = 0;  // of those returned, seconds, mean
  // Parts a second that its hosts in service surely bear, cold ones by their share; 0: not known.
  double capacity_per_second = 0;
  int endpoints_in_service = 0;  // in service
  int endpoints_tried = 0;       // hosts that were sent anything lately
  int endpoints_down = 0;        // of them, those whose last part was lost: they are hardly asked any more
  double load_per_second = 0;    // parts sent, over a longer time
};

enum class AttemptResult { kResponded, kRejected, kLost, kCancelled };

class ZoneLoad {
 public:
  // `window`: of what came of parts; how many there are is counted over ten of them.
  explicit ZoneLoad(Time window) : window_(window) {}

  void record_attempt_result(Time now, const std::string& zone, EndpointId host, AttemptResult how,
                             Time latency);
  // Of what clients ask for, whatever becomes of it: parts, and of them those whose shard has no holder in
  // service here.
  void record_demand(Time now, double parts, double far);
  void set_endpoints(const std::string& zone, int hosts, double capacity);
  void clear_endpoints();  // before they are told anew

  std::map<std::string, ZoneStats> zone_stats(Time now) const;
  double demand_per_second(Time now) const {
    return asked_ * fade(asked_at_, now, slow()) / seconds(slow());
  }  // a second
  // Of it, what has no near holder: over the longer time or lately, whichever is more.
  double remote_only_demand_per_second(Time now) const;

 private:
  struct Sums {
    Time at = 0;
    double sent = 0, returned = 0, refused = 0, lost = 0, latency = 0, load = 0;
    struct Last {
      Time at = 0;
      bool lost = false;
    };
    std::map<EndpointId, Last> last;  // of each host lately tried
    double usual = 0;                 // seconds, smoothed over many
    int hosts = 0;
    double capacity = 0;
    Time swept = 0;
  };
  double fade(Time from, Time now, Time window) const;
  Time slow() const { return 10 * window_; }
  Sums* of(const std::string& zone);
  Time window_;
  std::map<std::string, Sums> zones_;  // as many as kMaxZones
  double asked_ = 0, far_ = 0;         // over the longer time
  double asked_lately_ = 0, far_lately_ = 0;
  Time asked_at_ = 0;
};

}  // namespace cairnhub::zone_failover
