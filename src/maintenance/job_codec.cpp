#include "maintenance/job_codec.h"

#include "maintenance.pb.h"

namespace cairnhub::maintenance {

namespace {

constexpr std::size_t kMaxEndpointNameBytes = 128;
constexpr std::uint32_t kMaxOpenAttempts = 1'000'000;

}  // namespace

std::string encode_message(const MaintenanceMessage& message) {
  upkeep::wire::Packet packet;
  if (message.open_attempts) {
    packet.mutable_outs()->set_low(message.open_attempts->lease_low_version);
    for (const auto& [endpoint, open] : message.open_attempts->by_endpoint) {
      auto& entry = *packet.mutable_outs()->add_out();
      entry.set_node(endpoint);
      entry.set_sends(static_cast<std::uint32_t>(open));
    }
  }
  if (message.stop_for_job) packet.mutable_stand_down()->set_work(message.stop_for_job);
  return packet.SerializeAsString();
}

std::optional<MaintenanceMessage> decode_message(std::string_view bytes) {
  upkeep::wire::Packet packet;
  if (!packet.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  MaintenanceMessage message;
  if (packet.has_outs()) {
    if (packet.outs().out_size() > static_cast<int>(JobQueue::kMaxEndpoints)) return std::nullopt;
    message.open_attempts.emplace();
    message.open_attempts->lease_low_version = packet.outs().low();
    for (const auto& entry : packet.outs().out()) {
      if (entry.node().empty() || entry.node().size() > kMaxEndpointNameBytes ||
          entry.sends() > kMaxOpenAttempts) {
        return std::nullopt;
      }
      message.open_attempts->by_endpoint[entry.node()] = static_cast<int>(entry.sends());
    }
  }
  message.stop_for_job = packet.stand_down().work();
  return message;
}

}  // namespace cairnhub::maintenance
