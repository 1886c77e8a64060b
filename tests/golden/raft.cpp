// Messages of the consensus library, in our form: each type with all fields set, and each as an engine says
// it.
#include "cluster/shared_config_cluster.h"
#include "golden/golden.h"
#include "golden/version.h"
#include "shared_config.pb.h"
#include "shared_config/raft_node.h"

namespace cairnhub::golden {

namespace {

using accord::wire::Packet;
using accord::wire::Raft;

constexpr std::uint32_t kAppendEntries = 1;  // types of the library's messages
constexpr std::uint32_t kInstallSnapshot = 5;
constexpr std::uint32_t kTypes = 6;
constexpr std::uint32_t kCommand = 1;  // of its entries

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

// Three voters in one place, without loss or delay; the last may be cut off. Notes what they say.
class Voters {
 public:
  Voters() {
    shared_config::EngineTerms terms;
    terms.snapshot_after = 5;
    terms.snapshot_keeps = 1;
    std::vector<shared_config::Voter> voters;
    for (const char* name : kNames) {
      voters.push_back({shared_config::first_voter_id(name), name, true});
    }
    // A log that is longer than terms are many: no two numbers in a message are the same.
    const std::vector<shared_config::LogEntry> earlier(
        4, {1, kCommand, shared_config::encode(shared_config::ConfigEntry())});
    for (const shared_config::Voter& voter : voters) {
      stores_.push_back(std::make_unique<cluster::KeptStore>(voter.id));
      shared_config::Engine::bootstrap(*stores_.back(), voters);
      stores_.back()->append(2, earlier);
      engines_.push_back(
          std::make_unique<shared_config::Engine>(terms, voter.name, *stores_.back(), voter.id, nullptr));
      engines_.back()->start(now_);
    }
  }

  // Election, entries, one voter behind by more than the log holds, hand-over of the lead.
  const std::map<std::uint32_t, std::string>& play() {
    play_until([&] { return leader() >= 0; });
    cut_off_ = (leader() + 1) % kVoters;
    for (int number = 0; number < 10; ++number) {
      propose_two(number);
      play_for(kTicksBetween);
    }
    cut_off_ = kNobody;
    play_until([&] { return said_.count(kInstallSnapshot) > 0; });
    play_for(kTicksBetween);
    const int before = leader();
    engines_[static_cast<std::size_t>(before)]->hand_over(now_);
    play_until([&] { return leader() >= 0 && leader() != before; });
    return said_;
  }

 private:
  static constexpr int kVoters = 3;
  static constexpr int kNobody = -1;
  static constexpr int kTicksBetween = 10;
  static constexpr int kTicksAtMost = 1000;
  static constexpr const char* kNames[kVoters] = {"b0", "b1", "b2"};

  int leader() const {
    for (int at = 0; at < kVoters; ++at) {
      if (engines_[static_cast<std::size_t>(at)]->leads()) {
        return at;
      }
    }
    return kNobody;
  }

  // Two at once: the second goes out while the first is not committed.
  void propose_two(int number) {
    for (const char* which : {"first-", "second-"}) {
      shared_config::ConfigEntry entry;
      entry.kind = shared_config::ConfigEntry::Kind::kEnrollBroker;
      entry.name = which + std::to_string(number);
      EXPECT_TRUE(engines_[static_cast<std::size_t>(leader())]->propose(now_, entry, nullptr));
    }
    deliver();
  }

  void play_for(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      now_ += shared_config::EngineTerms{}.tick;
      for (const auto& engine : engines_) {
        engine->tick(now_);
        deliver();
      }
    }
  }

  template <class Condition>
  void play_until(Condition held) {
    for (int ticks = 0; ticks < kTicksAtMost && !held(); ++ticks) {
      play_for(1);
    }
    ASSERT_TRUE(held());
  }

  void deliver() {
    for (bool is_any = true; is_any;) {
      is_any = false;
      for (int from = 0; from < kVoters; ++from) {
        while (const auto message = engines_[static_cast<std::size_t>(from)]->send()) {
          is_any = true;
          carry(from, *message);
        }
      }
    }
  }

  void carry(int from, const shared_config::Engine::Outgoing& message) {
    const int to = message.to.back() - '0';
    Packet packet;
    ASSERT_TRUE(packet.ParseFromString(message.bytes));
    note(packet.raft(), message.bytes);
    if (from == cut_off_ || to == cut_off_) {
      return;
    }
    engines_[static_cast<std::size_t>(to)]->received(now_, kNames[from], packet.raft());
  }

  // The first of each type; of entries the first that is an entry of ours, as the library leaves a barrier's
  // bytes as they stood in memory, and whose numbers differ.
  void note(const Raft& message, const std::string& bytes) {
    const bool is_ours = message.entry_size() == 1 && message.entry(0).type() == kCommand;
    const bool is_telling = is_ours && message.a() != message.b() && message.a() != message.c();
    if (message.type() != kAppendEntries || is_telling) {
      said_.emplace(message.type(), bytes);
    }
  }

  Time now_ = 0;
  int cut_off_ = kNobody;
  std::vector<std::unique_ptr<cluster::KeptStore>> stores_;
  std::vector<std::unique_ptr<shared_config::Engine>> engines_;
  std::map<std::uint32_t, std::string> said_;
};

// What an engine says, understood here: the others take it, or the play ends early.
std::string as_said(std::uint32_t type) {
  static const std::map<std::uint32_t, std::string> said = Voters().play();
  const auto found = said.find(type);
  return found == said.end() ? "" : found->second;
}

void expect_as_said(const std::string& bytes, std::uint32_t type) {
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
    all.push_back({"raft.as_said." + number, [type] { return as_said(type); },
                   [type](const std::string& bytes) { expect_as_said(bytes, type); }});
  }
  return all;
}

}  // namespace cairnhub::golden
