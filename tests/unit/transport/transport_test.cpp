// Two transports over loopback sockets.
#include "transport/transport.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "base/libevent_handles.h"
#include "transport/mac_key.h"
#include "transport/stream_protocol.h"
#include "transport/transport_error.h"

namespace cairnhub::transport {

namespace {

constexpr const char* kFirstAddress = "127.0.0.1:29411";
constexpr const char* kSecondAddress = "127.0.0.1:29412";

struct Received {
  std::string sender;
  std::string body;
  bool operator==(const Received&) const = default;
};

struct EventBaseDeleter {
  void operator()(event_base* owned) const { event_base_free(owned); }
};

class TransportTest : public testing::Test {
 protected:
  std::unique_ptr<Transport> new_transport(const std::string& name, const std::string& address,
                                           const TransportLimits& limits = {}) {
    return std::make_unique<Transport>(
        base_.get(), address, name, parse_keys("1 " + std::string(64, 'a'), "keys"),
        [this](const std::string& sender, std::string_view body) {
          received_.push_back({sender, std::string(body)});
        },
        limits);
  }

  void run_until_received(std::size_t count) {
    const Time deadline = now() + 10 * kSecond;
    while (received_.size() < count && now() < deadline) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    }
  }

  std::unique_ptr<event_base, EventBaseDeleter> base_{event_base_new()};
  std::vector<Received> received_;
};

TEST_F(TransportTest, DeliversShortBodiesByDatagramAndLongOnesByStream) {
  const auto first = new_transport("first", kFirstAddress);
  const auto second = new_transport("second", kSecondAddress);
  const std::string long_body(100'000, 'x');
  first->send("second", kSecondAddress, "short");
  run_until_received(1);
  first->send("second", kSecondAddress, long_body);
  run_until_received(2);
  second->send("first", kFirstAddress, "reply");
  run_until_received(3);
  EXPECT_EQ(received_,
            (std::vector<Received>{{"first", "short"}, {"first", long_body}, {"second", "reply"}}));
  EXPECT_EQ(first->counters().messages_not_sent, 0u);
  EXPECT_GT(first->counters().bytes_sent, long_body.size());
}

TEST_F(TransportTest, DropsWhatExceedsTheQueueAndCountsIt) {
  TransportLimits limits;
  limits.max_queued_bytes = 50'000;
  const auto first = new_transport("first", kFirstAddress, limits);
  const auto second = new_transport("second", kSecondAddress);
  const std::string body(30'000, 'x');
  first->send("second", kSecondAddress, body);
  first->send("second", kSecondAddress, body);
  EXPECT_EQ(first->counters().messages_not_sent, 1u);
  run_until_received(1);
  EXPECT_EQ(received_, (std::vector<Received>{{"first", body}}));
}

// Connects to an address of a transport, and writes the beginning of a message of a megabyte.
BuffereventPtr begin_long_message(event_base* base, const char* address_text, std::size_t written_bytes) {
  Address address;
  EXPECT_TRUE(parse_address(address_text, address));
  BuffereventPtr stream(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE));
  EXPECT_EQ(bufferevent_socket_connect(stream.get(), reinterpret_cast<const sockaddr*>(&address.at),
                                       address.length),
            0);
  const std::string beginning = encode_frame_length(1 << 20) + std::string(written_bytes, 'x');
  bufferevent_write(stream.get(), beginning.data(), beginning.size());
  return stream;
}

// Guards against: whoever can connect makes a broker buffer megabytes on each of hundreds of streams.
TEST_F(TransportTest, IncompleteMessagesOfManyStreamsStayWithinTheLimit) {
  constexpr int kStreams = 40;
  constexpr int kStreamsWithinLimit = 9;  // with 100,004 bytes each
  TransportLimits limits;
  limits.max_incomplete_bytes = 1'000'000;
  const auto first = new_transport("first", kFirstAddress);
  const auto second = new_transport("second", kSecondAddress, limits);
  const std::string long_body(100'000, 'x');
  first->send("second", kSecondAddress, long_body);
  run_until_received(1);
  int closed = 0;
  std::vector<BuffereventPtr> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(begin_long_message(base_.get(), kSecondAddress, 100'000));
    bufferevent_setcb(
        streams.back().get(), nullptr, nullptr,
        [](bufferevent*, short events, void* count) {
          if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) ++*static_cast<int*>(count);
        },
        &closed);
    bufferevent_enable(streams.back().get(), EV_READ | EV_WRITE);
  }
  const Time deadline = now() + 10 * kSecond;
  while (closed < kStreams - kStreamsWithinLimit && now() < deadline) {
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  }
  EXPECT_EQ(closed, kStreams - kStreamsWithinLimit);
  // The stream of a peer with a key stays, and is served beside them.
  first->send("second", kSecondAddress, long_body);
  run_until_received(2);
  EXPECT_EQ(received_.size(), 2u);
  EXPECT_EQ(first->counters().messages_not_sent, 0u);
}

TEST_F(TransportTest, CountsWhatHasNoAddress) {
  const auto first = new_transport("first", kFirstAddress);
  first->send("second", "nowhere", "body");
  EXPECT_EQ(first->counters().messages_not_sent, 1u);
}

TEST_F(TransportTest, AnErrorNamesTheAddressAndTheCause) {
  const auto first = new_transport("first", kFirstAddress);
  try {
    new_transport("other", kFirstAddress);
    FAIL() << "no error";
  } catch (const TransportError& error) {
    EXPECT_STREQ(error.what(),
                 "transport: cannot receive datagrams at 127.0.0.1:29411: Address already in use");
  }
  try {
    new_transport("other", "nowhere");
    FAIL() << "no error";
  } catch (const TransportError& error) {
    EXPECT_STREQ(error.what(), "transport: cannot listen at nowhere: it is not an address with a port");
  }
}

}  // namespace

}  // namespace cairnhub::transport
