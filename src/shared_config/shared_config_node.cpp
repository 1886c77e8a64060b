#include "shared_config/shared_config_node.h"

#include <algorithm>
#include <iterator>

#include "shared_config/log_codec.h"

namespace cairnhub::shared_config {

namespace {

constexpr Time kVoterRepairInterval = kSecond;
constexpr int kMaxUnansweredRequests = 3;  // after this many, another broker is asked for the leader
constexpr std::size_t kMaxPendingProposals = 64;

// Returns nothing and sets `fault` if the version can't be read.
std::optional<Version> read_version(const accord::wire::Version& message, const char* what,
                                    std::string& fault) {
  std::optional<Version> version = from_proto(message);
  if (!version) {
    fault = std::string(what) + " " + std::to_string(message.number()) + " with " +
            std::to_string(message.rules().size()) + " bytes of rules";
  }
  return version;
}

// Returns nothing and sets `fault` if the grant can't be read.
std::optional<LeaseGrant> read_grant(const accord::wire::Grant& message, std::string& fault) {
  if (message.high() < message.low() ||
      message.high() - message.low() > VersionHistory::kMaxPendingVersions) {
    fault = "versions " + std::to_string(message.low()) + " to " + std::to_string(message.high());
    return std::nullopt;
  }
  LeaseGrant grant;
  grant.sequence = message.sequence();
  grant.low = message.low();
  grant.high = message.high();
  grant.term = message.term();
  for (const auto& version_message : message.version()) {
    std::optional<Version> version = read_version(version_message, "version", fault);
    if (!version) return std::nullopt;
    grant.versions.push_back(std::move(*version));
  }
  if (message.has_ground() && !(grant.baseline = read_version(message.ground(), "ground", fault)))
    return std::nullopt;
  if (message.has_ground_next() &&
      !(grant.next_baseline = read_version(message.ground_next(), "ground", fault)))
    return std::nullopt;
  return grant;
}

}  // namespace

SharedConfigNode::SharedConfigNode(const SharedConfigSettings& settings, const std::string& self,
                                   DurableStore* store, RuleSet baseline, std::uint64_t seed,
                                   std::shared_ptr<const ReplicatedStateMachine> state_machine)
    : settings_(settings),
      self_(self),
      random_(seed),
      lease_client_(settings.lease, std::move(baseline), settings.incarnation),
      lease_manager_(settings.lease) {
  if (store)
    raft_node_ = std::make_unique<RaftNode>(
        settings.raft, self, *store, seed + 1,
        [this](const ConfigEntry& e, const ApplyResult& v) {
          if (on_applied) on_applied(e, v);
        },
        std::move(state_machine));
}

SharedConfigNode::~SharedConfigNode() = default;

void SharedConfigNode::start(Time now) {
  started_ = true;
  if (raft_node_) {
    raft_node_->start(now);
    next_tick_ = now;
    next_voter_repair_ = now + kVoterRepairInterval;
  }
  lease_client_.request_soon(now);
  run(now);
}

Time SharedConfigNode::next_wake() const {
  if (!started_ || leaving_) return kNever;
  Time at = std::min(next_tick_, lease_client_.next_wake());
  for (const PendingProposal& p : pending_) at = std::min({at, p.next_try, p.deadline});
  return at;
}

void SharedConfigNode::handle_wake(Time now) {
  if (!started_ || leaving_) return;
  if (raft_node_ && now >= next_tick_) {
    next_tick_ = now + settings_.raft.tick_interval;
    raft_node_->tick(now);
  }
  if (now >= lease_client_.next_wake()) request_lease(now);
  run(now);
}

void SharedConfigNode::post(const std::string& to, const accord::wire::Packet& packet) {
  out_.push_back({to, packet.SerializeAsString()});
}

std::optional<SharedConfigNode::Outgoing> SharedConfigNode::take_message() {
  if (out_.empty()) return std::nullopt;
  auto o = std::move(out_.front());
  out_.pop_front();
  return o;
}

// Returns a broker that may be or know the leader: a configured voter or any live broker. Empty: none is
// known.
std::string SharedConfigNode::possible_leader() {
  if (!settings_.voters.empty() && (alive_.empty() || random_.below(3) != 0))
    return settings_.voters[random_.below(settings_.voters.size())];
  if (alive_.empty()) return "";
  return *std::next(alive_.begin(), static_cast<std::ptrdiff_t>(random_.below(alive_.size())));
}

void SharedConfigNode::request_lease(Time now) {
  LeaseRequest request = lease_client_.make_request(now);
  request.may_vote = raft_node_ && !raft_node_->has_failed();
  request.voter_id = request.may_vote ? raft_node_->id() : 0;
  if (raft_node_ && raft_node_->is_leader()) return handle_lease_request(now, self_, request);
  if (raft_node_ && !raft_node_->leader().empty() && raft_node_->leader() != self_)
    leader_ = raft_node_->leader();
  if (leader_ == self_ || ++unanswered_requests_ > kMaxUnansweredRequests) leader_.clear();
  const std::string to = leader_.empty() ? possible_leader() : leader_;
  if (to.empty() || to == self_) return lease_client_.handle_not_leader(now);
  accord::wire::Packet p;
  auto& w = *p.mutable_ask();
  w.set_sequence(request.sequence);
  w.set_have(request.newest_version);
  w.set_ground(request.baseline);
  w.set_settled(request.settled_baseline);
  w.set_taken(request.current_grant);
  w.set_may_vote(request.may_vote);
  w.set_voter_id(request.voter_id);
  post(to, p);
}

void SharedConfigNode::handle_lease_request(Time now, const std::string& by, const LeaseRequest& request) {
  if (request.releases_lease) return lease_manager_.release(by);
  // Only enrolled brokers get leases, as a next baseline waits for enrolled brokers only.
  if (!raft_node_->versions().enrolled_brokers().count(by)) {
    if (!enrolling_.insert(by).second) return;
    ConfigEntry e;
    e.kind = ConfigEntry::Kind::kEnrollBroker;
    e.name = by;
    if (!raft_node_->propose(now, e, [this, by](const auto&) { enrolling_.erase(by); })) enrolling_.erase(by);
    return;
  }
  lease_manager_.handle_request(now, by, request);
  start_confirmation_round(now);
}

void SharedConfigNode::start_confirmation_round(Time now) {
  const auto round = lease_manager_.start_round(now);
  if (!round) return;
  accord::wire::Packet p;
  p.mutable_confirm()->set_term(raft_node_->term());
  p.mutable_confirm()->set_round(*round);
  for (const auto& name : raft_node_->voter_names())
    if (name != self_) post(name, p);
  lease_manager_.handle_confirmation(now, self_, raft_node_->term(), *round, raft_node_->versions());
}

void SharedConfigNode::send_grant(Time now, const std::string& to, const LeaseGrant& g) {
  if (to == self_) {
    has_leader_answered_ = true;
    lease_client_.handle_grant(now, g);
    return;
  }
  accord::wire::Packet p;
  auto& w = *p.mutable_grant();
  w.set_sequence(g.sequence);
  w.set_low(g.low);
  w.set_high(g.high);
  w.set_term(g.term);
  for (const Version& v : g.versions) to_proto(v, *w.add_version());
  if (g.baseline) to_proto(*g.baseline, *w.mutable_ground());
  if (g.next_baseline) to_proto(*g.next_baseline, *w.mutable_ground_next());
  post(to, p);
}

void SharedConfigNode::handle_message(Time now, const std::string& from, const accord::wire::Packet& p) {
  if (!started_ || leaving_) return;
  if (p.has_raft() && raft_node_) raft_node_->handle_message(now, from, p.raft());
  if (p.has_ask()) {
    if (raft_node_ && raft_node_->is_leader()) {
      handle_lease_request(now, from,
                           {p.ask().sequence(), p.ask().taken(), p.ask().have(), p.ask().ground(),
                            p.ask().settled(), p.ask().may_vote(), p.ask().bye(), p.ask().voter_id()});
    } else if (!p.ask().bye()) {
      accord::wire::Packet back;
      back.mutable_redirect()->set_sequence(p.ask().sequence());
      const std::string known = raft_node_ && !raft_node_->leader().empty() ? raft_node_->leader() : leader_;
      back.mutable_redirect()->set_leader(known == from ? "" : known);
      post(from, back);
    }
  }
  if (p.has_redirect()) {
    leader_ = p.redirect().leader() == self_ ? "" : p.redirect().leader();
    unanswered_requests_ = 0;
    lease_client_.handle_not_leader(now);
    for (PendingProposal& pending : pending_)
      pending.next_try = std::min(pending.next_try, now + settings_.lease.retry_interval() / 8);
  }
  if (p.has_grant()) {
    const auto& w = p.grant();
    if (w.sequence() == 0) {
      lease_client_.request_soon(now);  // not a grant: the leader announces a change
    } else {
      std::string fault;
      const std::optional<LeaseGrant> grant = read_grant(w, fault);
      if (!grant && on_unreadable_grant) on_unreadable_grant(from, fault);
      if (grant && lease_client_.handle_grant(now, *grant)) {
        leader_ = from;
        unanswered_requests_ = 0;
        has_leader_answered_ = true;
      }
    }
  }
  if (p.has_confirm() && raft_node_ && !raft_node_->has_failed()) {
    if (p.confirm().back()) {
      lease_manager_.handle_confirmation(now, from, p.confirm().term(), p.confirm().round(),
                                         raft_node_->versions());
    } else if (raft_node_->term() == p.confirm().term()) {
      accord::wire::Packet back = p;
      back.mutable_confirm()->set_back(true);
      post(from, back);
    }
  }
  if (p.has_proposal()) {
    const auto e = decode_entry(p.proposal().entry());
    if (e && raft_node_ && raft_node_->is_leader()) {
      raft_node_->propose(now, *e, [this, from, id = e->id](const std::optional<ApplyResult>& v) {
        if (!v) return;  // it is unknown whether the entry is committed; the proposer repeats the proposal

        accord::wire::Packet back;
        back.mutable_verdict()->set_id(id);
        back.mutable_verdict()->set_number(v->number);
        back.mutable_verdict()->set_refused(v->rejection);
        post(from, back);
      });
    } else if (e) {
      accord::wire::Packet back;
      back.mutable_redirect()->set_leader(raft_node_ && raft_node_->leader() != from ? raft_node_->leader()
                                                                                     : leader_);
      post(from, back);
    }
  }
  if (p.has_verdict())
    finish_proposal(p.verdict().id(), ApplyResult{p.verdict().number(), p.verdict().refused()});
  run(now);
}

void SharedConfigNode::finish_proposal(const std::string& id, const std::optional<ApplyResult>& result) {
  const auto it = std::find_if(pending_.begin(), pending_.end(),
                               [&](const PendingProposal& p) { return p.entry.id == id; });
  if (it == pending_.end()) return;
  const Done done = std::move(it->done);
  pending_.erase(it);
  done(result);
}

void SharedConfigNode::propose(Time now, ConfigEntry entry, Done done) {
  if (const std::string fault = first_field_over_limit(entry); !fault.empty())
    return done(ApplyResult{0, fault});
  if (pending_.size() >= kMaxPendingProposals) return done(std::nullopt);
  pending_.push_back({std::move(entry), std::move(done), now + settings_.proposal_timeout, now});
  run(now);
}

void SharedConfigNode::forward_proposals(Time now) {
  std::vector<std::string> expired;
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    PendingProposal& p = pending_[i];
    if (now >= p.deadline) {
      expired.push_back(p.entry.id);
      continue;
    }
    if (now < p.next_try) continue;
    p.next_try = now + settings_.lease.retry_interval();
    if (raft_node_ && raft_node_->is_leader()) {
      const std::string id = p.entry.id;
      const ConfigEntry entry = p.entry;  // the element may move while it is proposed
      raft_node_->propose(now, entry, [this, id](const std::optional<ApplyResult>& v) {
        if (v) finish_proposal(id, v);
      });
      continue;
    }
    if (raft_node_ && !raft_node_->leader().empty()) leader_ = raft_node_->leader();
    const std::string to = leader_.empty() || leader_ == self_ ? possible_leader() : leader_;
    if (to.empty() || to == self_) continue;
    accord::wire::Packet packet;
    packet.mutable_proposal()->set_entry(encode(p.entry));
    post(to, packet);
  }
  for (const auto& id : expired) finish_proposal(id, std::nullopt);
}

