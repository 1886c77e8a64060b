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

Trace::Trace(Names names) : names_(std::move(names)) {
  const char* asked = std::getenv("CAIRNHUB_TRACE");
  on_ = asked != nullptr && std::strcmp(asked, "1") == 0;
}

void Trace::ended(const Query& q, const char* how, Time come_back) const {
  if (!on_) return;
  std::fprintf(stderr, "%s\n", trace_line(q, how, come_back, now(), names_).c_str());
}

std::string trace_line(const Query& q, const char* how, Time come_back, Time at, const Trace::Names& names) {
  std::string line = "multiget ";
  for (const char c : q.name) line += c < ' ' && c >= 0 ? '?' : c;  // the client's bytes
  line += " (op type " + std::to_string(q.op_type) + ", " + (q.client_retry ? "a later try" : "a first try") +
          ", " + ms(q.left) + " left, " + std::to_string(q.parts.size()) + " parts): " + how;
  line += " after " + ms(at - q.arrived);
  if (come_back > 0) line += ", come back in " + ms(come_back);
  std::string sends;
  for (std::size_t i = 0; i < q.parts.size(); ++i)
    for (const auto& e : q.parts[i]->attempts) {
      const std::string name = names ? names(e->node) : std::string();
      sends += (sends.empty() ? "" : ", ") + std::to_string(i) + "." + std::to_string(e->index) + " at " +
               (name.empty() ? "node " + std::to_string(e->node) : name) + " ";
      sends += e->ended ? std::string(outcome_name(e->how)) + " after " + ms(e->ended_at - e->sent_at)
                        : "out for " + ms(at - e->sent_at);
    }
  return line + "; " + (sends.empty() ? "nothing sent" : "sends " + sends);
}

}  // namespace cairnhub::dispatch
