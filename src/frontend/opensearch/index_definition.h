// An index of the OpenSearch-style API, as declared in the options.
#pragma once
#include <cstddef>
#include <string>

#include "base/time.h"

namespace cairnhub::frontend::opensearch {

struct IndexDefinition {
  std::string name;
  int first_shard = 0;  // the index has the shards first_shard .. first_shard + shard_count - 1
  int shard_count = 1;
  int request_class = 0;
  Time max_time = kSecond;                 // time limit of a search that doesn't state a shorter timeout
  std::size_t max_answer_bytes = 1 << 20;  // the most that one shard's answer may take
};

}  // namespace cairnhub::frontend::opensearch
