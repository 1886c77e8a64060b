// The `zones` sub-command: traffic between zones, the reasons for it, and operators' orders that move
// traffic.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds the sub-command.
// @param status set to the sub-command's exit status (operator.h) if it is parsed; must outlive `app`
void add_zones(CLI::App& app, int& status);

}  // namespace cairnhub::cli
