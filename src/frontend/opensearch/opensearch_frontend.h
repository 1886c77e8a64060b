// The frontend for the OpenSearch-style query API: runs each search as a request through the dispatcher and
// reports the results of its attempts in the API's format. docs/opensearch.md lists the supported parts of
// the API. Makes no choices of its own.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/in_flight_requests.h"
#include "dispatch/request_dispatcher.h"
#include "frontend/http/http_server.h"
#include "opensearch/response.h"

namespace cairnhub::frontend::opensearch {

// An index, as declared in the options.
struct IndexDefinition {
  std::string name;
  int first_shard = 0;  // the index has the shards first_shard .. first_shard + shard_count - 1
  int shard_count = 1;
  int request_class = 0;
  Time max_time = kSecond;  // time limit of a search that doesn't state a shorter timeout
};

// The state of the endpoints that the API reports.
class EndpointView {
 public:
  virtual ~EndpointView() = default;
  virtual std::string endpoint_name(EndpointId id) const = 0;  // empty if the endpoint is no longer known
  // Returns the names of the ready endpoints that hold the shard.
  virtual std::vector<std::string> replica_names(int shard) const = 0;
  virtual int ready_count() const = 0;  // number of endpoints that are ready
};

// Handles _search, _msearch, _mget, _count, _cluster/health and _cat/shards.
class OpenSearchFrontend : public Frontend {
 public:
  OpenSearchFrontend(std::vector<IndexDefinition> indices, const cairnhub::opensearch::Limits& limits,
                     dispatch::InFlightRequests& requests, dispatch::RequestDispatcher& dispatcher,
                     const EndpointView& endpoints);
  bool handles(std::string_view path) const override;
  std::function<void()> handle(const frontend::platform::ClientRequest& client_request,
                               std::unique_ptr<dispatch::Responder> responder) override;

 private:
  struct ApiRequest;
  class SearchCallbacks;
  using Slot = std::size_t;  // the index of a search in its API request

  std::function<void()> search(const frontend::platform::ClientRequest& client_request,
                               const std::string& index_name, bool is_count,
                               std::unique_ptr<dispatch::Responder> responder);
  std::function<void()> msearch(const frontend::platform::ClientRequest& client_request,
                                const std::string& index_name,
                                std::unique_ptr<dispatch::Responder> responder);
  std::function<void()> mget(const frontend::platform::ClientRequest& client_request,
                             const std::string& index_name, std::unique_ptr<dispatch::Responder> responder);
  cairnhub::opensearch::ApiResponse health() const;
  std::string cat_shards(const std::string& index_name) const;
  const IndexDefinition* find_index(const std::string& name) const;
  void start_search(const std::shared_ptr<ApiRequest>& api_request, Slot slot, const IndexDefinition& index,
                    const cairnhub::opensearch::Search& search, const std::string& body, bool is_count);
  std::shared_ptr<ApiRequest> make_api_request(
      std::unique_ptr<dispatch::Responder> responder, std::size_t slots,
      std::function<cairnhub::opensearch::ApiResponse(ApiRequest&)> combine);
  std::function<void()> abandon_function(const std::shared_ptr<ApiRequest>& api_request);

  std::vector<IndexDefinition> indices_;
  cairnhub::opensearch::Limits limits_;
  dispatch::InFlightRequests& requests_;
  dispatch::RequestDispatcher& dispatcher_;
  const EndpointView& endpoints_;
  std::uint64_t last_search_number_ = 0;
};

}  // namespace cairnhub::frontend::opensearch
