// The one place that writes log lines: fprintf to standard error, rate-limited by kind.
#pragma once
#include <exception>

namespace cairnhub {

// `kind` is a literal: one word that stands first on the line and is explained in docs/on-call.md. Past a few
// lines a second of one kind, lines are held back; the next one says how many.
[[gnu::format(printf, 2, 3)]] void log(const char* kind, const char* format, ...);

// Stops an exception at the edge of a libevent callback. Danger: one that crosses C code ends the process.
template <class F>
void guarded(const char* where, F f) noexcept {
  try {
    f();
  } catch (const std::exception& e) {
    log("bug", "%s: %s", where, e.what());
  }
}

}  // namespace cairnhub
