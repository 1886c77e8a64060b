// Which response belongs to which attempt, at each moment at which an endpoint may send bytes that answer
// nothing. Guards against the failure of docs/incidents/another-searches-documents.md. The event loop turns
// in this thread, which also speaks for the endpoint, so that each order of events is forced.
#include "backend/opensearch/search_client.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "backend/opensearch/response_owner.h"
#include "stand_ins/http_peer.h"
#include "unit/backend/backend_fixture.h"

namespace cairnhub::backend {

namespace {

using stand_ins::Peer;

constexpr std::size_t kMaxConnectionsPerEndpoint = 4;

// A search of one shard, whose body is what the endpoint answers with.
struct Search : TestRequest {
  explicit Search(const std::string& body) : TestRequest(body) {
    shard_request.http_target = "/register/_search";
  }
};

struct ReceivedRequest {
  std::string head;
  std::string body;
  std::string opaque_id() const { return stand_ins::header_field(head, kOpaqueIdHeader); }
};

std::string response(const std::string& body, const std::string& opaque_id, const char* status = "200 OK") {
  return std::string("HTTP/1.1 ") + status + "\r\n" +
         (opaque_id.empty() ? "" : "X-Opaque-Id: " + opaque_id + "\r\n") +
         "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

class SearchClientTest : public BackendFixture {
 protected:
  SearchClientTest() { add_endpoint(client_); }

  void send(Search& search) { BackendFixture::send(client_, search); }

  // The next request on the connection.
  ReceivedRequest read(Peer& connection) {
    const std::string length_field = "Content-Length: ";
    ReceivedRequest request;
    const auto is_whole = [&] {
      if (stand_ins::readable(connection.fd, 0) && !connection.more()) return true;
      const auto head_end = connection.in.find("\r\n\r\n");
      if (head_end == std::string::npos) return false;
      const auto length_at = connection.in.find(length_field);
      const std::size_t length = std::stoul(connection.in.substr(length_at + length_field.size()));
      if (connection.in.size() < head_end + 4 + length) return false;
      request.head = connection.take(head_end + 4);
      request.body = connection.take(length);
      return true;
    };
    EXPECT_TRUE(turn_until(is_whole));
    EXPECT_FALSE(request.head.empty()) << "the connection has ended";
    return request;
  }

  // Answers the search, which may come on the open connection or on a new one.
  void answer(Search& search, std::unique_ptr<Peer>& connection, bool returns_ids) {
    ASSERT_TRUE(turn_until(
        [&] { return has_new_connection() || (connection && stand_ins::readable(connection->fd, 0)); }));
    if (has_new_connection()) connection = accept();
    const ReceivedRequest request = read(*connection);
    connection->write(response(request.body, returns_ids ? request.opaque_id() : ""));
    ASSERT_TRUE(await_end(search));
  }

  SearchClient client_{base_.get(),
                       {.max_connections_per_endpoint = kMaxConnectionsPerEndpoint,
                        .max_connections = kMaxConnectionsPerEndpoint,
                        .max_body_bytes = 65536,
                        .idle_timeout = kTestPatience},
                       std::make_shared<dispatch::ClientMemory>(kTestMemoryBytes),
                       [this](dispatch::Attempt& attempt, const dispatch::AttemptResult& result) {
                         record_end(attempt, result);
                       },
                       [] {}};
};

// When the bytes come that belong to no request.
enum class Moment {
  kWithTheResponse,
  kIdleSeenByTheLoop,
  kIdleSeenByTheLookBeforeReuse,
  kAsTheNextIsWritten,
  kAfterTheNextIsWritten,
};

const char* name_of(Moment moment) {
  switch (moment) {
    case Moment::kWithTheResponse:
      return "WithTheResponse";
    case Moment::kIdleSeenByTheLoop:
      return "IdleSeenByTheLoop";
    case Moment::kIdleSeenByTheLookBeforeReuse:
      return "IdleSeenByTheLookBeforeReuse";
    case Moment::kAsTheNextIsWritten:
      return "AsTheNextIsWritten";
    case Moment::kAfterTheNextIsWritten:
      return "AfterTheNextIsWritten";
  }
  return "";
}

struct Disturbance {
  Moment moment;
  bool returns_ids;
};

class DisturbedSearchTest : public SearchClientTest, public testing::WithParamInterface<Disturbance> {
 protected:
  // Plays one search, foreign bytes, and a second search, which is sent anew as the policy would if its
  // attempt fails. @param foreign_bytes what comes, made of the first response. @return attempts of the
  // second search
  int play(const std::function<std::string(const std::string& first_response)>& foreign_bytes,
           const std::function<std::string(const std::string& first_response)>& later_bytes = {}) {
    const auto [moment, returns_ids] = GetParam();
    client_.forget_endpoint(kTestEndpoint);  // with what an earlier play taught of it
    add_endpoint(client_);
    Search first("first");
    send(first);
    auto connection = accept();
    const ReceivedRequest request = read(*connection);
    const std::string first_response = response(request.body, returns_ids ? request.opaque_id() : "");
    const std::string foreign = foreign_bytes(first_response);
    connection->write(first_response + (moment == Moment::kWithTheResponse ? foreign : ""));
    EXPECT_TRUE(await_end(first));
    EXPECT_TRUE(first.is_returned()) << "the first answer counts";
    EXPECT_EQ(first.value, "first");
    if (moment == Moment::kIdleSeenByTheLoop || moment == Moment::kIdleSeenByTheLookBeforeReuse) {
      write_if_open(*connection, foreign);
    }
    if (moment == Moment::kIdleSeenByTheLoop && !foreign.empty()) {
      EXPECT_TRUE(await_close(*connection));
    }
    const Peer first_connection = std::move(*connection);
    connection.reset();
    const bool comes_later =
        moment == Moment::kAsTheNextIsWritten || moment == Moment::kAfterTheNextIsWritten;
    const Foreign bytes{comes_later ? foreign : "", later_bytes ? later_bytes(first_response) : ""};
    if (play_second(first_connection, bytes)) return 1;
    EXPECT_TRUE(play_second(first_connection, {})) << "no fewer searches are answered";
    return 2;
  }

 private:
  // What is still to come on the first connection; the latter after the former has been seen on its own.
  struct Foreign {
    std::string bytes;
    std::string later;
  };
  void write_foreign(const Peer& connection, const Foreign& foreign) {
    write_if_open(connection, foreign.bytes);
    if (foreign.later.empty()) return;
    for (int i = 0; i < 3; ++i) turn();
    write_if_open(connection, foreign.later);
  }
  // Plays one attempt of the second search. @return whether it returned; its value is that of its own search
  bool play_second(const Peer& first_connection, const Foreign& foreign) {
    const auto [moment, returns_ids] = GetParam();
    Search second("second");
    send(second);
    if (moment != Moment::kAfterTheNextIsWritten) write_foreign(first_connection, foreign);
    // The request comes on the open connection, or on a new one.
    std::unique_ptr<Peer> requested;
    EXPECT_TRUE(turn_until([&] {
      if (second.has_ended) return true;
      if (has_new_connection()) {
        requested = accept();
      } else if (has_request(first_connection)) {
        requested = std::make_unique<Peer>(dup(first_connection.fd));
      }
      return requested != nullptr;
    }));
    if (requested) {
      const ReceivedRequest request = read(*requested);
      if (moment == Moment::kAfterTheNextIsWritten) write_foreign(first_connection, foreign);
      write_if_open(*requested, response(request.body, returns_ids ? request.opaque_id() : ""));
    }
    EXPECT_TRUE(await_end(second));
    if (second.is_returned()) {
      EXPECT_EQ(second.value, "second") << "the document of another search";
    }
    return second.is_returned();
  }
  static bool has_request(const Peer& connection) {
    char byte;
    return recv(connection.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
};

// A second copy of a response is not the response to the next search. Once it was, at each of these moments.
TEST_P(DisturbedSearchTest, CopyIsNotTheNextResponse) {
  const int attempts = play([](const std::string& copy) { return copy; });
  const bool may_cost_an_attempt =
      GetParam().returns_ids && (GetParam().moment == Moment::kAsTheNextIsWritten ||
                                 GetParam().moment == Moment::kAfterTheNextIsWritten);
  EXPECT_LE(attempts, may_cost_an_attempt ? 2 : 1);
}

// The same for the beginning of a copy, cut at each of its bytes.
TEST_P(DisturbedSearchTest, BeginningOfACopyIsNotTheNextResponse) {
  const std::size_t length = response("first", GetParam().returns_ids ? OpaqueIds().next() : "").size();
  for (std::size_t cut = 1; cut < length; ++cut) {
    SCOPED_TRACE("cut after " + std::to_string(cut) + " bytes");
    EXPECT_LE(play([cut](const std::string& copy) { return copy.substr(0, cut); }), 2);
    if (HasFailure()) return;
  }
}

// The same for a copy that comes in two pieces, cut at each of its bytes.
TEST_P(DisturbedSearchTest, CopyInPiecesIsNotTheNextResponse) {
  const std::size_t length = response("first", GetParam().returns_ids ? OpaqueIds().next() : "").size();
  for (std::size_t cut = 1; cut < length; ++cut) {
    SCOPED_TRACE("cut after " + std::to_string(cut) + " bytes");
    EXPECT_LE(play([cut](const std::string& copy) { return copy.substr(0, cut); },
                   [cut](const std::string& copy) { return copy.substr(cut); }),
              2);
    if (HasFailure()) return;
  }
}

TEST_P(DisturbedSearchTest, NoiseIsNotTheNextResponse) {
  for (const char* noise : {"x", "\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoise",
                            "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                            "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"}) {
    SCOPED_TRACE(noise);
    EXPECT_LE(play([noise](const std::string&) { return noise; }), 2);
  }
}

std::vector<Disturbance> all_disturbances() {
  std::vector<Disturbance> all;
  for (const Moment moment :
       {Moment::kWithTheResponse, Moment::kIdleSeenByTheLoop, Moment::kIdleSeenByTheLookBeforeReuse,
        Moment::kAsTheNextIsWritten, Moment::kAfterTheNextIsWritten}) {
    all.push_back({moment, true});
    all.push_back({moment, false});
  }
  return all;
}

INSTANTIATE_TEST_SUITE_P(Moments, DisturbedSearchTest, testing::ValuesIn(all_disturbances()),
                         [](const auto& info) {
                           return std::string(name_of(info.param.moment)) +
                                  (info.param.returns_ids ? "ReturningIds" : "ReturningNoIds");
                         });

// An endpoint that returns ids costs no connection a search.
TEST_F(SearchClientTest, EndpointThatReturnsIdsKeepsItsConnection) {
  std::unique_ptr<Peer> connection;
  for (int i = 0; i < 20; ++i) {
    Search search("search " + std::to_string(i));
    send(search);
    if (i > 0) {
      EXPECT_FALSE(has_new_connection());
    }
    answer(search, connection, true);
    EXPECT_TRUE(search.is_returned());
    EXPECT_EQ(search.value, search.request.body);
  }
  EXPECT_FALSE(has_new_connection());
}

// Nothing tells the responses of such an endpoint apart, so that each search has a connection of its own;
// from the second on the endpoint is told so.
TEST_F(SearchClientTest, EndpointThatReturnsNoIdsGetsOneSearchAConnection) {
  for (int i = 0; i < 20; ++i) {
    Search search("search " + std::to_string(i));
    send(search);
    auto connection = accept();
    const ReceivedRequest request = read(*connection);
    EXPECT_EQ(request.head.find("Connection: close") != std::string::npos, i > 0);
    connection->write(response(request.body, ""));
    ASSERT_TRUE(await_end(search));
    EXPECT_TRUE(search.is_returned());
    EXPECT_EQ(search.value, search.request.body);
    EXPECT_TRUE(await_close(*connection));
  }
  // It returns ids from now on.
  Search learns("learns");
  send(learns);
  std::unique_ptr<Peer> connection;
  answer(learns, connection, true);
  Search next("next");
  send(next);
  connection = accept();
  EXPECT_EQ(read(*connection).head.find("Connection: close"), std::string::npos);
  client_.cancel(next.attempt);
}

// Ids differ from one another, of one client and of several.
TEST_F(SearchClientTest, IdsAreNotRepeated) {
  OpaqueIds ids;
  OpaqueIds other_ids;
  EXPECT_NE(ids.next(), ids.next());
  EXPECT_NE(OpaqueIds().next(), other_ids.next());
}

TEST_F(SearchClientTest, ResponseUnderAnotherIdIsNoResponse) {
  Search search("search");
  send(search);
  auto connection = accept();
  read(*connection);
  connection->write(response("search", "another"));
  ASSERT_TRUE(await_end(search));
  EXPECT_EQ(search.end, dispatch::AttemptEnd::kInvalidResponse);
  EXPECT_EQ(search.write_progress, dispatch::WriteProgress::kFullyWritten) << "it may have run";
  EXPECT_TRUE(await_close(*connection));
}

// Such as the head of one response that ends within the head of another.
TEST_F(SearchClientTest, ResponseUnderTwoIdsIsNoResponse) {
  Search search("search");
  send(search);
  auto connection = accept();
  const std::string id = read(*connection).opaque_id();
  connection->write("HTTP/1.1 200 OK\r\nX-Opaque-Id: " + id +
                    "\r\nX-Opaque-Id: another\r\nContent-Length: 6\r\n\r\nsearch");
  ASSERT_TRUE(await_end(search));
  EXPECT_EQ(search.end, dispatch::AttemptEnd::kInvalidResponse);
}

class StatusTest : public SearchClientTest, public testing::WithParamInterface<const char*> {};

// On a connection that has carried another search, a response without an id proves nothing, a refusal
// neither.
TEST_P(StatusTest, ResponseWithoutAnIdOnAReusedConnectionIsNoResponse) {
  std::unique_ptr<Peer> connection;
  Search first("first");
  send(first);
  answer(first, connection, true);
  Search second("second");
  send(second);
  read(*connection);
  connection->write(response("second", "", GetParam()));
  ASSERT_TRUE(await_end(second));
  EXPECT_EQ(second.end, dispatch::AttemptEnd::kInvalidResponse);
  EXPECT_EQ(second.write_progress, dispatch::WriteProgress::kFullyWritten) << "it may have run";
  EXPECT_TRUE(await_close(*connection));
}

INSTANTIATE_TEST_SUITE_P(Statuses, StatusTest,
                         testing::Values("200 OK", "429 Too Many Requests", "500 Internal Server Error",
                                         "503 Service Unavailable"),
                         [](const auto& info) { return "Status" + std::string(info.param).substr(0, 3); });

TEST_F(SearchClientTest, RefusalWithoutAnIdOnANewConnectionIsARefusal) {
  Search search("search");
  send(search);
  auto connection = accept();
  read(*connection);
  connection->write(response("", "", "429 Too Many Requests"));
  ASSERT_TRUE(await_end(search));
  EXPECT_EQ(search.end, dispatch::AttemptEnd::kQueueFull);
}

// After the response to another request each search has a connection of its own, so that an endpoint that
// repeats each of its answers costs one attempt, not one a search.
TEST_F(SearchClientTest, EndpointThatAnsweredUnderAnotherIdGetsOneSearchAConnection) {
  std::unique_ptr<Peer> connection;
  Search first("first");
  send(first);
  answer(first, connection, true);
  Search second("second");
  send(second);
  const ReceivedRequest request = read(*connection);
  connection->write(response("first", "another") + response(request.body, request.opaque_id()));
  ASSERT_TRUE(await_end(second));
  EXPECT_EQ(second.end, dispatch::AttemptEnd::kInvalidResponse);
  EXPECT_TRUE(await_close(*connection));
  for (int i = 0; i < 3; ++i) {
    Search next("next");
    send(next);
    connection = accept();
    answer(next, connection, true);
    EXPECT_TRUE(next.is_returned());
    EXPECT_TRUE(await_close(*connection));
  }
}

// Noise on two idle connections in one turn of the loop.
TEST_F(SearchClientTest, NoiseOnSeveralIdleConnectionsAtOnceCostsNoSearch) {
  Search first("first");
  Search second("second");
  send(first);
  auto connection = accept();
  send(second);
  auto other_connection = accept();
  answer(first, connection, true);
  answer(second, other_connection, true);
  connection->write("noise");
  other_connection->write("noise");
  EXPECT_TRUE(await_close(*connection));
  EXPECT_TRUE(await_close(*other_connection));
  Search third("third");
  send(third);
  connection = accept();
  answer(third, connection, true);
  EXPECT_TRUE(third.is_returned());
  EXPECT_EQ(third.value, "third");
}

// An endpoint that speaks first fails the attempt, which has not been written; it isn't connected to again
// and again.
TEST_F(SearchClientTest, EndpointThatSpeaksFirstFailsTheAttempt) {
  Search search("search");
  send(search);
  Peer connection = listener_.accept();  // the system's queue accepts it before the loop turns
  connection.write(response("search", ""));
  ASSERT_TRUE(await_end(search));
  EXPECT_EQ(search.end, dispatch::AttemptEnd::kInvalidResponse);
  EXPECT_FALSE(has_new_connection());
}

}  // namespace

}  // namespace cairnhub::backend
