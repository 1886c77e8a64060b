#include "two_phase/top_k_merge.h"

#include <algorithm>

namespace cairnhub::two_phase {

namespace {

bool ranks_before(const std::vector<const MatchList*>& lists, RankedMatch a, RankedMatch b) {
  const MatchList &in_a = *lists[a.block], &in_b = *lists[b.block];
  const double x = in_a.entries[a.entry].score, y = in_b.entries[b.entry].score;
  if (x != y) return x > y;
  if (a.block != b.block) return a.block < b.block;
  return a.entry < b.entry;  // equal scores are already ordered by id within a list
}

}  // namespace

TopMatches merge_top_k(const std::vector<const MatchList*>& lists, std::size_t limit) {
  TopMatches result;
  std::vector<RankedMatch> heads;  // a heap of each list's next entry, the best on top
  for (std::uint32_t b = 0; b < lists.size(); ++b)
    if (lists[b] && !lists[b]->entries.empty()) heads.push_back({b, 0});
  const auto worse = [&](RankedMatch a, RankedMatch b) { return ranks_before(lists, b, a); };
  std::make_heap(heads.begin(), heads.end(), worse);
  while (!heads.empty() && result.matches.size() < limit) {
    std::pop_heap(heads.begin(), heads.end(), worse);
    RankedMatch& best = heads.back();
    result.matches.push_back(best);
    const MatchList& list = *lists[best.block];
    if (best.entry + 1 < list.entries.size()) {
      ++best.entry;
      std::push_heap(heads.begin(), heads.end(), worse);
      continue;
    }
    // The list's further matches rank after this one, so any of them could come next.
    if (list.has_more && result.matches.size() < limit)
      result.unfinished_lists.push_back(
          {best.block, limit == kUnlimited ? kUnlimited : limit - result.matches.size()});
    heads.pop_back();
  }
  std::sort(result.unfinished_lists.begin(), result.unfinished_lists.end(),
            [](auto& a, auto& b) { return a.block < b.block; });
  return result;
}

std::vector<RankedMatch> sort_all(const std::vector<const MatchList*>& lists, std::size_t limit) {
  std::vector<RankedMatch> all;
  for (std::uint32_t b = 0; b < lists.size(); ++b)
    for (std::uint32_t e = 0; lists[b] && e < lists[b]->entries.size(); ++e) all.push_back({b, e});
  std::sort(all.begin(), all.end(), [&](RankedMatch a, RankedMatch b) { return ranks_before(lists, a, b); });
  if (all.size() > limit) all.resize(limit);
  return all;
}

}  // namespace cairnhub::two_phase
