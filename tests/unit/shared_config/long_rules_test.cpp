// Rules whose canonical text is longer than any proposal may be: what the log accepts is stored, sent and
// read.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "cluster/shared_config_cluster.h"
#include "shared_config.pb.h"
#include "shared_config/log_codec.h"
#include "shared_config/rule_set.h"
#include "shared_config/version_history.h"
#include "zone_failover/zone_failover.h"

namespace cairnhub::shared_config {

namespace {

using cluster::Seeded;
using cluster::SharedConfigCluster;

constexpr int kManyNames = 2600;  // of nodes; in canonical form over 64 KiB, as a list about half of that

std::string node_name(int number) {
  char name[16];
  std::snprintf(name, sizeof name, "s-%08x", 0x40000000 + number);
  return name;
}

// Returns `field: ["s-...", ...]` with `count` names from `first` on.
std::string name_list(const char* field, int first, int count) {
  std::string text = std::string(field) + ": [";
  for (int i = 0; i < count; ++i) text += (i > 0 ? ",\"" : "\"") + node_name(first + i) + "\"";
  return text + "]\n";
}

ConfigEntry proposal(ConfigEntry::Kind kind, const std::string& text, std::uint64_t base) {
  static int proposals = 0;
  ConfigEntry entry;
  entry.kind = kind;
  entry.id = "p" + std::to_string(++proposals);
  entry.text = text;
  entry.who = "operator";
  entry.why = "test";
  entry.base = base;
  return entry;
}

ConfigEntry activation(ConfigEntry::Kind kind, std::uint64_t number) {
  ConfigEntry entry;
  entry.kind = kind;
  entry.number = number;
  return entry;
}

// Applies the entry as a voter reads it from its log.
ApplyResult apply_as_logged(VersionHistory& history, const ConfigEntry& entry) {
  const auto logged = decode_entry(encode(entry));
  return logged ? history.apply(*logged) : ApplyResult{0, "an entry that can't be read"};
}

// Expects that another broker reads the version from a message, with the same rules.
void expect_sendable(const Version& version) {
  accord::wire::Version message;
  to_proto(version, message);
  const auto read = from_proto(message);
  ASSERT_TRUE(read) << "version " << version.number << " of " << version.text.size() << " bytes";
  EXPECT_EQ(*read->rules, *version.rules);
}

void expect_restorable(const VersionHistory& history) {
  VersionHistory restored;
  ASSERT_TRUE(restored.restore(history.snapshot()));
  EXPECT_EQ(restored.snapshot(), history.snapshot());
}

// Guards against: a baseline is taken that no broker but the leader can read (review/6).
TEST(LongRulesTest, AcceptedBaselineIsReadByOtherBrokers) {
  VersionHistory history;
  const std::string text = name_list("withheld_node", 0, kManyNames);
  ASSERT_LT(text.size(), kMaxRuleSetTextBytes);
  ASSERT_EQ(apply_as_logged(history, proposal(ConfigEntry::Kind::kProposeBaseline, text, 1)).number, 2u);
  ASSERT_GT(history.next_baseline()->text.size(), kMaxRuleSetTextBytes);
  expect_sendable(*history.next_baseline());
  expect_restorable(history);
}

TEST(LongRulesTest, AcceptedVersionIsReadByOtherBrokers) {
  VersionHistory history;
  const std::string text = name_list("withheld_node", 0, kManyNames);
  // The baseline may allow no more than the version.
  ASSERT_EQ(apply_as_logged(history, proposal(ConfigEntry::Kind::kProposeBaseline, text, 1)).number, 2u);
  ASSERT_EQ(apply_as_logged(history, activation(ConfigEntry::Kind::kActivateBaseline, 2)).number, 2u);
  ASSERT_EQ(apply_as_logged(history, proposal(ConfigEntry::Kind::kProposeVersion, text, 1)).number, 2u);
  expect_sendable(history.versions().at(2));
  expect_restorable(history);
}

// Guards against: two proposals, each within the limits, are joined into rules that exceed them.
void expect_joined_parts_are_read(bool is_maintenance_first) {
  VersionHistory history;
  const std::string withheld = name_list("withheld_node", 0, kManyNames);
  const std::string at_work = name_list("at_work", kManyNames, kManyNames);
  const auto propose_withheld = [&] {
    return apply_as_logged(history, proposal(ConfigEntry::Kind::kProposeBaseline, withheld, 1)).number;
  };
  const auto propose_at_work = [&] {
    return apply_as_logged(history, proposal(ConfigEntry::Kind::kProposeBaselineMaintenance, at_work, 0))
        .number;
  };
  ASSERT_EQ(is_maintenance_first ? propose_at_work() : propose_withheld(), 2u);
  ASSERT_EQ(apply_as_logged(history, activation(ConfigEntry::Kind::kActivateBaseline, 2)).number, 2u);
  ASSERT_EQ(is_maintenance_first ? propose_withheld() : propose_at_work(), 3u);
  EXPECT_EQ(history.next_baseline()->rules->withheld_endpoints.size(), std::size_t{kManyNames});
  EXPECT_EQ(history.next_baseline()->rules->endpoints_in_maintenance.size(), std::size_t{kManyNames});
  expect_sendable(*history.next_baseline());
  expect_restorable(history);
}

TEST(LongRulesTest, MaintenanceJoinedToWithheldNodesIsRead) { expect_joined_parts_are_read(false); }
TEST(LongRulesTest, WithheldNodesJoinedToMaintenanceAreRead) { expect_joined_parts_are_read(true); }

// Guards against: a broker that restarts while a baseline is pending can't read the meet that it saved.
TEST(LongRulesTest, SavedMeetOfTwoBaselinesIsRead) {
  const RuleSet first = parse_rule_set(name_list("withheld_node", 0, kManyNames), "first");
  const RuleSet next = parse_rule_set(name_list("withheld_node", kManyNames, kManyNames), "next");
  const RuleSet saved = meet(first, next);
  EXPECT_EQ(parse_accepted_rule_set(canonical_text(saved), "saved baseline"), saved);
}

// The longest canonical texts that one proposal can lead to: names of characters that are escaped, and pairs
// of zones in their shortest form.
TEST(LongRulesTest, LongestCanonicalTextsAreRead) {
  std::string quotes = "withheld_node:[\"'0\"";
  std::string pairs = "zone_shares{";
  for (int i = 1; quotes.size() < kMaxRuleSetTextBytes - 32 && i < 4096; ++i)
    quotes += ",\"''''''''" + std::to_string(i) + '"';
  for (int i = 0; pairs.size() < kMaxRuleSetTextBytes - 64; ++i)
    pairs += "share{from:\"" + std::to_string(i) + "\"to:\"x\"most:5}";
  for (const std::string& text : {quotes + "]", pairs + "}"}) {
    const RuleSet rules = parse_rule_set(text, "proposal");
    const std::string canonical = canonical_text(rules);
    EXPECT_GT(canonical.size(), kMaxRuleSetTextBytes);
    EXPECT_LT(canonical.size(), 4 * kMaxRuleSetTextBytes);
    EXPECT_EQ(parse_accepted_rule_set(canonical, "accepted"), rules);
  }
}

TEST(LongRulesTest, ProposalsKeepTheirLimits) {
  EXPECT_THROW(parse_rule_set(std::string(kMaxRuleSetTextBytes + 1, ' '), "file"), RuleSetError);
  std::string many_names = "withheld_node:[\"0\"";
  for (int i = 1; i <= 4096; ++i) many_names += ",\"" + std::to_string(i) + '"';
  EXPECT_THROW(parse_rule_set(many_names + "]", "file"), RuleSetError);
}

// Guards against: a version that was accepted can't be proposed again (`accord undo`).
TEST(LongRulesTest, AcceptedRulesCanBeProposedAgain) {
  const std::string text = name_list("withheld_node", 0, kManyNames) + "index_off: [\"a\\\\b'c\"]\n" +
                           "two_phase_off: \"d\"\nop_type { name: \"e\" held_most: 3 }\n" +
                           "zone_shares { otherwise: 40 share { from: \"f\" to: \"g\" most: 7 } }\n";
  const RuleSet rules = parse_rule_set(text, "file");
  ASSERT_GT(canonical_text(rules).size(), kMaxRuleSetTextBytes);
  EXPECT_EQ(parse_rule_set(proposal_text(rules), "again"), rules);
}

// Guards against: with long rules the baseline can't be narrowed for zones, and no shares are ever proposed.
TEST(LongRulesTest, ZoneFailoverNarrowsALongBaseline) {
  VersionHistory history;
  const std::string text = name_list("withheld_node", 0, kManyNames);
  ASSERT_EQ(apply_as_logged(history, proposal(ConfigEntry::Kind::kProposeBaseline, text, 1)).number, 2u);
  ASSERT_EQ(apply_as_logged(history, activation(ConfigEntry::Kind::kActivateBaseline, 2)).number, 2u);
  zone_failover::ZoneFailoverOptions options;
  options.home_zone = "north";
  options.zones = {{"north", "here", 100}, {"south", "here", 100}};
  zone_failover::ZoneFailover zones(options, "b0");
  const auto entry = zones.propose_change(kSecond, history);
  ASSERT_TRUE(entry);
  ASSERT_EQ(entry->kind, ConfigEntry::Kind::kProposeBaseline);
  const ApplyResult result = apply_as_logged(history, *entry);
  EXPECT_EQ(result.number, 3u) << result.rejection;
  EXPECT_EQ(history.next_baseline()->rules->withheld_endpoints.size(), std::size_t{kManyNames});
}

SharedConfigSettings settings_of_test() {
  SharedConfigSettings settings;
  settings.lease.max_divergence = 2 * kSecond;
  return settings;
}

// Guards against: brokers lose their leases for good over a baseline that was taken, and can't restart.
TEST(LongRulesTest, LongBaselineIsTakenUpByAllBrokersAndAfterARestart) {
  Seeded world(1);
  SharedConfigCluster brokers(world, 5, 3, settings_of_test());
  brokers.start_all();
  ASSERT_TRUE(world.play(world.now() + 30 * kSecond, [&] { return brokers.is_settled(); }));
  std::optional<ApplyResult> result;
  brokers.propose(4, name_list("withheld_node", 0, kManyNames), true, 1, "long",
                  [&](const std::optional<ApplyResult>& r) { result = r; });
  const auto follow_baseline = [&] {
    for (const auto& node : brokers.nodes) {
      const auto& client = node.config_node->lease_client();
      if (client.baseline().number != 2 || client.next_baseline()) return false;
    }
    return brokers.is_settled();
  };
  EXPECT_TRUE(world.play(world.now() + 30 * kSecond, follow_baseline));
  ASSERT_TRUE(result);
  EXPECT_EQ(result->number, 2u) << result->rejection;
  for (int i = 0; i < 5; ++i) brokers.kill(i);
  brokers.start_all();
  EXPECT_TRUE(world.play(world.now() + 30 * kSecond, follow_baseline));
}

// Guards against: a proposal that no voter reads is repeated until its time is over, instead of being
// refused.
TEST(LongRulesTest, ProposalOverALimitIsRefusedAtOnceByAnyBroker) {
  Seeded world(1);
  SharedConfigCluster brokers(world, 4, 3, settings_of_test());
  brokers.start_all();
  ASSERT_TRUE(world.play(world.now() + 30 * kSecond, [&] { return brokers.is_settled(); }));
  for (int by = 0; by < 4; ++by) {
    std::optional<ApplyResult> result;
    brokers.propose(by, std::string(kMaxRuleSetTextBytes + 1, ' '), false, 1, "over" + std::to_string(by),
                    [&](const std::optional<ApplyResult>& r) { result = r; });
    ASSERT_TRUE(result) << "broker " << by;
    EXPECT_EQ(result->number, 0u);
    EXPECT_EQ(result->rejection, "rules has 65537 bytes; allowed are at most 65536");
  }
}

}  // namespace

}  // namespace cairnhub::shared_config
