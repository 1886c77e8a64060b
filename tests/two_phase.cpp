// Two-phase multigets through the program, over loopback, with register hosts that follow a schedule. One
// story a name; CTest diffs what it prints with tests/traces/2p_NAME.txt. Waits are for events, never for a
// time.
#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "stand_ins/register_host.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;

namespace {

const std::string kAllow =
    "two_phase { op_type { name: \"all\" } op_type { name: \"any\" } op_type { name: \"part\" } }\n";
std::string with(const std::string& fields) {  // for `part` and `all` alike
  return "two_phase { op_type { name: \"part\" " + fields + " } op_type { name: \"all\" " + fields + " } }\n";
}

// What an answer says, the stalls in short; held against a plain look at all the data.
void shows(const std::string& got, const Register* data = nullptr, const std::vector<int>& blocks = {},
           const std::string& query = "", std::size_t limit = SIZE_MAX) {
  const auto body =
      nlohmann::ordered_json::parse(got.substr(std::min(got.find('{'), got.size())), nullptr, false);
  if (!body.is_object()) return static_cast<void>(std::printf("client gets: %s\n", got.c_str()));
  std::printf("client gets: %s %s why %s\n", got.substr(0, 3).c_str(), body["whole"] ? "whole" : "in part",
              body["why"].dump().c_str());
  std::printf("  match %s\n  fetch %s\n", body["match"].dump().c_str(), body["fetch"].dump().c_str());
  std::size_t details = 0, shown = 0;
  for (const auto& s : body["stalls"]) {
    details += s.contains("detail");
    if (shown++ < 3) std::printf("  %s\n", s.dump().c_str());
  }
  std::printf("  %zu stalls, %zu with details\n", body["stalls"].size(), details);
  if (!data) return;
  std::vector<std::tuple<double, int, std::string, std::string>> all;
  for (const int b : blocks)
    if (const auto v = body["match"]["versions"].find(std::to_string(b));
        v != body["match"]["versions"].end())
      for (const Stall& s : data->matching(b, std::stoi(v->get<std::string>()), query))
        all.emplace_back(-s.score, b, s.id, s.detail());
  std::sort(all.begin(), all.end());
  if (all.size() > limit) all.resize(limit);
  bool same = all.size() == body["stalls"].size();
  for (std::size_t i = 0; same && i < all.size(); ++i) {
    const auto& s = body["stalls"][i];
    same = s["block"] == std::get<1>(all[i]) && s["stall"] == std::get<2>(all[i]) &&
           s["score"] == -std::get<0>(all[i]) && s.contains("detail") &&
           s["detail"].dump() == std::get<3>(all[i]);
  }
  std::printf("  %s what all the data give\n", same ? "just" : "NOT");
}

struct Ask {
  std::string query, more = "";
  std::size_t limit = SIZE_MAX;
  std::string op = "all";
  std::vector<int> blocks = {0, 1, 2, 3};
  const char* left = "5";
};
void tries(const Register& data, const Ask& a) {
  static int n = 0;
  Client c;
  std::string more = a.more;
  if (a.limit != SIZE_MAX) more += ",\"limit\":" + std::to_string(a.limit);
  c.asks_in_two("m" + std::to_string(++n), a.op, a.blocks, a.query, more, a.left);
  std::printf("client asks in two phases: %s of %zu blocks, %s%s\n", a.op.c_str(), a.blocks.size(),
              a.query.c_str(), more.c_str());
  shows(c.reads(), &data, a.blocks, a.query, a.limit);
}

void calm() {
  World w({.cells = 4, .options = kAllow});
  const Register data(1, 40);
  Hosts hosts(data, 4);
  w.ready();
  tries(data, {.query = "market=M3"});
  tries(data, {.query = "market=M3", .limit = 3});
  tries(data, {.query = "all", .limit = 0});
  tries(data, {.query = "all", .limit = 100000});
  tries(data, {.query = "block%4=2", .limit = 5});
  tries(data, {.query = "same", .limit = 6});
  const int fetches = hosts.asked(Phase::fetch);
  tries(data, {.query = "none"});
  std::printf("fetches for nothing that matches: %d\n", hosts.asked(Phase::fetch) - fetches);
}

void pages() {  // the best are all in one block: it's asked for further pages, the others aren't
  World w({.cells = 4, .options = with("page_most: 10 fetch_most: 7")});
  const Register data(2, 300);
  Hosts hosts(data, 4);
  w.ready();
  tries(data, {.query = "block%4=1 score>=40", .limit = 60});
  for (int n = 1; n <= 4; ++n)
    std::printf("host %d: %d matches, %d fetches\n", n, hosts[n].asked(Phase::match),
                hosts[n].asked(Phase::fetch));
}

void big() {  // 100,000 stalls over all blocks, in values up to the largest that a frame may hold
  World w({.cells = 4, .budget = "60", .options = with("page_most: 3000 stalls_most: 200000")});
  const Register data(3, 25000);
  Hosts hosts(data, 4);
  w.ready();
  tries(data, {.query = "all", .limit = 50, .left = "60"});
  tries(data, {.query = "all", .limit = 9000, .left = "60"});
  tries(data, {.query = "all", .limit = 0, .left = "60"});
}

void any_parts() {  // two of four blocks make a whole first phase; survivors of these are all fetched
  World w({.cells = 4, .options = kAllow});
  const Register data(4, 20);
  Hosts hosts(data, 4);
  for (int n = 1; n <= 4; ++n) hosts[n].on(Phase::match, 1, Do::hold);
  w.ready();
  Client c;
  c.asks_in_two("m1", "any", {0, 1, 2, 3}, "market=M1");
  hosts.await_total(Phase::match, 3);  // two and the margin; one stays unsent
  std::printf("matches asked: %d\n", hosts.asked(Phase::match));
  int answering = 0;
  for (int n = 1; n <= 4 && answering < 2; ++n)
    if (hosts[n].asked(Phase::match) > 0) hosts[n].release(), ++answering;
  const std::string got = c.reads();
  const auto body = nlohmann::json::parse(got.substr(4));
  std::printf("whole %d, asked %d, answered %d, missing %d; details for all: %d\n", body["whole"].get<bool>(),
              body["match"]["asked"].get<int>(), body["match"]["answered"].get<int>(),
              body["match"]["missing"].get<int>(), body["fetch"]["missing"] == 0 && !body["stalls"].empty());
}

void missing() {  // one block without a sound holder
  World w({.cells = 4, .budget = "0.4", .deadline = "0.8", .options = kAllow});
  const Register data(5, 20);
  Hosts hosts(data, 4);
  hosts[2].on(Phase::match, 1, Do::die, false);
  w.ready();
  tries(data, {.query = "market=M1", .op = "part"});
  tries(data, {.query = "market=M1", .op = "all"});
}

void spoilt() {  // a match that can't be read is asked of the other holder; where there is none it's missing
  {
    World w({.cells = 2, .replicas = 2, .options = kAllow});
    const Register data(6, 20);
    Hosts hosts(data, 2);
    hosts[1].on(Phase::match, 1, Do::spoil, false);
    w.ready();
    tries(data, {.query = "market=M1", .blocks = {0, 1}});
  }
  World w({.cells = 2, .budget = "0.4", .deadline = "0.8", .options = kAllow});
  const Register data(6, 20);
  Hosts hosts(data, 2);
  hosts[1].on(Phase::match, 1, Do::spoil, false);
  w.ready();
  tries(data, {.query = "block%2=1", .op = "part", .blocks = {0, 1}});
}

void changes() {  // the data change between the phases; then again and again
  World w({.cells = 2, .options = kAllow});
  const Register data(7, 40);
  Hosts hosts(data, 2);
  hosts[1].on(Phase::fetch, 1, Do::change);
  w.ready();
  tries(data, {.query = "market=M2 score>=30", .blocks = {0, 1}});
  std::printf("host 1: %d matches, %d fetches\n", hosts[1].asked(Phase::match), hosts[1].asked(Phase::fetch));
  hosts[1].on(Phase::fetch, 3, Do::change, false);
  tries(data, {.query = "market=M2 score>=30", .op = "part", .blocks = {0, 1}});
  std::printf("host 1: %d matches, %d fetches\n", hosts[1].asked(Phase::match), hosts[1].asked(Phase::fetch));
}

void dies() {  // the host that matched dies at the fetch, and the other holder has another version
  World w({.cells = 2, .replicas = 2, .options = kAllow});
  const Register data(8, 40);
  Hosts hosts(data, 2);
  for (int n = 1; n <= 2; ++n) hosts[n].on(Phase::match, 1, Do::hold);
  w.ready();
  Client c;
  c.asks_in_two("m1", "all", {0}, "market=M2");
  hosts.await_total(Phase::match, 1);
  RegisterHost &first = hosts[hosts[1].asked(Phase::match) ? 1 : 2],
               &other = hosts[&first == &hosts[1] ? 2 : 1];
  first.on(Phase::fetch, 1, Do::die, false);
  other.on(Phase::fetch, 1, Do::change);
  // With what they have out alike either may be asked first; both ways end at the version that the other has.
  other.on(Phase::match, 1, Do::change);
  first.release();
  shows(c.reads(), &data, {0}, "market=M2");
}

void no_time() {  // no second phase is begun with less than the stated least left: nothing is fetched
  World w({.cells = 2, .options = with("shortest_fetch_ms: 4000 learn_split: false")});
  const Register data(9, 20);
  Hosts hosts(data, 2);
  w.ready();
  Client c;
  c.asks_in_two("m1", "all", {0, 1}, "market=M1", "", "3.9");
  shows(c.reads());
  std::printf("fetches: %d\n", hosts.asked(Phase::fetch));
  c.asks_in_two("m2", "all", {0, 1}, "market=M1", "", "60");
  shows(c.reads());
}

void late() {  // a match that comes after the cut joins while the second phase runs
  World w({.cells = 2, .options = with("match_share: 0.05 learn_split: false")});
  const Register data(10, 40);
  Hosts hosts(data, 2);
  hosts[1].on(Phase::match, 1, Do::hold);
  hosts[2].on(Phase::fetch, 1, Do::hold);
  w.ready();
  Client c;
  c.asks_in_two("m1", "part", {0, 1}, "market=M1", "", "5");
  hosts[2].await(Phase::fetch, 1);  // the cut has come: block 1 is fetched, block 0 still out
  hosts[1].release();
  hosts[1].await(Phase::fetch, 1);
  hosts[2].release();
  shows(c.reads(), &data, {0, 1}, "market=M1");
}

void leaves() {  // in either phase: what is out is given up, and nothing more is sent
  World w({.cells = 2, .budget = "30", .options = kAllow});
  const Register data(11, 20);
  Hosts hosts(data, 2);
  for (const Phase phase : {Phase::match, Phase::fetch})
    for (int n = 1; n <= 2; ++n) hosts[n].on(phase, 1, Do::hang);
  w.ready();
  {
    Client c;
    c.asks_in_two("m1", "all", {0, 1}, "all", "", "60");
    hosts.await_total(Phase::match, 2);
  }
  hosts.await_given_up(2);
  std::printf("left in the first phase: matches %d, fetches %d, given up 2\n", hosts.asked(Phase::match),
              hosts.asked(Phase::fetch));
  {
    Client c;
    c.asks_in_two("m2", "all", {0, 1}, "all", "", "60");
    hosts.await_total(Phase::fetch, 2);
  }
  hosts.await_given_up(4);
  std::printf("left in the second: matches %d, fetches %d, given up 4\n", hosts.asked(Phase::match),
              hosts.asked(Phase::fetch));
}

void stops() {  // SIGTERM in either phase: answered, then exit 0
  for (const Phase phase : {Phase::match, Phase::fetch}) {
    World w({.cells = 2, .budget = "30", .options = kAllow});
    const Register data(12, 20);
    Hosts hosts(data, 2);
    hosts[1].on(phase, 1, Do::hold);
    w.ready();
    Client c;
    c.asks_in_two("m1", "all", {0, 1}, "market=M1", "", "60");
    hosts[1].await(phase, 1);
    kill(w.pid, SIGTERM);
    w.stopping();
    hosts[1].release();
    shows(c.reads(), &data, {0, 1}, "market=M1");
    w.ends();
  }
}

void flood() {  // what is in hand counts towards the bound; one final answer each, and nothing is kept
  World w({.cells = 2, .memory_mb = 16, .budget = "60", .options = kAllow});
  const Register data(13, 500);
  Hosts hosts(data, 2);
  hosts[2].on(Phase::match, 1, Do::hold, false);
  w.ready();
  const std::string query = "all" + std::string(50000, ' ');
  int most = -1;
  for (int round = 0; round < 3; ++round) {  // as many each time: nothing is left behind
    std::vector<std::unique_ptr<Client>> clients;
    int taken = 0;
    const int before = hosts[2].asked(Phase::match);
    for (bool turned_away = false; !turned_away && taken < 400;) {
      clients.push_back(std::make_unique<Client>());
      Client& c = *clients.back();
      c.asks_in_two("f" + std::to_string(round) + "-" + std::to_string(taken), "all", {0, 1}, query,
                    ",\"limit\":20", "60");
      while (!turned_away && hosts[2].asked(Phase::match) <= before + taken)
        if (readable(c.peer.fd, 1)) turned_away = true;
      if (turned_away)
        std::printf("%s in hand: %s\n",
                    most < 0 ? (taken > 20 && taken < 100 ? "tens" : "?")
                             : (taken == most ? "as many as before" : "a different number"),
                    c.reads().c_str()),
            most = taken;
      else
        hosts[1].await(Phase::match, before + ++taken);
    }
    clients.pop_back();
    hosts[2].on(Phase::match, 1, Do::answer, false);
    hosts[2].release();
    int whole = 0;
    for (auto& c : clients) whole += c->reads().rfind("200 {\"whole\":true", 0) == 0;
    std::printf("%s answered whole\n", whole == most ? "all" : "NOT all");
    hosts[2].on(Phase::match, 1, Do::hold, false);
  }
}

void bad_input() {
  World w({.cells = 2, .options = with("")});
  const Register data(14, 10);
  Hosts hosts(data, 2);
  w.ready();
  const std::string parts = "\"buckets\":[{\"bucket\":0,\"part\":1}]";
  const std::vector<std::pair<const char*, std::string>> cases = {
      {"part", "{" + parts + "}"},
      {"part", "{\"query\":\"all\"}"},
      {"part", "{" + parts + ",\"query\":3}"},
      {"part", "{" + parts + ",\"query\":\"all\",\"limit\":-1}"},
      {"part", "{" + parts + ",\"query\":\"all\",\"limit\":1.5}"},
      {"part", "{" + parts + ",\"query\":\"all\",\"match_ms\":0}"},
      {"part", "{" + parts + ",\"query\":\"all\",\"fetch_ms\":\"soon\"}"},
      {"part", "{" + parts + ",\"query\":\"all\",\"size\":3}"},
      {"part", "{\"buckets\":[{\"bucket\":7,\"part\":1}],\"query\":\"all\"}"},
      {"part", "[]"},
      {"any", "{" + parts + ",\"query\":\"all\"}"},
      {"once", "{" + parts + ",\"query\":\"all\"}"},
      {"nothing", "{" + parts + ",\"query\":\"all\"}"},
  };
  for (const auto& [op, body] : cases) {
    Client c;
    c.peer.write("POST /_two-phase/" + Client::request("b", op, body).substr(6));
    std::printf("%s %s\n  %s\n", op, body.c_str(), c.reads().c_str());
  }
  std::printf("hosts were asked %d times\n", hosts.asked(Phase::match) + hosts.asked(Phase::fetch));
}

void off() {  // without options there is no such path
  World w({.cells = 2});
  const Register data(15, 10);
  Hosts hosts(data, 2);
  w.ready();
  Client c;
  c.asks_in_two("m1", "all", {0, 1}, "all");
  c.gets();
}

void options() {  // a file that won't do ends the program with one line that says where
  for (const char* text :
       {"two_phase { op_type { name: \"once\" } }", "two_phase { op_type { name: \"more\" } }",
        "two_phase {\n  op_type { }\n}",
        "two_phase {\n  op_type {\n    name: \"all\"\n    match_share: 1.5\n  }\n}",
        "two_phase { op_type { name: \"all\" page_most: 0 } }",
        "two_phase { op_type { name: \"all\" size: 3 } }",
        "two_phase { op_type { name: \"all\" rematches: \"two\" } }",
        "two_phase { op_type { name: \"all\" } op_type { name: \"all\" } }",
        "two_phase { op_type { name: \"all\" rematches: 1 rematches: 2 } }", "two_phase {"}) {
    int out[2];
    if (pipe(out) != 0) give_up("no pipe");
    World w({.cells = 2, .options = text, .log = out[1]});
    close(out[1]);
    std::string all;
    char some[512];
    for (ssize_t n; (n = read(out[0], some, sizeof some)) > 0;) all.append(some, static_cast<std::size_t>(n));
    close(out[0]);
    if (const auto at = all.find(w.folder); at != std::string::npos) all.erase(at, w.folder.size() + 1);
    std::printf("%s\n  %s", text, all.c_str());
    w.ends();
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  program = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::map<std::string, void (*)()> stories = {
      {"calm", calm},       {"pages", pages},         {"big", big},         {"any_parts", any_parts},
      {"missing", missing}, {"spoilt", spoilt},       {"changes", changes}, {"dies", dies},
      {"no_time", no_time}, {"late", late},           {"leaves", leaves},   {"stops", stops},
      {"flood", flood},     {"bad_input", bad_input}, {"off", off},         {"options", options},
  };
  const auto it = stories.find(argv[2]);
  if (it == stories.end()) return 2;
  it->second();
  return 0;
}
