#include "shared_config/shared_config_node.h"

#include <algorithm>
#include <iterator>

#include "shared_config/log_codec.h"

namespace cairnhub::shared_config {

namespace {

constexpr Time kVoterRepairInterval = kSecond;
constexpr int kMaxUnansweredRequests = 3;  // then another broker is asked for the leader
constexpr std::size_t kMaxPendingProposals = 64;

}  // namespace

Accord::Accord(const Terms& terms, const std::string& self, Store* store, Rules ground, std::uint64_t seed,
               std::shared_ptr<const Board> board)
    : terms_(terms),
      self_(self),
      chance_(seed),
      holder_(terms.lease, std::move(ground), terms.life),
      leases_(terms.lease) {
  if (store)
    engine_ = std::make_unique<Engine>(
        terms.engine, self, *store, seed + 1,
        [this](const Entry& e, const Verdict& v) {
          if (applied) applied(e, v);
        },
        std::move(board));
}

Accord::~Accord() = default;

void Accord::start(Time now) {
  started_ = true;
  if (engine_) {
    engine_->start(now);
    next_tick_ = now;
    next_voter_repair_ = now + kVoterRepairInterval;
  }
  holder_.ask_soon(now);
  run(now);
}

Time Accord::wake() const {
  if (!started_ || leaving_) return kNever;
  Time at = std::min(next_tick_, holder_.wake());
  for (const PendingProposal& p : pending_) at = std::min({at, p.next_try, p.deadline});
  return at;
}

void Accord::woken(Time now) {
  if (!started_ || leaving_) return;
  if (engine_ && now >= next_tick_) {
    next_tick_ = now + terms_.engine.tick;
    engine_->tick(now);
  }
  if (now >= holder_.wake()) request_lease(now);
  run(now);
}

void Accord::post(const std::string& to, const accord::wire::Packet& packet) {
  out_.push_back({to, packet.SerializeAsString()});
}

std::optional<Accord::Outgoing> Accord::send() {
  if (out_.empty()) return std::nullopt;
  auto o = std::move(out_.front());
  out_.pop_front();
  return o;
}

// Returns a broker that may be or know the leader: a configured voter or any live broker. Empty: none is
// known.
std::string Accord::possible_leader() {
  if (!terms_.voters.empty() && (alive_.empty() || chance_.below(3) != 0))
    return terms_.voters[chance_.below(terms_.voters.size())];
  if (alive_.empty()) return "";
  return *std::next(alive_.begin(), static_cast<std::ptrdiff_t>(chance_.below(alive_.size())));
}

void Accord::request_lease(Time now) {
  Ask a = holder_.ask(now);
  a.may_vote = engine_ && !engine_->broken();
  a.voter_id = a.may_vote ? engine_->id() : 0;
  if (engine_ && engine_->leads()) return handle_lease_request(now, self_, a);
  if (engine_ && !engine_->leader().empty() && engine_->leader() != self_) leader_ = engine_->leader();
  if (leader_ == self_ || ++unanswered_requests_ > kMaxUnansweredRequests) leader_.clear();
  const std::string to = leader_.empty() ? possible_leader() : leader_;
  if (to.empty() || to == self_) return holder_.not_there(now);
  accord::wire::Packet p;
  auto& w = *p.mutable_ask();
  w.set_sequence(a.sequence);
  w.set_have(a.have);
  w.set_ground(a.ground);
  w.set_settled(a.settled);
  w.set_taken(a.taken);
  w.set_may_vote(a.may_vote);
  w.set_voter_id(a.voter_id);
  post(to, p);
}

void Accord::handle_lease_request(Time now, const std::string& by, const Ask& ask) {
  if (ask.bye) return leases_.gone(by);
  // Only enrolled brokers get leases, as a next baseline waits for enrolled brokers only.
  if (!engine_->versions().roster().count(by)) {
    if (!enrolling_.insert(by).second) return;
    Entry e;
    e.kind = Entry::Kind::enlist;
    e.name = by;
    if (!engine_->propose(now, e, [this, by](const auto&) { enrolling_.erase(by); })) enrolling_.erase(by);
    return;
  }
  leases_.asked(now, by, ask);
  start_confirmation_round(now);
}

void Accord::start_confirmation_round(Time now) {
  const auto round = leases_.round(now);
  if (!round) return;
  accord::wire::Packet p;
  p.mutable_confirm()->set_term(engine_->term());
  p.mutable_confirm()->set_round(*round);
  for (const auto& name : engine_->voting())
    if (name != self_) post(name, p);
  leases_.confirmed(now, self_, engine_->term(), *round, engine_->versions());
}

void Accord::send_grant(Time now, const std::string& to, const Grant& g) {
  if (to == self_) {
    ever_answered_ = true;
    holder_.answered(now, g);
    return;
  }
  accord::wire::Packet p;
  auto& w = *p.mutable_grant();
  w.set_sequence(g.sequence);
  w.set_low(g.low);
  w.set_high(g.high);
  w.set_term(g.term);
  for (const Version& v : g.versions) put(v, *w.add_version());
  if (g.ground) put(*g.ground, *w.mutable_ground());
  if (g.ground_next) put(*g.ground_next, *w.mutable_ground_next());
  post(to, p);
}

void Accord::received(Time now, const std::string& from, const accord::wire::Packet& p) {
  if (!started_ || leaving_) return;
  if (p.has_raft() && engine_) engine_->received(now, from, p.raft());
  if (p.has_ask()) {
    if (engine_ && engine_->leads()) {
      handle_lease_request(now, from,
                           {p.ask().sequence(), p.ask().taken(), p.ask().have(), p.ask().ground(),
                            p.ask().settled(), p.ask().may_vote(), p.ask().bye(), p.ask().voter_id()});
    } else if (!p.ask().bye()) {
      accord::wire::Packet back;
      back.mutable_redirect()->set_sequence(p.ask().sequence());
      const std::string known = engine_ && !engine_->leader().empty() ? engine_->leader() : leader_;
      back.mutable_redirect()->set_leader(known == from ? "" : known);
      post(from, back);
    }
  }
  if (p.has_redirect()) {
    leader_ = p.redirect().leader() == self_ ? "" : p.redirect().leader();
    unanswered_requests_ = 0;
    holder_.not_there(now);
    for (PendingProposal& pending : pending_)
      pending.next_try = std::min(pending.next_try, now + terms_.lease.ask_again() / 8);
  }
  if (p.has_grant()) {
    const auto& w = p.grant();
    if (w.sequence() == 0) {
      holder_.ask_soon(now);  // not a grant: the leader has something new
    } else {
      Grant g;
      g.sequence = w.sequence();
      g.low = w.low();
      g.high = w.high();
      g.term = w.term();
      bool is_valid = w.high() >= w.low() && w.high() - w.low() <= Versions::kWaiting;
      for (const auto& v : w.version()) {
        auto version = take(v);
        is_valid = is_valid && version;
        if (version) g.versions.push_back(std::move(*version));
      }
      if (w.has_ground()) is_valid = is_valid && (g.ground = take(w.ground()));
      if (w.has_ground_next()) is_valid = is_valid && (g.ground_next = take(w.ground_next()));
      if (is_valid && holder_.answered(now, g)) {
        leader_ = from;
        unanswered_requests_ = 0;
        ever_answered_ = true;
      }
    }
  }
  if (p.has_confirm() && engine_ && !engine_->broken()) {
    if (p.confirm().back()) {
      leases_.confirmed(now, from, p.confirm().term(), p.confirm().round(), engine_->versions());
    } else if (engine_->term() == p.confirm().term()) {
      accord::wire::Packet back = p;
      back.mutable_confirm()->set_back(true);
      post(from, back);
    }
  }
  if (p.has_proposal()) {
    const auto e = decode_entry(p.proposal().entry());
    if (e && engine_ && engine_->leads()) {
      engine_->propose(now, *e, [this, from, id = e->id](const std::optional<Verdict>& v) {
        if (!v) return;  // the entry may or may not be committed: the proposer repeats it
        accord::wire::Packet back;
        back.mutable_verdict()->set_id(id);
        back.mutable_verdict()->set_number(v->number);
        back.mutable_verdict()->set_refused(v->refused);
        post(from, back);
      });
    } else if (e) {
      accord::wire::Packet back;
      back.mutable_redirect()->set_leader(engine_ && engine_->leader() != from ? engine_->leader() : leader_);
      post(from, back);
    }
  }
  if (p.has_verdict())
    finish_proposal(p.verdict().id(), Verdict{p.verdict().number(), p.verdict().refused()});
  run(now);
}

void Accord::finish_proposal(const std::string& id, const std::optional<Verdict>& result) {
  const auto it = std::find_if(pending_.begin(), pending_.end(),
                               [&](const PendingProposal& p) { return p.entry.id == id; });
  if (it == pending_.end()) return;
  const Done done = std::move(it->done);
  pending_.erase(it);
  done(result);
}

void Accord::propose(Time now, Entry entry, Done done) {
  if (pending_.size() >= kMaxPendingProposals) return done(std::nullopt);
  pending_.push_back({std::move(entry), std::move(done), now + terms_.propose_within, now});
  run(now);
}

void Accord::forward_proposals(Time now) {
  std::vector<std::string> expired;
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    PendingProposal& p = pending_[i];
    if (now >= p.deadline) {
      expired.push_back(p.entry.id);
      continue;
    }
    if (now < p.next_try) continue;
    p.next_try = now + terms_.lease.ask_again();
    if (engine_ && engine_->leads()) {
      const std::string id = p.entry.id;
      const Entry entry = p.entry;  // the element may move while it is proposed
      engine_->propose(now, entry, [this, id](const std::optional<Verdict>& v) {
        if (v) finish_proposal(id, v);
      });
      continue;
    }
    if (engine_ && !engine_->leader().empty()) leader_ = engine_->leader();
    const std::string to = leader_.empty() || leader_ == self_ ? possible_leader() : leader_;
    if (to.empty() || to == self_) continue;
    accord::wire::Packet packet;
    packet.mutable_proposal()->set_entry(encode(p.entry));
    post(to, packet);
  }
  for (const auto& id : expired) finish_proposal(id, std::nullopt);
}

