// An address with a port, as configurations and lists state it.
#pragma once
#include <event2/util.h>
#include <sys/socket.h>

#include <string>

namespace cairnhub {

struct Address {
  sockaddr_storage at{};
  int length = 0;
  bool operator==(const Address& o) const {
    return length == o.length && evutil_sockaddr_cmp(reinterpret_cast<const sockaddr*>(&at),
                                                     reinterpret_cast<const sockaddr*>(&o.at), 1) == 0;
  }
};
// False where the text is no address with a port.
bool parse_address(const std::string& text, Address& into);

}  // namespace cairnhub
