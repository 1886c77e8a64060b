// The OpenSearch-style query API on the clients' listener: searches become multigets through the core, and
// what became of each block's sends is told in the API's words. docs/opensearch.md says what is supported.
// Chooses nothing.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/in_flight_requests.h"
#include "dispatch/request_dispatcher.h"
#include "frontend/http/http_server.h"
#include "opensearch/response.h"

namespace cairnhub::frontend::opensearch {

// As the operators declare it.
struct Index {
  std::string name;
  int first = 0, blocks = 1;  // the shards first .. first + blocks - 1
  int op_type = 0;
  Time timeout = kSecond;  // what a search may take where it states no less
};

// What the front needs to know of the surroundings.
class Surroundings {
 public:
  virtual ~Surroundings() = default;
  virtual std::string node_name(EndpointId id) const = 0;         // empty where it isn't known any more
  virtual std::vector<std::string> holders(int block) const = 0;  // names of ready nodes
  virtual int nodes() const = 0;                                  // ready ones
};

class Front : public frontend::Front {
 public:
  Front(std::vector<Index> indices, const cairnhub::opensearch::Limits& limits,
        dispatch::InFlightRequests& book, dispatch::RequestDispatcher& route, const Surroundings& around);
  bool takes(std::string_view path) const override;
  std::function<void()> take(const frontend::platform::Asked& asked,
                             std::unique_ptr<dispatch::Responder> reply) override;

 private:
  struct Job;
  class Ask;
  using Slot = std::size_t;

  std::function<void()> search(const frontend::platform::Asked& asked, const std::string& index, bool counts,
                               std::unique_ptr<dispatch::Responder> reply);
  std::function<void()> msearch(const frontend::platform::Asked& asked, const std::string& index,
                                std::unique_ptr<dispatch::Responder> reply);
  std::function<void()> mget(const frontend::platform::Asked& asked, const std::string& index,
                             std::unique_ptr<dispatch::Responder> reply);
  cairnhub::opensearch::Outcome health() const;
  std::string cat_shards(const std::string& index) const;
  const Index* find(const std::string& name) const;
  void begin(const std::shared_ptr<Job>& job, Slot slot, const Index& index,
             const cairnhub::opensearch::Search& search, const std::string& body, bool counts);
  static std::shared_ptr<Job> job(std::unique_ptr<dispatch::Responder> reply, std::size_t slots,
                                  std::function<cairnhub::opensearch::Outcome(Job&)> form);
  std::function<void()> leaves(const std::shared_ptr<Job>& job);

  std::vector<Index> indices_;
  cairnhub::opensearch::Limits limits_;
  dispatch::InFlightRequests& book_;
  dispatch::RequestDispatcher& route_;
  const Surroundings& around_;
  std::uint64_t asked_ = 0;
};

}  // namespace cairnhub::frontend::opensearch
