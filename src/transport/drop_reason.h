// Why a message that came was not accepted.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

namespace cairnhub::transport {

// In quotes: the name in the admin API (name_of()), where it differs from the enumerator.
enum class DropReason {
  none,             // it was accepted
  malformed,        // no message of this protocol
  unknown_key,      // "no_such_key": signed with a key that this broker doesn't hold
  bad_mac,          // altered on the way, or signed by somebody without the key
  wrong_recipient,  // "not_for_us": meant for another broker, or this broker's own, sent back to it
  // "no_ticket": of a session that this broker didn't grant, or has withdrawn or forgotten since. Normal: a
  // burst after a restart of this broker, until its peers have new sessions.
  unknown_session,
  replayed,  // accepted before, or too old to tell
  // "unasked": a reply that this broker didn't ask for, or no longer waits for. Normal: a few after a peer
  // restarts, or on a lossy link, where requests are repeated.
  unsolicited,
  too_many_peers,  // "too_many": from a new peer, while the peer table is full
};

constexpr std::size_t kDropReasonCount = 9;

// All but `none`, in the order in which they are declared.
constexpr std::array<DropReason, kDropReasonCount - 1> kDropReasons = {
    DropReason::malformed,       DropReason::unknown_key,     DropReason::bad_mac,
    DropReason::wrong_recipient, DropReason::unknown_session, DropReason::replayed,
    DropReason::unsolicited,     DropReason::too_many_peers,
};

// The reason's name in the admin API and in its documentation.
const char* name_of(DropReason reason);

// How many messages were dropped, by reason. One thread.
class DropCounters {
 public:
  // Counts a message that was dropped; `none` isn't counted.
  void record(DropReason reason) {
    if (reason != DropReason::none) {
      ++counts_[static_cast<std::size_t>(reason)];
    }
  }
  std::uint64_t count(DropReason reason) const { return counts_[static_cast<std::size_t>(reason)]; }

 private:
  std::array<std::uint64_t, kDropReasonCount> counts_{};
};

}  // namespace cairnhub::transport
