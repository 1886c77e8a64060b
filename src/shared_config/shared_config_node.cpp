#include "shared_config/shared_config_node.h"

#include <algorithm>
#include <iterator>

#include "shared_config/log_codec.h"

namespace cairnhub::shared_config {

namespace {

constexpr Time kMendEvery = kSecond;
constexpr int kGiveUpLeader = 3;  // askings without an answer before another is asked
constexpr std::size_t kPendingMost = 64;

}  // namespace

Accord::Accord(const Terms& terms, const std::string& self, DurableStore* store, Rules ground,
               std::uint64_t seed, std::shared_ptr<const Board> board)
    : terms_(terms),
      self_(self),
      chance_(seed),
      holder_(terms.lease, std::move(ground), terms.life),
      leases_(terms.lease) {
  if (store)
    engine_ = std::make_unique<RaftNode>(
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
    next_tick_ = now, next_mend_ = now + kMendEvery;
  }
  holder_.ask_soon(now);
  turn(now);
}

Time Accord::wake() const {
  if (!started_ || leaving_) return kNever;
  Time at = std::min(next_tick_, holder_.wake());
  for (const Pending& p : pending_) at = std::min({at, p.again, p.until});
  return at;
}

void Accord::woken(Time now) {
  if (!started_ || leaving_) return;
  if (engine_ && now >= next_tick_) {
    next_tick_ = now + terms_.engine.tick_interval;
    engine_->tick(now);
  }
  if (now >= holder_.wake()) ask(now);
  turn(now);
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

// Where the leader may be known: a voter as stated, or anyone alive.
std::string Accord::somewhere() {
  if (!terms_.voters.empty() && (alive_.empty() || chance_.below(3) != 0))
    return terms_.voters[chance_.below(terms_.voters.size())];
  if (alive_.empty()) return "";
  return *std::next(alive_.begin(), static_cast<std::ptrdiff_t>(chance_.below(alive_.size())));
}

void Accord::ask(Time now) {
  Ask a = holder_.ask(now);
  a.may_vote = engine_ && !engine_->has_failed();
  a.voter_id = a.may_vote ? engine_->id() : 0;
  if (engine_ && engine_->is_leader()) return asked(now, self_, a);
  if (engine_ && !engine_->leader().empty() && engine_->leader() != self_) leader_ = engine_->leader();
  if (leader_ == self_ || ++unanswered_ > kGiveUpLeader) leader_.clear();
  const std::string to = leader_.empty() ? somewhere() : leader_;
  if (to.empty() || to == self_) return holder_.not_there(now);
  accord::wire::Packet p;
  auto& w = *p.mutable_ask();
  w.set_sequence(a.sequence), w.set_have(a.have), w.set_ground(a.ground);
  w.set_settled(a.settled), w.set_taken(a.taken);
  w.set_may_vote(a.may_vote), w.set_voter_id(a.voter_id);
  post(to, p);
}

void Accord::asked(Time now, const std::string& by, const Ask& ask) {
  if (ask.bye) return leases_.gone(by);
  // Only one that is enlisted gets a lease: the ground waits for those on the roster.
  if (!engine_->versions().roster().count(by)) {
    if (!enlist_out_.insert(by).second) return;
    Entry e;
    e.kind = Entry::Kind::enlist, e.name = by;
    if (!engine_->propose(now, e, [this, by](const auto&) { enlist_out_.erase(by); })) enlist_out_.erase(by);
    return;
  }
  leases_.asked(now, by, ask);
  confirm_round(now);
}

void Accord::confirm_round(Time now) {
  const auto round = leases_.round(now);
  if (!round) return;
  accord::wire::Packet p;
  p.mutable_confirm()->set_term(engine_->term());
  p.mutable_confirm()->set_round(*round);
  for (const auto& name : engine_->voter_names())
    if (name != self_) post(name, p);
  leases_.confirmed(now, self_, engine_->term(), *round, engine_->versions());
}

void Accord::answer(Time now, const std::string& to, const Grant& g) {
  if (to == self_) {
    ever_answered_ = true;
    holder_.answered(now, g);
    return;
  }
  accord::wire::Packet p;
  auto& w = *p.mutable_grant();
  w.set_sequence(g.sequence), w.set_low(g.low), w.set_high(g.high), w.set_term(g.term);
  for (const Version& v : g.versions) to_proto(v, *w.add_version());
  if (g.ground) to_proto(*g.ground, *w.mutable_ground());
  if (g.ground_next) to_proto(*g.ground_next, *w.mutable_ground_next());
  post(to, p);
}

void Accord::received(Time now, const std::string& from, const accord::wire::Packet& p) {
  if (!started_ || leaving_) return;
  if (p.has_raft() && engine_) engine_->handle_message(now, from, p.raft());
  if (p.has_ask()) {
    if (engine_ && engine_->is_leader()) {
      asked(now, from,
            {p.ask().sequence(), p.ask().taken(), p.ask().have(), p.ask().ground(), p.ask().settled(),
             p.ask().may_vote(), p.ask().bye(), p.ask().voter_id()});
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
    unanswered_ = 0;
    holder_.not_there(now);
    for (Pending& pending : pending_)
      pending.again = std::min(pending.again, now + terms_.lease.ask_again() / 8);
  }
  if (p.has_grant()) {
    const auto& w = p.grant();
    if (w.sequence() == 0) {
      holder_.ask_soon(now);  // there is news
    } else {
      Grant g;
      g.sequence = w.sequence(), g.low = w.low(), g.high = w.high(), g.term = w.term();
      bool good = w.high() >= w.low() && w.high() - w.low() <= Versions::kWaiting;
      for (const auto& v : w.version()) {
        auto got = from_proto(v);
        good = good && got;
        if (got) g.versions.push_back(std::move(*got));
      }
      if (w.has_ground()) good = good && (g.ground = from_proto(w.ground()));
      if (w.has_ground_next()) good = good && (g.ground_next = from_proto(w.ground_next()));
      if (good && holder_.answered(now, g)) leader_ = from, unanswered_ = 0, ever_answered_ = true;
    }
  }
  if (p.has_confirm() && engine_ && !engine_->has_failed()) {
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
    if (e && engine_ && engine_->is_leader()) {
      engine_->propose(now, *e, [this, from, id = e->id](const std::optional<Verdict>& v) {
        if (!v) return;  // it may or may not come in: the asker says it again
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
  if (p.has_verdict()) settled(p.verdict().id(), Verdict{p.verdict().number(), p.verdict().refused()});
  turn(now);
}

void Accord::settled(const std::string& id, const std::optional<Verdict>& verdict) {
  const auto it =
      std::find_if(pending_.begin(), pending_.end(), [&](const Pending& p) { return p.entry.id == id; });
  if (it == pending_.end()) return;
  const Done done = std::move(it->done);
  pending_.erase(it);
  done(verdict);
}

void Accord::propose(Time now, Entry entry, Done done) {
  if (pending_.size() >= kPendingMost) return done(std::nullopt);
  pending_.push_back({std::move(entry), std::move(done), now + terms_.propose_within, now});
  turn(now);
}

void Accord::forward(Time now) {
  std::vector<std::string> over;
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    Pending& p = pending_[i];
    if (now >= p.until) {
      over.push_back(p.entry.id);
      continue;
    }
    if (now < p.again) continue;
    p.again = now + terms_.lease.ask_again();
    if (engine_ && engine_->is_leader()) {
      const std::string id = p.entry.id;
      const Entry entry = p.entry;  // the record may move while it is proposed
      engine_->propose(now, entry, [this, id](const std::optional<Verdict>& v) {
        if (v) settled(id, v);
      });
      continue;
    }
    if (engine_ && !engine_->leader().empty()) leader_ = engine_->leader();
    const std::string to = leader_.empty() || leader_ == self_ ? somewhere() : leader_;
    if (to.empty() || to == self_) continue;
    accord::wire::Packet packet;
    packet.mutable_proposal()->set_entry(encode(p.entry));
    post(to, packet);
  }
  for (const auto& id : over) settled(id, std::nullopt);
}

// What the leader owes: to begin, to force what may be forced, to tell that there is news.
void Accord::lead(Time now) {
  const bool leads = engine_ && engine_->is_leader();
  if (!leads) {
    if (led_) leases_.leads_no_more(), led_ = false, enlist_out_.clear(), force_out_ = ground_out_ = false;
    return;
  }
  if (!led_ || led_term_ != engine_->term()) {
    led_ = true, led_term_ = engine_->term();
    enlist_out_.clear(), force_out_ = ground_out_ = false;
    told_newest_ = engine_->versions().newest();
    leases_.leads(now, led_term_, engine_->voter_names(), self_);
    holder_.ask_soon(now);
  }
  leases_.voters(engine_->voter_names());
  const Versions& book = engine_->versions();
  if (const auto n = leases_.may_force(now, book); n && !force_out_) {
    Entry e;
    e.kind = Entry::Kind::force, e.number = n;
    force_out_ = true;
    if (!engine_->propose(now, e, [this](const auto&) { force_out_ = false; })) force_out_ = false;
  }
  if (!ground_out_ && leases_.may_force_ground(book)) {
    Entry e;
    e.kind = Entry::Kind::force_ground, e.number = book.ground_next()->number;
    ground_out_ = true;
    if (!engine_->propose(now, e, [this](const auto&) { ground_out_ = false; })) ground_out_ = false;
  }
  const std::uint64_t ground = book.ground().number * 2 + (book.ground_next() ? 1 : 0);
  const std::uint64_t newest = book.newest() + book.in_force();
  if (newest != told_newest_ || ground != told_ground_) {
    told_newest_ = newest, told_ground_ = ground;
    accord::wire::Packet news;
    news.mutable_grant()->set_sequence(0);
    for (const auto& [name, held] : leases_.held())
      if (name != self_ && held.live(now)) post(name, news);
    holder_.ask_soon(now);
  }
  if (now >= next_mend_) {
    next_mend_ = now + kMendEvery;
    mend_voters(now);
  }
}

// A voter that is lost gives way to another that may vote: one change at a time, the new one in first, so
// that a majority of the old is never asked of fewer.
void Accord::mend_voters(Time now) {
  if (engine_->has_change_in_progress()) return;
  const auto voters = engine_->members();
  std::size_t voting = 0;
  std::vector<const RaftMember*> lost;
  for (const RaftMember& v : voters) {
    if (v.name == self_ && v.id == engine_->id()) {
      ++voting;
      continue;
    }
    const auto held = leases_.held().find(v.name);
    const bool other_store =
        held != leases_.held().end() && held->second.voter_id != 0 && held->second.voter_id != v.id;
    const auto dead = dead_since_.find(v.name);
    const bool gone = dead != dead_since_.end() && now - dead->second >= terms_.replace_after;
    if (!v.is_voter) {  // a spare on its way in
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
    engine_->transfer_leadership(now);
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
    if (std::any_of(voters.begin(), voters.end(), [id](const RaftMember& v) { return v.id == id; })) continue;
    engine_->add_voter(now, id, name);
    return;
  }
}

void Accord::turn(Time now) {
  // What one step brings about another may follow from: until nothing moves.
  for (int i = 0; i < 64; ++i) {
    const auto before = out_.size();
    const auto answers_before = ever_answered_;
    if (engine_) {
      engine_->run_callbacks(now);
      lead(now);
      if (led_ && engine_->is_leader()) confirm_round(now);
      for (auto& g : leases_.granted()) answer(now, g.to, g.grant);
      while (auto o = engine_->take_message()) out_.push_back({o->to, std::move(o->bytes)});
    }
    if (!leaving_ && now >= holder_.wake()) ask(now);
    forward(now);
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
  if (engine_ && engine_->is_leader()) {
    leases_.gone(self_);
    engine_->transfer_leadership(now);
  } else if (!leader_.empty()) {
    accord::wire::Packet p;
    p.mutable_ask()->set_bye(true);
    post(leader_, p);
  }
  holder_.handed_back();
  turn(now);
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
  s.leader = engine_ && engine_->is_leader()         ? self_
             : engine_ && !engine_->leader().empty() ? engine_->leader()
                                                     : leader_;
  s.have = holder_.have();
  s.ground = holder_.ground().number;
  s.ground_next = holder_.ground_next() ? holder_.ground_next()->number : 0;
  if (engine_) {
    s.term = engine_->term();
    s.leads = engine_->is_leader();
    s.store_failed = engine_->has_failed();
    s.newest = engine_->versions().newest(), s.in_force = engine_->versions().in_force();
    s.voters = engine_->members();
    for (const RaftMember& v : s.voters) s.votes = s.votes || (v.id == engine_->id() && v.is_voter);
    if (s.leads) {
      s.force_waits_for = leases_.waits_for(now, engine_->versions());
      s.ground_waits_for = leases_.ground_waits_for(engine_->versions());
    }
  }
  return s;
}

}  // namespace cairnhub::shared_config
