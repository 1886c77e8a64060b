// Reports between brokers, as bytes; what can't be used is none.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "zones/evidence.h"

namespace cairnhub::zones {

std::string encode(const Report& report);
std::optional<Report> decode(std::string_view bytes);

}  // namespace cairnhub::zones
