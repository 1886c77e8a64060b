// The `serve` sub-command: runs the broker until a signal stops it.
#pragma once
#include <string>

namespace cairnhub::cli {

// Reads the configuration and the options, and runs a broker. SIGTERM shuts the broker down; SIGHUP reloads
// the configuration.
// @param options_path empty: the broker runs without options
// @return the exit status
int serve(const std::string& config_path, const std::string& options_path);

}  // namespace cairnhub::cli
