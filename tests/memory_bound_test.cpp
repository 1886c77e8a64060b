// What the broker holds for its clients stays within its memory limit, from the first byte read to the last
// byte written, and a broker with nothing else in hand serves what it can write out piece by piece. Guards
// against the failure of docs/incidents/msearch-past-the-memory-limit.md. Hosts and clients are spoken for
// over loopback.
//
// The program under test is named by the environment (CAIRNHUB_PROGRAM); the tests of exact orders of events
// run the broker in this process.
#include <event2/event.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dispatch/in_flight_requests.h"
#include "frontend/opensearch/opensearch_frontend.h"
#include "server/broker.h"
#include "stand_ins/large_answer_host.h"
#include "stand_ins/node.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;
using nlohmann::json;
using Deployment = cairnhub::stand_ins::Setup;  // testing::Test has a member of the other name

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsItsOwn = false;  // the sanitizer keeps what is freed
#else
constexpr bool kMemoryIsItsOwn = true;
#endif

constexpr std::size_t kDocumentBytes = 20000;  // ten of them are in an answer
constexpr int kMemoryMb = 64;
constexpr int kItems = kMemoryIsItsOwn ? 150 : 30;  // 150 answers take 30 MB
constexpr long kKbPerMb = 1024;

const char* const kOptions =
    "search { flavor: \"s\" index { name: \"register\" blocks: 1 op_type: \"all\" timeout_ms: 30000 } }\n";

std::string post(const std::string& target, const std::string& body, const char* version = "1.1") {
  return "POST " + target + " HTTP/" + version +
         "\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
std::string msearch_of(int items) {
  std::string body;
  for (int i = 0; i < items; ++i) body += "{}\n{}\n";
  return post("/register/_msearch", body);
}

// How many searches of the response are whole, refused, or neither; -1 each if it is no such response.
struct Items {
  int whole = -1;
  int refused = -1;
  int other = -1;
};
Items items_of(const std::string& response) {
  Items items;
  if (response.rfind("200 ", 0) != 0) return items;
  const json body = json::parse(response.substr(4), nullptr, false);
  if (!body.is_object() || !body.contains("responses") || !body.contains("took")) return items;
  items = {0, 0, 0};
  for (const json& item : body["responses"]) {
    const bool is_whole =
        item["status"] == 200 && item["_shards"]["failed"] == 0 && item["hits"]["hits"].size() == 10 &&
        item["hits"]["hits"][9]["_source"]["text"].get<std::string>().size() == kDocumentBytes;
    ++(is_whole ? items.whole : item["status"] == 429 ? items.refused : items.other);
  }
  return items;
}

// The program as a process, with one host of large answers.
class MemoryBoundProcess : public testing::Test {
 protected:
  MemoryBoundProcess() { program = getenv("CAIRNHUB_PROGRAM") ? getenv("CAIRNHUB_PROGRAM") : ""; }
  void start() {
    host = std::make_unique<LargeAnswerHost>(1, kDocumentBytes);
    world = std::make_unique<World>(Deployment{
        .sockets = 1024, .memory_mb = kMemoryMb, .budget = "60", .options = kOptions, .flavors = "s"});
    world->ready();
  }
  // The most memory that the process has taken, what it shares with others included.
  long peak_kb() const {
    std::ifstream status("/proc/" + std::to_string(world->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
    }
    return -1;
  }
  void expect_within_limit() const {
    const long peak = peak_kb();
    EXPECT_GT(peak, 0);
    std::printf("the process has taken %ld kB at most\n", peak);
    if (!kMemoryIsItsOwn) return;
    EXPECT_LE(peak, kMemoryMb * kKbPerMb);
  }

  std::unique_ptr<LargeAnswerHost> host;
  std::unique_ptr<World> world;
};

// One _msearch whose answers are half of the memory: once took twice the limit.
TEST_F(MemoryBoundProcess, LongMsearchIsServedWhole) {
  start();
  Client client;
  client.peer.write(msearch_of(kItems));
  const Items items = items_of(client.reads());
  EXPECT_EQ(items.whole, kItems);
  EXPECT_EQ(items.refused, 0);
  EXPECT_EQ(items.other, 0);
  expect_within_limit();
}

// One _mget that names a document many times: once was joined as a whole, however long.
TEST_F(MemoryBoundProcess, DocumentNamedManyTimesIsServedWhole) {
  constexpr int kTimes = kMemoryIsItsOwn ? 900 : 90;
  host = std::make_unique<LargeAnswerHost>(1, 200000);
  world = std::make_unique<World>(Deployment{
      .sockets = 256, .memory_mb = kMemoryMb, .budget = "60", .options = kOptions, .flavors = "s"});
  world->ready();
  std::string ids;
  for (int i = 0; i < kTimes; ++i) ids += std::string(i > 0 ? "," : "") + "\"s0-1\"";
  Client client;
  client.peer.write(post("/register/_mget", "{\"ids\":[" + ids + "]}"));
  const std::string response = client.reads();
  ASSERT_EQ(response.substr(0, 4), "200 ");
  const json body = json::parse(response.substr(4), nullptr, false);
  ASSERT_TRUE(body.is_object());
  int found = 0;
  for (const json& document : body["docs"]) {
    found += document["found"] == true && document["_source"]["text"].get<std::string>().size() == 200000;
  }
  EXPECT_EQ(found, kTimes);
  expect_within_limit();
}

// Clients that don't read what they asked for: each item is answered once they do, whole or refused, and
// others are served meanwhile.
TEST_F(MemoryBoundProcess, ClientsThatDontReadStayWithinTheBound) {
  constexpr int kClients = kMemoryIsItsOwn ? 12 : 3;
  start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>());
    clients.back()->peer.write(msearch_of(kItems));
    ASSERT_TRUE(readable(clients.back()->peer.fd));  // its response has begun
  }
  Client other;
  other.peer.write(post("/register/_search", "{}"));
  EXPECT_EQ(other.reads().substr(0, 4), "200 ");
  std::vector<std::future<Items>> read;
  for (const auto& client : clients) {
    read.push_back(std::async(std::launch::async, [&client] { return items_of(client->reads()); }));
  }
  for (auto& reading : read) {
    const Items items = reading.get();
    EXPECT_EQ(items.whole + items.refused, kItems);
    EXPECT_EQ(items.other, 0);
    EXPECT_GT(items.whole, 0);
  }
  expect_within_limit();
}

