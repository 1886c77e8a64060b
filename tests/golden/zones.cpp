// Load reports of zones, through the package's codec.
#include "golden/golden.h"
#include "zone_failover/zone_report.h"

namespace cairnhub::golden {

namespace {

// Fractions that a float holds whole: what is read is what was written.
zone_failover::ZoneReport report() {
  zone_failover::ZoneReport report;
  report.home_zone = "east";
  report.demand_per_second = 1234.5;
  report.remote_only_demand_per_second = 12.25;
  report.zones["east"] = {100.5, 90.25, 5.125, 2.5, 0.0625, 2000, 7, 6, 1, 99.75};
  report.zones["west"] = {0.5, 0.25, 0.125, 0.0625, 1.5, 10, 300, 200, 150, 3.5};
  return report;
}

void expect_reading(const zone_failover::ZoneStats& read, const zone_failover::ZoneStats& wanted) {
  EXPECT_EQ(read.attempts_per_second, wanted.attempts_per_second);
  EXPECT_EQ(read.responses_per_second, wanted.responses_per_second);
  EXPECT_EQ(read.rejected_per_second, wanted.rejected_per_second);
  EXPECT_EQ(read.lost_per_second, wanted.lost_per_second);
  EXPECT_EQ(read.mean_latency_seconds, wanted.mean_latency_seconds);
  EXPECT_EQ(read.capacity_per_second, wanted.capacity_per_second);
  EXPECT_EQ(read.endpoints_in_service, wanted.endpoints_in_service);
  EXPECT_EQ(read.endpoints_tried, wanted.endpoints_tried);
  EXPECT_EQ(read.endpoints_down, wanted.endpoints_down);
  EXPECT_EQ(read.load_per_second, wanted.load_per_second);
}

void expect_report(const std::string& bytes) {
  const auto read = zone_failover::decode(bytes);
  ASSERT_TRUE(read.has_value());
  const zone_failover::ZoneReport wanted = report();
  EXPECT_EQ(read->home_zone, wanted.home_zone);
  EXPECT_EQ(read->demand_per_second, wanted.demand_per_second);
  EXPECT_EQ(read->remote_only_demand_per_second, wanted.remote_only_demand_per_second);
  ASSERT_EQ(read->zones.size(), wanted.zones.size());
  for (const auto& [zone, reading] : wanted.zones) {
    ASSERT_TRUE(read->zones.count(zone));
    expect_reading(read->zones.at(zone), reading);
  }
}

}  // namespace

std::vector<Golden> zones() {
  return {{"zones.report", [] { return zone_failover::encode(report()); }, expect_report}};
}

}  // namespace cairnhub::golden
