// Between this package's records and its messages (accord.proto).
#pragma once
#include <optional>

#include "accord.pb.h"
#include "accord/versions.h"

namespace cairnhub::accord {

void put(const Version& v, wire::Version& into);
// None where its text can't be used or is not what its hash says.
std::optional<Version> take(const wire::Version& v);

}  // namespace cairnhub::accord
