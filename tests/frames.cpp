// The frame codec and settings on the wire page's worked examples and on malformed input. Prints one line
// each; CTest diffs them with tests/traces/frames.txt.
#include <cstdio>
#include <string>

#include "simulator_adapter/simulator_host.h"

using namespace cairnhub;

namespace {

std::string bytes(const std::string& hex) {  // spaces are skipped; +N stands for N zero bytes
  std::string out;
  for (std::size_t i = 0; i < hex.size();) {
    if (hex[i] == ' ') {
      ++i;
    } else if (hex[i] == '+') {
      out.append(std::stoul(hex.substr(i + 1)), '\0');
      i = hex.find(' ', i) == std::string::npos ? hex.size() : hex.find(' ', i);
    } else {
      out.push_back(static_cast<char>(std::stoul(hex.substr(i, 2), nullptr, 16)));
      i += 2;
    }
  }
  return out;
}

std::string hex(const std::string& data) {
  std::string out;
  char two[3];
  for (const unsigned char c : data) std::snprintf(two, 3, "%02x", c), out += two;
  return out;
}

std::string le32(std::size_t v) {
  std::string out;
  for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>(v >> (8 * i)));
  return out;
}

// A batch of these records and this tail, its header filled in; the clock is the wire page's.
std::string batch(const std::string& records, const std::string& tail = "") {
  return le32(records.size() / 48) + le32(16 + records.size() + tail.size()) + bytes("508d976e12d32040") +
         records + tail;
}

void show(const char* what, simulator_adapter::SimulatorHost& host, const std::string& frame) {
  try {
    std::printf("%s: %s\n", what, hex(host.process_batch(frame)).c_str());
  } catch (const std::exception& e) {
    std::printf("%s: %s\n", what, e.what());
  }
}

const std::string kSettings =
    "balancers=2\nclasses.count=1\nclasses.0.promise=1.5\nclasses.0.deadline=4.0\nunknown.key=x\n"
    "family-info.positions=12\nfamily-info.width=3\nload-info.fields=avg_ms,rps,active\n";
const std::string kAbout3 = bytes("0b 03000000 +43"),
                  kArrival = bytes(
                      "02 c4913a5d 0000 0100 00005643 640ad2557c3bf091 00 fa7e6abc7493883f 0000003e 00000000 "
                      "b81e85eb51b8ce3f +2");

std::string init(
    const std::string& settings) {  // Init, a Directory of the page's two nodes, and the cached list
  const std::string nodes = bytes("0a124a07 c32b 01 0000000000000000 00 0000803f 0000 0000") +
                            bytes("0a9011f2 ec2b 01 6666666666661840 00 0000c03f 0000 0000");
  const std::string records = kAbout3 + bytes("00 0700000000000000 00000000") + le32(settings.size()) +
                              bytes("+31") + bytes("0a 00000000") + le32(settings.size()) + le32(2) +
                              bytes("+35") + bytes("01 29000000 00 00000000 +38");
  return batch(records, settings + nodes);
}

void settings(const char* what, const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  simulator_adapter::SimulatorHost host;
  show(what, host, init(text));
}

}  // namespace

int main() {
  simulator_adapter::SimulatorHost host;
  show("empty batch", host, batch(""));
  show("start", host, init(kSettings));
  // The page's arrival holds weight 0.125 and shard 0: a part whose multiget is unknown is skipped.
  show("part without its multiget", host, batch(kAbout3 + kArrival));
  std::string query = kArrival, part = kArrival;
  query.replace(30, 8, bytes("0000803f 000080bf"));
  part.replace(1, 1, "\x01").replace(30, 4, bytes("0000803f"));
  show("multiget of one part", host, batch(kAbout3 + query + part));
  const std::string back =
      bytes("04 01913a5d 00 0a124a07 c32b 0a00 8b6ce7fba9f1923f 01 03 00006841 00000c43 0000e040 +12");
  std::string back2 = back;
  back2.replace(6, 6, bytes("0a9011f2 ec2b"));
  show("its part returned", host, batch(kAbout3 + back));
  show("the same again, late", host, batch(kAbout3 + back2));
  show("abandoned when gone", host, batch(kAbout3 + bytes("05 c4913a5d +43")));
  show("exit and init", host, [] {
    std::string f = init(kSettings);
    return batch(kAbout3 + bytes("09 +47") + f.substr(16 + 48, 3 * 48), f.substr(16 + 4 * 48));
  }());
  show("short header", host, bytes("00000000"));
  show("length not that of the frame", host, batch("") + "x");
  show("more records than bytes", host, bytes("09000000 10000000 508d976e12d32040"));
  show("clock not a number", host, bytes("00000000 10000000 000000000000f87f"));
  show("no About", host, batch(kArrival));
  show("unknown code", host, batch(kAbout3 + bytes("2a +47")));
  show("tail offset out of range", host, batch(bytes("0a 00000000 ffffffff 02000000 +35")));
  show("tail length out of range", host, batch(bytes("0a 00000000 00000000 ffffffff +35")));
  show("list without Directory", host, batch(kAbout3 + bytes("01 29000000 00 09000000 +38")));
  show("unknown outcome", host, batch(kAbout3 + std::string(back).replace(12, 2, bytes("0b00"))));
  settings("needed setting missing", "classes.0.promise=1.5\n", "");
  settings("unparsable setting", "promise=1.5", "promise=soon");
  settings("infinite setting", "deadline=4.0", "deadline=inf");
  settings("cells out of range", "positions=12", "positions=0");
  settings("cells by the thousand", "positions=12", "positions=65000");
  settings("brokers by the thousand", "balancers=2", "balancers=50000");
  settings("no brokers", "balancers=2", "balancers=0");
}
