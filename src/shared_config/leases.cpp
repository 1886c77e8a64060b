#include "shared_config/leases.h"

#include <algorithm>
#include <utility>

namespace cairnhub::shared_config {

LeaseClient::LeaseClient(const LeaseSettings& settings, RuleSet baseline, std::uint32_t incarnation)
    : settings_(settings), sequence_(std::uint64_t{incarnation} << 32) {
  baseline_.rules = std::make_shared<const RuleSet>(std::move(baseline));
  rebuild_baseline();
}

void LeaseClient::rebuild_baseline() {
  auto config = std::make_shared<ActiveConfig>();
  config->baseline = next_baseline_ ? next_baseline_->number : baseline_.number;
  config->rules = next_baseline_
                      ? std::make_shared<const RuleSet>(meet(*baseline_.rules, *next_baseline_->rules))
                      : baseline_.rules;
  baseline_config_ = std::move(config);
}

void LeaseClient::restore_baseline(const Version& baseline) {
  baseline_ = baseline;
  rebuild_baseline();
}

LeaseRequest LeaseClient::make_request(Time now) {
  LeaseRequest request;
  request.sequence = ++sequence_;
  request.current_grant = current_grant_;
  request.newest_version = newest_version_;
  request.baseline = next_baseline_ ? next_baseline_->number : baseline_.number;
  request.settled_baseline = next_baseline_ ? 0 : baseline_.number;
  request_times_[request.sequence] = now;
  while (request_times_.size() > 16) request_times_.erase(request_times_.begin());
  next_request_ = now + settings_.retry_interval();
  return request;
}

void LeaseClient::handle_not_leader(Time now) {
  next_request_ = std::min(next_request_, now + settings_.retry_interval() / 8);
}

bool LeaseClient::handle_grant(Time now, const LeaseGrant& g) {
  const auto request = request_times_.find(g.sequence);
  if (request == request_times_.end()) return false;  // answered already, or too old
  const Time requested_at = request->second;
  request_times_.erase(request_times_.begin(), std::next(request));
  const auto have_before = newest_version_;
  const auto baseline_before = baseline_.number;
  const auto next_before = next_baseline_ ? next_baseline_->number : 0;
  for (const Version& v : g.versions) versions_[v.number] = v;
  // Grants may arrive out of order. This broker has reported that it no longer acts on the old baseline
  // alone, so a grant from before the next baseline existed must not restore the old baseline.
  const auto step = [](std::uint64_t baseline, bool has_next) { return 2 * baseline + has_next; };
  if (g.baseline && (g.term > baseline_term_ ||
                     (g.term == baseline_term_ && step(g.baseline->number, g.next_baseline.has_value()) >=
                                                      step(baseline_.number, next_baseline_.has_value())))) {
    baseline_ = *g.baseline;
    next_baseline_ = g.next_baseline;
    baseline_term_ = g.term;
    rebuild_baseline();
  }
  // Find the newest version up to which there is no gap, counted from the first relevant version.
  const std::uint64_t from = g.low                ? g.low
                             : g.versions.empty() ? newest_version_ + 1
                                                  : g.versions.front().number;
  if (versions_.count(from) != 0 && (g.low || !g.versions.empty())) {
    std::uint64_t last = from;
    while (versions_.count(last + 1)) ++last;
    newest_version_ = std::max(newest_version_, last);
  }
  if (g.low == 0 || g.low > g.high) {
    // After new content the next request follows at once and reports the content.
    next_request_ =
        newest_version_ > have_before ? now : std::min(next_request_, now + settings_.retry_interval());
    return true;
  }
  auto config = std::make_shared<ActiveConfig>();
  config->low = g.low;
  config->high = g.high;
  config->baseline = baseline_.number;
  for (std::uint64_t n = g.low; n <= g.high; ++n) {
    const auto it = versions_.find(n);
    if (it == versions_.end()) return true;  // some content is missing, so the lease is not applied
    config->rules = config->rules ? std::make_shared<const RuleSet>(meet(*config->rules, *it->second.rules))
                                  : it->second.rules;
  }
  const bool same =
      leased_config_ && leased_config_->low == config->low && leased_config_->high == config->high;
  if (!same) leased_config_ = std::move(config);
  lease_expires_at_ = requested_at + settings_.client_duration();
  current_grant_ = g.sequence;
  if (g.low > VersionHistory::kMaxOldVersions)
    versions_.erase(versions_.begin(), versions_.lower_bound(g.low - VersionHistory::kMaxOldVersions));
  next_request_ = requested_at + settings_.renew_interval();
  // A change is acknowledged at once; otherwise every change would have to wait for the next renewal.
  if (!same || baseline_.number != baseline_before ||
      (next_baseline_ ? next_baseline_->number : 0) != next_before)
    next_request_ = now;
  return true;
}

namespace {

void append_number(std::string& into, std::uint64_t n) { into += std::to_string(n) + ' '; }
void append_request(std::string& into, const LeaseRequest& a) {
  append_number(into, a.sequence);
  append_number(into, a.current_grant);
  append_number(into, a.newest_version);
  append_number(into, a.baseline);
  append_number(into, a.settled_baseline);
}

}  // namespace

void LeaseClient::append_state(Time now, std::string& into) const {
  const auto left = std::max<Time>(0, lease_expires_at_ - now);
  append_number(into, static_cast<std::uint64_t>(left));
  if (left) {
    append_number(into, leased_config_->low);
    append_number(into, leased_config_->high);
  }
  append_number(into, newest_version_);
  append_number(into, sequence_);
  append_number(into, current_grant_);
  for (const auto& [sequence, at] : request_times_) {
    append_number(into, sequence);
    append_number(into, static_cast<std::uint64_t>(now - at));
  }
  for (const auto& [n, v] : versions_) append_number(into, n);
  append_number(into, baseline_.number);
  append_number(into, next_baseline_ ? next_baseline_->number : 0);
  into += '|';
}

void LeaseManager::append_state(Time now, std::string& into) const {
  append_number(into, is_leading_);
  append_number(into, round_);
  append_number(into, round_in_progress_);
  append_number(into, static_cast<std::uint64_t>(std::max<Time>(0, earlier_leases_expire_at_ - now)));
  for (const auto& [name, h] : brokers_) {
    into += name + ' ';
    append_number(into, h.baseline);
    for (const OutstandingGrant& o : h.outstanding) {
      if (o.expires_at > now) {
        append_number(into, o.sequence);
        append_number(into, o.high);
        append_number(into, static_cast<std::uint64_t>(o.expires_at - now));
      }
    }
  }
  into += 'w';
  for (const auto& [name, request] : waiting_requests_) {
    into += name;
    append_request(into, request);
  }
  into += 'r';
  for (const auto& [name, request] : round_requests_) {
    into += name;
    append_request(into, request);
  }
  into += '|';
}

void LeaseManager::start_term(Time now, std::uint64_t term, std::set<std::string> voters,
                              const std::string& self) {
  is_leading_ = true;
  term_ = term;
  voters_ = std::move(voters);
  self_ = self;
  earlier_leases_expire_at_ = now + settings_.leader_duration();
  brokers_.clear();
  waiting_requests_.clear();
  round_requests_.clear();
  confirmed_by_.clear();
  round_in_progress_ = false;
}

void LeaseManager::handle_request(Time now, const std::string& by, const LeaseRequest& request) {
  if (!is_leading_) return;
  if (request.releases_lease) return release(by);
  if (brokers_.size() >= VersionHistory::kMaxBrokers && !brokers_.count(by)) return;
  BrokerState& h = brokers_[by];
  // A restarted broker may follow another baseline than its previous process did, so a late request of the
  // previous process is ignored.
  if (const std::uint64_t incarnation = request.sequence >> 32; incarnation != h.incarnation) {
    if (incarnation != 0 && incarnation == h.previous_incarnation) return;
    h.previous_incarnation = std::exchange(h.incarnation, incarnation);
  }
  h.may_vote = request.may_vote;
  h.voter_id = request.voter_id;
  std::erase_if(h.outstanding, [&](const OutstandingGrant& o) {
    return o.sequence < request.current_grant || o.expires_at <= now;
  });
  h.baseline = request.baseline;  // may decrease: a restarted broker may know no baseline
  waiting_requests_[by] = request;
}

void LeaseManager::release(const std::string& name) {
  brokers_.erase(name);
  waiting_requests_.erase(name);
  round_requests_.erase(name);
}

std::optional<std::uint64_t> LeaseManager::start_round(Time now) {
  if (!is_leading_ || waiting_requests_.empty()) return std::nullopt;
  // If each request started a new round, no round would ever complete while requests arrive faster than
  // confirmations.
  if (round_in_progress_ && now - round_started_at_ < settings_.retry_interval() / 4) return std::nullopt;
  round_started_at_ = now;
  // Requests of an unfinished round join the new one: they arrived before it started.
  for (auto& [name, ask] : waiting_requests_) round_requests_[name] = ask;
  waiting_requests_.clear();
  confirmed_by_.clear();
  round_in_progress_ = true;
  return ++round_;
}

void LeaseManager::handle_confirmation(Time now, const std::string& by, std::uint64_t term,
                                       std::uint64_t round, const VersionHistory& versions) {
  if (!is_leading_ || !round_in_progress_ || term != term_ || round != round_ || !voters_.count(by)) return;
  confirmed_by_.insert(by);
  if (confirmed_by_.size() * 2 <= voters_.size()) return;
  round_in_progress_ = false;
  for (const auto& [name, ask] : std::exchange(round_requests_, {})) grant(now, name, ask, versions);
}

void LeaseManager::grant(Time now, const std::string& to, const LeaseRequest& request,
                         const VersionHistory& versions) {
  LeaseGrant g;
  g.sequence = request.sequence;
  g.term = term_;
  if (request.newest_version >= versions.newest()) {
    g.low = versions.in_force();
    g.high = versions.newest();
  }
  // Add the versions that the broker lacks. A broker without any version also gets the old versions, so that
  // operators can read the history at any broker.
  for (auto it = versions.versions().lower_bound(request.newest_version + 1); it != versions.versions().end();
       ++it)
    g.versions.push_back(it->second);
  const std::uint64_t baseline =
      versions.next_baseline() ? versions.next_baseline()->number : versions.baseline().number;
  if (request.baseline != baseline || request.settled_baseline != (versions.next_baseline() ? 0 : baseline)) {
    g.baseline = versions.baseline();
    g.next_baseline = versions.next_baseline();
  }
  if (g.low) {
    BrokerState& h = brokers_[to];
    std::erase_if(h.outstanding, [&](const OutstandingGrant& o) { return o.expires_at <= now; });
    constexpr std::size_t kMaxOutstandingGrants = 32;
    if (h.outstanding.size() >= kMaxOutstandingGrants) {  // merge the two oldest into the stricter of both
      h.outstanding[1].high = std::min(h.outstanding[0].high, h.outstanding[1].high);
      h.outstanding.erase(h.outstanding.begin());
    }
    h.outstanding.push_back({request.sequence, g.high, now + settings_.leader_duration()});
  }
  grants_.push_back({to, std::move(g)});
}

std::uint64_t LeaseManager::BrokerState::lowest_high(Time now) const {
  std::uint64_t low = UINT64_MAX;
  for (const OutstandingGrant& o : outstanding)
    if (o.expires_at > now) low = std::min(low, o.high);
  return low;
}

std::uint64_t LeaseManager::activatable_version(Time now, const VersionHistory& versions) const {
  if (!is_leading_ || now < earlier_leases_expire_at_) return 0;
  std::uint64_t lowest = versions.newest();
  for (const auto& [name, h] : brokers_) lowest = std::min(lowest, h.lowest_high(now));
  return lowest > versions.in_force() ? lowest : 0;
}

bool LeaseManager::may_activate_baseline(const VersionHistory& versions) const {
  return is_leading_ && versions.next_baseline() && brokers_delaying_baseline(versions).empty();
}

std::vector<std::string> LeaseManager::brokers_delaying_baseline(const VersionHistory& versions) const {
  std::vector<std::string> names;
  if (!versions.next_baseline()) return names;
  for (const auto& name : versions.enrolled_brokers()) {
    const auto it = brokers_.find(name);
    if (it == brokers_.end() || it->second.baseline < versions.next_baseline()->number) names.push_back(name);
  }
  return names;
}

std::vector<std::string> LeaseManager::brokers_delaying_version(Time now,
                                                                const VersionHistory& versions) const {
  std::vector<std::string> names;
  if (!is_leading_ || versions.in_force() == versions.newest()) return names;
  if (now < earlier_leases_expire_at_) names.push_back("leases of an earlier leader");
  for (const auto& [name, h] : brokers_)
    if (h.lowest_high(now) < versions.newest()) names.push_back(name);
  return names;
}

Time LeaseManager::next_wake(Time now, const VersionHistory& versions) const {
  if (!is_leading_ || versions.in_force() == versions.newest()) return kNever;
  if (now < earlier_leases_expire_at_) return earlier_leases_expire_at_;
  Time at = kNever;
  for (const auto& [name, h] : brokers_)
    for (const OutstandingGrant& o : h.outstanding)
      if (o.expires_at > now && o.high < versions.newest()) at = std::min(at, o.expires_at);
  return at == kNever ? now : at;
}

}  // namespace cairnhub::shared_config
