#include "transport/message_sealer.h"

#include <utility>

namespace cairnhub::transport {

namespace {

// A session request that isn't granted is repeated no sooner.
constexpr Time kSessionRequestInterval = kSecond / 10;

}  // namespace

MessageSealer::MessageSealer(std::string own_name, std::vector<MacKey> keys, RandomSource random)
    : signer_(std::move(own_name), std::move(keys)), random_(std::move(random)) {}

MessageSealer::Peer* MessageSealer::find_or_add_peer(const std::string& name) {
  const auto known = peers_.find(name);
  if (known != peers_.end()) {
    return &known->second;
  }
  if (peers_.size() >= kMaxPeers) {
    return nullptr;
  }
  return &peers_[name];
}

std::string MessageSealer::seal_in_session(const std::string& recipient, OutgoingSession& session,
                                           std::string body) {
  ++session.last_sequence_number;
  return signer_.sign({.kind = MessageKind::data,
                       .recipient = recipient,
                       .body = std::move(body),
                       .session_id = session.id,
                       .sequence_number = session.last_sequence_number});
}

std::string MessageSealer::request_session(Time now, const std::string& recipient, OutgoingSession& session) {
  session.requested_at = now;
  return signer_.sign(
      {.kind = MessageKind::session_request, .recipient = recipient, .nonce = session.request_nonce});
}

std::vector<std::string> MessageSealer::seal(Time now, const std::string& recipient, std::string body) {
  Peer* const peer = find_or_add_peer(recipient);
  if (peer == nullptr) {
    return {};
  }
  OutgoingSession& session = peer->outgoing;
  if (session.id != 0) {
    return {seal_in_session(recipient, session, std::move(body))};
  }
  if (session.pending_bodies.size() >= kMaxPendingBodies) {
    session.pending_bodies.pop_front();
  }
  session.pending_bodies.push_back(std::move(body));
  if (session.request_nonce == 0) {
    session.request_nonce = draw_nonzero();
  } else if (now - session.requested_at < kSessionRequestInterval) {
    return {};
  }
  // A repeated request has the same nonce, so that a late grant of the first one is accepted, and serves
  // unless the repeated one has come to the recipient meanwhile: its grant has then withdrawn the first.
  // Bodies sent in the withdrawn session are answered by session_unknown and lost, and a new session is
  // requested. Of the two grants the later one counts as unsolicited.
  return {request_session(now, recipient, session)};
}

DropReason MessageSealer::handle_session_request(IncomingSession& session, const Message& message,
                                                 OpenedMessage& opened) {
  const std::uint64_t granted_id = draw_nonzero();
  session.offer(granted_id);
  opened.replies.push_back(signer_.sign({.kind = MessageKind::session_grant,
                                         .recipient = message.sender,
                                         .session_id = granted_id,
                                         .nonce = message.nonce}));
  return DropReason::none;
}

DropReason MessageSealer::handle_session_grant(OutgoingSession& session, const Message& message,
                                               OpenedMessage& opened) {
  if (session.request_nonce == 0 || message.nonce != session.request_nonce || message.session_id == 0) {
    return DropReason::unsolicited;
  }
  session.id = message.session_id;
  session.last_sequence_number = 0;
  session.request_nonce = 0;
  for (std::string& body : std::exchange(session.pending_bodies, {})) {
    opened.replies.push_back(seal_in_session(message.sender, session, std::move(body)));
  }
  return DropReason::none;
}

DropReason MessageSealer::handle_data(IncomingSession& session, Message& message, OpenedMessage& opened) {
  const DropReason reason = session.accept(message.session_id, message.sequence_number);
  if (reason == DropReason::none) {
    opened.body = std::move(message.body);
  }
  if (reason == DropReason::unknown_session && message.session_id != 0) {
    opened.replies.push_back(signer_.sign({.kind = MessageKind::session_unknown,
                                           .recipient = message.sender,
                                           .session_id = message.session_id}));
  }
  return reason;
}

DropReason MessageSealer::handle_session_unknown(Time now, OutgoingSession& session, const Message& message,
                                                 OpenedMessage& opened) {
  if (message.session_id == 0 || message.session_id != session.id) {
    return DropReason::unsolicited;
  }
  session.id = 0;
  session.request_nonce = draw_nonzero();
  opened.replies.push_back(request_session(now, message.sender, session));
  return DropReason::none;
}

DropReason MessageSealer::handle(Time now, Peer& peer, Message& message, OpenedMessage& opened) {
  switch (message.kind) {
    case MessageKind::session_request:
      return handle_session_request(peer.incoming, message, opened);
    case MessageKind::session_grant:
      return handle_session_grant(peer.outgoing, message, opened);
    case MessageKind::data:
      return handle_data(peer.incoming, message, opened);
    case MessageKind::session_unknown:
      return handle_session_unknown(now, peer.outgoing, message, opened);
    case MessageKind::stream_frame:
      return DropReason::malformed;
  }
  return DropReason::malformed;
}

OpenedMessage MessageSealer::open(Time now, std::string_view datagram) {
  OpenedMessage opened;
  MessageSigner::VerifiedMessage verified = signer_.verify(datagram);
  opened.drop_reason = verified.drop_reason;
  if (opened.drop_reason == DropReason::none) {
    Peer* const peer = find_or_add_peer(verified.message.sender);
    if (peer == nullptr) {
      opened.drop_reason = DropReason::too_many_peers;
    } else {
      opened.sender = verified.message.sender;
      opened.drop_reason = handle(now, *peer, verified.message, opened);
    }
  }
  drops_.record(opened.drop_reason);
  return opened;
}

std::string MessageSealer::seal_stream_frame(const std::string& recipient, const FramePosition& position,
                                             std::string body) const {
  return signer_.sign({.kind = MessageKind::stream_frame,
                       .recipient = recipient,
                       .body = std::move(body),
                       .session_id = position.stream_nonce,
                       .sequence_number = position.sequence_number});
}

OpenedMessage MessageSealer::open_stream_frame(std::string_view frame, const FramePosition& position) {
  OpenedMessage opened;
  MessageSigner::VerifiedMessage verified = signer_.verify(frame);
  const Message& message = verified.message;
  opened.drop_reason = verified.drop_reason;
  if (opened.drop_reason == DropReason::none && message.kind != MessageKind::stream_frame) {
    opened.drop_reason = DropReason::malformed;
  }
  if (opened.drop_reason == DropReason::none &&
      (message.session_id != position.stream_nonce || message.sequence_number != position.sequence_number)) {
    opened.drop_reason = DropReason::replayed;
  }
  if (opened.drop_reason == DropReason::none) {
    opened.sender = std::move(verified.message.sender);
    opened.body = std::move(verified.message.body);
  }
  drops_.record(opened.drop_reason);
  return opened;
}

}  // namespace cairnhub::transport
