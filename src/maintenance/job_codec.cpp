#include "maintenance/job_codec.h"

#include "maintenance.pb.h"

namespace cairnhub::maintenance {

std::string encode(const Message& m) {
  upkeep::wire::Packet p;
  if (m.clear) {
    p.mutable_outs()->set_low(m.clear->low);
    for (const auto& [node, sends] : m.clear->out) {
      auto& o = *p.mutable_outs()->add_out();
      o.set_node(node), o.set_sends(static_cast<std::uint32_t>(sends));
    }
  }
  if (m.stand_down) p.mutable_stand_down()->set_work(m.stand_down);
  return p.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes) {
  upkeep::wire::Packet p;
  if (!p.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  Message m;
  if (p.has_outs()) {
    if (p.outs().out_size() > static_cast<int>(Works::kNodes)) return std::nullopt;
    m.clear.emplace();
    m.clear->low = p.outs().low();
    for (const auto& o : p.outs().out()) {
      if (o.node().empty() || o.node().size() > 128 || o.sends() > 1000000) return std::nullopt;
      m.clear->out[o.node()] = static_cast<int>(o.sends());
    }
  }
  m.stand_down = p.stand_down().work();
  return m;
}

}  // namespace cairnhub::maintenance
