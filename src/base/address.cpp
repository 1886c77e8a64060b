#include "base/address.h"

namespace cairnhub {

bool parse_address(const std::string& text, Address& into) {
  into.length = sizeof into.at;
  return evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&into.at), &into.length) == 0 &&
         text.rfind(':') != std::string::npos;
}

}  // namespace cairnhub
