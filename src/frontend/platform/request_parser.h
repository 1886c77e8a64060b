// The platform's form of requests: validity, hard limits. What passes is whole and well formed; choices are
// the policy's.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>

#include "dispatch/in_flight_requests.h"
#include "dispatch/request_dispatcher.h"
#include "settings/settings.h"

namespace cairnhub::frontend::platform {

// What a client asked, as its protocol brought it. Null: it didn't say.
struct Asked {
  std::string_view op_type;  // where it asked
  const char *name, *op_type_said, *time_left, *retry;
  std::string_view body;
  std::string_view method = "POST", path = {}, parameters = {};  // of the URL, as they came
  Time waited = 0;  // since its last byte came: unread, or behind other requests of its connection
};

class Admit {
 public:
  Admit(const settings::Settings& s, dispatch::InFlightRequests& book, dispatch::RequestDispatcher& route);

  // Takes it, and returns its id; or refuses it with a plain answer, and returns 0.
  RequestId take(const Asked& asked, std::unique_ptr<dispatch::Responder> reply);

  // For fronts of other forms: what is wrong, or null.
  const char* read_head(const Asked& asked, dispatch::Request& into) const;  // all but the body
  const char* read_parts(const nlohmann::json& body, dispatch::Request& into) const;
  bool full() const { return book_.is_full(); }
  // The HTTP status that says so of what read_head or read_parts found wrong.
  static int status_of(const char* wrong);

 private:
  struct OpRead {
    int index;
    Time route_timeout;
  };
  const char* read(const Asked& asked, dispatch::Request& into) const;

  std::unordered_map<std::string, OpRead> op_types_;
  int shards_;
  dispatch::InFlightRequests& book_;
  dispatch::RequestDispatcher& route_;
};

}  // namespace cairnhub::frontend::platform
