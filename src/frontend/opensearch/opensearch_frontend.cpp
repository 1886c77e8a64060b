#include "frontend/opensearch/opensearch_frontend.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::opensearch {

namespace os = cairnhub::opensearch;
using os::json;

namespace {

std::string json_text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string url_decoded(std::string_view in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    const auto hex_digit = [&](std::size_t at) {
      const char c = at < in.size() ? in[at] : 'x';
      return c >= '0' && c <= '9'   ? c - '0'
             : c >= 'a' && c <= 'f' ? c - 'a' + 10
             : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                    : -1;
    };
    if (in[i] == '%' && hex_digit(i + 1) >= 0 && hex_digit(i + 2) >= 0) {
      out += static_cast<char>(16 * hex_digit(i + 1) + hex_digit(i + 2));
      i += 2;
    } else {
      out += in[i] == '+' ? ' ' : in[i];
    }
  }
  return out;
}
std::vector<std::pair<std::string, std::string>> url_parameters(std::string_view query) {
  std::vector<std::pair<std::string, std::string>> parameters;
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    if (parameter.empty()) continue;
    const auto equals = std::min(parameter.find('='), parameter.size());
    parameters.emplace_back(url_decoded(parameter.substr(0, equals)),
                            url_decoded(parameter.substr(std::min(equals + 1, parameter.size()))));
  }
  return parameters;
}
// Splits a path into the index and the operation: `/a/_search` into `a` and `_search`.
std::pair<std::string, std::string> split_path(std::string_view path) {
  const auto operation = path.find("/_");
  if (operation == std::string_view::npos) return {"", ""};
  const std::string_view before = path.substr(0, operation);
  constexpr std::string_view kCatShardsPrefix = "/_cat/shards/";
  if (path.rfind(kCatShardsPrefix, 0) == 0) {
    return {url_decoded(path.substr(kCatShardsPrefix.size())), "_cat/shards"};
  }
  return {url_decoded(before.substr(before.empty() ? 0 : 1)), std::string(path.substr(operation + 1))};
}
bool is_known_operation(const std::string& operation) {
  static const char* operations[] = {"_search", "_msearch",        "_mget",
                                     "_count",  "_cluster/health", "_cat/shards"};
  return std::any_of(std::begin(operations), std::end(operations),
                     [&](const char* known) { return operation == known; });
}
os::ApiError index_not_found(const std::string& name) {
  return {404, "index_not_found_exception", "no such index [" + name.substr(0, 80) + "]"};
}

}  // namespace

// An API request with one or more searches. It gets one response, when all searches have ended.
struct OpenSearchFrontend::ApiRequest {
  std::unique_ptr<dispatch::Responder> responder;
  std::vector<os::ApiResponse> outcomes;
  std::vector<RequestId> request_ids;  // by slot; 0 once the search has ended

  std::vector<Time> retry_after;
  std::size_t unfinished = 0;  // searches that have not ended
  Time began_at = now();
  bool is_abandoned = false;
  // Combines the outcomes into one response, in the format of the operation.
  std::function<os::ApiResponse(ApiRequest&)> combine;
  std::vector<std::vector<std::string>> hits;  // for _mget: the raw hits by slot
  std::vector<bool> is_complete;               // by slot
  bool keeps_hits = false;
  dispatch::MemoryReservation memory;  // of the outcomes

  void end_search(Slot slot, os::ApiResponse outcome, Time retry_after_time = 0) {
    outcomes[slot] = std::move(outcome);
    memory.add(outcomes[slot].body.capacity());
    request_ids[slot] = 0;
    retry_after[slot] = retry_after_time;
    if (--unfinished == 0 && !is_abandoned) respond();
  }
  void respond() {
    const os::ApiResponse combined = combine(*this);
    memory.add(combined.body.capacity());
    const Time retry_after_time = outcomes.size() == 1 ? retry_after[0] : 0;
    responder->respond(combined.status, frontend::platform::retry_after_text(retry_after_time), combined.body,
                       "application/json");
  }
};

// Merges the values that one search's request returns, and records its outcome in the API request.
class OpenSearchFrontend::SearchCallbacks : public dispatch::RequestCallbacks {
 public:
  SearchCallbacks(OpenSearchFrontend& frontend, std::shared_ptr<ApiRequest> api_request, Slot slot,
                  const IndexDefinition& index, os::Search search, bool is_count)
      : frontend_(frontend),
        api_request_(std::move(api_request)),
        slot_(slot),
        index_(index),
        search_(std::move(search)),
        is_count_(is_count),
        answer_memory_(frontend.requests_.memory(), dispatch::MemoryUse::kAnswers) {}

