#include "frontend/opensearch/opensearch_frontend.h"

#include <utility>

#include "frontend/opensearch/multi_get.h"
#include "frontend/opensearch/multi_search.h"
#include "frontend/opensearch/single_search.h"
#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::opensearch {

namespace os = cairnhub::opensearch;
using os::json;

namespace {

// The most memory that a search takes for each byte of its shards' answers: the answer, its parsed parts, and
// the response.
constexpr std::size_t kMemoryPerAnswerByte = 3;

std::size_t max_search_bytes(const IndexDefinition& index) {
  return kMemoryPerAnswerByte * index.max_answer_bytes * static_cast<std::size_t>(index.shard_count);
}

void respond_with_error(dispatch::Responder& responder, const os::ApiError& error) {
  responder.respond(error.status, "", os::error_body(error), "application/json");
}

// Returns the function to call if the client disconnects. It keeps the request until the response is
// complete.
template <class ApiRequest>
std::function<void()> abandon_function(const std::shared_ptr<ApiRequest>& api_request) {
  return [api_request] { api_request->abandon(); };
}

// Applies the query parameters of the URL. @return the first error
std::optional<os::ApiError> apply_parameters(std::string_view parameters, const os::Limits& limits,
                                             os::Search& search) {
  for (const auto& [key, value] : parse_parameters(parameters)) {
    if (auto error = os::parse_parameter(key, value, search, limits)) return error;
  }
  return std::nullopt;
}

// Turns a search into a count. @return an error if it asks for more than a count
std::optional<os::ApiError> make_count(os::Search& search) {
  if (!search.sort.empty() || !search.aggregations.empty() || !search.search_after.is_null() ||
      search.from > 0 || search.size != os::Search().size) {
    return os::ApiError{400, "parsing_exception", "a count takes a query alone"};
  }
  search.size = 0;
  search.tracks_exact_total = true;
  search.tracks_total = true;
  return std::nullopt;
}

}  // namespace

OpenSearchFrontend::OpenSearchFrontend(event_base* base, std::vector<IndexDefinition> indices,
                                       const os::Limits& limits, dispatch::InFlightRequests& requests,
                                       dispatch::RequestDispatcher& dispatcher, const EndpointView& endpoints)
    : indices_(std::move(indices)),
      limits_(limits),
      dispatcher_(dispatcher),
      endpoints_(endpoints),
      executor_(requests, dispatcher, endpoints),
      resume_queue_(base) {
  for (const IndexDefinition& index : indices_) {
    admissions_.emplace(&index, SearchAdmission(requests.memory()->limiter(), max_search_bytes(index)));
  }
}

bool OpenSearchFrontend::handles(std::string_view path) const {
  return is_known_operation(parse_target(path).operation);
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

std::function<void()> OpenSearchFrontend::handle(const ClientRequest& client_request,
                                                 std::unique_ptr<dispatch::Responder> responder) {
  const RequestTarget target = parse_target(client_request.path);
  if (target.operation == "_cluster/health") {
    responder->respond(200, "", health().body, "application/json");
    return nullptr;
  }
  if (target.operation == "_cat/shards") {
    responder->respond(200, "", cat_shards(target.index), "text/plain");
    return nullptr;
  }
  if (client_request.method != "POST") {
    respond_with_error(*responder, {405, "illegal_argument_exception", "only POST here: a GET has no body"});
    return nullptr;
  }
  if (executor_.is_full()) {
    SearchOutcome rejected = executor_.rejected_outcome();
    responder->respond(rejected.response.status, platform::retry_after_text(rejected.retry_after),
                       std::move(rejected.response.body), "application/json");
    return nullptr;
  }
  if (target.operation == "_msearch") return msearch(client_request, target, std::move(responder));
  if (target.operation == "_mget") return mget(client_request, target, std::move(responder));
  return search(client_request, target, std::move(responder));
}

std::function<void()> OpenSearchFrontend::search(const ClientRequest& client_request,
                                                 const RequestTarget& target,
                                                 std::unique_ptr<dispatch::Responder> responder) {
  const auto reject = [&](const os::ApiError& error) {
    respond_with_error(*responder, error);
    return nullptr;
  };
  const bool is_count = target.operation == "_count";
  const IndexDefinition* index = find_index(target.index);
  if (!index) return reject(os::index_not_found(target.index));
  auto parsed = os::parse_search(client_request.body, limits_);
  if (const auto* error = std::get_if<os::ApiError>(&parsed)) return reject(*error);
  os::Search search = std::move(std::get<os::Search>(parsed));
  if (const auto error = apply_parameters(client_request.parameters, limits_, search)) return reject(*error);
  if (is_count) {
    if (const auto error = make_count(search)) return reject(*error);
  }
  const auto api_request = std::make_shared<SingleSearch>(executor_, std::move(responder));
  api_request->start(SearchJob(*index, std::move(search),
                               is_count ? SearchJob::Result::kCount : SearchJob::Result::kSearch));
  return abandon_function(api_request);
}

std::function<void()> OpenSearchFrontend::msearch(const ClientRequest& client_request,
                                                  const RequestTarget& target,
                                                  std::unique_ptr<dispatch::Responder> responder) {
  auto parsed = os::parse_msearch(client_request.body, target.index, limits_);
  if (const auto* error = std::get_if<os::ApiError>(&parsed)) {
    respond_with_error(*responder, *error);
    return nullptr;
  }
  std::vector<MultiSearchItem> items;
  for (os::MsearchItem& item : std::get<std::vector<os::MsearchItem>>(parsed)) {
    const IndexDefinition* index = find_index(item.index);
    if (const auto* error = std::get_if<os::ApiError>(&item.search)) {
      items.push_back({*error, nullptr});
    } else if (!index) {
      items.push_back({os::index_not_found(item.index), nullptr});
    } else {
      items.push_back(
          {SearchJob(*index, std::move(std::get<os::Search>(item.search)), SearchJob::Result::kSearch),
           &admissions_.at(index)});
    }
  }
  const auto api_request =
      std::make_shared<MultiSearch>(executor_, resume_queue_, std::move(responder), std::move(items));
  api_request->start();
  return abandon_function(api_request);
}

std::function<void()> OpenSearchFrontend::mget(const ClientRequest& client_request,
                                               const RequestTarget& target,
                                               std::unique_ptr<dispatch::Responder> responder) {
  auto parsed = os::parse_mget(client_request.body, target.index, limits_);
  if (const auto* error = std::get_if<os::ApiError>(&parsed)) {
    respond_with_error(*responder, *error);
    return nullptr;
  }
  const auto api_request = std::make_shared<MultiGet>(executor_, std::move(responder),
                                                      std::move(std::get<std::vector<os::MgetItem>>(parsed)));
  api_request->start([this](const std::string& name) { return find_index(name); });
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
  return {200, os::json_text({{"cluster_name", "cairnhub"},
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
