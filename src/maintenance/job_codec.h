// Encodes and decodes the maintenance messages between brokers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "maintenance/maintenance_controller.h"

namespace cairnhub::maintenance {

// A message between brokers: a report to the leader, or the leader's order to stop.
struct MaintenanceMessage {
  std::optional<OpenAttemptsReport> open_attempts;
  // Number of the job that takes the receiver's machine out, so that the receiver must stop. 0: none.
  std::uint64_t stop_for_job = 0;
};
std::string encode_message(const MaintenanceMessage& message);
// @return nothing if the bytes are malformed or exceed a limit
std::optional<MaintenanceMessage> decode_message(std::string_view bytes);

}  // namespace cairnhub::maintenance
