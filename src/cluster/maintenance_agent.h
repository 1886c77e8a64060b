// Works on machines at one broker, on the event loop: what it has out at nodes that are taken out, told to
// the leader; where it leads, what it sees told to the conduct, and what the conduct says to the log; and its
// own leaving, where its machine is taken out. Decides nothing.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer.h"
#include "event_log/event_log.h"
#include "maintenance/maintenance_controller.h"
#include "membership/swim_membership.h"
#include "options/options.h"
#include "settings/settings.h"
#include "shared_config/shared_config_node.h"
#include "zone_failover/zone_failover.h"

namespace cairnhub::cluster {

// What the program does for the fleet.
struct Program {
  std::function<void()> changed;                 // what is acted on may have changed
  std::function<void()> ask_agent;               // for the whole list, at once
  std::function<int(const std::string&)> clear;  // sends out at a node; none: its connections are closed
  std::function<void()> not_ready;               // its health fails from now on
  std::function<void()> stop;                    // as SIGTERM
};

// A node as the own list has it.
struct Listed {
  std::string zone;  // empty: none that is stated
  int cell = 0;
  Time started = 0;
  bool ready = false;
  std::uint64_t named_in = 0;
};

class Works {
 public:
  // `send` sends bytes to a broker by name.
  using Send = std::function<void(const std::string& to, const std::string& bytes)>;
  Works(event_base* base, const options::Fleet& options, const settings::Settings& settings,
        shared_config::SharedConfigNode& accord, const membership::SwimMembership& peers,
        const zone_failover::ZoneFailover* zones, EventLog* event_log, Send send);

  Time wake() const { return conduct_.next_check_at(); }
  // `acted`: what the core acts on; `listed`: the own list's nodes, of that revision.
  void turn(Time now, const Program& program, const shared_config::ActiveConfig& acted,
            const std::map<std::string, Listed>& listed, std::uint64_t revision);
  void heard(Time now, const Program& program, const std::string& from, std::string_view bytes);
  void gone(const std::string& broker) { conduct_.forget_broker(broker); }
  void applied();  // an entry on works was: its steps are recorded

  // For operators. The works as this broker's log has them; null where it runs none.
  const maintenance::JobQueue* book() const;
  const maintenance::MaintenanceController& conduct() const { return conduct_; }

 private:
  maintenance::FleetStatus see(Time now, const std::map<std::string, Listed>& listed,
                               std::uint64_t revision) const;
  void stand_down(const Program& program, std::uint64_t work);

  const options::Fleet& options_;
  shared_config::SharedConfigNode& accord_;
  const membership::SwimMembership& peers_;
  const zone_failover::ZoneFailover* zones_;
  EventLog* event_log_;
  Send send_;
  maintenance::MaintenanceController conduct_;
  int cells_, width_;
  Time warm_after_;
  std::map<std::uint64_t, maintenance::JobState> recorded_;  // works by their last recorded step
  Timer leaves_;
  std::function<void()> stop_;
  bool standing_down_ = false;
};

}  // namespace cairnhub::cluster
