#include "base/log.h"

#include <cstdarg>
#include <cstdio>
#include <map>
#include <string>

#include "base/clock.h"

namespace cairnhub {

void log(const char* kind, const char* format, ...) {
  constexpr int kLinesASecond = 5;
  struct Kind {
    Time since = 0;
    int lines = 0, held_back = 0;
  };
  static std::map<std::string, Kind> kinds;
  Kind& k = kinds[kind];
  const Time at = now();
  if (at - k.since >= kSecond) k.since = at, k.lines = 0;
  if (k.lines++ >= kLinesASecond) {
    ++k.held_back;
    return;
  }
  char line[400];
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  for (char* c = line; *c; ++c)  // what clients and nodes send may stand in it
    if (*c < ' ' && *c >= 0) *c = '?';
  if (k.held_back > 0)
    std::fprintf(stderr, "%s: %s (%d more held back)\n", kind, line, k.held_back);
  else
    std::fprintf(stderr, "%s: %s\n", kind, line);
  k.held_back = 0;
}

}  // namespace cairnhub
