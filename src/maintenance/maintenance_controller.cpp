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
  shared_config::Rules r;
  r.at_work = nodes;
  return shared_config::text_of(r);
}

}  // namespace

void MaintenanceController::record_report(Time now, const std::string& from, OpenAttemptsReport clear) {
  if (clears_.size() >= shared_config::Versions::kRoster && !clears_.count(from)) return;
  clear.received_at = now;
  clears_[from] = std::move(clear);
}

void MaintenanceController::stop_leading() {
  out_ = false;
  clears_.clear(), withheld_since_.clear(), seen_at_.clear(), waits_.clear(), stand_down_.clear();
  stuck_since_.clear(), passed_.clear();
}

void MaintenanceController::append_state(Time now, std::string& into) const {
  into += out_ ? 'o' : '-';
  into += std::to_string(std::max<Time>(0, facts_next_ - now));
  for (const auto& [work, since] : withheld_since_)
    into += 'w' + std::to_string(work) + ' ' + std::to_string(now - since);
  for (const auto& [broker, c] : clears_) {
    into += 'c' + broker + std::to_string(now - c.received_at) + ' ' + std::to_string(c.lease_low_version);
    for (const auto& [node, n] : c.by_endpoint) into += node + std::to_string(n);
  }
}

shared_config::Entry MaintenanceController::entry(shared_config::Entry::Kind kind, Time now,
                                                  const std::string& why) {
  shared_config::Entry e;
  e.kind = kind, e.who = "upkeep", e.why = why.substr(0, 256);
  e.id =
      "upkeep-" + shared_config::hash_of(self_ + " " + std::to_string(now) + " " + std::to_string(++said_));
  return e;
}

shared_config::Entry MaintenanceController::move(Time now, Time wall, const Job& w, JobState to,
                                                 const std::string& why) {
  shared_config::Entry e = entry(shared_config::Entry::Kind::board, now, why);
  JobOperation op;
  op.stated_at = wall, op.transition = JobOperation::Transition{w.number, w.state, to};
  e.text = encode_operation(op);
  return e;
}

std::set<std::string> MaintenanceController::retiring_brokers(const JobQueue& works) const {
  std::set<std::string> all;
  for (const auto& [n, w] : works.jobs())
    if (w.takes_endpoints_out()) all.insert(w.request.brokers.begin(), w.request.brokers.end());
  return all;
}

bool MaintenanceController::worth_saying(const FleetStatus& said, const FleetStatus& seen) const {
  FleetStatus like = seen;  // but for loads, which change all the time
  like.revision = said.revision;
  for (auto& [name, z] : like.zones) {
    const auto it = said.zones.find(name);
    if (it == said.zones.end()) return true;
    const auto near = [&](double was, double is) {
      return std::abs(is - was) <= terms_.min_load_change_share * std::max(was, 1.0);
    };
    if (near(it->second.load_per_second, z.load_per_second) &&
        near(it->second.capacity_per_second, z.capacity_per_second))
      z.load_per_second = it->second.load_per_second, z.capacity_per_second = it->second.capacity_per_second;
  }
  return !(like == said);
}

std::optional<shared_config::Entry> MaintenanceController::next_entry(Time now, Time wall,
                                                                      const shared_config::Versions& book,
                                                                      const LeaderView& seen) {
  const auto* works = dynamic_cast<const JobQueue*>(book.board().get());
  if (!works || out_) return std::nullopt;
  waits_.clear(), stand_down_.clear();
  std::erase_if(withheld_since_, [&](const auto& w) {
    const auto it = works->jobs().find(w.first);
    return it == works->jobs().end() || !it->second.takes_endpoints_out();
  });
  std::erase_if(seen_at_, [&](const auto& w) { return works->jobs().count(w.first) == 0; });
  std::optional<shared_config::Entry> e;
  if (now >= facts_next_ && worth_saying(works->fleet_status(), seen.fleet_status)) {
    facts_next_ = now + terms_.status_interval;
    e = entry(shared_config::Entry::Kind::board, now, "what is seen");
    JobOperation op;
    op.stated_at = wall, op.fleet_status = seen.fleet_status;
    e->text = encode_operation(op);
  }
  // All of them are looked at each time, for what they wait for; the first that is due is said.
  auto next = withhold(now, book, *works);
  if (!e) e = std::move(next);
  next = advance(now, wall, book, *works, seen);
  if (!e) e = std::move(next);
  if (!e) e = begin(now, wall, book.board(), *works);
  out_ = e.has_value();
  return e;
}

