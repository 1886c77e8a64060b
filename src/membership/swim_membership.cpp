#include "membership/swim_membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/suspicion_timeout.h"

namespace cairnhub::membership {

namespace {

// A nack has to reach the requester before its probe ends.
constexpr Time kNackDelayPercent = 80;
// Bounds what a member that asks without end can make this one hold.
constexpr std::size_t kMaxRelayedProbes = 256;
constexpr Time kExpiryChecksPerRetention = 4;
// Departure is announced to this times retransmit_multiplier members, as the leaver can't repeat it.
constexpr double kLeaveFanOutFactor = 2;

template <typename T>
std::optional<T> take_front(std::deque<T>& queue) {
  if (queue.empty()) return std::nullopt;
  std::optional<T> front = std::move(queue.front());
  queue.pop_front();
  return front;
}

}  // namespace

SwimMembership::SwimMembership(const MembershipOptions& options, const std::string& name,
                               const std::string& address, std::uint64_t seed)
    : options_(options), random_(seed), local_health_(options.max_local_health_score) {
  self_.name = name;
  self_.address = address;
}

void SwimMembership::add_configured_member(const std::string& name, const std::string& address) {
  if (name != self_.name) members_.add_configured(name, address);
}

void SwimMembership::start(Time now) {
  is_started_ = true;
  // At random, so that members started together don't all probe at the same moment.
  next_probe_at_ = now + static_cast<Time>(random_.unit() * static_cast<double>(options_.probe_interval));
  next_dead_retry_at_ = now;
  next_expiry_check_at_ = now + options_.dead_member_retention;
}

void SwimMembership::leave() {
  if (!is_active()) return;
  ++self_.incarnation;
  self_.state = MemberState::left;
  const double fan_out = std::ceil(options_.retransmit_multiplier * kLeaveFanOutFactor);
  for (const std::string& name : random_live_members(static_cast<std::size_t>(fan_out), "")) {
    Message farewell;
    farewell.kind = Message::Kind::payload;
    send_with_updates(name, std::move(farewell));
  }
  has_left_ = true;
}

// Timers

Time SwimMembership::indirect_probe_at() const {
  return probe_.started_at + local_health_.scale(options_.probe_timeout);
}

Time SwimMembership::suspicion_ends_at(const Member& suspect) const {
  return suspect.suspected_at + suspicion_timeout(options_, members_.live_count(), suspect.accusers.size());
}

Time SwimMembership::next_timer() const {
  if (!is_active()) return kNever;
  Time next = std::min({next_probe_at_, next_dead_retry_at_, next_expiry_check_at_});
  if (!probe_.is_finished) {
    next = std::min(next, probe_.is_indirect ? probe_.next_resend_at : indirect_probe_at());
  }
  for (const RelayedProbe& relayed : relayed_probes_) next = std::min(next, relayed.nack_at);
  for (const std::string& name : members_.suspects()) {
    next = std::min(next, suspicion_ends_at(*members_.find(name)));
  }
  return next;
}

void SwimMembership::handle_timers(Time now) {
  if (!is_active()) return;
  if (!probe_.is_finished && !probe_.is_indirect && now >= indirect_probe_at()) request_indirect_probes(now);
  if (!probe_.is_finished && probe_.is_indirect && now >= probe_.next_resend_at) resend_ping(now);
  send_due_nacks(now);
  declare_timed_out_suspects_dead(now);
  if (now >= next_probe_at_) {
    finish_probe(now);
    start_probe(now);
  }
  if (now >= next_dead_retry_at_) retry_dead_member(now);
  if (now >= next_expiry_check_at_) forget_expired_members(now);
}

void SwimMembership::start_probe(Time now) {
  next_probe_at_ = now + local_health_.scale(options_.probe_interval);
  const Member* target = probe_order_.next(members_, random_);
  if (!target) return;
  probe_ = Probe{};
  probe_.target = target->update.name;
  probe_.sequence_number = ++sequence_number_;
  probe_.started_at = now;
  probe_.is_finished = false;
  ++counters_.probes;
  send_control(Message::Kind::ping, probe_.target, probe_.sequence_number);
}

void SwimMembership::request_indirect_probes(Time now) {
  probe_.is_indirect = true;
  probe_.next_resend_at = now;
  const auto helper_count = static_cast<std::size_t>(options_.indirect_probe_count);
  for (const std::string& helper : random_live_members(helper_count, probe_.target)) {
    Message request;
    request.kind = Message::Kind::ping_request;
    request.sequence_number = probe_.sequence_number;
    request.target = probe_.target;
    send_with_updates(helper, std::move(request));
    ++probe_.helpers_asked;
  }
}

// On a lossy link waiting longer doesn't help, sending again does. Without it refutations are lost in a large
// cluster among the many suspicions, and sound members are declared dead.
void SwimMembership::resend_ping(Time now) {
  probe_.next_resend_at = now + options_.ping_resend_interval;
  send_control(Message::Kind::ping, probe_.target, probe_.sequence_number);
}

void SwimMembership::finish_probe(Time now) {
  if (probe_.is_finished) return;
  probe_.is_finished = true;
  const Member* target = members_.find(probe_.target);
  if (!target || !target->is_live()) return;
  ++counters_.probes_failed;
  // A helper that sends not even a nack speaks against this member's own link.
  if (probe_.helpers_asked == 0 || probe_.nacks_received < probe_.helpers_asked)
    local_health_.record_failure();
  MemberUpdate suspicion = target->update;
  suspicion.state = MemberState::suspect;
  suspicion.accuser = self_.name;
  handle_update(now, suspicion, self_.name);
}

void SwimMembership::send_due_nacks(Time now) {
  std::erase_if(relayed_probes_, [&](const RelayedProbe& relayed) {
    if (now < relayed.nack_at) return false;
    send_control(Message::Kind::nack, relayed.requester, relayed.requester_sequence_number);
    return true;
  });
}

void SwimMembership::declare_timed_out_suspects_dead(Time now) {
  std::vector<MemberUpdate> deaths;
  for (const std::string& name : members_.suspects()) {
    const Member& suspect = *members_.find(name);
    if (now < suspicion_ends_at(suspect)) continue;
    MemberUpdate death = suspect.update;
    death.state = MemberState::dead;
    death.accuser.clear();
    deaths.push_back(std::move(death));
  }
  for (const MemberUpdate& death : deaths) apply_update(now, death);
}

// After a partition each side holds the other for dead and doesn't probe it; only this joins them again.
void SwimMembership::retry_dead_member(Time now) {
  const Time mean_interval = options_.dead_member_retry_interval;
  next_dead_retry_at_ =
      now + mean_interval / 2 + static_cast<Time>(random_.unit() * static_cast<double>(mean_interval));
  std::vector<std::string> candidates;
  for (const Member* member : members_.all()) {
    const bool is_dead = member->update.state == MemberState::dead;
    if (is_dead || (member->is_configured && !member->is_live())) candidates.push_back(member->update.name);
  }
  if (candidates.empty()) return;
  begin_full_sync(now, candidates[random_.below(candidates.size())]);
}

void SwimMembership::forget_expired_members(Time now) {
  next_expiry_check_at_ = now + options_.dead_member_retention / kExpiryChecksPerRetention + 1;
  for (std::string& name : members_.remove_expired(now, options_.dead_member_retention)) {
    update_queue_.remove(name);
    forgotten_members_.push_back(std::move(name));
  }
}

// Messages that came

void SwimMembership::receive(Time now, const std::string& from, const Message& message) {
  if (!is_active() || from == self_.name) return;
  for (const MemberUpdate& update : message.updates) handle_update(now, update, from);
  switch (message.kind) {
    case Message::Kind::ping:
      send_control(Message::Kind::ack, from, message.sequence_number);
      break;
    case Message::Kind::ping_request:
      handle_ping_request(now, from, message);
      break;
    case Message::Kind::ack:
      handle_ack(message);
      break;
    case Message::Kind::nack:
      handle_nack(message);
      break;
    case Message::Kind::full_sync:
      send_full_sync(from, Message::Kind::full_sync_reply);
      break;
    case Message::Kind::full_sync_reply:
    case Message::Kind::payload:
      break;
  }
  const bool may_sync = message.kind == Message::Kind::ack && now >= next_full_sync_at_;
  if (may_sync && message.digest != digest() && members_.contains(from)) begin_full_sync(now, from);
}

void SwimMembership::handle_ping_request(Time now, const std::string& from, const Message& message) {
  if (!members_.contains(message.target) || relayed_probes_.size() >= kMaxRelayedProbes) return;
  const Time nack_at = now + options_.probe_timeout * kNackDelayPercent / 100;
  relayed_probes_.push_back({from, message.sequence_number, ++sequence_number_, nack_at});
  send_control(Message::Kind::ping, message.target, sequence_number_);
}

void SwimMembership::handle_ack(const Message& message) {
  // Direct or through a helper: either way the target lives.
  if (!probe_.is_finished && message.sequence_number == probe_.sequence_number) {
    probe_.is_finished = true;
    local_health_.record_success();
  }
  std::erase_if(relayed_probes_, [&](const RelayedProbe& relayed) {
    if (relayed.sequence_number != message.sequence_number) return false;
    send_control(Message::Kind::ack, relayed.requester, relayed.requester_sequence_number);
    return true;
  });
}

void SwimMembership::handle_nack(const Message& message) {
  if (!probe_.is_finished && message.sequence_number == probe_.sequence_number) ++probe_.nacks_received;
}

// Updates

void SwimMembership::handle_update(Time now, const MemberUpdate& update, const std::string& from) {
  if (update.name.empty()) return;
  if (update.name == self_.name) return handle_update_on_self(update);
  const Member* member = members_.find(update.name);
  if (!member) return handle_update_on_unknown(now, update);
  const MemberUpdate& held = member->update;
  if (update.incarnation < held.incarnation) return;
  // A configured member starts as dead without any update: the first live update wins whatever its
  // incarnation.
  const bool is_unheard = member->is_configured && !member->has_update();
  if (is_unheard && !is_live(update.state)) return;
  if (update.incarnation == held.incarnation && !is_unheard) {
    if (update.state == MemberState::suspect && held.state == MemberState::suspect) {
      return confirm_suspicion(update);
    }
    if (update.state <= held.state) return;
  }
  const bool has_moved = update.incarnation > held.incarnation && update.address != held.address;
  if (has_moved && member->is_live() && from != update.name) ++counters_.address_conflicts;
  apply_update(now, update);
}

void SwimMembership::handle_update_on_unknown(Time now, const MemberUpdate& update) {
  if (!is_live(update.state)) return;
  if (members_.size() >= options_.max_members) {
    ++counters_.members_not_admitted;
    return;
  }
  apply_update(now, update);
}

// Refutes what others hold of this member: suspicion, death, departure, or an earlier run's incarnation or
// address.
void SwimMembership::handle_update_on_self(const MemberUpdate& update) {
  if (update.incarnation < self_.incarnation) return;
  const bool is_current = update.incarnation == self_.incarnation && update.address == self_.address;
  if (is_current && update.state == MemberState::alive) return;
  if (update.state == MemberState::suspect) local_health_.record_failure();
  if (update.state != MemberState::alive) ++counters_.refutations;
  self_.incarnation = update.incarnation + 1;
}

void SwimMembership::confirm_suspicion(const MemberUpdate& update) {
  const auto max_confirmations = static_cast<std::size_t>(options_.suspicion_confirmations);
  if (members_.add_accuser(update.name, update.accuser, max_confirmations))
    update_queue_.enqueue(update.name);
}

void SwimMembership::apply_update(Time now, const MemberUpdate& update) {
  const MemberState previous = members_.apply(update, now);
  if (update.state == MemberState::suspect) ++counters_.suspicions;
  if (update.state != previous) {
    state_changes_.push_back({update.name, previous, update.state, update.incarnation});
  }
  if (!is_live(previous) && is_live(update.state)) probe_order_.insert(update.name, random_);
  update_queue_.enqueue(update.name);
}

// Messages to send

void SwimMembership::send_control(Message::Kind kind, const std::string& name,
                                  std::uint32_t sequence_number) {
  Message message;
  message.kind = kind;
  message.sequence_number = sequence_number;
  send_with_updates(name, std::move(message));
}

void SwimMembership::begin_full_sync(Time now, const std::string& name) {
  next_full_sync_at_ = now + options_.min_full_sync_interval;
  ++counters_.full_syncs;
  send_full_sync(name, Message::Kind::full_sync);
}

void SwimMembership::send_full_sync(const std::string& name, Message::Kind kind) {
  Message message;
  message.kind = kind;
  message.updates.push_back(self_);
  for (const Member* member : members_.all()) {
    if (member->has_update()) message.updates.push_back(member->update);
  }
  send(name, std::move(message));
}

void SwimMembership::send_payload_to_random_members(int count, const std::string& payload) {
  if (has_left_) return;
  for (const std::string& name : random_live_members(static_cast<std::size_t>(count), "")) {
    send_payload(name, payload);
  }
}

void SwimMembership::send_payload(const std::string& name, const std::string& payload) {
  if (has_left_) return;
  Message message;
  message.kind = Message::Kind::payload;
  message.payload = payload;
  send_with_updates(name, std::move(message));
}

void SwimMembership::send_with_updates(const std::string& name, Message message) {
  if (!members_.contains(name)) return;
  piggyback_updates(message, name);
  send(name, std::move(message));
}

void SwimMembership::send(const std::string& name, Message message) {
  const Member* recipient = members_.find(name);
  if (!recipient) return;
  message.digest = digest();
  outgoing_.push_back({name, recipient->address(), std::move(message)});
}

void SwimMembership::piggyback_updates(Message& message, const std::string& recipient) {
  // Always this member itself: that refutes, and introduces it to one that doesn't know it.
  message.updates.push_back(self_);
  std::size_t bytes = approximate_size_bytes(self_);
  // Lifeguard's buddy system: a suspect is the first to be told so.
  const Member& about = *members_.find(recipient);
  if (about.has_update() && about.update.state != MemberState::alive) {
    message.updates.push_back(about.update);
    bytes += approximate_size_bytes(about.update);
  }
  std::vector<std::string> sent;
  for (const UpdateQueue::Entry& entry : update_queue_.entries()) {
    const MemberUpdate& update = members_.find(entry.member)->update;
    const std::size_t update_bytes = approximate_size_bytes(update);
    if (bytes + update_bytes > options_.max_piggyback_bytes) break;
    if (entry.member == recipient) continue;
    bytes += update_bytes;
    message.updates.push_back(update);
    sent.push_back(entry.member);
  }
  const double log_members = std::log2(static_cast<double>(members_.live_count()) + 2.0);
  const int max_times_sent = static_cast<int>(std::ceil(options_.retransmit_multiplier * log_members));
  for (const std::string& name : sent) update_queue_.record_sent(name, max_times_sent);
}

std::vector<std::string> SwimMembership::random_live_members(std::size_t count, const std::string& excluded) {
  std::vector<std::string> names;
  for (const Member* member : members_.live()) {
    if (member->update.name != excluded) names.push_back(member->update.name);
  }
  // The first `count` places of a Fisher-Yates shuffle.
  for (std::size_t i = 0; i < names.size() && i < count; ++i) {
    std::swap(names[i], names[i + random_.below(names.size() - i)]);
  }
  if (names.size() > count) names.resize(count);
  return names;
}

std::optional<OutgoingMessage> SwimMembership::take_outgoing() { return take_front(outgoing_); }
std::optional<StateChange> SwimMembership::take_state_change() { return take_front(state_changes_); }
std::optional<std::string> SwimMembership::take_forgotten_member() { return take_front(forgotten_members_); }

}  // namespace cairnhub::membership
