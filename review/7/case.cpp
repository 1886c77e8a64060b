// Ground and version in force end an op type. A broker is restarted while the other voters are down. It acts
// on the ground in its folder, and must not serve the op type.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr int kBrokers = 3;
constexpr int kRequests = 20;

const json kSettings{
    {"balancers", kBrokers},
    {"tick", 0.005},
    {"classes",
     json::array({{{"name", "stall-full"}, {"promise", 1.5}, {"deadline", 3}, {"effect", "free"}},
                  {{"name", "stall-sample"}, {"promise", 1.5}, {"deadline", 4}, {"effect", "free"}}})},
    {"family-info",
     {{"positions", kHosts},
      {"ranges", kHosts},
      {"width", 3},
      {"need-by-class", {1, 1}},
      {"min-share", {1, 1}}}},
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

  write_file(folder / "rules.txtpb", "op_type { name: \"stall-full\" served: false }\n");
  const std::string words = " --who ann --why \"closed for the audit\"";
  const auto ground = fleet.command(0, "accord propose " + (folder / "rules.txtpb") + " --ground" + words);
  if (ground.first != 0) throw CouldNotRun{"the ground was not taken"};
  need(10000, "the ground never counted", [&] {
    for (int i = 0; i < kBrokers; ++i) {
      const json status = fleet.fetch(i, "/accord/status");
      if (!status.is_object() || status["ground"] != 2 || status["ground_next"] != 0) return false;
    }
    return true;
  });
  const auto version = fleet.command(0, "accord propose " + (folder / "rules.txtpb") + words);
  if (version.first != 0) throw CouldNotRun{"the version was not taken"};
  need(10000, "not every broker acts on the version", [&] {
    for (int i = 0; i < kBrokers; ++i) {
      const json status = fleet.fetch(i, "/accord/status");
      if (!status.is_object() || !status["acts_on"].is_object() || status["acts_on"]["low"] != 2)
        return false;
    }
    return true;
  });
  sleep_ms(500);
  int asked = 0;
  const auto served = [&](int broker) {
    int count = 0;
    for (int i = 0; i < kRequests; ++i) {
      HttpClient client(fleet[broker].listen);
      const auto answer = ask_platform(client, "stall-full", "q" + std::to_string(++asked), {0, 1, 2}, 2.0);
      note("b%d answers %d to q%d", broker, answer ? answer->status() : 0, asked);
      count += answer && answer->status() == 200;
    }
    const json status = fleet.fetch(broker, "/accord/status");
    note("b%d acts on %s, ground %s, rules: %s; serves %d of %d multigets of stall-full", broker,
         status["acts_on"].dump().c_str(), status["ground"].dump().c_str(), status["rules"].dump().c_str(),
         count, kRequests);
    return count;
  };
  for (int i = 0; i < kBrokers; ++i) {
    if (served(i) > 0) throw CouldNotRun{"a broker with a lease serves the op type"};
  }

  if (has_trouble()) {
    for (int i = 1; i < kBrokers; ++i) fleet[i].process->signal(SIGKILL);
    for (int i = 1; i < kBrokers; ++i) fleet[i].process->await_end(5000);
    sleep_ms(1500);
    if (served(0) > 0) note("already before its restart");
  }
  fleet[0].process->signal(SIGTERM);
  fleet[0].process->await_end(10000);
  fleet.start(0);
  await_ready(fleet[0].listen);
  return served(0) == 0;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
