// The frontend for the OpenSearch-style query API: parses requests and passes their searches to the executor.
// docs/opensearch.md lists the supported parts of the API. Makes no choices of its own.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "frontend/http/http_server.h"
#include "frontend/opensearch/request_target.h"
#include "frontend/opensearch/resume_queue.h"
#include "frontend/opensearch/search_executor.h"
#include "opensearch/response.h"
#include "policy/search_admission.h"

namespace cairnhub::frontend::opensearch {

// Handles _search, _msearch, _mget, _count, _cluster/health and _cat/shards.
class OpenSearchFrontend : public Frontend {
 public:
  OpenSearchFrontend(event_base* base, std::vector<IndexDefinition> indices,
                     const cairnhub::opensearch::Limits& limits, dispatch::InFlightRequests& requests,
                     dispatch::RequestDispatcher& dispatcher, const EndpointView& endpoints);
  bool handles(std::string_view path) const override;
  std::function<void()> handle(const frontend::platform::ClientRequest& client_request,
                               std::unique_ptr<dispatch::Responder> responder) override;

 private:
  using ClientRequest = frontend::platform::ClientRequest;

  std::function<void()> search(const ClientRequest& client_request, const RequestTarget& target,
                               std::unique_ptr<dispatch::Responder> responder);
  std::function<void()> msearch(const ClientRequest& client_request, const RequestTarget& target,
                                std::unique_ptr<dispatch::Responder> responder);
  std::function<void()> mget(const ClientRequest& client_request, const RequestTarget& target,
                             std::unique_ptr<dispatch::Responder> responder);
  cairnhub::opensearch::ApiResponse health() const;
  std::string cat_shards(const std::string& index_name) const;
  const IndexDefinition* find_index(const std::string& name) const;

  std::vector<IndexDefinition> indices_;
  cairnhub::opensearch::Limits limits_;
  dispatch::RequestDispatcher& dispatcher_;
  const EndpointView& endpoints_;
  SearchExecutor executor_;
  ResumeQueue resume_queue_;
  std::map<const IndexDefinition*, SearchAdmission> admissions_;  // by index; must not be iterated over
};

}  // namespace cairnhub::frontend::opensearch
