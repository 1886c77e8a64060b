#include "shared_config/leases.h"

#include <algorithm>
#include <utility>

namespace cairnhub::shared_config {

Holder::Holder(const LeaseTerms& terms, Rules ground, std::uint32_t life)
    : terms_(terms), sequence_(std::uint64_t{life} << 32) {
  ground_.rules = std::make_shared<const Rules>(std::move(ground));
  make_ground();
}

void Holder::make_ground() {
  auto a = std::make_shared<Acting>();
  a->ground = ground_next_ ? ground_next_->number : ground_.number;
  a->rules = ground_next_ ? std::make_shared<const Rules>(meet(*ground_.rules, *ground_next_->rules))
                          : ground_.rules;
  grounded_ = std::move(a);
}

void Holder::keep(const Version& ground) {
  ground_ = ground;
  make_ground();
}

Ask Holder::ask(Time now) {
  Ask a;
  a.sequence = ++sequence_;
  a.taken = taken_;
  a.have = have_;
  a.ground = ground_next_ ? ground_next_->number : ground_.number;
  a.settled = ground_next_ ? 0 : ground_.number;
  asked_[a.sequence] = now;
  while (asked_.size() > 16) asked_.erase(asked_.begin());
  next_ask_ = now + terms_.ask_again();
  return a;
}

void Holder::not_there(Time now) { next_ask_ = std::min(next_ask_, now + terms_.ask_again() / 8); }

bool Holder::answered(Time now, const Grant& g) {
  const auto asked = asked_.find(g.sequence);
  if (asked == asked_.end()) return false;  // answered already, or too long ago
  const Time at = asked->second;
  asked_.erase(asked_.begin(), std::next(asked));
  const auto have_before = have_, ground_before = ground_.number;
  const auto next_before = ground_next_ ? ground_next_->number : 0;
  for (const Version& v : g.versions) versions_[v.number] = v;
  // Danger: of two askings on their way the later may be answered first, before a next ground was made; taken
  // after the other, it would bring back the ground that this broker has just said it no longer keeps to
  // alone.
  const auto step = [](std::uint64_t ground, bool next) { return 2 * ground + next; };
  if (g.ground && (g.term > ground_term_ ||
                   (g.term == ground_term_ && step(g.ground->number, g.ground_next.has_value()) >=
                                                  step(ground_.number, ground_next_.has_value())))) {
    ground_ = *g.ground, ground_next_ = g.ground_next, ground_term_ = g.term;
    make_ground();
  }
  // What is held without a gap, from the lowest that counts on.
  const std::uint64_t from = g.low ? g.low : g.versions.empty() ? have_ + 1 : g.versions.front().number;
  if (versions_.count(from) != 0 && (g.low || !g.versions.empty())) {
    std::uint64_t last = from;
    while (versions_.count(last + 1)) ++last;
    have_ = std::max(have_, last);
  }
  if (g.low == 0 || g.low > g.high) {
    // The content came: ask again at once, with it in hand.
    next_ask_ = have_ > have_before ? now : std::min(next_ask_, now + terms_.ask_again());
    return true;
  }
  auto a = std::make_shared<Acting>();
  a->low = g.low, a->high = g.high, a->ground = ground_.number;
  for (std::uint64_t n = g.low; n <= g.high; ++n) {
    const auto it = versions_.find(n);
    if (it == versions_.end()) return true;  // not all of it in hand: no lease is taken up
    a->rules =
        a->rules ? std::make_shared<const Rules>(meet(*a->rules, *it->second.rules)) : it->second.rules;
  }
  const bool same = leased_ && leased_->low == a->low && leased_->high == a->high;
  if (!same) leased_ = std::move(a);
  until_ = at + terms_.for_holder();
  taken_ = g.sequence;
  if (g.low > Versions::kKept)
    versions_.erase(versions_.begin(), versions_.lower_bound(g.low - Versions::kKept));
  next_ask_ = at + terms_.renew_after();
  // Danger: what is only acknowledged with the next renewal would make every change wait for it.
  if (!same || ground_.number != ground_before || (ground_next_ ? ground_next_->number : 0) != next_before)
    next_ask_ = now;
  return true;
}

namespace {

void say(std::string& into, std::uint64_t n) { into += std::to_string(n) + ' '; }
void say(std::string& into, const Ask& a) {
  say(into, a.sequence), say(into, a.taken), say(into, a.have), say(into, a.ground), say(into, a.settled);
}

}  // namespace

void Holder::describe(Time now, std::string& into) const {
  const auto left = std::max<Time>(0, until_ - now);
  say(into, static_cast<std::uint64_t>(left));
  if (left) say(into, leased_->low), say(into, leased_->high);
  say(into, have_), say(into, sequence_), say(into, taken_);
  for (const auto& [sequence, at] : asked_)
    say(into, sequence), say(into, static_cast<std::uint64_t>(now - at));
  for (const auto& [n, v] : versions_) say(into, n);
  say(into, ground_.number), say(into, ground_next_ ? ground_next_->number : 0);
  into += '|';
}

void Leases::describe(Time now, std::string& into) const {
  say(into, leading_), say(into, round_), say(into, round_out_);
  say(into, static_cast<std::uint64_t>(std::max<Time>(0, earlier_until_ - now)));
  for (const auto& [name, h] : held_) {
    into += name + ' ';
    say(into, h.ground);
    for (const Out& o : h.out)
      if (o.until > now)
        say(into, o.sequence), say(into, o.high), say(into, static_cast<std::uint64_t>(o.until - now));
  }
  into += 'w';
  for (const auto& [name, a] : waiting_) into += name, say(into, a);
  into += 'r';
  for (const auto& [name, a] : in_round_) into += name, say(into, a);
  into += '|';
}

void Leases::leads(Time now, std::uint64_t term, std::set<std::string> voters, const std::string& self) {
  leading_ = true, term_ = term, voters_ = std::move(voters), self_ = self;
  earlier_until_ = now + terms_.for_leader();
  held_.clear(), waiting_.clear(), in_round_.clear();
  confirmed_.clear(), round_out_ = false;
}

void Leases::asked(Time now, const std::string& by, const Ask& ask) {
  if (!leading_) return;
  if (ask.bye) return gone(by);
  if (held_.size() >= Versions::kRoster && !held_.count(by)) return;
  Held& h = held_[by];
  // Danger: the ground that an earlier life kept to is not what this one keeps to.
  if (const std::uint64_t life = ask.sequence >> 32; life != h.life) {
    if (life != 0 && life == h.life_before) return;
    h.life_before = std::exchange(h.life, life);
  }
  h.may_vote = ask.may_vote, h.voter_id = ask.voter_id;
  std::erase_if(h.out, [&](const Out& o) { return o.sequence < ask.taken || o.until <= now; });
  h.ground = ask.ground;  // not the highest ever: it may have started anew, knowing none
  waiting_[by] = ask;
}

void Leases::gone(const std::string& name) { held_.erase(name), waiting_.erase(name), in_round_.erase(name); }

std::optional<std::uint64_t> Leases::round(Time now) {
  if (!leading_ || waiting_.empty()) return std::nullopt;
  // Danger: where askings come faster than confirmations, a new round for each would let none be confirmed.
  if (round_out_ && now - round_at_ < terms_.ask_again() / 4) return std::nullopt;
  round_at_ = now;
  // Those of a round that found no majority yet are taken along: they came before it goes out anew.
  for (auto& [name, ask] : waiting_) in_round_[name] = ask;
  waiting_.clear();
  confirmed_.clear();
  round_out_ = true;
  return ++round_;
}

void Leases::confirmed(Time now, const std::string& by, std::uint64_t term, std::uint64_t round,
                       const Versions& versions) {
  if (!leading_ || !round_out_ || term != term_ || round != round_ || !voters_.count(by)) return;
  confirmed_.insert(by);
  if (confirmed_.size() * 2 <= voters_.size()) return;
  round_out_ = false;
  for (const auto& [name, ask] : std::exchange(in_round_, {})) grant(now, name, ask, versions);
}

void Leases::grant(Time now, const std::string& to, const Ask& ask, const Versions& versions) {
  Grant g;
  g.sequence = ask.sequence, g.term = term_;
  if (ask.have >= versions.newest()) g.low = versions.in_force(), g.high = versions.newest();
  // What it lacks; to one that has nothing the history too, so that operators may ask any broker.
  for (auto it = versions.all().lower_bound(ask.have + 1); it != versions.all().end(); ++it)
    g.versions.push_back(it->second);
  const std::uint64_t ground =
      versions.ground_next() ? versions.ground_next()->number : versions.ground().number;
  if (ask.ground != ground || ask.settled != (versions.ground_next() ? 0 : ground)) {
    g.ground = versions.ground();
    g.ground_next = versions.ground_next();
  }
  if (g.low) {
    Held& h = held_[to];
    std::erase_if(h.out, [&](const Out& o) { return o.until <= now; });
    constexpr std::size_t kOutMost = 32;
    if (h.out.size() >= kOutMost) {  // of the two oldest, what is the stricter of both
      h.out[1].high = std::min(h.out[0].high, h.out[1].high);
      h.out.erase(h.out.begin());
    }
    h.out.push_back({ask.sequence, g.high, now + terms_.for_leader()});
  }
  granted_.push_back({to, std::move(g)});
}

std::uint64_t Leases::Held::lowest(Time now) const {
  std::uint64_t low = UINT64_MAX;
  for (const Out& o : out)
    if (o.until > now) low = std::min(low, o.high);
  return low;
}

std::uint64_t Leases::may_force(Time now, const Versions& versions) const {
  if (!leading_ || now < earlier_until_) return 0;
  std::uint64_t lowest = versions.newest();
  for (const auto& [name, h] : held_) lowest = std::min(lowest, h.lowest(now));
  return lowest > versions.in_force() ? lowest : 0;
}

bool Leases::may_force_ground(const Versions& versions) const {
  return leading_ && versions.ground_next() && ground_waits_for(versions).empty();
}

std::vector<std::string> Leases::ground_waits_for(const Versions& versions) const {
  std::vector<std::string> names;
  if (!versions.ground_next()) return names;
  for (const auto& name : versions.roster()) {
    const auto it = held_.find(name);
    if (it == held_.end() || it->second.ground < versions.ground_next()->number) names.push_back(name);
  }
  return names;
}

std::vector<std::string> Leases::waits_for(Time now, const Versions& versions) const {
  std::vector<std::string> names;
  if (!leading_ || versions.in_force() == versions.newest()) return names;
  if (now < earlier_until_) names.push_back("leases of an earlier leader");
  for (const auto& [name, h] : held_)
    if (h.lowest(now) < versions.newest()) names.push_back(name);
  return names;
}

Time Leases::wake(Time now, const Versions& versions) const {
  if (!leading_ || versions.in_force() == versions.newest()) return kNever;
  if (now < earlier_until_) return earlier_until_;
  Time at = kNever;
  for (const auto& [name, h] : held_)
    for (const Out& o : h.out)
      if (o.until > now && o.high < versions.newest()) at = std::min(at, o.until);
  return at == kNever ? now : at;
}

}  // namespace cairnhub::shared_config
