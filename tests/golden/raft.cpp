// Golden bytes of the Raft messages: each type with all fields set, and each type as RaftNode encodes it.
#include "cluster/shared_config_cluster.h"
#include "golden/golden.h"
#include "golden/version.h"
#include "shared_config.pb.h"
#include "shared_config/raft_node.h"

namespace cairnhub::golden {

namespace {

using accord::wire::Packet;
using accord::wire::Raft;

constexpr std::uint32_t kAppendEntries = 1;  // libraft's message types
constexpr std::uint32_t kInstallSnapshot = 5;
constexpr std::uint32_t kTypes = 6;
constexpr std::uint32_t kCommand = 1;  // libraft's entry type for proposals

Packet packet_of(std::uint32_t type) {
  Packet packet;
  Raft& message = *packet.mutable_raft();
  message.set_type(type);
  message.set_from(1ULL << 62);
  message.set_to(300);
  message.set_term(7);
  message.set_a(1000);
  message.set_b(2000);
  message.set_c(3000);
  message.set_flag(true);
  message.set_tri(2);
  auto& entry = *message.add_entry();
  entry.set_term(6);
  entry.set_type(kCommand);
  entry.set_data(std::string("\x08\x01\x00", 3));
  message.set_conf("voters");
  message.set_data("state");
  return packet;
}

void expect_packet(const std::string& bytes, std::uint32_t type) {
  Packet packet;
  ASSERT_TRUE(packet.ParseFromString(bytes));
  ASSERT_TRUE(packet.has_raft());
  const Raft& message = packet.raft();
  EXPECT_EQ(message.type(), type);
  EXPECT_EQ(message.from(), 1ULL << 62);
  EXPECT_EQ(message.to(), 300U);
  EXPECT_EQ(message.term(), 7U);
  EXPECT_EQ(message.a(), 1000U);
  EXPECT_EQ(message.b(), 2000U);
  EXPECT_EQ(message.c(), 3000U);
  EXPECT_TRUE(message.flag());
  EXPECT_EQ(message.tri(), 2U);
  ASSERT_EQ(message.entry_size(), 1);
  EXPECT_EQ(message.entry(0).term(), 6U);
  EXPECT_EQ(message.entry(0).type(), kCommand);
  EXPECT_EQ(message.entry(0).data(), std::string("\x08\x01\x00", 3));
  EXPECT_EQ(message.conf(), "voters");
  EXPECT_EQ(message.data(), "state");
}

// Three voters that exchange messages without loss or delay; one may be cut off. Records their messages.
class VoterGroup {
 public:
  VoterGroup() {
    shared_config::RaftSettings settings;
    settings.snapshot_threshold = 5;
    settings.snapshot_trailing = 1;
    std::vector<shared_config::RaftMember> voters;
    for (const char* name : kNames) {
      voters.push_back({shared_config::initial_voter_id(name), name, true});
    }
    // The log is longer than the number of terms, so that indices and terms in a message differ.
    const std::vector<shared_config::LogEntry> earlier(
        4, {1, kCommand, shared_config::encode(shared_config::ConfigEntry())});
    for (const shared_config::RaftMember& voter : voters) {
      stores_.push_back(std::make_unique<cluster::InMemoryStore>(voter.id));
      shared_config::RaftNode::bootstrap(*stores_.back(), voters);
      stores_.back()->append(2, earlier);
      nodes_.push_back(std::make_unique<shared_config::RaftNode>(settings, voter.name, *stores_.back(),
                                                                 voter.id, nullptr));
      nodes_.back()->start(now_);
    }
  }

  // Covers an election, appended entries, a voter that needs a snapshot, and a transfer of leadership.
  const std::map<std::uint32_t, std::string>& run() {
    run_until([&] { return leader() >= 0; });
    isolated_ = (leader() + 1) % kVoters;
    for (int number = 0; number < 10; ++number) {
      propose_two(number);
      run_for(kTicksBetween);
    }
    isolated_ = kNone;
    run_until([&] { return messages_.count(kInstallSnapshot) > 0; });
    run_for(kTicksBetween);
    const int before = leader();
    nodes_[static_cast<std::size_t>(before)]->transfer_leadership(now_);
    run_until([&] { return leader() >= 0 && leader() != before; });
    return messages_;
  }

