// What one member holds of another's health.
#pragma once

namespace cairnhub::membership {

// Of two updates with one incarnation the later enumerator wins. The values are part of the message format.
enum class MemberState {
  alive,
  suspect,  // a probe failed; dead unless it refutes within the suspicion timeout
  dead,
  left,  // announced its departure
};

// @return the state as operators see it in logs and JSON.
const char* name_of(MemberState state);

// @return whether the member still counts: probed, sent payloads and relied on.
bool is_live(MemberState state);

}  // namespace cairnhub::membership
