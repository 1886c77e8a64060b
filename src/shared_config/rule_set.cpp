#include "shared_config/rule_set.h"

#include <google/protobuf/text_format.h>
#include <sodium.h>

#include <algorithm>
#include <climits>
#include <iterator>

#include "base/first_error.h"
#include "rules.pb.h"

namespace cairnhub::shared_config {

namespace {

constexpr Time kMs = kSecond / 1000;
constexpr int kMaxProposedNames = 4096;

// What parse() accepts.
struct TextLimits {
  std::size_t max_bytes;
  int max_names;       // of request classes, indices and endpoints together
  int max_zone_pairs;  // with a share of their own
};
constexpr TextLimits kProposalLimits{kMaxRuleSetTextBytes, kMaxProposedNames, kMaxProposedNames};
// The length alone bounds accepted rules.
constexpr TextLimits kAcceptedLimits{kMaxCanonicalTextBytes, INT_MAX, INT_MAX};

std::set<std::string> union_of(const std::set<std::string>& a, const std::set<std::string>& b) {
  std::set<std::string> names = a;
  names.insert(b.begin(), b.end());
  return names;
}

bool is_valid_name(const std::string& name) {
  if (name.empty() || name.size() > 128) return false;
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
}

// Describes the first of `names` that is not in `known`; returns an empty string if all of them are.
std::string first_missing_name(const std::set<std::string>& known, const std::set<std::string>& names,
                               const char* field) {
  for (const auto& name : names)
    if (!known.count(name)) return std::string(field) + " \"" + name + "\"";
  return "";
}

}  // namespace

const RequestClassRule& RuleSet::rule_for(const std::string& op_type) const {
  static const RequestClassRule none;
  const auto it = request_classes.find(op_type);
  return it == request_classes.end() ? none : it->second;
}

int ZoneShares::thousandths(const std::string& from, const std::string& to) const {
  const auto it = thousandths_by_pair.find({from, to});
  return it == thousandths_by_pair.end() ? default_thousandths : it->second;
}

void ZoneShares::set_thousandths(const std::string& from, const std::string& to, int thousandths) {
  if (thousandths == default_thousandths)
    thousandths_by_pair.erase({from, to});
  else
    thousandths_by_pair[{from, to}] = thousandths;
}

RuleSet meet(const RuleSet& a, const RuleSet& b) {
  RuleSet m = a;
  for (const auto& [name, rule] : b.request_classes) {
    RequestClassRule& r = m.request_classes[name];
    r.is_served = r.is_served && rule.is_served;
    r.max_duration = std::min(r.max_duration, rule.max_duration);
    r.max_in_progress = std::min(r.max_in_progress, rule.max_in_progress);
    r.max_latency_budget = std::min(r.max_latency_budget, rule.max_latency_budget);
    r.min_share = std::max(r.min_share, rule.min_share);
    r.max_cross_zone_bytes_per_second =
        std::min(r.max_cross_zone_bytes_per_second, rule.max_cross_zone_bytes_per_second);
  }
  m.max_attempts = std::min(a.max_attempts, b.max_attempts);
  m.allows_hedging = a.allows_hedging && b.allows_hedging;
  m.two_phase_disabled = union_of(a.two_phase_disabled, b.two_phase_disabled);
  m.disabled_indices = union_of(a.disabled_indices, b.disabled_indices);
  m.withheld_endpoints = union_of(a.withheld_endpoints, b.withheld_endpoints);
  m.endpoints_in_maintenance = union_of(a.endpoints_in_maintenance, b.endpoints_in_maintenance);
  m.min_list_revision = std::max(a.min_list_revision, b.min_list_revision);
  m.zone_shares =
      ZoneShares{std::min(a.zone_shares.default_thousandths, b.zone_shares.default_thousandths), {}};
  for (const ZoneShares* z : {&a.zone_shares, &b.zone_shares})
    for (const auto& [pair, n] : z->thousandths_by_pair)
      m.zone_shares.set_thousandths(pair.first, pair.second,
                                    std::min(a.zone_shares.thousandths(pair.first, pair.second),
                                             b.zone_shares.thousandths(pair.first, pair.second)));
  return m;
}

std::string first_excess(const RuleSet& a, const RuleSet& b) {
  for (const auto& [name, rule] : b.request_classes) {
    const RequestClassRule& mine = a.rule_for(name);
    if (mine.is_served && !rule.is_served) return "op type \"" + name + "\" served";
    if (mine.max_duration > rule.max_duration) return "time_most_ms of op type \"" + name + "\"";
    if (mine.max_in_progress > rule.max_in_progress) return "held_most of op type \"" + name + "\"";
    if (mine.max_latency_budget > rule.max_latency_budget)
      return "latency_budget_most_ms of op type \"" + name + "\"";
    if (mine.min_share < rule.min_share) return "least_share of op type \"" + name + "\"";
    if (mine.max_cross_zone_bytes_per_second > rule.max_cross_zone_bytes_per_second)
      return "crossing_bytes_most of op type \"" + name + "\"";
  }
  if (a.max_attempts > b.max_attempts) return "sends_most";
  if (a.allows_hedging && !b.allows_hedging) return "second_copies";
  if (auto m = first_missing_name(a.two_phase_disabled, b.two_phase_disabled, "two_phase_off"); !m.empty())
    return m;
  if (auto m = first_missing_name(a.disabled_indices, b.disabled_indices, "index_off"); !m.empty()) return m;
  if (auto m = first_missing_name(a.withheld_endpoints, b.withheld_endpoints, "withheld_node"); !m.empty())
    return m;
  if (auto m = first_missing_name(a.endpoints_in_maintenance, b.endpoints_in_maintenance, "at_work");
      !m.empty())
    return m;
  if (a.min_list_revision < b.min_list_revision) return "list_floor";
  if (a.zone_shares.default_thousandths > b.zone_shares.default_thousandths)
    return "zone_shares between zones not named";
  for (const ZoneShares* z : {&a.zone_shares, &b.zone_shares})
    for (const auto& [pair, n] : z->thousandths_by_pair)
      if (a.zone_shares.thousandths(pair.first, pair.second) >
          b.zone_shares.thousandths(pair.first, pair.second))
        return "zone_shares from \"" + pair.first + "\" to \"" + pair.second + "\"";
  return "";
}

bool is_within(const RuleSet& a, const RuleSet& b) { return first_excess(a, b).empty(); }

namespace {

RuleSet parse(const std::string& text, const std::string& file, const TextLimits& limits) {
  const auto fail = [&](const std::string& what) { throw RuleSetError(file + ":" + what); };
  if (text.size() > limits.max_bytes) {
    fail(" the rules are longer than " + std::to_string(limits.max_bytes >> 10) + " KiB");
  }
  accord::rules::Rules message;
  google::protobuf::TextFormat::Parser parser;
  FirstError error;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &message))
    fail(error.text.empty() ? " the rules are not valid protobuf text" : error.text);
  RuleSet out;
  for (const auto& o : message.op_type()) {
    if (!is_valid_name(o.name())) fail(" op_type: name is missing or invalid");
    const auto [it, fresh] = out.request_classes.try_emplace(o.name());
    if (!fresh) fail(" op_type: \"" + o.name() + "\" is listed twice");
    RequestClassRule& r = it->second;
    if (o.has_served()) r.is_served = o.served();
    if (o.has_time_most_ms()) {
      if (o.time_most_ms() < 1 || o.time_most_ms() > 3600000)
        fail(" time_most_ms is " + std::to_string(o.time_most_ms()) + "; allowed is 1 to 3600000");
      r.max_duration = Time{o.time_most_ms()} * kMs;
    }
    if (o.has_held_most()) {
      if (o.held_most() > 1000000)
        fail(" held_most is " + std::to_string(o.held_most()) + "; allowed is 0 to 1000000");
      r.max_in_progress = static_cast<int>(o.held_most());
    }
    if (o.has_latency_budget_most_ms()) {
      if (o.latency_budget_most_ms() < 1 || o.latency_budget_most_ms() > 3600000)
        fail(" latency_budget_most_ms is " + std::to_string(o.latency_budget_most_ms()) +
             "; allowed is 1 to 3600000");
      r.max_latency_budget = Time{o.latency_budget_most_ms()} * kMs;
    }
    if (o.has_least_share()) {
      if (!(o.least_share() >= 0 && o.least_share() <= 1))  // NaN is rejected too
        fail(" least_share is " + std::to_string(o.least_share()) + "; allowed is 0 to 1");
      r.min_share = o.least_share();
    }
    if (o.has_crossing_bytes_most()) r.max_cross_zone_bytes_per_second = o.crossing_bytes_most();
    if (r == RequestClassRule{}) out.request_classes.erase(it);
  }
  if (message.has_sends_most()) {
    if (message.sends_most() < 1 || message.sends_most() > 100)
      fail(" sends_most is " + std::to_string(message.sends_most()) + "; allowed is 1 to 100");
    out.max_attempts = static_cast<int>(message.sends_most());
  }
  if (message.has_second_copies()) out.allows_hedging = message.second_copies();
  if (message.op_type_size() + message.two_phase_off_size() + message.index_off_size() +
          message.withheld_node_size() + message.at_work_size() >
      limits.max_names)
    fail(" more than " + std::to_string(limits.max_names) + " names");
  const auto read_names = [&](const auto& list, const char* field, std::set<std::string>& into) {
    for (const std::string& n : list) {
      if (!is_valid_name(n)) fail(std::string(" ") + field + ": '" + n + "' is not a valid name");
      into.insert(n);
    }
  };
  read_names(message.two_phase_off(), "two_phase_off", out.two_phase_disabled);
  read_names(message.index_off(), "index_off", out.disabled_indices);
  read_names(message.withheld_node(), "withheld_node", out.withheld_endpoints);
  read_names(message.at_work(), "at_work", out.endpoints_in_maintenance);
  out.min_list_revision = message.list_floor();
  const auto read_thousandths = [&](std::uint32_t n, const char* field) {
    if (n > 1000)
      fail(std::string(" zone_shares: ") + field + " is " + std::to_string(n) + "; allowed is 0 to 1000");
    return static_cast<int>(n);
  };
  if (message.zone_shares().has_otherwise())
    out.zone_shares.default_thousandths = read_thousandths(message.zone_shares().otherwise(), "otherwise");
  if (message.zone_shares().share_size() > limits.max_zone_pairs)
    fail(" zone_shares: more than " + std::to_string(limits.max_zone_pairs) + " pairs");
  for (const auto& z : message.zone_shares().share()) {
    if (!is_valid_name(z.from()) || !is_valid_name(z.to()))
      fail(" zone_shares: from or to is missing or invalid");
    if (z.from() == z.to()) fail(" zone_shares: \"" + z.from() + "\" to itself can't be limited");
    if (!z.has_most()) fail(" zone_shares: most is missing");
    if (out.zone_shares.thousandths_by_pair.count({z.from(), z.to()}))
      fail(" zone_shares: \"" + z.from() + "\" to \"" + z.to() + "\" is listed twice");
    out.zone_shares.set_thousandths(z.from(), z.to(), read_thousandths(z.most(), "most"));
  }
  return out;
}

