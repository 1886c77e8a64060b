#include "shared_config/rule_set.h"

#include <google/protobuf/text_format.h>
#include <sodium.h>

#include <algorithm>
#include <iterator>

#include "base/first_error.h"
#include "rules.pb.h"

namespace cairnhub::shared_config {

namespace {

constexpr Time kMs = kSecond / 1000;
constexpr int kMaxNames = 4096;

std::set<std::string> union_of(const std::set<std::string>& a, const std::set<std::string>& b) {
  std::set<std::string> names = a;
  names.insert(b.begin(), b.end());
  return names;
}

bool is_valid_name(const std::string& name) {
  if (name.empty() || name.size() > 128) return false;
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
}

// Describes the first of `names` that is not in `known`; empty if all of them are.
std::string first_missing_name(const std::set<std::string>& known, const std::set<std::string>& names,
                               const char* field) {
  for (const auto& name : names)
    if (!known.count(name)) return std::string(field) + " \"" + name + "\"";
  return "";
}

}  // namespace

const OpRule& Rules::of(const std::string& op_type) const {
  static const OpRule none;
  const auto it = op_types.find(op_type);
  return it == op_types.end() ? none : it->second;
}

int ZoneShares::of(const std::string& from, const std::string& to) const {
  const auto it = most.find({from, to});
  return it == most.end() ? otherwise : it->second;
}

void ZoneShares::set(const std::string& from, const std::string& to, int thousandths) {
  if (thousandths == otherwise)
    most.erase({from, to});
  else
    most[{from, to}] = thousandths;
}

Rules meet(const Rules& a, const Rules& b) {
  Rules m = a;
  for (const auto& [name, rule] : b.op_types) {
    OpRule& r = m.op_types[name];
    r.served = r.served && rule.served;
    r.time_most = std::min(r.time_most, rule.time_most);
    r.held_most = std::min(r.held_most, rule.held_most);
    r.budget_most = std::min(r.budget_most, rule.budget_most);
    r.least_share = std::max(r.least_share, rule.least_share);
    r.crossing_most = std::min(r.crossing_most, rule.crossing_most);
  }
  m.sends_most = std::min(a.sends_most, b.sends_most);
  m.second_copies = a.second_copies && b.second_copies;
  m.two_phase_off = union_of(a.two_phase_off, b.two_phase_off);
  m.index_off = union_of(a.index_off, b.index_off);
  m.withheld = union_of(a.withheld, b.withheld);
  m.at_work = union_of(a.at_work, b.at_work);
  m.list_floor = std::max(a.list_floor, b.list_floor);
  m.zones = ZoneShares{std::min(a.zones.otherwise, b.zones.otherwise), {}};
  for (const ZoneShares* z : {&a.zones, &b.zones})
    for (const auto& [pair, n] : z->most)
      m.zones.set(pair.first, pair.second,
                  std::min(a.zones.of(pair.first, pair.second), b.zones.of(pair.first, pair.second)));
  return m;
}

std::string beyond(const Rules& a, const Rules& b) {
  for (const auto& [name, rule] : b.op_types) {
    const OpRule& mine = a.of(name);
    if (mine.served && !rule.served) return "op type \"" + name + "\" served";
    if (mine.time_most > rule.time_most) return "time_most_ms of op type \"" + name + "\"";
    if (mine.held_most > rule.held_most) return "held_most of op type \"" + name + "\"";
    if (mine.budget_most > rule.budget_most) return "latency_budget_most_ms of op type \"" + name + "\"";
    if (mine.least_share < rule.least_share) return "least_share of op type \"" + name + "\"";
    if (mine.crossing_most > rule.crossing_most) return "crossing_bytes_most of op type \"" + name + "\"";
  }
  if (a.sends_most > b.sends_most) return "sends_most";
  if (a.second_copies && !b.second_copies) return "second_copies";
  if (auto m = first_missing_name(a.two_phase_off, b.two_phase_off, "two_phase_off"); !m.empty()) return m;
  if (auto m = first_missing_name(a.index_off, b.index_off, "index_off"); !m.empty()) return m;
  if (auto m = first_missing_name(a.withheld, b.withheld, "withheld_node"); !m.empty()) return m;
  if (auto m = first_missing_name(a.at_work, b.at_work, "at_work"); !m.empty()) return m;
  if (a.list_floor < b.list_floor) return "list_floor";
  if (a.zones.otherwise > b.zones.otherwise) return "zone_shares between zones not named";
  for (const ZoneShares* z : {&a.zones, &b.zones})
    for (const auto& [pair, n] : z->most)
      if (a.zones.of(pair.first, pair.second) > b.zones.of(pair.first, pair.second))
        return "zone_shares from \"" + pair.first + "\" to \"" + pair.second + "\"";
  return "";
}

bool within(const Rules& a, const Rules& b) { return beyond(a, b).empty(); }

Rules parse_rules(const std::string& text, const std::string& file) {
  const auto fail = [&](const std::string& what) { throw RulesError(file + ":" + what); };
  if (text.size() > kRulesTextMost) fail(" the rules are longer than 64 KiB");
  accord::rules::Rules message;
  google::protobuf::TextFormat::Parser parser;
  FirstError error;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &message))
    fail(error.text.empty() ? " the rules are not valid protobuf text" : error.text);
  Rules out;
  for (const auto& o : message.op_type()) {
    if (!is_valid_name(o.name())) fail(" op_type: name is missing or invalid");
    const auto [it, fresh] = out.op_types.try_emplace(o.name());
    if (!fresh) fail(" op_type: \"" + o.name() + "\" is listed twice");
    OpRule& r = it->second;
    if (o.has_served()) r.served = o.served();
    if (o.has_time_most_ms()) {
      if (o.time_most_ms() < 1 || o.time_most_ms() > 3600000)
        fail(" time_most_ms is " + std::to_string(o.time_most_ms()) + "; allowed is 1 to 3600000");
      r.time_most = Time{o.time_most_ms()} * kMs;
    }
    if (o.has_held_most()) {
      if (o.held_most() > 1000000)
        fail(" held_most is " + std::to_string(o.held_most()) + "; allowed is 0 to 1000000");
      r.held_most = static_cast<int>(o.held_most());
    }
    if (o.has_latency_budget_most_ms()) {
      if (o.latency_budget_most_ms() < 1 || o.latency_budget_most_ms() > 3600000)
        fail(" latency_budget_most_ms is " + std::to_string(o.latency_budget_most_ms()) +
             "; allowed is 1 to 3600000");
      r.budget_most = Time{o.latency_budget_most_ms()} * kMs;
    }
    if (o.has_least_share()) {
      if (!(o.least_share() >= 0 && o.least_share() <= 1))  // NaN is rejected too
        fail(" least_share is " + std::to_string(o.least_share()) + "; allowed is 0 to 1");
      r.least_share = o.least_share();
    }
    if (o.has_crossing_bytes_most()) r.crossing_most = o.crossing_bytes_most();
    if (r == OpRule{}) out.op_types.erase(it);
  }
  if (message.has_sends_most()) {
    if (message.sends_most() < 1 || message.sends_most() > 100)
      fail(" sends_most is " + std::to_string(message.sends_most()) + "; allowed is 1 to 100");
    out.sends_most = static_cast<int>(message.sends_most());
  }
  if (message.has_second_copies()) out.second_copies = message.second_copies();
  if (message.op_type_size() + message.two_phase_off_size() + message.index_off_size() +
          message.withheld_node_size() + message.at_work_size() >
      kMaxNames)
    fail(" more than 4096 names");
  const auto read_names = [&](const auto& list, const char* field, std::set<std::string>& into) {
    for (const std::string& n : list) {
      if (!is_valid_name(n)) fail(std::string(" ") + field + ": '" + n + "' is not a valid name");
      into.insert(n);
    }
  };
  read_names(message.two_phase_off(), "two_phase_off", out.two_phase_off);
  read_names(message.index_off(), "index_off", out.index_off);
  read_names(message.withheld_node(), "withheld_node", out.withheld);
  read_names(message.at_work(), "at_work", out.at_work);
  out.list_floor = message.list_floor();
  const auto read_thousandths = [&](std::uint32_t n, const char* field) {
    if (n > 1000)
      fail(std::string(" zone_shares: ") + field + " is " + std::to_string(n) + "; allowed is 0 to 1000");
    return static_cast<int>(n);
  };
  if (message.zone_shares().has_otherwise())
    out.zones.otherwise = read_thousandths(message.zone_shares().otherwise(), "otherwise");
  if (message.zone_shares().share_size() > kMaxNames) fail(" zone_shares: more than 4096 pairs");
  for (const auto& z : message.zone_shares().share()) {
    if (!is_valid_name(z.from()) || !is_valid_name(z.to()))
      fail(" zone_shares: from or to is missing or invalid");
    if (z.from() == z.to()) fail(" zone_shares: \"" + z.from() + "\" to itself can't be limited");
    if (!z.has_most()) fail(" zone_shares: most is missing");
    if (out.zones.most.count({z.from(), z.to()}))
      fail(" zone_shares: \"" + z.from() + "\" to \"" + z.to() + "\" is listed twice");
    out.zones.set(z.from(), z.to(), read_thousandths(z.most(), "most"));
  }
  return out;
}

