// Plays a script of several processes: fleets PROGRAM SCRIPT [SEED [STATED_MS ['FIELD: VALUE ...']]], where
// fields of the script take the place of its own; or one drawn from a seed: fleets PROGRAM random SEED
// [STATED_MS], and with machines taken out for work: fleets PROGRAM works SEED; or lists alone, shared or as
// before: fleets PROGRAM lists|lists_before SEED. A drawn one ends with 0 only if its audit finds nothing.
// SHOW=1 prints the figures beside the verdicts.
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "cluster/cluster_harness.h"

namespace {

using cairnhub::fleet::Script;
using cairnhub::fleet::Step;

// Faults of processes and links that every drawn play has, by number; false: none of these.
template <class Add, class One>
bool fault(unsigned kind, const Add& add, const One& one) {
  static const struct {
    const char* verb;
    bool of_one;
  } all[] = {{"kill", true}, {"start", false},      {"stand", true}, {"go_on", false},
             {"cut", true},  {"cut_one_way", true}, {"heal", false}, {"lose", true}};
  if (kind >= std::size(all)) return false;
  Step* step = all[kind].of_one ? one(all[kind].verb) : add(all[kind].verb);
  if (all[kind].verb == std::string("lose")) step->set_n(30);
  return true;
}

std::string narrowed(int k, unsigned held_most) {
  return "accord propose --who ann --why r --id r" + std::to_string(k) +
         " | op_type { name: \"all\" held_most: " + std::to_string(held_most) + " }";
}

// A play drawn from a seed: faults of all kinds between processes, proposals and drains under way, then all
// is made well and everything must be as it should.
Script drawn(std::uint64_t seed, unsigned stated_ms) {
  std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
  const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
  Script s;
  s.set_brokers(4 + below(6)), s.set_voters(3), s.set_folders(1), s.set_hosts(12), s.set_seed(seed);
  s.set_stated_ms(stated_ms ? stated_ms : seed % 3 == 0 ? 500 : seed % 3 == 1 ? 2000 : 1000);
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
    const unsigned kind = below(14);
    if (!fault(kind, add, one)) switch (kind) {
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
          one("tell")->set_text(narrowed(k, 6 + below(90)));
        }
      }
    add("wait_ms")->set_n(50 + below(std::min(2000u, s.stated_ms())));
  }
  add("go_on"), add("heal"), add("speak"), add("start");
  add("await_settled")->set_n(1);
  add("await_alive")->set_n(s.brokers() - 1);
  add("load")->set_n(100);
  add("audit");
  return s;
}

// Agents fall silent one after another, as nodes drain and go: with brokers that tell each other, or `alone`,
// as they were before.
Script drawn_lists(std::uint64_t seed, bool alone) {
  std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
  const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
  Script s;
  s.set_brokers(9), s.set_hosts(12), s.set_seed(seed), s.set_alone(alone);
  const auto add = [&](const char* verb) {
    Step* step = s.add_step();
    step->set_do_(verb);
    return step;
  };
  add("start");
  if (!alone) add("await_alive")->set_n(8);
  add("callers");
  add("load")->set_n(500);
  for (unsigned k = 0; k < 4; ++k) {
    add("silent")->add_at(below(9));
    add("wait_ms")->set_n(100 + below(300));
    add(below(3) ? "drain" : "gone")->set_host(k * 3 + below(2));
    add("wait_ms")->set_n(500 + below(1000));
  }
  add("wait_ms")->set_n(5000);
  add("after_drains");
  return s;
}

