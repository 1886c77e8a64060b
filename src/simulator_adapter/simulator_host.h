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

class Host {
 public:
  // Takes one whole batch frame and returns the reply frame. Throws WireError on a malformed batch.
  std::string turn(std::string_view frame);

 private:
  struct Instance {
    std::unique_ptr<RequestPolicy> policy;  // none between Exit and Init
    std::vector<std::string> report_fields;
    std::size_t last_batch = 0;
  };

  void event(const Batch& batch, const Bytes& r, std::uint8_t code, Instance& inst);
  void list(const Batch& batch, const Bytes& r, RequestPolicy& d);
  LoadReport report(const Bytes& r, std::size_t at, const Instance& inst) const;
  static void act(const PolicyAction& d, Reply& reply);

  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, std::string> directories_;  // numbered node lists, as last sent
  std::size_t batches_ = 0;
};

}  // namespace cairnhub::simulator_adapter