  ValueUse on_value(const dispatch::ShardRequest& shard_request, std::string_view value) override {
    auto answer = std::make_unique<os::ShardAnswer>();
    const char* error = os::parse_shard_answer(value, search_, index_.name,
                                               shard_request.shard - index_.first_shard, *answer);
    if (error) {
      log("search", "%s: invalid response: %s", shard_request.name.c_str(), error);
      value_errors_[shard_request.shard] = error;
      return ValueUse::kInvalid;
    }
    answer_memory_.add(2 * value.size());
    answers_[shard_request.shard] = std::move(answer);
    return ValueUse::kTaken;
  }
  void on_response(const dispatch::Request& request, bool is_complete) override {
    const os::ShardSummary shards = shard_summary(request, is_complete);
    std::vector<os::MergeInput> parts;
    for (const auto& [shard, answer] : answers_) parts.push_back({shard, answer.get()});
    const bool has_all_answers = answers_.size() == request.shard_requests.size();
    auto result = os::merge(search_, parts, has_all_answers);
    if (const auto* fault = std::get_if<os::ApiError>(&result)) {
      return api_request_->end_search(slot_, os::error_response(*fault));
    }
    const auto& merged = std::get<os::MergedResult>(result);
    api_request_->is_complete[slot_] = is_complete && has_all_answers;
    if (api_request_->keeps_hits) {
      for (const auto& place : merged.page) api_request_->hits[slot_].emplace_back(place.hit->raw);
    }
    const std::int64_t took_ms = (now() - api_request_->began_at) / 1'000'000;
    api_request_->end_search(slot_, is_count_
                                        ? os::count_response(merged, shards, is_complete)
                                        : os::search_response(search_, merged, shards, is_complete, took_ms));
  }
  void on_rejected(const dispatch::Request& request, Time retry_after) override {
    const bool has_attempts =
        std::any_of(request.shard_requests.begin(), request.shard_requests.end(),
                    [](auto& shard_request) { return !shard_request->attempts.empty(); });
    api_request_->end_search(slot_,
                             has_attempts ? os::all_shards_failed_response(shard_summary(request, false))
                                          : os::too_many_requests_response(),
                             retry_after);
  }
  void on_failed(const dispatch::Request& request) override {
    api_request_->end_search(slot_, os::all_shards_failed_response(shard_summary(request, false)));
  }

 private:
  // Returns the result of each shard, which is the result of the shard's last attempt.
  os::ShardSummary shard_summary(const dispatch::Request& request, bool is_complete) const {
    os::ShardSummary summary;
    summary.total = static_cast<int>(request.shard_requests.size());
    for (const auto& shard_request : request.shard_requests) {
      if (answers_.count(shard_request->shard)) continue;
      if (is_complete) {
        ++summary.skipped;  // the required share was reached without this shard
        continue;
      }
      os::ShardFailure failure;
      failure.index = index_.name;
      failure.shard = shard_request->shard - index_.first_shard;
      if (!shard_request->attempts.empty()) {
        const dispatch::Attempt& last = *shard_request->attempts.back();
        failure.node = frontend_.endpoints_.endpoint_name(last.endpoint);
        failure.kind = failure_kind(last);
        const auto error = value_errors_.find(shard_request->shard);
        if (failure.kind == os::ShardFailure::Kind::kError && error != value_errors_.end()) {
          failure.kind = os::ShardFailure::Kind::kInvalidAnswer;
          failure.detail = error->second;
        }
      }
      summary.failures.push_back(std::move(failure));
    }
    return summary;
  }
  static os::ShardFailure::Kind failure_kind(const dispatch::Attempt& attempt) {
    if (!attempt.has_ended) return os::ShardFailure::Kind::kTimedOut;
    switch (attempt.outcome) {
      case AttemptOutcome::kQueueFull:
        return os::ShardFailure::Kind::kRejected;
      case AttemptOutcome::kConnectFailed:
      case AttemptOutcome::kNotSent:
        return os::ShardFailure::Kind::kNotConnected;
      case AttemptOutcome::kReset:
        return os::ShardFailure::Kind::kDisconnected;
      case AttemptOutcome::kTimedOut:
      case AttemptOutcome::kCancelled:
        return os::ShardFailure::Kind::kTimedOut;
      case AttemptOutcome::kOk:
      case AttemptOutcome::kError:
        break;
    }
    return os::ShardFailure::Kind::kError;
  }

