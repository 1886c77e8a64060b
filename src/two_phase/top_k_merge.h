// Which stalls survive the first phase. Each block's matches come best first, perhaps in pages; the best N
// over all blocks are found without looking at the rest, together with the blocks whose unseen matches could
// still enter them.
//
// This is the threshold algorithm of Fagin, Lotem and Naor ("Optimal Aggregation Algorithms for Middleware",
// PODS 2001) for the case at hand: every stall stands in one list only, so that its score there is its grade
// and the threshold that a list's unseen part can reach is the place of its last seen entry. A list is read
// on only while that place lies within the best N.
//
// Order: higher score, then smaller block, then smaller id by bytes. No I/O, no chance; cost O((blocks + N)
// log blocks).
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "two_phase/host_messages.h"

namespace cairnhub::two_phase {

constexpr std::size_t kUnlimited = SIZE_MAX;

struct RankedMatch {
  std::uint32_t block;  // its place among the lists
  std::uint32_t entry;  // in its block's list
};
struct UnfinishedList {
  std::uint32_t block;
  std::size_t max_missing;  // so many of its unseen ones could enter
};
struct TopMatches {
  std::vector<RankedMatch> matches;              // best first
  std::vector<UnfinishedList> unfinished_lists;  // in order of block; empty: the survivors are final
};

// Null for a block of which nothing is known: it takes no part. `limit`: N, or kUnlimited.
TopMatches merge_top_k(const std::vector<const MatchList*>& lists, std::size_t limit);

// The plain way, to compare with: all entries together, sorted. The same matches.
std::vector<RankedMatch> sort_all(const std::vector<const MatchList*>& lists, std::size_t limit);

}  // namespace cairnhub::two_phase
