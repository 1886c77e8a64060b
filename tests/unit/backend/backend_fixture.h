// What the tests of the clients of endpoints share. The event loop turns in the test's own thread, which also
// speaks for the endpoint, so that each order of events is forced.
#pragma once
#include <event2/event.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "base/sockets.h"
#include "dispatch/backend.h"
#include "dispatch/client_memory.h"
#include "stand_ins/net.h"

namespace cairnhub::backend {

constexpr EndpointId kTestEndpoint = 1;
constexpr Time kTestPatience = 10 * kSecond;
constexpr std::size_t kTestMemoryBytes = 64 << 20;

struct EventBaseDeleter {
  void operator()(event_base* owned) const { event_base_free(owned); }
};

// A request of one shard with one attempt, and how the attempt ended.
struct TestRequest {
  dispatch::Request request;
  dispatch::ShardRequest shard_request;
  dispatch::Attempt attempt;
  bool has_ended = false;
  dispatch::AttemptEnd end = dispatch::AttemptEnd::kCancelled;
  dispatch::WriteProgress write_progress = dispatch::WriteProgress::kNotConnected;
  std::string value;

  explicit TestRequest(const std::string& body) {
    request.body = body;
    shard_request.request = &request;
    attempt.shard_request = &shard_request;
    attempt.endpoint = kTestEndpoint;
    attempt.sent_at = now();
    attempt.expires_at = attempt.sent_at + kTestPatience;
  }
  bool is_returned() const { return has_ended && end == dispatch::AttemptEnd::kReturned; }
};

class BackendFixture : public testing::Test {
 protected:
  static constexpr int kHostNumber = 1;

  void turn() { event_base_loop(base_.get(), EVLOOP_NONBLOCK); }
  [[nodiscard]] bool turn_until(const std::function<bool()>& holds) {
    const Time deadline = now() + kTestPatience;
    while (!holds()) {
      if (now() > deadline) return false;
      turn();
    }
    return true;
  }

  void add_endpoint(dispatch::Backend& client) {
    Address address;
    EXPECT_TRUE(parse_address(stand_ins::text(stand_ins::kNode + kHostNumber), address));
    client.update_endpoint(kTestEndpoint, "s-1", address, EndpointState::kReady);
  }
  void send(dispatch::Backend& client, TestRequest& request) {
    in_flight_.push_back(&request);
    client.send(request.attempt, kTestEndpoint);
    client.flush();
  }
  [[nodiscard]] bool await_end(const TestRequest& request) {
    return turn_until([&] { return request.has_ended; });
  }
  void record_end(const dispatch::Attempt& attempt, const dispatch::AttemptResult& result) {
    const auto it = std::find_if(in_flight_.begin(), in_flight_.end(),
                                 [&](const TestRequest* request) { return &request->attempt == &attempt; });
    ASSERT_NE(it, in_flight_.end()) << "an attempt has ended twice";
    TestRequest& request = **it;
    in_flight_.erase(it);
    request.has_ended = true;
    request.end = result.end;
    request.write_progress = result.write_progress;
    request.value = result.value;
  }

  // The next connection that the client opens.
  std::unique_ptr<stand_ins::Peer> accept() {
    EXPECT_TRUE(turn_until([&] { return has_new_connection(); }));
    auto connection = std::make_unique<stand_ins::Peer>(listener_.accept());
    send_without_delay(connection->fd);
    return connection;
  }
  bool has_new_connection() const { return stand_ins::readable(listener_.fd, 0); }
  // Writes what a connection that the client may have closed still takes.
  static void write_if_open(const stand_ins::Peer& connection, const std::string& bytes) {
    static_cast<void>(::send(connection.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  // Turns until the client has closed the connection, without bytes of a further request.
  [[nodiscard]] bool await_close(const stand_ins::Peer& connection) {
    return turn_until([&] {
      char byte;
      return recv(connection.fd, &byte, 1, MSG_DONTWAIT) == 0 || errno == ECONNRESET;
    });
  }

  stand_ins::Listener listener_{stand_ins::kNode + kHostNumber};
  std::unique_ptr<event_base, EventBaseDeleter> base_{event_base_new()};
  std::vector<TestRequest*> in_flight_;
};

}  // namespace cairnhub::backend
