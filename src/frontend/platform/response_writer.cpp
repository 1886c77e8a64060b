#include "frontend/platform/response_writer.h"

#include <cstdio>

namespace cairnhub::frontend::platform {

namespace {

// The bytes as the node gave them; only what can't stand in JSON text is escaped.
void append_text(std::string& out, std::string_view bytes) {
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

class PlatformClient : public dispatch::RequestCallbacks {
 public:
  explicit PlatformClient(std::unique_ptr<dispatch::Responder> reply) : reply_(std::move(reply)) {}
  void on_response(const dispatch::Request& q, bool whole) override {
    std::string body = std::string("{\"finished\":") + (whole ? "true" : "false") + ",\"found\":[";
    bool first = true;
    for (const auto& p : q.shard_requests) {
      if (!p->value) continue;
      body += first ? "{\"bucket\":" : ",{\"bucket\":";
      body += std::to_string(p->shard) + ",\"item\":\"";
      append_text(body, *p->value);
      body += "\"}";
      first = false;
    }
    reply_->respond(200, "", body + "]}");
  }
  void on_rejected(const dispatch::Request&, Time come_back) override {
    reply_->respond(503, come_back_text(come_back), "not now; trying again is harmless\n");
  }
  void on_failed(const dispatch::Request&) override {
    reply_->respond(500, "", "given up; it may have taken effect\n");
  }

 private:
  std::unique_ptr<dispatch::Responder> reply_;
};

}  // namespace

std::unique_ptr<dispatch::RequestCallbacks> client(std::unique_ptr<dispatch::Responder> reply) {
  return std::make_unique<PlatformClient>(std::move(reply));
}

std::string come_back_text(Time come_back) {
  char text[32] = "";
  if (come_back > 0) std::snprintf(text, sizeof text, "%.3f", seconds(come_back));
  return text;
}

}  // namespace cairnhub::frontend::platform
