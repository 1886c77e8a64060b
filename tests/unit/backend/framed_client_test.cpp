// Which result of a framed endpoint belongs to which attempt, where clients choose the names of requests.
// Guards against the failure of docs/incidents/another-searches-documents.md.
#include "backend/framed/framed_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "unit/backend/backend_fixture.h"

namespace cairnhub::backend {

namespace {

using stand_ins::framed;
using stand_ins::Peer;

constexpr int kMaxBatchesPerConnection = 32;
constexpr std::size_t kMaxConnections = 4;
constexpr std::size_t kLengthBytes = 4;

// A shard request under the name that a client chose.
struct Lookup : TestRequest {
  Lookup(RequestId id, const std::string& name, const std::string& body) : TestRequest(body) {
    shard_request.id = id;
    shard_request.name = name;
  }
};

std::string result(const std::string& name, const std::string& value) {
  return framed('E', name + " hit 7 -\n" + value);
}

class FramedClientTest : public BackendFixture {
 protected:
  FramedClientTest() { add_endpoint(client_); }

  void send(Lookup& lookup) { BackendFixture::send(client_, lookup); }
  // Turns until the connection has brought the frame that asks for this text. Frames before it are dropped.
  void await_asked(Peer& connection, const std::string& text) {
    EXPECT_TRUE(turn_until([&] {
      if (stand_ins::readable(connection.fd, 0) && !connection.more()) return true;
      return connection.in.find(text) != std::string::npos;
    }));
    connection.in.clear();
  }
  // Turns until the text has come, on a new connection or on the one that is open. Returns the new one.
  std::unique_ptr<Peer> await_asked_elsewhere(Peer& connection, const std::string& text) {
    EXPECT_TRUE(turn_until([&] { return has_new_connection() || stand_ins::readable(connection.fd, 0); }));
    if (!has_new_connection()) {
      ADD_FAILURE() << "sent on the connection that has carried the name";
      return std::make_unique<Peer>(dup(connection.fd));
    }
    auto opened = accept();
    await_asked(*opened, text);
    return opened;
  }
  std::unique_ptr<Peer> send_on_a_new_connection(Lookup& lookup) {
    send(lookup);
    auto connection = accept();
    await_asked(*connection, lookup.request.body);
    return connection;
  }
  // Sends another request of the name, then has the first one's result come on its connection: it is not the
  // result of the other, which gets its own.
  void expect_later_request_gets_its_own(Peer& first_connection) {
    Lookup later(2, "q1.0", "later");
    send(later);
    auto other_connection = await_asked_elsewhere(first_connection, "later");
    write_if_open(first_connection, result("q1.0", "made of first"));
    settle();
    EXPECT_FALSE(later.has_ended) << "got " << later.value;
    other_connection->write(result("q1.0", "made of later"));
    ASSERT_TRUE(await_end(later));
    EXPECT_TRUE(later.is_returned());
    EXPECT_EQ(later.value, "made of later");
  }
  void settle() {
    for (int i = 0; i < 5; ++i) turn();
  }

  FramedClient client_{base_.get(),
                       {.max_batches_per_connection = kMaxBatchesPerConnection,
                        .max_shard_requests_per_batch = 1,
                        .connect_timeout = kTestPatience,
                        .idle_timeout = kTestPatience,
                        .max_connections = kMaxConnections},
                       std::make_shared<dispatch::ClientMemory>(kTestMemoryBytes),
                       [this](dispatch::Attempt& attempt, const dispatch::AttemptResult& result) {
                         record_end(attempt, result);
                       },
                       [] {}};
};

// Two clients chose one name; the attempt for the first is still in flight as the second is sent. Once the
// second got the value made for the first.
TEST_F(FramedClientTest, NameInFlightForAnotherRequestGoesToAnotherConnection) {
  Lookup first(1, "q1.0", "first");
  auto connection = send_on_a_new_connection(first);
  expect_later_request_gets_its_own(*connection);
  ASSERT_TRUE(first.has_ended);
  EXPECT_EQ(first.value, "made of first");
}

// The first has been answered, and its result comes a second time. Once it was the second client's result.
TEST_F(FramedClientTest, CopyOfAResultIsNotTheResultOfALaterRequestOfTheName) {
  Lookup first(1, "q1.0", "first");
  auto connection = send_on_a_new_connection(first);
  connection->write(result("q1.0", "made of first"));
  ASSERT_TRUE(await_end(first));
  expect_later_request_gets_its_own(*connection);
}

// The first has been cancelled, and its result crosses the cancel frame. Once the second failed for it.
TEST_F(FramedClientTest, ResultOfACancelledRequestDoesNotFailALaterRequestOfTheName) {
  Lookup first(1, "q1.0", "first");
  auto connection = send_on_a_new_connection(first);
  client_.cancel(first.attempt);
  expect_later_request_gets_its_own(*connection);
}

// Where no further connection may be opened, the attempt isn't sent; the endpoint is not at fault.
TEST_F(FramedClientTest, NameInFlightOnEachConnectionIsNotSent) {
  Lookup lookups[] = {
      {1, "q1.0", "b1"}, {2, "q1.0", "b2"}, {3, "q1.0", "b3"}, {4, "q1.0", "b4"}, {5, "q1.0", "b5"}};
  for (Lookup& lookup : lookups) send(lookup);
  EXPECT_TRUE(lookups[4].has_ended);
  EXPECT_EQ(lookups[4].end, dispatch::AttemptEnd::kCancelled);
  EXPECT_EQ(lookups[4].write_progress, dispatch::WriteProgress::kNotConnected);
  for (Lookup& lookup : lookups) client_.cancel(lookup.attempt);
}

// A client that repeats its name has no connection beside the one that it replaces.
TEST_F(FramedClientTest, RepeatedNameReplacesAnIdleConnection) {
  std::unique_ptr<Peer> last;
  for (RequestId id = 1; id <= 2 * kMaxConnections; ++id) {
    const std::string body = "body " + std::to_string(id);
    Lookup lookup(id, "q1.0", body);
    send(lookup);
    auto connection = accept();
    await_asked(*connection, body);
    if (last) {
      EXPECT_TRUE(await_close(*last));
    }
    connection->write(result("q1.0", "made of " + body));
    ASSERT_TRUE(await_end(lookup));
    EXPECT_EQ(lookup.value, "made of " + body);
    last = std::move(connection);
  }
}

// Names that differ share a connection, and so do attempts for one shard request.
TEST_F(FramedClientTest, OtherNamesAndFurtherAttemptsShareTheConnection) {
  Lookup first(1, "q1.0", "first");
  auto connection = send_on_a_new_connection(first);
  Lookup other(2, "q2.0", "other");
  send(other);
  await_asked(*connection, "other");
  client_.cancel(first.attempt);
  Lookup further(1, "q1.0", "further");
  send(further);
  await_asked(*connection, "further");
  EXPECT_FALSE(has_new_connection());
  client_.cancel(other.attempt);
  client_.cancel(further.attempt);
}

}  // namespace

}  // namespace cairnhub::backend
