// `cairnhub zones`: where traffic goes, why, and what operators order.
#pragma once

namespace CLI {
class App;
}

namespace cairnhub::cli {

void add_zones(CLI::App& app, int& status);  // as add_accord

}  // namespace cairnhub::cli