// Ground and version follow the works: narrower first in the ground, wider first in the version.
std::optional<shared_config::Entry> MaintenanceController::withhold(Time now,
                                                                    const shared_config::Versions& book,
                                                                    const JobQueue& works) {
  const std::set<std::string> wanted = works.endpoints_out(), before = works.baseline_exclusions();
  const auto& ground = book.ground().rules->at_work;
  const auto& newest = book.all().rbegin()->second.rules->at_work;
  const auto& force = book.at(book.in_force())->rules->at_work;
  const auto within = [](const auto& a, const auto& b) {
    return std::includes(b.begin(), b.end(), a.begin(), a.end());
  };
  if (!within(before, ground) && !book.ground_next()) {  // else it is being taken up
    std::set<std::string> both = ground;
    both.insert(before.begin(), before.end());
    shared_config::Entry e = entry(shared_config::Entry::Kind::ground_works, now, "machines are taken out");
    e.base = book.ground_works_from(), e.text = rules_with(both);
    return e;
  }
  if (newest != wanted && within(wanted, ground)) {
    shared_config::Entry e = entry(shared_config::Entry::Kind::propose_works, now, "machines at work");
    e.base = book.works_from(), e.text = rules_with(wanted);
    return e;
  }
  // Danger: the version that brings a node back is not in force yet, and the ground would go beyond the one
  // that is.
  if (ground != before && newest == wanted && force == wanted && !book.ground_next()) {
    shared_config::Entry e = entry(shared_config::Entry::Kind::ground_works, now, "machines are back");
    e.base = book.ground_works_from(), e.text = rules_with(before);
    return e;
  }
  return std::nullopt;
}

