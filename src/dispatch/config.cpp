#include "dispatch/config.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace cairnhub::dispatch {

namespace {

const nlohmann::json& member(const nlohmann::json& in, const char* name) {
  const auto it = in.is_object() ? in.find(name) : in.end();
  if (it == in.end()) throw std::runtime_error(std::string("configuration has no ") + name);
  return *it;
}

std::string text(const nlohmann::json& in, const char* name) {
  const auto& v = member(in, name);
  if (!v.is_string()) throw std::runtime_error(std::string("configuration: ") + name + " is not text");
  return v.get<std::string>();
}

std::size_t count(const nlohmann::json& in, const char* name, std::size_t least) {
  const auto& v = member(in, name);
  if (!v.is_number() || v.get<double>() < static_cast<double>(least) || v.get<double>() > 1e9)
    throw std::runtime_error(std::string("configuration: ") + name + " is out of range");
  return static_cast<std::size_t>(v.get<double>());
}

}  // namespace

Config read_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("configuration " + path + " can't be read");
  const std::string all{std::istreambuf_iterator<char>(file), {}};
  const auto json = nlohmann::json::parse(all, nullptr, false);
  if (!json.is_object()) throw std::runtime_error("configuration is not a JSON object");
  Config c;
  c.listen_address = text(json, "listen");
  c.discovery_address = text(json, "discovery");
  const std::string seed = text(json, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size())
    throw std::runtime_error("configuration: seed is not a number of 64 bits in hex digits");
  const auto& limits = member(json, "limits");
  c.memory_bytes = count(limits, "memory_mb", 16) << 20;
  c.max_descriptors = count(limits, "sockets", 64);
  const auto known = json.find("known");
  if (known != json.end())
    c.known_endpoints = known->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  c.settings = settings::Settings::from_json(member(json, "settings"));
  return c;
}

}  // namespace cairnhub::dispatch
