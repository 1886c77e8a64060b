// `cairnhub accord` and `cairnhub peers`: what operators ask a running broker, and what they tell it.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

// Adds both sub-commands; `status` is set to the exit status of the one that ran.
// 0 done; 1 refused, or something wrong here; 2 unusable arguments; 3 the broker does not answer; 4 not known
// whether the proposal was taken: say it again with the same --id.
void add_accord(CLI::App& app, int& status);

}  // namespace cairnhub::cli
