// The `upkeep` sub-command: maintenance jobs, for which machines are taken out of service one after the
// other.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds the sub-command.
// @param status set, when it is parsed, to its exit status (operator.h); must outlive `app`
void add_upkeep(CLI::App& app, int& status);

}  // namespace cairnhub::cli
