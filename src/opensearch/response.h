// What a client of the API is told, from what really happened to each block. The one place where the ends of
// sends become the API's words. No I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "opensearch/merge.h"

namespace cairnhub::opensearch {

// Why a block is not in.
struct Failure {
  std::string index;
  int block = 0;
  std::string node;  // empty: none was sent to
  enum class How {
    no_holder,      // nothing could be sent
    not_connected,  // surely not run
    rejected,       // turned away by the node: surely not run
    broken,         // may have run
    timed_out,      // may have run, or may yet
    error,          // the node's own word: may have run
    unusable,       // an answer that can't be used: has run
  } how = How::no_holder;
  std::string detail;  // unusable: what is wrong
};
bool surely_not_run(Failure::How how);

struct Shards {
  int total = 0;    // blocks of the indices asked
  int skipped = 0;  // not needed, as any n of them make a whole answer
  std::vector<Failure> failures;
};

json shards_json(const Shards& shards);

// One search's answer. `whole`: as the core says.
struct Outcome {
  int status = 200;
  std::string body;
};
Outcome search_answer(const Search& search, const Merged& merged, const Shards& shards, bool whole,
                      std::int64_t took_ms);
Outcome count_answer(const Merged& merged, const Shards& shards, bool whole);
Outcome pushed_back();                 // 429
Outcome failed(const Shards& shards);  // 503: nothing that may be answered
Outcome fault(const Fault& fault);

}  // namespace cairnhub::opensearch