// Does the leader's work: starts its term, puts versions and baselines into effect, announces changes.
void Accord::do_leader_work(Time now) {
  const bool leads = engine_ && engine_->leads();
  if (!leads) {
    if (was_leader_) {
      leases_.leads_no_more();
      was_leader_ = false;
      enrolling_.clear();
      force_in_progress_ = false;
      ground_in_progress_ = false;
    }
    return;
  }
  if (!was_leader_ || led_term_ != engine_->term()) {
    was_leader_ = true;
    led_term_ = engine_->term();
    enrolling_.clear();
    force_in_progress_ = false;
    ground_in_progress_ = false;
    announced_versions_ = engine_->versions().newest();
    leases_.leads(now, led_term_, engine_->voting(), self_);
    holder_.ask_soon(now);
  }
  leases_.voters(engine_->voting());
  const Versions& versions = engine_->versions();
  if (const auto n = leases_.may_force(now, versions); n && !force_in_progress_) {
    Entry e;
    e.kind = Entry::Kind::force;
    e.number = n;
    force_in_progress_ = true;
    if (!engine_->propose(now, e, [this](const auto&) { force_in_progress_ = false; }))
      force_in_progress_ = false;
  }
  if (!ground_in_progress_ && leases_.may_force_ground(versions)) {
    Entry e;
    e.kind = Entry::Kind::force_ground;
    e.number = versions.ground_next()->number;
    ground_in_progress_ = true;
    if (!engine_->propose(now, e, [this](const auto&) { ground_in_progress_ = false; }))
      ground_in_progress_ = false;
  }
  const std::uint64_t ground = versions.ground().number * 2 + (versions.ground_next() ? 1 : 0);
  const std::uint64_t newest = versions.newest() + versions.in_force();
  if (newest != announced_versions_ || ground != announced_ground_) {
    announced_versions_ = newest;
    announced_ground_ = ground;
    accord::wire::Packet news;
    news.mutable_grant()->set_sequence(0);
    for (const auto& [name, held] : leases_.held())
      if (name != self_ && held.live(now)) post(name, news);
    holder_.ask_soon(now);
  }
  if (now >= next_voter_repair_) {
    next_voter_repair_ = now + kVoterRepairInterval;
    repair_voters(now);
  }
}

