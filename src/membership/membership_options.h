// What a member's timing, fan-out and bounds are.
#pragma once
#include <cstddef>

#include "base/time.h"

namespace cairnhub::membership {

struct MembershipOptions {
  // Probes. The first two grow with the local health multiplier.
  Time probe_interval = kSecond / 2;         // one member is probed in each
  Time probe_timeout = kSecond / 5;          // of the direct ping; then helpers are asked
  Time ping_resend_interval = kSecond / 20;  // of the direct ping, from its timeout to the end of the probe
  int indirect_probe_count = 3;              // helpers asked to ping a member that does not answer
  int max_local_health_score = 8;            // Lifeguard's S; the waits grow up to 1 + this times

  // Suspicion lasts suspicion_multiplier x log10(members) x probe_interval once suspicion_confirmations
  // others confirm it, and up to max_suspicion_timeout_multiplier times that while nobody does. The members
  // are the live ones, this one and suspects among them; log10 counts as 1 for ten and fewer. The local
  // health multiplier doesn't stretch it.
  double suspicion_multiplier = 4;
  double max_suspicion_timeout_multiplier = 6;
  int suspicion_confirmations = 3;

  // Dissemination.
  double retransmit_multiplier = 3;        // an update is sent this x log2(members + 1) times
  std::size_t max_piggyback_bytes = 1000;  // of updates in one message, about
  // Before this member begins a full sync because of a differing digest: since the last one that it began,
  // a retry of a dead member among them. Such retries themselves don't wait for it.
  Time min_full_sync_interval = 2 * kSecond;

  // Members.
  Time dead_member_retry_interval = kSecond;    // mean, between full syncs tried with one that isn't live
  Time dead_member_retention = 3600 * kSecond;  // then its record is removed; a configured member's never is
  std::size_t max_members = 4096;               // beyond it no unknown member is admitted
};

}  // namespace cairnhub::membership