accord::rules::Rules to_message(const RuleSet& rules) {
  accord::rules::Rules m;
  for (const auto& [name, r] : rules.request_classes) {
    if (r == RequestClassRule{}) continue;
    auto* o = m.add_op_type();
    o->set_name(name);
    if (!r.is_served) o->set_served(false);
    if (r.max_duration != kNever) o->set_time_most_ms(static_cast<std::uint32_t>(r.max_duration / kMs));
    if (r.max_in_progress != INT_MAX) o->set_held_most(static_cast<std::uint32_t>(r.max_in_progress));
    if (r.max_latency_budget != kNever)
      o->set_latency_budget_most_ms(static_cast<std::uint32_t>(r.max_latency_budget / kMs));
    if (r.min_share > 0) o->set_least_share(r.min_share);
    if (r.max_cross_zone_bytes_per_second != INT64_MAX)
      o->set_crossing_bytes_most(static_cast<std::uint32_t>(r.max_cross_zone_bytes_per_second));
  }
  if (rules.max_attempts != INT_MAX) m.set_sends_most(static_cast<std::uint32_t>(rules.max_attempts));
  if (!rules.allows_hedging) m.set_second_copies(false);
  for (const auto& n : rules.two_phase_disabled) m.add_two_phase_off(n);
  for (const auto& n : rules.disabled_indices) m.add_index_off(n);
  for (const auto& n : rules.withheld_endpoints) m.add_withheld_node(n);
  for (const auto& n : rules.endpoints_in_maintenance) m.add_at_work(n);
  if (rules.min_list_revision) m.set_list_floor(rules.min_list_revision);
  if (rules.zone_shares != ZoneShares{}) {
    if (rules.zone_shares.default_thousandths != 1000)
      m.mutable_zone_shares()->set_otherwise(
          static_cast<std::uint32_t>(rules.zone_shares.default_thousandths));
    for (const auto& [pair, most] : rules.zone_shares.thousandths_by_pair) {
      auto* z = m.mutable_zone_shares()->add_share();
      z->set_from(pair.first);
      z->set_to(pair.second);
      z->set_most(static_cast<std::uint32_t>(most));
    }
  }
  return m;
}

