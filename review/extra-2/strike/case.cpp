// An operator strikes a broker that seems gone, and gets no answer. The broker comes back and is taken onto
// the roster. The operator says the same again with the same id: it must count once.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kBrokers = 4;
constexpr int kVoters = 3;
constexpr int kStruck = 3;

const json kSettings{
    {"balancers", kBrokers},
    {"tick", 0.005},
    {"classes", json::array({{{"name", "lookup"}, {"promise", 1.0}, {"deadline", 3}, {"effect", "free"}}})},
    {"family-info",
     {{"positions", 1}, {"ranges", 1}, {"width", 1}, {"need-by-class", {1}}, {"min-share", {1}}}},
    {"ceilings",
     {{"cancel", true},
      {"second-copies", true},
      {"try-limit", 3},
      {"multiplex", 32},
      {"connect-timeout", 0.25},
      {"keepalive", 15}}}};

// Passes one request on to an operators' address and lets the answer get lost: the connection ends.
class LosesAnswer {
 public:
  explicit LosesAnswer(int to) : to_(to) {}
  int port() const { return listener_.port(); }

 private:
  void serve(Socket& socket, const std::atomic<bool>& is_over) {
    while (!is_over) {
      if (auto request = take_http(socket.in())) {
        HttpClient client(to_);
        const auto answer = client.post("/accord/propose", request->body);
        note("  the answer is lost on its way: %s", answer ? answer->body.c_str() : "none");
        return;
      }
      if (socket.read(20) == Socket::Read::kEnd) return;
    }
  }
  const int to_;
  Listener listener_{[this](Socket& socket, const std::atomic<bool>& is_over) { serve(socket, is_over); }};
};

bool rule_holds() {
  const TemporaryFolder folder;
  FramedHost host("s-0", [](const Part&) { return std::optional<std::string>("5be2a07c"); });
  Discovery discovery;
  discovery.set(1, {{"s-0", host.port(), 0}});
  Fleet fleet(folder, kBrokers, kVoters);
  for (int i = 0; i < kBrokers; ++i)
    fleet.lay_out(i, discovery.port(), kSettings, "stated_time_ms: 1000", "");
  fleet.init_voters();
  for (int i = 0; i < kBrokers; ++i) fleet.start(i);
  for (int i = 0; i < kBrokers; ++i) await_ready(fleet[i].listen);
  need(20000, "the brokers never agreed", [&] { return fleet.is_settled() && fleet.leader() >= 0; });
  sleep_ms(1000);
  const int leader = fleet.leader();
  fleet[kStruck].process->signal(SIGKILL);
  fleet[kStruck].process->await_end(5000);
  const std::string words = "accord strike b3 --who ann --why \"machine scrapped\" --id scrap-b3";
  if (has_trouble()) {
    LosesAnswer proxy(fleet[leader].operators);
    const auto [status, said] = run_command(words + " --at " + address(proxy.port()), folder / "said");
    if (status != 4) throw CouldNotRun{"the operator got an answer"};
  } else {
    fleet.command(leader, words);
  }
  sleep_ms(500);
  fleet.start(kStruck);
  await_ready(fleet[kStruck].listen);
  need(10000, "b3 got no lease", [&] {
    const json s = fleet.fetch(kStruck, "/accord/status");
    return s.is_object() && s["acts_on"].is_object();
  });
  note("b3 is back, has a lease, and so is on the roster");
  sleep_ms(500);
  if (has_trouble()) fleet.command(leader, words);
  sleep_ms(1000);
  int applied = 0;
  std::ifstream records(folder / (fleet[leader].name + ".records"));
  for (std::string line; std::getline(records, line);) {
    const json record = json::parse(line, nullptr, false);
    if (!record.is_object() || record.value("what", "") != "applied") continue;
    if (record.value("id", "") != "scrap-b3") continue;
    note("b%d's records: %s", leader, line.c_str());
    applied += record.value("number", 0) > 0;
  }
  note("the strike was applied %d times", applied);
  if (applied == 0) throw CouldNotRun{"no record of the strike"};
  return applied == 1;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
