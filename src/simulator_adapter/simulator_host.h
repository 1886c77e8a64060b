// Translates between frames and policies, one policy an instance. Chooses nothing.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "policy/request_policy.h"
#include "simulator_adapter/frame_codec.h"

namespace cairnhub::simulator_adapter {

class SimulatorHost {
 public:
  // Takes one whole batch frame and returns the reply frame. Throws FrameError on a malformed batch.
  std::string process_batch(std::string_view frame);

 private:
  struct Instance {
    std::unique_ptr<RequestPolicy> policy;  // none between Exit and Init
    std::vector<std::string> report_fields;
    std::size_t last_batch = 0;
  };

  void event(const BatchFrame& batch, const ByteReader& r, std::uint8_t code, Instance& inst);
  void list(const BatchFrame& batch, const ByteReader& r, RequestPolicy& d);
  LoadReport report(const ByteReader& r, std::size_t at, const Instance& inst) const;
  static void act(const PolicyAction& d, ReplyFrame& reply);

  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, std::string> directories_;  // numbered node lists, as last sent
  std::size_t batches_ = 0;
};

}  // namespace cairnhub::simulator_adapter
