#include "opensearch/response.h"

#include <algorithm>

namespace cairnhub::opensearch {

namespace {

// Room for what follows the hits of a search without aggregations.
constexpr std::size_t kTailBytes = 32;
// An error shows at most this much of a name that a client sent.
constexpr std::size_t kMaxShownNameBytes = 80;

json failure_reason(const ShardFailure& failure) {
  const auto reason_object = [](const char* type, const std::string& reason) {
    return json{{"type", type}, {"reason", reason}};
  };
  switch (failure.kind) {
    case ShardFailure::Kind::kNoReplica:
      return reason_object("no_shard_available_action_exception", "no copy of the block could be asked");
    case ShardFailure::Kind::kNotConnected:
      return reason_object("connect_transport_exception", "the node could not be reached");
    case ShardFailure::Kind::kRejected:
      return reason_object("rejected_execution_exception", "the node turned it away");
    case ShardFailure::Kind::kDisconnected:
      return reason_object("node_disconnected_exception", "the connection broke while it was out");
    case ShardFailure::Kind::kTimedOut:
      return reason_object("timeout_exception", "no answer in time");
    case ShardFailure::Kind::kError:
      return reason_object("remote_transport_exception", "the node answered with an error");
    case ShardFailure::Kind::kInvalidAnswer:
      return reason_object("parsing_exception", "the node's answer can't be used: " + failure.detail);
    case ShardFailure::Kind::kNoMemory:
      return reason_object("circuit_breaking_exception", "no memory for the node's answer");
  }
  return nullptr;
}

// Returns the `failures` array of the API, one entry per shard. Equal failures are not grouped.
json failures_json(const ShardSummary& shards) {
  json failures = json::array();
  for (const ShardFailure& failure : shards.failures) {
    failures.push_back({{"shard", failure.shard},
                        {"index", failure.index},
                        {"node", failure.node.empty() ? json(nullptr) : json(failure.node)},
                        {"reason", failure_reason(failure)},
                        {"may_have_run", !is_known_not_run(failure.kind)}});
  }
  return failures;
}

ApiResponse phase_failed_response(const ShardSummary& shards, const char* reason) {
  json cause = shards.failures.empty()
                   ? json{{"type", "search_phase_execution_exception"}, {"reason", reason}}
                   : failure_reason(shards.failures.front());
  return {503, json_text({{"error",
                           {{"root_cause", json::array({cause})},
                            {"type", "search_phase_execution_exception"},
                            {"reason", reason},
                            {"phase", "query"},
                            {"grouped", false},
                            {"failed_shards", failures_json(shards)}}},
                          {"status", 503}})};
}

}  // namespace

bool is_known_not_run(ShardFailure::Kind kind) {
  return kind == ShardFailure::Kind::kNoReplica || kind == ShardFailure::Kind::kNotConnected ||
         kind == ShardFailure::Kind::kRejected;
}

json shards_json(const ShardSummary& shards) {
  const int failed = static_cast<int>(shards.failures.size());
  json out{{"total", shards.total},
           {"successful", shards.total - failed},
           {"skipped", shards.skipped},
           {"failed", failed}};
  if (failed) out["failures"] = failures_json(shards);
  return out;
}

ApiResponse search_response(const Search& search, const MergedResult& merged, const ShardSummary& shards,
                            bool is_complete, std::int64_t took_ms) {
  if (!is_complete && search.allows_partial == false) {
    return phase_failed_response(shards, "Partial shards failure");
  }
  const bool has_timed_out =
      std::any_of(shards.failures.begin(), shards.failures.end(),
                  [](const ShardFailure& failure) { return failure.kind == ShardFailure::Kind::kTimedOut; });
  json head{{"took", took_ms}, {"timed_out", has_timed_out}, {"_shards", shards_json(shards)}};
  json hits = json::object();
  if (search.tracks_total) {
    hits["total"] = {{"value", merged.total}, {"relation", merged.is_total_exact ? "eq" : "gte"}};
  }
  hits["max_score"] = merged.max_score ? json(*merged.max_score) : json(nullptr);
  // The hits are inserted as received, without parsing them again.
  std::string body = json_text(head);
  body.pop_back();
  std::string hits_text = json_text(hits);
  hits_text.pop_back();
  body += ",\"hits\":" + hits_text + ",\"hits\":[";
  std::size_t page_bytes = 0;
  for (const auto& ranked : merged.page) page_bytes += ranked.hit->raw.size() + 1;
  body.reserve(body.size() + page_bytes + kTailBytes);
  for (std::size_t i = 0; i < merged.page.size(); ++i) {
    body += i ? "," : "";
    body += merged.page[i].hit->raw;
  }
  body += "]}";
  if (!search.aggregations.empty()) body += ",\"aggregations\":" + json_text(merged.aggregations);
  return {200, body + "}"};
}

ApiResponse count_response(const MergedResult& merged, const ShardSummary& shards, bool is_complete) {
  json out{{"count", merged.total}, {"_shards", shards_json(shards)}};
  if (!is_complete) out["terminated_early"] = true;  // shards without an answer are not counted
  return {200, json_text(out)};
}

ApiResponse too_many_requests_response() {
  return {429,
          error_body({429, "rejected_execution_exception", "too much in hand; trying again is harmless"})};
}

ApiResponse all_shards_failed_response(const ShardSummary& shards) {
  return phase_failed_response(shards, "all shards failed");
}

ApiError index_not_found(const std::string& index) {
  return {404, "index_not_found_exception", "no such index [" + index.substr(0, kMaxShownNameBytes) + "]"};
}

ApiResponse error_response(const ApiError& error) { return {error.status, error_body(error)}; }

}  // namespace cairnhub::opensearch
