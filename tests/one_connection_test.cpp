// One client that sends at full speed on one connection, or leaves with much of it unread: others are served
// in time, nothing is kept of it, and nothing of what it left is sent on. On each frontend.
//
// The program under test is named by the environment (CAIRNHUB_PROGRAM).
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/hostile_peer.h"
#include "stand_ins/large_answer_host.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;
using Deployment = cairnhub::stand_ins::Setup;  // testing::Test has a member of the other name
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kPipelinedRequests = 400;
constexpr int kSoundRequests = 50;
constexpr std::chrono::milliseconds kObjective{2000};     // of the request class
constexpr std::chrono::milliseconds kDepartureTime{100};  // a client that left is gone after it
constexpr std::chrono::milliseconds kFloodTime{2000};

// Answers every shard request of frames at once, and counts them.
class FramedHost {
 public:
  FramedHost() : door_(kNode + 1, 512), acceptor_([this] { accept_connections(); }) {}
  ~FramedHost() {
    shutdown(door_.fd, SHUT_RDWR);
    acceptor_.join();
    for (const int fd : connections_) shutdown(fd, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    for (const int fd : connections_) close(fd);
  }
  int asked() const { return asked_; }

 private:
  void accept_connections() {
    for (int fd = 0; (fd = accept4(door_.fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      connections_.push_back(fd);
      threads_.emplace_back([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    std::string in;
    char some[65536];
    for (ssize_t n = 0; (n = recv(fd, some, sizeof some, 0)) > 0;) {
      in.append(some, static_cast<std::size_t>(n));
      std::string out;
      for (std::size_t length = 0; in.size() >= 4 && in.size() >= 4 + (length = frame_length(in));) {
        if (in[4] == 'A') {
          ++asked_;
          out += framed('E', in.substr(5, in.find(' ', 5) - 5) + " hit 7 -\n5be2");
        }
        in.erase(0, 4 + length);
      }
      if (send(fd, out.data(), out.size(), MSG_NOSIGNAL) < 0) return;
    }
  }
  static std::size_t frame_length(const std::string& in) {
    std::size_t length = 0;
    for (std::size_t i = 4; i-- > 0;) length = length << 8 | static_cast<unsigned char>(in[i]);
    return length;
  }

  Listener door_;
  std::atomic<int> asked_{0};
  std::vector<int> connections_;      // of the acceptor, until it has ended
  std::vector<std::thread> threads_;  // likewise
  std::thread acceptor_;
};

std::string post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string multiget(const std::string& name) {
  return Client::request(name, "all", Client::parts({0}), "2");
}
std::string two_phase_query(const std::string& name) {
  std::string request =
      Client::request(name, "all", R"({"buckets":[{"bucket":0,"part":1}],"query":"market=M1"})", "2");
  return request.insert(request.find('/') + 1, "_two-phase/");
}
std::string search(const std::string&) { return post("/register/_search", "{}"); }
std::string search_of_many(const std::string&) { return post("/register/_msearch", "{}\n{}\n{}\n{}\n"); }

using MakeRequest = std::function<std::string(const std::string& name)>;

// A program with a host of its own, and requests of one frontend.
class OneConnection : public testing::Test {
 protected:
  OneConnection() { program = std::getenv("CAIRNHUB_PROGRAM") ? std::getenv("CAIRNHUB_PROGRAM") : ""; }
  void start_with_frames() {
    framed_host = std::make_unique<FramedHost>();
    asked = [this] { return framed_host->asked(); };
    sound = [](int number) { return multiget("sound-" + std::to_string(number)); };
    start("two_phase { op_type { name: \"all\" } }\n", "m");
  }
  void start_with_searches() {
    search_host = std::make_unique<LargeAnswerHost>(1, 200);
    asked = [this] { return search_host->asked(); };
    sound = [](int) { return search(""); };
    start("search { flavor: \"s\" index { name: \"register\" blocks: 1 op_type: \"all\" } }\n", "s");
  }
  void start(const std::string& options, const std::string& flavors) {
    world = std::make_unique<World>(
        Deployment{.sockets = 1024, .memory_mb = kMemoryMb, .options = options, .flavors = flavors});
    world->ready();
  }
  void expect_sound_client_is_served_in_time(int number) const {
    Client client;
    const auto asked_at = Clock::now();
    client.peer.write(sound(number));
    EXPECT_EQ(client.reads().substr(0, 4), "200 ");
    EXPECT_LT(Clock::now() - asked_at, kObjective);
  }

  // Sends requests under ever new names as fast as they are taken, on one connection, anew where it is
  // closed.
  void expect_flood_harms_nobody(const MakeRequest& make_request) {
    std::atomic<bool> is_over{false};
    std::atomic<long> sent{0};
    std::thread flood([&] {
      for (long number = 0; !is_over;) {
        Peer connection = connect_to(kBroker);
        char dropped[65536];
        bool is_open = connection.fd >= 0;
        while (is_open && !is_over) {
          std::string requests;
          for (int i = 0; i < 50; ++i) requests += make_request("flood-" + std::to_string(++number));
          for (std::size_t at = 0; at < requests.size() && is_open && !is_over;) {
            const ssize_t n =
                send(connection.fd, requests.data() + at, requests.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) at += static_cast<std::size_t>(n);
            const ssize_t received = recv(connection.fd, dropped, sizeof dropped, MSG_DONTWAIT);
            is_open = received > 0 || (received < 0 && errno == EAGAIN);
          }
          sent += 50;
        }
      }
    });
    const auto began_at = Clock::now();
    for (int i = 0; i < kSoundRequests || Clock::now() - began_at < kFloodTime; ++i) {
      expect_sound_client_is_served_in_time(i);
    }
    is_over = true;
    flood.join();
    EXPECT_GT(sent, 0);
    expect_process_within(kMemoryMb, world->pid);
  }

  // A client pipelines many requests, reads nothing, and leaves while they are worked on.
  void expect_nothing_is_sent_on(const MakeRequest& make_request) {
    expect_sound_client_is_served_in_time(0);
    const int asked_before = asked();
    std::string requests;
    for (int i = 0; i < kPipelinedRequests; ++i) requests += make_request("left-" + std::to_string(i));
    {
      Client leaving;
      write_some(leaving.peer, requests);
      while (asked() == asked_before) std::this_thread::yield();
    }
    std::this_thread::sleep_for(kDepartureTime);  // attempts may begin until then
    expect_sound_client_is_served_in_time(0);     // behind what was written to the host before
    const int asked_by_then = asked();
    for (int i = 1; i <= kSoundRequests; ++i) expect_sound_client_is_served_in_time(i);
    EXPECT_EQ(asked(), asked_by_then + kSoundRequests);
    expect_process_within(kMemoryMb, world->pid);
  }

  std::unique_ptr<FramedHost> framed_host;
  std::unique_ptr<LargeAnswerHost> search_host;
  std::function<int()> asked;  // shard requests at the host
  std::function<std::string(int)> sound;
  std::unique_ptr<World> world;
};

TEST_F(OneConnection, FloodOfMultigetsHarmsNobody) {
  start_with_frames();
  expect_flood_harms_nobody(multiget);
}
TEST_F(OneConnection, FloodOfTwoPhaseQueriesHarmsNobody) {
  start_with_frames();
  expect_flood_harms_nobody(two_phase_query);
}
TEST_F(OneConnection, FloodOfSearchesHarmsNobody) {
  start_with_searches();
  expect_flood_harms_nobody(search);
}
TEST_F(OneConnection, FloodOfSearchesForUnknownIndicesHarmsNobody) {
  start_with_searches();
  expect_flood_harms_nobody([](const std::string& name) { return post("/" + name + "/_search", "{}"); });
}
TEST_F(OneConnection, FloodOfUnsoundRequestsHarmsNobody) {
  start_with_frames();
  expect_flood_harms_nobody([](const std::string& name) { return Client::request(name, "all", "[", "2"); });
}
TEST_F(OneConnection, FloodOfUnknownClassesHarmsNobody) {
  start_with_frames();
  expect_flood_harms_nobody([](const std::string& name) { return Client::request("n", name, "{}", "2"); });
}

TEST_F(OneConnection, MultigetsOfAClientThatLeftAreNotSent) {
  start_with_frames();
  expect_nothing_is_sent_on(multiget);
}
TEST_F(OneConnection, TwoPhaseQueriesOfAClientThatLeftAreNotSent) {
  start_with_frames();
  expect_nothing_is_sent_on(two_phase_query);
}
TEST_F(OneConnection, SearchesOfAClientThatLeftAreNotSent) {
  start_with_searches();
  expect_nothing_is_sent_on(search);
}
TEST_F(OneConnection, MultiSearchesOfAClientThatLeftAreNotSent) {
  start_with_searches();
  expect_nothing_is_sent_on(search_of_many);
}

}  // namespace
