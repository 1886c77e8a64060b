#include "accord/rules.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>
#include <sodium.h>

#include <algorithm>
#include <iterator>

#include "rules.pb.h"

namespace cairnhub::accord {

namespace {

constexpr Time kMs = kSecond / 1000;
constexpr int kNamesMost = 4096;

struct FirstError : google::protobuf::io::ErrorCollector {
  std::string text;
  void AddError(int line, int column, const std::string& message) override {
    if (text.empty()) text = std::to_string(line + 1) + ":" + std::to_string(column + 1) + ": " + message;
  }
};

std::set<std::string> either(const std::set<std::string>& a, const std::set<std::string>& b) {
  std::set<std::string> all = a;
  all.insert(b.begin(), b.end());
  return all;
}

bool good(const std::string& name) {
  if (name.empty() || name.size() > 128) return false;
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
}

std::string missing(const std::set<std::string>& in, const std::set<std::string>& of, const char* what) {
  for (const auto& name : of)
    if (!in.count(name)) return std::string(what) + " \"" + name + "\"";
  return "";
}

}  // namespace

const OpRule& Rules::of(const std::string& op_type) const {
  static const OpRule none;
  const auto it = op_types.find(op_type);
  return it == op_types.end() ? none : it->second;
}

Rules meet(const Rules& a, const Rules& b) {
  Rules m = a;
  for (const auto& [name, rule] : b.op_types) {
    OpRule& r = m.op_types[name];
    r.served = r.served && rule.served;
    r.time_most = std::min(r.time_most, rule.time_most);
    r.held_most = std::min(r.held_most, rule.held_most);
  }
  m.sends_most = std::min(a.sends_most, b.sends_most);
  m.second_copies = a.second_copies && b.second_copies;
  m.two_phase_off = either(a.two_phase_off, b.two_phase_off);
  m.index_off = either(a.index_off, b.index_off);
  m.withheld = either(a.withheld, b.withheld);
  m.list_floor = std::max(a.list_floor, b.list_floor);
  return m;
}

std::string beyond(const Rules& a, const Rules& b) {
  for (const auto& [name, rule] : b.op_types) {
    const OpRule& mine = a.of(name);
    if (mine.served && !rule.served) return "op type \"" + name + "\" served";
    if (mine.time_most > rule.time_most) return "time_most_ms of op type \"" + name + "\"";
    if (mine.held_most > rule.held_most) return "held_most of op type \"" + name + "\"";
  }
  if (a.sends_most > b.sends_most) return "sends_most";
  if (a.second_copies && !b.second_copies) return "second_copies";
  if (auto m = missing(a.two_phase_off, b.two_phase_off, "two_phase_off"); !m.empty()) return m;
  if (auto m = missing(a.index_off, b.index_off, "index_off"); !m.empty()) return m;
  if (auto m = missing(a.withheld, b.withheld, "withheld_node"); !m.empty()) return m;
  if (a.list_floor < b.list_floor) return "list_floor";
  return "";
}

bool within(const Rules& a, const Rules& b) { return beyond(a, b).empty(); }

Rules parse_rules(const std::string& text, const std::string& file) {
  const auto complain = [&](const std::string& what) { throw RulesError(file + ":" + what); };
  if (text.size() > kRulesTextMost) complain(" longer than 64 KiB");
  rules::Rules m;
  google::protobuf::TextFormat::Parser parser;
  FirstError error;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &m)) complain(error.text.empty() ? " can't be used" : error.text);
  Rules out;
  for (const auto& o : m.op_type()) {
    if (!good(o.name())) complain(" op_type: name is missing or no name");
    const auto [it, fresh] = out.op_types.try_emplace(o.name());
    if (!fresh) complain(" op_type: \"" + o.name() + "\" stands twice");
    OpRule& r = it->second;
    if (o.has_served()) r.served = o.served();
    if (o.has_time_most_ms()) {
      if (o.time_most_ms() < 1 || o.time_most_ms() > 3600000)
        complain(" time_most_ms is " + std::to_string(o.time_most_ms()) + "; allowed is 1 to 3600000");
      r.time_most = Time{o.time_most_ms()} * kMs;
    }
    if (o.has_held_most()) {
      if (o.held_most() > 1000000)
        complain(" held_most is " + std::to_string(o.held_most()) + "; allowed is 0 to 1000000");
      r.held_most = static_cast<int>(o.held_most());
    }
    if (r == OpRule{}) out.op_types.erase(it);
  }
  if (m.has_sends_most()) {
    if (m.sends_most() < 1 || m.sends_most() > 100)
      complain(" sends_most is " + std::to_string(m.sends_most()) + "; allowed is 1 to 100");
    out.sends_most = static_cast<int>(m.sends_most());
  }
  if (m.has_second_copies()) out.second_copies = m.second_copies();
  if (m.op_type_size() + m.two_phase_off_size() + m.index_off_size() + m.withheld_node_size() > kNamesMost)
    complain(" more than 4096 names");
  const auto names = [&](const auto& list, const char* what, std::set<std::string>& into) {
    for (const std::string& n : list) {
      if (!good(n)) complain(std::string(" ") + what + ": '" + n + "' is no name");
      into.insert(n);
    }
  };
  names(m.two_phase_off(), "two_phase_off", out.two_phase_off);
  names(m.index_off(), "index_off", out.index_off);
  names(m.withheld_node(), "withheld_node", out.withheld);
  out.list_floor = m.list_floor();
  return out;
}

std::string text_of(const Rules& rules) {
  rules::Rules m;
  for (const auto& [name, r] : rules.op_types) {
    if (r == OpRule{}) continue;
    auto* o = m.add_op_type();
    o->set_name(name);
    if (!r.served) o->set_served(false);
    if (r.time_most != kNever) o->set_time_most_ms(static_cast<std::uint32_t>(r.time_most / kMs));
    if (r.held_most != INT_MAX) o->set_held_most(static_cast<std::uint32_t>(r.held_most));
  }
  if (rules.sends_most != INT_MAX) m.set_sends_most(static_cast<std::uint32_t>(rules.sends_most));
  if (!rules.second_copies) m.set_second_copies(false);
  for (const auto& n : rules.two_phase_off) m.add_two_phase_off(n);
  for (const auto& n : rules.index_off) m.add_index_off(n);
  for (const auto& n : rules.withheld) m.add_withheld_node(n);
  if (rules.list_floor) m.set_list_floor(rules.list_floor);
  std::string text;
  google::protobuf::TextFormat::PrintToString(m, &text);
  return text;
}

std::string hash_of(const std::string& text) {
  unsigned char h[16];  // the least that the library gives; eight of them tell versions apart
  crypto_generichash(h, sizeof h, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                     0);
  char hex[17];
  sodium_bin2hex(hex, sizeof hex, h, 8);
  return hex;
}

}  // namespace cairnhub::accord
