// Load reports of zones, through the package's codec.
#include "golden/golden.h"
#include "zone_failover/zone_report.h"

namespace cairnhub::golden {

namespace {

// Fractions that a float holds whole: what is read is what was written.
zone_failover::Report report() {
  zone_failover::Report report;
  report.home = "east";
  report.wanted = 1234.5;
  report.far = 12.25;
  report.zones["east"] = {100.5, 90.25, 5.125, 2.5, 0.0625, 2000, 7, 6, 1, 99.75};
  report.zones["west"] = {0.5, 0.25, 0.125, 0.0625, 1.5, 10, 300, 200, 150, 3.5};
  return report;
}

void expect_reading(const zone_failover::Reading& read, const zone_failover::Reading& wanted) {
  EXPECT_EQ(read.sent, wanted.sent);
  EXPECT_EQ(read.returned, wanted.returned);
  EXPECT_EQ(read.refused, wanted.refused);
  EXPECT_EQ(read.lost, wanted.lost);
  EXPECT_EQ(read.latency, wanted.latency);
  EXPECT_EQ(read.capacity, wanted.capacity);
  EXPECT_EQ(read.hosts, wanted.hosts);
  EXPECT_EQ(read.tried, wanted.tried);
  EXPECT_EQ(read.down, wanted.down);
  EXPECT_EQ(read.load, wanted.load);
}

void expect_report(const std::string& bytes) {
  const auto read = zone_failover::decode(bytes);
  ASSERT_TRUE(read.has_value());
  const zone_failover::Report wanted = report();
  EXPECT_EQ(read->home, wanted.home);
  EXPECT_EQ(read->wanted, wanted.wanted);
  EXPECT_EQ(read->far, wanted.far);
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
