// A message on its way out.
#pragma once
#include <string>

#include "membership/message.h"

namespace cairnhub::membership {

// What the owner of SwimMembership has to send.
struct OutgoingMessage {
  std::string to;  // the receiver's name
  std::string address;
  Message message;
};

}  // namespace cairnhub::membership
