#include "shared_config/version_history.h"

#include <algorithm>

#include "shared_config/log_codec.h"

namespace cairnhub::shared_config {

namespace {

Version make(std::uint64_t number, Rules rules, const Entry& e) {
  Version v;
  v.number = number;
  v.text = text_of(rules);
  v.hash = hash_of(v.text);
  v.who = e.who, v.why = e.why, v.id = e.id, v.note = e.note;
  v.rules = std::make_shared<const Rules>(std::move(rules));
  return v;
}

std::string said(std::uint64_t n) { return std::to_string(n); }

}  // namespace

std::string encode(const Entry& entry) {
  accord::wire::Entry e;
  e.set_kind(static_cast<std::uint32_t>(entry.kind));
  if (!entry.id.empty()) e.set_id(entry.id);
  if (entry.base) e.set_base(entry.base);
  if (!entry.text.empty()) e.set_rules(entry.text);
  if (!entry.who.empty()) e.set_who(entry.who);
  if (!entry.why.empty()) e.set_why(entry.why);
  if (entry.number) e.set_number(entry.number);
  if (!entry.name.empty()) e.set_name(entry.name);
  if (!entry.note.empty()) e.set_note(entry.note);
  return e.SerializeAsString();
}

std::optional<Entry> decode_entry(std::string_view bytes) {
  accord::wire::Entry e;
  if (!e.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (e.kind() < 1 || e.kind() > static_cast<std::uint32_t>(Entry::Kind::board)) return std::nullopt;
  if (e.rules().size() > kRulesTextMost || e.who().size() > 256 || e.why().size() > 1024 ||
      e.id().size() > 64 || e.name().size() > 64 || e.note().size() > 8192)
    return std::nullopt;
  return Entry{static_cast<Entry::Kind>(e.kind()),
               e.id(),
               e.rules(),
               e.who(),
               e.why(),
               e.name(),
               e.note(),
               e.base(),
               e.number()};
}

Versions::Versions(std::shared_ptr<const Board> board) : board_(std::move(board)) {
  Entry first;
  first.who = "cairnhub", first.why = "what the platform's settings allow";
  versions_[1] = make(1, Rules{}, first);
  ground_ = versions_[1];
}

const Version* Versions::at(std::uint64_t number) const {
  const auto it = versions_.find(number);
  return it == versions_.end() ? nullptr : &it->second;
}

Verdict Versions::apply(const Entry& e) {
  switch (e.kind) {
    case Entry::Kind::propose:
    case Entry::Kind::propose_ground:
    case Entry::Kind::propose_zones:
    case Entry::Kind::propose_works:
    case Entry::Kind::ground_works:
    case Entry::Kind::board:
    case Entry::Kind::order: {
      // Danger: a proposer that heard nothing says the same again; it must not become two versions.
      for (const auto& [id, number] : seen_)
        if (id == e.id) return {number, number ? "" : "refused before"};
      const Verdict v = e.kind == Entry::Kind::order            ? order(e)
                        : e.kind == Entry::Kind::board          ? on_board(e)
                        : e.kind == Entry::Kind::propose_ground ? propose_ground(e)
                        : e.kind == Entry::Kind::ground_works   ? propose_ground(e)
                                                                : propose(e);
      if (!e.id.empty()) seen_.emplace_back(e.id, v.number);
      if (seen_.size() > kSeen) seen_.pop_front();
      return v;
    }
    case Entry::Kind::force:
      if (e.number <= in_force_ || !versions_.count(e.number)) return {0, "not a version that waits"};
      in_force_ = e.number;
      forget_old();
      return {e.number, ""};
    case Entry::Kind::force_ground:
      if (!ground_next_ || ground_next_->number != e.number) return {0, "not a ground that waits"};
      ground_ = std::move(*ground_next_);
      ground_next_.reset();
      return {e.number, ""};
    case Entry::Kind::enlist:
      if (roster_.size() >= kRoster) return {0, "the roster is full"};
      roster_.insert(e.name);
      return {1, ""};
    case Entry::Kind::strike:
      if (roster_.erase(e.name) == 0) return {0, "no such broker on the roster"};
      return {1, ""};
  }
  return {0, "unknown"};
}

Verdict Versions::order(const Entry& e) {
  if (e.name.empty()) return {0, "of which zone?"};
  if (e.text.empty()) {
    if (orders_.erase(e.name) == 0) return {0, "nothing is ordered of zone \"" + e.name + "\""};
    return {1, ""};
  }
  if (e.text != "evacuate" && e.text != "hold") return {0, "no such order: " + e.text};
  if (orders_.size() >= kOrders && !orders_.count(e.name)) return {0, "too many orders"};
  orders_[e.name] = {e.text, e.who, e.why};
  return {1, ""};
}

Verdict Versions::on_board(const Entry& e) {
  if (!board_) return {0, "there is no such board here"};
  std::shared_ptr<const Board> next;
  const Verdict v = board_->apply(e, next);
  if (next) board_ = std::move(next);
  return v;
}

Verdict Versions::propose(const Entry& e) {
  const bool zones = e.kind == Entry::Kind::propose_zones, works = e.kind == Entry::Kind::propose_works;
  if (zones && e.base != zones_from_)
    return {0, "the zone shares are those of version " + said(zones_from_) + ", not " + said(e.base)};
  if (works && e.base != works_from_)
    return {0, "the nodes at work are those of version " + said(works_from_) + ", not " + said(e.base)};
  if (!zones && !works && (e.base < settings_from_ || e.base > newest()))
    return {0,
            "the newest version is " + said(newest()) + ", not " + said(e.base) + ": look and propose anew"};
  if (newest() - in_force_ >= kWaiting) return {0, said(kWaiting) + " versions wait for force already"};
  Rules rules;
  try {
    rules = parse_rules(e.text, "rules");
  } catch (const RulesError& error) {
    return {0, error.what()};
  }
  const Version& last = versions_.rbegin()->second;
  Entry made = e;
  if (zones) {
    ZoneShares shares = std::move(rules.zones);
    rules = *last.rules;
    rules.zones = std::move(shares);
  } else if (works) {
    std::set<std::string> nodes = std::move(rules.at_work);
    rules = *last.rules;
    rules.at_work = std::move(nodes);
    made.note = last.note;
  } else {
    // Settings, zone shares and works are made by different hands: what says nothing of the other's leaves it
    // be. Danger: an operator who goes back to an older version would bring a machine at work into use.
    if (rules.zones == ZoneShares{}) rules.zones = last.rules->zones;
    rules.at_work = last.rules->at_work;
    made.note = last.note;
  }
  for (const Version* g : {&ground_, ground_next_ ? &*ground_next_ : nullptr})
    if (g)
      if (const std::string what = beyond(*g->rules, rules); !what.empty())
        return {0, "contradicts the common ground, which allows more: " + what + "; propose a ground first"};
  const std::uint64_t number = newest() + 1;
  versions_[number] = make(number, std::move(rules), made);
  (zones ? zones_from_ : works ? works_from_ : settings_from_) = number;
  return {number, ""};
}

Verdict Versions::propose_ground(const Entry& e) {
  if (ground_next_) return {0, "ground " + said(ground_next_->number) + " is still being taken up"};
  const bool works = e.kind == Entry::Kind::ground_works;
  if (works ? e.base != ground_works_from_ : e.base < ground_settings_from_ || e.base > ground_.number)
    return {0, "the ground is " + said(ground_.number) + ", not " + said(e.base) + ": look and propose anew"};
  Rules rules;
  try {
    rules = parse_rules(e.text, "rules");
  } catch (const RulesError& error) {
    return {0, error.what()};
  }
  if (works) {
    std::set<std::string> nodes = std::move(rules.at_work);
    rules = *ground_.rules;
    rules.at_work = std::move(nodes);
  } else {
    if (rules.zones == ZoneShares{}) rules.zones = ground_.rules->zones;
    rules.at_work = ground_.rules->at_work;
  }
  for (auto it = versions_.lower_bound(in_force_); it != versions_.end(); ++it)
    if (const std::string what = beyond(rules, *it->second.rules); !what.empty())
      return {0, "allows more than version " + said(it->first) + ": " + what};
  ground_next_ = make(ground_.number + 1, std::move(rules), e);
  (works ? ground_works_from_ : ground_settings_from_) = ground_next_->number;
  return {ground_next_->number, ""};
}

void Versions::forget_old() {
  while (versions_.size() > kKept && versions_.begin()->first + kKept <= in_force_)
    versions_.erase(versions_.begin());
}

std::string Versions::snapshot() const {
  accord::wire::State s;
  for (const auto& [n, v] : versions_) to_proto(v, *s.add_version());
  s.set_in_force(in_force_);
  to_proto(ground_, *s.mutable_ground());
  if (ground_next_) to_proto(*ground_next_, *s.mutable_ground_next());
  for (const auto& name : roster_) s.add_roster(name);
  s.set_zones_from(zones_from_), s.set_works_from(works_from_), s.set_settings_from(settings_from_);
  s.set_ground_works_from(ground_works_from_), s.set_ground_settings_from(ground_settings_from_);
  for (const auto& [zone, order] : orders_) {
    auto* o = s.add_order();
    o->set_zone(zone), o->set_what(order.what), o->set_who(order.who), o->set_why(order.why);
  }
  for (const auto& [id, number] : seen_) s.add_seen(id), s.add_seen_number(number);
  if (board_) s.set_board(board_->snapshot());
  return s.SerializeAsString();
}

bool Versions::restore(std::string_view bytes) {
  accord::wire::State s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  Versions read(board_);
  read.versions_.clear();
  for (const auto& v : s.version()) {
    auto got = from_proto(v);
    if (!got) return false;
    read.versions_[got->number] = std::move(*got);
  }
  read.in_force_ = s.in_force();
  auto ground = from_proto(s.ground());
  if (!ground || !read.versions_.count(read.in_force_)) return false;
  read.ground_ = std::move(*ground);
  if (s.has_ground_next() && !(read.ground_next_ = from_proto(s.ground_next()))) return false;
  read.roster_ = {s.roster().begin(), s.roster().end()};
  read.zones_from_ = s.zones_from(), read.works_from_ = s.works_from();
  read.ground_works_from_ = s.ground_works_from();
  // One of a program that did not tell them apart: whatever is newest counts.
  read.settings_from_ = s.has_settings_from() ? s.settings_from() : read.newest();
  read.ground_settings_from_ = s.has_ground_settings_from() ? s.ground_settings_from() : read.ground_.number;
  for (const auto& o : s.order()) read.orders_[o.zone()] = {o.what(), o.who(), o.why()};
  if (s.seen_size() != s.seen_number_size()) return false;
  for (int i = 0; i < s.seen_size(); ++i) read.seen_.emplace_back(s.seen(i), s.seen_number(i));
  if (board_ && s.has_board() && !(read.board_ = board_->restore(s.board()))) return false;
  *this = std::move(read);
  return true;
}

}  // namespace cairnhub::shared_config
