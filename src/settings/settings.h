// The settings an operator states, by path ("classes.0.promise"), however they came: as lines of path=value
// or as nested JSON. Lists of plain values are comma-joined; a list of objects has its length under .count.
#pragma once
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/request_policy.h"

namespace cairnhub::settings {

// Names the setting that is absent or can't be read, in one plain line.
struct SettingError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Settings {
 public:
  static Settings from_lines(std::string_view text);
  static Settings from_json(const nlohmann::json& nested);

  bool operator==(const Settings&) const = default;
  bool has(const std::string& path) const { return values_.count(path) != 0; }
  std::string text(const std::string& path, const char* absent) const;
  double number(const std::string& path) const;  // needed
  double number(const std::string& path, double absent) const { return has(path) ? number(path) : absent; }
  int integer(const std::string& path) const;
  int integer(const std::string& path, double absent) const;
  Time duration(const std::string& path) const;  // seconds as stated, nanoseconds from here on
  Time duration(const std::string& path, double absent) const;
  bool flag(const std::string& path, bool absent) const;
  double list_item(const std::string& path, int i, double absent) const;  // the i-th of a comma-joined list
  std::vector<std::string> list(const std::string& path) const;           // all of a comma-joined list

 private:
  void add(const std::string& path, const nlohmann::json& value);
  std::map<std::string, std::string> values_;
};

struct NamedRequestClass {
  std::string name;
  RequestClass properties;
};
std::vector<NamedRequestClass> request_classes(const Settings& s);  // in the order of their numbers

// Tells the policy, setting by setting. Unknown paths are skipped.
void apply(const Settings& s, RequestPolicy& policy);

}  // namespace cairnhub::settings
