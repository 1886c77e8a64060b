#include "opensearch/response.h"

#include <algorithm>

namespace cairnhub::opensearch {

namespace {

std::string text(const json& v) { return v.dump(-1, ' ', false, json::error_handler_t::replace); }

json reason(const ShardFailure& f) {
  const auto why = [](const char* type, const std::string& reason) {
    return json{{"type", type}, {"reason", reason}};
  };
  switch (f.kind) {
    case ShardFailure::Kind::kNoReplica:
      return why("no_shard_available_action_exception", "no copy of the block could be asked");
    case ShardFailure::Kind::kNotConnected:
      return why("connect_transport_exception", "the node could not be reached");
    case ShardFailure::Kind::kRejected:
      return why("rejected_execution_exception", "the node turned it away");
    case ShardFailure::Kind::kDisconnected:
      return why("node_disconnected_exception", "the connection broke while it was out");
    case ShardFailure::Kind::kTimedOut:
      return why("timeout_exception", "no answer in time");
    case ShardFailure::Kind::kError:
      return why("remote_transport_exception", "the node answered with an error");
    case ShardFailure::Kind::kInvalidAnswer:
      return why("parsing_exception", "the node's answer can't be used: " + f.detail);
  }
  return nullptr;
}

// What the API calls failures, alike ones not grouped.
json failures_json(const ShardSummary& s) {
  json all = json::array();
  for (const ShardFailure& f : s.failures)
    all.push_back({{"shard", f.shard},
                   {"index", f.index},
                   {"node", f.node.empty() ? json(nullptr) : json(f.node)},
                   {"reason", reason(f)},
                   {"may_have_run", !is_known_not_run(f.kind)}});
  return all;
}

ApiResponse phase_failed(const ShardSummary& s, const char* what) {
  json cause = s.failures.empty() ? json{{"type", "search_phase_execution_exception"}, {"reason", what}}
                                  : reason(s.failures.front());
  return {503, text({{"error",
                      {{"root_cause", json::array({cause})},
                       {"type", "search_phase_execution_exception"},
                       {"reason", what},
                       {"phase", "query"},
                       {"grouped", false},
                       {"failed_shards", failures_json(s)}}},
                     {"status", 503}})};
}

}  // namespace

bool is_known_not_run(ShardFailure::Kind how) {
  return how == ShardFailure::Kind::kNoReplica || how == ShardFailure::Kind::kNotConnected ||
         how == ShardFailure::Kind::kRejected;
}

json shards_json(const ShardSummary& s) {
  const int failed = static_cast<int>(s.failures.size());
  json out{{"total", s.total}, {"successful", s.total - failed}, {"skipped", s.skipped}, {"failed", failed}};
  if (failed) out["failures"] = failures_json(s);
  return out;
}

ApiResponse search_response(const Search& s, const MergedResult& m, const ShardSummary& shards, bool whole,
                            std::int64_t took_ms) {
  if (!whole && s.allows_partial == false) return phase_failed(shards, "Partial shards failure");
  const bool late = std::any_of(shards.failures.begin(), shards.failures.end(), [](const ShardFailure& f) {
    return f.kind == ShardFailure::Kind::kTimedOut;
  });
  json head{{"took", took_ms}, {"timed_out", late}, {"_shards", shards_json(shards)}};
  json hits = json::object();
  if (s.tracks_total) hits["total"] = {{"value", m.total}, {"relation", m.total_exact ? "eq" : "gte"}};
  hits["max_score"] = m.max_score ? json(*m.max_score) : json(nullptr);
  std::string body = text(head);
  body.pop_back();
  std::string inner = text(hits);
  inner.pop_back();
  body += ",\"hits\":" + inner + ",\"hits\":[";
  for (std::size_t i = 0; i < m.page.size(); ++i) (body += i ? "," : "").append(m.page[i].hit->raw);
  body += "]}";
  if (!s.aggregations.empty()) body += ",\"aggregations\":" + text(m.aggregations);
  return {200, body + "}"};
}

ApiResponse count_response(const MergedResult& m, const ShardSummary& shards, bool whole) {
  json out{{"count", m.total}, {"_shards", shards_json(shards)}};
  if (!whole) out["terminated_early"] = true;  // the count holds only what is in
  return {200, text(out)};
}

ApiResponse too_many_requests_response() {
  return {429,
          error_body({429, "rejected_execution_exception", "too much in hand; trying again is harmless"})};
}

ApiResponse all_shards_failed_response(const ShardSummary& shards) {
  return phase_failed(shards, "all shards failed");
}

ApiResponse error_response(const ApiError& f) { return {f.status, error_body(f)}; }

}  // namespace cairnhub::opensearch
