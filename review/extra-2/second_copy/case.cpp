// A host that speaks HTTP sends a second copy right behind one good answer, when nothing else waits on the
// connection. Every search must be answered with what was found for it, or say that it was not.
#include "stand_ins_2/kit.h"

namespace {

using namespace review;

constexpr int kBlocks = 1;
constexpr int kHosts = 3;
constexpr int kSearches = 40;
constexpr int kCopies = 1;  // answers that get a second copy, of kBlocks * kSearches

std::string document(const std::string& market, int block) { return market + "-" + std::to_string(block); }

// A sound host: one document of each market in each block.
class Host {
 public:
  explicit Host(std::string name) : name_(std::move(name)) {}
  int port() const { return listener_.port(); }
  // The next answer gets a second copy.
  void copy_next() { copies_ = 1; }

 private:
  void serve(Socket& socket, const std::atomic<bool>& is_over) {
    while (!is_over) {
      if (auto request = take_http(socket.in())) {
        const std::string& line = request->first_line;
        const int block = std::atoi(line.c_str() + line.find("_shards:") + 8);
        const std::string market = json::parse(request->body)["query"]["term"]["market"];
        const std::string shard = "[register][" + std::to_string(block) + "]";
        const json hit{{"_index", "register"},
                       {"_shard", shard},
                       {"_id", document(market, block)},
                       {"_score", 1.0},
                       {"_source", {{"market", market}}}};
        const std::string answer = http_response(
            200, json{{"took", 1},
                      {"timed_out", false},
                      {"_shard", shard},
                      {"_shards", {{"total", 1}, {"successful", 1}, {"skipped", 0}, {"failed", 0}}},
                      {"hits",
                       {{"total", {{"value", 1}, {"relation", "eq"}}},
                        {"max_score", 1.0},
                        {"hits", json::array({hit})}}}}
                     .dump());
        const bool has_copy = copies_.exchange(0) > 0;
        note("  %s runs %s in block %d, answers %s%s", name_.c_str(), market.c_str(), block,
             document(market, block).c_str(), has_copy ? ", and a second copy right behind" : "");
        if (!socket.write(has_copy ? answer + answer : answer)) return;
        continue;
      }
      if (socket.read(20) == Socket::Read::kEnd) return;
    }
  }
  const std::string name_;
  std::atomic<int> copies_{0};
  Listener listener_{[this](Socket& socket, const std::atomic<bool>& is_over) { serve(socket, is_over); }};
};

bool rule_holds() {
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Member> members;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "s-" + std::to_string(i);
    hosts.push_back(std::make_unique<Host>(name));
    members.push_back({name, hosts.back()->port(), i, "in_service", "search"});
  }
  Discovery discovery;
  discovery.set(1, members);
  const int listen = free_port();
  const json settings{
      {"balancers", 1},
      {"tick", 0.005},
      {"classes", json::array({{{"name", "lookup"}, {"promise", 1.5}, {"deadline", 4}, {"effect", "free"}}})},
      {"family-info",
       {{"positions", kHosts},
        {"ranges", kBlocks},
        {"width", 3},
        {"need-by-class", {1}},
        {"min-share", {1}}}},
      {"ceilings",
       {{"cancel", true},
        {"second-copies", true},
        {"try-limit", 3},
        {"multiplex", 32},
        {"connect-timeout", 0.25},
        {"keepalive", 15}}}};
  write_file(folder / "config.json", config_text("n0", listen, discovery.port(), settings));
  write_file(folder / "options.txtpb",
             "search {\n  flavor: \"search\"\n  index { name: \"register\" blocks: " +
                 std::to_string(kBlocks) + " op_type: \"lookup\" timeout_ms: 1500 }\n}\n");
  Process broker("the broker", environment("CASE_RUN"),
                 {{"RELAY_CONFIG", folder / "config.json"}, {"CAIRNHUB_OPTIONS", folder / "options.txtpb"}},
                 folder / "log");
  await_ready(listen);
  need(5000, "the broker never got the list", [&] { return discovery.told_at(1) > 0; });
  sleep_ms(300);

  HttpClient client(listen);
  int wrong = 0;
  int whole = 0;
  for (int i = 0; i < kSearches; ++i) {
    const std::string market = "M" + std::to_string(i);
    if (has_trouble() && i >= 10 && i < 10 + kCopies)
      hosts[static_cast<std::size_t>(i % kHosts)]->copy_next();
    note("client searches %s", market.c_str());
    const auto answer = client.post("/register/_search",
                                    json{{"query", {{"term", {{"market", market}}}}}, {"size", 10}}.dump());
    if (!answer) throw CouldNotRun{"a search got no answer"};
    const json body = json::parse(answer->body, nullptr, false);
    if (answer->status() != 200) {  // a search that fails promises nothing
      note("client gets %d", answer->status());
      continue;
    }
    std::set<std::string> expected;
    std::set<std::string> got;
    std::string shown;
    for (int block = 0; block < kBlocks; ++block) expected.insert(document(market, block));
    for (const auto& hit : body["hits"]["hits"]) {
      got.insert(hit["_id"].get<std::string>());
      shown += " " + hit["_id"].get<std::string>();
    }
    const int failed = body["_shards"]["failed"];
    note("client gets 200, _shards %s, hits:%s", body["_shards"].dump().c_str(), shown.c_str());
    whole += failed == 0;
    // Less than all is right where it is said; what is there has to be of this search.
    const bool is_right = failed == 0
                              ? got == expected
                              : std::includes(expected.begin(), expected.end(), got.begin(), got.end());
    if (!is_right) {
      ++wrong;
      note("  WRONG: not what was found for %s", market.c_str());
    }
    sleep_ms(20);
  }
  if (!broker.is_running()) throw CouldNotRun{"the broker has ended"};
  note("%d searches, %d whole, %d answered with what was found for another search", kSearches, whole, wrong);
  return wrong == 0;
}

}  // namespace

int main() { return review::run_case(rule_holds); }