// Does the leader's work: starts its term, puts versions and baselines into effect, announces changes.
void SharedConfigNode::do_leader_work(Time now) {
  const bool leads = raft_node_ && raft_node_->is_leader();
  if (!leads) {
    if (was_leader_) {
      lease_manager_.stop_leading();
      was_leader_ = false;
      enrolling_.clear();
      activation_in_progress_ = false;
      baseline_activation_in_progress_ = false;
    }
    return;
  }
  if (!was_leader_ || led_term_ != raft_node_->term()) {
    was_leader_ = true;
    led_term_ = raft_node_->term();
    enrolling_.clear();
    activation_in_progress_ = false;
    baseline_activation_in_progress_ = false;
    announced_versions_ = raft_node_->versions().newest();
    lease_manager_.start_term(now, led_term_, raft_node_->voter_names(), self_);
    lease_client_.request_soon(now);
  }
  lease_manager_.set_voters(raft_node_->voter_names());
  const VersionHistory& versions = raft_node_->versions();
  if (const auto n = lease_manager_.activatable_version(now, versions); n && !activation_in_progress_) {
    ConfigEntry e;
    e.kind = ConfigEntry::Kind::kActivateVersion;
    e.number = n;
    activation_in_progress_ = true;
    if (!raft_node_->propose(now, e, [this](const auto&) { activation_in_progress_ = false; }))
      activation_in_progress_ = false;
  }
  if (!baseline_activation_in_progress_ && lease_manager_.may_activate_baseline(versions)) {
    ConfigEntry e;
    e.kind = ConfigEntry::Kind::kActivateBaseline;
    e.number = versions.next_baseline()->number;
    baseline_activation_in_progress_ = true;
    if (!raft_node_->propose(now, e, [this](const auto&) { baseline_activation_in_progress_ = false; }))
      baseline_activation_in_progress_ = false;
  }
  const std::uint64_t baseline = versions.baseline().number * 2 + (versions.next_baseline() ? 1 : 0);
  const std::uint64_t version_state = versions.newest() + versions.in_force();
  if (version_state != announced_versions_ || baseline != announced_baseline_) {
    announced_versions_ = version_state;
    announced_baseline_ = baseline;
    accord::wire::Packet news;
    news.mutable_grant()->set_sequence(0);
    for (const auto& [name, held] : lease_manager_.brokers())
      if (name != self_ && held.has_lease(now)) post(name, news);
    lease_client_.request_soon(now);
  }
  if (now >= next_voter_repair_) {
    next_voter_repair_ = now + kVoterRepairInterval;
    repair_voters(now);
  }
}