// Appends `field: ["a", "b"]` in the short form that names the field once.
void append_list(const std::set<std::string>& names, const char* field, std::string& into) {
  if (names.empty()) return;
  into += field;
  char separator = '[';
  for (const std::string& name : names) {
    into += separator;
    into += '"';
    for (const char c : name) {
      if (c == '\\') into += c;
      into += c;
    }
    into += '"';
    separator = ',';
  }
  into += "]\n";
}

}  // namespace

RuleSet parse_rule_set(const std::string& text, const std::string& file) {
  return parse(text, file, kProposalLimits);
}

RuleSet parse_accepted_rule_set(const std::string& text, const std::string& source) {
  return parse(text, source, kAcceptedLimits);
}

std::string canonical_text(const RuleSet& rules) {
  std::string text;
  google::protobuf::TextFormat::PrintToString(to_message(rules), &text);
  return text;
}

std::string proposal_text(const RuleSet& rules) {
  accord::rules::Rules message = to_message(rules);
  message.clear_two_phase_off();
  message.clear_index_off();
  message.clear_withheld_node();
  message.clear_at_work();
  std::string text;
  google::protobuf::TextFormat::PrintToString(message, &text);
  append_list(rules.two_phase_disabled, "two_phase_off:", text);
  append_list(rules.disabled_indices, "index_off:", text);
  append_list(rules.withheld_endpoints, "withheld_node:", text);
  append_list(rules.endpoints_in_maintenance, "at_work:", text);
  return text;
}

std::string content_hash(const std::string& text) {
  unsigned char h[16];  // the shortest hash of the library; the text form uses half of it
  crypto_generichash(h, sizeof h, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                     0);
  char hex[17];
  sodium_bin2hex(hex, sizeof hex, h, 8);
  return hex;
}

}  // namespace cairnhub::shared_config
