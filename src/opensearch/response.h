// Builds the HTTP responses of the OpenSearch-style API from a merged result and the outcome of each shard.
// The only place that maps the outcomes of attempts to error types of the API. No I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "opensearch/merge.h"

namespace cairnhub::opensearch {

// A shard whose answer is missing, and the reason.
struct ShardFailure {
  std::string index;
  int shard = 0;
  std::string node;  // the name of the last endpoint tried; empty if there was no attempt
  enum class Kind {
    kNoReplica,      // no attempt could be made
    kNotConnected,   // the search did not run
    kRejected,       // by the endpoint; the search did not run
    kDisconnected,   // the search may have run
    kTimedOut,       // the search may have run or may still run
    kError,          // reported by the endpoint; the search may have run
    kInvalidAnswer,  // the search ran
    kNoMemory,       // the broker had no memory for the answer; the search may have run
  } kind = Kind::kNoReplica;
  std::string detail;  // for kInvalidAnswer: why the answer is invalid
};
bool is_known_not_run(ShardFailure::Kind kind);

struct ShardSummary {
  int total = 0;    // shards of the index
  int skipped = 0;  // without an answer although the response is complete: the required share had answered
  std::vector<ShardFailure> failures;
};

// Returns the `_shards` object of a response.
json shards_json(const ShardSummary& shards);

struct ApiResponse {
  int status = 200;
  std::string body;
};
// `is_complete`: the required share of the shards has answered.
ApiResponse search_response(const Search& search, const MergedResult& merged, const ShardSummary& shards,
                            bool is_complete, std::int64_t took_ms);
ApiResponse count_response(const MergedResult& merged, const ShardSummary& shards, bool is_complete);
// Status 429.
ApiResponse too_many_requests_response();
// Status 503: there is nothing that may be returned.
ApiResponse all_shards_failed_response(const ShardSummary& shards);
ApiError index_not_found(const std::string& index);
ApiResponse error_response(const ApiError& error);

}  // namespace cairnhub::opensearch
