// Requests that are not complete take no more memory than their bound allows, whatever they are made of, and
// sound clients beside them are served. Guards against the failure of
// docs/incidents/heads-past-the-memory-limit.md.
//
// The program under test is named by the environment (CAIRNHUB_PROGRAM); the test of the account runs the
// broker in this process.
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/in_flight_requests.h"
#include "server/broker.h"
#include "stand_ins/hostile_peer.h"
#include "stand_ins/large_answer_host.h"
#include "stand_ins/node.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;
using Deployment = cairnhub::stand_ins::Setup;  // testing::Test has a member of the other name

namespace {

constexpr int kMemoryMb = 32;  // the least that is supported
constexpr int kClients = 600;
constexpr int kShortFields = 3700;  // 4 bytes each: close to the longest head that is read
constexpr std::size_t kDocumentBytes = 200;

const char* const kOptions =
    "search { flavor: \"s\" index { name: \"register\" blocks: 1 op_type: \"all\" timeout_ms: 30000 } }\n";

std::string search_request() {
  return "POST /register/_search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
         "2\r\n\r\n{}";
}

// Reads to the end of the connection. Returns what has come.
std::string read_to_end(Client& client) {
  while (client.peer.more()) continue;
  return client.peer.in;
}

// The program as a process, with a host of search answers.
class IncompleteRequests : public testing::Test {
 protected:
  IncompleteRequests() {
    program = std::getenv("CAIRNHUB_PROGRAM") ? std::getenv("CAIRNHUB_PROGRAM") : "";
    host = std::make_unique<LargeAnswerHost>(1, kDocumentBytes);
    world = std::make_unique<World>(Deployment{
        .sockets = 1024, .memory_mb = kMemoryMb, .budget = "60", .options = kOptions, .flavors = "s"});
    world->ready();
  }

  void expect_sound_client_is_served() const {
    Client sound;
    sound.peer.write(search_request());
    EXPECT_EQ(sound.reads().substr(0, 4), "200 ");
  }
  // Connects clients that write the beginning of a request and no more; now and then a sound one asks between
  // them.
  void connect_clients(const std::string& beginning, int count = kClients) {
    for (int i = 0; i < count; ++i) {
      clients.push_back(std::make_unique<Client>());
      write_some(clients.back()->peer, beginning);
      if (i % 50 == 49) expect_sound_client_is_served();
    }
  }
  // Each client whose request was begun and not finished is told so once, and nothing else.
  void expect_each_is_told_once() {
    for (const auto& client : clients) {
      const std::string told = read_to_end(*client);
      EXPECT_EQ(told.substr(0, 33), "HTTP/1.1 503 Service Unavailable\r") << told;
      EXPECT_EQ(told.find("HTTP/1.1", 1), std::string::npos);
    }
  }
  void expect_within_limit() const { expect_process_within(kMemoryMb, world->pid); }

