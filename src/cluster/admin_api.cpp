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

std::string to_text(const json& j) { return j.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"; }
double milliseconds(Time t) { return static_cast<double>(t / 1000) / 1000; }

json version_json(const shared_config::Version& v) {
  return {{"number", v.number}, {"hash", v.hash}, {"who", v.who},
          {"why", v.why},       {"id", v.id},     {"rules", v.text}};
}

}  // namespace

AdminApi::AdminApi(event_base* base, ClusterNode& node) : node_(node), http_(evhttp_new(base)) {
  const std::string& address = node.options().admin_address;
  const auto colon = address.rfind(':');
  evhttp_set_max_body_size(http_, 256 << 10);
  evhttp_set_max_headers_size(http_, 8 << 10);
  evhttp_set_timeout(http_, 30);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* self) {
        guarded("operators", [&] { static_cast<AdminApi*>(self)->handle_request(request); });
      },
      this);
  if (evhttp_bind_socket(http_, address.substr(0, colon).c_str(),
                         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))) != 0) {
    evhttp_free(http_);
    throw std::runtime_error("fleet.operators: can't listen on " + address);
  }
}

AdminApi::~AdminApi() {
  *is_alive_ = false;
  evhttp_free(http_);
}

void AdminApi::send_reply(evhttp_request* request, int status, const std::string& body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, out);
  evbuffer_free(out);
}

void AdminApi::handle_request(evhttp_request* request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* raw_path = uri ? evhttp_uri_get_path(uri) : nullptr;
  const std::string path = raw_path ? raw_path : "";
  const bool is_get = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
  if (is_get && path == "/peers") return send_reply(request, 200, peers_json());
  if (!node_.shared_config_node() && path.rfind("/accord/", 0) == 0)
    return send_reply(request, 404, to_text({{"error", "fleet.accord is not configured on this broker"}}));
  if (is_get && path == "/accord/status") return send_reply(request, 200, status_json());
  if (is_get && path == "/accord/history") return send_reply(request, 200, history_json());
  if (is_get && path == "/upkeep") {
    if (!node_.maintenance_agent())
      return send_reply(request, 404, to_text({{"error", "fleet.upkeep is not configured on this broker"}}));
    return send_reply(request, 200, maintenance_json());
  }
  if (path == "/zones" && !node_.zone_failover())
    return send_reply(request, 404, to_text({{"error", "fleet.zones is not configured on this broker"}}));
  if (is_get && path == "/zones") return send_reply(request, 200, zones_json());
  if (is_get && path == "/zones/crossing" && node_.cross_zone_budget())
    return send_reply(request, 200, cross_zone_traffic_json());
  if (!is_get && path == "/accord/propose") return propose(request);
  send_reply(request, 404, to_text({{"error", "no such path"}}));
}

std::string AdminApi::peers_json() const {
  const auto& membership = node_.membership();
  json members = json::array();
  for (const auto* member : membership.members().all())
    members.push_back({{"name", member->update.name},
                       {"health", membership::name_of(member->update.state)},
                       {"incarnation", member->update.incarnation},
                       {"address", member->address()},
                       {"stated", member->is_configured}});
  const auto& counters = membership.counters();
  const auto& gossip = node_.gossip();
  json dropped;
  for (const auto reason : transport::kDropReasons)
    dropped[transport::name_of(reason)] = node_.transport().drop_count(reason);
  const auto& transport_counters = node_.transport().counters();
  return to_text({{"name", membership.self().name},
                  {"incarnation", membership.self().incarnation},
                  {"local_health", membership.local_health_score()},
                  {"alive", membership.live_member_count()},
                  {"peers", members},
                  {"pings", counters.probes},
                  {"pings_failed", counters.probes_failed},
                  {"suspected", counters.suspicions},
                  {"refuted", counters.refutations},
                  {"conflicts", counters.address_conflicts},
                  {"lists",
                   {{"own", gossip.own_revision()},
                    {"newest", gossip.newest_revision()},
                    {"behind", gossip.is_behind()},
                    {"withholding", gossip.withheld_count()}}},
                  {"talk",
                   {{"bytes_out", transport_counters.bytes_sent},
                    {"bytes_in", transport_counters.bytes_received},
                    {"not_sent", transport_counters.messages_not_sent},
                    {"dropped", dropped}}}});
}

