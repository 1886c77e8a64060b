// Feeds the simulator host the worked examples of the protocol's documentation and malformed batches and
// settings. Prints one line for each: the reply in hex, or the error. CTest compares them with
// tests/traces/frames.txt.
#include <cstdio>
#include <string>

#include "simulator_adapter/simulator_host.h"

using namespace cairnhub;

namespace {

// Converts hex digits to bytes. Spaces are skipped; +N stands for N zero bytes.
std::string bytes(const std::string& hex) {
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
  char digits[3];
  for (const unsigned char c : data) {
    std::snprintf(digits, sizeof digits, "%02x", c);
    out += digits;
  }
  return out;
}

std::string le32(std::size_t v) {
  std::string out;
  for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>(v >> (8 * i)));
  return out;
}

// Returns a batch frame with these records and this tail. Its clock is that of the documentation's example.
std::string batch(const std::string& records, const std::string& tail = "") {
  return le32(records.size() / 48) + le32(16 + records.size() + tail.size()) + bytes("508d976e12d32040") +
         records + tail;
}

void print_result(const char* title, simulator_adapter::SimulatorHost& host, const std::string& frame) {
  try {
    std::printf("%s: %s\n", title, hex(host.process_batch(frame)).c_str());
  } catch (const std::exception& e) {
    std::printf("%s: %s\n", title, e.what());
  }
}

const std::string kSettings =
    "balancers=2\nclasses.count=1\nclasses.0.promise=1.5\nclasses.0.deadline=4.0\nunknown.key=x\n"
    "family-info.positions=12\nfamily-info.width=3\nload-info.fields=avg_ms,rps,active\n";
const std::string kAbout3 = bytes("0b 03000000 +43");
const std::string kArrival = bytes(
    "02 c4913a5d 0000 0100 00005643 640ad2557c3bf091 00 fa7e6abc7493883f 0000003e 00000000 "
    "b81e85eb51b8ce3f +2");

// Returns a batch with an Init event, a Directory of the documentation's two nodes, and a Membership event
// that refers to this Directory.
std::string init(const std::string& settings) {
  const std::string nodes = bytes("0a124a07 c32b 01 0000000000000000 00 0000803f 0000 0000") +
                            bytes("0a9011f2 ec2b 01 6666666666661840 00 0000c03f 0000 0000");
  const std::string records = kAbout3 + bytes("00 0700000000000000 00000000") + le32(settings.size()) +
                              bytes("+31") + bytes("0a 00000000") + le32(settings.size()) + le32(2) +
                              bytes("+35") + bytes("01 29000000 00 00000000 +38");
  return batch(records, settings + nodes);
}

// Starts a broker with kSettings after replacing `from` by `to`.
void print_result_with_settings(const char* title, const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  simulator_adapter::SimulatorHost host;
  print_result(title, host, init(text));
}

}  // namespace

int main() {
  simulator_adapter::SimulatorHost host;
  print_result("empty batch", host, batch(""));
  print_result("start", host, init(kSettings));
  // The documentation's example arrival has weight 0.125 and shard 0. A shard request without its request is
  // ignored.
  print_result("part without its multiget", host, batch(kAbout3 + kArrival));
  std::string request = kArrival;
  std::string shard_request = kArrival;
  request.replace(30, 8, bytes("0000803f 000080bf"));
  shard_request.replace(1, 1, "\x01").replace(30, 4, bytes("0000803f"));
  print_result("multiget of one part", host, batch(kAbout3 + request + shard_request));
  const std::string returned =
      bytes("04 01913a5d 00 0a124a07 c32b 0a00 8b6ce7fba9f1923f 01 03 00006841 00000c43 0000e040 +12");
  std::string returned_elsewhere = returned;
  returned_elsewhere.replace(6, 6, bytes("0a9011f2 ec2b"));
  print_result("its part returned", host, batch(kAbout3 + returned));
  print_result("the same again, late", host, batch(kAbout3 + returned_elsewhere));
  print_result("abandoned when gone", host, batch(kAbout3 + bytes("05 c4913a5d +43")));
  print_result("exit and init", host, [] {
    std::string f = init(kSettings);
    return batch(kAbout3 + bytes("09 +47") + f.substr(16 + 48, 3 * 48), f.substr(16 + 4 * 48));
  }());
  print_result("short header", host, bytes("00000000"));
  print_result("length not that of the frame", host, batch("") + "x");
  print_result("more records than bytes", host, bytes("09000000 10000000 508d976e12d32040"));
  print_result("clock not a number", host, bytes("00000000 10000000 000000000000f87f"));
  print_result("no About", host, batch(kArrival));
  print_result("unknown code", host, batch(kAbout3 + bytes("2a +47")));
  print_result("tail offset out of range", host, batch(bytes("0a 00000000 ffffffff 02000000 +35")));
  print_result("tail length out of range", host, batch(bytes("0a 00000000 00000000 ffffffff +35")));
  print_result("list without Directory", host, batch(kAbout3 + bytes("01 29000000 00 09000000 +38")));
  print_result("unknown outcome", host, batch(kAbout3 + std::string(returned).replace(12, 2, bytes("0b00"))));
  print_result_with_settings("needed setting missing", "classes.0.promise=1.5\n", "");
  print_result_with_settings("unparsable setting", "promise=1.5", "promise=soon");
  print_result_with_settings("infinite setting", "deadline=4.0", "deadline=inf");
  print_result_with_settings("cells out of range", "positions=12", "positions=0");
  print_result_with_settings("cells by the thousand", "positions=12", "positions=65000");
  print_result_with_settings("brokers by the thousand", "balancers=2", "balancers=50000");
  print_result_with_settings("no brokers", "balancers=2", "balancers=0");
}
