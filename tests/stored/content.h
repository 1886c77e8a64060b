// What the stored-data fixture's log holds: entries of every kind, in three parts. The first leads to the
// state that the fixture's snapshot holds, the second stands after it, the third is what the test appends.
#pragma once
#include <vector>

#include "shared_config/version_history.h"

namespace cairnhub::stored {

std::vector<shared_config::ConfigEntry> entries_before_snapshot();
std::vector<shared_config::ConfigEntry> entries_after_snapshot();
std::vector<shared_config::ConfigEntry> entries_to_append();

// The text and number that the fixture keeps as this broker's own baseline, beside the log.
extern const char* const kKeptBaseline;
constexpr std::uint64_t kKeptBaselineNumber = 3;

}  // namespace cairnhub::stored
