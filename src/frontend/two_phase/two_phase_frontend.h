// The two-phase form on the clients' listener: POST /_two-phase/OP, JSON; docs/two-phase.md tells it. Reads
// what is asked and writes the answer; chooses nothing.
#pragma once
#include "dispatch/two_phase_runner.h"
#include "frontend/http/http_server.h"

namespace cairnhub::frontend::two_phase {

class Front : public frontend::Front {
 public:
  Front(frontend::platform::Admit& admit, dispatch::TwoPhaseRunner& phased)
      : admit_(admit), phased_(phased) {}
  bool takes(std::string_view path) const override { return path.rfind(kPath, 0) == 0; }
  std::function<void()> take(const frontend::platform::Asked& asked,
                             std::unique_ptr<dispatch::Responder> reply) override;

 private:
  static constexpr std::string_view kPath = "/_two-phase/";
  frontend::platform::Admit& admit_;
  dispatch::TwoPhaseRunner& phased_;
};

// What is wrong with a request's body, or empty. Every member must be known, and of its kind.
std::string read_body(std::string_view body, const frontend::platform::Admit& admit, dispatch::Request& parts,
                      cairnhub::two_phase::Query& into);

}  // namespace cairnhub::frontend::two_phase