// Who may still have something out at its nodes, or bring something there; empty: nobody.
std::string MaintenanceController::not_clear(Time now, const Job& w, const shared_config::Versions& book,
                                             const LeaderView& seen) {
  if (w.request.endpoints.empty()) return "";  // its brokers leave, which is looked at by itself
  const auto& ground = book.ground().rules->at_work;
  const auto& force = book.at(book.in_force())->rules->at_work;
  if (!holds_all(ground, w.request.endpoints)) {
    withheld_since_.erase(w.number);
    return "the common ground does not withhold it yet: every broker on the roster must take that up";
  }
  if (!holds_all(force, w.request.endpoints)) {
    withheld_since_.erase(w.number);
    return "the version that withholds it is not in force yet";
  }
  const Time since = withheld_since_.try_emplace(w.number, now).first->second;
  const Time spent =
      static_cast<Time>(static_cast<double>(terms_.max_attempt_time) * (1 + 2 * terms_.max_clock_drift));
  std::string who;
  int n = 0;
  for (const auto& broker : book.roster()) {
    const auto held = seen.leases.find(broker);
    const bool live = held != seen.leases.end() && held->second.live(now);
    const auto c = clears_.find(broker);
    bool clear = false;
    if (live || broker == self_) {
      // It must have said so itself, under a version without the nodes, since that is in force.
      const shared_config::Version* acted =
          c == clears_.end() ? nullptr : book.at(c->second.lease_low_version);
      clear = c != clears_.end() && c->second.received_at >= since && acted &&
              holds_all(acted->rules->at_work, w.request.endpoints) &&
              std::all_of(w.request.endpoints.begin(), w.request.endpoints.end(), [&](const auto& node) {
                const auto out = c->second.by_endpoint.find(node);
                return out != c->second.by_endpoint.end() && out->second == 0;
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
bool MaintenanceController::overdue(Time now, Time wall, const Job& w, Time length,
                                    const FleetStatus& facts) {
  return wall >= w.state_since + length + facts.limits.lost_after &&
         now >= seen_at_.at(w.number).since + facts.limits.lost_after;
}

std::optional<shared_config::Entry> MaintenanceController::advance(Time now, Time wall,
                                                                   const shared_config::Versions& book,
                                                                   const JobQueue& works,
                                                                   const LeaderView& seen) {
  std::optional<shared_config::Entry> due;
  const auto say = [&](const Job& w, JobState to, const std::string& why) {
    if (!due) due = move(now, wall, w, to, why);
  };
  const FleetStatus& facts = works.fleet_status();
  const std::set<std::string> leaving = retiring_brokers(works);
  for (const auto& [n, w] : works.jobs()) {
    if (!w.is_in_progress()) continue;
    At& at = seen_at_.try_emplace(n, At{w.state, now}).first->second;
    if (at.step != w.state) at = {w.state, now};
    if (w.state == JobState::kDraining || w.state == JobState::kEmpty) {
      // What has failed meanwhile may need its nodes more than the work does.
      const bool alive =
          std::any_of(w.request.endpoints.begin(), w.request.endpoints.end(), [&](const auto& node) {
            const auto it = facts.endpoints.find(node);
            return it != facts.endpoints.end() && it->second.is_ready;
          });
      if (!w.request.is_emergency && alive) {
        const auto shards = works.shards_below_min_replicas(w.request);
        const auto zone = facts.zones.find(works.zone_of(w.request));
        if (!shards.empty()) {
          say(w, JobState::kQueued, "called back: shard " + std::to_string(shards.front()) + " needs it");
          continue;
        }
        if (zone != facts.zones.end() && !zone->second.serves_locally) {
          say(w, JobState::kQueued, "called back: zone \"" + zone->first + "\" is in failover");
          continue;
        }
      }
    }
    switch (w.state) {
      case JobState::kDraining: {
        std::string why = not_clear(now, w, book, seen);
        if (why.empty())
          for (const auto& b : w.request.brokers) {
            const auto held = seen.leases.find(b);
            const bool there = b == self_ || seen.live_brokers.count(b) ||
                               (held != seen.leases.end() && held->second.live(now));
            if (!there) continue;
            why += (why.empty() ? "broker on it has not left: " : ", ") + b;
            // Danger: it leaves with its vote while another could take that up; the leader hands over first.
            std::size_t spare = 0;
            for (const auto& [name, h] : seen.leases)
              spare += h.may_vote && h.live(now) && !seen.voters.count(name) && !leaving.count(name);
            if (b != self_ && (!seen.voters.count(b) || spare == 0)) stand_down_.insert(b);
          }
        if (why.empty())
          say(w, JobState::kEmpty, "nothing of it is out anywhere");
        else
          waits_[n] = why;
        break;
      }
      case JobState::kEmpty:
        if (works.is_held() || w.is_held)
          waits_[n] = "it is held";
        else
          say(w, JobState::kInMaintenance, "handed over");
        break;
      case JobState::kInMaintenance:
        if (overdue(now, wall, w, w.request.duration, facts))
          say(w, JobState::kLost, "not back in its time");
        else
          waits_[n] = "whoever works on it says done";
        break;
      case JobState::kReturning: {
        const auto& force = book.at(book.in_force())->rules->at_work;
        std::string why;
        if (holds_any(force, w.request.endpoints))
          why = "the version that brings it back is not in force yet";
        for (const auto& node : w.request.endpoints) {
          if (!why.empty()) break;
          const auto it = facts.endpoints.find(node);
          if (it == facts.endpoints.end() || !it->second.is_ready)
            why = node + " is not in service";
          else if (!it->second.is_warm)
            why = node + " is still cold";
          // Danger: a list that has not heard of its new start tells a warm node, and a holder of the same
          // shard is taken out beside a cold one.
          else if (now < at.since + terms_.warm_up_time)
            why = node + " may be cold: the list may tell of an earlier start";
        }
        for (const auto& b : w.request.brokers)
          if (why.empty() && b != self_ && !seen.live_brokers.count(b)) why = "broker " + b + " is not back";
        if (why.empty())
          say(w, JobState::kDone, "warm and in service");
        else if (overdue(now, wall, w, 0, facts))
          say(w, JobState::kLost, "said to be done, and " + why);
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

std::optional<shared_config::Entry> MaintenanceController::begin(
    Time now, Time wall, const std::shared_ptr<const shared_config::Board>& board, const JobQueue& works) {
  for (const auto& [n, w] : works.jobs())
    if (w.state == JobState::kQueued && w.request.is_emergency && !w.is_held)
      return move(now, wall, w, JobState::kDraining, "emergency");
  if (works.is_held()) return std::nullopt;
  const auto out = std::count_if(works.jobs().begin(), works.jobs().end(), [](const auto& w) {
    return w.second.is_in_progress() && w.second.state != JobState::kLost;
  });
  if (out >= works.fleet_status().limits.max_machines) return std::nullopt;
  const auto waiting = [&](std::uint64_t n) -> const Job* {
    const auto it = works.jobs().find(n);
    return it == works.jobs().end() || it->second.state != JobState::kQueued || it->second.is_held
               ? nullptr
               : &it->second;
  };
  // One that was passed by is planned again once it may begin.
  const bool freed = std::erase_if(passed_, [&](std::uint64_t n) {
                       const Job* w = waiting(n);
                       if (w && !(waits_[n] = works.blocking_reason(w->request, n)).empty()) return false;
                       return stuck_since_.erase(n), waits_.erase(n), true;
                     }) > 0;
  if (freed || now >= planned_at_ + kSecond || (planned_for_ != board && works.jobs().size() <= kFew))
    planned_for_ = board, planned_at_ = now, plan_ = plan_jobs(works, wall, nullptr, passed_);
  std::erase_if(stuck_since_, [&](const auto& s) { return !waiting(s.first); });
  for (const PlannedJob& p : plan_) {
    if (p.start > wall) break;
    const Job* w = waiting(p.job);
    if (!w) continue;
    const std::string why = works.blocking_reason(w->request, p.job);
    if (why.empty()) return stuck_since_.erase(p.job), move(now, wall, *w, JobState::kDraining, "its turn");
    waits_[p.job] = why;
    // Danger: what the plan puts after a work that may not begin, as its shard has lost a holder for good,
    // would wait for ever; so it is passed by once it has waited for as long as it would have taken.
    const Time since = stuck_since_.try_emplace(p.job, now).first->second;
    if (plan_.size() > 1 && now - since >= w->request.duration + works.fleet_status().limits.transition_time)
      passed_.insert(p.job), planned_at_ = 0;
  }
  return std::nullopt;
}

}  // namespace cairnhub::maintenance
