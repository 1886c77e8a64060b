// A two-phase multiget through the program on loopback, against the two ways that a client had before: asking
// every block for everything, and doing the two phases itself; then with one host in trouble, and with parts
// of the design left out. Arguments: the program, the number of hosts, multigets a row. Prints tables as in
// docs/results.md.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>

#include "stand_ins/register_host.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;

namespace {

int hosts_count = 12, times = 200;

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
double at_quantile(std::vector<double> v, double q) {
  std::sort(v.begin(), v.end());
  return v.empty() ? 0 : v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))];
}
std::vector<int> all_blocks() {
  std::vector<int> b;
  for (int i = 0; i < hosts_count; ++i) b.push_back(i);
  return b;
}
std::string body_of(const std::string& got) { return got.substr(std::min(got.find('{'), got.size())); }
std::string escaped(const std::string& text) {
  return nlohmann::json(text).dump().substr(1, nlohmann::json(text).dump().size() - 2);
}

int name = 0;
std::string next_name() { return "m" + std::to_string(++name); }

struct Row {
  std::vector<double> ms;
  int whole = 0, answered = 0, all = 0;
};

void ways() {
  const Register data(21, 40, 150);
  std::printf("| hosts | blocks that match | way | sends | KB at the hosts | ms, median | ms, p99 |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int of : {hosts_count, 10, 2}) {
    const std::string query = "market=M3 block%" + std::to_string(of) + "=0";
    for (const char* way : {"everything from all", "two multigets", "two-phase"}) {
      World w({.cells = hosts_count,
               .sockets = 1024,
               .budget = "2",
               .deadline = "5",
               .options = "two_phase { op_type { name: \"all\" } }"});
      Hosts hosts(data, hosts_count);
      for (int n = 1; n <= hosts_count; ++n) hosts[n].slow(4);
      w.ready();
      Client c;
      Row row;
      for (int i = -20; i < times; ++i) {
        if (i == 0) hosts.forget_counts();
        const double began = now_ms();
        std::string got;
        if (way[0] == 'e') {
          c.peer.write(Client::request(
              next_name(), "all",
              Client::parts(all_blocks(), escaped(R"({"phase":"all","query":")" + query + R"("})"))));
          got = c.reads();
        } else if (way[4] == 'p') {  // "two-phase"
          c.asks_in_two(next_name(), "all", all_blocks(), query, ",\"limit\":10");
          got = c.reads();
        } else {
          c.peer.write(Client::request(
              next_name(), "all",
              Client::parts(all_blocks(),
                            escaped(R"({"phase":"match","page":10,"query":")" + query + R"("})"))));
          const auto first = nlohmann::json::parse(body_of(c.reads()));
          std::vector<std::tuple<double, int, std::string>> best;
          for (const auto& f : first["found"]) {
            const auto m = nlohmann::json::parse(f["item"].get<std::string>());
            for (const auto& s : m["matches"]) best.emplace_back(-s[1].get<double>(), f["bucket"], s[0]);
          }
          std::sort(best.begin(), best.end());
          best.resize(std::min<std::size_t>(best.size(), 10));
          std::vector<int> blocks;
          nlohmann::json ids = nlohmann::json::array();
          for (const auto& [s, b, id] : best) blocks.push_back(b), ids.push_back(id);
          std::sort(blocks.begin(), blocks.end());
          blocks.erase(std::unique(blocks.begin(), blocks.end()), blocks.end());
          if (!blocks.empty()) {
            c.peer.write(Client::request(
                next_name(), "all",
                Client::parts(blocks, escaped(nlohmann::json{{"phase", "fetch"}, {"stalls", ids}}.dump()))));
            got = c.reads();
          }
        }
        if (i >= 0) row.ms.push_back(now_ms() - began);
        if (got.rfind("200", 0) != 0) std::fprintf(stderr, "%s: %.200s\n", way, got.c_str());
      }
      std::printf("| %d | %d%% | %s | %.1f | %.2f | %.2f | %.2f |\n", hosts_count, std::max(1, 100 / of), way,
                  static_cast<double>(hosts.asked(Phase::match) + hosts.asked(Phase::fetch)) / times,
                  static_cast<double>(hosts.bytes()) / 1024 / times, at_quantile(row.ms, 0.5),
                  at_quantile(row.ms, 0.99));
    }
  }
}

