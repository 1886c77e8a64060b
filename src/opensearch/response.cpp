#include "opensearch/response.h"

#include <algorithm>

namespace cairnhub::opensearch {

namespace {

std::string text(const json& v) { return v.dump(-1, ' ', false, json::error_handler_t::replace); }

json reason(const Failure& f) {
  const auto why = [](const char* type, const std::string& reason) {
    return json{{"type", type}, {"reason", reason}};
  };
  switch (f.how) {
    case Failure::How::no_holder:
      return why("no_shard_available_action_exception", "no copy of the block could be asked");
    case Failure::How::not_connected:
      return why("connect_transport_exception", "the node could not be reached");
    case Failure::How::rejected:
      return why("rejected_execution_exception", "the node turned it away");
    case Failure::How::broken:
      return why("node_disconnected_exception", "the connection broke while it was out");
    case Failure::How::timed_out:
      return why("timeout_exception", "no answer in time");
    case Failure::How::error:
      return why("remote_transport_exception", "the node answered with an error");
    case Failure::How::unusable:
      return why("parsing_exception", "the node's answer can't be used: " + f.detail);
  }
  return nullptr;
}

// What the API calls failures, alike ones not grouped.
json failures_json(const Shards& s) {
  json all = json::array();
  for (const Failure& f : s.failures)
    all.push_back({{"shard", f.block},
                   {"index", f.index},
                   {"node", f.node.empty() ? json(nullptr) : json(f.node)},
                   {"reason", reason(f)},
                   {"may_have_run", !surely_not_run(f.how)}});
  return all;
}

Outcome phase_failed(const Shards& s, const char* what) {
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

bool surely_not_run(Failure::How how) {
  return how == Failure::How::no_holder || how == Failure::How::not_connected ||
         how == Failure::How::rejected;
}

json shards_json(const Shards& s) {
  const int failed = static_cast<int>(s.failures.size());
  json out{{"total", s.total}, {"successful", s.total - failed}, {"skipped", s.skipped}, {"failed", failed}};
  if (failed) out["failures"] = failures_json(s);
  return out;
}

Outcome search_answer(const Search& s, const Merged& m, const Shards& shards, bool whole,
                      std::int64_t took_ms) {
  if (!whole && s.allow_partial == false) return phase_failed(shards, "Partial shards failure");
  const bool late = std::any_of(shards.failures.begin(), shards.failures.end(),
                                [](const Failure& f) { return f.how == Failure::How::timed_out; });
  json head{{"took", took_ms}, {"timed_out", late}, {"_shards", shards_json(shards)}};
  json hits = json::object();
  if (s.counts) hits["total"] = {{"value", m.total}, {"relation", m.total_exact ? "eq" : "gte"}};
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

Outcome count_answer(const Merged& m, const Shards& shards, bool whole) {
  json out{{"count", m.total}, {"_shards", shards_json(shards)}};
  if (!whole) out["terminated_early"] = true;  // the count holds only what is in
  return {200, text(out)};
}

Outcome pushed_back() {
  return {429,
          error_body({429, "rejected_execution_exception", "too much in hand; trying again is harmless"})};
}

Outcome failed(const Shards& shards) { return phase_failed(shards, "all shards failed"); }

Outcome fault(const Fault& f) { return {f.status, error_body(f)}; }

}  // namespace cairnhub::opensearch
