#include "zone_failover/zone_failover.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace cairnhub::zone_failover {

namespace {

// A proposal that was not answered is made anew after so long.
constexpr Time kAgain = 2 * kSecond;
// No zone's name holds its last sign.
const std::string kRegion = "region/";
// Of what a region's brokers ask for, so much may find no place without its being short.
constexpr double kShort = 0.01;

// Whether the newest version has the course's own state and share.
bool holds(const std::map<std::string, Note::One>& noted, const std::string& name, const Course& course) {
  const auto it = noted.find(name);
  return it != noted.end() && it->second.state == course.state() && it->second.share == course.share();
}

}  // namespace

std::string region_key(const std::string& region) { return kRegion + region; }

std::string text_of(const Note& note) {
  std::string text;
  const auto add = [&](const std::string& name, const Note::One& one) {
    text += (text.empty() ? "" : " ") + name + "=" + name_of(one.state) + ":" + std::to_string(one.share);
  };
  for (const auto& [zone, one] : note.zones) add(zone, one);
  for (const auto& [region, one] : note.regions) add(region_key(region), one);
  return text;
}

Note parse_note(const std::string& text) {
  Note note;
  std::istringstream in(text);
  for (std::string word; in >> word && note.zones.size() + note.regions.size() < 2 * kZonesMost;) {
    const auto equal = word.rfind('='), colon = word.rfind(':');
    if (equal == std::string::npos || colon == std::string::npos || colon < equal || equal == 0) continue;
    const std::string state = word.substr(equal + 1, colon - equal - 1);
    const int share = std::atoi(word.c_str() + colon + 1);
    for (const State s : {State::near, State::spilling, State::evacuating, State::away, State::returning})
      if (state == name_of(s) && share >= 0 && share <= 1000) {
        const std::string name = word.substr(0, equal);
        if (name.rfind(kRegion, 0) == 0)
          note.regions[name.substr(kRegion.size())] = {s, share};
        else
          note.zones[name] = {s, share};
      }
  }
  return note;
}

Zones::Zones(const Terms& terms, const std::string& self)
    : terms_(terms), self_(self), account_(terms.window), evidence_(terms.evidence) {
  order_.push_back(terms_.home);
  for (const Zone& z : terms_.zones) {
    stated_[z.name] = &z;
    if (z.name != terms_.home) order_.push_back(z.name);
    courses_.emplace(z.name, Course(terms_.course));
    regions_.emplace(z.region, Course(terms_.region_course));
  }
  if (regions_.size() < 2) regions_.clear();
}

int Zones::number_of(const std::string& zone) const {
  return static_cast<int>(std::find(order_.begin(), order_.end(), zone) - order_.begin());
}

const std::string& Zones::name_of(int number) const {
  static const std::string none;
  const auto at = static_cast<std::size_t>(number);
  return at < order_.size() ? order_[at] : none;
}

void Zones::ended(Time now, const std::string& zone, EndpointId host, AttemptOutcome how, Time latency) {
  switch (how) {
    case AttemptOutcome::kOk:
    case AttemptOutcome::kError:
      return account_.ended(now, zone, host, End::returned, latency);
    case AttemptOutcome::kQueueFull:
      return account_.ended(now, zone, host, End::refused, 0);
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kReset:
      return account_.ended(now, zone, host, End::lost, 0);
    case AttemptOutcome::kCancelled:
      return account_.ended(now, zone, host, End::called_off, latency);
    case AttemptOutcome::kNotSent:  // tells nothing of the zone
      return;
  }
}

void Zones::hosts(const std::map<std::string, std::pair<int, double>>& by_zone) {
  account_.no_hosts();
  for (const auto& [zone, h] : by_zone) {
    const auto it = stated_.find(zone);
    account_.hosts(zone, h.first, it == stated_.end() ? 0 : h.second * it->second->host_capacity);
  }
}

std::optional<Report> Zones::report(Time now) {
  if (now < next_) return std::nullopt;
  next_ = now + terms_.report_every;
  Report r;
  r.home = terms_.home, r.wanted = account_.wanted(now), r.far = account_.far(now),
  r.zones = account_.read(now);
  heard(now, self_, r);
  return r;
}

void Zones::heard(Time now, const std::string& from, Report report) {
  if (!stated_.count(report.home)) return;  // labels missing or wrong there: it counts for nothing here
  evidence_.heard(now, from, std::move(report));
}

