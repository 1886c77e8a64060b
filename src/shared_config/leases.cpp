#include "shared_config/leases.h"

#include <algorithm>
#include <utility>

namespace cairnhub::shared_config {

Holder::Holder(const LeaseTerms& terms, Rules ground, std::uint32_t life)
    : terms_(terms), sequence_(std::uint64_t{life} << 32) {
  ground_.rules = std::make_shared<const Rules>(std::move(ground));
  rebuild_baseline();
}

void Holder::rebuild_baseline() {
  auto config = std::make_shared<Acting>();
  config->ground = ground_next_ ? ground_next_->number : ground_.number;
  config->rules = ground_next_ ? std::make_shared<const Rules>(meet(*ground_.rules, *ground_next_->rules))
                               : ground_.rules;
  grounded_ = std::move(config);
}

void Holder::keep(const Version& ground) {
  ground_ = ground;
  rebuild_baseline();
}

Ask Holder::ask(Time now) {
  Ask request;
  request.sequence = ++sequence_;
  request.taken = taken_;
  request.have = have_;
  request.ground = ground_next_ ? ground_next_->number : ground_.number;
  request.settled = ground_next_ ? 0 : ground_.number;
  request_times_[request.sequence] = now;
  while (request_times_.size() > 16) request_times_.erase(request_times_.begin());
  next_ask_ = now + terms_.ask_again();
  return request;
}

void Holder::not_there(Time now) { next_ask_ = std::min(next_ask_, now + terms_.ask_again() / 8); }

bool Holder::answered(Time now, const Grant& g) {
  const auto request = request_times_.find(g.sequence);
  if (request == request_times_.end()) return false;  // answered already, or too old
  const Time requested_at = request->second;
  request_times_.erase(request_times_.begin(), std::next(request));
  const auto have_before = have_;
  const auto ground_before = ground_.number;
  const auto next_before = ground_next_ ? ground_next_->number : 0;
  for (const Version& v : g.versions) versions_[v.number] = v;
  // Grants may arrive out of order. A grant from before a next baseline existed must not bring back the
  // baseline that this broker has already reported not to act on alone any more.
  const auto step = [](std::uint64_t baseline, bool has_next) { return 2 * baseline + has_next; };
  if (g.ground && (g.term > ground_term_ ||
                   (g.term == ground_term_ && step(g.ground->number, g.ground_next.has_value()) >=
                                                  step(ground_.number, ground_next_.has_value())))) {
    ground_ = *g.ground;
    ground_next_ = g.ground_next;
    ground_term_ = g.term;
    rebuild_baseline();
  }
  // The newest version that is held without a gap from the first relevant one on.
  const std::uint64_t from = g.low ? g.low : g.versions.empty() ? have_ + 1 : g.versions.front().number;
  if (versions_.count(from) != 0 && (g.low || !g.versions.empty())) {
    std::uint64_t last = from;
    while (versions_.count(last + 1)) ++last;
    have_ = std::max(have_, last);
  }
  if (g.low == 0 || g.low > g.high) {
    // After new content the next request follows at once and reports it.
    next_ask_ = have_ > have_before ? now : std::min(next_ask_, now + terms_.ask_again());
    return true;
  }
  auto config = std::make_shared<Acting>();
  config->low = g.low;
  config->high = g.high;
  config->ground = ground_.number;
  for (std::uint64_t n = g.low; n <= g.high; ++n) {
    const auto it = versions_.find(n);
    if (it == versions_.end()) return true;  // some content is missing: the lease is not taken up
    config->rules = config->rules ? std::make_shared<const Rules>(meet(*config->rules, *it->second.rules))
                                  : it->second.rules;
  }
  const bool same = leased_ && leased_->low == config->low && leased_->high == config->high;
  if (!same) leased_ = std::move(config);
  until_ = requested_at + terms_.for_holder();
  taken_ = g.sequence;
  if (g.low > Versions::kKept)
    versions_.erase(versions_.begin(), versions_.lower_bound(g.low - Versions::kKept));
  next_ask_ = requested_at + terms_.renew_after();
  // A change is acknowledged at once; if that waited for the next renewal, every change would take that long.
  if (!same || ground_.number != ground_before || (ground_next_ ? ground_next_->number : 0) != next_before)
    next_ask_ = now;
  return true;
}

namespace {

void append_number(std::string& into, std::uint64_t n) { into += std::to_string(n) + ' '; }
void append_request(std::string& into, const Ask& a) {
  append_number(into, a.sequence);
  append_number(into, a.taken);
  append_number(into, a.have);
  append_number(into, a.ground);
  append_number(into, a.settled);
}

}  // namespace

void Holder::describe(Time now, std::string& into) const {
  const auto left = std::max<Time>(0, until_ - now);
  append_number(into, static_cast<std::uint64_t>(left));
  if (left) {
    append_number(into, leased_->low);
    append_number(into, leased_->high);
  }
  append_number(into, have_);
  append_number(into, sequence_);
  append_number(into, taken_);
  for (const auto& [sequence, at] : request_times_) {
    append_number(into, sequence);
    append_number(into, static_cast<std::uint64_t>(now - at));
  }
  for (const auto& [n, v] : versions_) append_number(into, n);
  append_number(into, ground_.number);
  append_number(into, ground_next_ ? ground_next_->number : 0);
  into += '|';
}

void Leases::describe(Time now, std::string& into) const {
  append_number(into, leading_);
  append_number(into, round_);
  append_number(into, round_in_progress_);
  append_number(into, static_cast<std::uint64_t>(std::max<Time>(0, earlier_until_ - now)));
  for (const auto& [name, h] : held_) {
    into += name + ' ';
    append_number(into, h.ground);
    for (const Out& o : h.out) {
      if (o.until > now) {
        append_number(into, o.sequence);
        append_number(into, o.high);
        append_number(into, static_cast<std::uint64_t>(o.until - now));
      }
    }
  }
  into += 'w';
  for (const auto& [name, request] : waiting_) {
    into += name;
    append_request(into, request);
  }
  into += 'r';
  for (const auto& [name, request] : in_round_) {
    into += name;
    append_request(into, request);
  }
  into += '|';
}

void Leases::leads(Time now, std::uint64_t term, std::set<std::string> voters, const std::string& self) {
  leading_ = true;
  term_ = term;
  voters_ = std::move(voters);
  self_ = self;
  earlier_until_ = now + terms_.for_leader();
  held_.clear();
  waiting_.clear();
  in_round_.clear();
  confirmed_by_.clear();
  round_in_progress_ = false;
}

void Leases::asked(Time now, const std::string& by, const Ask& ask) {
  if (!leading_) return;
  if (ask.bye) return gone(by);
  if (held_.size() >= Versions::kRoster && !held_.count(by)) return;
  Held& h = held_[by];
  // A restarted broker may keep to another baseline than its previous process: a late request of that process
  // doesn't count.
  if (const std::uint64_t incarnation = ask.sequence >> 32; incarnation != h.life) {
    if (incarnation != 0 && incarnation == h.life_before) return;
    h.life_before = std::exchange(h.life, incarnation);
  }
  h.may_vote = ask.may_vote;
  h.voter_id = ask.voter_id;
  std::erase_if(h.out, [&](const Out& o) { return o.sequence < ask.taken || o.until <= now; });
  h.ground = ask.ground;  // may decrease: a restarted broker may know no baseline
  waiting_[by] = ask;
}

void Leases::gone(const std::string& name) {
  held_.erase(name);
  waiting_.erase(name);
  in_round_.erase(name);
}

std::optional<std::uint64_t> Leases::round(Time now) {
  if (!leading_ || waiting_.empty()) return std::nullopt;
  // If each request started a new round, requests that arrive faster than confirmations would starve them
  // all.
  if (round_in_progress_ && now - round_started_at_ < terms_.ask_again() / 4) return std::nullopt;
  round_started_at_ = now;
  // Requests of an unfinished round join the new one: they arrived before it started.
  for (auto& [name, ask] : waiting_) in_round_[name] = ask;
  waiting_.clear();
  confirmed_by_.clear();
  round_in_progress_ = true;
  return ++round_;
}

void Leases::confirmed(Time now, const std::string& by, std::uint64_t term, std::uint64_t round,
                       const Versions& versions) {
  if (!leading_ || !round_in_progress_ || term != term_ || round != round_ || !voters_.count(by)) return;
  confirmed_by_.insert(by);
  if (confirmed_by_.size() * 2 <= voters_.size()) return;
  round_in_progress_ = false;
  for (const auto& [name, ask] : std::exchange(in_round_, {})) grant(now, name, ask, versions);
}

void Leases::grant(Time now, const std::string& to, const Ask& ask, const Versions& versions) {
  Grant g;
  g.sequence = ask.sequence;
  g.term = term_;
  if (ask.have >= versions.newest()) {
    g.low = versions.in_force();
    g.high = versions.newest();
  }
  // The versions that the broker lacks. A broker without any gets the old ones too, so that operators can
  // read the history at any broker.
  for (auto it = versions.all().lower_bound(ask.have + 1); it != versions.all().end(); ++it)
    g.versions.push_back(it->second);
  const std::uint64_t baseline =
      versions.ground_next() ? versions.ground_next()->number : versions.ground().number;
  if (ask.ground != baseline || ask.settled != (versions.ground_next() ? 0 : baseline)) {
    g.ground = versions.ground();
    g.ground_next = versions.ground_next();
  }
  if (g.low) {
    Held& h = held_[to];
    std::erase_if(h.out, [&](const Out& o) { return o.until <= now; });
    constexpr std::size_t kMaxOutstandingGrants = 32;
    if (h.out.size() >= kMaxOutstandingGrants) {  // merges the two oldest into the stricter of both
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
