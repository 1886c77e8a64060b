#pragma once
#include <stdexcept>
#include <string>

namespace cairnhub {

// The event log can't be opened. what() is one line that names the file and the cause.
class EventLogError : public std::runtime_error {
 public:
  EventLogError(const std::string& file, const std::string& cause)
      : std::runtime_error("event log " + file + ": " + cause) {}
};

}  // namespace cairnhub
