// `cairnhub accord` and `cairnhub peers`: what operators ask a running broker, and what they tell it.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds both sub-commands; `status` is set to the exit status of the one that ran (operator.h).
void add_accord(CLI::App& app, int& status);

}  // namespace cairnhub::cli
