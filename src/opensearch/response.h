// What a client of the API is told, from what really happened to each block. The one place where the ends of
// sends become the API's words. No I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "opensearch/merge.h"

namespace cairnhub::opensearch {

// Why a block is not in.
struct ShardFailure {
  std::string index;
  int shard = 0;
  std::string node;  // empty: none was sent to
  enum class Kind {
    kNoReplica,      // nothing could be sent
    kNotConnected,   // surely not run
    kRejected,       // turned away by the node: surely not run
    kDisconnected,   // may have run
    kTimedOut,       // may have run, or may yet
    kError,          // the node's own word: may have run
    kInvalidAnswer,  // an answer that can't be used: has run
  } kind = Kind::kNoReplica;
  std::string detail;  // unusable: what is wrong
};
bool is_known_not_run(ShardFailure::Kind how);

struct ShardSummary {
  int total = 0;    // blocks of the indices asked
  int skipped = 0;  // not needed, as any n of them make a whole answer
  std::vector<ShardFailure> failures;
};

json shards_json(const ShardSummary& shards);

// One search's answer. `whole`: as the core says.
struct ApiResponse {
  int status = 200;
  std::string body;
};
ApiResponse search_response(const Search& search, const MergedResult& merged, const ShardSummary& shards,
                            bool whole, std::int64_t took_ms);
ApiResponse count_response(const MergedResult& merged, const ShardSummary& shards, bool whole);
ApiResponse too_many_requests_response();                            // 429
ApiResponse all_shards_failed_response(const ShardSummary& shards);  // 503: nothing that may be answered
ApiResponse error_response(const ApiError& fault);

}  // namespace cairnhub::opensearch
