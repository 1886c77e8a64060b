// Plays a script of several processes: fleets PROGRAM SCRIPT. SHOW=1 prints the figures beside the verdicts.
#include <google/protobuf/text_format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "fleet/rig.h"

namespace {

using cairnhub::fleet::Script;
using cairnhub::fleet::Step;

// A play drawn from a seed: faults of all kinds between processes, proposals and drains under way, then all
// is made well and everything must be as it should.
Script drawn(std::uint64_t seed) {
  std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
  const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
  Script s;
  s.set_brokers(4 + below(4)), s.set_voters(3), s.set_folders(1), s.set_hosts(6), s.set_seed(seed);
  s.set_stated_ms(seed % 3 == 0 ? 500 : seed % 3 == 1 ? 2000 : 1000);
  const auto add = [&](const char* verb) {
    Step* step = s.add_step();
    step->set_do_(verb);
    return step;
  };
  const auto one = [&](const char* verb) {
    Step* step = add(verb);
    step->add_at(below(s.brokers()));
    return step;
  };
  add("start");
  add("await_settled")->set_n(1);
  add("callers");
  Step* ground = add("run");
  ground->set_text("accord propose --who ann --why g --ground | op_type { name: \"all\" held_most: 5 }");
  ground->add_at(0);
  add("await_kept")->set_n(2);
  for (int k = 0; k < 14; ++k) {
    switch (below(14)) {
      case 0:
        one("kill");
        break;
      case 1:
        add("start");
        break;
      case 2:
        one("stand");
        break;
      case 3:
        add("go_on");
        break;
      case 4:
        one("cut");
        break;
      case 5:
        one("cut_one_way");
        break;
      case 6:
        add("heal");
        break;
      case 7:
        one("lose")->set_n(30);
        break;
      case 8:
        one("twice")->set_n(30);
        break;
      case 9:
        one("reorder")->set_n(50);
        break;
      case 10:
        one("silent");
        break;
      case 11: {
        Step* d = one("drain");
        d->set_host(below(2));
        break;
      }
      case 12:
        one("break_after")->set_n(200);
        break;
      default: {
        // Told in the background: whether it is taken is not known, and need not be.
        Step* p = one("tell");
        p->set_text("accord propose --who ann --why r --id r" + std::to_string(k) +
                    " | op_type { name: \"all\" held_most: " + std::to_string(6 + below(90)) + " }");
      }
    }
    add("wait_ms")->set_n(50 + below(static_cast<unsigned>(s.stated_ms())));
  }
  add("go_on"), add("heal"), add("speak"), add("start");
  add("await_settled")->set_n(1);
  add("await_alive")->set_n(s.brokers() - 1);
  add("load")->set_n(100);
  add("audit");
  return s;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return std::printf("fleets PROGRAM SCRIPT | fleets PROGRAM random SEED\n"), 2;
  if (argc > 3 && std::string(argv[2]) == "random") {
    char path[4096];
    cairnhub::fleet::Rig rig(realpath(argv[1], path) ? path : argv[1],
                             drawn(std::strtoull(argv[3], nullptr, 10)));
    return rig.play() ? 0 : 1;
  }
  std::ifstream in(argv[2], std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  cairnhub::fleet::Script script;
  if (!google::protobuf::TextFormat::ParseFromString(text, &script))
    return std::printf("%s: can't be used\n", argv[2]), 2;
  if (argc > 3) script.set_seed(std::strtoull(argv[3], nullptr, 10));
  char real[4096];
  cairnhub::fleet::Rig rig(realpath(argv[1], real) ? real : argv[1], script);
  return rig.play() ? 0 : 1;
}
