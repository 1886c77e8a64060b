// Operators withhold many nodes by one rules file, which is taken. Then all brokers are restarted as planned.
// All must come up, and agree again.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr int kBrokers = 3;
constexpr int kNames = 2600;     // of nodes; the pages know fleets of 3,200
constexpr int kFewNames = 100;   // without the disruption
constexpr int kReadyMs = 30000;  // "takes over 30 s to be ready" breaks the gate

const json kSettings{
    {"balancers", kBrokers},
    {"tick", 0.005},
    {"classes", json::array({{{"name", "lookup"}, {"promise", 1.0}, {"deadline", 2}, {"effect", "free"}}})},
    {"family-info",
     {{"positions", kHosts}, {"ranges", kHosts}, {"width", 3}, {"need-by-class", {1}}, {"min-share", {1}}}},
    {"ceilings",
     {{"cancel", true},
      {"second-copies", true},
      {"try-limit", 3},
      {"multiplex", 32},
      {"connect-timeout", 0.25},
      {"keepalive", 15}}}};

bool rule_holds() {
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<FramedHost>> hosts;
  std::vector<Member> members;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "s-" + std::to_string(i);
    hosts.push_back(std::make_unique<FramedHost>(
        name, [](const Part&) { return std::optional<std::string>("5be2a07c"); }));
    members.push_back({name, hosts.back()->port(), i});
  }
  Discovery discovery;
  discovery.set(1, members);
  Fleet fleet(folder, kBrokers, kBrokers);
  for (int i = 0; i < kBrokers; ++i) {
    fleet.lay_out(i, discovery.port(), kSettings, "stated_time_ms: 1000", "");
  }
  fleet.init_voters();
  for (int i = 0; i < kBrokers; ++i) fleet.start(i);
  for (int i = 0; i < kBrokers; ++i) await_ready(fleet[i].listen);
  need(20000, "the brokers never agreed", [&] { return fleet.is_settled() && fleet.leader() >= 0; });
  const auto show = [&] {
    for (int i = 0; i < kBrokers; ++i) {
      json status = fleet.fetch(i, "/accord/status");
      if (!status.is_object()) {
        note("b%d doesn't answer operators", i);
        continue;
      }
      note("b%d acts on %s, ground %s, next %s, waits for %s; lease %s ms", i,
           status["acts_on"].dump().c_str(), status["ground"].dump().c_str(),
           status["ground_next"].dump().c_str(), status["ground_waits_for"].dump().c_str(),
           status["lease_left_ms"].dump().c_str());
    }
  };

  const int names = has_trouble() ? kNames : kFewNames;
  std::string rules = "withheld_node: [";
  for (int i = 0; i < names; ++i) {
    char name[32];
    std::snprintf(name, sizeof name, "%s\"s-%08x\"", i ? "," : "", 0x5be20000 + i);
    rules += name;
  }
  rules += "]\n";
  note("rules of %zu bytes with %d names", rules.size(), names);
  write_file(folder / "rules.txtpb", rules);
  const auto [status, said] = fleet.command(
      0, "accord propose " + (folder / "rules.txtpb") + " --ground --who ann --why \"retired nodes\"");
  if (status != 0) {
    note("refused: that leaves everything as it was");
    return true;
  }
  sleep_ms(5000);
  show();
  write_file(folder / "none.txtpb", "\n");
  fleet.command(0, "accord propose " + (folder / "none.txtpb") + " --ground --who ann --why \"taken back\"");
  sleep_ms(1000);

  for (int i = 0; i < kBrokers; ++i) fleet[i].process->signal(SIGTERM);
  for (int i = 0; i < kBrokers; ++i) fleet[i].process->await_end(10000);
  for (int i = 0; i < kBrokers; ++i) fleet.start(i);
  bool are_ready = true;
  const double started = now_ms();
  for (int i = 0; i < kBrokers; ++i) {
    const bool is_ready = wait_for(std::max(0, static_cast<int>(kReadyMs - (now_ms() - started))), [&] {
      if (!fleet[i].process->is_running()) return true;
      HttpClient client(fleet[i].listen);
      const auto answer = client.get("/_health", 500);
      return answer && answer->status() == 200;
    });
    if (!is_ready || !fleet[i].process->is_running()) {
      are_ready = false;
      note("b%d IS NOT READY after its restart", i);
      std::ifstream log(folder / (fleet[i].name + ".log"));
      for (std::string line; std::getline(log, line);) {
        if (line.rfind("cairnhub:", 0) == 0) note("b%d's log: %s", i, line.substr(0, 300).c_str());
      }
    }
  }
  const bool agree = wait_for(20000, [&] { return fleet.is_settled() && fleet.leader() >= 0; });
  show();
  note("all ready: %s; all with a lease: %s", are_ready ? "yes" : "no", agree ? "yes" : "no");
  return are_ready && agree;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
