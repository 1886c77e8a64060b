#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace cairnhub::settings {

namespace {

[[noreturn]] void complain(const std::string& path, const char* trouble) {
  throw SettingError("setting " + path + " " + trouble);
}

double parse(const std::string& path, std::string_view v) {
  double out = 0;
  const auto [end, error] = std::from_chars(v.data(), v.data() + v.size(), out);
  if (error != std::errc{} || end != v.data() + v.size() || !std::isfinite(out))
    complain(path, "is not a number");
  return out;
}
int to_int(const std::string& path, double v) {
  if (std::abs(v) > 1e9) complain(path, "is out of range");
  return static_cast<int>(v);
}
Time to_time(const std::string& path, double v) {
  if (std::abs(v) > 4e9) complain(path, "is out of range");
  return static_cast<Time>(std::llround(v * kSecond));
}

// A value as the lines hold it: in one word, without commas.
std::string plain(const nlohmann::json& v) {
  if (!v.is_string()) return v.dump();
  std::string text = v.get<std::string>();
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

}  // namespace

Settings Settings::from_lines(std::string_view text) {
  Settings s;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    const auto eq = line.find('=');
    if (eq != std::string_view::npos) s.values_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return s;
}

Settings Settings::from_json(const nlohmann::json& nested) {
  Settings s;
  if (!nested.is_object()) throw SettingError("settings are not an object");
  s.add("", nested);
  return s;
}

void Settings::add(const std::string& path, const nlohmann::json& value) {
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) add(path.empty() ? name : path + "." + name, inner);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    values_[path + ".count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) add(path + "." + std::to_string(i), value[i]);
  } else if (value.is_array()) {
    std::string joined;
    for (const auto& v : value) {
      if (!joined.empty()) joined += ',';
      joined += plain(v);
    }
    values_[path] = joined;
  } else if (!value.is_null()) {
    values_[path] = plain(value);
  }
}

std::string Settings::text(const std::string& path, const char* absent) const {
  const auto it = values_.find(path);
  return it == values_.end() ? absent : it->second;
}
double Settings::number(const std::string& path) const {
  const auto it = values_.find(path);
  if (it == values_.end()) complain(path, "is missing");
  return parse(path, it->second);
}
int Settings::integer(const std::string& path) const { return to_int(path, number(path)); }
int Settings::integer(const std::string& path, double absent) const {
  return to_int(path, number(path, absent));
}
Time Settings::duration(const std::string& path) const { return to_time(path, number(path)); }
Time Settings::duration(const std::string& path, double absent) const {
  return to_time(path, number(path, absent));
}
bool Settings::flag(const std::string& path, bool absent) const {
  if (!has(path)) return absent;
  const std::string v = text(path, "");
  if (v != "true" && v != "false") complain(path, "is neither true nor false");
  return v == "true";
}
double Settings::list_item(const std::string& path, int i, double absent) const {
  if (!has(path)) return absent;
  const auto all = list(path);
  if (i >= static_cast<int>(all.size())) complain(path, "has too few items");
  return parse(path, all[i]);
}
std::vector<std::string> Settings::list(const std::string& path) const {
  std::vector<std::string> found;
  const std::string all = text(path, "");
  for (std::size_t from = 0; from < all.size();) {
    const auto comma = std::min(all.find(',', from), all.size());
    found.push_back(all.substr(from, comma - from));
    from = comma + 1;
  }
  return found;
}

namespace {

RequestClass read_request_class(const Settings& s, int i) {
  const std::string at = "classes." + std::to_string(i) + ".";
  RequestClass op;
  const std::string effect = s.text(at + "effect", "free");
  if (effect == "free") {
    op.idempotency = Idempotency::kIdempotent;
  } else if (effect == "guarded") {
    op.idempotency = Idempotency::kDeduplicated;
  } else if (effect == "single_shot") {
    op.idempotency = Idempotency::kAtMostOnce;
  } else {
    complain(at + "effect", "is not a known effect");
  }
  op.latency_objective = s.duration(at + "promise");
  op.request_timeout = s.duration(at + "deadline");
  op.deduplication_window = s.duration(at + "memory-span", 0);
  op.importance = s.number(at + "value", 1);
  op.late_value_share = s.number(at + "late-share", 0);
  op.required_share = s.list_item("family-info.need-by-class", i, 1);
  op.min_response_share = s.list_item("family-info.min-share", i, op.required_share);
  op.partial_value_share = s.list_item("family-info.class-partial", i, 0);
  op.second_step_shard_requests = static_cast<int>(s.list_item("family-info.class-fetch", i, 0));
  return op;
}

}  // namespace

std::vector<NamedRequestClass> request_classes(const Settings& s) {
  const int count = s.integer("classes.count");
  if (count < 1 || count > 256) complain("classes.count", "is out of range");
  std::vector<NamedRequestClass> all;
  for (int i = 0; i < count; ++i)
    all.push_back({s.text("classes." + std::to_string(i) + ".name", ""), read_request_class(s, i)});
  return all;
}

void apply(const Settings& s, RequestPolicy& policy) {
  const int brokers = s.integer("balancers", 1);
  if (brokers < 1) complain("balancers", "is out of range");
  policy.set_brokers(brokers);
  for (const auto& named : request_classes(s)) policy.add_request_class(named.properties);
  const int cells = s.integer("family-info.positions"), width = s.integer("family-info.width");
  if (cells < 1 || cells > 65536) complain("family-info.positions", "is out of range");
  if (width < 1 || width > cells) complain("family-info.width", "is out of range");
  policy.set_layout(cells, width, s.integer("family-info.parts-a-call", 1));
  policy.set_attempts(s.integer("ceilings.try-limit", 1), s.flag("ceilings.second-copies", false),
                      s.flag("ceilings.cancel", false));
  if (s.has("rules.resend-span"))
    policy.set_retry_budget(s.number("rules.budget-free", 0), s.number("rules.extra-ratio", 0),
                            s.duration("rules.resend-span"), s.duration("ceilings.connect-timeout", 0));
  policy.set_retry_after(s.flag("ceilings.retry-after", false), s.duration("ceilings.max-retry-after", 0));
  policy.set_clients_mark_retries(s.flag("callers.marks-retry", false));
  policy.set_slow_start(s.number("rules.cold-from", 1), s.duration("rules.cold", 0),
                        s.number("rules.fall-multiple", 1), s.duration("rules.overload-for", 1));
  policy.set_discovery(s.text("registry-mode", "automatic") == "subscribe",
                       s.duration("rules.ask-every", 10));
  policy.set_tick(s.duration("tick", 0.001));
}

}  // namespace cairnhub::settings
