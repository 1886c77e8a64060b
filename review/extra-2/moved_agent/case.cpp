// A host drains, and both brokers are told. Then a new configuration moves one broker to another agent, which
// lags: its list is still the one from before the drain. Nothing new may reach the host.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr double kGraceMs = 250 + 50;  // on sockets every time limit is 50 ms longer
constexpr int kLagMs = 3000;           // by which the new agent lags

const json kSettings{
    {"balancers", 2},
    {"tick", 0.005},
    {"classes", json::array({{{"name", "lookup"}, {"promise", 1.0}, {"deadline", 3}, {"effect", "free"}}})},
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
    hosts.back()->is_noted = false;
    members.push_back({name, hosts.back()->port(), i});
  }
  Discovery agent("the agent");
  Discovery new_agent("the new agent");
  agent.set(41, members);
  new_agent.set(41, members);
  Fleet fleet(folder, 2, 0);
  for (int i = 0; i < 2; ++i) fleet.lay_out(i, agent.port(), kSettings, "", "");
  for (int i = 0; i < 2; ++i) fleet.start(i);
  for (int i = 0; i < 2; ++i) await_ready(fleet[i].listen);
  need(10000, "the brokers don't know each other", [&] {
    for (int i = 0; i < 2; ++i) {
      const json peers = fleet.fetch(i, "/peers");
      if (!peers.is_object() || peers["alive"] != 1 || peers["lists"]["own"] != 41) return false;
    }
    return true;
  });
  sleep_ms(1500);

  std::atomic<bool> is_over{false};
  std::atomic<int> answered{0};
  std::thread load([&] {
    HttpClient client(fleet[0].listen);
    for (int i = 0; !is_over; ++i) {
      const auto answer = ask_platform(client, "lookup", "q" + std::to_string(i), {i % kHosts}, 2.0);
      answered += answer && answer->status() == 200;
      sleep_ms(10);
    }
  });
  struct Joined {
    std::atomic<bool>& over;
    std::thread& thread;
    ~Joined() {
      over = true;
      thread.join();
    }
  };
  {
    const Joined joined{is_over, load};
    sleep_ms(1000);
    members[0].phase = "terminating";
    agent.set(43, members);
    if (!has_trouble()) new_agent.set(43, members);
    need(5000, "the brokers were not told", [&] {
      for (int i = 0; i < 2; ++i) {
        const json peers = fleet.fetch(i, "/peers");
        if (!peers.is_object() || peers["lists"]["own"] != 43) return false;
      }
      return true;
    });
    note("both brokers are told that s-0 drains");
    sleep_ms(1500);
    for (int i = 0; i < 2; ++i) {
      write_file(fleet[i].config + ".new",
                 config_text(fleet[i].name, fleet[i].listen, new_agent.port(), kSettings));
      std::filesystem::rename(fleet[i].config + ".new", fleet[i].config);
      fleet[i].process->signal(SIGHUP);
    }
    sleep_ms(kLagMs);
    if (has_trouble()) new_agent.set(43, members);
    sleep_ms(2000);
  }
  const double told = agent.told_at(43);
  if (answered < 100) throw CouldNotRun{"hardly anything was answered"};
  int late = 0;
  for (const auto& sent : hosts[0]->sent()) {
    if (sent.at <= told + kGraceMs) continue;
    if (++late <= 10)
      note("s-0 got %s %.0f ms after its drain was told", sent.part.name.c_str(), sent.at - told);
  }
  note("%d answered; %d parts reached s-0 past the grace", answered.load(), late);
  return late == 0;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
