// The session in which a peer's datagrams are accepted: one that this broker granted to it.
#pragma once
#include <cstdint>

#include "transport/drop_reason.h"
#include "transport/replay_window.h"

namespace cairnhub::transport {

class IncomingSession {
 public:
  // Grants the session of this id, which isn't 0. The one in use goes on until the peer uses the new one; a
  // former offer that was not used is withdrawn, even if its grant is still under way to the peer.
  void offer(std::uint64_t session_id) { offered_id_ = session_id; }

  // Whether a body that came with these may be accepted; if so, it is remembered as accepted.
  DropReason accept(std::uint64_t session_id, std::uint64_t sequence_number);

 private:
  std::uint64_t id_ = 0;          // in use; 0: none
  std::uint64_t offered_id_ = 0;  // granted and not used yet; 0: none
  ReplayWindow replay_window_;
};

}  // namespace cairnhub::transport
