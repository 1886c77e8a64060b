#include "membership/member_state.h"

namespace cairnhub::membership {

const char* name_of(MemberState state) {
  switch (state) {
    case MemberState::alive:
      return "alive";
    case MemberState::suspect:
      return "suspect";
    case MemberState::dead:
      return "dead";
    case MemberState::left:
      return "left";
  }
  return "?";
}

bool is_live(MemberState state) { return state == MemberState::alive || state == MemberState::suspect; }

}  // namespace cairnhub::membership
