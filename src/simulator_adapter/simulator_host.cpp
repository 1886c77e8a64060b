#include "simulator_adapter/simulator_host.h"

#include <algorithm>
#include <cmath>

#include "settings/settings.h"

namespace cairnhub::simulator_adapter {

namespace {

enum EventCode : std::uint8_t {
  kInitEvent = 0,
  kMembershipEvent = 1,
  kArrivalEvent = 2,
  kFirstDataEvent = 3,
  kAttemptEndedEvent = 4,
  kAbandonedEvent = 5,
  kTimerEvent = 6,
  kProbeResultEvent = 7,
  kMessageEvent = 8,
  kExitEvent = 9,
  kEndpointListEvent = 10,
  kSelectBrokerEvent = 11,
};
enum ActionCode : std::uint8_t {
  kExceptionAction = 0,
  kSendAttemptAction = 1,
  kCancelAttemptAction = 2,
  kSetTimerAction = 4,
  kRejectAction = 6,
  kSelectBrokerAction = 9,
  kProbeAction = 10,
  kFailAction = 11,
  kRespondAction = 12,
  kSubscribeAction = 13,
};

AttemptOutcome to_outcome(std::uint16_t code) {
  switch (code) {
    case 10:
      return AttemptOutcome::kOk;
    case 20:
      return AttemptOutcome::kError;
    case 30:
      return AttemptOutcome::kQueueFull;
    case 40:
      return AttemptOutcome::kTimedOut;
    case 50:
      return AttemptOutcome::kConnectFailed;
    case 60:
      return AttemptOutcome::kReset;
    case 70:
      return AttemptOutcome::kCancelled;
    case 80:
      return AttemptOutcome::kNotSent;
  }
  throw FrameError("malformed event: result is " + std::to_string(code) +
                   "; allowed is 10, 20, 30, 40, 50, 60, 70 or 80");
}

EndpointState to_endpoint_state(std::uint8_t code) {
  if (code > 2)
    throw FrameError("malformed entry: lifecycle is " + std::to_string(code) + "; allowed is 0 to 2");
  return code == 1 ? EndpointState::kReady : code == 2 ? EndpointState::kDraining : EndpointState::kRemoved;
}

}  // namespace

std::string SimulatorHost::process_batch(std::string_view frame) {
  const BatchFrame batch(frame);
  ReplyFrame reply;
  std::vector<std::uint32_t> named_brokers;  // in the order first named
  SimulatedBroker* broker = nullptr;
  ++batch_count_;
  for (std::size_t i = 0; i < batch.record_count(); ++i) {
    const ByteReader record = batch.record(i);
    const std::uint8_t code = record.u8(0, "code");
    if (code == kEndpointListEvent) {
      endpoint_lists_[record.u32(1, "sheet")] = batch.tail(record, 5, kEntryBytes, "members");
    } else if (code == kSelectBrokerEvent) {
      const std::uint32_t number = record.u32(1, "broker");
      broker = &brokers_[number];
      if (broker->last_batch != batch_count_) named_brokers.push_back(number);
      broker->last_batch = batch_count_;
    } else if (!broker) {
      throw FrameError("malformed event: code comes before any About");
    } else {
      handle_event(batch, record, code, *broker);
    }
  }
  for (const std::uint32_t number : named_brokers) {
    const SimulatedBroker& named = brokers_[number];
    if (!named.policy) continue;
    reply.begin(kSelectBrokerAction);
    reply.put(1, number);
    try {
      while (const auto action = named.policy->next(batch.now())) write_action(*action, reply);
    } catch (const std::exception& e) {
      reply.begin(kExceptionAction);
      reply.put_text(1, e.what());
    }
  }
  return reply.finish();
}

void SimulatorHost::handle_event(const BatchFrame& batch, const ByteReader& record, std::uint8_t code,
                                 SimulatedBroker& broker) {
  const Time now = batch.now();
  if (code == kInitEvent) {
    broker.policy = std::make_unique<RequestPolicy>(record.u64(1, "nonce64"));
    const auto settings = settings::Settings::from_lines(batch.tail(record, 9, 1, "options"));
    settings::apply(settings, *broker.policy);
    broker.report_fields = settings.list("load-info.fields");
    broker.policy->start();
    return;
  }
  if (code > kSelectBrokerEvent)
    throw FrameError("malformed event: code is " + std::to_string(code) + "; allowed is 0 to 11");
  if (!broker.policy) throw FrameError("malformed event: broker has not been started");
  RequestPolicy& policy = *broker.policy;
  switch (code) {
    case kMembershipEvent:
      handle_endpoint_list(batch, record, policy);
      break;
    case kArrivalEvent: {
      const RequestId id = record.u32(1, "txn");
      const float number = record.f32(9, "ask-no");
      const float weight = record.f32(30, "heft");
      const float shard = record.f32(34, "segment-no");
      if (std::abs(weight) > 1e6f) throw FrameError("malformed event: heft is out of range");
      if (shard > 1e6f) throw FrameError("malformed event: segment-no is out of range");
      const std::uint16_t flags = record.u16(7, "opts");
      if (shard < 0) {
        policy.request_arrived(now, id, record.u8(21, "tier-class"), number, (flags & 2) != 0,
                               record.time(38, "time-budget"));
      } else {
        policy.shard_request_arrived(now, id, number, static_cast<int>(shard), weight);
      }
      break;
    }
    case kAttemptEndedEvent:
      policy.attempt_ended(now, record.u32(1, "txn"), record.u8(5, "copy"),
                           to_outcome(record.u16(12, "result")), record.time(14, "lag"),
                           record.u8(22, "done-flag") != 0, read_load_report(record, 23, broker));
      break;
    case kAbandonedEvent:
      policy.request_abandoned(record.u32(1, "txn"));
      break;
    case kTimerEvent:
      policy.woken(record.u64(1, "name"));
      break;
    case kExitEvent:
      broker.policy.reset();
      break;
    case kFirstDataEvent:
    case kProbeResultEvent:
    case kMessageEvent:
      break;  // the policy uses no streams, probe results or messages
  }
}

void SimulatorHost::handle_endpoint_list(const BatchFrame& batch, const ByteReader& record,
                                         RequestPolicy& policy) {
  const std::uint8_t kind = record.u8(5, "how");
  if (kind > 3) throw FrameError("malformed event: how is " + std::to_string(kind) + "; allowed is 0 to 3");
  if (kind == 1) return policy.list_failed(batch.now());
  const auto it = endpoint_lists_.find(record.u32(6, "sheet"));
  if (it == endpoint_lists_.end()) throw FrameError("malformed event: sheet names no Directory");
  policy.list_begins(batch.now(), kind != 2);
  for (std::size_t at = 0; at < it->second.size(); at += kEntryBytes) {
    const ByteReader entry(std::string_view(it->second).substr(at, kEntryBytes), "entry");
    policy.list_endpoint(entry.endpoint(0, "node"), to_endpoint_state(entry.u8(6, "lifecycle")),
                         entry.time(7, "boot-time"), entry.u16(20, "position"));
  }
  policy.list_ends();
}

LoadReport SimulatorHost::read_load_report(const ByteReader& record, std::size_t offset,
                                           const SimulatedBroker& broker) const {
  const std::size_t value_count = record.u8(offset, "report");
  if (value_count > 4)
    throw FrameError("malformed event: report has " + std::to_string(value_count) +
                     " values; at most 4 are allowed");
  LoadReport report;
  for (std::size_t i = 0; i < std::min(value_count, broker.report_fields.size()); ++i) {
    const float value = record.f32(offset + 1 + 4 * i, "report");
    const std::string& name = broker.report_fields[i];
    if (name == "active") report.in_flight = value;
    if (name == "cpu") report.cpu_share = value;
    if (name == "avg_ms") report.service_ms = value;
  }
  return report;
}

void SimulatorHost::write_action(const PolicyAction& action, ReplyFrame& reply) {
  switch (action.kind) {
    case PolicyAction::Kind::kSendAttempt:
      reply.begin(kSendAttemptAction);
      reply.put(1, action.request);
      reply.put_endpoint(5, action.endpoint);
      reply.put(11, seconds(action.duration));
      break;
    case PolicyAction::Kind::kCancelAttempt:
      reply.begin(kCancelAttemptAction);
      reply.put(1, action.request);
      reply.put(5, static_cast<std::uint8_t>(action.attempt_index));
      break;
    case PolicyAction::Kind::kRespond:
      reply.begin(kRespondAction);
      reply.put(1, action.request);
      reply.put(5, static_cast<std::uint8_t>(action.is_complete));
      break;
    case PolicyAction::Kind::kReject:
      reply.begin(kRejectAction);
      reply.put(1, action.request);
      reply.put(5, seconds(action.duration));
      break;
    case PolicyAction::Kind::kFail:
      reply.begin(kFailAction);
      reply.put(1, action.request);
      break;
    case PolicyAction::Kind::kProbe:
      reply.begin(kProbeAction);
      reply.put_endpoint(1, action.endpoint);
      break;
    case PolicyAction::Kind::kSubscribe:
      reply.begin(kSubscribeAction);
      reply.put(1, std::uint8_t{1});
      break;
    case PolicyAction::Kind::kWake:
      reply.begin(kSetTimerAction);
      reply.put(1, seconds(action.duration));
      reply.put(9, action.token);
      break;
    case PolicyAction::Kind::kForgetEndpoint:  // the simulator owns the ids
      break;
  }
}

}  // namespace cairnhub::simulator_adapter
