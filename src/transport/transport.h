// Sends messages to other brokers and receives theirs, all sealed (message_sealer.h), on the event loop: by
// datagram (UDP) what fits into one, by stream (TCP) what is longer. Both at one address.
//
// Delivery is not guaranteed, and a caller repeats what matters. What can't be opened is counted by
// DropReason, what can't be sent by TransportCounters::messages_not_sent. Lost without a count on this side,
// besides what the system and the network lose:
// - by datagram, while a session is requested: of more than MessageSealer::kMaxPendingBodies bodies for one
//   peer the oldest, and all of them if no grant comes
// - by datagram to a new peer, while the sealer's peer table is full
// - by datagram in a session that the peer no longer knows: its session_unknown brings a new session, not the
//   body; the peer counts it as DropReason::unknown_session
// - by stream: what was sealed and buffered, and not yet read by the peer, when the stream closes
// - by stream: a body whose stream closes while it begins to connect
// - what is pending or queued for a peer when forget_peer() is called
// - what came: of messages that are incomplete, those that pass TransportLimits::max_incomplete_bytes
// together;
//   their streams are closed, the ones without an authenticated message first
// - what came: a stream frame of no bytes or of more than TransportLimits::max_message_bytes; its stream is
//   closed.
//
// One thread: that of the event loop.
#pragma once
#include <event2/event.h>

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "base/libevent_handles.h"
#include "transport/incoming_stream.h"
#include "transport/message_sealer.h"
#include "transport/outgoing_stream.h"
#include "transport/transport_counters.h"
#include "transport/transport_limits.h"

namespace cairnhub::transport {

class Transport {
 public:
  // `body` is valid during the call only. It may call send(), but must not destroy the transport.
  using OnMessage = std::function<void(const std::string& sender, std::string_view body)>;

  // Listens from now on.
  // @param base must outlive the transport.
  // @param listen_address an address with a port, for datagrams and streams.
  // @param own_name this broker's name among the others.
  // @param keys not empty; the first signs, all verify.
  // Throws TransportError where the address can't be had.
  Transport(event_base* base, const std::string& listen_address, const std::string& own_name,
            std::vector<MacKey> keys, OnMessage on_message, const TransportLimits& limits = {});
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Sends `body` to the peer of this name. The limit is the peer's TransportLimits::max_message_bytes, of the
  // sealed body: this side doesn't check it; the peer closes the stream at a longer one, and what was sent
  // behind it is lost as well.
  // @param address where the peer listens: an address with a port.
  void send(const std::string& recipient, const std::string& address, const std::string& body);

  // Forgets sessions, address and outgoing stream of a peer; should it send again, it is a new one.
  void forget_peer(const std::string& name);
  // The first key signs from now on, all verify.
  void rotate_keys(std::vector<MacKey> keys) { sealer_.rotate_keys(std::move(keys)); }
  std::uint64_t drop_count(DropReason reason) const { return sealer_.drop_count(reason); }
  const TransportCounters& counters() const { return counters_; }

 private:
  static void on_datagrams(evutil_socket_t socket, short events, void* self) noexcept;
  static void on_connection(evconnlistener* listener, evutil_socket_t socket, sockaddr* peer, int peer_length,
                            void* self) noexcept;
  StreamContext stream_context() { return {base_, limits_, sealer_, counters_}; }
  void send_datagram(const Address& to, const std::string& datagram);
  void receive_datagrams();
  void handle_datagram(const Address& from, std::string_view datagram);
  void send_by_stream(const std::string& recipient, const Address& address, const std::string& body);
  bool connect_stream(const std::string& recipient, const Address& address);
  void accept_stream(FileDescriptor socket);
  void limit_incomplete_messages();

  event_base* base_;
  TransportLimits limits_;
  TransportCounters counters_;
  MessageSealer sealer_;
  OnMessage on_message_;
  FileDescriptor datagram_socket_;
  ListenerPtr listener_;
  EventPtr datagram_event_;
  // By peer: where it was sent to last. No more than MessageSealer::kMaxPeers.
  std::map<std::string, Address> peer_addresses_;
  std::map<std::string, std::unique_ptr<OutgoingStream>> outgoing_streams_;  // by recipient
  std::list<std::unique_ptr<IncomingStream>> incoming_streams_;              // the longest idle first
};

}  // namespace cairnhub::transport
