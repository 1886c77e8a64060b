#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace cairnhub::settings {

namespace {

constexpr double kMaxInteger = 1e9;  // fits into an int
constexpr double kMaxSeconds = 4e9;  // fits into the nanoseconds of a Time
constexpr int kMaxRequestClasses = 256;
constexpr int kMaxRingPositions = 65536;

[[noreturn]] void fail(const std::string& path, const std::string& problem) {
  throw SettingError("setting " + path + " " + problem);
}
[[noreturn]] void fail_out_of_range(const std::string& path, double value, double min, double max) {
  char problem[100];
  std::snprintf(problem, sizeof problem, "is %g; allowed is %g to %g", value, min, max);
  fail(path, problem);
}

double to_number(const std::string& path, std::string_view text) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(number))
    fail(path, "is '" + std::string(text) + "'; allowed is a finite number");
  return number;
}
int to_integer(const std::string& path, double number) {
  if (std::abs(number) > kMaxInteger) fail_out_of_range(path, number, -kMaxInteger, kMaxInteger);
  return static_cast<int>(number);
}
Time to_time(const std::string& path, double seconds) {
  if (std::abs(seconds) > kMaxSeconds) fail_out_of_range(path, seconds, -kMaxSeconds, kMaxSeconds);
  return static_cast<Time>(std::llround(seconds * kSecond));
}

// Returns a plain JSON value as a path=value line would hold it: spaces and commas become underscores.
std::string line_value(const nlohmann::json& value) {
  if (!value.is_string()) return value.dump();
  std::string text = value.get<std::string>();
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

}  // namespace

Settings Settings::from_lines(std::string_view text) {
  Settings settings;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    const auto equals = line.find('=');
    if (equals != std::string_view::npos)
      settings.values_[std::string(line.substr(0, equals))] = line.substr(equals + 1);
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return settings;
}

Settings Settings::from_json(const nlohmann::json& nested) {
  Settings settings;
  if (!nested.is_object()) throw SettingError("settings are not an object");
  settings.add("", nested);
  return settings;
}

void Settings::add(const std::string& path, const nlohmann::json& value) {
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) add(path.empty() ? name : path + "." + name, inner);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    values_[path + ".count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) add(path + "." + std::to_string(i), value[i]);
  } else if (value.is_array()) {
    std::string joined;
    for (const auto& item : value) {
      if (!joined.empty()) joined += ',';
      joined += line_value(item);
    }
    values_[path] = joined;
  } else if (!value.is_null()) {
    values_[path] = line_value(value);
  }
}

