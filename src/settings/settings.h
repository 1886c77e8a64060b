// Reads the platform's settings, which have paths such as "classes.0.promise", from path=value lines or from
// nested JSON. A list of plain values is comma-joined; the length of a list of objects stands under ".count".
#pragma once
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/request_policy.h"

namespace cairnhub::settings {

// The message names the setting that is absent or invalid, its value and the allowed values.
struct SettingError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The settings as text by path, with typed getters.
//
// A getter without a fallback throws SettingError where the setting is absent; every getter throws it where
// the value can't be converted.
class Settings {
 public:
  // Reads path=value lines. Lines without '=' are skipped.
  static Settings from_lines(std::string_view text);
  // Reads nested JSON objects.
  // @throws SettingError where `nested` is not an object
  static Settings from_json(const nlohmann::json& nested);

  bool operator==(const Settings&) const = default;
  bool has(const std::string& path) const { return values_.count(path) != 0; }
  std::string text(const std::string& path, const char* fallback) const;
  double number(const std::string& path) const;
  double number(const std::string& path, double fallback) const {
    return has(path) ? number(path) : fallback;
  }
  // Truncates a fraction.
  int integer(const std::string& path) const;
  int integer(const std::string& path, double fallback) const;
  // Converts seconds to Time. The fallback is in seconds too.
  Time duration(const std::string& path) const;
  Time duration(const std::string& path, double fallback) const;
  bool flag(const std::string& path, bool fallback) const;
  // Returns the number at an index of a comma-joined list, or the fallback where the whole list is absent.
  double list_item(const std::string& path, int index, double fallback) const;
  // Returns all items of a comma-joined list; none where it is absent.
  std::vector<std::string> list(const std::string& path) const;

 private:
  void add(const std::string& path, const nlohmann::json& value);
  std::map<std::string, std::string> values_;
};

// A request class with its name in the settings.
struct NamedRequestClass {
  std::string name;
  RequestClass properties;
};
// Returns the request classes in the order of their indices.
// @throws SettingError
std::vector<NamedRequestClass> request_classes(const Settings& settings);

// Configures the policy from the settings. Unknown paths are ignored.
// @throws SettingError
void apply(const Settings& settings, RequestPolicy& policy);

}  // namespace cairnhub::settings
