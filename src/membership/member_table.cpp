#include "membership/member_table.h"

#include <algorithm>

namespace cairnhub::membership {

void MemberTable::add_configured(const std::string& name, const std::string& address) {
  Member& member = members_[name];
  member.is_configured = true;
  member.configured_address = address;
  if (member.update.name.empty()) member.update = {name, address, 0, MemberState::dead, ""};
}

MemberState MemberTable::apply(const MemberUpdate& update, Time now) {
  Member& member = members_[update.name];
  const MemberState previous = member.update.name.empty() ? MemberState::dead : member.update.state;
  if (membership::is_live(previous)) {
    digest_ -= digest_of(member.update);
    --live_count_;
  }
  member.update = update;
  if (member.is_live()) {
    digest_ += digest_of(update);
    ++live_count_;
  }
  member.updated_at = std::max<Time>(now, 1);
  member.accusers.clear();
  suspects_.erase(update.name);
  if (update.state == MemberState::suspect) {
    member.suspected_at = now;
    member.accusers.insert(update.accuser);
    suspects_.insert(update.name);
  }
  return previous;
}

bool MemberTable::add_accuser(const std::string& name, const std::string& accuser,
                              std::size_t max_confirmations) {
  Member& member = members_.at(name);
  if (member.accusers.size() > max_confirmations || !member.accusers.insert(accuser).second) return false;
  member.update.accuser = accuser;
  return true;
}

std::vector<std::string> MemberTable::remove_expired(Time now, Time retention) {
  std::vector<std::string> removed;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    if (!member.is_configured && !member.is_live() && now - member.updated_at >= retention) {
      removed.push_back(it->first);
      it = members_.erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

const Member* MemberTable::find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<const Member*> MemberTable::all() const {
  std::vector<const Member*> result;
  result.reserve(members_.size());
  for (const auto& [name, member] : members_) result.push_back(&member);
  return result;
}

std::vector<const Member*> MemberTable::live() const {
  std::vector<const Member*> result = all();
  std::erase_if(result, [](const Member* member) { return !member->is_live(); });
  return result;
}

}  // namespace cairnhub::membership
