// The frontend for two-phase queries: POST /_two-phase/OP with a JSON body (docs/two-phase.md). Parses
// requests and writes responses; makes no choices of its own.
#pragma once
#include "dispatch/two_phase_runner.h"
#include "frontend/http/http_server.h"

namespace cairnhub::frontend::two_phase {

// Passes two-phase queries to the runner.
class TwoPhaseFrontend : public Frontend {
 public:
  TwoPhaseFrontend(frontend::platform::RequestParser& request_parser, dispatch::TwoPhaseRunner& runner)
      : request_parser_(request_parser), runner_(runner) {}
  bool handles(std::string_view path) const override { return path.rfind(kPathPrefix, 0) == 0; }
  std::function<void()> handle(const frontend::platform::ClientRequest& client_request,
                               std::unique_ptr<dispatch::Responder> responder) override;

 private:
  static constexpr std::string_view kPathPrefix = "/_two-phase/";
  frontend::platform::RequestParser& request_parser_;
  dispatch::TwoPhaseRunner& runner_;
};

// Parses the JSON body of a two-phase query. Unknown members and members of the wrong type are errors.
// @param request gets the shard requests
// @return what is wrong, or an empty string
std::string parse_body(std::string_view text, const frontend::platform::RequestParser& request_parser,
                       dispatch::Request& request, cairnhub::two_phase::Query& query);

}  // namespace cairnhub::frontend::two_phase
