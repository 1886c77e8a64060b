// The auditor against records forged to break each property: it must see each, and nothing in sound ones.
#include <cstdio>
#include <vector>

#include "fleet/auditor.h"

using namespace cairnhub::fleet;

namespace {

constexpr std::int64_t kMs = 1'000'000;

Record made(const std::string& line) {
  Record r;
  if (!read_record(line, r)) std::printf("can't be read: %s\n", line.c_str());
  return r;
}
Record lease(int ms, const char* who, int low, int high, int until_ms) {
  return made("{\"t\":" + std::to_string(ms * kMs) + ",\"who\":\"" + who +
              "\",\"what\":\"lease\",\"low\":" + std::to_string(low) + ",\"high\":" + std::to_string(high) +
              ",\"until\":" + std::to_string(until_ms * kMs) + "}");
}
Record said(int ms, const char* who, const char* what, const std::string& more = "") {
  return made("{\"t\":" + std::to_string(ms * kMs) + ",\"who\":\"" + who + "\",\"what\":\"" + what + "\"" +
              (more.empty() ? "" : "," + more) + "}");
}
void show(const char* what, const std::vector<Record>& records, const Known& known = {}) {
  const Audit a = audit(records, known);
  std::printf(
      "%s: contradiction %lld ms, out of order %d, unequal %d, lost %d, lists back %d, past grace %d "
      "(latest %lld ms), slowest news %lld ms\n",
      what, static_cast<long long>(a.longest_contradiction / kMs), a.out_of_order, a.unequal, a.lost,
      a.lists_back, a.past_grace, static_cast<long long>(a.latest / kMs),
      static_cast<long long>(a.slowest_news / kMs));
}

}  // namespace

int main() {
  show("sound", {lease(0, "a", 1, 1, 100), lease(10, "b", 1, 1, 110), lease(50, "a", 1, 2, 150),
                 lease(60, "b", 1, 2, 160), lease(90, "a", 2, 2, 190), lease(95, "b", 2, 2, 195)});
  show("one goes on under the older", {lease(0, "a", 1, 1, 100), lease(10, "b", 1, 1, 110),
                                       lease(50, "a", 1, 2, 150), lease(90, "a", 2, 2, 190)});
  show("it lapsed in time", {lease(0, "a", 1, 1, 100), lease(10, "b", 1, 1, 85), lease(50, "a", 1, 2, 150),
                             lease(90, "a", 2, 2, 190)});
  show("it died in time", {lease(0, "a", 1, 1, 100), lease(10, "b", 1, 1, 110), lease(50, "a", 1, 2, 150),
                           said(70, "b", "starts"), lease(90, "a", 2, 2, 190)});
  show("three, pairwise by pairs",
       {lease(0, "a", 1, 2, 100), lease(0, "b", 2, 3, 100), lease(0, "c", 3, 3, 40)});
  show("applied twice", {said(0, "a", "applied", "\"kind\":1,\"number\":2,\"id\":\"x\",\"index\":5"),
                         said(1, "a", "applied", "\"kind\":1,\"number\":2,\"id\":\"x\",\"index\":5")});
  show("applied anew in another life",
       {said(0, "a", "applied", "\"kind\":1,\"number\":2,\"id\":\"x\",\"index\":5"), said(1, "a", "starts"),
        said(2, "a", "applied", "\"kind\":1,\"number\":2,\"id\":\"x\",\"index\":5")});
  show("two proposals under one number",
       {said(0, "a", "applied", "\"kind\":1,\"number\":2,\"id\":\"x\",\"index\":5"),
        said(1, "b", "applied", "\"kind\":1,\"number\":2,\"id\":\"y\",\"index\":5")});
  Known told;
  told.accepted[2] = "x";
  told.accepted[3] = "z";
  show("one accepted is lost", {said(0, "a", "applied", "\"kind\":1,\"number\":2,\"id\":\"x\",\"index\":5")},
       told);
  show("a list goes back", {said(0, "a", "list", "\"revision\":7"), said(1, "a", "list", "\"revision\":6")});
  Known parts;
  parts.arrivals = {
      {100 * kMs, "a", "s-1"}, {240 * kMs, "b", "s-1"}, {270 * kMs, "b", "s-1"}, {900 * kMs, "c", "s-1"}};
  show("parts past the grace",
       {said(10, "a", "told", "\"node\":\"s-1\",\"state\":\"draining\""),
        said(15, "b", "heard", "\"node\":\"s-1\",\"state\":\"draining\"")},
       parts);
  show("the same, before the node came back",
       {said(10, "a", "told", "\"node\":\"s-1\",\"state\":\"draining\""),
        said(800, "a", "ready", "\"node\":\"s-1\""),
        said(15, "b", "heard", "\"node\":\"s-1\",\"state\":\"draining\""),
        said(260, "b", "ready", "\"node\":\"s-1\"")},
       {{{100 * kMs, "a", "s-1"}, {790 * kMs, "a", "s-1"}, {900 * kMs, "a", "s-1"}, {270 * kMs, "b", "s-1"}},
        {},
        250 * kMs});
  Record torn;
  std::printf("a torn line is read: %s\n",
              read_record("{\"t\":12,\"who\":\"a\",\"what\":\"lea", torn) ? "yes" : "no");
}