std::string AdminApi::status_json() const {
  const auto status = node_.shared_config_node()->status(now());
  json voters = json::array();
  for (const auto& voter : status.voters) voters.push_back({{"name", voter.name}, {"votes", voter.is_voter}});
  return to_text(
      {{"name", node_.options().name},
       {"acts_on", status.active_config.low
                       ? json{{"low", status.active_config.low}, {"high", status.active_config.high}}
                       : json("ground")},
       {"ground", status.baseline},
       {"ground_next", status.next_baseline},
       {"lease_left_ms", milliseconds(status.lease_remaining)},
       {"rules", shared_config::canonical_text(*status.active_config.rules)},
       {"hash", shared_config::content_hash(shared_config::canonical_text(*status.active_config.rules))},
       {"leader", status.leader},
       {"leads", status.is_leader},
       {"term", status.term},
       {"votes", status.is_voter},
       {"store_failed", status.has_store_failed},
       {"have", status.newest_held},
       {"newest", status.newest},
       {"in_force", status.in_force},
       {"voters", voters},
       {"force_waits_for", status.brokers_delaying_version},
       {"ground_waits_for", status.brokers_delaying_baseline}});
}

std::string AdminApi::history_json() const {
  json versions = json::array();
  for (const auto& version : node_.shared_config_node()->history()) versions.push_back(version_json(version));
  const auto& holder = node_.shared_config_node()->lease_client();
  json history{{"versions", versions}, {"ground", version_json(holder.baseline())}};
  if (holder.next_baseline()) history["ground_next"] = version_json(*holder.next_baseline());
  return to_text(history);
}

// Every broker reports the zone limits that it acts on; the leader adds the evidence for its decisions.
std::string AdminApi::zones_json() const {
  const auto& zone_failover = *node_.zone_failover();
  // Without a shared configuration the broker decides by itself and keeps versions of its own.
  const shared_config::VersionHistory* standalone = node_.standalone_zone_versions();
  const auto status =
      standalone ? shared_config::SharedConfigStatus{} : node_.shared_config_node()->status(now());
  const auto& versions =
      standalone ? standalone->versions() : node_.shared_config_node()->lease_client().versions();
  const auto at = versions.find(standalone ? standalone->newest() : status.active_config.high);
  const shared_config::RuleSet& rules = standalone ? *at->second.rules : *status.active_config.rules;
  json acts = json::object();
  json states = json::object();
  json shares = json::array();
  json seen = json::array();
  json orders = json::object();
  const auto& limits = node_.zones();
  for (std::size_t i = 0; i < limits.size(); ++i)
    acts[zone_failover.zone_name(static_cast<int>(i))] = static_cast<int>(1000 * limits[i].max_share + 0.5);
  if (at != versions.end())
    for (const auto& note = zone_failover::parse_decision(at->second.note);
         const auto* all : {&note.zones, &note.regions})
      for (const auto& [name, zone_state] : *all)
        states[all == &note.zones ? name : zone_failover::region_key(name)] = {
            {"state", zone_failover::name_of(zone_state.state)},
            {"share", zone_state.local_share_thousandths}};
  for (const auto& [pair, max_share] : rules.zone_shares.thousandths_by_pair)
    shares.push_back({{"from", pair.first}, {"to", pair.second}, {"most", max_share}});
  json out{{"name", node_.options().name},
           {"home", zone_failover.options().home_zone},
           {"leader", status.leader},
           {"leads", status.is_leader || standalone},
           {"version", standalone ? standalone->newest() : status.active_config.high},
           {"why", at == versions.end() ? "" : at->second.why},
           {"acts_on", acts},
           {"states", states},
           {"otherwise", rules.zone_shares.default_thousandths},
           {"shares", shares}};
  if (!status.is_leader && !standalone) return to_text(out);
  for (const auto& explanation : zone_failover.explain())
    seen.push_back({{"zone", explanation.zone},
                    {"state", zone_failover::name_of(explanation.state)},
                    {"share", explanation.local_share_thousandths},
                    {"ordered", explanation.order},
                    {"looks", zone_failover::name_of(explanation.health.status)},
                    {"why", explanation.health.reason},
                    {"wanted", explanation.health.demand_per_second},
                    {"load", explanation.health.load_per_second},
                    {"capacity", explanation.health.capacity_per_second},
                    {"hosts", explanation.health.endpoints_in_service},
                    {"brokers", explanation.health.reporting_brokers}});
  json cut = json::array();
  for (const auto& [from, to] : zone_failover.health_view().broken_links)
    cut.push_back({{"from", from}, {"to", to}});
  for (const auto& [zone, order] :
       (standalone ? *standalone : node_.shared_config_node()->raft_node()->versions()).zone_orders())
    orders[zone] = {{"what", order.action}, {"who", order.who}, {"why", order.why}};
  out["seen"] = seen;
  out["cut"] = cut;
  out["outvoted"] = zone_failover.health_view().outvoted_brokers;
  out["orders"] = orders;
  out["next"] = zone_failover.reason();
  return to_text(out);
}

