// What hosts and discovery send takes no more memory than its bound allows, and sound ones beside them are
// served. Guards against the failure of docs/incidents/heads-past-the-memory-limit.md.
//
// The program under test is named by the environment (CAIRNHUB_PROGRAM).
#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/hostile_peer.h"
#include "stand_ins/large_answer_host.h"
#include "stand_ins/node.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;
using Deployment = cairnhub::stand_ins::Setup;  // testing::Test has a member of the other name

namespace {

constexpr int kMemoryMb = 32;
constexpr int kShortFields = 3700;
constexpr int kHeldForClientsMb = kMemoryMb / 2;  // at most, beside what a list takes
constexpr int kMaxListValues = 200000;

const char* const kOptions =
    "search { flavor: \"s\" index { name: \"register\" blocks: 1 op_type: \"all\" timeout_ms: 30000 } }\n";

class ReceivedMemory : public testing::Test {
 protected:
  ReceivedMemory() { program = std::getenv("CAIRNHUB_PROGRAM") ? std::getenv("CAIRNHUB_PROGRAM") : ""; }
};

std::string search_request() {
  return "POST /register/_search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
         "2\r\n\r\n{}";
}

// A connection of the program to a search host, with its request read.
Peer accept_search(Listener& host) {
  Peer connection = host.accept();
  while (connection.in.find("\r\n\r\n") == std::string::npos && connection.more()) continue;
  return connection;
}

// Hosts whose answers begin with heads of very many short fields that don't end.
TEST_F(ReceivedMemory, HeadsOfSearchHostsStayWithinTheLimit) {
  constexpr int kSearches = 60;
  auto sound_host = std::make_unique<LargeAnswerHost>(1, 100);
  World world(Deployment{
      .sockets = 1024, .memory_mb = kMemoryMb, .budget = "60", .options = kOptions, .flavors = "s"});
  world.ready();
  // Until a search has ended, each is expected to take the most that it can, and few are admitted at once.
  Client first;
  first.peer.write(search_request());
  EXPECT_EQ(first.reads().substr(0, 4), "200 ");
  sound_host.reset();
  Listener host(kNode + 1, 512);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<Peer> connections;
  for (int i = 0; i < kSearches; ++i) {
    clients.push_back(std::make_unique<Client>());
    clients.back()->peer.write(search_request());
    connections.push_back(accept_search(host));
  }
  for (const Peer& connection : connections) {
    write_some(connection, "HTTP/1.1 200 OK\r\n" + short_fields(kShortFields));
  }
  // The program goes on: a health check is answered after it has read what was written.
  for (int i = 0; i < 20; ++i) world.ready();
  expect_process_within(kMemoryMb, world.pid);
}

// Discovery as the test speaks for it; the program serves from the list of its configuration meanwhile.
class DiscoveryMemory : public ReceivedMemory {
 protected:
  DiscoveryMemory() : node(1), world(Deployment{.sockets = 1024, .memory_mb = kMemoryMb, .budget = "60"}) {
    world.ready();
    call = std::make_unique<Peer>(world.discovery.accept());
    while (call->in.find("\r\n\r\n") == std::string::npos && call->more()) continue;
  }
  // Writes a piece again and again until the program has closed the connection. @return whether it has
  bool write_until_closed(const std::string& piece) const {
    for (long i = 0; i < kPatienceMs; ++i) {
      for (int k = 0; k < 1000 && write_some(*call, piece); ++k) continue;
      char byte;
      if (recv(call->fd, &byte, 1, MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
        return true;
      poll(nullptr, 0, 1);
    }
    return false;
  }
  void expect_program_serves_and_asks_anew() {
    Client client;
    client.asks("q1", "all", {0});
    node.hits(node.reads(false), "5be2");
    EXPECT_EQ(client.reads().substr(0, 4), "200 ");
    Peer next = world.discovery.accept();
    while (next.in.find("\r\n\r\n") == std::string::npos) ASSERT_TRUE(next.more());
    expect_process_within(kMemoryMb, world.pid);
  }

  Node node;
  World world;
  std::unique_ptr<Peer> call;
};

TEST_F(DiscoveryMemory, DiscoveryHeadStaysWithinTheLimit) {
  write_some(*call, "HTTP/1.1 200 OK\r\n");
  EXPECT_TRUE(write_until_closed(short_fields(1000)));
  expect_program_serves_and_asks_anew();
}

TEST_F(DiscoveryMemory, DiscoveryChunksOfOneByteStayWithinTheLimit) {
  const int on = 1;
  setsockopt(call->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  write_some(*call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 200000; ++i) {
    if (!write_some(*call, "1\r\n") || !write_some(*call, "x") || !write_some(*call, "\r\n")) break;
  }
  EXPECT_TRUE(write_until_closed("1\r\nx\r\n"));
  expect_program_serves_and_asks_anew();
}

// A list of the greatest length that is read, of as many values as it can hold.
TEST_F(DiscoveryMemory, DiscoveryValuesStayWithinTheLimit) {
  const std::size_t length = (std::size_t{kMemoryMb} << 20) / 32;
  std::string body = "{\"revision\":2,\"members\":[";
  for (int values = 0; values < kMaxListValues - 10 && body.size() < length - 16; values += 2)
    body += "{\"\":0},";
  body += "0]}";
  call->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  // The list is read before discovery is asked anew.
  Peer next = world.discovery.accept();
  while (next.in.find("\r\n\r\n") == std::string::npos) ASSERT_TRUE(next.more());
  world.ready();
  expect_process_within(kMemoryMb - kHeldForClientsMb, world.pid);
}

}  // namespace