  std::unique_ptr<LargeAnswerHost> host;
  std::unique_ptr<World> world;
  std::vector<std::unique_ptr<Client>> clients;
};

// Once took 245 MB.
TEST_F(IncompleteRequests, HeadsOfShortFieldsStayWithinTheLimit) {
  connect_clients("POST /all HTTP/1.1\r\n" + short_fields(kShortFields));
  expect_each_is_told_once();
  expect_sound_client_is_served();
  expect_within_limit();
}

// Once took 234 MB.
TEST_F(IncompleteRequests, FinishedHeadsWithoutBodiesStayWithinTheLimit) {
  connect_clients("POST /all HTTP/1.1\r\nContent-Length: 60000\r\n" + short_fields(kShortFields) + "\r\n");
  expect_each_is_told_once();
  expect_sound_client_is_served();
  expect_within_limit();
}

// Each piece that is read apart takes a block of its own. Once took 90 MB with eight clients in three
// seconds.
TEST_F(IncompleteRequests, ChunksOfOneByteStayWithinTheLimit) {
  constexpr int kChunks = 8000;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(std::make_unique<Client>());
    const int on = 1;
    setsockopt(clients.back()->peer.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    write_some(clients.back()->peer, "POST /all HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  }
  for (int i = 0; i < kChunks; ++i) {
    for (const char* piece : {"1\r\n", "x", "\r\n"}) {
      for (const auto& client : clients) write_some(client->peer, piece);
    }
  }
  expect_sound_client_is_served();
  expect_each_is_told_once();
  expect_within_limit();
}

TEST_F(IncompleteRequests, TrailersOfShortFieldsStayWithinTheLimit) {
  connect_clients("POST /all HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
                  short_fields(kShortFields));
  expect_each_is_told_once();
  expect_sound_client_is_served();
  expect_within_limit();
}

// Requests that are whole and wait for their host keep no fields, so that they leave room for others.
TEST(RequestsInFlight, RequestsInFlightDontKeepTheirFields) {
  constexpr int kRequests = 60;
  program = std::getenv("CAIRNHUB_PROGRAM") ? std::getenv("CAIRNHUB_PROGRAM") : "";
  Node node(1);
  World world(Deployment{.sockets = 1024, .memory_mb = kMemoryMb, .budget = "60"});
  world.ready();
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::string> calls;
  for (int i = 0; i < kRequests; ++i) {
    std::string request = Client::request("q" + std::to_string(i), "all", Client::parts({0}), "30");
    request.insert(request.find("Host:"), short_fields(kShortFields));
    clients.push_back(std::make_unique<Client>());
    clients.back()->peer.write(request);
    calls.push_back(node.reads(false));
  }
  expect_process_within(kMemoryMb, world.pid);
  for (const std::string& call : calls) node.hits(call, "5be2");
  for (const auto& client : clients) EXPECT_EQ(client->reads().substr(0, 4), "200 ");
}

// A client that writes its request slowly, but within the time allowed, beside clients that never end theirs.
// These take several times the bound, and are few enough to be connected well within that time.
class SlowClient : public IncompleteRequests {
 protected:
  static constexpr int kBodyBytes = 20000;
  static constexpr int kOthers = 60;
  void write_first_half() {
    slow = std::make_unique<Client>();
    slow->peer.write(
        "POST /register/_search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(kBodyBytes) + "\r\n\r\n{" + std::string(kBodyBytes / 2 - 1, ' '));
  }
  void connect_others() { connect_clients("POST /all HTTP/1.1\r\n" + short_fields(kShortFields), kOthers); }
  void expect_served_with_second_half() {
    bool is_any_refused = false;
    for (const auto& client : clients) is_any_refused = is_any_refused || readable(client->peer.fd, 0);
    EXPECT_TRUE(is_any_refused);
    slow->peer.write(std::string(kBodyBytes / 2 - 1, ' ') + "}");
    EXPECT_EQ(slow->reads().substr(0, 4), "200 ");
  }
  std::unique_ptr<Client> slow;
};

TEST_F(SlowClient, SlowClientBeforeTheOthersIsServed) {
  write_first_half();
  connect_others();
  expect_served_with_second_half();
}

TEST_F(SlowClient, SlowClientAfterTheOthersIsServed) {
  connect_others();
  write_first_half();
  expect_sound_client_is_served();
  expect_served_with_second_half();
}

// The broker in this process, so that its account can be read.
class IncompleteRequestAccount : public testing::Test {
 protected:
  IncompleteRequestAccount()
      : base_(event_base_new()),
        broker_(
            std::make_unique<cairnhub::server::Broker>(base_, config(), cairnhub::server::BrokerOptions{})) {}
  ~IncompleteRequestAccount() override {
    broker_.reset();
    event_base_free(base_);
  }
  static cairnhub::dispatch::Config config() {
    char name[] = "/tmp/cairnhub-test-XXXXXX";
    const int file = mkstemp(name);
    if (file < 0) give_up("no file for the configuration");
    close(file);
    std::ofstream(name)
        << R"({"listen":")" << text(kBroker) << R"(","discovery":")" << text(kDiscovery)
        << R"(","seed":"1f","limits":{"memory_mb":)" << kMemoryMb << R"(,"sockets":1024},)"
        << R"("known":{"revision":1,"complete":true,"members":[{"id":"s-1","cell":0,"phase":"in_service",)"
        << R"("up_since_ms":0,"host_port":")" << text(kNode + 1) << R"("}]},"settings":{)"
        << R"("ceilings":{"connect-timeout":5},"classes":[{"name":"all","promise":30,"deadline":30}],)"
        << R"("family-info":{"positions":1,"width":1,"ranges":1}}})";
    cairnhub::dispatch::Config read = cairnhub::dispatch::read_config(name);
    unlink(name);
    return read;
  }
  std::size_t incomplete_bytes() const {
    return broker_->in_flight_requests().memory()->held_bytes(cairnhub::dispatch::MemoryUse::kIncomplete);
  }
  std::size_t held_bytes() const { return broker_->in_flight_requests().memory()->held_bytes(); }
  void turn_until(const std::function<bool()>& holds, const char* otherwise) const {
    for (int i = 0; !holds(); ++i) {
      if (i == kPatienceMs) give_up(otherwise);
      event_base_loop(base_, EVLOOP_ONCE | EVLOOP_NONBLOCK);
      EXPECT_LE(incomplete_bytes(), std::size_t{kMemoryMb} << 17);  // an eighth of the memory
      poll(nullptr, 0, 1);
    }
  }

  Listener discovery_{kDiscovery};
  event_base* base_;
  std::unique_ptr<cairnhub::server::Broker> broker_;
};

// Each way in which an incomplete request ends gives back all that was counted for it.
TEST_F(IncompleteRequestAccount, RoomIsGivenBackWhole) {
  const std::string beginning = "POST /all HTTP/1.1\r\nContent-Length: 5\r\n" + short_fields(1000) + "\r\n";
  {
    Client leaves;
    write_some(leaves.peer, beginning);
    turn_until([&] { return incomplete_bytes() > 0; }, "nothing is counted");
  }
  turn_until([&] { return held_bytes() == 0; }, "the room of a client that left is not given back");

  Client finishes;
  write_some(finishes.peer, beginning);
  turn_until([&] { return incomplete_bytes() > 0; }, "nothing is counted");
  write_some(finishes.peer, "[1,2]");
  turn_until([&] { return readable(finishes.peer.fd, 0); }, "no response");
  turn_until([&] { return held_bytes() == 0; }, "the room of a finished request is not given back");

  Client too_slow;
  write_some(too_slow.peer, beginning);
  turn_until([&] { return readable(too_slow.peer.fd, 0); }, "no response");
  turn_until([&] { return held_bytes() == 0; }, "the room of a client that was too slow is not given back");

  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 100; ++i) {
    clients.push_back(std::make_unique<Client>());
    write_some(clients.back()->peer, "POST /all HTTP/1.1\r\n" + short_fields(kShortFields));
  }
  turn_until([&] { return readable(clients.back()->peer.fd, 0); }, "no response");
  clients.clear();
  turn_until([&] { return held_bytes() == 0; }, "the room of rejected requests is not given back");
}

// Keeps the system from taking much of what the broker writes to the client.
void shrink_buffers(const Client& client) {
  const int small = 4096;
  setsockopt(client.peer.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  sockaddr_in client_address{};
  socklen_t length = sizeof client_address;
  getsockname(client.peer.fd, reinterpret_cast<sockaddr*>(&client_address), &length);
  for (int fd = 0; fd < 1024; ++fd) {
    sockaddr_in peer{};
    length = sizeof peer;
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) == 0 &&
        peer.sin_port == client_address.sin_port && fd != client.peer.fd) {
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    }
  }
}

// Guards against: the 503 to an incomplete request is written into the response to the request before it,
// which its client is still reading.
TEST_F(IncompleteRequestAccount, ResponseBeforeAnIncompleteRequestIsNotCutOff) {
  constexpr std::size_t kValueBytes = 60000;
  Node node(1);
  Client client;
  turn_until([&] { return broker_->endpoints().ready_count() == 1; }, "the host is not known");
  for (int i = 0; i < 10; ++i) event_base_loop(base_, EVLOOP_ONCE | EVLOOP_NONBLOCK);  // accepts the client
  shrink_buffers(client);
  // In one read with the request before, and larger than any other incomplete request below.
  const std::string next_request = "POST /all HTTP/1.1\r\n" + short_fields(900);
  client.peer.write(Client::request("q1", "all", Client::parts({0}), "20") + next_request);
  turn_until([&] { return readable(node.door->fd, 0); }, "the host is not connected to");
  node.accept();
  turn_until([&] { return readable(node.peer->fd, 0); }, "the host is not asked");
  const std::string call = node.reads(false);
  node.peer->write(
      framed('E', call.substr(1, call.find(' ') - 1) + " hit 7 -\n" + std::string(kValueBytes, 'a')));
  turn_until([&] { return readable(client.peer.fd, 0); }, "the response doesn't begin");
  std::vector<std::unique_ptr<Client>> others;
  bool is_any_refused = false;
  while (!is_any_refused) {
    others.push_back(std::make_unique<Client>());
    write_some(others.back()->peer,
               "POST /all HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(59000, 'x'));
    const std::size_t held_before = incomplete_bytes();
    turn_until(
        [&] { return incomplete_bytes() >= held_before + 59000 || readable(others.front()->peer.fd, 0); },
        "an incomplete request is not read");
    for (const auto& other : others) is_any_refused = is_any_refused || readable(other->peer.fd, 0);
    ASSERT_LT(others.size(), 200u);
  }
  std::string response;
  char some[4096];
  const auto has_ended = [&] {
    const ssize_t n = recv(client.peer.fd, some, sizeof some, MSG_DONTWAIT);
    if (n > 0) response.append(some, static_cast<std::size_t>(n));
    return n == 0 || response.find("HTTP/1.1", 1) != std::string::npos;
  };
  turn_until(has_ended, "the response doesn't end");
  EXPECT_EQ(response.rfind("HTTP/1.1 200 ", 0), 0u);
  EXPECT_GE(response.substr(0, response.find("HTTP/1.1", 1)).size(), kValueBytes);
}

}  // namespace
