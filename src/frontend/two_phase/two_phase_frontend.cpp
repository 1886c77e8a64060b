#include "frontend/two_phase/two_phase_frontend.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::two_phase {

namespace {

using nlohmann::ordered_json;

ordered_json phase_json(const cairnhub::two_phase::QueryReport::Phase& phase) {
  return {{"asked", phase.asked},
          {"answered", phase.answered},
          {"missing", phase.missing},
          {"whole", phase.is_complete}};
}

// Responds to a two-phase query in JSON. Details are inserted as the unchanged bytes that endpoints returned.
class JsonCallbacks : public dispatch::TwoPhaseCallbacks {
 public:
  explicit JsonCallbacks(std::unique_ptr<dispatch::Responder> responder) : responder_(std::move(responder)) {}
  void on_response(const cairnhub::two_phase::QueryPlan& plan, bool is_complete) override {
    const cairnhub::two_phase::QueryReport report = plan.report();
    ordered_json head{{"whole", is_complete},
                      {"why", report.incomplete_reasons},
                      {"match", phase_json(report.match)},
                      {"fetch", phase_json(report.fetch)}};
    head["match"]["blocks"] = report.blocks;
    head["match"]["pruned"] = report.pruned;
    head["match"]["matches"] = report.matches;
    head["match"]["again"] = report.rematched;
    ordered_json versions = ordered_json::object();
    for (int i = 0; i < report.blocks; ++i) {
      if (const auto version = plan.version_of(i); !version.empty()) {
        versions[std::to_string(plan.block(i).shard)] = version;
      }
    }
    head["match"]["versions"] = std::move(versions);
    std::string body = head.dump();
    body.reserve(body.size() + plan.memory_bytes());
    body.back() = ',';
    body += "\"stalls\":[";
    bool is_first = true;
    plan.for_each_stall([&](int shard, const std::string& id, double score, std::string_view detail) {
      if (!std::exchange(is_first, false)) body += ',';
      body += ordered_json{{"block", shard}, {"stall", id}, {"score", score}}.dump();
      if (detail.empty()) return;
      body.back() = ',';
      body.append("\"detail\":").append(detail) += '}';
    });
    responder_->respond(200, "", body + "]}");
  }
  void on_rejected(Time retry_after) override {
    responder_->respond(503, frontend::platform::retry_after_text(retry_after),
                        "not now; trying again is harmless\n");
  }

 private:
  std::unique_ptr<dispatch::Responder> responder_;
};

// Parses a number of milliseconds, which may have decimals.
bool parse_budget(const nlohmann::json& value, std::optional<Time>& budget) {
  if (!value.is_number() || !(value.get<double>() > 0) || value.get<double>() > 1e9) return false;
  budget = static_cast<Time>(std::llround(value.get<double>() * 1e6));
  return true;
}

}  // namespace

std::string parse_body(std::string_view text, const frontend::platform::RequestParser& request_parser,
                       dispatch::Request& request, cairnhub::two_phase::Query& query) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) return "the body is not a JSON object";
  bool has_query = false;
  for (const auto& [key, value] : body.items()) {
    if (key == "buckets") continue;
    if (key == "query") {
      if (!value.is_string()) return "query is not text";
      query.text = value.get<std::string>();
      has_query = true;
    } else if (key == "limit") {
      if (!value.is_number_unsigned()) return "limit is not a whole number from 0 up";
      query.limit = value.get<std::size_t>();
    } else if (key == "match_ms") {
      if (!parse_budget(value, query.match_budget)) return "match_ms is not a number of milliseconds above 0";
    } else if (key == "fetch_ms") {
      if (!parse_budget(value, query.fetch_budget)) return "fetch_ms is not a number of milliseconds above 0";
    } else {
      return "'" + key.substr(0, 40) + "' is not known here";
    }
  }
  if (!has_query) return "query is missing";
  if (const char* error = request_parser.parse_shard_requests(body, request)) return error;
  for (const auto& shard_request : request.shard_requests) {
    query.blocks.push_back({shard_request->shard, shard_request->weight});
  }
  return "";
}

std::function<void()> TwoPhaseFrontend::handle(const frontend::platform::ClientRequest& client_request,
                                               std::unique_ptr<dispatch::Responder> responder) {
  frontend::platform::ClientRequest class_request = client_request;
  class_request.class_name = client_request.path.substr(kPathPrefix.size());
  if (client_request.method != "POST") {
    responder->respond(405, "", "only POST here\n");
    return nullptr;
  }
  dispatch::Request request;
  cairnhub::two_phase::Query query;
  if (const char* error = request_parser_.parse_head(class_request, request)) {
    responder->respond(frontend::platform::RequestParser::status_of(error), "", std::string(error) + "\n");
  } else if (!runner_.is_allowed(request.request_class)) {
    responder->respond(403, "", "two-phase multigets of this op type are not allowed\n");
  } else if (runner_.contains(request.name)) {
    responder->respond(400, "", "X-Txn is that of a request in hand\n");
  } else if (const std::string error = parse_body(class_request.body, request_parser_, request, query);
             !error.empty()) {
    responder->respond(400, "", error + "\n");
  } else if (request_parser_.is_full()) {
    responder->respond(503, frontend::platform::retry_after_text(request_parser_.rejection_retry_after()),
                       "too many in hand\n");
  } else {
    query.time_left = request.time_left;
    return runner_.start(request.name, request.request_class, request.is_client_retry, std::move(query),
                         std::make_unique<JsonCallbacks>(std::move(responder)));
  }
  return nullptr;
}

}  // namespace cairnhub::frontend::two_phase
