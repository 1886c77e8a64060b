#include "frontend/platform/response_writer.h"

#include <cstdio>

namespace cairnhub::frontend::platform {

namespace {

// Appends the bytes as the endpoint returned them, escaping only bytes that JSON text doesn't allow.
void append_escaped(std::string& out, std::string_view bytes) {
  for (const char c : bytes) {
    if (c == '"' || c == '\\') {
      out.append(1, '\\').append(1, c);
    } else if (static_cast<unsigned char>(c) < ' ') {
      char escape[8];
      std::snprintf(escape, sizeof escape, "\\u%04x", c);
      out += escape;
    } else {
      out += c;
    }
  }
}

class PlatformCallbacks : public dispatch::RequestCallbacks {
 public:
  explicit PlatformCallbacks(std::unique_ptr<dispatch::Responder> responder)
      : responder_(std::move(responder)) {}
  void on_response(const dispatch::Request& request, bool is_complete) override {
    std::string body = std::string("{\"finished\":") + (is_complete ? "true" : "false") + ",\"found\":[";
    bool is_first = true;
    for (const auto& shard_request : request.shard_requests) {
      if (!shard_request->value) continue;
      body += is_first ? "{\"bucket\":" : ",{\"bucket\":";
      body += std::to_string(shard_request->shard) + ",\"item\":\"";
      append_escaped(body, *shard_request->value);
      body += "\"}";
      is_first = false;
    }
    responder_->respond(200, "", body + "]}");
  }
  void on_rejected(const dispatch::Request&, Time retry_after) override {
    responder_->respond(503, retry_after_text(retry_after), "not now; trying again is harmless\n");
  }
  void on_failed(const dispatch::Request&) override {
    responder_->respond(500, "", "given up; it may have taken effect\n");
  }

 private:
  std::unique_ptr<dispatch::Responder> responder_;
};

}  // namespace

std::unique_ptr<dispatch::RequestCallbacks> make_request_callbacks(
    std::unique_ptr<dispatch::Responder> responder) {
  return std::make_unique<PlatformCallbacks>(std::move(responder));
}

std::string retry_after_text(Time retry_after) {
  char text[32] = "";
  if (retry_after > 0) std::snprintf(text, sizeof text, "%.3f", seconds(retry_after));
  return text;
}

}  // namespace cairnhub::frontend::platform
