#include "two_phase/top_k_merge.h"

#include <algorithm>

namespace cairnhub::two_phase {

namespace {

bool before(const std::vector<const MatchList*>& lists, Survivor a, Survivor b) {
  const MatchList &in_a = *lists[a.block], &in_b = *lists[b.block];
  const double x = in_a.entries[a.entry].score, y = in_b.entries[b.entry].score;
  if (x != y) return x > y;
  if (a.block != b.block) return a.block < b.block;
  return a.entry < b.entry;  // a block's list stands in the order of ids already
}

}  // namespace

Ranked rank(const std::vector<const MatchList*>& lists, std::size_t limit) {
  Ranked found;
  std::vector<Survivor> heads;  // a heap of each block's next one, the best on top
  for (std::uint32_t b = 0; b < lists.size(); ++b)
    if (lists[b] && !lists[b]->entries.empty()) heads.push_back({b, 0});
  const auto worse = [&](Survivor a, Survivor b) { return before(lists, b, a); };
  std::make_heap(heads.begin(), heads.end(), worse);
  while (!heads.empty() && found.survivors.size() < limit) {
    std::pop_heap(heads.begin(), heads.end(), worse);
    Survivor& best = heads.back();
    found.survivors.push_back(best);
    const MatchList& list = *lists[best.block];
    if (best.entry + 1 < list.entries.size()) {
      ++best.entry;
      std::push_heap(heads.begin(), heads.end(), worse);
      continue;
    }
    // Its unseen ones rank after this one, and from here on any of them could.
    if (list.more && found.survivors.size() < limit)
      found.wanting.push_back({best.block, limit == kAll ? kAll : limit - found.survivors.size()});
    heads.pop_back();
  }
  std::sort(found.wanting.begin(), found.wanting.end(), [](auto& a, auto& b) { return a.block < b.block; });
  return found;
}

std::vector<Survivor> sort_all(const std::vector<const MatchList*>& lists, std::size_t limit) {
  std::vector<Survivor> all;
  for (std::uint32_t b = 0; b < lists.size(); ++b)
    for (std::uint32_t e = 0; lists[b] && e < lists[b]->entries.size(); ++e) all.push_back({b, e});
  std::sort(all.begin(), all.end(), [&](Survivor a, Survivor b) { return before(lists, a, b); });
  if (all.size() > limit) all.resize(limit);
  return all;
}

}  // namespace cairnhub::two_phase
