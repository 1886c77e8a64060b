#include "cluster/maintenance_agent.h"

#include <time.h>

#include <algorithm>

#include "base/clock.h"
#include "base/log.h"
#include "maintenance/job_codec.h"

namespace cairnhub::cluster {

namespace {

maintenance::ConductTerms conduct_terms(const options::Fleet& o, const settings::Settings& settings) {
  maintenance::ConductTerms t;
  t.every = o.upkeep->look, t.drift = o.accord->drift;
  t.warm_after = settings.span("rules.cold", 0);
  for (const auto& op : settings::op_types(settings))
    t.longest_send = std::max(t.longest_send, op.op.request_timeout);
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
             shared_config::SharedConfigNode& accord, const membership::SwimMembership& peers,
             const zone_failover::Zones* zones, EventLog* event_log, Send send)
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

const maintenance::Works* Works::book() const {
  const auto* engine = accord_.raft_node();
  return engine ? dynamic_cast<const maintenance::Works*>(engine->versions().state_machine().get()) : nullptr;
}

maintenance::Facts Works::see(Time now, const std::map<std::string, Listed>& listed,
                              std::uint64_t revision) const {
  const auto& o = *options_.upkeep;
  maintenance::Facts f;
  f.revision = revision, f.cells = cells_, f.width = width_;
  f.terms = {o.holders_least, o.at_once,  o.a_rack,     o.a_zone, o.a_region,
             o.zone_keep,     o.headroom, o.lost_after, o.around, o.stop_on_loss};
  for (const auto& [name, n] : listed) {
    if (f.nodes.size() >= maintenance::Works::kNodes || n.cell >= cells_) continue;
    f.nodes[name] = {n.cell, n.zone, n.ready, n.started == 0 || now - n.started >= warm_after_};
    if (!n.zone.empty()) f.zones.try_emplace(n.zone);
  }
  if (zones_) {
    for (const auto& z : zones_->terms().zones) f.zones[z.name].region = z.region;
    for (const auto& e : zones_->explain()) {
      const auto it = f.zones.find(e.zone);
      if (it == f.zones.end()) continue;
      it->second.near = e.state == zone_failover::State::near;
      it->second.load = e.view.load, it->second.capacity = e.view.capacity;
    }
  }
  f.voters = accord_.raft_node()->voting();
  return f;
}

void Works::turn(Time now, const Program& program, const shared_config::ActiveConfig& acted,
                 const std::map<std::string, Listed>& listed, std::uint64_t revision) {
  if (now < conduct_.wake()) return;
  conduct_.looked(now);
  // What is acted on under a lease that has lapsed meanwhile tells nothing: the next look will.
  if (!acted.rules->endpoints_in_maintenance.empty() && program.clear &&
      acted.low == accord_.active_config(now)->low) {
    maintenance::Message m;
    m.clear.emplace();
    m.clear->low = acted.low;
    for (const auto& node : acted.rules->endpoints_in_maintenance) m.clear->out[node] = program.clear(node);
    if (accord_.leader() == options_.name || (accord_.raft_node() && accord_.raft_node()->leads()))
      conduct_.heard(now, options_.name, std::move(*m.clear));
    else if (!accord_.leader().empty())
      send_(accord_.leader(), encode(m));
  }
  const auto* engine = accord_.raft_node();
  const auto* works = book();
  if (!engine || !works) return;
  accord_.set_retiring_brokers(conduct_.retiring(*works));
  if (!engine->leads()) return conduct_.leads_no_more();
  if (revision == 0) return;  // it has no list yet, and sees nothing
  maintenance::Seen seen;
  seen.facts = see(now, listed, revision);
  seen.held = accord_.lease_manager().brokers();
  seen.voters = engine->voting();
  for (const auto* member : peers_.members().live()) seen.alive.insert(member->update.name);
  auto e = conduct_.lead(now, wall_now(), engine->versions(), seen);
  for (const auto& broker : conduct_.stand_down()) {
    maintenance::Message m;
    for (const auto& [n, w] : works->all())
      if (w.takes_out() && std::count(w.request.brokers.begin(), w.request.brokers.end(), broker))
        m.stand_down = n;
    if (m.stand_down) send_(broker, encode(m));
  }
  if (!e) return;
  log("upkeep", "%s", e->why.c_str());
  accord_.propose(now, std::move(*e), [this](const std::optional<shared_config::ApplyResult>& v) {
    if (v && !v->number) log("upkeep", "refused: %s", v->rejection.c_str());
    conduct_.settled(v && v->number);
  });
}

void Works::heard(Time now, const Program& program, const std::string& from, std::string_view bytes) {
  auto m = maintenance::decode(bytes);
  if (!m) return;
  if (m->clear) conduct_.heard(now, from, std::move(*m->clear));
  if (m->stand_down) stand_down(program, m->stand_down);
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
  for (const auto& [n, w] : works->all()) {
    const auto [it, fresh] = recorded_.try_emplace(n, w.step);
    if (!fresh && it->second == w.step) continue;
    it->second = w.step;
    std::string nodes;
    for (const auto& node : w.request.nodes) nodes += (nodes.empty() ? "" : " ") + node;
    event_log_->record_event("work")
        .with("work", n)
        .with("machine", w.request.machine)
        .with("step", maintenance::name_of(w.step))
        .with("nodes", nodes)
        .with("index", accord_.raft_node()->applied_index())
        .with("why", w.last);
  }
  std::erase_if(recorded_, [&](const auto& r) { return !works->all().count(r.first); });
}

}  // namespace cairnhub::cluster
