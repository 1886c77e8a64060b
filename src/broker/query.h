// A multiget as it passes the stages: the bytes that go on unchanged, and what the decisions need.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide.h"

namespace cairnhub::broker {

struct Part;
struct Query;

// Who waits for the answer. Whatever protocol the client speaks stands behind this.
class Client {
 public:
  virtual ~Client() = default;
  // `come_back` in seconds as text, or empty. Called once.
  virtual void answer(int status, std::string_view come_back, std::string body) = 0;
};

// One send of one part, as the sending stage holds it.
struct Errand {
  Part* part = nullptr;
  int index = 0;
  Time sent_at = 0, until = 0;
  bool ended = false;
};

struct Part {
  RequestId id = 0;
  Query* query = nullptr;
  int shard = 0;
  double weight = 0;
  std::string name;  // at the nodes
  std::optional<std::string> value;
  std::vector<std::unique_ptr<Errand>> errands;
};

struct Query {
  RequestId id = 0;
  std::string name, text;
  int op_type = 0;
  bool client_retry = false;
  Time left = 0;
  std::vector<std::unique_ptr<Part>> parts;
  std::size_t value_bytes = 0;
  std::size_t bytes = 0;           // what it takes of the memory, about
  std::unique_ptr<Client> client;  // none once answered or gone
};

}  // namespace cairnhub::broker