std::string text_of(const Rules& rules) {
  accord::rules::Rules m;
  for (const auto& [name, r] : rules.op_types) {
    if (r == OpRule{}) continue;
    auto* o = m.add_op_type();
    o->set_name(name);
    if (!r.served) o->set_served(false);
    if (r.time_most != kNever) o->set_time_most_ms(static_cast<std::uint32_t>(r.time_most / kMs));
    if (r.held_most != INT_MAX) o->set_held_most(static_cast<std::uint32_t>(r.held_most));
    if (r.budget_most != kNever)
      o->set_latency_budget_most_ms(static_cast<std::uint32_t>(r.budget_most / kMs));
    if (r.least_share > 0) o->set_least_share(r.least_share);
    if (r.crossing_most != INT64_MAX) o->set_crossing_bytes_most(static_cast<std::uint32_t>(r.crossing_most));
  }
  if (rules.sends_most != INT_MAX) m.set_sends_most(static_cast<std::uint32_t>(rules.sends_most));
  if (!rules.second_copies) m.set_second_copies(false);
  for (const auto& n : rules.two_phase_off) m.add_two_phase_off(n);
  for (const auto& n : rules.index_off) m.add_index_off(n);
  for (const auto& n : rules.withheld) m.add_withheld_node(n);
  for (const auto& n : rules.at_work) m.add_at_work(n);
  if (rules.list_floor) m.set_list_floor(rules.list_floor);
  if (rules.zones != ZoneShares{}) {
    if (rules.zones.otherwise != 1000)
      m.mutable_zone_shares()->set_otherwise(static_cast<std::uint32_t>(rules.zones.otherwise));
    for (const auto& [pair, most] : rules.zones.most) {
      auto* z = m.mutable_zone_shares()->add_share();
      z->set_from(pair.first);
      z->set_to(pair.second);
      z->set_most(static_cast<std::uint32_t>(most));
    }
  }
  std::string text;
  google::protobuf::TextFormat::PrintToString(m, &text);
  return text;
}

std::string hash_of(const std::string& text) {
  unsigned char h[16];  // the shortest hash of the library; the text form uses half of it
  crypto_generichash(h, sizeof h, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                     0);
  char hex[17];
  sodium_bin2hex(hex, sizeof hex, h, 8);
  return hex;
}

}  // namespace cairnhub::shared_config
