#include "maintenance/maintenance_controller.h"

#include <algorithm>
#include <cmath>

namespace cairnhub::maintenance {

namespace {

// Works up to which the plan is made anew at each change rather than each second.
constexpr std::size_t kFew = 64;

bool holds_all(const std::set<std::string>& all, const std::vector<std::string>& names) {
  return std::all_of(names.begin(), names.end(), [&](const auto& n) { return all.count(n) != 0; });
}
bool holds_any(const std::set<std::string>& all, const std::vector<std::string>& names) {
  return std::any_of(names.begin(), names.end(), [&](const auto& n) { return all.count(n) != 0; });
}
std::string rules_with(const std::set<std::string>& nodes) {
  shared_config::RuleSet r;
  r.endpoints_in_maintenance = nodes;
  return shared_config::canonical_text(r);
}

}  // namespace

void Conduct::heard(Time now, const std::string& from, Clear clear) {
  if (clears_.size() >= shared_config::VersionHistory::kMaxBrokers && !clears_.count(from)) return;
  clear.at = now;
  clears_[from] = std::move(clear);
}

void Conduct::leads_no_more() {
  out_ = false;
  clears_.clear(), withheld_since_.clear(), seen_at_.clear(), waits_.clear(), stand_down_.clear();
  stuck_since_.clear(), passed_.clear();
}

void Conduct::describe(Time now, std::string& into) const {
  into += out_ ? 'o' : '-';
  into += std::to_string(std::max<Time>(0, facts_next_ - now));
  for (const auto& [work, since] : withheld_since_)
    into += 'w' + std::to_string(work) + ' ' + std::to_string(now - since);
  for (const auto& [broker, c] : clears_) {
    into += 'c' + broker + std::to_string(now - c.at) + ' ' + std::to_string(c.low);
    for (const auto& [node, n] : c.out) into += node + std::to_string(n);
  }
}

shared_config::ConfigEntry Conduct::entry(shared_config::ConfigEntry::Kind kind, Time now,
                                          const std::string& why) {
  shared_config::ConfigEntry e;
  e.kind = kind, e.who = "upkeep", e.why = why.substr(0, 256);
  e.id = "upkeep-" +
         shared_config::content_hash(self_ + " " + std::to_string(now) + " " + std::to_string(++said_));
  return e;
}

shared_config::ConfigEntry Conduct::move(Time now, Time wall, const Work& w, Step to,
                                         const std::string& why) {
  shared_config::ConfigEntry e = entry(shared_config::ConfigEntry::Kind::kStateMachine, now, why);
  Op op;
  op.at = wall, op.step = Op::Move{w.number, w.step, to};
  e.text = encode(op);
  return e;
}

std::set<std::string> Conduct::retiring(const Works& works) const {
  std::set<std::string> all;
  for (const auto& [n, w] : works.all())
    if (w.takes_out()) all.insert(w.request.brokers.begin(), w.request.brokers.end());
  return all;
}

bool Conduct::worth_saying(const Facts& said, const Facts& seen) const {
  Facts like = seen;  // but for loads, which change all the time
  like.revision = said.revision;
  for (auto& [name, z] : like.zones) {
    const auto it = said.zones.find(name);
    if (it == said.zones.end()) return true;
    const auto near = [&](double was, double is) {
      return std::abs(is - was) <= terms_.load_step * std::max(was, 1.0);
    };
    if (near(it->second.load, z.load) && near(it->second.capacity, z.capacity))
      z.load = it->second.load, z.capacity = it->second.capacity;
  }
  return !(like == said);
}

std::optional<shared_config::ConfigEntry> Conduct::lead(Time now, Time wall,
                                                        const shared_config::VersionHistory& book,
                                                        const Seen& seen) {
  const auto* works = dynamic_cast<const Works*>(book.state_machine().get());
  if (!works || out_) return std::nullopt;
  waits_.clear(), stand_down_.clear();
  std::erase_if(withheld_since_, [&](const auto& w) {
    const auto it = works->all().find(w.first);
    return it == works->all().end() || !it->second.takes_out();
  });
  std::erase_if(seen_at_, [&](const auto& w) { return works->all().count(w.first) == 0; });
  std::optional<shared_config::ConfigEntry> e;
  if (now >= facts_next_ && worth_saying(works->facts(), seen.facts)) {
    facts_next_ = now + terms_.facts_every;
    e = entry(shared_config::ConfigEntry::Kind::kStateMachine, now, "what is seen");
    Op op;
    op.at = wall, op.facts = seen.facts;
    e->text = encode(op);
  }
  // All of them are looked at each time, for what they wait for; the first that is due is said.
  auto next = withhold(now, book, *works);
  if (!e) e = std::move(next);
  next = advance(now, wall, book, *works, seen);
  if (!e) e = std::move(next);
  if (!e) e = begin(now, wall, book.state_machine(), *works);
  out_ = e.has_value();
  return e;
}

// Ground and version follow the works: narrower first in the ground, wider first in the version.
std::optional<shared_config::ConfigEntry> Conduct::withhold(Time now,
                                                            const shared_config::VersionHistory& book,
                                                            const Works& works) {
  const std::set<std::string> wanted = works.out_nodes(), before = works.withheld_beforehand();
  const auto& ground = book.baseline().rules->endpoints_in_maintenance;
  const auto& newest = book.versions().rbegin()->second.rules->endpoints_in_maintenance;
  const auto& force = book.find(book.in_force())->rules->endpoints_in_maintenance;
  const auto within = [](const auto& a, const auto& b) {
    return std::includes(b.begin(), b.end(), a.begin(), a.end());
  };
  if (!within(before, ground) && !book.next_baseline()) {  // else it is being taken up
    std::set<std::string> both = ground;
    both.insert(before.begin(), before.end());
    shared_config::ConfigEntry e =
        entry(shared_config::ConfigEntry::Kind::kProposeBaselineMaintenance, now, "machines are taken out");
    e.base = book.baseline_maintenance_version(), e.text = rules_with(both);
    return e;
  }
  if (newest != wanted && within(wanted, ground)) {
    shared_config::ConfigEntry e =
        entry(shared_config::ConfigEntry::Kind::kProposeMaintenance, now, "machines at work");
    e.base = book.maintenance_version(), e.text = rules_with(wanted);
    return e;
  }
  // Danger: the version that brings a node back is not in force yet, and the ground would go beyond the one
  // that is.
  if (ground != before && newest == wanted && force == wanted && !book.next_baseline()) {
    shared_config::ConfigEntry e =
        entry(shared_config::ConfigEntry::Kind::kProposeBaselineMaintenance, now, "machines are back");
    e.base = book.baseline_maintenance_version(), e.text = rules_with(before);
    return e;
  }
  return std::nullopt;
}

// Who may still have something out at its nodes, or bring something there; empty: nobody.
std::string Conduct::not_clear(Time now, const Work& w, const shared_config::VersionHistory& book,
                               const Seen& seen) {
  if (w.request.nodes.empty()) return "";  // its brokers leave, which is looked at by itself
  const auto& ground = book.baseline().rules->endpoints_in_maintenance;
  const auto& force = book.find(book.in_force())->rules->endpoints_in_maintenance;
  if (!holds_all(ground, w.request.nodes)) {
    withheld_since_.erase(w.number);
    return "the common ground does not withhold it yet: every broker on the roster must take that up";
  }
  if (!holds_all(force, w.request.nodes)) {
    withheld_since_.erase(w.number);
    return "the version that withholds it is not in force yet";
  }
  const Time since = withheld_since_.try_emplace(w.number, now).first->second;
  const Time spent = static_cast<Time>(static_cast<double>(terms_.longest_send) * (1 + 2 * terms_.drift));
  std::string who;
  int n = 0;
  for (const auto& broker : book.enrolled_brokers()) {
    const auto held = seen.held.find(broker);
    const bool live = held != seen.held.end() && held->second.has_lease(now);
    const auto c = clears_.find(broker);
    bool clear = false;
    if (live || broker == self_) {
      // It must have said so itself, under a version without the nodes, since that is in force.
      const shared_config::Version* acted = c == clears_.end() ? nullptr : book.find(c->second.low);
      clear = c != clears_.end() && c->second.at >= since && acted &&
              holds_all(acted->rules->endpoints_in_maintenance, w.request.nodes) &&
              std::all_of(w.request.nodes.begin(), w.request.nodes.end(), [&](const auto& node) {
                const auto out = c->second.out.find(node);
                return out != c->second.out.end() && out->second == 0;
              });
    } else {
      clear = now >= since + spent;
    }
    if (clear) continue;
    if (++n <= 5) who += (who.empty() ? "" : ", ") + broker;
  }
  if (n == 0) return "";
  return "not known to be done there: " + who + (n > 5 ? " and " + std::to_string(n - 5) + " more" : "");
}

// Past its length and the time stated, by the wall clock; and seen there for that time at least by this
// leader's own.
bool Conduct::overdue(Time now, Time wall, const Work& w, Time length, const Facts& facts) {
  return wall >= w.since + length + facts.terms.lost_after &&
         now >= seen_at_.at(w.number).since + facts.terms.lost_after;
}

std::optional<shared_config::ConfigEntry> Conduct::advance(Time now, Time wall,
                                                           const shared_config::VersionHistory& book,
                                                           const Works& works, const Seen& seen) {
  std::optional<shared_config::ConfigEntry> due;
  const auto say = [&](const Work& w, Step to, const std::string& why) {
    if (!due) due = move(now, wall, w, to, why);
  };
  const Facts& facts = works.facts();
  const std::set<std::string> leaving = retiring(works);
  for (const auto& [n, w] : works.all()) {
    if (!w.under_way()) continue;
    At& at = seen_at_.try_emplace(n, At{w.step, now}).first->second;
    if (at.step != w.step) at = {w.step, now};
    if (w.step == Step::draining || w.step == Step::empty) {
      // What has failed meanwhile may need its nodes more than the work does.
      const bool alive = std::any_of(w.request.nodes.begin(), w.request.nodes.end(), [&](const auto& node) {
        const auto it = facts.nodes.find(node);
        return it != facts.nodes.end() && it->second.ready;
      });
      if (!w.request.emergency && alive) {
        const auto shards = works.endangers(w.request);
        const auto zone = facts.zones.find(works.zone_of(w.request));
        if (!shards.empty()) {
          say(w, Step::queued, "called back: shard " + std::to_string(shards.front()) + " needs it");
          continue;
        }
        if (zone != facts.zones.end() && !zone->second.near) {
          say(w, Step::queued, "called back: zone \"" + zone->first + "\" is in failover");
          continue;
        }
      }
    }
    switch (w.step) {
      case Step::draining: {
        std::string why = not_clear(now, w, book, seen);
        if (why.empty())
          for (const auto& b : w.request.brokers) {
            const auto held = seen.held.find(b);
            const bool there =
                b == self_ || seen.alive.count(b) || (held != seen.held.end() && held->second.has_lease(now));
            if (!there) continue;
            why += (why.empty() ? "broker on it has not left: " : ", ") + b;
            // Danger: it leaves with its vote while another could take that up; the leader hands over first.
            std::size_t spare = 0;
            for (const auto& [name, h] : seen.held)
              spare += h.may_vote && h.has_lease(now) && !seen.voters.count(name) && !leaving.count(name);
            if (b != self_ && (!seen.voters.count(b) || spare == 0)) stand_down_.insert(b);
          }
        if (why.empty())
          say(w, Step::empty, "nothing of it is out anywhere");
        else
          waits_[n] = why;
        break;
      }
      case Step::empty:
        if (works.held() || w.held)
          waits_[n] = "it is held";
        else
          say(w, Step::at_work, "handed over");
        break;
      case Step::at_work:
        if (overdue(now, wall, w, w.request.length, facts))
          say(w, Step::lost, "not back in its time");
        else
          waits_[n] = "whoever works on it says done";
        break;
      case Step::returning: {
        const auto& force = book.find(book.in_force())->rules->endpoints_in_maintenance;
        std::string why;
        if (holds_any(force, w.request.nodes)) why = "the version that brings it back is not in force yet";
        for (const auto& node : w.request.nodes) {
          if (!why.empty()) break;
          const auto it = facts.nodes.find(node);
          if (it == facts.nodes.end() || !it->second.ready)
            why = node + " is not in service";
          else if (!it->second.warm)
            why = node + " is still cold";
          // Danger: a list that has not heard of its new start tells a warm node, and a holder of the same
          // shard is taken out beside a cold one.
          else if (now < at.since + terms_.warm_after)
            why = node + " may be cold: the list may tell of an earlier start";
        }
        for (const auto& b : w.request.brokers)
          if (why.empty() && b != self_ && !seen.alive.count(b)) why = "broker " + b + " is not back";
        if (why.empty())
          say(w, Step::done, "warm and in service");
        else if (overdue(now, wall, w, 0, facts))
          say(w, Step::lost, "said to be done, and " + why);
        else
          waits_[n] = why;
        break;
      }
      default:
        break;
    }
  }
  return due;
}

std::optional<shared_config::ConfigEntry> Conduct::begin(
    Time now, Time wall, const std::shared_ptr<const shared_config::ReplicatedStateMachine>& board,
    const Works& works) {
  for (const auto& [n, w] : works.all())
    if (w.step == Step::queued && w.request.emergency && !w.held)
      return move(now, wall, w, Step::draining, "emergency");
  if (works.held()) return std::nullopt;
  const auto out = std::count_if(works.all().begin(), works.all().end(), [](const auto& w) {
    return w.second.under_way() && w.second.step != Step::lost;
  });
  if (out >= works.facts().terms.at_once) return std::nullopt;
  const auto waiting = [&](std::uint64_t n) -> const Work* {
    const auto it = works.all().find(n);
    return it == works.all().end() || it->second.step != Step::queued || it->second.held ? nullptr
                                                                                         : &it->second;
  };
  // One that was passed by is planned again once it may begin.
  const bool freed = std::erase_if(passed_, [&](std::uint64_t n) {
                       const Work* w = waiting(n);
                       if (w && !(waits_[n] = works.forbids(w->request, n)).empty()) return false;
                       return stuck_since_.erase(n), waits_.erase(n), true;
                     }) > 0;
  if (freed || now >= planned_at_ + kSecond || (planned_for_ != board && works.all().size() <= kFew))
    planned_for_ = board, planned_at_ = now, plan_ = plan(works, wall, nullptr, passed_);
  std::erase_if(stuck_since_, [&](const auto& s) { return !waiting(s.first); });
  for (const Planned& p : plan_) {
    if (p.start > wall) break;
    const Work* w = waiting(p.work);
    if (!w) continue;
    const std::string why = works.forbids(w->request, p.work);
    if (why.empty()) return stuck_since_.erase(p.work), move(now, wall, *w, Step::draining, "its turn");
    waits_[p.work] = why;
    // Danger: what the plan puts after a work that may not begin, as its shard has lost a holder for good,
    // would wait for ever; so it is passed by once it has waited for as long as it would have taken.
    const Time since = stuck_since_.try_emplace(p.work, now).first->second;
    if (plan_.size() > 1 && now - since >= w->request.length + works.facts().terms.around)
      passed_.insert(p.work), planned_at_ = 0;
  }
  return std::nullopt;
}

}  // namespace cairnhub::maintenance