// Replaces lost and retiring voters by other brokers that may vote, one change at a time. The new voter joins
// before the old one is removed, so that a replacement never reduces the number of voters in between.
void SharedConfigNode::repair_voters(Time now) {
  if (raft_node_->has_change_in_progress()) return;
  const auto voters = raft_node_->members();
  std::size_t voting = 0;
  std::vector<const RaftMember*> lost;
  for (const RaftMember& v : voters) {
    if (v.name == self_ && v.id == raft_node_->id()) {
      ++voting;
      continue;
    }
    const auto held = lease_manager_.brokers().find(v.name);
    const bool other_store =
        held != lease_manager_.brokers().end() && held->second.voter_id != 0 && held->second.voter_id != v.id;
    const auto dead = dead_since_.find(v.name);
    const bool gone = dead != dead_since_.end() && now - dead->second >= settings_.voter_replacement_delay;
    if (!v.is_voter) {  // a new voter that is still catching up

      if (other_store || gone)
        raft_node_->remove_voter(now, v.id);
      else
        raft_node_->add_voter(now, v.id, v.name);
      return;
    }
    ++voting;
    if (other_store || gone || retiring_.count(v.name)) lost.push_back(&v);
  }
  if (retiring_.count(self_) && voting > 1) {
    raft_node_->transfer_leadership(now);
    return;
  }
  if (lost.empty()) return;
  const std::size_t wanted = settings_.voters.size();
  if (voting > wanted) {
    raft_node_->remove_voter(now, lost.front()->id);
    return;
  }
  for (const auto& [name, held] : lease_manager_.brokers()) {
    if (!held.may_vote || held.voter_id == 0 || !held.has_lease(now) || retiring_.count(name)) continue;
    const auto id = held.voter_id;
    if (std::any_of(voters.begin(), voters.end(), [id](const RaftMember& v) { return v.id == id; })) continue;
    raft_node_->add_voter(now, id, name);
    return;
  }
}

