// Log entries, versions, snapshots and voters, which are stored and sent alike.
#include "golden/golden.h"
#include "golden/version.h"
#include "shared_config.pb.h"
#include "shared_config/log_codec.h"
#include "shared_config/version_history.h"

namespace cairnhub::golden {

namespace {

using accord::wire::State;
using accord::wire::Voters;
using shared_config::ConfigEntry;
using shared_config::Version;

// In the order of their numbers in the log, from 1 on.
constexpr ConfigEntry::Kind kKinds[] = {
    ConfigEntry::Kind::kProposeVersion,     ConfigEntry::Kind::kProposeBaseline,
    ConfigEntry::Kind::kActivateVersion,    ConfigEntry::Kind::kActivateBaseline,
    ConfigEntry::Kind::kEnrollBroker,       ConfigEntry::Kind::kRemoveBroker,
    ConfigEntry::Kind::kProposeZoneShares,  ConfigEntry::Kind::kSetZoneOrder,
    ConfigEntry::Kind::kProposeMaintenance, ConfigEntry::Kind::kProposeBaselineMaintenance,
    ConfigEntry::Kind::kStateMachine};

ConfigEntry entry_of(ConfigEntry::Kind kind) {
  ConfigEntry entry;
  entry.kind = kind;
  entry.id = "p12";
  entry.text = rules_text(50);
  entry.who = "ann";
  entry.why = "because";
  entry.name = "east";
  entry.note = "a note";
  entry.base = 300;
  entry.number = 301;
  return entry;
}

void expect_equal(const ConfigEntry& read, const ConfigEntry& wanted) {
  EXPECT_EQ(read.kind, wanted.kind);
  EXPECT_EQ(read.id, wanted.id);
  EXPECT_EQ(read.text, wanted.text);
  EXPECT_EQ(read.who, wanted.who);
  EXPECT_EQ(read.why, wanted.why);
  EXPECT_EQ(read.name, wanted.name);
  EXPECT_EQ(read.note, wanted.note);
  EXPECT_EQ(read.base, wanted.base);
  EXPECT_EQ(read.number, wanted.number);
}

Golden entry(ConfigEntry::Kind kind, std::size_t number) {
  const auto decode = [kind](const std::string& bytes) {
    const auto read = shared_config::decode_entry(bytes);
    ASSERT_TRUE(read.has_value());
    expect_equal(*read, entry_of(kind));
  };
  return {"shared.entry." + std::to_string(number), [kind] { return shared_config::encode(entry_of(kind)); },
          decode};
}

Version version_record() {
  Version version;
  version.number = 17;
  version.text = rules_text(17);
  version.hash = shared_config::content_hash(version.text);
  version.who = "ann";
  version.why = "because";
  version.id = "p17";
  version.note = "a note";
  return version;
}

std::string encoded_version() {
  accord::wire::Version into;
  shared_config::put(version_record(), into);
  return into.SerializeAsString();
}

void expect_version(const std::string& bytes) {
  accord::wire::Version read;
  ASSERT_TRUE(read.ParseFromString(bytes));
  expect_filled(read, 17);
  const auto taken = shared_config::take(read);
  ASSERT_TRUE(taken.has_value());
  const Version wanted = version_record();
  EXPECT_EQ(taken->number, wanted.number);
  EXPECT_EQ(taken->text, wanted.text);
  EXPECT_EQ(taken->hash, wanted.hash);
  EXPECT_EQ(taken->who, wanted.who);
  EXPECT_EQ(taken->why, wanted.why);
  EXPECT_EQ(taken->id, wanted.id);
  EXPECT_EQ(taken->note, wanted.note);
  EXPECT_EQ(taken->rules->rule_for("lookup").max_in_progress, 17);
}

State state() {
  State state;
  fill(*state.add_version(), 2);
  fill(*state.add_version(), 3);
  state.set_in_force(2);
  fill(*state.mutable_ground(), 4);
  fill(*state.mutable_ground_next(), 5);
  state.add_roster("b1");
  state.add_roster("b2");
  state.add_seen("p1");
  state.add_seen_number(0);
  state.add_seen("p2");
  state.add_seen_number(300);
  auto& order = *state.add_order();
  order.set_zone("east");
  order.set_what("hold");
  order.set_who("ann");
  order.set_why("because");
  state.set_zones_from(6);
  state.set_board("jobs");
  state.set_works_from(7);
  state.set_settings_from(8);
  state.set_ground_works_from(9);
  state.set_ground_settings_from(10);
  return state;
}

void expect_order(const accord::wire::Order& order) {
  EXPECT_EQ(order.zone(), "east");
  EXPECT_EQ(order.what(), "hold");
  EXPECT_EQ(order.who(), "ann");
  EXPECT_EQ(order.why(), "because");
}

void expect_state(const State& state) {
  ASSERT_EQ(state.version_size(), 2);
  expect_filled(state.version(0), 2);
  expect_filled(state.version(1), 3);
  EXPECT_EQ(state.in_force(), 2U);
  expect_filled(state.ground(), 4);
  expect_filled(state.ground_next(), 5);
  ASSERT_EQ(state.roster_size(), 2);
  EXPECT_EQ(state.roster(0), "b1");
  EXPECT_EQ(state.roster(1), "b2");
  ASSERT_EQ(state.seen_size(), 2);
  EXPECT_EQ(state.seen(0), "p1");
  EXPECT_EQ(state.seen(1), "p2");
  ASSERT_EQ(state.seen_number_size(), 2);
  EXPECT_EQ(state.seen_number(0), 0U);
  EXPECT_EQ(state.seen_number(1), 300U);
  ASSERT_EQ(state.order_size(), 1);
  expect_order(state.order(0));
  EXPECT_EQ(state.zones_from(), 6U);
  EXPECT_EQ(state.board(), "jobs");
  EXPECT_EQ(state.works_from(), 7U);
  EXPECT_EQ(state.settings_from(), 8U);
  EXPECT_EQ(state.ground_works_from(), 9U);
  EXPECT_EQ(state.ground_settings_from(), 10U);
}

Voters voters() {
  Voters voters;
  for (std::uint32_t role = 0; role < 3; ++role) {
    auto& voter = *voters.add_voter();
    voter.set_id((1ULL << 62) + role);
    voter.set_name("b" + std::to_string(role));
    voter.set_role(role);
  }
  return voters;
}

void expect_voters(const Voters& voters) {
  ASSERT_EQ(voters.voter_size(), 3);
  for (std::uint32_t role = 0; role < 3; ++role) {
    const auto& voter = voters.voter(static_cast<int>(role));
    EXPECT_EQ(voter.id(), (1ULL << 62) + role);
    EXPECT_EQ(voter.name(), "b" + std::to_string(role));
    EXPECT_EQ(voter.role(), role);
  }
}

}  // namespace

std::vector<Golden> shared_state() {
  std::vector<Golden> all;
  for (const ConfigEntry::Kind kind : kKinds) {
    all.push_back(entry(kind, all.size() + 1));
  }
  all.push_back({"shared.version", encoded_version, expect_version});
  all.push_back(of_message("shared.state", state, expect_state));
  all.push_back(of_message("shared.voters", voters, expect_voters));
  return all;
}

}  // namespace cairnhub::golden
