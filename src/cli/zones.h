// The `zones` sub-command: traffic between zones, the reasons for it, and operators' orders that move it.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds the sub-command.
// @param status set, when it is parsed, to its exit status (operator.h); must outlive `app`
void add_zones(CLI::App& app, int& status);

}  // namespace cairnhub::cli