// Many searches at once, with the longest answers that a host may give: each is answered, whole or refused,
// and what is received of answers counts before they are whole.
TEST_F(MemoryBoundProcess, LongAnswersReceivedAtOnceStayWithinTheLimit) {
  constexpr int kSearches = 200;
  constexpr std::size_t kLongDocumentBytes = 100000;
  host = std::make_unique<LargeAnswerHost>(1, kLongDocumentBytes);
  world = std::make_unique<World>(Deployment{
      .sockets = 1024, .memory_mb = kMemoryMb, .budget = "60", .options = kOptions, .flavors = "s"});
  world->ready();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kSearches; ++i) {
    clients.push_back(std::make_unique<Client>());
    clients.back()->peer.write(post("/register/_search", "{}"));
  }
  int whole = 0;
  for (const auto& client : clients) {
    const std::string got = client->reads();
    const bool is_whole = got.rfind("200 ", 0) == 0;
    whole += is_whole && got.size() > 10 * kLongDocumentBytes;
    EXPECT_TRUE(is_whole || got.rfind("429", 0) == 0 || got.rfind("503", 0) == 0) << got.substr(0, 200);
  }
  EXPECT_GT(whole, 0);
  expect_within_limit();
}

// A client that reads on, but takes longer than the time after which a silent connection is closed.
TEST_F(MemoryBoundProcess, ClientThatReadsSlowlyGetsAll) {
  constexpr int kSlices = 13;  // of a second each
  start();
  Client client;
  client.peer.write(msearch_of(kItems));
  for (int i = 0; i < kSlices; ++i) {
    ASSERT_TRUE(client.peer.more());
    poll(nullptr, 0, 1000);
  }
  const Items items = items_of(client.reads());
  EXPECT_EQ(items.whole + items.refused, kItems);
  EXPECT_GT(items.whole, 0);
}

// Before HTTP/1.1 a response has no chunks: it ends with its connection.
TEST_F(MemoryBoundProcess, ClientWithoutChunksIsServedWhole) {
  start();
  Client client;
  std::string request = msearch_of(kItems);
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  client.peer.write(request);
  while (client.peer.more()) continue;
  const auto head_end = client.peer.in.find("\r\n\r\n");
  ASSERT_NE(head_end, std::string::npos);
  EXPECT_EQ(client.peer.in.find("chunked"), std::string::npos);
  EXPECT_EQ(items_of("200 " + client.peer.in.substr(head_end + 4)).whole, kItems);
}

