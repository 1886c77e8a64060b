// The broker as a program: configuration, options, signals.
#pragma once
#include <string>

namespace cairnhub::cli {

// `options`: empty where none are stated. Returns the exit status.
int serve(const std::string& config, const std::string& options);

}  // namespace cairnhub::cli
