#include "dispatch/request_trace.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

const char* outcome_name(AttemptOutcome outcome) {
  switch (outcome) {
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

std::string milliseconds(Time duration) { return std::to_string(duration / (kSecond / 1000)) + " ms"; }

}  // namespace

RequestTrace::RequestTrace(EndpointNames endpoint_names) : endpoint_names_(std::move(endpoint_names)) {
  const char* setting = std::getenv("CAIRNHUB_TRACE");
  is_enabled_ = setting != nullptr && std::strcmp(setting, "1") == 0;
}

void RequestTrace::record_end(const Request& request, const char* result, Time retry_after) const {
  if (!is_enabled_) return;
  std::fprintf(stderr, "%s\n",
               format_trace_line(request, result, retry_after, now(), endpoint_names_).c_str());
}

std::string format_trace_line(const Request& request, const char* result, Time retry_after, Time ended_at,
                              const RequestTrace::EndpointNames& endpoint_names) {
  std::string line = "multiget ";
  for (const char c : request.name) line += c < ' ' && c >= 0 ? '?' : c;  // bytes chosen by the client
  line += " (op type " + std::to_string(request.request_class) + ", " +
          (request.is_client_retry ? "a later try" : "a first try") + ", " + milliseconds(request.time_left) +
          " left, " + std::to_string(request.shard_requests.size()) + " parts): " + result;
  line += " after " + milliseconds(ended_at - request.arrived_at);
  if (retry_after > 0) line += ", come back in " + milliseconds(retry_after);
  std::string attempts;
  for (std::size_t i = 0; i < request.shard_requests.size(); ++i) {
    for (const auto& attempt : request.shard_requests[i]->attempts) {
      const std::string name = endpoint_names ? endpoint_names(attempt->endpoint) : std::string();
      attempts += (attempts.empty() ? "" : ", ") + std::to_string(i) + "." + std::to_string(attempt->index) +
                  " at " + (name.empty() ? "node " + std::to_string(attempt->endpoint) : name) + " ";
      attempts += attempt->has_ended ? std::string(outcome_name(attempt->outcome)) + " after " +
                                           milliseconds(attempt->ended_at - attempt->sent_at)
                                     : "out for " + milliseconds(ended_at - attempt->sent_at);
    }
  }
  return line + "; " + (attempts.empty() ? "nothing sent" : "sends " + attempts);
}

}  // namespace cairnhub::dispatch
