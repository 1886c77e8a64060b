// The auditor against records forged to break each property: it must see each, and nothing in sound ones.
#include <cstdio>
#include <vector>

#include "cluster/auditor.h"

using namespace cairnhub::cluster;

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
      "(latest %lld ms), slowest news %lld ms, at work %d of %d, too few %d\n",
      what, static_cast<long long>(a.longest_contradiction / kMs), a.out_of_order, a.unequal, a.lost,
      a.lists_back, a.past_grace, static_cast<long long>(a.latest / kMs),
      static_cast<long long>(a.slowest_news / kMs), a.at_work, a.works_done, a.below_least);
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
  // A machine handed over at 100 ms and back at 300, as three voters recorded it.
  const auto work = [](int ms, const char* who, const char* step) {
    return said(ms, who, "work",
                "\"work\":1,\"machine\":\"m\",\"nodes\":\"s-1 s-10\",\"step\":\"" + std::string(step) + "\"");
  };
  const std::vector<Record> course{work(50, "a", "draining"),   work(100, "a", "at work"),
                                   work(120, "b", "at work"),   work(300, "b", "returning"),
                                   work(310, "a", "returning"), work(900, "a", "in service")};
  const auto arrives = [](std::initializer_list<std::pair<int, const char*>> all) {
    Known k;
    for (const auto& [ms, node] : all) k.arrivals.push_back({ms * kMs, "a", node});
    return k;
  };
  show("a machine at work", course, arrives({{90, "s-1"}, {150, "s-2"}, {305, "s-10"}}));
  show("a part came to it", course, arrives({{110, "s-10"}}));
  // Three holders a shard, two to be kept: neighbours out together leave one.
  const auto out = [](int ms, int index, int number, const char* node, const char* step,
                      const char* why = "its turn") {
    return said(ms, "a", "work",
                "\"work\":" + std::to_string(number) + ",\"index\":" + std::to_string(index) +
                    ",\"nodes\":\"" + node + "\",\"step\":\"" + step + "\",\"why\":\"" + why + "\"");
  };
  Known layout;
  layout.cells = 9, layout.width = 3, layout.holders_least = 2;
  show("works far apart", {out(0, 1, 1, "s-1", "draining"), out(5, 2, 2, "s-5", "draining")}, layout);
  show("works that share a shard", {out(0, 1, 1, "s-8", "draining"), out(5, 2, 2, "s-0", "draining")},
       layout);
  show("one after the other",
       {out(0, 1, 1, "s-1", "draining"), out(5, 2, 1, "s-1", "in service"), out(6, 3, 2, "s-2", "draining")},
       layout);
  show("an emergency", {out(0, 1, 1, "s-1", "draining"), out(5, 2, 2, "s-2", "draining", "emergency")},
       layout);
  show("one that never came back", {work(100, "a", "at work")}, arrives({{5000, "s-1"}, {5000, "s-11"}}));
}