// SIGTERM while a long response is written: it is finished before the program ends.
TEST_F(MemoryBoundProcess, LongMsearchIsFinishedBeforeTheEnd) {
  start();
  Client client;
  client.peer.write(msearch_of(kItems));
  ASSERT_TRUE(readable(client.peer.fd));
  kill(world->pid, SIGTERM);
  world->stopping();
  EXPECT_EQ(items_of(client.reads()).whole, kItems);
  int status = -1;
  client.peer.end();
  waitpid(world->pid, &status, 0);
  world->pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// The broker in this process, so that the order of events can be forced and the account read.
class MemoryBoundOrder : public testing::Test, public cairnhub::frontend::opensearch::EndpointView {
 protected:
  static constexpr int kSmallMemoryMb = 16;

  MemoryBoundOrder()
      : base_(event_base_new()),
        broker_(std::make_unique<cairnhub::server::Broker>(base_, config(), options())),
        frontend_(std::make_unique<cairnhub::frontend::opensearch::OpenSearchFrontend>(
            base_, std::vector{register_index()}, cairnhub::opensearch::Limits{},
            broker_->in_flight_requests(), broker_->dispatcher(), *this)) {
    broker_->add_frontend(*frontend_);
  }
  ~MemoryBoundOrder() override {
    broker_.reset();
    frontend_.reset();
    event_base_free(base_);
  }

  void turn() const { event_base_loop(base_, EVLOOP_ONCE | EVLOOP_NONBLOCK); }
  void turn_until(const std::function<bool()>& holds, const char* otherwise) const {
    for (int i = 0; !holds(); ++i) {
      if (i == kPatienceMs) give_up(otherwise);
      turn();
      poll(nullptr, 0, 1);
    }
  }
  std::size_t held_bytes() const { return broker_->in_flight_requests().memory()->held_bytes(); }
  // Reads a whole response of each client while the broker's loop runs.
  void receive(const std::vector<Client*>& clients) const {
    for (const Client* client : clients) set_receive_buffer(*client, 1 << 20);
    turn_until([&] { return std::all_of(clients.begin(), clients.end(), has_received_all); },
               "a response doesn't end");
  }
  std::string response(Client& client) const {
    receive({&client});
    return client.reads();
  }
  // Takes what has arrived. @return whether it is a whole response, or the connection has ended
  static bool has_received_all(Client* client) {
    std::string& bytes = client->peer.in;
    char some[65536];
    ssize_t n = 0;
    while ((n = recv(client->peer.fd, some, sizeof some, MSG_DONTWAIT)) > 0) {
      bytes.append(some, static_cast<std::size_t>(n));
    }
    if (n == 0) return true;
    const auto head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    const std::string head = bytes.substr(0, head_end);
    if (head.find("chunked") != std::string::npos) {
      return bytes.compare(bytes.size() - std::min(bytes.size(), std::size_t{7}), 7, "\r\n0\r\n\r\n") == 0;
    }
    const std::string kLength = "Content-Length: ";
    return bytes.size() >= head_end + 4 + std::stoul(head.substr(head.find(kLength) + kLength.size()));
  }
  static void set_receive_buffer(const Client& client, int bytes) {
    setsockopt(client.peer.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  // Keeps the system from taking much of what is written to clients.
  static void shrink_buffers(const Client& client) {
    const int small = 16384;
    set_receive_buffer(client, small);
    for (int fd = 0; fd < 1024; ++fd) {
      sockaddr_in local{};
      socklen_t length = sizeof local;
      if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &length) == 0 &&
          local.sin_port == htons(kBroker) && fd != client.peer.fd) {
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
      }
    }
  }
  void expect_nothing_held() const {
    turn_until([&] { return held_bytes() == 0 && broker_->in_flight_requests().count() == 0; },
               "memory is not given back");
  }

  // The ids of requests tell: a host may read a search long after it was withdrawn.
  void expect_no_search_begins() const {
    const auto next_id = broker_->in_flight_requests().next_id();
    for (int i = 0; i < 50; ++i) {
      turn();
      poll(nullptr, 0, 1);
    }
    EXPECT_EQ(broker_->in_flight_requests().next_id(), next_id);
  }

  Listener discovery_{kDiscovery};
  LargeAnswerHost host_{1, kDocumentBytes};
  event_base* base_;
  std::unique_ptr<cairnhub::server::Broker> broker_;
  std::unique_ptr<cairnhub::frontend::opensearch::OpenSearchFrontend> frontend_;

  static cairnhub::dispatch::Config config() {
    char name[] = "/tmp/cairnhub-test-XXXXXX";
    const int fd = mkstemp(name);
    if (fd < 0) give_up("no file for the configuration");
    close(fd);
    const auto member = [](int number, int cell, const char* flavor) {
      return R"({"id":"s-)" + std::to_string(number) + R"(","cell":)" + std::to_string(cell) +
             R"(,"flavor":")" + flavor + R"(","phase":"in_service","up_since_ms":0,"host_port":")" +
             text(kNode + number) + "\"}";
    };
    std::ofstream(name)
        << R"({"listen":")" << text(kBroker) << R"(","discovery":")" << text(kDiscovery)
        << R"(","seed":"1f","limits":{"memory_mb":)" << kSmallMemoryMb
        << R"(,"sockets":1024},"known":{"revision":1,"complete":true,"members":[)" << member(1, 0, "s") << ","
        << member(2, 1, "m") << R"(]},"settings":{"ceilings":{"cancel":true,"retry-after":true,)"
        << R"("max-retry-after":0.5,"multiplex":32,"try-limit":3},"classes":[{"name":"all",)"
        << R"("promise":30,"deadline":30}],"family-info":{"positions":2,"width":1,"ranges":2}}})";
    cairnhub::dispatch::Config read = cairnhub::dispatch::read_config(name);
    unlink(name);
    return read;
  }
  static cairnhub::server::BrokerOptions options() {
    cairnhub::server::BrokerOptions options;
    options.search_flavor = "s";
    return options;
  }
  static cairnhub::frontend::opensearch::IndexDefinition register_index() {
    return {"register", 0, 1, 0, 30 * cairnhub::kSecond, 1 << 20};
  }
  std::string endpoint_name(cairnhub::EndpointId) const override { return "s-1"; }
  std::vector<std::string> replica_names(int) const override { return {"s-1"}; }
  int ready_count() const override { return 1; }
};

