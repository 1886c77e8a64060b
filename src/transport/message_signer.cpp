#include "transport/message_signer.h"

#include <sodium.h>

#include <array>
#include <utility>

#include "message_sealer.pb.h"

namespace cairnhub::transport {

namespace {

constexpr std::size_t kMacBytes = crypto_auth_hmacsha512256_BYTES;

const unsigned char* unsigned_bytes(const std::string& bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

std::string encode(const Message& message, const std::string& sender) {
  wire::Message encoded;
  encoded.set_kind(static_cast<std::uint32_t>(message.kind));
  encoded.set_sender(sender);
  encoded.set_recipient(message.recipient);
  if (message.session_id != 0) {
    encoded.set_session_id(message.session_id);
  }
  if (message.sequence_number != 0) {
    encoded.set_sequence_number(message.sequence_number);
  }
  if (message.nonce != 0) {
    encoded.set_nonce(message.nonce);
  }
  if (!message.body.empty()) {
    encoded.set_body(message.body);
  }
  return encoded.SerializeAsString();
}

bool is_well_formed(const wire::Message& message) {
  return message.kind() >= static_cast<std::uint32_t>(MessageKind::session_request) &&
         message.kind() <= static_cast<std::uint32_t>(MessageKind::stream_frame) &&
         !message.sender().empty() && message.sender().size() <= MessageSigner::kMaxNameBytes;
}

bool is_signed_with(const MacKey& key, const wire::Envelope& envelope) {
  const std::string& message = envelope.message();
  return crypto_auth_hmacsha512256_verify(unsigned_bytes(envelope.mac()), unsigned_bytes(message),
                                          message.size(), key.bytes.data()) == 0;
}

}  // namespace

MessageSigner::MessageSigner(std::string own_name, std::vector<MacKey> keys)
    : own_name_(std::move(own_name)), keys_(std::move(keys)) {}

std::string MessageSigner::sign(const Message& message) const {
  const MacKey& key = keys_.front();
  const std::string bytes = encode(message, own_name_);
  std::array<unsigned char, kMacBytes> mac{};
  crypto_auth_hmacsha512256(mac.data(), unsigned_bytes(bytes), bytes.size(), key.bytes.data());
  wire::Envelope envelope;
  envelope.set_key_id(key.id);
  envelope.set_message(bytes);
  envelope.set_mac(mac.data(), mac.size());
  return envelope.SerializeAsString();
}

MessageSigner::VerifiedMessage MessageSigner::verify(std::string_view envelope) const {
  wire::Envelope parsed;
  if (envelope.size() > kMaxEnvelopeBytes ||
      !parsed.ParseFromArray(envelope.data(), static_cast<int>(envelope.size())) ||
      parsed.mac().size() != kMacBytes) {
    return {DropReason::malformed, {}};
  }
  const MacKey* const key = find_key(parsed.key_id());
  if (key == nullptr) {
    return {DropReason::unknown_key, {}};
  }
  if (!is_signed_with(*key, parsed)) {
    return {DropReason::bad_mac, {}};
  }
  wire::Message message;
  if (!message.ParseFromString(parsed.message()) || !is_well_formed(message)) {
    return {DropReason::malformed, {}};
  }
  // All brokers share the key: what was sent to another, or by this one, has a good MAC, too.
  if (message.recipient() != own_name_ || message.sender() == own_name_) {
    return {DropReason::wrong_recipient, {}};
  }
  return {DropReason::none,
          {.kind = static_cast<MessageKind>(message.kind()),
           .sender = std::move(*message.mutable_sender()),
           .recipient = std::move(*message.mutable_recipient()),
           .body = std::move(*message.mutable_body()),
           .session_id = message.session_id(),
           .sequence_number = message.sequence_number(),
           .nonce = message.nonce()}};
}

const MacKey* MessageSigner::find_key(std::uint32_t id) const {
  for (const MacKey& key : keys_) {
    if (key.id == id) {
      return &key;
    }
  }
  return nullptr;
}

}  // namespace cairnhub::transport
