// A broker's own account of its parts by zone: what it sent, what came of it, how long it took; aged, so that
// it tells of the last seconds. No I/O and no clock.
#pragma once
#include <map>
#include <string>

#include "base/time.h"
#include "policy/endpoint_state.h"

namespace cairnhub::zone_failover {

constexpr std::size_t kZonesMost = 64;

// What one broker says of one zone. Rates are a second.
struct Reading {
  double sent = 0;      // parts that ended one way or the other
  double returned = 0;  // errors among them: whoever errs is there
  double refused = 0;   // turned away as the host was full
  double lost = 0;      // broken, silent
  double latency = 0;   // of those returned, seconds, mean
  // Parts a second that its hosts in service surely bear, cold ones by their share; 0: not known.
  double capacity = 0;
  int hosts = 0;    // in service
  int tried = 0;    // hosts that were sent anything lately
  int down = 0;     // of them, those whose last part was lost: they are hardly asked any more
  double load = 0;  // parts sent, over a longer time
};

enum class End { returned, refused, lost, called_off };

class Account {
 public:
  // `window`: of what came of parts; how many there are is counted over ten of them.
  explicit Account(Time window) : window_(window) {}

  void ended(Time now, const std::string& zone, EndpointId host, End how, Time latency);
  // Of what clients ask for, whatever becomes of it: parts, and of them those whose shard has no holder in
  // service here.
  void asked(Time now, double parts, double far);
  void hosts(const std::string& zone, int hosts, double capacity);
  void no_hosts();  // before they are told anew

  std::map<std::string, Reading> read(Time now) const;
  double wanted(Time now) const {
    return asked_ * fade(asked_at_, now, slow()) / seconds(slow());
  }  // a second
  // Of it, what has no near holder: over the longer time or lately, whichever is more.
  double far(Time now) const;

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
  std::map<std::string, Sums> zones_;  // as many as kZonesMost
  double asked_ = 0, far_ = 0;         // over the longer time
  double asked_lately_ = 0, far_lately_ = 0;
  Time asked_at_ = 0;
};

}  // namespace cairnhub::zone_failover
