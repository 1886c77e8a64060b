#include "cluster/cluster_node.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/file_descriptor.h"
#include "options/options.h"
#include "settings/settings.h"
#include "shared_config/rule_set.h"
#include "shared_config/sqlite_store.h"

namespace cairnhub::cluster {

namespace {

constexpr int kEndedClass = 0;
constexpr int kOpenClass = 1;

// Restricts each thing that a rule can restrict.
constexpr const char* kBaseline = R"(
  op_type { name: "ended" served: false time_most_ms: 100 held_most: 3 latency_budget_most_ms: 50
            least_share: 0.5 crossing_bytes_most: 1000 }
  sends_most: 2
  second_copies: false
  two_phase_off: "ended"
  index_off: "register"
  withheld_node: "s-1"
  at_work: "s-2"
  list_floor: 7
  zone_shares { otherwise: 40 }
)";

settings::Settings settings_of_test() {
  const auto request_class = [](const char* name) {
    return nlohmann::json{{"name", name}, {"promise", 1.0}, {"deadline", 2}, {"effect", "free"}};
  };
  return settings::Settings::from_json(
      {{"classes", {request_class("ended"), request_class("open")}},
       {"family-info", {{"positions", 2}, {"ranges", 2}, {"width", 1}, {"need-by-class", {1, 1}}}}});
}

// Returns an address of loopback whose port was free a moment ago.
std::string free_address() {
  const FileDescriptor probe(socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address{};
  socklen_t length = sizeof address;
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(bind(probe.get(), reinterpret_cast<const sockaddr*>(&address), length), 0);
  EXPECT_EQ(getsockname(probe.get(), reinterpret_cast<sockaddr*>(&address), &length), 0);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

class ClusterNodeTest : public testing::Test {
 public:
  ~ClusterNodeTest() override { std::filesystem::remove_all(folder_); }

 protected:
  ClusterNodeTest() : base_(event_base_new()) {
    char name[] = "/tmp/cluster_node_test.XXXXXX";
    folder_ = mkdtemp(name);
    options_.name = "b0";
    options_.listen_address = free_address();
    options_.advertised_address = options_.listen_address;
    options_.key_path = write("key", "1 " + std::string(64, '5') + "\n");
    options_.shared_config.emplace();
    options_.shared_config->voters = {"b0", "b1", "b2"};
  }
  std::string write(const std::string& name, const std::string& content) const {
    std::ofstream(folder_ + "/" + name) << content;
    return folder_ + "/" + name;
  }
  // Saves the rules as the baseline that an earlier process of this broker followed.
  void save_baseline(const shared_config::RuleSet& rules) {
    options_.shared_config->store_folder = folder_;
    std::string damaged;
    const auto store = shared_config::SqliteStore::open(folder_, 1, &damaged);
    store->save_baseline(shared_config::canonical_text(rules), 2);
  }
  std::unique_ptr<ClusterNode> start_node() const {
    return std::make_unique<ClusterNode>(base_.get(), options_, settings_of_test(), 1);
  }

  const std::unique_ptr<event_base, EventBaseDeleter> base_;
  std::string folder_;
  options::ClusterOptions options_;
};

// Expects that the node acts on kBaseline in everything that it decides for the broker.
void expect_acts_on_baseline(ClusterNode& node) {
  const dispatch::RequestClassLimits& ended = node.limits(kEndedClass);
  EXPECT_FALSE(ended.is_served);
  EXPECT_EQ(ended.max_time, kSecond / 10);
  EXPECT_EQ(ended.max_in_flight, 3);
  EXPECT_EQ(ended.max_latency_objective, kSecond / 20);
  EXPECT_EQ(ended.min_answer_share, 0.5);
  EXPECT_TRUE(node.limits(kOpenClass).is_served);
  EXPECT_EQ(node.max_attempts(), 2);
  EXPECT_FALSE(node.may_hedge());
  EXPECT_FALSE(node.may_run_two_phase(kEndedClass));
  EXPECT_TRUE(node.may_run_two_phase(kOpenClass));
  EXPECT_FALSE(node.serves_index("register"));
  EXPECT_TRUE(node.is_withheld("s-1", 0));
  EXPECT_TRUE(node.is_withheld("s-2", 0));
  EXPECT_FALSE(node.is_withheld("s-3", 0));
  EXPECT_EQ(node.min_list_revision(), 7u);
}

// Guards against: a broker that restarts without a majority serves what its baseline ends (review/7).
TEST_F(ClusterNodeTest, ActsOnTheSavedBaselineFromTheFirstRequestOn) {
  save_baseline(shared_config::parse_rule_set(kBaseline, "test"));
  const auto node = start_node();
  expect_acts_on_baseline(*node);
  node->refresh_rules();
  expect_acts_on_baseline(*node);
}

TEST_F(ClusterNodeTest, ActsOnTheBaselineOfTheOptionsFromTheFirstRequestOn) {
  options_.shared_config->baseline_path = write("baseline.txtpb", kBaseline);
  const auto node = start_node();
  expect_acts_on_baseline(*node);
}

// The folder tells what this broker told others that it follows; the options may be older.
TEST_F(ClusterNodeTest, SavedBaselineCountsBeforeTheOneOfTheOptions) {
  save_baseline(shared_config::parse_rule_set(kBaseline, "test"));
  options_.shared_config->baseline_path = write("baseline.txtpb", "list_floor: 3\n");
  const auto node = start_node();
  expect_acts_on_baseline(*node);
}

// Guards against: zones and their budgets start without what the baseline allows.
TEST_F(ClusterNodeTest, ZonesStartWithinTheBaseline) {
  save_baseline(shared_config::parse_rule_set(kBaseline, "test"));
  options_.zone_failover.emplace();
  options_.zone_failover->home_zone = "north";
  options_.zone_failover->zones = {{"north", "here", 0}, {"south", "here", 0}};
  const auto node = start_node();
  expect_acts_on_baseline(*node);
  ASSERT_EQ(node->zones().size(), 2u);
  EXPECT_DOUBLE_EQ(node->zones()[1].max_share, 0.04);
  EXPECT_TRUE(node->has_byte_budgets());
  EXPECT_EQ(node->cross_zone_budget()->budget_state(0, kEndedClass).bytes_per_second, 1000);
}

TEST_F(ClusterNodeTest, WithoutABaselineNothingIsRestricted) {
  const auto node = start_node();
  EXPECT_TRUE(node->limits(kEndedClass).is_served);
  EXPECT_EQ(node->limits(kEndedClass).max_time, kNever);
  EXPECT_TRUE(node->may_hedge());
}

}  // namespace

}  // namespace cairnhub::cluster