// Returns the attempts and bytes between this broker and each zone, by request class, and the state of the
// byte budgets.
std::string AdminApi::cross_zone_traffic_json() const {
  const auto& zone_failover = *node_.zone_failover();
  const auto& budget = *node_.cross_zone_budget();
  const auto& names = node_.request_classes();
  json table = json::array();
  json budgets = json::array();
  for (const auto& [key, counters] : budget.counters())
    table.push_back({{"zone", zone_failover.zone_name(key.first)},
                     {"crosses", key.first != 0},
                     {"op_type", key.second < 0 ? "" : names.at(static_cast<std::size_t>(key.second))},
                     {"parts", counters.attempts},
                     {"out", counters.bytes_out},
                     {"in", counters.bytes_in},
                     {"parts_over_budget", counters.attempts_over_budget},
                     {"bytes_over_budget", counters.bytes_over_budget}});
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto state = budget.budget_state(now(), static_cast<int>(i));
    if (state.bytes_per_second == zone_failover::kNoBudget) continue;
    budgets.push_back({{"op_type", names[i]},
                       {"bytes_a_second", state.bytes_per_second},
                       {"left", static_cast<long long>(state.remaining_bytes)},
                       {"a_send", static_cast<long long>(state.expected_attempt_bytes)},
                       {"sends_out", state.attempts_in_flight},
                       {"spent", budget.is_exhausted(now(), static_cast<int>(i))}});
  }
  return to_text({{"name", node_.options().name},
                  {"home", zone_failover.options().home_zone},
                  {"table", table},
                  {"budgets", budgets}});
}

