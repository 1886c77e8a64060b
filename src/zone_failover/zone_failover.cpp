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
bool holds(const std::map<std::string, FailoverDecision::Target>& noted, const std::string& name,
           const FailoverStateMachine& course) {
  const auto it = noted.find(name);
  return it != noted.end() && it->second.state == course.state() &&
         it->second.local_share_thousandths == course.local_share_thousandths();
}

}  // namespace

std::string region_key(const std::string& region) { return kRegion + region; }

std::string text_of(const FailoverDecision& note) {
  std::string text;
  const auto add = [&](const std::string& name, const FailoverDecision::Target& one) {
    text += (text.empty() ? "" : " ") + name + "=" + name_of(one.state) + ":" +
            std::to_string(one.local_share_thousandths);
  };
  for (const auto& [zone, one] : note.zones) add(zone, one);
  for (const auto& [region, one] : note.regions) add(region_key(region), one);
  return text;
}

FailoverDecision parse_decision(const std::string& text) {
  FailoverDecision note;
  std::istringstream in(text);
  for (std::string word; in >> word && note.zones.size() + note.regions.size() < 2 * kMaxZones;) {
    const auto equal = word.rfind('='), colon = word.rfind(':');
    if (equal == std::string::npos || colon == std::string::npos || colon < equal || equal == 0) continue;
    const std::string state = word.substr(equal + 1, colon - equal - 1);
    const int share = std::atoi(word.c_str() + colon + 1);
    for (const FailoverState s : {FailoverState::kLocal, FailoverState::kSpilling, FailoverState::kEvacuating,
                                  FailoverState::kFailedOver, FailoverState::kReturning})
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

ZoneFailover::ZoneFailover(const ZoneFailoverOptions& terms, const std::string& self)
    : terms_(terms), self_(self), account_(terms.load_window), evidence_(terms.health) {
  order_.push_back(terms_.home_zone);
  for (const ZoneOptions& z : terms_.zones) {
    stated_[z.name] = &z;
    if (z.name != terms_.home_zone) order_.push_back(z.name);
    courses_.emplace(z.name, FailoverStateMachine(terms_.zone_failover));
    regions_.emplace(z.region, FailoverStateMachine(terms_.region_failover));
  }
  if (regions_.size() < 2) regions_.clear();
}

int ZoneFailover::zone_number(const std::string& zone) const {
  return static_cast<int>(std::find(order_.begin(), order_.end(), zone) - order_.begin());
}

const std::string& ZoneFailover::zone_name(int number) const {
  static const std::string none;
  const auto at = static_cast<std::size_t>(number);
  return at < order_.size() ? order_[at] : none;
}

void ZoneFailover::record_attempt_result(Time now, const std::string& zone, EndpointId host,
                                         AttemptOutcome how, Time latency) {
  switch (how) {
    case AttemptOutcome::kOk:
    case AttemptOutcome::kError:
      return account_.record_attempt_result(now, zone, host, AttemptResult::kResponded, latency);
    case AttemptOutcome::kQueueFull:
      return account_.record_attempt_result(now, zone, host, AttemptResult::kRejected, 0);
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kReset:
      return account_.record_attempt_result(now, zone, host, AttemptResult::kLost, 0);
    case AttemptOutcome::kCancelled:
      return account_.record_attempt_result(now, zone, host, AttemptResult::kCancelled, latency);
    case AttemptOutcome::kNotSent:  // tells nothing of the zone
      return;
  }
}

void ZoneFailover::set_endpoints(const std::map<std::string, std::pair<int, double>>& by_zone) {
  account_.clear_endpoints();
  for (const auto& [zone, h] : by_zone) {
    const auto it = stated_.find(zone);
    account_.set_endpoints(zone, h.first,
                           it == stated_.end() ? 0 : h.second * it->second->endpoint_capacity_per_second);
  }
}

std::optional<ZoneReport> ZoneFailover::make_due_report(Time now) {
  if (now < next_) return std::nullopt;
  next_ = now + terms_.report_interval;
  ZoneReport r;
  r.home_zone = terms_.home_zone, r.demand_per_second = account_.demand_per_second(now),
  r.remote_only_demand_per_second = account_.remote_only_demand_per_second(now),
  r.zones = account_.zone_stats(now);
  add_report(now, self_, r);
  return r;
}

void ZoneFailover::add_report(Time now, const std::string& from, ZoneReport report) {
  if (!stated_.count(report.home_zone)) return;  // labels missing or wrong there: it counts for nothing here
  evidence_.add_report(now, from, std::move(report));
}

bool ZoneFailover::worth_it(Time now, const Had& had, const FailoverDecision& note,
                            const TrafficSplit& filled, std::string& why) {
  const shared_config::ZoneShares& shares = filled.shares;
  const auto differs = [&](const auto& now_is, const auto& was, const auto& views,
                           const std::string& before) {
    for (const auto& [name, one] : now_is) {
      const auto it = was.find(name);
      if (it != was.end() && it->second.state == one.state &&
          it->second.local_share_thousandths == one.local_share_thousandths)
        continue;
      why = before + name + " " + zone_failover::name_of(one.state) + " at " +
            std::to_string(one.local_share_thousandths);
      const auto v = views.find(name);
      if (const shared_config::Order* o = ordered(before + name))
        why += ": ordered by " + o->who + ", " + o->why;
      else if (v != views.end())
        why += ": " + v->second.reason;
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
    for (const auto& [pair, most] : s->most) pairs.insert(pair);
  for (const auto& [from, to] : pairs) {
    const int was = had.shares.of(from, to), is = shares.of(from, to);
    // What a zone can no longer spare must be taken back at once; to allow more can wait.
    if (is < was * (1 - terms_.decrease_threshold) - 10) {
      why = to + " can spare less for " + from + ": " + std::to_string(is) + " where " + std::to_string(was);
      return true;
    }
    more = more || is > was * (1 + terms_.increase_threshold) + 10;
  }
  // What is planned to go and may not go yet is being turned away.
  for (const auto& [pair, flow] : filled.planned_per_second) {
    const double needs = 1000 * flow / std::max(1.0, view_.zones[pair.first].demand_per_second);
    if (needs > had.shares.of(pair.first, pair.second) * (1 + terms_.decrease_threshold) + 10) {
      why = pair.first + " needs more of " + pair.second + ": " + std::to_string(static_cast<int>(needs)) +
            " where " + std::to_string(had.shares.of(pair.first, pair.second));
      return true;
    }
  }
  if (!more || now - changed_at_ < terms_.increase_delay) return false;
  why = "zones can spare more";
  return true;
}

std::optional<shared_config::Entry> ZoneFailover::propose_change(Time now,
                                                                 const shared_config::Versions& book) {
  const shared_config::Version& newest = book.all().rbegin()->second;
  Had had{parse_decision(newest.note), newest.rules->zones};
  if (!led_) {
    // Danger: a new leader that took every zone for near would bring a dead one back at once.
    led_ = true, changed_at_ = now;
    const auto resume = [now](auto& courses, const auto& from) {
      for (auto& [name, course] : courses) {
        const auto it = from.find(name);
        const FailoverDecision::Target one = it == from.end() ? FailoverDecision::Target{} : it->second;
        course.resume(now, one.state, one.local_share_thousandths);
      }
    };
    resume(courses_, had.note.zones);
    resume(regions_, had.note.regions);
  }
  ordered_ = book.orders();
  view_ = evidence_.evaluate(now);
  const bool newest_in_force = book.in_force() >= newest.number;
  FailoverDecision note;
  std::vector<ZoneTraffic> places;
  for (auto& [zone, course] : courses_) {
    const ZoneHealth& v = view_.zones[zone];
    const shared_config::Order* o = ordered(zone);
    course.update(now, v.status, v.sustainable_share,
                  !o                  ? OperatorOrder::kNone
                  : o->what == "hold" ? OperatorOrder::kHold
                                      : OperatorOrder::kEvacuate,
                  newest_in_force && holds(had.note.zones, zone, course));
    note.zones[zone] = {course.state(), course.local_share_thousandths()};
    // What has no holder at home goes elsewhere, however well the zone is.
    const double near = v.demand_per_second > 0
                            ? std::max(0.0, 1 - v.remote_only_demand_per_second / v.demand_per_second)
                            : 1;
    places.push_back({zone, stated_.at(zone)->region, v.demand_per_second,
                      std::min(course.local_share_thousandths() / 1000.0, near), v.capacity_per_second,
                      course.accepts_remote_traffic()});
  }
  look_at_regions(now, places, newest_in_force, had.note, note);
  // No table without a ground that lies within every table.
  shared_config::Entry e;
  e.who = "zones";
  if (book.ground().rules->zones.otherwise > terms_.traffic_split.min_share_thousandths) {
    if (book.ground_next() || (waits_ground_ == book.ground().number && now < waits_until_)) {
      why_ = "the common ground is being narrowed to what every table allows";
      return std::nullopt;
    }
    waits_ground_ = book.ground().number, waits_until_ = now + kAgain;
    shared_config::Rules ground = *book.ground().rules;
    ground.zones = shared_config::ZoneShares{terms_.traffic_split.min_share_thousandths, {}};
    e.kind = shared_config::Entry::Kind::propose_ground, e.base = book.ground().number;
    e.text = shared_config::text_of(ground), e.why = "what zones may send each other without asking";
    e.id = fresh_id(now);
    return e;
  }
  const TrafficSplit filled = split_traffic(places, view_.broken_links, terms_.traffic_split);
  std::string why;
  if (!worth_it(now, had, note, filled, why)) {
    why_ = "nothing to change";
    return std::nullopt;
  }
  if (waits_on_ == newest.number && now < waits_until_)
    return std::nullopt;  // what was proposed is on its way
  waits_on_ = newest.number, waits_until_ = now + kAgain;
  changed_at_ = now;
  shared_config::Rules rules;
  rules.zones = filled.shares;
  e.kind = shared_config::Entry::Kind::propose_zones, e.base = book.zones_from();
  e.text = shared_config::text_of(rules), e.note = text_of(note), e.why = why_ = why.substr(0, 1000);
  e.id = fresh_id(now);
  return e;
}

const shared_config::Order* ZoneFailover::ordered(const std::string& name) const {
  auto it = ordered_.find(name);
  if (it == ordered_.end())  // an order for its region is one for it
    if (const auto z = stated_.find(name); z != stated_.end())
      it = ordered_.find(region_key(z->second->region));
  return it == ordered_.end() ? nullptr : &it->second;
}

// What the zones of a region have left over, each other's spare used up, is what the region is short of.
void ZoneFailover::look_at_regions(Time now, std::vector<ZoneTraffic>& places, bool newest_in_force,
                                   const FailoverDecision& had, FailoverDecision& note) {
  if (regions_.empty()) return;
  for (ZoneTraffic& p : places) p.max_region_egress_share = 0;
  const TrafficSplit inside = split_traffic(places, view_.broken_links, terms_.traffic_split);
  region_views_.clear();
  for (auto& [region, course] : regions_) {
    ZoneHealth& v = region_views_[region];
    double left = 0;
    int zones = 0, known = 0, dead = 0;
    for (const ZoneTraffic& p : places) {
      if (p.region != region) continue;
      const ZoneHealth& zone = view_.zones[p.zone];
      ++zones, known += zone.status != ZoneStatus::kUnknown, dead += zone.status == ZoneStatus::kDead;
      v.demand_per_second += p.demand_per_second, v.load_per_second += zone.load_per_second,
          v.capacity_per_second += zone.capacity_per_second;
      v.endpoints_in_service += zone.endpoints_in_service, v.reporting_brokers += zone.reporting_brokers;
      if (const auto it = inside.unplaced_per_second.find(p.zone); it != inside.unplaced_per_second.end())
        left += it->second;
    }
    if (dead == zones)
      v.status = ZoneStatus::kDead, v.sustainable_share = 0, v.reason = "all its zones are dead";
    else if (left > kShort * v.demand_per_second)  // counted over all that is asked for: it doesn't add up
                                                   // from look to look
      v.status = ZoneStatus::kPartial, v.sustainable_share = 1 - left / v.demand_per_second,
      v.reason = std::to_string(static_cast<int>(left)) + " of " +
                 std::to_string(static_cast<int>(v.demand_per_second)) +
                 " parts a second fit into none of its zones";
    else if (known > 0)
      v.status = ZoneStatus::kGood, v.reason = "its zones bear what its brokers ask for";
    const shared_config::Order* o = ordered(region_key(region));
    course.update(now, v.status, v.sustainable_share,
                  o && o->what == "hold" ? OperatorOrder::kHold : OperatorOrder::kNone,
                  newest_in_force && holds(had.regions, region, course));
    note.regions[region] = {course.state(), course.local_share_thousandths()};
  }
  for (ZoneTraffic& p : places) {
    const FailoverStateMachine& course = regions_.at(p.region);
    p.max_region_egress_share = 1 - course.local_share_thousandths() / 1000.0,
    p.region_accepts_remote_traffic = course.accepts_remote_traffic();
  }
}

std::string ZoneFailover::fresh_id(Time now) {
  return "zones-" +
         shared_config::hash_of(self_ + " " + std::to_string(now) + " " + std::to_string(++proposals_));
}

std::vector<ZoneLimit> ZoneFailover::zone_limits(const shared_config::Rules& rules,
                                                 const std::string* note) const {
  std::vector<ZoneLimit> all;
  const std::string& region = stated_.at(terms_.home_zone)->region;
  double out = 0;
  for (const std::string& zone : order_) {
    ZoneLimit l;
    l.is_other_region = stated_.at(zone)->region != region;
    if (zone != terms_.home_zone) {
      // Where no table was made yet, no more than the ground will allow.
      const bool none = rules.zones == shared_config::ZoneShares{};
      l.max_share =
          (none ? terms_.traffic_split.min_share_thousandths : rules.zones.of(terms_.home_zone, zone)) /
          1000.0;
      out += l.max_share;
    }
    all.push_back(l);
  }
  if (note) {
    const FailoverDecision n = parse_decision(*note);
    const auto it = n.zones.find(terms_.home_zone);
    // What may not go elsewhere stays, whatever should.
    if (it != n.zones.end())
      all[0].max_share = std::max(it->second.local_share_thousandths / 1000.0, 1 - out);
  }
  return all;
}

std::vector<ZoneExplanation> ZoneFailover::explain() const {
  std::vector<ZoneExplanation> all;
  const auto add = [&](const std::string& name, const FailoverStateMachine& course, const auto& views,
                       const std::string& key) {
    const auto v = views.find(key);
    const shared_config::Order* o = ordered(name);
    all.push_back({name, course.state(), course.local_share_thousandths(), o ? o->what : "",
                   v == views.end() ? ZoneHealth{} : v->second});
  };
  for (const auto& [zone, course] : courses_) add(zone, course, view_.zones, zone);
  for (const auto& [region, course] : regions_) add(region_key(region), course, region_views_, region);
  return all;
}

}  // namespace cairnhub::zone_failover
