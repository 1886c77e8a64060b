// Converts versions to and from their protobuf messages (shared_config.proto).
#pragma once
#include <optional>

#include "shared_config.pb.h"
#include "shared_config/version_history.h"

namespace cairnhub::shared_config {

// Writes the version into the fields of `into`.
void to_proto(const Version& v, accord::wire::Version& into);
// Returns none if the rules are malformed, too long, or don't match their hash.
std::optional<Version> from_proto(const accord::wire::Version& v);

}  // namespace cairnhub::shared_config