// Returns the maintenance jobs in the log. The leader adds the reason why each job waits and the job's
// planned start.
std::string AdminApi::maintenance_json() const {
  const auto status = node_.shared_config_node()->status(now());
  const auto* queue = node_.maintenance_agent()->job_queue();
  json out{{"name", node_.options().name}, {"leader", status.leader}, {"leads", status.is_leader && queue}};
  if (!status.is_leader || !queue) return to_text(out);
  const auto& waits = node_.maintenance_agent()->controller().waiting_reasons();
  json jobs = json::array();
  json plan = json::array();
  json nodes = json::array();
  for (const auto& [number, job] : queue->jobs()) {
    const auto it = waits.find(number);
    std::string why = it == waits.end() ? "" : it->second;
    if (job.state == maintenance::JobState::kQueued && why.empty())
      why = queue->blocking_reason(job.request, number);
    jobs.push_back(
        {{"number", number},
         {"machine", job.request.machine},
         {"step", maintenance::job_state_name(job.state)},
         {"held", job.is_held},
         {"since_ms", job.state_since / maintenance::kMillisecond},
         {"last", job.state_reason},
         {"waits", why},
         {"who", job.requested_by},
         {"why", job.reason},
         {"nodes", job.request.endpoints},
         {"brokers", job.request.brokers},
         {"zone", job.request.zone},
         {"region", job.request.region},
         {"rack", job.request.rack},
         {"endangers", job.is_open() ? json(queue->shards_below_min_replicas(job.request)) : json::array()}});
  }
  // The plan uses the time of the last fleet status in the log, so every voter computes the same plan.
  for (const auto& planned : maintenance::plan_jobs(*queue, queue->fleet_status_at())) {
    const auto& job = queue->jobs().at(planned.job);
    plan.push_back({{"work", planned.job},
                    {"machine", job.request.machine},
                    {"start_ms", planned.start == kNever ? 0 : planned.start / maintenance::kMillisecond},
                    {"length_ms", (job.request.duration + queue->fleet_status().limits.transition_time) /
                                      maintenance::kMillisecond},
                    {"in_time", planned.is_in_time}});
  }
  const std::set<std::string> out_nodes = queue->endpoints_out();
  for (const auto& [name, endpoint] : queue->fleet_status().endpoints)
    nodes.push_back({{"name", name},
                     {"cell", endpoint.ring_position},
                     {"zone", endpoint.zone},
                     {"ready", endpoint.is_ready},
                     {"warm", endpoint.is_warm},
                     {"out", out_nodes.count(name) != 0}});
  out["held"] = queue->is_held();
  out["works"] = jobs;
  out["plan"] = plan;
  out["facts"] = {{"revision", queue->fleet_status().revision},
                  {"cells", queue->fleet_status().ring_size},
                  {"width", queue->fleet_status().replicas_per_shard},
                  {"holders_least", queue->fleet_status().limits.min_warm_replicas},
                  {"nodes", nodes}};
  return to_text(out);
}

// Returns an operator's request on maintenance jobs, encoded for the log entry; nothing if the request is not
// well-formed.
std::optional<std::string> AdminApi::parse_job_operation(const nlohmann::json& body) {
  maintenance::JobOperation operation;
  timespec wall_time{};
  clock_gettime(CLOCK_REALTIME, &wall_time);
  operation.stated_at = static_cast<Time>(wall_time.tv_sec) * kSecond + wall_time.tv_nsec;
  const auto number = [&](const char* name) -> std::optional<std::uint64_t> {
    const auto it = body.find(name);
    if (it == body.end() || !it->is_number_unsigned()) return std::nullopt;
    return it->get<std::uint64_t>();
  };
  operation.hold = number("hold");
  operation.resume = number("resume");
  operation.cancel = number("cancel");
  operation.done = number("done");
  if (const auto member = body.find("request"); member != body.end() && member->is_object()) {
    maintenance::JobRequest request;
    const auto read_string = [&](const char* name, std::string& into) {
      if (const auto it = member->find(name); it != member->end() && it->is_string())
        into = it->get<std::string>();
    };
    const auto read_strings = [&](const char* name, std::vector<std::string>& into) {
      if (const auto it = member->find(name); it != member->end() && it->is_array())
        for (const auto& element : *it)
          if (element.is_string()) into.push_back(element.get<std::string>());
    };
    const auto read_milliseconds = [&](const char* name, Time& into) {
      if (const auto it = member->find(name); it != member->end() && it->is_number())
        into = static_cast<Time>(std::clamp(it->get<double>(), 0.0, 4e12)) * maintenance::kMillisecond;
    };
    read_string("machine", request.machine);
    read_string("rack", request.rack);
    read_string("zone", request.zone);
    read_string("region", request.region);
    read_strings("nodes", request.endpoints);
    read_strings("brokers", request.brokers);
    read_milliseconds("earliest_ms", request.earliest_start);
    read_milliseconds("latest_ms", request.latest_end);
    read_milliseconds("length_ms", request.duration);
    if (const auto priority = member->find("priority");
        priority != member->end() && priority->is_number_integer())
      request.priority =
          static_cast<int>(std::clamp<std::int64_t>(priority->get<std::int64_t>(), -1000, 1000));
    if (const auto emergency = member->find("emergency");
        emergency != member->end() && emergency->is_boolean())
      request.is_emergency = emergency->get<bool>();
    operation.request = std::move(request);
  }
  const int operations = operation.request.has_value() + operation.hold.has_value() +
                         operation.resume.has_value() + operation.cancel.has_value() +
                         operation.done.has_value();
  if (operations != 1) return std::nullopt;
  return maintenance::encode_operation(operation);
}

