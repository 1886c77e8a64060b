// Operators forbid answers from less than a share. Once every broker acts on that version, no answer may be
// given from less.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kHosts = 6;
constexpr int kBrokers = 3;
constexpr int kRequests = 30;
constexpr double kNeed = 0.67;        // of the op type: any 67% of the parts make a whole answer
constexpr double kLeast = 0.5;        // of the op type, in the settings
constexpr double kLeastByRule = 0.9;  // what the operators' rules state

const json kSettings{{"balancers", kBrokers},
                     {"tick", 0.005},
                     {"classes", json::array({{{"name", "stall-sample"},
                                               {"promise", 1.5},
                                               {"deadline", 4},
                                               {"late-share", 0.3},
                                               {"effect", "free"}}})},
                     {"family-info",
                      {{"positions", kHosts},
                       {"ranges", kHosts},
                       {"width", 3},
                       {"need-by-class", {kNeed}},
                       {"min-share", {kLeast}},
                       {"class-partial", {0.5}}}},
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

  double least = kLeast;
  if (has_trouble()) {
    least = kLeastByRule;
    write_file(folder / "rules.txtpb", "op_type { name: \"stall-sample\" least_share: 0.9 }\n");
    const std::string words = " --who ann --why \"whole samples only\"";
    const auto ground = fleet.command(0, "accord propose " + (folder / "rules.txtpb") + " --ground" + words);
    if (ground.first != 0) throw CouldNotRun{"the ground was not taken"};
    need(10000, "the ground never counted", [&] { return fleet.fetch(0, "/accord/status")["ground"] == 2; });
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
    note("every broker acts on version 2 alone: %s",
         fleet.fetch(0, "/accord/status")["rules"].get<std::string>().c_str());
    sleep_ms(1000);
  }

  int below = 0;
  for (int i = 0; i < kRequests; ++i) {
    HttpClient client(fleet[i % kBrokers].listen);
    const auto answer =
        ask_platform(client, "stall-sample", "q" + std::to_string(i), {0, 1, 2, 3, 4, 5}, 3.0);
    if (!answer) throw CouldNotRun{"a request got no answer"};
    if (answer->status() != 200) {
      note("b%d answers %d", i % kBrokers, answer->status());
      continue;
    }
    const json body = json::parse(answer->body);
    const double share = static_cast<double>(body["found"].size()) / kHosts;
    const bool is_below = share < least - 0.001;
    below += is_below;
    note("b%d answers 200, finished %s, %zu of %d parts (share %.3f)%s", i % kBrokers,
         body["finished"].dump().c_str(), body["found"].size(), kHosts, share,
         is_below ? "  BELOW the least share" : "");
  }
  note("%d requests, %d answered from less than the least share of %.2f", kRequests, below, least);
  return below == 0;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
