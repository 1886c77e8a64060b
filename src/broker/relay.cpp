#include "broker/relay.h"

#include <cstdio>

namespace cairnhub::broker::relay {

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

}  // namespace

void answer(Query& q, bool whole) {
  std::string body = std::string("{\"finished\":") + (whole ? "true" : "false") + ",\"found\":[";
  bool first = true;
  for (const auto& p : q.parts) {
    if (!p->value) continue;
    body += first ? "{\"bucket\":" : ",{\"bucket\":";
    body += std::to_string(p->shard) + ",\"item\":\"";
    append_text(body, *p->value);
    body += "\"}";
    first = false;
  }
  q.client->answer(200, "", body + "]}");
}

void push_back(Query& q, Time come_back) {
  char seconds_text[32] = "";
  if (come_back > 0) std::snprintf(seconds_text, sizeof seconds_text, "%.3f", seconds(come_back));
  q.client->answer(503, seconds_text, "not now; trying again is harmless\n");
}

void fail(Query& q) { q.client->answer(500, "", "given up; it may have taken effect\n"); }

}  // namespace cairnhub::broker::relay