 private:
  static constexpr int kVoters = 3;
  static constexpr int kNone = -1;
  static constexpr int kTicksBetween = 10;
  static constexpr int kMaxTicks = 1000;
  static constexpr const char* kNames[kVoters] = {"b0", "b1", "b2"};

  int leader() const {
    for (int at = 0; at < kVoters; ++at) {
      if (nodes_[static_cast<std::size_t>(at)]->is_leader()) {
        return at;
      }
    }
    return kNone;
  }

  // Proposes two entries at once, so that the second is sent before the first is committed.
  void propose_two(int number) {
    for (const char* which : {"first-", "second-"}) {
      shared_config::ConfigEntry entry;
      entry.kind = shared_config::ConfigEntry::Kind::kEnrollBroker;
      entry.name = which + std::to_string(number);
      EXPECT_TRUE(nodes_[static_cast<std::size_t>(leader())]->propose(now_, entry, nullptr));
    }
    deliver_all();
  }

  void run_for(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      now_ += shared_config::RaftSettings{}.tick_interval;
      for (const auto& node : nodes_) {
        node->tick(now_);
        deliver_all();
      }
    }
  }

  template <class Condition>
  void run_until(Condition is_reached) {
    for (int ticks = 0; ticks < kMaxTicks && !is_reached(); ++ticks) {
      run_for(1);
    }
    ASSERT_TRUE(is_reached());
  }

  void deliver_all() {
    for (bool is_any = true; is_any;) {
      is_any = false;
      for (int from = 0; from < kVoters; ++from) {
        while (const auto message = nodes_[static_cast<std::size_t>(from)]->take_message()) {
          is_any = true;
          deliver_one(from, *message);
        }
      }
    }
  }

  void deliver_one(int from, const shared_config::RaftNode::Outgoing& message) {
    const int to = message.to.back() - '0';
    Packet packet;
    ASSERT_TRUE(packet.ParseFromString(message.bytes));
    record(packet.raft(), message.bytes);
    if (from == isolated_ || to == isolated_) {
      return;
    }
    nodes_[static_cast<std::size_t>(to)]->handle_message(now_, kNames[from], packet.raft());
  }

  // Records the first message of each type. An append-entries message must hold one command, since libraft
  // leaves the bytes of a barrier entry uninitialized, and its index and terms must differ.
  void record(const Raft& message, const std::string& bytes) {
    const bool is_ours = message.entry_size() == 1 && message.entry(0).type() == kCommand;
    const bool has_distinct_numbers = is_ours && message.a() != message.b() && message.a() != message.c();
    if (message.type() != kAppendEntries || has_distinct_numbers) {
      messages_.emplace(message.type(), bytes);
    }
  }

  Time now_ = 0;
  int isolated_ = kNone;
  std::vector<std::unique_ptr<cluster::InMemoryStore>> stores_;
  std::vector<std::unique_ptr<shared_config::RaftNode>> nodes_;
  std::map<std::uint32_t, std::string> messages_;
};

// Returns the recorded message; empty if none. The other voters must have accepted it, or the run ends early.
std::string recorded_message(std::uint32_t type) {
  static const std::map<std::uint32_t, std::string> messages = VoterGroup().run();
  const auto found = messages.find(type);
  return found == messages.end() ? "" : found->second;
}

void expect_recorded_message(const std::string& bytes, std::uint32_t type) {
  Packet packet;
  ASSERT_TRUE(packet.ParseFromString(bytes));
  EXPECT_EQ(packet.raft().type(), type);
  EXPECT_EQ(packet.SerializeAsString(), bytes);
}

}  // namespace

std::vector<Golden> raft() {
  std::vector<Golden> all;
  for (std::uint32_t type = 1; type <= kTypes; ++type) {
    const std::string number = std::to_string(type);
    all.push_back({"raft.all_fields." + number, [type] { return packet_of(type).SerializeAsString(); },
                   [type](const std::string& bytes) { expect_packet(bytes, type); }});
    all.push_back({"raft.as_said." + number, [type] { return recorded_message(type); },
                   [type](const std::string& bytes) { expect_recorded_message(bytes, type); }});
  }
  return all;
}

}  // namespace cairnhub::golden
