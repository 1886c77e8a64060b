#include "cluster/admin_api.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <time.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "maintenance/job_scheduler.h"

namespace cairnhub::cluster {

namespace {

using json = nlohmann::ordered_json;

std::string text(const json& j) { return j.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"; }
double ms(Time t) { return static_cast<double>(t / 1000) / 1000; }

json of(const shared_config::Version& v) {
  return {{"number", v.number}, {"hash", v.hash}, {"who", v.who},
          {"why", v.why},       {"id", v.id},     {"rules", v.text}};
}

}  // namespace

Operators::Operators(event_base* base, Fleet& fleet) : fleet_(fleet), http_(evhttp_new(base)) {
  const std::string& at = fleet.options().operators;
  const auto colon = at.rfind(':');
  evhttp_set_max_body_size(http_, 256 << 10);
  evhttp_set_max_headers_size(http_, 8 << 10);
  evhttp_set_timeout(http_, 30);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* r, void* self) {
        guarded("operators", [&] { static_cast<Operators*>(self)->asked(r); });
      },
      this);
  if (evhttp_bind_socket(http_, at.substr(0, colon).c_str(),
                         static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)))) != 0) {
    evhttp_free(http_);
    throw std::runtime_error("fleet: the operators' address " + at + " can't be had");
  }
}

Operators::~Operators() {
  *here_ = false;
  evhttp_free(http_);
}

void Operators::reply(evhttp_request* r, int status, const std::string& body) {
  evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type", "application/json");
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, body.data(), body.size());
  evhttp_send_reply(r, status, nullptr, out);
  evbuffer_free(out);
}

void Operators::asked(evhttp_request* r) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(r);
  const char* raw = uri ? evhttp_uri_get_path(uri) : nullptr;
  const std::string path = raw ? raw : "";
  const bool get = evhttp_request_get_command(r) == EVHTTP_REQ_GET;
  if (get && path == "/peers") return reply(r, 200, peers());
  if (!fleet_.accord() && path.rfind("/accord/", 0) == 0)
    return reply(r, 404, text({{"error", "this broker's options state no accord"}}));
  if (get && path == "/accord/status") return reply(r, 200, status());
  if (get && path == "/accord/history") return reply(r, 200, history());
  if (get && path == "/upkeep") {
    if (!fleet_.works()) return reply(r, 404, text({{"error", "this broker's options state no upkeep"}}));
    return reply(r, 200, works());
  }
  if (path == "/zones" && !fleet_.zone_part())
    return reply(r, 404, text({{"error", "this broker's options state no zones"}}));
  if (get && path == "/zones") return reply(r, 200, zones());
  if (get && path == "/zones/crossing" && fleet_.crossing()) return reply(r, 200, crossing());
  if (!get && path == "/accord/propose") return propose(r);
  reply(r, 404, text({{"error", "no such path"}}));
}

std::string Operators::peers() const {
  const auto& p = fleet_.peers();
  json all = json::array();
  for (const auto* member : p.members().all())
    all.push_back({{"name", member->update.name},
                   {"health", membership::name_of(member->update.state)},
                   {"incarnation", member->update.incarnation},
                   {"address", member->address()},
                   {"stated", member->is_configured}});
  const auto& c = p.counters();
  const auto& h = fleet_.hearsay();
  json dropped;
  for (const auto reason : transport::kDropReasons)
    dropped[transport::name_of(reason)] = fleet_.transport().drop_count(reason);
  const auto& t = fleet_.transport().counters();
  return text(
      {{"name", p.self().name},
       {"incarnation", p.self().incarnation},
       {"local_health", p.local_health_score()},
       {"alive", p.live_member_count()},
       {"peers", all},
       {"pings", c.probes},
       {"pings_failed", c.probes_failed},
       {"suspected", c.suspicions},
       {"refuted", c.refutations},
       {"conflicts", c.address_conflicts},
       {"lists",
        {{"own", h.own()}, {"newest", h.newest()}, {"behind", h.behind()}, {"withholding", h.withholding()}}},
       {"talk",
        {{"bytes_out", t.bytes_sent},
         {"bytes_in", t.bytes_received},
         {"not_sent", t.messages_not_sent},
         {"dropped", dropped}}}});
}

