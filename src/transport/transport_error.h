#pragma once
#include <stdexcept>
#include <string>

namespace cairnhub::transport {

// The transport can't begin. what() is one line: what was to be done, at which address, and the cause.
class TransportError : public std::runtime_error {
 public:
  // @param action what failed, with the object that it failed on.
  TransportError(const std::string& action, const std::string& cause)
      : std::runtime_error("transport: " + action + ": " + cause) {}
};

}  // namespace cairnhub::transport
