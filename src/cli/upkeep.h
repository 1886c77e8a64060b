// The `upkeep` sub-command: lists, requests and changes maintenance jobs, for which machines are taken out of
// service one after the other.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds the sub-command.
// @param status set to the sub-command's exit status (operator.h) if it is parsed; must outlive `app`
void add_upkeep(CLI::App& app, int& status);

}  // namespace cairnhub::cli