// The first search is answered last: those after it wait within the bound, and none starts beyond it.
TEST_F(MemoryBoundOrder, FirstSearchOfAnMsearchEndsLast) {
  host_.hold_only(1);
  Client client;
  client.peer.write(msearch_of(40));
  turn_until([&] { return host_.asked() >= 1; }, "nothing is searched");
  for (int i = 0; i < 200; ++i) {
    turn();
    poll(nullptr, 0, 1);
    EXPECT_LE(held_bytes(), std::size_t{kSmallMemoryMb} << 18);  // a quarter of the memory
  }
  EXPECT_LT(host_.asked(), 40);
  EXPECT_FALSE(readable(client.peer.fd, 0));
  host_.release();
  EXPECT_EQ(items_of(response(client)).whole, 40);
  expect_nothing_held();
}

// All are answered at once, but the client reads nothing: what isn't written waits within the bound.
TEST_F(MemoryBoundOrder, SearchesOfAnMsearchEndBeforeTheClientReads) {
  Client client;
  turn();
  turn();
  shrink_buffers(client);
  client.peer.write(msearch_of(40));
  turn_until([&] { return readable(client.peer.fd, 0); }, "the response doesn't begin");
  for (int i = 0; i < 200; ++i) {
    turn();
    poll(nullptr, 0, 1);
    EXPECT_LE(held_bytes(), std::size_t{kSmallMemoryMb} << 18);  // a quarter of the memory
  }
  EXPECT_LT(host_.asked(), 40);
  EXPECT_EQ(items_of(response(client)).whole, 40);
  expect_nothing_held();
}

// The client leaves before a byte of the response is written: no search begins afterwards.
TEST_F(MemoryBoundOrder, ClientLeavesBeforeTheResponse) {
  host_.hold_from(1);
  auto client = std::make_unique<Client>();
  client->peer.write(msearch_of(40));
  turn_until([&] { return host_.asked() >= 1; }, "nothing is searched");
  client.reset();
  expect_nothing_held();
  host_.release();
  expect_no_search_begins();
}

