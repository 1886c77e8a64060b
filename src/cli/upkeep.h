// `cairnhub upkeep`: machines that are taken out for work.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

void add_upkeep(CLI::App& app, int& status);  // as add_accord

}  // namespace cairnhub::cli
