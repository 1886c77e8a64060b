// Encodes messages and authenticates them with a keyed MAC (HMAC-SHA-512-256: RFC 4868 with libsodium's
// truncation). Knows nothing of sessions, so it accepts the same message twice; MessageSealer doesn't.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "transport/drop_reason.h"
#include "transport/mac_key.h"
#include "transport/message.h"

namespace cairnhub::transport {

class MessageSigner {
 public:
  static constexpr std::size_t kMaxEnvelopeBytes = 8 << 20;
  static constexpr std::size_t kMaxNameBytes = 64;

  // @param own_name this broker's name among the others.
  // @param keys not empty; the first signs, all verify.
  MessageSigner(std::string own_name, std::vector<MacKey> keys);
  void rotate_keys(std::vector<MacKey> keys) { keys_ = std::move(keys); }

  // The bytes to send. message.sender is not read: the sender is this broker.
  std::string sign(const Message& message) const;

  struct VerifiedMessage {
    DropReason drop_reason = DropReason::none;
    Message message;  // valid only if drop_reason is none
  };
  // Checks that a peer that holds the key sent these bytes to this broker.
  VerifiedMessage verify(std::string_view envelope) const;

 private:
  const MacKey* find_key(std::uint32_t id) const;

  std::string own_name_;
  std::vector<MacKey> keys_;
};

}  // namespace cairnhub::transport