std::string Operators::status() const {
  const auto s = fleet_.accord()->status(now());
  json voters = json::array();
  for (const auto& v : s.voters) voters.push_back({{"name", v.name}, {"votes", v.is_voter}});
  return text(
      {{"name", fleet_.options().name},
       {"acts_on", s.acting.low ? json{{"low", s.acting.low}, {"high", s.acting.high}} : json("ground")},
       {"ground", s.ground},
       {"ground_next", s.ground_next},
       {"lease_left_ms", ms(s.lease_left)},
       {"rules", shared_config::text_of(*s.acting.rules)},
       {"hash", shared_config::hash_of(shared_config::text_of(*s.acting.rules))},
       {"leader", s.leader},
       {"leads", s.leads},
       {"term", s.term},
       {"votes", s.votes},
       {"store_failed", s.store_failed},
       {"have", s.have},
       {"newest", s.newest},
       {"in_force", s.in_force},
       {"voters", voters},
       {"force_waits_for", s.force_waits_for},
       {"ground_waits_for", s.ground_waits_for}});
}

std::string Operators::history() const {
  json versions = json::array();
  for (const auto& v : fleet_.accord()->history()) versions.push_back(of(v));
  const auto& h = fleet_.accord()->holder();
  json out{{"versions", versions}, {"ground", of(h.ground())}};
  if (h.ground_next()) out["ground_next"] = of(*h.ground_next());
  return text(out);
}

// Every broker tells what it acts on; the evidence stands at the leader.
std::string Operators::zones() const {
  const auto& z = *fleet_.zone_part();
  // Without an accord it decides for itself, from a book of its own.
  const shared_config::Versions* own = fleet_.alone();
  const auto s = own ? shared_config::Status{} : fleet_.accord()->status(now());
  const auto& held = own ? own->all() : fleet_.accord()->holder().versions();
  const auto at = held.find(own ? own->newest() : s.acting.high);
  const shared_config::Rules& rules = own ? *at->second.rules : *s.acting.rules;
  json acts = json::object(), states = json::object(), shares = json::array(), seen = json::array(),
       orders = json::object();
  const auto& limits = fleet_.zones();
  for (std::size_t i = 0; i < limits.size(); ++i)
    acts[z.zone_name(static_cast<int>(i))] = static_cast<int>(1000 * limits[i].max_share + 0.5);
  if (at != held.end())
    for (const auto& note = zone_failover::parse_decision(at->second.note);
         const auto* all : {&note.zones, &note.regions})
      for (const auto& [name, one] : *all)
        states[all == &note.zones ? name : zone_failover::region_key(name)] = {
            {"state", zone_failover::name_of(one.state)}, {"share", one.local_share_thousandths}};
  for (const auto& [pair, most] : rules.zones.most)
    shares.push_back({{"from", pair.first}, {"to", pair.second}, {"most", most}});
  json out{{"name", fleet_.options().name},
           {"home", z.options().home_zone},
           {"leader", s.leader},
           {"leads", s.leads || own},
           {"version", own ? own->newest() : s.acting.high},
           {"why", at == held.end() ? "" : at->second.why},
           {"acts_on", acts},
           {"states", states},
           {"otherwise", rules.zones.otherwise},
           {"shares", shares}};
  if (!s.leads && !own) return text(out);
  for (const auto& e : z.explain())
    seen.push_back({{"zone", e.zone},
                    {"state", zone_failover::name_of(e.state)},
                    {"share", e.local_share_thousandths},
                    {"ordered", e.order},
                    {"looks", zone_failover::name_of(e.health.status)},
                    {"why", e.health.reason},
                    {"wanted", e.health.demand_per_second},
                    {"load", e.health.load_per_second},
                    {"capacity", e.health.capacity_per_second},
                    {"hosts", e.health.endpoints_in_service},
                    {"brokers", e.health.reporting_brokers}});
  json cut = json::array();
  for (const auto& [from, to] : z.health_view().broken_links) cut.push_back({{"from", from}, {"to", to}});
  for (const auto& [zone, o] : (own ? *own : fleet_.accord()->engine()->versions()).orders())
    orders[zone] = {{"what", o.what}, {"who", o.who}, {"why", o.why}};
  out["seen"] = seen, out["cut"] = cut, out["outvoted"] = z.health_view().outvoted_brokers,
  out["orders"] = orders;
  out["next"] = z.reason();
  return text(out);
}

