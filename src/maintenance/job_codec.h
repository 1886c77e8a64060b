// What brokers tell each other of works, as bytes.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "maintenance/maintenance_controller.h"

namespace cairnhub::maintenance {

struct Message {
  std::optional<Clear> clear;
  std::uint64_t stand_down = 0;  // not 0: the receiver's machine is taken out
};
std::string encode(const Message& message);
std::optional<Message> decode(std::string_view bytes);

}  // namespace cairnhub::maintenance
