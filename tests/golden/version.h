// A version of the shared rules with all fields set, of a number.
#pragma once
#include <gtest/gtest.h>

#include <string>

#include "shared_config.pb.h"
#include "shared_config/rule_set.h"

namespace cairnhub::golden {

inline std::string rules_text(std::uint64_t number) {
  return "op_type {\n  name: \"lookup\"\n  held_most: " + std::to_string(number) + "\n}\n";
}

inline void fill(accord::wire::Version& version, std::uint64_t number) {
  version.set_number(number);
  version.set_rules(rules_text(number));
  version.set_hash(shared_config::content_hash(rules_text(number)));
  version.set_who("ann");
  version.set_why("because");
  version.set_id("p" + std::to_string(number));
  version.set_note("a note");
}

inline void expect_filled(const accord::wire::Version& version, std::uint64_t number) {
  EXPECT_EQ(version.number(), number);
  EXPECT_EQ(version.rules(), rules_text(number));
  EXPECT_EQ(version.hash(), shared_config::content_hash(rules_text(number)));
  EXPECT_EQ(version.who(), "ann");
  EXPECT_EQ(version.why(), "because");
  EXPECT_EQ(version.id(), "p" + std::to_string(number));
  EXPECT_EQ(version.note(), "a note");
}

}  // namespace cairnhub::golden
