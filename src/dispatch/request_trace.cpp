#include "dispatch/request_trace.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

const char* outcome_name(AttemptOutcome how) {
  switch (how) {
    case AttemptOutcome::kOk:
      return "ok";
    case AttemptOutcome::kError:
      return "error";
    case AttemptOutcome::kQueueFull:
      return "full";
    case AttemptOutcome::kTimedOut:
      return "timed out";
    case AttemptOutcome::kConnectFailed:
      return "connect failed";
    case AttemptOutcome::kReset:
      return "reset";
    case AttemptOutcome::kCancelled:
      return "cancelled";
    case AttemptOutcome::kNotSent:
      return "not sent";
  }
  return "?";
}

std::string ms(Time span) { return std::to_string(span / (kSecond / 1000)) + " ms"; }

}  // namespace

RequestTrace::RequestTrace(EndpointNames names) : names_(std::move(names)) {
  const char* asked = std::getenv("CAIRNHUB_TRACE");
  on_ = asked != nullptr && std::strcmp(asked, "1") == 0;
}

void RequestTrace::record_end(const Request& q, const char* how, Time come_back) const {
  if (!on_) return;
  std::fprintf(stderr, "%s\n", format_trace_line(q, how, come_back, now(), names_).c_str());
}

std::string format_trace_line(const Request& q, const char* how, Time come_back, Time at,
                              const RequestTrace::EndpointNames& names) {
  std::string line = "multiget ";
  for (const char c : q.name) line += c < ' ' && c >= 0 ? '?' : c;  // the client's bytes
  line += " (op type " + std::to_string(q.request_class) + ", " +
          (q.is_client_retry ? "a later try" : "a first try") + ", " + ms(q.time_left) + " left, " +
          std::to_string(q.shard_requests.size()) + " parts): " + how;
  line += " after " + ms(at - q.arrived_at);
  if (come_back > 0) line += ", come back in " + ms(come_back);
  std::string sends;
  for (std::size_t i = 0; i < q.shard_requests.size(); ++i)
    for (const auto& e : q.shard_requests[i]->attempts) {
      const std::string name = names ? names(e->endpoint) : std::string();
      sends += (sends.empty() ? "" : ", ") + std::to_string(i) + "." + std::to_string(e->index) + " at " +
               (name.empty() ? "node " + std::to_string(e->endpoint) : name) + " ";
      sends += e->has_ended ? std::string(outcome_name(e->outcome)) + " after " + ms(e->ended_at - e->sent_at)
                            : "out for " + ms(at - e->sent_at);
    }
  return line + "; " + (sends.empty() ? "nothing sent" : "sends " + sends);
}

}  // namespace cairnhub::dispatch