// Parts and bytes between this broker and each zone, by op type, and what is left of the budgets.
std::string Operators::crossing() const {
  const auto& z = *fleet_.zone_part();
  const auto& c = *fleet_.crossing();
  const auto& names = fleet_.op_types();
  json table = json::array(), budgets = json::array();
  for (const auto& [key, t] : c.counters())
    table.push_back({{"zone", z.zone_name(key.first)},
                     {"crosses", key.first != 0},
                     {"op_type", key.second < 0 ? "" : names.at(static_cast<std::size_t>(key.second))},
                     {"parts", t.attempts},
                     {"out", t.bytes_out},
                     {"in", t.bytes_in},
                     {"parts_over_budget", t.attempts_over_budget},
                     {"bytes_over_budget", t.bytes_over_budget}});
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto b = c.budget_state(now(), static_cast<int>(i));
    if (b.bytes_per_second == zone_failover::kNoBudget) continue;
    budgets.push_back({{"op_type", names[i]},
                       {"bytes_a_second", b.bytes_per_second},
                       {"left", static_cast<long long>(b.remaining_bytes)},
                       {"a_send", static_cast<long long>(b.expected_attempt_bytes)},
                       {"sends_out", b.attempts_in_flight},
                       {"spent", c.is_exhausted(now(), static_cast<int>(i))}});
  }
  return text({{"name", fleet_.options().name},
               {"home", z.options().home_zone},
               {"table", table},
               {"budgets", budgets}});
}

// The works as the log has them, and at the leader what each waits for and when it is to begin.
std::string Operators::works() const {
  const auto s = fleet_.accord()->status(now());
  const auto* book = fleet_.works()->book();
  json out{{"name", fleet_.options().name}, {"leader", s.leader}, {"leads", s.leads && book}};
  if (!s.leads || !book) return text(out);
  const auto& waits = fleet_.works()->conduct().waiting_reasons();
  json works = json::array(), plan = json::array(), nodes = json::array();
  for (const auto& [n, w] : book->jobs()) {
    const auto it = waits.find(n);
    std::string why = it == waits.end() ? "" : it->second;
    if (w.state == maintenance::JobState::kQueued && why.empty()) why = book->blocking_reason(w.request, n);
    works.push_back(
        {{"number", n},
         {"machine", w.request.machine},
         {"step", maintenance::job_state_name(w.state)},
         {"held", w.is_held},
         {"since_ms", w.state_since / maintenance::kMillisecond},
         {"last", w.state_reason},
         {"waits", why},
         {"who", w.requested_by},
         {"why", w.reason},
         {"nodes", w.request.endpoints},
         {"brokers", w.request.brokers},
         {"zone", w.request.zone},
         {"region", w.request.region},
         {"rack", w.request.rack},
         {"endangers", w.is_open() ? json(book->shards_below_min_replicas(w.request)) : json::array()}});
  }
  // As every voter makes it from the same entries: as of the facts said last.
  for (const auto& p : maintenance::plan_jobs(*book, book->fleet_status_at())) {
    const auto& w = book->jobs().at(p.job);
    plan.push_back({{"work", p.job},
                    {"machine", w.request.machine},
                    {"start_ms", p.start == kNever ? 0 : p.start / maintenance::kMillisecond},
                    {"length_ms", (w.request.duration + book->fleet_status().limits.transition_time) /
                                      maintenance::kMillisecond},
                    {"in_time", p.is_in_time}});
  }
  const std::set<std::string> out_nodes = book->endpoints_out();
  for (const auto& [name, n] : book->fleet_status().endpoints)
    nodes.push_back({{"name", name},
                     {"cell", n.ring_position},
                     {"zone", n.zone},
                     {"ready", n.is_ready},
                     {"warm", n.is_warm},
                     {"out", out_nodes.count(name) != 0}});
  out["held"] = book->is_held(), out["works"] = works, out["plan"] = plan;
  out["facts"] = {{"revision", book->fleet_status().revision},
                  {"cells", book->fleet_status().ring_size},
                  {"width", book->fleet_status().replicas_per_shard},
                  {"holders_least", book->fleet_status().limits.min_warm_replicas},
                  {"nodes", nodes}};
  return text(out);
}

