// The configuration file that a broker reads on startup.
#pragma once
#include <cstdint>
#include <string>

#include "settings/settings.h"

namespace cairnhub::dispatch {

// The configuration as read from the file.
struct Config {
  std::string listen_address;
  std::string discovery_address;
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;     // hard limit of the process
  std::size_t max_descriptors = 0;  // hard limit of the process
  std::string known_endpoints;      // the endpoint list as last known, JSON; may be empty
  settings::Settings settings;
};

// Reads and checks the JSON file; the settings in it are checked later, by settings::apply().
// @throws std::runtime_error with a message of one line
Config read_config(const std::string& path);

}  // namespace cairnhub::dispatch
