#include "shared_config/version_history.h"

#include <algorithm>

#include "shared_config/log_codec.h"

namespace cairnhub::shared_config {

namespace {

Version make_version(std::uint64_t number, RuleSet rules, const ConfigEntry& e) {
  Version v;
  v.number = number;
  v.text = canonical_text(rules);
  v.hash = content_hash(v.text);
  v.who = e.who;
  v.why = e.why;
  v.id = e.id;
  v.note = e.note;
  v.rules = std::make_shared<const RuleSet>(std::move(rules));
  return v;
}

}  // namespace

std::size_t encoded_bytes(const Version& version) {
  constexpr std::size_t kNumbersAndTags = 64;
  return kNumbersAndTags + version.text.size() + version.hash.size() + version.who.size() +
         version.why.size() + version.id.size() + version.note.size();
}

std::string encode(const ConfigEntry& entry) {
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

std::optional<ConfigEntry> decode_entry(std::string_view bytes) {
  accord::wire::Entry e;
  if (!e.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (e.kind() < 1 || e.kind() > static_cast<std::uint32_t>(ConfigEntry::Kind::kStateMachine))
    return std::nullopt;
  ConfigEntry entry{static_cast<ConfigEntry::Kind>(e.kind()),
                    e.id(),
                    e.rules(),
                    e.who(),
                    e.why(),
                    e.name(),
                    e.note(),
                    e.base(),
                    e.number()};
  if (!first_field_over_limit(entry).empty()) return std::nullopt;
  return entry;
}

std::string first_field_over_limit(const ConfigEntry& entry) {
  struct Field {
    const char* name;
    const std::string& value;
    std::size_t max_bytes;
  };
  const Field fields[] = {{"rules", entry.text, kMaxRuleSetTextBytes},
                          {"who", entry.who, 256},
                          {"why", entry.why, 1024},
                          {"id", entry.id, 64},
                          {"name", entry.name, 64},
                          {"note", entry.note, 8192}};
  for (const Field& field : fields) {
    if (field.value.size() > field.max_bytes) {
      return std::string(field.name) + " has " + std::to_string(field.value.size()) +
             " bytes; allowed are at most " + std::to_string(field.max_bytes);
    }
  }
  return "";
}

VersionHistory::VersionHistory(std::shared_ptr<const ReplicatedStateMachine> state_machine)
    : state_machine_(std::move(state_machine)) {
  ConfigEntry first;
  first.who = "cairnhub";
  first.why = "what the platform's settings allow";
  versions_[1] = make_version(1, RuleSet{}, first);
  baseline_ = versions_[1];
}

const Version* VersionHistory::find(std::uint64_t number) const {
  const auto it = versions_.find(number);
  return it == versions_.end() ? nullptr : &it->second;
}

ApplyResult VersionHistory::apply(const ConfigEntry& e) {
  switch (e.kind) {
    case ConfigEntry::Kind::kProposeVersion:
    case ConfigEntry::Kind::kProposeBaseline:
    case ConfigEntry::Kind::kProposeZoneShares:
    case ConfigEntry::Kind::kProposeMaintenance:
    case ConfigEntry::Kind::kProposeBaselineMaintenance:
    case ConfigEntry::Kind::kStateMachine:
    case ConfigEntry::Kind::kSetZoneOrder: {
      // A proposer that got no answer repeats its proposal, which must not become two versions.
      for (const auto& [id, number] : recent_proposals_)
        if (id == e.id) return {number, number ? "" : "this proposal was rejected before"};
      const ApplyResult v = e.kind == ConfigEntry::Kind::kSetZoneOrder      ? set_zone_order(e)
                            : e.kind == ConfigEntry::Kind::kStateMachine    ? apply_to_state_machine(e)
                            : e.kind == ConfigEntry::Kind::kProposeBaseline ? propose_baseline(e)
                            : e.kind == ConfigEntry::Kind::kProposeBaselineMaintenance ? propose_baseline(e)
                                                                                       : propose(e);
      if (!e.id.empty()) recent_proposals_.emplace_back(e.id, v.number);
      if (recent_proposals_.size() > kMaxProposalIds) recent_proposals_.pop_front();
      return v;
    }
    case ConfigEntry::Kind::kActivateVersion:
      if (e.number <= in_force_ || !versions_.count(e.number))
        return {0, "version " + std::to_string(e.number) + " doesn't wait for force"};
      in_force_ = e.number;
      drop_old_versions();
      return {e.number, ""};
    case ConfigEntry::Kind::kActivateBaseline:
      if (!next_baseline_ || next_baseline_->number != e.number)
        return {0, "ground " + std::to_string(e.number) + " is not the next ground"};
      baseline_ = std::move(*next_baseline_);
      next_baseline_.reset();
      return {e.number, ""};
    case ConfigEntry::Kind::kEnrollBroker:
      if (enrolled_brokers_.size() >= kMaxBrokers)
        return {0, "the roster is full: at most " + std::to_string(kMaxBrokers) + " brokers"};
      enrolled_brokers_.insert(e.name);
      return {1, ""};
    case ConfigEntry::Kind::kRemoveBroker:
      if (enrolled_brokers_.erase(e.name) == 0) return {0, "broker \"" + e.name + "\" is not on the roster"};
      return {1, ""};
  }
  return {0, "unknown kind of entry"};
}

ApplyResult VersionHistory::set_zone_order(const ConfigEntry& e) {
  if (e.name.empty()) return {0, "the order names no zone"};
  if (e.text.empty()) {
    if (zone_orders_.erase(e.name) == 0) return {0, "nothing is ordered of zone \"" + e.name + "\""};
    return {1, ""};
  }
  if (e.text != "evacuate" && e.text != "hold")
    return {0, "order is \"" + e.text + "\"; allowed is evacuate or hold"};
  if (zone_orders_.size() >= kMaxZoneOrders && !zone_orders_.count(e.name))
    return {0, "too many zone orders: at most " + std::to_string(kMaxZoneOrders)};
  zone_orders_[e.name] = {e.text, e.who, e.why};
  return {1, ""};
}

ApplyResult VersionHistory::apply_to_state_machine(const ConfigEntry& e) {
  if (!state_machine_) return {0, "this log carries no entries of that kind"};
  std::shared_ptr<const ReplicatedStateMachine> next;
  const ApplyResult v = state_machine_->apply(e, next);
  if (next) state_machine_ = std::move(next);
  return v;
}

ApplyResult VersionHistory::propose(const ConfigEntry& e) {
  const bool zones = e.kind == ConfigEntry::Kind::kProposeZoneShares;
  const bool works = e.kind == ConfigEntry::Kind::kProposeMaintenance;
  if (zones && e.base != zone_shares_version_)
    return {0, "the zone shares are those of version " + std::to_string(zone_shares_version_) + ", not " +
                   std::to_string(e.base)};
  if (works && e.base != maintenance_version_)
    return {0, "the nodes at work are those of version " + std::to_string(maintenance_version_) + ", not " +
                   std::to_string(e.base)};
  if (!zones && !works && (e.base < settings_version_ || e.base > newest()))
    return {0, "the newest version is " + std::to_string(newest()) + ", not " + std::to_string(e.base) +
                   ": look and propose anew"};
  if (newest() - in_force_ >= kMaxPendingVersions)
    return {0, std::to_string(kMaxPendingVersions) + " versions wait for force already"};
  if (pending_version_bytes() > kMaxPendingVersionBytes)
    return {0, "versions of more than " + std::to_string(kMaxPendingVersionBytes >> 10) +
                   " KiB wait for force already"};
  RuleSet rules;
  try {
    rules = parse_rule_set(e.text, "rules");
  } catch (const RuleSetError& error) {
    return {0, error.what()};
  }
  const Version& last = versions_.rbegin()->second;
  ConfigEntry made = e;
  if (zones) {
    ZoneShares shares = std::move(rules.zone_shares);
    rules = *last.rules;
    rules.zone_shares = std::move(shares);
  } else if (works) {
    std::set<std::string> nodes = std::move(rules.endpoints_in_maintenance);
    rules = *last.rules;
    rules.endpoints_in_maintenance = std::move(nodes);
    made.note = last.note;
  } else {
    // Operators, zone failover and maintenance each own a part of the rules, and a proposal leaves the parts
    // of the others as they are. Otherwise an operator who returns to an older version would put a machine in
    // maintenance back into service.
    if (rules.zone_shares == ZoneShares{}) rules.zone_shares = last.rules->zone_shares;
    rules.endpoints_in_maintenance = last.rules->endpoints_in_maintenance;
    made.note = last.note;
  }
  for (const Version* baseline : {&baseline_, next_baseline_ ? &*next_baseline_ : nullptr})
    if (baseline)
      if (const std::string excess = first_excess(*baseline->rules, rules); !excess.empty())
        return {0,
                "contradicts the common ground, which allows more: " + excess + "; propose a ground first"};
  const std::uint64_t number = newest() + 1;
  versions_[number] = make_version(number, std::move(rules), made);
  (zones ? zone_shares_version_ : works ? maintenance_version_ : settings_version_) = number;
  return {number, ""};
}

ApplyResult VersionHistory::propose_baseline(const ConfigEntry& e) {
  if (next_baseline_)
    return {0, "ground " + std::to_string(next_baseline_->number) + " is still being taken up"};
  const bool works = e.kind == ConfigEntry::Kind::kProposeBaselineMaintenance;
  if (works ? e.base != baseline_maintenance_version_
            : e.base < baseline_settings_version_ || e.base > baseline_.number)
    return {0, "the ground is " + std::to_string(baseline_.number) + ", not " + std::to_string(e.base) +
                   ": look and propose anew"};
  RuleSet rules;
  try {
    rules = parse_rule_set(e.text, "rules");
  } catch (const RuleSetError& error) {
    return {0, error.what()};
  }
  if (works) {
    std::set<std::string> nodes = std::move(rules.endpoints_in_maintenance);
    rules = *baseline_.rules;
    rules.endpoints_in_maintenance = std::move(nodes);
  } else {
    if (rules.zone_shares == ZoneShares{}) rules.zone_shares = baseline_.rules->zone_shares;
    rules.endpoints_in_maintenance = baseline_.rules->endpoints_in_maintenance;
  }
  for (auto it = versions_.lower_bound(in_force_); it != versions_.end(); ++it)
    if (const std::string excess = first_excess(rules, *it->second.rules); !excess.empty())
      return {0, "allows more than version " + std::to_string(it->first) + ": " + excess};
  next_baseline_ = make_version(baseline_.number + 1, std::move(rules), e);
  (works ? baseline_maintenance_version_ : baseline_settings_version_) = next_baseline_->number;
  return {next_baseline_->number, ""};
}

void VersionHistory::drop_old_versions() {
  while (versions_.size() > kMaxOldVersions && versions_.begin()->first + kMaxOldVersions <= in_force_)
    versions_.erase(versions_.begin());
  const auto current = versions_.find(in_force_);
  std::size_t old_bytes = 0;
  for (auto version = versions_.begin(); version != current; ++version)
    old_bytes += encoded_bytes(version->second);
  while (old_bytes > kMaxOldVersionBytes) {
    old_bytes -= encoded_bytes(versions_.begin()->second);
    versions_.erase(versions_.begin());
  }
}

std::size_t VersionHistory::pending_version_bytes() const {
  std::size_t bytes = 0;
  for (auto version = versions_.upper_bound(in_force_); version != versions_.end(); ++version)
    bytes += encoded_bytes(version->second);
  return bytes;
}

std::string VersionHistory::snapshot() const {
  accord::wire::State s;
  for (const auto& [n, v] : versions_) to_proto(v, *s.add_version());
  s.set_in_force(in_force_);
  to_proto(baseline_, *s.mutable_ground());
  if (next_baseline_) to_proto(*next_baseline_, *s.mutable_ground_next());
  for (const auto& name : enrolled_brokers_) s.add_roster(name);
  s.set_zones_from(zone_shares_version_);
  s.set_works_from(maintenance_version_);
  s.set_settings_from(settings_version_);
  s.set_ground_works_from(baseline_maintenance_version_);
  s.set_ground_settings_from(baseline_settings_version_);
  for (const auto& [zone, order] : zone_orders_) {
    auto* o = s.add_order();
    o->set_zone(zone);
    o->set_what(order.action);
    o->set_who(order.who);
    o->set_why(order.why);
  }
  for (const auto& [id, number] : recent_proposals_) {
    s.add_seen(id);
    s.add_seen_number(number);
  }
  if (state_machine_) s.set_board(state_machine_->snapshot());
  return s.SerializeAsString();
}

bool VersionHistory::restore(std::string_view bytes) {
  accord::wire::State s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  VersionHistory read(state_machine_);
  read.versions_.clear();
  for (const auto& v : s.version()) {
    auto version = from_proto(v);
    if (!version) return false;
    read.versions_[version->number] = std::move(*version);
  }
  read.in_force_ = s.in_force();
  auto baseline = from_proto(s.ground());
  if (!baseline || !read.versions_.count(read.in_force_)) return false;
  read.baseline_ = std::move(*baseline);
  if (s.has_ground_next() && !(read.next_baseline_ = from_proto(s.ground_next()))) return false;
  read.enrolled_brokers_ = {s.roster().begin(), s.roster().end()};
  read.zone_shares_version_ = s.zones_from();
  read.maintenance_version_ = s.works_from();
  read.baseline_maintenance_version_ = s.ground_works_from();
  // Older releases didn't record these fields; the newest version and the baseline are used instead.
  read.settings_version_ = s.has_settings_from() ? s.settings_from() : read.newest();
  read.baseline_settings_version_ =
      s.has_ground_settings_from() ? s.ground_settings_from() : read.baseline_.number;
  for (const auto& o : s.order()) read.zone_orders_[o.zone()] = {o.what(), o.who(), o.why()};
  if (s.seen_size() != s.seen_number_size()) return false;
  for (int i = 0; i < s.seen_size(); ++i) read.recent_proposals_.emplace_back(s.seen(i), s.seen_number(i));
  if (state_machine_ && s.has_board() && !(read.state_machine_ = state_machine_->restore(s.board())))
    return false;
  *this = std::move(read);
  return true;
}

}  // namespace cairnhub::shared_config
