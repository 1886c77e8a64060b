// What brokers tell each other of works, as bytes.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "maintenance/maintenance_controller.h"

namespace cairnhub::maintenance {

struct MaintenanceMessage {
  std::optional<OpenAttemptsReport> open_attempts;
  std::uint64_t stop_for_job = 0;  // not 0: the receiver's machine is taken out
};
std::string encode_message(const MaintenanceMessage& message);
std::optional<MaintenanceMessage> decode_message(std::string_view bytes);

}  // namespace cairnhub::maintenance
