// Settings as they come over the wire: lines of path=value. Decodes them and hands each part its own.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "decide.h"

namespace cairnhub::wire {

// Reads the settings text and tells the decider, setting by setting. Unknown keys are skipped. Throws
// WireError naming the setting when a needed one is absent or one can't be read. Fills in the names of the
// load report's values, in their order.
void apply_settings(std::string_view text, Decider& decider, std::vector<std::string>& report_fields);

}  // namespace cairnhub::wire
