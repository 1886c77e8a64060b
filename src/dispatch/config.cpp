#include "dispatch/config.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace cairnhub::dispatch {

namespace {

constexpr std::size_t kMinMemoryMb = 16;
constexpr std::size_t kMinSockets = 64;
constexpr std::size_t kMaxCount = 1000000000;

const nlohmann::json& member(const nlohmann::json& object, const char* name) {
  const auto it = object.is_object() ? object.find(name) : object.end();
  if (it == object.end()) throw std::runtime_error(std::string("configuration: ") + name + " is missing");
  return *it;
}

std::string string_member(const nlohmann::json& object, const char* name) {
  const auto& value = member(object, name);
  if (!value.is_string())
    throw std::runtime_error(std::string("configuration: ") + name + " is not a string");
  return value.get<std::string>();
}

std::size_t count_member(const nlohmann::json& object, const char* name, std::size_t min) {
  const auto& value = member(object, name);
  if (!value.is_number() || value.get<double>() < static_cast<double>(min) ||
      value.get<double>() > static_cast<double>(kMaxCount)) {
    throw std::runtime_error(std::string("configuration: ") + name + " is not a number from " +
                             std::to_string(min) + " to " + std::to_string(kMaxCount));
  }
  return static_cast<std::size_t>(value.get<double>());
}

}  // namespace

Config read_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("configuration " + path + " can't be read");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) throw std::runtime_error("configuration is not a JSON object");
  Config config;
  config.listen_address = string_member(json, "listen");
  config.discovery_address = string_member(json, "discovery");
  const std::string seed = string_member(json, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size()) {
    throw std::runtime_error("configuration: seed is not a 64-bit number in hexadecimal digits");
  }
  const auto& limits = member(json, "limits");
  config.memory_bytes = count_member(limits, "memory_mb", kMinMemoryMb) << 20;
  config.max_descriptors = count_member(limits, "sockets", kMinSockets);
  const auto known = json.find("known");
  if (known != json.end()) {
    config.known_endpoints = known->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  config.settings = settings::Settings::from_json(member(json, "settings"));
  return config;
}

}  // namespace cairnhub::dispatch
