// What a broker is told at its start.
#pragma once
#include <cstdint>
#include <string>

#include "settings/settings.h"

namespace cairnhub::dispatch {

struct Config {
  std::string listen, discovery;
  std::uint64_t seed = 0;
  std::size_t memory = 0, descriptors = 0;  // hard limits of the process
  std::string known;                        // the list as last held, JSON
  settings::Settings settings;
};

// Throws std::runtime_error with one plain line.
Config read_config(const std::string& path);

}  // namespace cairnhub::dispatch
