#include "fleet/operators.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/log.h"

namespace cairnhub::fleet {

namespace {

using json = nlohmann::ordered_json;

std::string text(const json& j) { return j.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"; }
double ms(Time t) { return static_cast<double>(t / 1000) / 1000; }

json of(const accord::Version& v) {
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
  if (!get && path == "/accord/propose") return propose(r);
  reply(r, 404, text({{"error", "no such path"}}));
}

std::string Operators::peers() const {
  const auto& p = fleet_.peers();
  json all = json::array();
  for (const auto& [name, m] : p.members())
    all.push_back({{"name", name},
                   {"health", peers::name_of(m.rumour.health)},
                   {"incarnation", m.rumour.incarnation},
                   {"address", m.address()},
                   {"stated", m.stated}});
  const auto& c = p.counts();
  const auto& h = fleet_.hearsay();
  json dropped;
  for (int d = 1; d < talk::kDrops; ++d)
    dropped[talk::name_of(static_cast<talk::Drop>(d))] =
        fleet_.talk().sealer().dropped(static_cast<talk::Drop>(d));
  const auto& t = fleet_.talk().counts();
  return text(
      {{"name", p.self().name},
       {"incarnation", p.self().incarnation},
       {"local_health", p.local_health()},
       {"alive", p.alive()},
       {"peers", all},
       {"pings", c.pings},
       {"pings_failed", c.failed},
       {"suspected", c.suspected},
       {"refuted", c.refuted},
       {"conflicts", c.conflicts},
       {"lists",
        {{"own", h.own()}, {"newest", h.newest()}, {"behind", h.behind()}, {"withholding", h.withholding()}}},
       {"talk",
        {{"bytes_out", t.bytes_out},
         {"bytes_in", t.bytes_in},
         {"not_sent", t.not_sent},
         {"dropped", dropped}}}});
}

std::string Operators::status() const {
  const auto s = fleet_.accord()->status(now());
  json voters = json::array();
  for (const auto& v : s.voters) voters.push_back({{"name", v.name}, {"votes", v.votes}});
  return text(
      {{"name", fleet_.options().name},
       {"acts_on", s.acting.low ? json{{"low", s.acting.low}, {"high", s.acting.high}} : json("ground")},
       {"ground", s.ground},
       {"ground_next", s.ground_next},
       {"lease_left_ms", ms(s.lease_left)},
       {"rules", accord::text_of(*s.acting.rules)},
       {"hash", accord::hash_of(accord::text_of(*s.acting.rules))},
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
  accord::Entry e;
  const std::string kind = field("kind");
  if (kind == "version")
    e.kind = accord::Entry::Kind::propose;
  else if (kind == "ground")
    e.kind = accord::Entry::Kind::propose_ground;
  else if (kind == "strike")
    e.kind = accord::Entry::Kind::strike;
  else
    return reply(r, 400, text({{"error", "kind is neither version, ground nor strike"}}));
  e.id = field("id"), e.text = field("rules"), e.name = field("name"), e.who = field("who"),
  e.why = field("why");
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
  fleet_.propose(std::move(e), [waiting](const std::optional<accord::Verdict>& v) {
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

}  // namespace cairnhub::fleet
