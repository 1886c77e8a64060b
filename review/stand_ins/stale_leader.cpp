// Five brokers that agree, with upkeep. A work on a machine that carries b3 is draining when the leader
// stands still; the next leader takes the operator's cancel. Looks whether b3 is stopped for the cancelled
// work.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kTries = 4;  // with a new work each

bool has_ended(pid_t pid) { return waitpid(pid, nullptr, WNOHANG) != 0; }

void show_log(const std::string& name) {
  std::ifstream log(folder + "/" + name + ".log");
  for (std::string line; std::getline(log, line);) record("  log of %s: %s", name.c_str(), line.c_str());
}

// The works as a leader shows them, from the one with this number on.
std::string work_at(const Fleet& fleet, int leader, int number) {
  const std::string works = fleet.operators(leader, "/upkeep");
  const auto found = works.find("\"number\":" + std::to_string(number) + ",");
  return found == std::string::npos ? "" : works.substr(found);
}

}  // namespace

int main(int argc, char** argv) {
  set_up(argc, argv);
  HeldPart part(1.2);
  const Fleet fleet(5, 0);
  const pid_t b3 = fleet.pid(3);
  for (int work = 1; work <= kTries; ++work) {
    const std::string number = std::to_string(work);
    const int leader = fleet.leader();
    if (leader < 0) finish(kCouldNotRun, "no leader");
    pause(2);  // nodes warm, list and roster known to the leader
    record("b%d leads", leader);
    part.await(4);
    if (!fleet.run(
            "upkeep request m0 --node s-0 --broker b3 --for 1h --who ann --why disks --id ask" + number, 4)) {
      finish(kCouldNotRun, "the work was not taken");
    }
    record("the operator asks for machine m0, which carries s-0 and b3: work %d", work);
    std::string waits;
    for (const double until = at() + 5; at() < until; pause(0.01)) {
      waits = member(work_at(fleet, leader, work), "waits");
      if (waits == "not known to be done there: b4" || part.is_over()) break;
    }
    record("upkeep status at b%d: waits: %s", leader, waits.c_str());
    if (waits != "not known to be done there: b4" || part.is_over()) finish(kCouldNotRun, "it doesn't drain");
    int second = leader;
    if (trouble) {
      kill(fleet.pid(leader), SIGSTOP);
      record("b%d stands still (SIGSTOP)", leader);
      second = fleet.leader(leader);
      if (second < 0) finish(kCouldNotRun, "no second leader");
      record("b%d leads", second);
    }
    if (!fleet.run("upkeep cancel " + number + " --who ann --why later --id cancel" + number, 4)) {
      finish(kCouldNotRun, "the cancel was not taken");
    }
    const std::string shown = work_at(fleet, second, work);
    record("the operator cancels work %d; status at b%d: %s, %s", work, second, member(shown, "step").c_str(),
           member(shown, "last").c_str());
    if (member(shown, "step") != "cancelled") finish(kCouldNotRun, "the work is not cancelled");
    pause(2);
    if (has_ended(b3)) finish(trouble ? kCouldNotRun : kBroken, "b3 ended before the first leader went on");
    if (trouble) {
      kill(fleet.pid(leader), SIGCONT);
      record("b%d goes on (SIGCONT)", leader);
    }
    for (const double until = at() + 4; at() < until; pause(0.02)) {
      if (!has_ended(b3)) continue;
      record("b3 has ended");
      show_log("b3");
      finish(kBroken, "a leader that had been replaced stopped a broker for a work that was cancelled");
    }
  }
  if (ask(kClients + 3, "GET", "/_health", "", "", 2).status != 200) finish(kBroken, "b3 takes no clients");
  finish(kHeld, "b3 goes on");
}
