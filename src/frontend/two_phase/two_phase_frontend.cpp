#include "frontend/two_phase/two_phase_frontend.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::two_phase {

namespace {

using nlohmann::ordered_json;

ordered_json phase(const cairnhub::two_phase::Report::Phase& p) {
  return {{"asked", p.asked}, {"answered", p.answered}, {"missing", p.missing}, {"whole", p.whole}};
}

// The client of one two-phase multiget: what came of it, in JSON. Details go in as the bytes that hosts gave.
class Waiting : public dispatch::TwoPhaseCallbacks {
 public:
  explicit Waiting(std::unique_ptr<dispatch::Responder> reply) : reply_(std::move(reply)) {}
  void on_response(const cairnhub::two_phase::Plan& plan, bool whole) override {
    const cairnhub::two_phase::Report r = plan.report();
    ordered_json head{{"whole", whole}, {"why", r.why}, {"match", phase(r.match)}, {"fetch", phase(r.fetch)}};
    head["match"]["blocks"] = r.blocks;
    head["match"]["pruned"] = r.pruned;
    head["match"]["matches"] = r.matches;
    head["match"]["again"] = r.rematched;
    ordered_json versions = ordered_json::object();
    for (int b = 0; b < r.blocks; ++b)
      if (const auto v = plan.version_of(b); !v.empty()) versions[std::to_string(plan.block(b).shard)] = v;
    head["match"]["versions"] = std::move(versions);
    std::string body = head.dump();
    body.back() = ',';
    body += "\"stalls\":[";
    bool first = true;
    plan.each_stall([&](int block, const std::string& id, double score, std::string_view detail) {
      if (!std::exchange(first, false)) body += ',';
      body += ordered_json{{"block", block}, {"stall", id}, {"score", score}}.dump();
      if (detail.empty()) return;
      body.back() = ',';
      body.append("\"detail\":").append(detail) += '}';
    });
    reply_->respond(200, "", body + "]}");
  }
  void on_rejected(Time come_back) override {
    reply_->respond(503, frontend::platform::come_back_text(come_back),
                    "not now; trying again is harmless\n");
  }

 private:
  std::unique_ptr<dispatch::Responder> reply_;
};

// Milliseconds, decimals allowed.
bool budget(const nlohmann::json& v, std::optional<Time>& into) {
  if (!v.is_number() || !(v.get<double>() > 0) || v.get<double>() > 1e9) return false;
  into = static_cast<Time>(std::llround(v.get<double>() * 1e6));
  return true;
}

}  // namespace

std::string read_body(std::string_view text, const frontend::platform::Admit& admit, dispatch::Request& parts,
                      cairnhub::two_phase::Query& into) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) return "the body is not a JSON object";
  bool asks = false;
  for (const auto& [key, v] : body.items()) {
    if (key == "buckets") continue;
    if (key == "query") {
      if (!v.is_string()) return "query is not text";
      into.text = v.get<std::string>(), asks = true;
    } else if (key == "limit") {
      if (!v.is_number_unsigned()) return "limit is not a whole number from 0 up";
      into.limit = v.get<std::size_t>();
    } else if (key == "match_ms") {
      if (!budget(v, into.match_budget)) return "match_ms is not a number of milliseconds above 0";
    } else if (key == "fetch_ms") {
      if (!budget(v, into.fetch_budget)) return "fetch_ms is not a number of milliseconds above 0";
    } else {
      return "'" + key.substr(0, 40) + "' is not known here";
    }
  }
  if (!asks) return "query is missing";
  if (const char* wrong = admit.read_parts(body, parts)) return wrong;
  for (const auto& p : parts.shard_requests) into.blocks.push_back({p->shard, p->weight});
  return "";
}

std::function<void()> Front::take(const frontend::platform::Asked& said,
                                  std::unique_ptr<dispatch::Responder> reply) {
  frontend::platform::Asked asked = said;
  asked.op_type = said.path.substr(kPath.size());
  if (said.method != "POST") return reply->respond(405, "", "only POST here\n"), nullptr;
  dispatch::Request head;
  cairnhub::two_phase::Query query;
  if (const char* wrong = admit_.read_head(asked, head)) {
    reply->respond(frontend::platform::Admit::status_of(wrong), "", std::string(wrong) + "\n");
  } else if (!phased_.is_allowed(head.request_class)) {
    reply->respond(403, "", "two-phase multigets of this op type are not allowed\n");
  } else if (phased_.contains(head.name)) {
    reply->respond(400, "", "X-Txn is that of a request in hand\n");
  } else if (const std::string wrong = read_body(asked.body, admit_, head, query); !wrong.empty()) {
    reply->respond(400, "", wrong + "\n");
  } else if (admit_.full()) {
    reply->respond(503, "", "too many in hand\n");
  } else {
    query.left = head.time_left;
    return phased_.start(head.name, head.request_class, head.is_client_retry, std::move(query),
                         std::make_unique<Waiting>(std::move(reply)));
  }
  return nullptr;
}

}  // namespace cairnhub::frontend::two_phase
