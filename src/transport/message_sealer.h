// Seals and opens messages between brokers, so that a broker accepts only what a peer sent to it, and nothing
// twice. No I/O and no clock: the caller sends what it is given, and tells the time.
//
// Datagrams. The recipient of a body must have granted its sender a session: the sender asks with a nonce,
// the recipient repeats the nonce and grants a session id. A broker that restarts knows no sessions and gets
// new ones, so that nothing sent in an earlier incarnation of either is ever accepted. Within a session each
// body has a sequence number, which a ReplayWindow checks.
//
// Streams. The recipient begins with a nonce, used in place of the session id; frames are numbered
// from 1 without a gap.
//
// Errors: what can't be opened is dropped and counted by reason. The only ones replied to are a session
// request and a body of an unknown session, both under a good MAC.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "transport/drop_reason.h"
#include "transport/incoming_session.h"
#include "transport/mac_key.h"
#include "transport/message.h"
#include "transport/message_signer.h"

namespace cairnhub::transport {

struct OpenedMessage {
  DropReason drop_reason = DropReason::none;
  std::string sender;                // empty unless the MAC was good and the peer table had room
  std::optional<std::string> body;   // what the sender sealed; absent if dropped, or where it carried none
  std::vector<std::string> replies;  // datagrams that must be sent back to `sender`
};

// Where a frame stands: on which stream, and which one of its frames it is.
struct FramePosition {
  std::uint64_t stream_nonce = 0;
  std::uint64_t sequence_number = 0;  // from 1 on
};

class MessageSealer {
 public:
  static constexpr std::size_t kMaxPendingBodies = 8;  // for one peer, while it grants a session
  static constexpr std::size_t kMaxPeers = 8192;

  // Session ids and nonces are drawn from it: unpredictable in production, seeded in a simulated world.
  using RandomSource = std::function<std::uint64_t()>;

  // @param own_name this broker's name among the others.
  // @param keys not empty; the first signs, all verify.
  MessageSealer(std::string own_name, std::vector<MacKey> keys, RandomSource random);
  // Sessions go on: they don't depend on the key.
  void rotate_keys(std::vector<MacKey> keys) { signer_.rotate_keys(std::move(keys)); }

  // The datagrams to send now, for `body` to reach `recipient`: the sealed body; or, while there is no
  // session, at most a session request. The body then waits for open() of the grant, which gives it out as a
  // reply; of more than kMaxPendingBodies the oldest is discarded. None if the peer table is full.
  std::vector<std::string> seal(Time now, const std::string& recipient, std::string body);
  // Opens a datagram that came.
  OpenedMessage open(Time now, std::string_view datagram);

  // The nonce with which the recipient begins a stream; never 0.
  std::uint64_t new_stream_nonce() { return draw_nonzero(); }
  std::string seal_stream_frame(const std::string& recipient, const FramePosition& position,
                                std::string body) const;
  // Opens the frame that came at `position`. There are no replies; a stream on which a frame is dropped is of
  // no further use.
  OpenedMessage open_stream_frame(std::string_view frame, const FramePosition& position);

  // Ends the sessions with `peer` in both directions.
  void forget_peer(const std::string& peer) { peers_.erase(peer); }
  std::size_t peer_count() const { return peers_.size(); }
  std::uint64_t drop_count(DropReason reason) const { return drops_.count(reason); }

 private:
  // A session that a peer granted to this broker.
  struct OutgoingSession {
    std::uint64_t id = 0;  // 0: none
    std::uint64_t last_sequence_number = 0;
    std::uint64_t request_nonce = 0;  // of the request that is not yet granted; 0: none
    Time requested_at = kNever;       // the latest time that the request was sent
    std::deque<std::string> pending_bodies;
  };
  struct Peer {
    OutgoingSession outgoing;
    IncomingSession incoming;
  };

  std::uint64_t draw_nonzero() { return random_() | 1; }
  // Null if the peer is new and the table is full.
  Peer* find_or_add_peer(const std::string& name);
  std::string seal_in_session(const std::string& recipient, OutgoingSession& session, std::string body);
  std::string request_session(Time now, const std::string& recipient, OutgoingSession& session);

  // Each handles one kind of message from `message.sender`, and fills `opened`.
  DropReason handle(Time now, Peer& peer, Message& message, OpenedMessage& opened);
  DropReason handle_session_request(IncomingSession& session, const Message& message, OpenedMessage& opened);
  DropReason handle_session_grant(OutgoingSession& session, const Message& message, OpenedMessage& opened);
  DropReason handle_data(IncomingSession& session, Message& message, OpenedMessage& opened);
  DropReason handle_session_unknown(Time now, OutgoingSession& session, const Message& message,
                                    OpenedMessage& opened);

  MessageSigner signer_;
  RandomSource random_;
  std::map<std::string, Peer> peers_;  // by name
  DropCounters drops_;
};

}  // namespace cairnhub::transport
