// A multiget as it passes the stages: the bytes that go on unchanged, and what the decisions need.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/account.h"
#include "policy/request_policy.h"

namespace cairnhub::dispatch {

struct Part;
struct Query;

// Where an answer is written, on whatever connection its request came.
class Reply {
 public:
  virtual ~Reply() = default;
  // `come_back` in seconds as text, or empty; `type`: of the body, or null for JSON with a 200 and text else.
  // Called once.
  virtual void answer(int status, std::string_view come_back, std::string body,
                      const char* type = nullptr) = 0;
};

// Whose multiget it is. It's told of each value that comes and, once, how the multiget ended; a front stands
// behind this, and the form of what its client is told.
class Client {
 public:
  virtual ~Client() = default;
  // What becomes of a value that a node gave: it's kept with its part, or the client has taken what it needs
  // of it, or it's spoilt and counts as a send that failed and may have run. May only note down.
  enum class Use { keep, taken, spoilt };
  virtual Use use(const Part&, std::string_view) { return Use::keep; }
  virtual void answered(const Query& query, bool whole) = 0;
  virtual void pushed_back(const Query& query,
                           Time come_back) = 0;  // 0 = no advice; trying again is harmless
  virtual void failed(const Query& query) = 0;   // may have taken effect
};

// One attempt of one part, as the sending stage holds it.
struct Attempt {
  Part* part = nullptr;
  EndpointId node = 0;
  int index = 0;
  Time sent_at = 0, until = 0, ended_at = 0;
  Time begin_by = kNever;  // not to be begun later
  bool ended = false;
  Account account;                           // set where bytes are counted
  AttemptOutcome how = AttemptOutcome::kOk;  // once ended
};

struct Part {
  RequestId id = 0;
  Query* query = nullptr;
  int shard = 0;
  double weight = 0;
  std::string name;                 // at the nodes
  std::optional<std::string> text;  // its own; none: the multiget's
  std::string target;  // where it's asked at hosts that speak HTTP; goes before the text elsewhere
  std::optional<std::string> value;
  std::vector<std::unique_ptr<Attempt>> attempts;
};

struct Query {
  RequestId id = 0;
  std::string name, text;
  int op_type = 0;
  bool client_retry = false;
  Time left = 0, arrived = 0;
  std::vector<std::unique_ptr<Part>> parts;
  std::size_t value_bytes = 0, values_most = 65536;  // no answer in the platform's form holds more
  std::size_t bytes = 0;                             // what it takes of the memory, about
  std::unique_ptr<Client> client;                    // none once answered or gone
};

}  // namespace cairnhub::dispatch
