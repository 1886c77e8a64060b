// What members send each other.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "membership/member_update.h"

namespace cairnhub::membership {

struct Message {
  // The values are part of the message format.
  enum class Kind {
    ping,
    ack,
    nack,             // to the sender of a ping request: the target has not answered so far
    ping_request,     // asks the receiver to ping `target` and to pass on its ack (SWIM's ping-req)
    full_sync,        // carries all that the sender holds, asks for the same
    full_sync_reply,  // carries all that the sender holds
    payload,          // carries a payload, asks for nothing
  };

  Kind kind = Kind::ping;
  std::uint32_t sequence_number = 0;  // pairs acks and nacks with what they answer
  std::string target;                 // of a ping request; else empty
  std::uint64_t digest = 0;           // SwimMembership::digest() of the sender
  std::vector<MemberUpdate> updates;  // piggybacked; in a full sync all that the sender holds
  std::string payload;                // piggybacked bytes of other subsystems, not read here
};

}  // namespace cairnhub::membership
