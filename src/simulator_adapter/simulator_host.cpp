#include "simulator_adapter/simulator_host.h"

#include <algorithm>
#include <cmath>

#include "settings/settings.h"

namespace cairnhub::simulator_adapter {

namespace {

enum EventCode : std::uint8_t {
  kInit = 0,
  kMembership = 1,
  kArrival = 2,
  kFirst = 3,
  kReturned = 4,
  kAbandoned = 5,
  kFired = 6,
  kSampled = 7,
  kWhisper = 8,
  kExit = 9,
  kDirectory = 10,
  kAbout = 11,
};
enum ActionCode : std::uint8_t {
  kException = 0,
  kForward = 1,
  kRetract = 2,
  kArm = 4,
  kDeny = 6,
  kAs = 9,
  kSoundOut = 10,
  kGiveUp = 11,
  kHandIn = 12,
  kStreamChanges = 13,
};

AttemptOutcome outcome(std::uint16_t code) {
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
  throw FrameError("malformed event: result is not a known outcome code");
}

EndpointState node_state(std::uint8_t code) {
  if (code > 2) throw FrameError("malformed entry: lifecycle is not a known state");
  return code == 1 ? EndpointState::kReady : code == 2 ? EndpointState::kDraining : EndpointState::kRemoved;
}

}  // namespace

std::string SimulatorHost::process_batch(std::string_view frame) {
  const BatchFrame batch(frame);
  ReplyFrame reply;
  std::vector<std::uint32_t> touched;  // in the order first named
  Instance* inst = nullptr;
  ++batches_;
  for (std::size_t i = 0; i < batch.record_count(); ++i) {
    const ByteReader r = batch.record(i);
    const std::uint8_t code = r.u8(0, "code");
    if (code == kDirectory) {
      directories_[r.u32(1, "sheet")] = batch.tail(r, 5, kEntryBytes, "members");
    } else if (code == kAbout) {
      const std::uint32_t number = r.u32(1, "broker");
      inst = &instances_[number];
      if (inst->last_batch != batches_) touched.push_back(number);
      inst->last_batch = batches_;
    } else if (!inst) {
      throw FrameError("malformed event: code comes before any About");
    } else {
      event(batch, r, code, *inst);
    }
  }
  for (const std::uint32_t number : touched) {
    const Instance& in = instances_[number];
    if (!in.policy) continue;
    reply.begin(kAs);
    reply.put(1, number);
    try {
      while (const auto d = in.policy->next(batch.now())) act(*d, reply);
    } catch (const std::exception& e) {
      reply.begin(kException);
      reply.put_text(1, e.what());
    }
  }
  return reply.finish();
}

void SimulatorHost::event(const BatchFrame& batch, const ByteReader& r, std::uint8_t code, Instance& inst) {
  const Time now = batch.now();
  if (code == kInit) {
    inst.policy = std::make_unique<RequestPolicy>(r.u64(1, "nonce64"));
    const auto stated = settings::Settings::from_lines(batch.tail(r, 9, 1, "options"));
    settings::apply(stated, *inst.policy);
    inst.report_fields = stated.list("load-info.fields");
    inst.policy->start();
    return;
  }
  if (code > kAbout) throw FrameError("malformed event: code is unknown");
  if (!inst.policy) throw FrameError("malformed event: broker has not been started");
  RequestPolicy& d = *inst.policy;
  switch (code) {
    case kMembership:
      list(batch, r, d);
      break;
    case kArrival: {
      const RequestId id = r.u32(1, "txn");
      const float number = r.f32(9, "ask-no"), amount = r.f32(30, "heft"), shard = r.f32(34, "segment-no");
      if (std::abs(amount) > 1e6f) throw FrameError("malformed event: heft is out of range");
      if (shard > 1e6f) throw FrameError("malformed event: segment-no is out of range");
      const std::uint16_t flags = r.u16(7, "opts");
      if (shard < 0) {
        d.request_arrived(now, id, r.u8(21, "tier-class"), number, (flags & 2) != 0,
                          r.time(38, "time-budget"));
      } else {
        d.shard_request_arrived(now, id, number, static_cast<int>(shard), amount);
      }
      break;
    }
    case kReturned:
      d.attempt_ended(now, r.u32(1, "txn"), r.u8(5, "copy"), outcome(r.u16(12, "result")), r.time(14, "lag"),
                      r.u8(22, "done-flag") != 0, report(r, 23, inst));
      break;
    case kAbandoned:
      d.request_abandoned(r.u32(1, "txn"));
      break;
    case kFired:
      d.woken(r.u64(1, "name"));
      break;
    case kExit:
      inst.policy.reset();
      break;
    case kFirst:
    case kSampled:
    case kWhisper:
      break;  // streams, probes and messages are not used
  }
}

void SimulatorHost::list(const BatchFrame& batch, const ByteReader& r, RequestPolicy& d) {
  const std::uint8_t how = r.u8(5, "how");
  if (how > 3) throw FrameError("malformed event: how is not a known list kind");
  if (how == 1) return d.list_failed(batch.now());
  const auto it = directories_.find(r.u32(6, "sheet"));
  if (it == directories_.end()) throw FrameError("malformed event: sheet names no Directory");
  d.list_begins(batch.now(), how != 2);
  for (std::size_t at = 0; at < it->second.size(); at += kEntryBytes) {
    const ByteReader e(std::string_view(it->second).substr(at, kEntryBytes), "entry");
    d.list_endpoint(e.endpoint(0, "node"), node_state(e.u8(6, "lifecycle")), e.time(7, "boot-time"),
                    e.u16(20, "position"));
  }
  d.list_ends();
}

LoadReport SimulatorHost::report(const ByteReader& r, std::size_t at, const Instance& inst) const {
  const std::size_t n = r.u8(at, "report");
  if (n > 4) throw FrameError("malformed event: report has more than four values");
  LoadReport out;
  for (std::size_t i = 0; i < std::min(n, inst.report_fields.size()); ++i) {
    const float value = r.f32(at + 1 + 4 * i, "report");
    const std::string& name = inst.report_fields[i];
    if (name == "active") out.in_flight = value;
    if (name == "cpu") out.cpu_share = value;
    if (name == "avg_ms") out.service_ms = value;
  }
  return out;
}

void SimulatorHost::act(const PolicyAction& d, ReplyFrame& reply) {
  switch (d.kind) {
    case PolicyAction::Kind::kSendAttempt:
      reply.begin(kForward);
      reply.put(1, d.request);
      reply.put_endpoint(5, d.endpoint);
      reply.put(11, seconds(d.duration));
      break;
    case PolicyAction::Kind::kCancelAttempt:
      reply.begin(kRetract);
      reply.put(1, d.request);
      reply.put(5, static_cast<std::uint8_t>(d.attempt_index));
      break;
    case PolicyAction::Kind::kRespond:
      reply.begin(kHandIn);
      reply.put(1, d.request);
      reply.put(5, static_cast<std::uint8_t>(d.is_complete));
      break;
    case PolicyAction::Kind::kReject:
      reply.begin(kDeny);
      reply.put(1, d.request);
      reply.put(5, seconds(d.duration));
      break;
    case PolicyAction::Kind::kFail:
      reply.begin(kGiveUp);
      reply.put(1, d.request);
      break;
    case PolicyAction::Kind::kProbe:
      reply.begin(kSoundOut);
      reply.put_endpoint(1, d.endpoint);
      break;
    case PolicyAction::Kind::kSubscribe:
      reply.begin(kStreamChanges);
      reply.put(1, std::uint8_t{1});
      break;
    case PolicyAction::Kind::kWake:
      reply.begin(kArm);
      reply.put(1, seconds(d.duration));
      reply.put(9, d.token);
      break;
    case PolicyAction::Kind::kForgetEndpoint:  // ids are the simulator's own
      break;
  }
}

}  // namespace cairnhub::simulator_adapter
