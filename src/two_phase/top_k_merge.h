// Merges the match lists of the blocks into the best N over all of them. Each list is ordered best first and
// may be only the first pages of a longer one: the merge also names the lists whose further pages could still
// contribute to the best N.
//
// This is the threshold algorithm of Fagin, Lotem and Naor ("Optimal Aggregation Algorithms for Middleware",
// PODS 2001) in a special case: every stall is in one list only, so its score there is its grade, and the
// threshold for the unread part of a list is its last entry read. A list needs another page only while that
// entry is among the best N.
//
// Order: higher score, then smaller block index, then smaller id by bytes. Deterministic, no I/O; takes
// O((blocks + N) log blocks).
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "two_phase/host_messages.h"

namespace cairnhub::two_phase {

constexpr std::size_t kUnlimited = SIZE_MAX;

// Refers to one entry of the merged lists.
struct RankedMatch {
  std::uint32_t block;  // index of the list
  std::uint32_t entry;  // index in the block's list
};
// A list whose further pages could hold matches that belong to the best N.
struct UnfinishedList {
  std::uint32_t block;
  std::size_t max_missing;  // how many of its further matches could be among the best N
};
// The result of a merge.
struct TopMatches {
  std::vector<RankedMatch> matches;              // best first
  std::vector<UnfinishedList> unfinished_lists;  // by block; if empty, the matches are final
};

// Merges the lists.
// @param lists by block; null where a block has no list, which leaves the block out
// @param limit N, or kUnlimited
TopMatches merge_top_k(const std::vector<const MatchList*>& lists, std::size_t limit);

// Sorts all entries together. Returns the same matches as merge_top_k(), for tests and benchmarks to compare.
std::vector<RankedMatch> sort_all(const std::vector<const MatchList*>& lists, std::size_t limit);

}  // namespace cairnhub::two_phase
