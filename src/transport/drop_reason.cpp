#include "transport/drop_reason.h"

namespace cairnhub::transport {

const char* name_of(DropReason reason) {
  switch (reason) {
    case DropReason::none:
      return "none";
    case DropReason::malformed:
      return "malformed";
    case DropReason::unknown_key:
      return "no_such_key";
    case DropReason::bad_mac:
      return "bad_mac";
    case DropReason::wrong_recipient:
      return "not_for_us";
    case DropReason::unknown_session:
      return "no_ticket";
    case DropReason::replayed:
      return "replayed";
    case DropReason::unsolicited:
      return "unasked";
    case DropReason::too_many_peers:
      return "too_many";
  }
  return "none";
}

}  // namespace cairnhub::transport
