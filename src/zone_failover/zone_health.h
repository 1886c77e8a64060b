// What the accounts of all brokers tell of zones, held against each other. No I/O and no clock.
//
// It tells apart: hosts of a zone dead (all who see it say so, its own brokers among them), a link cut (only
// those across it say so), a zone with more than it bears, a zone that fails in part, and a reporter that is
// itself ill (it finds all zones bad that others find good: outvoted and named). Where all zones are alike
// slow nothing is wrong with any of them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "zone_failover/zone_load.h"

namespace cairnhub::zone_failover {

struct EvidenceTerms {
  Time fresh = 3 * kSecond / 2;  // older reports don't count
  double few = 10;               // parts a second under which what became of them tells nothing
  // Shares of parts lost: from the least on a zone fails in part, from the most on it is dead.
  double partial = 0.1, dead = 0.7;
  double refused = 0.05;  // share turned away by full hosts, from which on a zone bears too much
  double slow = 3;        // times the latency of the other zones
  double full = 0.95;     // of the capacity
};

enum class Look { unknown, good, over, partial, dead };
const char* name_of(Look look);

struct Report {
  std::string home;
  Time at = 0;        // when it was heard
  double wanted = 0;  // parts a second
  double far = 0;     // of them, those whose shard has no holder in service in its home
  std::map<std::string, Reading> zones;
};

struct ZoneView {
  Look look = Look::unknown;
  double wanted = 0;    // parts a second that its brokers' clients ask for
  double far = 0;       // of them, those whose shard has no holder there
  double load = 0;      // parts a second that came to its hosts
  double capacity = 0;  // 0: not known
  double bears = 1;  // share of what its brokers ask for that it can bear, where it is over or fails in part
  int brokers = 0, hosts = 0;  // brokers that report; hosts in service
  std::string why;             // one line
};

struct View {
  std::map<std::string, ZoneView> zones;
  std::set<std::pair<std::string, std::string>> cut;  // from the brokers of one to the hosts of the other
  std::vector<std::string> outvoted;                  // reporters
};

class Evidence {
 public:
  explicit Evidence(const EvidenceTerms& terms) : terms_(terms) {}
  void heard(Time now, const std::string& from, Report report);
  void gone(const std::string& broker) { reports_.erase(broker); }
  View look(Time now) const;

 private:
  EvidenceTerms terms_;
  std::map<std::string, Report> reports_;  // by broker
};

}  // namespace cairnhub::zone_failover
