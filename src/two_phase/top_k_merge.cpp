#include "two_phase/top_k_merge.h"

#include <algorithm>

namespace cairnhub::two_phase {

namespace {

bool before(const std::vector<const MatchList*>& lists, RankedMatch a, RankedMatch b) {
  const MatchList &in_a = *lists[a.block], &in_b = *lists[b.block];
  const double x = in_a.entries[a.entry].score, y = in_b.entries[b.entry].score;
  if (x != y) return x > y;
  if (a.block != b.block) return a.block < b.block;
  return a.entry < b.entry;  // a block's list stands in the order of ids already
}

}  // namespace

TopMatches merge_top_k(const std::vector<const MatchList*>& lists, std::size_t limit) {
  TopMatches found;
  std::vector<RankedMatch> heads;  // a heap of each block's next one, the best on top
  for (std::uint32_t b = 0; b < lists.size(); ++b)
    if (lists[b] && !lists[b]->entries.empty()) heads.push_back({b, 0});
  const auto worse = [&](RankedMatch a, RankedMatch b) { return before(lists, b, a); };
  std::make_heap(heads.begin(), heads.end(), worse);
  while (!heads.empty() && found.matches.size() < limit) {
    std::pop_heap(heads.begin(), heads.end(), worse);
    RankedMatch& best = heads.back();
    found.matches.push_back(best);
    const MatchList& list = *lists[best.block];
    if (best.entry + 1 < list.entries.size()) {
      ++best.entry;
      std::push_heap(heads.begin(), heads.end(), worse);
      continue;
    }
    // Its unseen ones rank after this one, and from here on any of them could.
    if (list.has_more && found.matches.size() < limit)
      found.unfinished_lists.push_back(
          {best.block, limit == kUnlimited ? kUnlimited : limit - found.matches.size()});
    heads.pop_back();
  }
  std::sort(found.unfinished_lists.begin(), found.unfinished_lists.end(),
            [](auto& a, auto& b) { return a.block < b.block; });
  return found;
}

std::vector<RankedMatch> sort_all(const std::vector<const MatchList*>& lists, std::size_t limit) {
  std::vector<RankedMatch> all;
  for (std::uint32_t b = 0; b < lists.size(); ++b)
    for (std::uint32_t e = 0; lists[b] && e < lists[b]->entries.size(); ++e) all.push_back({b, e});
  std::sort(all.begin(), all.end(), [&](RankedMatch a, RankedMatch b) { return before(lists, a, b); });
  if (all.size() > limit) all.resize(limit);
  return all;
}

}  // namespace cairnhub::two_phase
