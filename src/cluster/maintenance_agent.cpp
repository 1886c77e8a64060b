#include "cluster/maintenance_agent.h"

#include <time.h>

#include <algorithm>

#include "base/clock.h"
#include "base/log.h"
#include "maintenance/job_codec.h"

namespace cairnhub::cluster {

namespace {

maintenance::MaintenanceControllerOptions conduct_terms(const options::Fleet& o,
                                                        const settings::Settings& settings) {
  maintenance::MaintenanceControllerOptions t;
  t.check_interval = o.upkeep->look, t.max_clock_drift = o.accord->drift;
  t.warm_up_time = settings.span("rules.cold", 0);
  for (const auto& op : settings::op_types(settings))
    t.max_attempt_time = std::max(t.max_attempt_time, op.op.request_timeout);
  return t;
}

// Of operators' times: the wall clock as it is now, unlike now(), which no setting of it moves.
Time wall_now() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<Time>(t.tv_sec) * kSecond + t.tv_nsec;
}

}  // namespace

Works::Works(event_base* base, const options::Fleet& options, const settings::Settings& settings,
             shared_config::Accord& accord, const membership::SwimMembership& peers,
             const zone_failover::ZoneFailover* zones, EventLog* event_log, Send send)
    : options_(options),
      accord_(accord),
      peers_(peers),
      zones_(zones),
      event_log_(event_log),
      send_(std::move(send)),
      conduct_(conduct_terms(options, settings), options.name),
      cells_(settings.whole("family-info.positions")),
      width_(settings.whole("family-info.width")),
      warm_after_(settings.span("rules.cold", 0)),
      leaves_(base, [this] {
        if (stop_) stop_();
      }) {}

const maintenance::JobQueue* Works::book() const {
  const auto* engine = accord_.engine();
  return engine ? dynamic_cast<const maintenance::JobQueue*>(engine->versions().board().get()) : nullptr;
}

maintenance::FleetStatus Works::see(Time now, const std::map<std::string, Listed>& listed,
                                    std::uint64_t revision) const {
  const auto& o = *options_.upkeep;
  maintenance::FleetStatus f;
  f.revision = revision, f.ring_size = cells_, f.replicas_per_shard = width_;
  f.limits = {o.holders_least, o.at_once,  o.a_rack,     o.a_zone, o.a_region,
              o.zone_keep,     o.headroom, o.lost_after, o.around, o.stop_on_loss};
  for (const auto& [name, n] : listed) {
    if (f.endpoints.size() >= maintenance::JobQueue::kMaxEndpoints || n.cell >= cells_) continue;
    f.endpoints[name] = {n.cell, n.zone, n.ready, n.started == 0 || now - n.started >= warm_after_};
    if (!n.zone.empty()) f.zones.try_emplace(n.zone);
  }
  if (zones_) {
    for (const auto& z : zones_->options().zones) f.zones[z.name].region = z.region;
    for (const auto& e : zones_->explain()) {
      const auto it = f.zones.find(e.zone);
      if (it == f.zones.end()) continue;
      it->second.serves_locally = e.state == zone_failover::FailoverState::kLocal;
      it->second.load_per_second = e.health.load_per_second,
      it->second.capacity_per_second = e.health.capacity_per_second;
    }
  }
  f.voters = accord_.engine()->voter_names();
  return f;
}

void Works::turn(Time now, const Program& program, const shared_config::Acting& acted,
                 const std::map<std::string, Listed>& listed, std::uint64_t revision) {
  if (now < conduct_.next_check_at()) return;
  conduct_.schedule_next_check(now);
  // What is acted on under a lease that has lapsed meanwhile tells nothing: the next look will.
  if (!acted.rules->at_work.empty() && program.clear && acted.low == accord_.acting(now)->low) {
    maintenance::MaintenanceMessage m;
    m.open_attempts.emplace();
    m.open_attempts->lease_low_version = acted.low;
    for (const auto& node : acted.rules->at_work) m.open_attempts->by_endpoint[node] = program.clear(node);
    if (accord_.leader() == options_.name || (accord_.engine() && accord_.engine()->is_leader()))
      conduct_.record_report(now, options_.name, std::move(*m.open_attempts));
    else if (!accord_.leader().empty())
      send_(accord_.leader(), encode_message(m));
  }
  const auto* engine = accord_.engine();
  const auto* works = book();
  if (!engine || !works) return;
  accord_.retire(conduct_.retiring_brokers(*works));
  if (!engine->is_leader()) return conduct_.stop_leading();
  if (revision == 0) return;  // it has no list yet, and sees nothing
  maintenance::LeaderView seen;
  seen.fleet_status = see(now, listed, revision);
  seen.leases = accord_.leases().held();
  seen.voters = engine->voter_names();
  for (const auto* member : peers_.members().live()) seen.live_brokers.insert(member->update.name);
  auto e = conduct_.next_entry(now, wall_now(), engine->versions(), seen);
  for (const auto& broker : conduct_.brokers_to_stop()) {
    maintenance::MaintenanceMessage m;
    for (const auto& [n, w] : works->jobs())
      if (w.takes_endpoints_out() && std::count(w.request.brokers.begin(), w.request.brokers.end(), broker))
        m.stop_for_job = n;
    if (m.stop_for_job) send_(broker, encode_message(m));
  }
  if (!e) return;
  log("upkeep", "%s", e->why.c_str());
  accord_.propose(now, std::move(*e), [this](const std::optional<shared_config::Verdict>& v) {
    if (v && !v->number) log("upkeep", "refused: %s", v->refused.c_str());
    conduct_.record_proposal_result(v && v->number);
  });
}

void Works::heard(Time now, const Program& program, const std::string& from, std::string_view bytes) {
  auto m = maintenance::decode_message(bytes);
  if (!m) return;
  if (m->open_attempts) conduct_.record_report(now, from, std::move(*m->open_attempts));
  if (m->stop_for_job) stand_down(program, m->stop_for_job);
}

// Its front hears of it by its health first; then all goes as SIGTERM does.
void Works::stand_down(const Program& program, std::uint64_t work) {
  if (standing_down_ || !program.stop) return;
  standing_down_ = true;
  log("upkeep", "this machine is taken out, work %llu: leaving", static_cast<unsigned long long>(work));
  if (event_log_) event_log_->record_event("stands_down").with("work", work);
  if (program.not_ready) program.not_ready();
  stop_ = program.stop;
  leaves_.start(options_.upkeep ? options_.upkeep->notice : 0);
}

void Works::applied() {
  const auto* works = book();
  if (!works || !event_log_) return;
  for (const auto& [n, w] : works->jobs()) {
    const auto [it, fresh] = recorded_.try_emplace(n, w.state);
    if (!fresh && it->second == w.state) continue;
    it->second = w.state;
    std::string nodes;
    for (const auto& node : w.request.endpoints) nodes += (nodes.empty() ? "" : " ") + node;
    event_log_->record_event("work")
        .with("work", n)
        .with("machine", w.request.machine)
        .with("step", maintenance::job_state_name(w.state))
        .with("nodes", nodes)
        .with("index", accord_.engine()->applied_index())
        .with("why", w.state_reason);
  }
  std::erase_if(recorded_, [&](const auto& r) { return !works->jobs().count(r.first); });
}

}  // namespace cairnhub::cluster