// The client leaves in the middle of the response.
TEST_F(MemoryBoundOrder, ClientLeavesDuringTheResponse) {
  auto client = std::make_unique<Client>();
  turn();
  turn();
  shrink_buffers(*client);
  client->peer.write(msearch_of(40));
  turn_until([&] { return readable(client->peer.fd, 0); }, "the response doesn't begin");
  EXPECT_GT(held_bytes(), 0U);
  client->peer.reset();
  expect_nothing_held();
  expect_no_search_begins();
  Client next;
  next.peer.write(msearch_of(3));
  EXPECT_EQ(items_of(response(next)).whole, 3);
}

// Responses that their clients don't read fill the bound: further requests of either form are refused, with
// Retry-After, until the responses are read; each of these arrives whole.
TEST_F(MemoryBoundOrder, LookupsThatAreNotReadFillTheBound) {
  constexpr int kMaxClients = 100;
  const std::string value(60000, '\1');  // six times as long in the response
  Node node(2);
  std::vector<std::unique_ptr<Client>> clients;
  std::string refused;
  for (int i = 0; refused.empty() && i < kMaxClients; ++i) {
    clients.push_back(std::make_unique<Client>());
    Client& client = *clients.back();
    turn();
    turn();
    shrink_buffers(client);
    client.peer.write(Client::request("m" + std::to_string(i), "all", Client::parts({1}), "30"));
    if (!node.peer) {
      turn_until([&] { return readable(node.door->fd, 0); }, "the node isn't connected to");
      node.accept();
    }
    turn_until([&] { return readable(node.peer->fd, 0) || readable(client.peer.fd, 0); }, "nothing happens");
    if (readable(client.peer.fd, 0)) {
      refused = client.reads();
      clients.pop_back();
      break;
    }
    const std::string call = node.reads(false);
    node.peer->write(framed('E', call.substr(1, call.find(' ') - 1) + " hit 7 -\n" + value));
    turn_until([&] { return readable(client.peer.fd, 0); }, "the client hears nothing");
  }
  EXPECT_EQ(refused, "503 come back later too many in hand ");
  EXPECT_GE(held_bytes(), std::size_t{kSmallMemoryMb} << 18);
  Client searching;
  searching.peer.write(post("/register/_search", "{}"));
  EXPECT_EQ(response(searching).rfind("429 come back later last", 0), 0U);
  std::vector<Client*> readers;
  for (const auto& client : clients) readers.push_back(client.get());
  receive(readers);
  for (const auto& client : clients) {
    const std::string got = client->reads();
    EXPECT_EQ(got.rfind("200 ", 0), 0U);
    EXPECT_EQ(got.size(), std::string(R"(200 {"finished":true,"found":[{"bucket":1,"item":""}]})").size() +
                              6 * value.size());
  }
  expect_nothing_held();
  Client again;
  again.peer.write(post("/register/_search", "{}"));
  EXPECT_EQ(response(again).rfind("200 ", 0), 0U);
}

// Many searches at once, whose answers together are more than the memory: each is answered once, whole or
// refused, and the room is given back.
TEST_F(MemoryBoundOrder, SearchesWhoseAnswersDontFitAreRefused) {
  constexpr int kSearches = 120;
  host_.hold_from(1);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kSearches; ++i) {
    clients.push_back(std::make_unique<Client>());
    turn();
    turn();
    shrink_buffers(*clients.back());
    clients.back()->peer.write(post("/register/_search", "{}"));
    turn();
  }
  turn_until([&] { return host_.asked() >= 32; }, "too few searches are out");
  host_.release();
  for (int i = 0; i < 500; ++i) {
    turn();
    EXPECT_LE(held_bytes(), (std::size_t{kSmallMemoryMb} << 20) * 3 / 4);
  }
  std::vector<Client*> readers;
  for (const auto& client : clients) readers.push_back(client.get());
  receive(readers);
  int whole = 0;
  for (const auto& client : clients) {
    const std::string got = client->reads();
    const bool is_whole = got.rfind("200 ", 0) == 0;
    whole += is_whole;
    EXPECT_TRUE(is_whole || got.rfind("429", 0) == 0 || got.rfind("503", 0) == 0) << got.substr(0, 200);
  }
  EXPECT_GT(whole, 0);
  expect_nothing_held();
}

}  // namespace
