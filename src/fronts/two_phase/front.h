// The two-phase form on the clients' listener: POST /_two-phase/OP, JSON; docs/two-phase.md tells it. Reads
// what is asked and writes the answer; chooses nothing.
#pragma once
#include "broker/phased.h"
#include "fronts/http/take_in.h"

namespace cairnhub::fronts::two_phase {

class Front : public broker::Front {
 public:
  Front(broker::Admit& admit, broker::Phased& phased) : admit_(admit), phased_(phased) {}
  bool takes(std::string_view path) const override { return path.rfind(kPath, 0) == 0; }
  std::function<void()> take(const broker::Asked& asked, std::unique_ptr<broker::Reply> reply) override;

 private:
  static constexpr std::string_view kPath = "/_two-phase/";
  broker::Admit& admit_;
  broker::Phased& phased_;
};

// What is wrong with a request's body, or empty. Every member must be known, and of its kind.
std::string read_body(std::string_view body, const broker::Admit& admit, broker::Query& parts,
                      phases::Query& into);

}  // namespace cairnhub::fronts::two_phase