bool Zones::worth_it(Time now, const Had& had, const Note& note, const Filled& filled, std::string& why) {
  const shared_config::ZoneShares& shares = filled.shares;
  const auto differs = [&](const auto& now_is, const auto& was, const auto& views,
                           const std::string& before) {
    for (const auto& [name, one] : now_is) {
      const auto it = was.find(name);
      if (it != was.end() && it->second.state == one.state && it->second.share == one.share) continue;
      why = before + name + " " + zone_failover::name_of(one.state) + " at " + std::to_string(one.share);
      const auto v = views.find(name);
      if (const shared_config::ZoneOrder* o = ordered(before + name))
        why += ": ordered by " + o->who + ", " + o->why;
      else if (v != views.end())
        why += ": " + v->second.why;
      return true;
    }
    return false;
  };
  if (differs(note.zones, had.note.zones, view_.zones, "") ||
      differs(note.regions, had.note.regions, region_views_, kRegion))
    return true;
  if (shares == had.shares) return false;
  bool more = false;
  std::set<std::pair<std::string, std::string>> pairs;
  for (const auto* s : {&shares, &had.shares})
    for (const auto& [pair, most] : s->thousandths_by_pair) pairs.insert(pair);
  for (const auto& [from, to] : pairs) {
    const int was = had.shares.thousandths(from, to), is = shares.thousandths(from, to);
    // What a zone can no longer spare must be taken back at once; to allow more can wait.
    if (is < was * (1 - terms_.narrower) - 10) {
      why = to + " can spare less for " + from + ": " + std::to_string(is) + " where " + std::to_string(was);
      return true;
    }
    more = more || is > was * (1 + terms_.wider) + 10;
  }
  // What is planned to go and may not go yet is being turned away.
  for (const auto& [pair, flow] : filled.flow) {
    const double needs = 1000 * flow / std::max(1.0, view_.zones[pair.first].wanted);
    if (needs > had.shares.thousandths(pair.first, pair.second) * (1 + terms_.narrower) + 10) {
      why = pair.first + " needs more of " + pair.second + ": " + std::to_string(static_cast<int>(needs)) +
            " where " + std::to_string(had.shares.thousandths(pair.first, pair.second));
      return true;
    }
  }
  if (!more || now - changed_at_ < terms_.wider_after) return false;
  why = "zones can spare more";
  return true;
}

std::optional<shared_config::ConfigEntry> Zones::lead(Time now, const shared_config::VersionHistory& book) {
  const shared_config::Version& newest = book.versions().rbegin()->second;
  Had had{parse_note(newest.note), newest.rules->zone_shares};
  if (!led_) {
    // Danger: a new leader that took every zone for near would bring a dead one back at once.
    led_ = true, changed_at_ = now;
    const auto resume = [now](auto& courses, const auto& from) {
      for (auto& [name, course] : courses) {
        const auto it = from.find(name);
        const Note::One one = it == from.end() ? Note::One{} : it->second;
        course.resume(now, one.state, one.share);
      }
    };
    resume(courses_, had.note.zones);
    resume(regions_, had.note.regions);
  }
  ordered_ = book.zone_orders();
  view_ = evidence_.look(now);
  const bool newest_in_force = book.in_force() >= newest.number;
  Note note;
  std::vector<Place> places;
  for (auto& [zone, course] : courses_) {
    const ZoneView& v = view_.zones[zone];
    const shared_config::ZoneOrder* o = ordered(zone);
    course.tell(now, v.look, v.bears,
                !o                    ? Ordered::none
                : o->action == "hold" ? Ordered::hold
                                      : Ordered::evacuate,
                newest_in_force && holds(had.note.zones, zone, course));
    note.zones[zone] = {course.state(), course.share()};
    // What has no holder at home goes elsewhere, however well the zone is.
    const double near = v.wanted > 0 ? std::max(0.0, 1 - v.far / v.wanted) : 1;
    places.push_back({zone, stated_.at(zone)->region, v.wanted, std::min(course.share() / 1000.0, near),
                      v.capacity, course.takes_in()});
  }
  look_at_regions(now, places, newest_in_force, had.note, note);
  // No table without a ground that lies within every table.
  shared_config::ConfigEntry e;
  e.who = "zones";
  if (book.baseline().rules->zone_shares.default_thousandths > terms_.fill.ground) {
    if (book.next_baseline() || (waits_ground_ == book.baseline().number && now < waits_until_)) {
      why_ = "the common ground is being narrowed to what every table allows";
      return std::nullopt;
    }
    waits_ground_ = book.baseline().number, waits_until_ = now + kAgain;
    shared_config::RuleSet ground = *book.baseline().rules;
    ground.zone_shares = shared_config::ZoneShares{terms_.fill.ground, {}};
    e.kind = shared_config::ConfigEntry::Kind::kProposeBaseline, e.base = book.baseline().number;
    e.text = shared_config::canonical_text(ground), e.why = "what zones may send each other without asking";
    e.id = fresh_id(now);
    return e;
  }
  const Filled filled = fill(places, view_.cut, terms_.fill);
  std::string why;
  if (!worth_it(now, had, note, filled, why)) {
    why_ = "nothing to change";
    return std::nullopt;
  }
  if (waits_on_ == newest.number && now < waits_until_)
    return std::nullopt;  // what was proposed is on its way
  waits_on_ = newest.number, waits_until_ = now + kAgain;
  changed_at_ = now;
  shared_config::RuleSet rules;
  rules.zone_shares = filled.shares;
  e.kind = shared_config::ConfigEntry::Kind::kProposeZoneShares, e.base = book.zone_shares_version();
  e.text = shared_config::canonical_text(rules), e.note = text_of(note), e.why = why_ = why.substr(0, 1000);
  e.id = fresh_id(now);
  return e;
}