  OpenSearchFrontend& frontend_;
  std::shared_ptr<ApiRequest> api_request_;
  Slot slot_;
  const IndexDefinition& index_;
  const os::Search search_;
  std::map<int, std::unique_ptr<os::ShardAnswer>> answers_;  // by shard
  std::map<int, const char*> value_errors_;                  // by shard
  bool is_count_;
  dispatch::MemoryReservation answer_memory_;  // approximate
};

OpenSearchFrontend::OpenSearchFrontend(std::vector<IndexDefinition> indices, const os::Limits& limits,
                                       dispatch::InFlightRequests& requests,
                                       dispatch::RequestDispatcher& dispatcher, const EndpointView& endpoints)
    : indices_(std::move(indices)),
      limits_(limits),
      requests_(requests),
      dispatcher_(dispatcher),
      endpoints_(endpoints) {}

bool OpenSearchFrontend::handles(std::string_view path) const {
  return is_known_operation(split_path(path).second);
}

const IndexDefinition* OpenSearchFrontend::find_index(const std::string& name) const {
  for (const IndexDefinition& index : indices_) {
    if (!dispatcher_.serves_index(index.name)) continue;  // disabled by the rules of the cluster
    if (index.name == name || ((name.empty() || name == "_all" || name == "*") && indices_.size() == 1)) {
      return &index;
    }
  }
  return nullptr;
}

std::function<void()> OpenSearchFrontend::handle(const frontend::platform::ClientRequest& client_request,
                                                 std::unique_ptr<dispatch::Responder> responder) {
  const auto [index_name, operation] = split_path(client_request.path);
  const auto respond = [&](const os::ApiResponse& outcome) {
    responder->respond(outcome.status, "", outcome.body, "application/json");
    return nullptr;
  };
  if (operation == "_cluster/health") return respond(health());
  if (operation == "_cat/shards") {
    responder->respond(200, "", cat_shards(index_name), "text/plain");
    return nullptr;
  }
  if (client_request.method != "POST") {
    return respond(
        os::error_response({405, "illegal_argument_exception", "only POST here: a GET has no body"}));
  }
  if (requests_.is_full()) return respond(os::too_many_requests_response());
  if (operation == "_msearch") return msearch(client_request, index_name, std::move(responder));
  if (operation == "_mget") return mget(client_request, index_name, std::move(responder));
  return search(client_request, index_name, operation == "_count", std::move(responder));
}

// Returns the function to call if the client disconnects; empty if all searches have ended.
std::function<void()> OpenSearchFrontend::abandon_function(const std::shared_ptr<ApiRequest>& api_request) {
  if (api_request->unfinished == 0) return nullptr;
  return [this, api_request] {
    api_request->is_abandoned = true;
    for (RequestId& id : api_request->request_ids) {
      if (id) dispatcher_.abandon_request(std::exchange(id, 0));
    }
  };
}

void OpenSearchFrontend::start_search(const std::shared_ptr<ApiRequest>& api_request, Slot slot,
                                      const IndexDefinition& index, const os::Search& search,
                                      const std::string& body, bool is_count) {
  // The memory is checked for each search, since one API request may hold a thousand searches.
  if (requests_.is_full()) return api_request->end_search(slot, os::too_many_requests_response());
  auto request = std::make_unique<dispatch::Request>();
  do {
    request->name = "os" + std::to_string(++last_search_number_);
  } while (requests_.contains(request->name));
  request->request_class = index.request_class;
  request->body = body;
  request->time_left = search.timeout ? std::min(*search.timeout, index.max_time) : index.max_time;
  request->max_value_bytes = SIZE_MAX;  // on_value() accounts for the memory of the answers
  for (int i = 0; i < index.shard_count; ++i) {
    auto shard_request = std::make_unique<dispatch::ShardRequest>();
    shard_request->shard = index.first_shard + i;
    shard_request->weight = 1.0 / index.shard_count;
    shard_request->name = request->name + "." + std::to_string(shard_request->shard);
    shard_request->http_target = "/" + index.name + "/_search?preference=_shards:" + std::to_string(i);
    request->shard_requests.push_back(std::move(shard_request));
  }
  request->callbacks = std::make_unique<SearchCallbacks>(*this, api_request, slot, index, search, is_count);
  api_request->request_ids[slot] = requests_.next_id();
  dispatcher_.start_request(std::move(request));
}