// Replaces lost and retiring voters by other brokers that may vote, one change at a time. The new voter joins
// before the old one is removed, so that a replacement never reduces the number of voters in between.
void Accord::repair_voters(Time now) {
  if (engine_->changing()) return;
  const auto voters = engine_->voters();
  std::size_t voting = 0;
  std::vector<const Voter*> lost;
  for (const Voter& v : voters) {
    if (v.name == self_ && v.id == engine_->id()) {
      ++voting;
      continue;
    }
    const auto held = leases_.held().find(v.name);
    const bool other_store =
        held != leases_.held().end() && held->second.voter_id != 0 && held->second.voter_id != v.id;
    const auto dead = dead_since_.find(v.name);
    const bool gone = dead != dead_since_.end() && now - dead->second >= terms_.replace_after;
    if (!v.votes) {  // a new voter that is still catching up
      if (other_store || gone)
        engine_->remove_voter(now, v.id);
      else
        engine_->add_voter(now, v.id, v.name);
      return;
    }
    ++voting;
    if (other_store || gone || retiring_.count(v.name)) lost.push_back(&v);
  }
  if (retiring_.count(self_) && voting > 1) {
    engine_->hand_over(now);
    return;
  }
  if (lost.empty()) return;
  const std::size_t wanted = terms_.voters.size();
  if (voting > wanted) {
    engine_->remove_voter(now, lost.front()->id);
    return;
  }
  for (const auto& [name, held] : leases_.held()) {
    if (!held.may_vote || held.voter_id == 0 || !held.live(now) || retiring_.count(name)) continue;
    const auto id = held.voter_id;
    if (std::any_of(voters.begin(), voters.end(), [id](const Voter& v) { return v.id == id; })) continue;
    engine_->add_voter(now, id, name);
    return;
  }
}

