// The names under which shard requests were last sent on a connection.
//
// Framed endpoints answer by name, and the platform makes names of the ids that clients choose. A result that
// comes late, or a second time, would be taken for that of a later shard request of the same name, so that a
// connection carries a name for one shard request only.
#pragma once
#include <algorithm>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

#include "policy/attempt_outcome.h"

namespace cairnhub::backend::framed {

// Remembers the last kMaxCount names. Compares hashes: names that differ may count as equal, which costs a
// connection.
class RecentNames {
 public:
  static constexpr std::size_t kMaxCount = 256;

  void add(std::string_view name, RequestId shard_request) {
    const Entry entry{std::hash<std::string_view>{}(name), shard_request};
    if (entries_.size() < kMaxCount) {
      entries_.push_back(entry);
      return;
    }
    entries_[oldest_] = entry;
    oldest_ = (oldest_ + 1) % kMaxCount;
  }
  // Returns whether the name was sent for a shard request other than this one.
  bool has_other(std::string_view name, RequestId shard_request) const {
    const std::size_t hash = std::hash<std::string_view>{}(name);
    return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
      return entry.name_hash == hash && entry.shard_request != shard_request;
    });
  }

 private:
  struct Entry {
    std::size_t name_hash;
    RequestId shard_request;
  };
  std::vector<Entry> entries_;
  std::size_t oldest_ = 0;  // once there are kMaxCount
};

}  // namespace cairnhub::backend::framed
