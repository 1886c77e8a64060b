// Decides when the next search of a request that holds many searches may start, so that their answers and the
// parts of the response that wait to be written fit into the memory, however many searches the request holds.
//
// Inputs: bytes held for clients; bytes that earlier searches of the index took; whether a search of the same
// request is in hand.
#pragma once
#include <cstddef>

#include "policy/memory_limiter.h"

namespace cairnhub {

// The decision for one index. Expects each search to take what the largest of the recent ones took; before
// any has ended, the most that a search can take.
class SearchAdmission {
 public:
  // @param max_search_bytes the most that the answers of one search may take
  SearchAdmission(const MemoryLimiter& limiter, std::size_t max_search_bytes)
      : limiter_(limiter), expected_bytes_(max_search_bytes) {}

  // Records the most that a search took until its response was merged.
  void record_search(std::size_t bytes);
  // Returns the bytes to be reserved for a search that starts. Limited, so that an expectation of large
  // answers doesn't keep other requests from being admitted.
  std::size_t reserved_bytes() const;
  // Returns whether the next search may start. A request with no search in hand gets one even where large
  // answers are expected, as long as new requests are admitted: else it could never be served.
  bool may_start(std::size_t held_bytes, bool has_search_in_hand) const;

 private:
  MemoryLimiter limiter_;
  std::size_t expected_bytes_;
};

}  // namespace cairnhub
