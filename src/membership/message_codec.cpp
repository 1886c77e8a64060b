#include "membership/message_codec.h"

#include <algorithm>

#include "membership.pb.h"

namespace cairnhub::membership {

namespace {

constexpr int kMaxUpdatesPerMessage = 8192;
// Far from the end of the range: a member must always be able to refute with a higher one.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;

bool is_valid_address(std::string_view address) {
  if (address.empty() || address.size() > kMaxAddressBytes) return false;
  return std::all_of(address.begin(), address.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool is_valid_update(const wire::MemberUpdate& update) {
  if (!is_valid_member_name(update.name()) || !is_valid_address(update.address())) return false;
  if (update.state() > static_cast<std::uint32_t>(MemberState::left)) return false;
  if (update.incarnation() > kMaxIncarnation) return false;
  if (static_cast<MemberState>(update.state()) == MemberState::suspect) {
    return is_valid_member_name(update.accuser());
  }
  return update.accuser().empty();
}

bool is_valid_message(const wire::Message& message) {
  if (message.kind() > static_cast<std::uint32_t>(Message::Kind::payload)) return false;
  if (!message.target().empty() && !is_valid_member_name(message.target())) return false;
  return message.update_size() <= kMaxUpdatesPerMessage &&
         std::all_of(message.update().begin(), message.update().end(), is_valid_update);
}

}  // namespace

bool is_valid_member_name(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

std::string encode(const Message& message) {
  wire::Message encoded;
  encoded.set_kind(static_cast<std::uint32_t>(message.kind));
  encoded.set_sequence_number(message.sequence_number);
  if (!message.target.empty()) encoded.set_target(message.target);
  encoded.set_digest(message.digest);
  for (const MemberUpdate& update : message.updates) {
    auto* out = encoded.add_update();
    out->set_name(update.name);
    out->set_address(update.address);
    out->set_incarnation(update.incarnation);
    out->set_state(static_cast<std::uint32_t>(update.state));
    if (!update.accuser.empty()) out->set_accuser(update.accuser);
  }
  if (!message.payload.empty()) encoded.set_payload(message.payload);
  return encoded.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes) {
  wire::Message encoded;
  if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (!is_valid_message(encoded)) return std::nullopt;
  Message message;
  message.kind = static_cast<Message::Kind>(encoded.kind());
  message.sequence_number = encoded.sequence_number();
  message.target = encoded.target();
  message.digest = encoded.digest();
  for (const auto& update : encoded.update()) {
    message.updates.push_back({update.name(), update.address(), update.incarnation(),
                               static_cast<MemberState>(update.state()), update.accuser()});
  }
  message.payload = encoded.payload();
  return message;
}

}  // namespace cairnhub::membership
