// What is held of one other member.
#pragma once
#include <set>
#include <string>

#include "base/time.h"
#include "membership/member_update.h"

namespace cairnhub::membership {

struct Member {
  MemberUpdate update;         // the one that won; of a configured member not heard of yet: dead
  bool is_configured = false;  // named by the operators
  std::string configured_address;
  Time updated_at = 0;             // 0: no update on it has come
  Time suspected_at = 0;           // valid while suspect
  std::set<std::string> accusers;  // who confirmed the present suspicion

  // @return where to send: for a configured member always the operators' address.
  const std::string& address() const { return is_configured ? configured_address : update.address; }
  bool is_live() const { return membership::is_live(update.state); }
  bool has_update() const { return updated_at != 0; }
};

}  // namespace cairnhub::membership