void SharedConfigNode::run(Time now) {
  // One step may enable another: repeat until nothing changes.
  for (int i = 0; i < 64; ++i) {
    const auto before = out_.size();
    const auto answers_before = has_leader_answered_;
    if (raft_node_) {
      raft_node_->run_callbacks(now);
      do_leader_work(now);
      if (was_leader_ && raft_node_->is_leader()) start_confirmation_round(now);
      for (auto& g : lease_manager_.take_grants()) send_grant(now, g.to, g.grant);
      while (auto o = raft_node_->take_message()) out_.push_back({o->to, std::move(o->bytes)});
    }
    if (!leaving_ && now >= lease_client_.next_wake()) request_lease(now);
    forward_proposals(now);
    if (out_.size() == before && answers_before == has_leader_answered_) break;
  }
}

void SharedConfigNode::update_peer(Time now, const std::string& name, bool alive) {
  if (alive) {
    alive_.insert(name);
    dead_since_.erase(name);
  } else {
    alive_.erase(name);
    dead_since_.try_emplace(name, now);
  }
}

void SharedConfigNode::leave(Time now) {
  if (!started_ || leaving_) return;
  if (raft_node_ && raft_node_->is_leader()) {
    lease_manager_.release(self_);
    raft_node_->transfer_leadership(now);
  } else if (!leader_.empty()) {
    accord::wire::Packet p;
    p.mutable_ask()->set_bye(true);
    post(leader_, p);
  }
  lease_client_.release();
  run(now);
  leaving_ = true;
}

