#include "membership/probe_order.h"

#include <utility>

namespace cairnhub::membership {

const Member* ProbeOrder::next(const MemberTable& members, RandomSource& random) {
  // The rest of this round, then at most one new one.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (next_index_ < round_.size()) {
      const Member* member = members.find(round_[next_index_++]);
      if (member && member->is_live()) return member;
    }
    round_.clear();
    next_index_ = 0;
    for (const Member* member : members.live()) round_.push_back(member->update.name);
    for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[random.below(i)]);
  }
  return nullptr;
}

void ProbeOrder::insert(const std::string& name, RandomSource& random) {
  const std::size_t index = next_index_ + random.below(round_.size() - next_index_ + 1);
  round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(index), name);
}

}  // namespace cairnhub::membership