// A proposal that waits for its verdict. The client may disconnect before the verdict arrives.
struct AdminApi::PendingProposal {
  evhttp_request* request;
  std::shared_ptr<bool> api_is_alive;
  AdminApi* api;
};

void AdminApi::propose(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  const auto json_body = nlohmann::json::parse(body, nullptr, false);
  const auto field = [&](const char* name) {
    const auto it = json_body.find(name);
    return it != json_body.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  if (!json_body.is_object())
    return send_reply(request, 400, to_text({{"error", "the body is not a JSON object"}}));
  shared_config::ConfigEntry entry;
  const std::string kind = field("kind");
  if (kind == "version")
    entry.kind = shared_config::ConfigEntry::Kind::kProposeVersion;
  else if (kind == "ground")
    entry.kind = shared_config::ConfigEntry::Kind::kProposeBaseline;
  else if (kind == "strike")
    entry.kind = shared_config::ConfigEntry::Kind::kRemoveBroker;
  else if (kind == "order")
    entry.kind = shared_config::ConfigEntry::Kind::kSetZoneOrder;
  else if (kind == "work")
    entry.kind = shared_config::ConfigEntry::Kind::kStateMachine;
  else
    return send_reply(request, 400,
                      to_text({{"error", "kind is neither version, ground, strike, order nor work"}}));
  entry.text = field("rules");
  if (entry.kind == shared_config::ConfigEntry::Kind::kStateMachine) {
    const auto operation = parse_job_operation(json_body);
    if (!operation)
      return send_reply(
          request, 400,
          to_text({{"error", "a work takes exactly one of request, hold, resume, cancel and done"}}));
    entry.text = *operation;
  }
  entry.id = field("id");
  entry.name = field("name");
  entry.who = field("who");
  entry.why = field("why");
  if (entry.id.empty() || entry.id.size() > 64 || entry.who.empty() || entry.who.size() > 256 ||
      entry.why.empty() || entry.why.size() > 1024)
    return send_reply(
        request, 400,
        to_text({{"error", "id (at most 64 bytes), who (at most 256) and why (at most 1024) are required"}}));
  if (const auto base = json_body.find("base"); base != json_body.end() && base->is_number_unsigned())
    entry.base = base->get<std::uint64_t>();
  if (pending_proposals_ >= kMaxPendingProposals)
    return send_reply(request, 503,
                      to_text({{"error", std::to_string(kMaxPendingProposals) +
                                             " proposals are pending already, try again later"}}));
  ++pending_proposals_;
  // libevent frees the request once it is answered. If the connection closes before that, this code has to
  // free the request.
  evhttp_request_own(request);
  auto pending = std::make_shared<PendingProposal>(PendingProposal{request, is_alive_, this});
  node_.propose(std::move(entry), [pending](const std::optional<shared_config::ApplyResult>& verdict) {
    if (!*pending->api_is_alive) return evhttp_request_free(pending->request);
    --pending->api->pending_proposals_;
    evhttp_request* client_request = pending->request;
    if (!evhttp_request_get_connection(client_request)) return evhttp_request_free(client_request);
    if (!verdict)
      send_reply(
          client_request, 504,
          to_text({{"error",
                    "no verdict in time; the proposal may still be accepted: repeat it with the same id"}}));
    else if (verdict->number)
      send_reply(client_request, 200, to_text({{"number", verdict->number}}));
    else
      send_reply(client_request, 409, to_text({{"refused", verdict->rejection}}));
  });
}

}  // namespace cairnhub::cluster
