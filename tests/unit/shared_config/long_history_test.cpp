// A history of many long versions: every message that carries it stays below what a broker receives.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "cluster/shared_config_cluster.h"
#include "shared_config/rule_set.h"

namespace cairnhub::shared_config {

namespace {

using cluster::Seeded;
using cluster::SharedConfigCluster;

constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20;  // transport::TransportLimits
constexpr int kLongVersions = 80;

SharedConfigSettings settings_of_test() {
  SharedConfigSettings settings;
  settings.lease.max_divergence = 2 * kSecond;
  settings.voter_replacement_delay = 3600 * kSecond;
  return settings;
}

// About 60 KiB of rules that differ in `number`.
std::string long_rules(int number) {
  std::string text = "list_floor: " + std::to_string(number) + "\n";
  const std::string long_name(100, 'n');
  for (int i = 0; text.size() < 60000; ++i)
    text += "withheld_node: \"" + long_name + std::to_string(i) + "\"\n";
  return text;
}

class LongHistoryTest : public testing::Test {
 protected:
  LongHistoryTest() { world.max_message_bytes = kMaxMessageBytes; }

  bool settle(std::uint64_t version) {
    return world.play(world.now() + 60 * kSecond, [&] { return brokers.is_settled(version); });
  }
  const VersionHistory& history_of_leader() const {
    return brokers.nodes.at(static_cast<std::size_t>(brokers.leader())).config_node->raft_node()->versions();
  }
  // A version is accepted only if the baseline allows no more than it does.
  void make_long_baseline() {
    brokers.propose(brokers.leader(), long_rules(kLongVersions), true, 1, "ground");
    ASSERT_TRUE(world.play(world.now() + 60 * kSecond, [&] {
      return brokers.leader() >= 0 && history_of_leader().baseline().number == 2;
    }));
  }
  // Proposes long versions one after the other, each once the one before is in force.
  void make_long_history() {
    for (int i = 0; i < kLongVersions; ++i) {
      const std::uint64_t newest = history_of_leader().newest();
      brokers.propose(brokers.leader(), long_rules(i), false, newest, "v" + std::to_string(i));
      ASSERT_TRUE(settle(newest + 1)) << "version " << newest + 1;
    }
  }

  // A voter that isn't the leader is away while the history is made.
  void expect_voter_catches_up() {
    brokers.start_all();
    ASSERT_TRUE(settle(1));
    make_long_baseline();
    const int away = (brokers.leader() + 1) % 3;
    brokers.kill(away);
    make_long_history();
    brokers.start(away);
    EXPECT_TRUE(world.play(world.now() + 60 * kSecond, [&] {
      const auto& node = brokers.nodes.at(static_cast<std::size_t>(away));
      return node.config_node->raft_node()->versions().newest() == history_of_leader().newest();
    }));
    EXPECT_TRUE(settle(history_of_leader().newest()));
    EXPECT_EQ(world.too_long, 0u);
  }

  Seeded world{1};
  SharedConfigCluster brokers{world, 5, 3, settings_of_test()};
};

// Guards against: a broker that joins late gets no lease, as its grant with the history exceeds a message.
TEST_F(LongHistoryTest, BrokerThatJoinsLateGetsALease) {
  for (int i = 0; i < 4; ++i) brokers.start(i);
  ASSERT_TRUE(settle(1));
  make_long_baseline();
  make_long_history();
  brokers.start(4);
  EXPECT_TRUE(settle(history_of_leader().newest()));
  EXPECT_EQ(world.too_long, 0u);
}

// Guards against: a voter that was away can't catch up, as the entries that it lacks exceed a message.
TEST_F(LongHistoryTest, VoterThatWasAwayCatchesUpFromTheLog) { expect_voter_catches_up(); }

// Guards against: a voter that was away can't catch up, as the snapshot exceeds a message.
TEST_F(LongHistoryTest, VoterThatWasAwayCatchesUpFromASnapshot) {
  brokers.terms.raft.snapshot_threshold = 16;
  brokers.terms.raft.snapshot_trailing = 4;
  expect_voter_catches_up();
}

// Guards against: versions that wait for force make a snapshot that no message carries.
TEST_F(LongHistoryTest, PendingVersionsStayWithinABound) {
  VersionHistory history;
  ConfigEntry entry;
  entry.kind = ConfigEntry::Kind::kProposeBaseline;
  entry.id = "ground";
  entry.text = long_rules(1000);
  entry.base = 1;
  ASSERT_EQ(history.apply(entry).number, 2u);
  entry = {};
  entry.kind = ConfigEntry::Kind::kActivateBaseline;
  entry.number = 2;
  ASSERT_EQ(history.apply(entry).number, 2u);
  ApplyResult result;
  for (int i = 0; i < 200; ++i) {
    entry = {};
    entry.id = "v" + std::to_string(i);
    entry.text = long_rules(i);
    entry.base = history.newest();
    result = history.apply(entry);
    if (result.number == 0) break;
  }
  EXPECT_EQ(result.rejection, "versions of more than 1024 KiB wait for force already");
  EXPECT_LT(history.snapshot().size(), kMaxMessageBytes);
  // Room is given back whole: once the versions are in force, as many again may wait.
  const std::uint64_t newest = history.newest();
  entry = {};
  entry.kind = ConfigEntry::Kind::kActivateVersion;
  entry.number = newest;
  ASSERT_EQ(history.apply(entry).number, newest);
  std::uint64_t accepted = 0;
  for (int i = 0; i < 200; ++i) {
    entry = {};
    entry.id = "w" + std::to_string(i);
    entry.text = long_rules(i);
    entry.base = history.newest();
    if (history.apply(entry).number == 0) break;
    ++accepted;
  }
  EXPECT_EQ(accepted, newest - 1);
  EXPECT_LT(history.snapshot().size(), kMaxMessageBytes);
}

}  // namespace

}  // namespace cairnhub::shared_config
