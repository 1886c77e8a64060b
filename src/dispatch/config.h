// What a broker is told at its start.
#pragma once
#include <cstdint>
#include <string>

#include "settings/settings.h"

namespace cairnhub::dispatch {

struct Config {
  std::string listen_address, discovery_address;
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0, max_descriptors = 0;  // hard limits of the process
  std::string known_endpoints;                        // the list as last held, JSON
  settings::Settings settings;
};

// Throws std::runtime_error with one plain line.
Config read_config(const std::string& path);

}  // namespace cairnhub::dispatch