// Eight clients at a time, one broker, replicas in a ring of three; budget 0.5 s.
Row under(const std::string& op, const std::string& fields, const std::string& query, const std::string& more,
          const std::function<void(Hosts&)>& trouble, int replicas = 3, int stalls = 200) {
  const Register data(22, stalls);
  World w({.cells = hosts_count,
           .replicas = replicas,
           .sockets = 1024,
           .budget = "0.5",
           .deadline = "1",
           .options = "two_phase { op_type { name: \"" + op + "\" " + fields + " } }"});
  Hosts hosts(data, hosts_count);
  for (int n = 1; n <= hosts_count; ++n) hosts[n].slow(4);
  w.ready();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 8; ++i) clients.push_back(std::make_unique<Client>());
  std::vector<double> began(clients.size(), 0);
  Row row;
  int asked = 0;
  const auto ask = [&](std::size_t i) {
    if (asked == 80) trouble(hosts);
    ++asked, began[i] = now_ms();
    clients[i]->asks_in_two(next_name(), op, all_blocks(), query, more, "0.5");
  };
  for (std::size_t i = 0; i < clients.size(); ++i) ask(i);
  while (asked < times + 88) {
    std::vector<pollfd> fds;
    for (auto& c : clients) fds.push_back({c->peer.fd, POLLIN, 0});
    poll(fds.data(), fds.size(), 1000);
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (!fds[i].revents) continue;
      const std::string got = clients[i]->reads();
      if (asked > 88) {
        const double took = now_ms() - began[i];
        row.ms.push_back(took), ++row.all;
        row.answered += got.rfind("200", 0) == 0 && took <= 500;
        row.whole += got.rfind("200 {\"whole\":true", 0) == 0 && took <= 500;
      }
      ask(i);
    }
  }
  return row;
}
void shows(const char* what, const std::string& op, const Row& r) {
  std::printf("| %d | %s | %s | %.3f | %.3f | %.1f | %.1f |\n", hosts_count, what, op.c_str(),
              static_cast<double>(r.whole) / r.all, static_cast<double>(r.answered) / r.all,
              at_quantile(r.ms, 0.5), at_quantile(r.ms, 0.99));
}
void head(const char* what) {
  std::printf("\n| hosts | %s | op type | whole in time | answered in time | ms, median | ms, p99 |\n", what);
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
}

void troubles() {
  head("one host");
  const std::string query = "market=M3", more = ",\"limit\":10";
  for (const std::string op : {"all", "part"}) {
    shows("sound", op, under(op, "", query, more, [](Hosts&) {}));
    shows("40 times slower", op, under(op, "", query, more, [](Hosts& h) { h[1].slow(160); }));
    shows("hung", op, under(op, "", query, more, [](Hosts& h) {
            h[1].on(Phase::match, 1, Do::hang, false), h[1].on(Phase::fetch, 1, Do::hang, false);
          }));
    shows("dead", op, under(op, "", query, more, [](Hosts& h) {
            h[1].on(Phase::match, 1, Do::die, false), h[1].on(Phase::fetch, 1, Do::die, false);
          }));
  }
}

void without() {
  head("left out");
  const std::string op = "part", query = "market=M3", more = ",\"limit\":10";
  const auto slow_matches = [](Hosts& h) { h[1].slow(160), h[2].slow(160), h[3].slow(160); };
  shows("nothing; three neighbours 40 times slower", op, under(op, "", query, more, slow_matches));
  shows("the learnt split (half each); the same", op,
        under(op, "learn_split: false", query, more, slow_matches));
  shows("the learnt split (a fifth to matches); the same", op,
        under(op, "learn_split: false match_share: 0.2", query, more, slow_matches));
  shows("the learnt split (four fifths to matches); the same", op,
        under(op, "learn_split: false match_share: 0.8", query, more, slow_matches));
  shows("nothing; all match, best 10", op,
        under(
            op, "", "all", more, [](Hosts&) {}, 3, 60));
  shows("pruning by score; all match, best 10", op,
        under(
            op, "prune_by_score: false", "all", more, [](Hosts&) {}, 3, 60));
  const auto changes = [](Hosts& h) {
    for (int n = 1; n <= 400; n += 20) h[1].on(Phase::fetch, h[1].asked(Phase::fetch) + n, Do::change);
  };
  shows("nothing; data of a host change now and then", op, under(op, "", query, ",\"limit\":40", changes, 1));
  shows("matching anew; the same", op, under(op, "rematches: 0", query, ",\"limit\":40", changes, 1));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return std::fprintf(stderr, "usage: bench_two_phase PROGRAM HOSTS TIMES\n"), 2;
  program = argv[1], hosts_count = std::atoi(argv[2]), times = std::atoi(argv[3]);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  ways();
  if (argc > 4) return 0;
  troubles();
  without();
}