std::vector<Version> SharedConfigNode::history() const {
  std::vector<Version> all;
  if (raft_node_ && raft_node_->applied_index() > 0)
    for (const auto& [n, v] : raft_node_->versions().versions()) all.push_back(v);
  else
    for (const auto& [n, v] : lease_client_.versions()) all.push_back(v);
  return all;
}

SharedConfigStatus SharedConfigNode::status(Time now) const {
  SharedConfigStatus s;
  s.active_config = *lease_client_.active_config(now);
  s.lease_remaining = std::max<Time>(0, lease_client_.lease_expires_at() - now);
  s.leader = raft_node_ && raft_node_->is_leader()         ? self_
             : raft_node_ && !raft_node_->leader().empty() ? raft_node_->leader()
                                                           : leader_;
  s.newest_held = lease_client_.newest_version();
  s.baseline = lease_client_.baseline().number;
  s.next_baseline = lease_client_.next_baseline() ? lease_client_.next_baseline()->number : 0;
  if (raft_node_) {
    s.term = raft_node_->term();
    s.is_leader = raft_node_->is_leader();
    s.has_store_failed = raft_node_->has_failed();
    s.newest = raft_node_->versions().newest();
    s.in_force = raft_node_->versions().in_force();
    s.voters = raft_node_->members();
    for (const RaftMember& v : s.voters) s.is_voter = s.is_voter || (v.id == raft_node_->id() && v.is_voter);
    if (s.is_leader) {
      s.brokers_delaying_version = lease_manager_.brokers_delaying_version(now, raft_node_->versions());
      s.brokers_delaying_baseline = lease_manager_.brokers_delaying_baseline(raft_node_->versions());
    }
  }
  return s;
}

}  // namespace cairnhub::shared_config