// What an operator says of works, as the log's entry has it; none where it is not well formed.
std::optional<std::string> Operators::work_op(const nlohmann::json& j) {
  maintenance::JobOperation op;
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  op.stated_at = static_cast<Time>(t.tv_sec) * kSecond + t.tv_nsec;
  const auto number = [&](const char* name) -> std::optional<std::uint64_t> {
    const auto it = j.find(name);
    if (it == j.end() || !it->is_number_unsigned()) return std::nullopt;
    return it->get<std::uint64_t>();
  };
  op.hold = number("hold"), op.resume = number("resume"), op.cancel = number("cancel"),
  op.done = number("done");
  if (const auto r = j.find("request"); r != j.end() && r->is_object()) {
    maintenance::JobRequest request;
    const auto word = [&](const char* name, std::string& into) {
      if (const auto it = r->find(name); it != r->end() && it->is_string()) into = it->get<std::string>();
    };
    const auto words = [&](const char* name, std::vector<std::string>& into) {
      if (const auto it = r->find(name); it != r->end() && it->is_array())
        for (const auto& x : *it)
          if (x.is_string()) into.push_back(x.get<std::string>());
    };
    const auto ms_of = [&](const char* name, Time& into) {
      if (const auto it = r->find(name); it != r->end() && it->is_number())
        into = static_cast<Time>(std::clamp(it->get<double>(), 0.0, 4e12)) * maintenance::kMillisecond;
    };
    word("machine", request.machine), word("rack", request.rack), word("zone", request.zone);
    word("region", request.region), words("nodes", request.endpoints), words("brokers", request.brokers);
    ms_of("earliest_ms", request.earliest_start), ms_of("latest_ms", request.latest_end);
    ms_of("length_ms", request.duration);
    if (const auto p = r->find("priority"); p != r->end() && p->is_number_integer())
      request.priority = static_cast<int>(std::clamp<std::int64_t>(p->get<std::int64_t>(), -1000, 1000));
    if (const auto e = r->find("emergency"); e != r->end() && e->is_boolean())
      request.is_emergency = e->get<bool>();
    op.request = std::move(request);
  }
  const int said = op.request.has_value() + op.hold.has_value() + op.resume.has_value() +
                   op.cancel.has_value() + op.done.has_value();
  if (said != 1) return std::nullopt;
  return maintenance::encode_operation(op);
}

// A proposal whose answer is awaited; its asker may leave before.
struct Operators::Waiting {
  evhttp_request* request;
  std::shared_ptr<bool> here;
  Operators* home;
};

void Operators::propose(evhttp_request* r) {
  evbuffer* in = evhttp_request_get_input_buffer(r);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_copyout(in, body.data(), body.size());
  const auto j = nlohmann::json::parse(body, nullptr, false);
  const auto field = [&](const char* name) {
    const auto it = j.find(name);
    return it != j.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  if (!j.is_object()) return reply(r, 400, text({{"error", "the body is not a JSON object"}}));
  shared_config::Entry e;
  const std::string kind = field("kind");
  if (kind == "version")
    e.kind = shared_config::Entry::Kind::propose;
  else if (kind == "ground")
    e.kind = shared_config::Entry::Kind::propose_ground;
  else if (kind == "strike")
    e.kind = shared_config::Entry::Kind::strike;
  else if (kind == "order")
    e.kind = shared_config::Entry::Kind::order;
  else if (kind == "work")
    e.kind = shared_config::Entry::Kind::board;
  else
    return reply(r, 400, text({{"error", "kind is neither version, ground, strike, order nor work"}}));
  e.text = field("rules");
  if (e.kind == shared_config::Entry::Kind::board) {
    const auto op = work_op(j);
    if (!op)
      return reply(
          r, 400,
          text({{"error", "of a work one thing must be said: request, hold, resume, cancel or done"}}));
    e.text = *op;
  }
  e.id = field("id"), e.name = field("name"), e.who = field("who"), e.why = field("why");
  if (e.id.empty() || e.id.size() > 64 || e.who.empty() || e.who.size() > 256 || e.why.empty() ||
      e.why.size() > 1024)
    return reply(r, 400, text({{"error", "id, who and why must be stated, and short"}}));
  if (const auto b = j.find("base"); b != j.end() && b->is_number_unsigned())
    e.base = b->get<std::uint64_t>();
  if (waiting_ >= kWaitingMost) return reply(r, 503, text({{"error", "too many proposals wait"}}));
  ++waiting_;
  // The library frees it once it is answered; should its connection go before, it is left to this.
  evhttp_request_own(r);
  auto waiting = std::make_shared<Waiting>(Waiting{r, here_, this});
  fleet_.propose(std::move(e), [waiting](const std::optional<shared_config::Verdict>& v) {
    if (!*waiting->here) return evhttp_request_free(waiting->request);
    --waiting->home->waiting_;
    evhttp_request* request = waiting->request;
    if (!evhttp_request_get_connection(request)) return evhttp_request_free(request);
    if (!v)
      reply(request, 504, text({{"error", "no verdict in time; it may yet be taken: ask with the same id"}}));
    else if (v->number)
      reply(request, 200, text({{"number", v->number}}));
    else
      reply(request, 409, text({{"refused", v->refused}}));
  });
}

}  // namespace cairnhub::cluster
