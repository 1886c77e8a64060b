#include "maintenance/job_codec.h"

#include "maintenance.pb.h"

namespace cairnhub::maintenance {

std::string encode_message(const MaintenanceMessage& m) {
  upkeep::wire::Packet p;
  if (m.open_attempts) {
    p.mutable_outs()->set_low(m.open_attempts->lease_low_version);
    for (const auto& [node, sends] : m.open_attempts->by_endpoint) {
      auto& o = *p.mutable_outs()->add_out();
      o.set_node(node), o.set_sends(static_cast<std::uint32_t>(sends));
    }
  }
  if (m.stop_for_job) p.mutable_stand_down()->set_work(m.stop_for_job);
  return p.SerializeAsString();
}

std::optional<MaintenanceMessage> decode_message(std::string_view bytes) {
  upkeep::wire::Packet p;
  if (!p.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  MaintenanceMessage m;
  if (p.has_outs()) {
    if (p.outs().out_size() > static_cast<int>(JobQueue::kMaxEndpoints)) return std::nullopt;
    m.open_attempts.emplace();
    m.open_attempts->lease_low_version = p.outs().low();
    for (const auto& o : p.outs().out()) {
      if (o.node().empty() || o.node().size() > 128 || o.sends() > 1000000) return std::nullopt;
      m.open_attempts->by_endpoint[o.node()] = static_cast<int>(o.sends());
    }
  }
  m.stop_for_job = p.stand_down().work();
  return m;
}

}  // namespace cairnhub::maintenance
