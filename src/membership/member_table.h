// The other members, by name.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/member.h"

namespace cairnhub::membership {

// Stores members and keeps the live count, the digest and the set of suspects equal to what they add up to;
// every change of a member goes through here for that. Decides nothing: which update wins is
// SwimMembership's.
class MemberTable {
 public:
  // Adds a member named by the operators, or marks a known one as such.
  void add_configured(const std::string& name, const std::string& address);

  // Replaces what is held of update.name, adding the member where it is unknown; ends its suspicion, or
  // begins one where the update says suspect.
  // @return the state held before; dead for an unknown member.
  MemberState apply(const MemberUpdate& update, Time now);

  // Records who else confirms the suspicion of `name`, which must be a suspect, unless `max_confirmations`
  // others than the first have.
  // @return whether this accuser is new.
  bool add_accuser(const std::string& name, const std::string& accuser, std::size_t max_confirmations);

  // Removes members that have not been live for `retention`, except configured ones.
  // @return their names.
  std::vector<std::string> remove_expired(Time now, Time retention);

  // @return null where the name is unknown. Valid until the member is removed.
  const Member* find(const std::string& name) const;
  bool contains(const std::string& name) const { return members_.count(name) != 0; }
  std::size_t size() const { return members_.size(); }
  std::size_t live_count() const { return live_count_; }
  std::uint64_t digest() const { return digest_; }  // sum of the members' digests
  const std::set<std::string>& suspects() const { return suspects_; }

  // @return the members in the order of their names, valid until one is removed.
  std::vector<const Member*> all() const;
  std::vector<const Member*> live() const;

 private:
  std::map<std::string, Member> members_;
  std::set<std::string> suspects_;
  std::size_t live_count_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace cairnhub::membership
