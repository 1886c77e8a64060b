// The admitting stage: validity, the process's hard limits. What passes is whole and well
// formed; policy is the decider's.
#pragma once
#include <string>
#include <unordered_map>

#include "broker/book.h"
#include "broker/route.h"
#include "settings/settings.h"

namespace cairnhub::broker {

// What a client asked, as its protocol brought it. Null: it didn't say.
struct Asked {
  std::string_view op_type;  // where it asked
  const char *name, *op_type_said, *time_left, *retry;
  std::string_view body;
};

class Admit {
 public:
  Admit(const settings::Settings& s, std::size_t memory, Book& book, Route& route);

  // Takes it, and returns its id; or refuses it with a plain answer to `client`, and returns 0.
  RequestId take(const Asked& asked, std::unique_ptr<Client> client);

 private:
  struct OpRead {
    int index;
    Time route_timeout;
  };
  const char* read(const Asked& asked, Query& into) const;

  std::unordered_map<std::string, OpRead> op_types_;
  int shards_;
  std::size_t most_;  // bytes
  Book& book_;
  Route& route_;
};

}  // namespace cairnhub::broker
