// Which brokers are members, and which of them live.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/time.h"
#include "membership/local_health_multiplier.h"
#include "membership/member_table.h"
#include "membership/member_update.h"
#include "membership/membership_counters.h"
#include "membership/membership_options.h"
#include "membership/message.h"
#include "membership/outgoing_message.h"
#include "membership/probe_order.h"
#include "membership/state_change.h"
#include "membership/update_queue.h"

namespace cairnhub::membership {

// Group membership after SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017).
// Each probe interval one member is pinged; if it doesn't answer, helpers ping it as well; if they get no ack
// either, it is suspected, and it is dead only if it hasn't refuted that with a higher incarnation within the
// suspicion timeout. Updates are piggybacked on all of these messages, and a full sync follows where digests
// differ.
//
// A restarted member begins at incarnation 0. It learns its former one from others' updates on it, and takes
// one above that; until then those who hold a higher one ignore what it says of itself. A restart that the
// others didn't notice changes no state, so no StateChange tells of it.
//
// No I/O and no clock: the owner passes in messages and the time, sends what take_outgoing() returns and
// calls handle_timers() at next_timer(). After each call it drains the take_...() methods. The same seed and
// the same calls give the same run. Not thread-safe; times must not go back.
class SwimMembership {
 public:
  // @param name     this member's, unique among all; one that is_valid_member_name() rejects is refused by
  // others
  // @param address  where others reach this member
  // @param seed     of all random choices
  SwimMembership(const MembershipOptions& options, const std::string& name, const std::string& address,
                 std::uint64_t seed);

  // Names a member from the operators' configuration: it is tried until it answers, always at this address,
  // and never forgotten. This member's own name is ignored. To be called before start().
  void add_configured_member(const std::string& name, const std::string& address);

  // Begins to probe. Before it messages and timers are ignored.
  void start(Time now);

  // Takes a message that the transport has authenticated as coming from `from`.
  void receive(Time now, const std::string& from, const Message& message);

  // Does what is due; harmless when nothing is.
  void handle_timers(Time now);

  // @return when handle_timers() is due; kNever before start() and after leave().
  Time next_timer() const;

  // Queues announcements of this member's departure. Afterwards messages, timers and payloads are ignored.
  void leave();

  // @return the next item, or nothing when there is none left.
  std::optional<OutgoingMessage> take_outgoing();
  std::optional<StateChange> take_state_change();
  std::optional<std::string> take_forgotten_member();  // whose record expired

  // Sends a payload to up to `count` random live members, or to one member; one that is unknown is left out.
  void send_payload_to_random_members(int count, const std::string& payload);
  void send_payload(const std::string& name, const std::string& payload);

  const MemberTable& members() const { return members_; }  // the others
  std::size_t live_member_count() const { return members_.live_count(); }
  const MemberUpdate& self() const { return self_; }
  int local_health_score() const { return local_health_.score(); }  // 0: healthy
  const MembershipCounters& counters() const { return counters_; }

  // @return a hash of all live members and their incarnations, equal at members that agree.
  std::uint64_t digest() const { return members_.digest() + digest_of(self_); }

 private:
  struct Probe {
    std::string target;
    std::uint32_t sequence_number = 0;
    Time started_at = 0;
    Time next_resend_at = kNever;
    bool is_indirect = false;  // helpers were asked
    bool is_finished = true;
    int helpers_asked = 0;
    int nacks_received = 0;
  };

  // A ping on another member's request.
  struct RelayedProbe {
    std::string requester;
    std::uint32_t requester_sequence_number;
    std::uint32_t sequence_number;
    Time nack_at;
  };

  bool is_active() const { return is_started_ && !has_left_; }
  Time indirect_probe_at() const;
  Time suspicion_ends_at(const Member& suspect) const;

  void start_probe(Time now);
  void request_indirect_probes(Time now);
  void resend_ping(Time now);
  void finish_probe(Time now);
  void send_due_nacks(Time now);
  void declare_timed_out_suspects_dead(Time now);
  void retry_dead_member(Time now);
  void forget_expired_members(Time now);

  void handle_ping_request(Time now, const std::string& from, const Message& message);
  void handle_ack(const Message& message);
  void handle_nack(const Message& message);

  void handle_update(Time now, const MemberUpdate& update, const std::string& from);
  void handle_update_on_unknown(Time now, const MemberUpdate& update);
  void handle_update_on_self(const MemberUpdate& update);
  void confirm_suspicion(const MemberUpdate& update);
  void apply_update(Time now, const MemberUpdate& update);

  void send_control(Message::Kind kind, const std::string& name, std::uint32_t sequence_number);
  void send_full_sync(const std::string& name, Message::Kind kind);
  void begin_full_sync(Time now, const std::string& name);
  void send_with_updates(const std::string& name, Message message);
  void send(const std::string& name, Message message);
  void piggyback_updates(Message& message, const std::string& recipient);
  std::vector<std::string> random_live_members(std::size_t count, const std::string& excluded);

  MembershipOptions options_;
  MemberUpdate self_;
  RandomSource random_;
  bool is_started_ = false;
  bool has_left_ = false;
  MemberTable members_;
  UpdateQueue update_queue_;
  ProbeOrder probe_order_;
  Probe probe_;
  std::vector<RelayedProbe> relayed_probes_;
  std::uint32_t sequence_number_ = 0;
  LocalHealthMultiplier local_health_;
  Time next_probe_at_ = kNever;
  Time next_dead_retry_at_ = kNever;
  Time next_full_sync_at_ = 0;
  Time next_expiry_check_at_ = kNever;
  std::deque<OutgoingMessage> outgoing_;
  std::deque<StateChange> state_changes_;
  std::deque<std::string> forgotten_members_;
  MembershipCounters counters_;
};

}  // namespace cairnhub::membership