std::shared_ptr<OpenSearchFrontend::ApiRequest> OpenSearchFrontend::make_api_request(
    std::unique_ptr<dispatch::Responder> responder, std::size_t slots,
    std::function<os::ApiResponse(ApiRequest&)> combine) {
  auto api_request = std::make_shared<ApiRequest>();
  api_request->memory = dispatch::MemoryReservation(requests_.memory(), dispatch::MemoryUse::kResponses);
  api_request->responder = std::move(responder);
  api_request->combine = std::move(combine);
  api_request->outcomes.resize(slots);
  api_request->request_ids.resize(slots);
  api_request->retry_after.resize(slots);
  api_request->is_complete.resize(slots);
  api_request->hits.resize(slots);
  api_request->unfinished = slots;
  return api_request;
}

std::function<void()> OpenSearchFrontend::search(const frontend::platform::ClientRequest& client_request,
                                                 const std::string& index_name, bool is_count,
                                                 std::unique_ptr<dispatch::Responder> responder) {
  const auto reject = [&](const os::ApiError& fault) {
    responder->respond(fault.status, "", os::error_body(fault), "application/json");
    return nullptr;
  };
  const IndexDefinition* index = find_index(index_name);
  if (!index) return reject(index_not_found(index_name));
  auto parsed = os::parse_search(client_request.body, limits_);
  if (const auto* fault = std::get_if<os::ApiError>(&parsed)) return reject(*fault);
  os::Search search = std::move(std::get<os::Search>(parsed));
  for (const auto& [key, value] : url_parameters(client_request.parameters)) {
    if (const auto fault = os::parse_parameter(key, value, search, limits_)) return reject(*fault);
  }
  if (is_count) {
    if (!search.sort.empty() || !search.aggregations.empty() || !search.search_after.is_null() ||
        search.from > 0 || search.size != 10) {
      return reject({400, "parsing_exception", "a count takes a query alone"});
    }
    search.size = 0;
    search.tracks_exact_total = true;
    search.tracks_total = true;
  }
  const auto api_request = make_api_request(std::move(responder), 1,
                                            [](ApiRequest& ended) { return std::move(ended.outcomes[0]); });
  start_search(api_request, 0, *index, search, os::shard_search_body(search), is_count);
  return abandon_function(api_request);
}

std::function<void()> OpenSearchFrontend::msearch(const frontend::platform::ClientRequest& client_request,
                                                  const std::string& index_name,
                                                  std::unique_ptr<dispatch::Responder> responder) {
  auto parsed = os::parse_msearch(client_request.body, index_name, limits_);
  if (const auto* fault = std::get_if<os::ApiError>(&parsed)) {
    responder->respond(fault->status, "", os::error_body(*fault), "application/json");
    return nullptr;
  }
  const auto& items = std::get<std::vector<os::MsearchItem>>(parsed);
  // All searches are counted as unfinished before the first one starts, so that a search that ends at once
  // doesn't complete the response.

  const auto api_request = make_api_request(std::move(responder), items.size(), [](ApiRequest& ended) {
    std::string body =
        "{\"took\":" + std::to_string((now() - ended.began_at) / 1'000'000) + ",\"responses\":[";
    for (std::size_t i = 0; i < ended.outcomes.size(); ++i) {
      std::string& item_body = ended.outcomes[i].body;
      if (i) body += ',';
      // In the API each item states its own status. Error bodies already hold the status.
      if (ended.outcomes[i].status == 200) {
        item_body.pop_back();
        item_body += ",\"status\":200}";
      }
      body += item_body;
    }
    return os::ApiResponse{200, body + "]}"};
  });
  for (Slot i = 0; i < items.size(); ++i) {
    const auto* search = std::get_if<os::Search>(&items[i].search);
    const IndexDefinition* index = find_index(items[i].index);
    if (!search) {
      api_request->end_search(i, os::error_response(std::get<os::ApiError>(items[i].search)));
    } else if (!index) {
      api_request->end_search(i, os::error_response(index_not_found(items[i].index)));
    } else {
      start_search(api_request, i, *index, *search, os::shard_search_body(*search), false);
    }
  }
  return abandon_function(api_request);
}

