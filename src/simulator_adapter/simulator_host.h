// Runs one policy per simulated broker: passes the events of a batch to the policies and writes their actions
// into the reply. Every decision is made in the policies.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "policy/request_policy.h"
#include "simulator_adapter/frame_codec.h"

namespace cairnhub::simulator_adapter {

// Hosts the policies of all simulated brokers.
class SimulatorHost {
 public:
  // Processes one whole batch frame and returns the reply frame.
  // @throws FrameError where the batch is malformed
  // @throws settings::SettingError where a broker starts with settings that are not valid
  std::string process_batch(std::string_view frame);

 private:
  struct SimulatedBroker {
    std::unique_ptr<RequestPolicy> policy;   // null between an Exit and an Init event
    std::vector<std::string> report_fields;  // the names of the values in a load report, in order
    std::size_t last_batch = 0;              // number of the last batch that named this broker
  };

  void handle_event(const BatchFrame& batch, const ByteReader& record, std::uint8_t code,
                    SimulatedBroker& broker);
  void handle_endpoint_list(const BatchFrame& batch, const ByteReader& record, RequestPolicy& policy);
  LoadReport read_load_report(const ByteReader& record, std::size_t offset,
                              const SimulatedBroker& broker) const;
  static void write_action(const PolicyAction& action, ReplyFrame& reply);

  std::map<std::uint32_t, SimulatedBroker> brokers_;
  std::map<std::uint32_t, std::string> endpoint_lists_;  // entries as last sent, by the number of the list
  std::size_t batch_count_ = 0;
};

}  // namespace cairnhub::simulator_adapter
