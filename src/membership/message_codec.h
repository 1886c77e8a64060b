// Messages as bytes (membership.proto). Encoding is deterministic; decoding checks every field, as the bytes
// come from another process.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/message.h"

namespace cairnhub::membership {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxAddressBytes = 64;

// @return whether `name` may name a member: 1 to kMaxNameBytes letters, digits and "-_.".
bool is_valid_member_name(std::string_view name);

std::string encode(const Message& message);

// @return the message, or nothing where any field is out of its bounds: no part of such a message is used.
std::optional<Message> decode(std::string_view bytes);

}  // namespace cairnhub::membership
