// A _search or _count request: one search, whose outcome is the response.
#pragma once
#include <memory>

#include "frontend/opensearch/search_executor.h"

namespace cairnhub::frontend::opensearch {

class SingleSearch : public std::enable_shared_from_this<SingleSearch> {
 public:
  SingleSearch(SearchExecutor& executor, std::unique_ptr<dispatch::Responder> responder)
      : executor_(executor), responder_(std::move(responder)) {}
  void start(SearchJob job);
  // Called once the client has disconnected.
  void abandon();

 private:
  void respond(SearchOutcome outcome);

  SearchExecutor& executor_;
  std::unique_ptr<dispatch::Responder> responder_;
  RequestId request_id_ = 0;  // 0 once the search has ended
};

}  // namespace cairnhub::frontend::opensearch