// Asks every shard of an index, since the shard that holds a document isn't known. A document is reported as
// not found only if all shards have answered.
std::function<void()> OpenSearchFrontend::mget(const frontend::platform::ClientRequest& client_request,
                                               const std::string& index_name,
                                               std::unique_ptr<dispatch::Responder> responder) {
  auto parsed = os::parse_mget(client_request.body, index_name, limits_);
  if (const auto* fault = std::get_if<os::ApiError>(&parsed)) {
    responder->respond(fault->status, "", os::error_body(*fault), "application/json");
    return nullptr;
  }
  const auto gets = std::get<std::vector<os::MgetItem>>(parsed);
  std::map<std::string, std::vector<std::string>> ids_by_index;
  for (const os::MgetItem& get : gets) {
    auto& ids = ids_by_index[get.index];
    if (std::find(ids.begin(), ids.end(), get.id) == ids.end()) ids.push_back(get.id);
  }
  std::vector<std::string> names;
  for (const auto& [name, ids] : ids_by_index) names.push_back(name);
  const auto api_request =
      make_api_request(std::move(responder), names.size(), [gets, names](ApiRequest& ended) {
        std::map<std::pair<std::string, std::string>, json> hits;  // by index and id
        for (std::size_t i = 0; i < names.size(); ++i) {
          for (const std::string& raw : ended.hits[i]) {
            json hit = json::parse(raw);
            const std::string id = hit["_id"];
            hits[{names[i], id}] = std::move(hit);
          }
        }
        json docs = json::array();
        for (const os::MgetItem& get : gets) {
          const auto slot =
              static_cast<std::size_t>(std::find(names.begin(), names.end(), get.index) - names.begin());
          json doc{{"_index", get.index}, {"_id", get.id}};
          if (const auto hit = hits.find({get.index, get.id}); hit != hits.end()) {
            doc["found"] = true;
            if (hit->second.contains("_source")) doc["_source"] = hit->second["_source"];
          } else if (ended.is_complete[slot]) {
            doc["found"] = false;
          } else {
            const json error = json::parse(ended.outcomes[slot].body, nullptr, false);
            doc["error"] = error.contains("error")
                               ? error["error"]
                               : json{{"type", "no_shard_available_action_exception"},
                                      {"reason", "not every block answered, so that it may be there or not"}};
          }
          docs.push_back(std::move(doc));
        }
        return os::ApiResponse{200, json_text({{"docs", docs}})};
      });
  api_request->keeps_hits = true;
  for (Slot i = 0; i < names.size(); ++i) {
    const auto& ids = ids_by_index[names[i]];
    const IndexDefinition* index = find_index(names[i]);
    if (!index) {
      api_request->end_search(i, os::error_response(index_not_found(names[i])));
      continue;
    }
    os::Search search;
    search.query = {{"ids", {{"values", ids}}}};
    search.size = ids.size();
    start_search(api_request, i, *index, search, os::shard_search_body(search), false);
  }
  return abandon_function(api_request);
}

os::ApiResponse OpenSearchFrontend::health() const {
  int held_count = 0;
  int shard_count = 0;
  bool is_each_held = true;
  bool is_each_replicated = true;
  for (const IndexDefinition& index : indices_) {
    for (int i = 0; i < index.shard_count; ++i) {
      const std::size_t replicas = endpoints_.replica_names(index.first_shard + i).size();
      ++shard_count;
      held_count += replicas > 0;
      is_each_held = is_each_held && replicas > 0;
      is_each_replicated = is_each_replicated && replicas > 1;
    }
  }
  const double percent = shard_count ? 100.0 * held_count / shard_count : 100.0;
  return {200, json_text({{"cluster_name", "cairnhub"},
                          {"status", !is_each_held        ? "red"
                                     : is_each_replicated ? "green"
                                                          : "yellow"},
                          {"timed_out", false},
                          {"number_of_nodes", endpoints_.ready_count()},
                          {"number_of_data_nodes", endpoints_.ready_count()},
                          {"active_primary_shards", held_count},
                          {"unassigned_shards", shard_count - held_count},
                          {"active_shards_percent_as_number", percent}})};
}

std::string OpenSearchFrontend::cat_shards(const std::string& index_name) const {
  std::string out;
  for (const IndexDefinition& index : indices_) {
    if (!index_name.empty() && index_name != index.name) continue;
    for (int i = 0; i < index.shard_count; ++i) {
      const auto replicas = endpoints_.replica_names(index.first_shard + i);
      const std::string prefix = index.name + " " + std::to_string(i) + " ";
      for (const std::string& replica : replicas) out += prefix + "STARTED " + replica + "\n";
      if (replicas.empty()) out += prefix + "UNASSIGNED -\n";
    }
  }
  return out;
}

}  // namespace cairnhub::frontend::opensearch
