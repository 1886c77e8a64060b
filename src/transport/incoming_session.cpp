#include "transport/incoming_session.h"

#include <utility>

namespace cairnhub::transport {

DropReason IncomingSession::accept(std::uint64_t session_id, std::uint64_t sequence_number) {
  // An offer takes effect when it is used, as only the peer it was granted to can use it: a replayed request
  // alone doesn't end the session in use.
  if (session_id != 0 && session_id == offered_id_) {
    id_ = std::exchange(offered_id_, 0);
    replay_window_ = ReplayWindow();
  }
  if (session_id == 0 || session_id != id_) {
    return DropReason::unknown_session;
  }
  if (sequence_number == 0) {
    return DropReason::malformed;
  }
  return replay_window_.accept(sequence_number) ? DropReason::none : DropReason::replayed;
}

}  // namespace cairnhub::transport
