// Runs single searches of the OpenSearch-style API: sends each as a request through the dispatcher, one shard
// request for each shard of the index, and merges the answers. Makes no choices of its own.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dispatch/client_memory.h"
#include "dispatch/in_flight_requests.h"
#include "dispatch/request_dispatcher.h"
#include "frontend/opensearch/index_definition.h"
#include "opensearch/response.h"

namespace cairnhub::frontend::opensearch {

// The state of the endpoints that the API reports.
class EndpointView {
 public:
  virtual ~EndpointView() = default;
  virtual std::string endpoint_name(EndpointId id) const = 0;  // empty if the endpoint is no longer known
  // Returns the names of the ready endpoints that hold the shard.
  virtual std::vector<std::string> replica_names(int shard) const = 0;
  virtual int ready_count() const = 0;  // number of endpoints that are ready
};

// A search that is ready to be sent.
struct SearchJob {
  enum class Result { kSearch, kCount, kHits };

  // Keeps what merging needs of the search, and the text for the shards. The parsed query is dropped.
  SearchJob(const IndexDefinition& searched, cairnhub::opensearch::Search parsed, Result wanted);

  const IndexDefinition* index;
  cairnhub::opensearch::Search search;
  std::string shard_body;
  Result result;
  Time time_limit;  // counted from the arrival of the API request

  std::size_t memory_bytes() const;  // approximate
};

// A hit that isn't part of a response body: kHits.
struct FoundHit {
  std::string id;
  std::string raw;  // the JSON text as received
};

// What a search came to.
struct SearchOutcome {
  cairnhub::opensearch::ApiResponse response;  // has an empty body if the hits are returned apart
  Time retry_after = 0;                        // 0: no advice
  bool is_complete = false;                    // every shard has answered
  std::vector<FoundHit> hits;                  // kHits only
  std::size_t peak_bytes = 0;                  // what the answers and the response took at most

  std::size_t memory_bytes() const;
};

// Sends searches and hands over their outcomes.
class SearchExecutor {
 public:
  SearchExecutor(dispatch::InFlightRequests& requests, dispatch::RequestDispatcher& dispatcher,
                 const EndpointView& endpoints)
      : requests_(requests), dispatcher_(dispatcher), endpoints_(endpoints) {}

  using Done = std::function<void(SearchOutcome)>;
  // Starts a search. `done` is called once, perhaps before this returns; it isn't called if the search is
  // abandoned.
  // @param began_at       arrival of the API request, from which the time of the search counts
  // @param reserved_bytes memory to reserve until the answers take more
  // @param id             set to the id of the request before it starts
  void start(SearchJob job, Time began_at, std::size_t reserved_bytes, RequestId& id, Done done);
  void abandon(RequestId id) { dispatcher_.abandon_request(id); }
  // Returns the outcome of a search that isn't started because of the broker's memory or time.
  SearchOutcome rejected_outcome() const;
  bool is_full() const { return requests_.is_full(); }
  const std::shared_ptr<dispatch::ClientMemory>& memory() const { return requests_.memory(); }
  const EndpointView& endpoints() const { return endpoints_; }

 private:
  class Callbacks;

  dispatch::InFlightRequests& requests_;
  dispatch::RequestDispatcher& dispatcher_;
  const EndpointView& endpoints_;
  std::uint64_t last_search_number_ = 0;
};

}  // namespace cairnhub::frontend::opensearch
