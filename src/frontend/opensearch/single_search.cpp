#include "frontend/opensearch/single_search.h"

#include <utility>

#include "base/clock.h"
#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::opensearch {

void SingleSearch::start(SearchJob job) {
  if (executor_.is_full()) return respond(executor_.rejected_outcome());
  executor_.start(std::move(job), now(), 0, request_id_,
                  [self = shared_from_this()](SearchOutcome outcome) { self->respond(std::move(outcome)); });
}

void SingleSearch::respond(SearchOutcome outcome) {
  request_id_ = 0;
  responder_->respond(outcome.response.status, platform::retry_after_text(outcome.retry_after),
                      std::move(outcome.response.body), "application/json");
}

void SingleSearch::abandon() {
  if (request_id_) executor_.abandon(std::exchange(request_id_, 0));
}

}  // namespace cairnhub::frontend::opensearch