// The same while machines, nodes and brokers, are taken out for work: all must come back, and nothing may
// reach one at work.
Script drawn_works(std::uint64_t seed) {
  std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
  const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
  Script s;
  const unsigned brokers = 5 + below(5), hosts = 12 + 6 * below(3);
  s.set_brokers(brokers), s.set_voters(3), s.set_folders(2), s.set_hosts(hosts), s.set_seed(seed);
  s.set_stated_ms(1000), s.set_at_once(1 + below(3)), s.set_holders_least(1 + below(2));
  s.set_promise_ms(1000), s.set_deadline_ms(1500), s.set_think_ms(10), s.set_replace_ms(60000);
  if (below(2)) s.set_zones(3), s.set_stated_rate(5000), s.set_dwell_ms(1000);
  const auto add = [&](const char* verb) {
    Step* step = s.add_step();
    step->set_do_(verb);
    return step;
  };
  const auto one = [&](const char* verb) {
    Step* step = add(verb);
    step->add_at(below(brokers));
    return step;
  };
  add("start");
  add("await_alive")->set_n(brokers - 1);
  add("await_settled")->set_n(1);
  add("await_lists");
  add("callers");
  add("load")->set_n(200);
  std::string machines;
  std::vector<unsigned> order(hosts);
  for (unsigned h = 0; h < hosts; ++h) order[h] = h;
  std::shuffle(order.begin(), order.end(), chance);
  const unsigned nodes = 3 + below(3);
  for (unsigned k = 0; k < nodes; ++k) machines += "h" + std::to_string(order[k]) + " ";
  if (below(2)) machines += "b" + std::to_string(below(brokers));
  Step* crew = add("crew");
  crew->set_text(machines), crew->set_n(100 + below(400));
  const unsigned spared = order[nodes];  // a host that faults may take beside the works
  for (int k = 0; k < 8; ++k) {
    const unsigned kind = below(13);
    if (!fault(kind, add, one)) switch (kind) {
        case 8:
          add(below(2) ? "host_dies" : "host_lives")->set_host(spared);
          break;
        case 9:
          one("silent");
          break;
        case 10:
          add(below(2) ? "drain" : "ready")->set_host(spared);
          break;
        case 11:
          add("host_slow")->set_host(order[0]);
          s.mutable_step(s.step_size() - 1)->set_n(below(2) ? 150 : 0);
          break;
        default: {
          one("tell")->set_text(narrowed(k, 6 + below(90)));
        }
      }
    add("wait_ms")->set_n(100 + below(900));
  }
  add("go_on"), add("heal"), add("speak"), add("start");
  add("host_lives")->set_host(spared), add("ready")->set_host(spared);
  add("host_slow")->set_host(order[0]);
  add("crew_asks"), add("crew_back");
  add("start");
  add("await_alive")->set_n(brokers - 1);
  add("load")->set_n(100);
  add("audit");
  return s;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return std::printf("fleets PROGRAM SCRIPT | fleets PROGRAM random SEED\n"), 2;
  const std::string kind = argv[2];
  if (argc > 3 && (kind == "lists" || kind == "lists_before")) {
    char path[4096];
    cairnhub::cluster::Rig rig(realpath(argv[1], path) ? path : argv[1],
                               drawn_lists(std::strtoull(argv[3], nullptr, 10), kind == "lists_before"));
    return rig.play() ? 0 : 1;
  }
  if (argc > 3 && (kind == "random" || kind == "works")) {
    char path[4096];
    const std::uint64_t seed = std::strtoull(argv[3], nullptr, 10);
    const unsigned stated_ms = argc > 4 ? static_cast<unsigned>(std::atoi(argv[4])) : 0;
    cairnhub::cluster::Rig rig(realpath(argv[1], path) ? path : argv[1],
                               kind == "works" ? drawn_works(seed) : drawn(seed, stated_ms));
    return rig.play() && rig.clean() ? 0 : 1;
  }
  std::ifstream in(argv[2], std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  cairnhub::fleet::Script script;
  if (!google::protobuf::TextFormat::ParseFromString(text, &script))
    return std::printf("%s: can't be used\n", argv[2]), 2;
  if (argc > 3) script.set_seed(std::strtoull(argv[3], nullptr, 10));
  if (argc > 4 && std::atoi(argv[4]) > 0) script.set_stated_ms(static_cast<unsigned>(std::atoi(argv[4])));
  if (argc > 5) {
    cairnhub::fleet::Script instead;
    if (!google::protobuf::TextFormat::ParseFromString(argv[5], &instead))
      return std::printf("%s: can't be used\n", argv[5]), 2;
    script.MergeFrom(instead);
  }
  char real[4096];
  cairnhub::cluster::Rig rig(realpath(argv[1], real) ? real : argv[1], script);
  return rig.play() ? 0 : 1;
}