std::string Settings::text(const std::string& path, const char* fallback) const {
  const auto it = values_.find(path);
  return it == values_.end() ? fallback : it->second;
}
double Settings::number(const std::string& path) const {
  const auto it = values_.find(path);
  if (it == values_.end()) fail(path, "is missing");
  return to_number(path, it->second);
}
int Settings::integer(const std::string& path) const { return to_integer(path, number(path)); }
int Settings::integer(const std::string& path, double fallback) const {
  return to_integer(path, number(path, fallback));
}
Time Settings::duration(const std::string& path) const { return to_time(path, number(path)); }
Time Settings::duration(const std::string& path, double fallback) const {
  return to_time(path, number(path, fallback));
}
bool Settings::flag(const std::string& path, bool fallback) const {
  if (!has(path)) return fallback;
  const std::string value = text(path, "");
  if (value != "true" && value != "false") fail(path, "is '" + value + "'; allowed is true or false");
  return value == "true";
}
double Settings::list_item(const std::string& path, int index, double fallback) const {
  if (!has(path)) return fallback;
  const auto items = list(path);
  if (index >= static_cast<int>(items.size()))
    fail(path, "has " + std::to_string(items.size()) + " items; at least " + std::to_string(index + 1) +
                   " are required");
  return to_number(path, items[index]);
}
std::vector<std::string> Settings::list(const std::string& path) const {
  std::vector<std::string> items;
  const std::string joined = text(path, "");
  for (std::size_t begin = 0; begin < joined.size();) {
    const auto comma = std::min(joined.find(',', begin), joined.size());
    items.push_back(joined.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return items;
}

namespace {

RequestClass read_request_class(const Settings& settings, int index) {
  const std::string prefix = "classes." + std::to_string(index) + ".";
  RequestClass request_class;
  const std::string effect = settings.text(prefix + "effect", "free");
  if (effect == "free") {
    request_class.idempotency = Idempotency::kIdempotent;
  } else if (effect == "guarded") {
    request_class.idempotency = Idempotency::kDeduplicated;
  } else if (effect == "single_shot") {
    request_class.idempotency = Idempotency::kAtMostOnce;
  } else {
    fail(prefix + "effect", "is '" + effect + "'; allowed is free, guarded or single_shot");
  }
  request_class.latency_objective = settings.duration(prefix + "promise");
  request_class.request_timeout = settings.duration(prefix + "deadline");
  request_class.deduplication_window = settings.duration(prefix + "memory-span", 0);
  request_class.importance = settings.number(prefix + "value", 1);
  request_class.late_value_share = settings.number(prefix + "late-share", 0);
  request_class.required_share = settings.list_item("family-info.need-by-class", index, 1);
  request_class.min_response_share =
      settings.list_item("family-info.min-share", index, request_class.required_share);
  request_class.partial_value_share = settings.list_item("family-info.class-partial", index, 0);
  request_class.second_step_shard_requests =
      static_cast<int>(settings.list_item("family-info.class-fetch", index, 0));
  return request_class;
}

}  // namespace

std::vector<NamedRequestClass> request_classes(const Settings& settings) {
  const int count = settings.integer("classes.count");
  if (count < 1 || count > kMaxRequestClasses)
    fail_out_of_range("classes.count", count, 1, kMaxRequestClasses);
  std::vector<NamedRequestClass> classes;
  for (int i = 0; i < count; ++i)
    classes.push_back(
        {settings.text("classes." + std::to_string(i) + ".name", ""), read_request_class(settings, i)});
  return classes;
}

void apply(const Settings& settings, RequestPolicy& policy) {
  const int brokers = settings.integer("balancers", 1);
  if (brokers < 1) fail("balancers", "is " + std::to_string(brokers) + "; at least 1 is required");
  policy.set_brokers(brokers);
  for (const auto& named : request_classes(settings)) policy.add_request_class(named.properties);
  const int ring_positions = settings.integer("family-info.positions");
  const int replicas = settings.integer("family-info.width");
  if (ring_positions < 1 || ring_positions > kMaxRingPositions)
    fail_out_of_range("family-info.positions", ring_positions, 1, kMaxRingPositions);
  if (replicas < 1 || replicas > ring_positions)
    fail_out_of_range("family-info.width", replicas, 1, ring_positions);
  policy.set_layout(ring_positions, replicas, settings.integer("family-info.parts-a-call", 1));
  policy.set_attempts(settings.integer("ceilings.try-limit", 1),
                      settings.flag("ceilings.second-copies", false),
                      settings.flag("ceilings.cancel", false));
  if (settings.has("rules.resend-span"))
    policy.set_retry_budget(settings.number("rules.budget-free", 0), settings.number("rules.extra-ratio", 0),
                            settings.duration("rules.resend-span"),
                            settings.duration("ceilings.connect-timeout", 0));
  policy.set_retry_after(settings.flag("ceilings.retry-after", false),
                         settings.duration("ceilings.max-retry-after", 0));
  policy.set_clients_mark_retries(settings.flag("callers.marks-retry", false));
  policy.set_slow_start(settings.number("rules.cold-from", 1), settings.duration("rules.cold", 0),
                        settings.number("rules.fall-multiple", 1),
                        settings.duration("rules.overload-for", 1));
  policy.set_discovery(settings.text("registry-mode", "automatic") == "subscribe",
                       settings.duration("rules.ask-every", 10));
  policy.set_tick(settings.duration("tick", 0.001));
}

}  // namespace cairnhub::settings