const shared_config::ZoneOrder* Zones::ordered(const std::string& name) const {
  auto it = ordered_.find(name);
  if (it == ordered_.end())  // an order for its region is one for it
    if (const auto z = stated_.find(name); z != stated_.end())
      it = ordered_.find(region_key(z->second->region));
  return it == ordered_.end() ? nullptr : &it->second;
}

// What the zones of a region have left over, each other's spare used up, is what the region is short of.
void Zones::look_at_regions(Time now, std::vector<Place>& places, bool newest_in_force, const Note& had,
                            Note& note) {
  if (regions_.empty()) return;
  for (Place& p : places) p.leaves = 0;
  const Filled inside = fill(places, view_.cut, terms_.fill);
  region_views_.clear();
  for (auto& [region, course] : regions_) {
    ZoneView& v = region_views_[region];
    double left = 0;
    int zones = 0, known = 0, dead = 0;
    for (const Place& p : places) {
      if (p.region != region) continue;
      const ZoneView& zone = view_.zones[p.zone];
      ++zones, known += zone.look != Look::unknown, dead += zone.look == Look::dead;
      v.wanted += p.wanted, v.load += zone.load, v.capacity += zone.capacity;
      v.hosts += zone.hosts, v.brokers += zone.brokers;
      if (const auto it = inside.left.find(p.zone); it != inside.left.end()) left += it->second;
    }
    if (dead == zones)
      v.look = Look::dead, v.bears = 0, v.why = "all its zones are dead";
    else if (left >
             kShort * v.wanted)  // counted over all that is asked for: it doesn't add up from look to look
      v.look = Look::partial, v.bears = 1 - left / v.wanted,
      v.why = std::to_string(static_cast<int>(left)) + " of " + std::to_string(static_cast<int>(v.wanted)) +
              " parts a second fit into none of its zones";
    else if (known > 0)
      v.look = Look::good, v.why = "its zones bear what its brokers ask for";
    const shared_config::ZoneOrder* o = ordered(region_key(region));
    course.tell(now, v.look, v.bears, o && o->action == "hold" ? Ordered::hold : Ordered::none,
                newest_in_force && holds(had.regions, region, course));
    note.regions[region] = {course.state(), course.share()};
  }
  for (Place& p : places) {
    const Course& course = regions_.at(p.region);
    p.leaves = 1 - course.share() / 1000.0, p.region_takes_in = course.takes_in();
  }
}

std::string Zones::fresh_id(Time now) {
  return "zones-" +
         shared_config::content_hash(self_ + " " + std::to_string(now) + " " + std::to_string(++proposals_));
}

std::vector<ZoneLimit> Zones::limits(const shared_config::RuleSet& rules, const std::string* note) const {
  std::vector<ZoneLimit> all;
  const std::string& region = stated_.at(terms_.home)->region;
  double out = 0;
  for (const std::string& zone : order_) {
    ZoneLimit l;
    l.is_other_region = stated_.at(zone)->region != region;
    if (zone != terms_.home) {
      // Where no table was made yet, no more than the ground will allow.
      const bool none = rules.zone_shares == shared_config::ZoneShares{};
      l.max_share = (none ? terms_.fill.ground : rules.zone_shares.thousandths(terms_.home, zone)) / 1000.0;
      out += l.max_share;
    }
    all.push_back(l);
  }
  if (note) {
    const Note n = parse_note(*note);
    const auto it = n.zones.find(terms_.home);
    // What may not go elsewhere stays, whatever should.
    if (it != n.zones.end()) all[0].max_share = std::max(it->second.share / 1000.0, 1 - out);
  }
  return all;
}

std::vector<Explained> Zones::explain() const {
  std::vector<Explained> all;
  const auto add = [&](const std::string& name, const Course& course, const auto& views,
                       const std::string& key) {
    const auto v = views.find(key);
    const shared_config::ZoneOrder* o = ordered(name);
    all.push_back({name, course.state(), course.share(), o ? o->action : "",
                   v == views.end() ? ZoneView{} : v->second});
  };
  for (const auto& [zone, course] : courses_) add(zone, course, view_.zones, zone);
  for (const auto& [region, course] : regions_) add(region_key(region), course, region_views_, region);
  return all;
}

}  // namespace cairnhub::zone_failover