void Accord::run(Time now) {
  // One step may enable another: repeat until nothing changes.
  for (int i = 0; i < 64; ++i) {
    const auto before = out_.size();
    const auto answers_before = ever_answered_;
    if (engine_) {
      engine_->turn(now);
      do_leader_work(now);
      if (was_leader_ && engine_->leads()) start_confirmation_round(now);
      for (auto& g : leases_.granted()) send_grant(now, g.to, g.grant);
      while (auto o = engine_->send()) out_.push_back({o->to, std::move(o->bytes)});
    }
    if (!leaving_ && now >= holder_.wake()) request_lease(now);
    forward_proposals(now);
    if (out_.size() == before && answers_before == ever_answered_) break;
  }
}

void Accord::peer(Time now, const std::string& name, bool alive) {
  if (alive) {
    alive_.insert(name);
    dead_since_.erase(name);
  } else {
    alive_.erase(name);
    dead_since_.try_emplace(name, now);
  }
}

void Accord::leave(Time now) {
  if (!started_ || leaving_) return;
  if (engine_ && engine_->leads()) {
    leases_.gone(self_);
    engine_->hand_over(now);
  } else if (!leader_.empty()) {
    accord::wire::Packet p;
    p.mutable_ask()->set_bye(true);
    post(leader_, p);
  }
  holder_.handed_back();
  run(now);
  leaving_ = true;
}

std::vector<Version> Accord::history() const {
  std::vector<Version> all;
  if (engine_ && engine_->applied_index() > 0)
    for (const auto& [n, v] : engine_->versions().all()) all.push_back(v);
  else
    for (const auto& [n, v] : holder_.versions()) all.push_back(v);
  return all;
}

Status Accord::status(Time now) const {
  Status s;
  s.acting = *holder_.acting(now);
  s.lease_left = std::max<Time>(0, holder_.until() - now);
  s.leader = engine_ && engine_->leads()             ? self_
             : engine_ && !engine_->leader().empty() ? engine_->leader()
                                                     : leader_;
  s.have = holder_.have();
  s.ground = holder_.ground().number;
  s.ground_next = holder_.ground_next() ? holder_.ground_next()->number : 0;
  if (engine_) {
    s.term = engine_->term();
    s.leads = engine_->leads();
    s.store_failed = engine_->broken();
    s.newest = engine_->versions().newest();
    s.in_force = engine_->versions().in_force();
    s.voters = engine_->voters();
    for (const Voter& v : s.voters) s.votes = s.votes || (v.id == engine_->id() && v.votes);
    if (s.leads) {
      s.force_waits_for = leases_.waits_for(now, engine_->versions());
      s.ground_waits_for = leases_.ground_waits_for(engine_->versions());
    }
  }
  return s;
}

}  // namespace cairnhub::shared_config
