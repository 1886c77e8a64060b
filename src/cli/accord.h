// The `accord` and `peers` sub-commands: status, history and proposals of the shared configuration, and the
// other brokers as one broker sees them.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds both sub-commands.
// @param status set to the exit status (operator.h) of the sub-command that is parsed; must outlive `app`
void add_accord(CLI::App& app, int& status);

}  // namespace cairnhub::cli
