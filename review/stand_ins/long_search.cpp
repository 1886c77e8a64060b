// Three brokers that agree, with upkeep. A host holds a part of a search; the broker that sent it stands
// still while the host's machine is taken out. Looks whether the machine is handed over while the part is out
// there.
#include "fleet.h"

using namespace review;

int main(int argc, char** argv) {
  set_up(argc, argv);
  HeldPart part(12);
  const Fleet fleet(3, 15000);
  const int leader = fleet.leader();
  if (leader < 0) finish(kCouldNotRun, "no leader");
  pause(2);  // nodes warm, list and roster known to the leader
  const int victim = (leader + 1) % 3;
  record("b%d leads, b%d gets the search", leader, victim);
  part.await(victim);
  if (!fleet.run("upkeep request m0 --node s-0 --for 1h --who ann --why disks --id one", leader)) {
    finish(kCouldNotRun, "the work was not taken");
  }
  record("the operator asks for machine m0, which carries s-0");
  std::string shown;
  bool stands = false;
  for (const double until = at() + 30; at() < until; pause(0.01)) {
    const std::string works = fleet.operators(leader, "/upkeep");
    const std::string step = member(works, "step"), waits = member(works, "waits");
    if (step + waits != shown) {
      record("upkeep status at b%d: %s; waits: %s", leader, step.c_str(), waits.c_str());
    }
    shown = step + waits;
    if (trouble && !stands && waits == "not known to be done there: b" + std::to_string(victim)) {
      if (part.is_over()) finish(kCouldNotRun, "the part ended too early");
      kill(fleet.pid(victim), SIGSTOP);
      record("b%d stands still (SIGSTOP)", victim);
      stands = true;
    }
    if (step != "at work") continue;
    if (trouble && !stands) finish(kCouldNotRun, "handed over before its broker stood still");
    if (part.is_over()) finish(kHeld, "the machine was handed over once the part had ended");
    record("m0 is at work, and s-0 still has the part, begun %.2f s ago, of a broker that waits %s ms",
           part.age(), part.list().c_str());
    finish(kBroken, "a machine was handed over with a part out there");
  }
  if (shown.empty()) finish(kCouldNotRun, "the leader shows no works");
  finish(kHeld, "the machine was not handed over within 30 s");
}
