#include "transport/transport.h"

#include <fcntl.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "transport/transport_error.h"

namespace cairnhub::transport {

namespace {

// Of an envelope and the message in it, without the body: names, session id, sequence number, MAC, their
// tags.
constexpr std::size_t kMaxEnvelopeOverheadBytes = 220;
constexpr std::size_t kMaxUdpPayloadBytes = 65536;
// So that a flood of datagrams leaves the loop to others now and then.
constexpr int kMaxDatagramsPerTurn = 64;
constexpr int kListenBacklog = 64;

std::uint64_t unpredictable_number() {
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof number);
  return number;
}

const sockaddr* socket_address(const Address& address) {
  return reinterpret_cast<const sockaddr*>(&address.at);
}

Address parse_listen_address(const std::string& text) {
  Address address;
  if (!parse_address(text, address)) {
    throw TransportError("cannot listen at " + text, "it is not an address with a port");
  }
  return address;
}

FileDescriptor bind_datagram_socket(const Address& address, const std::string& address_text) {
  FileDescriptor bound(socket(address.at.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!bound.is_open() ||
      bind(bound.get(), socket_address(address), static_cast<socklen_t>(address.length)) != 0) {
    throw TransportError("cannot receive datagrams at " + address_text, std::strerror(errno));
  }
  return bound;
}

}  // namespace

Transport::Transport(event_base* base, const std::string& listen_address, const std::string& own_name,
                     std::vector<MacKey> keys, OnMessage on_message, const TransportLimits& limits)
    : base_(base),
      limits_(limits),
      sealer_(own_name, std::move(keys), unpredictable_number),
      on_message_(std::move(on_message)) {
  if (sodium_init() < 0) {
    throw TransportError("cannot draw session ids", "the system has no source of random numbers");
  }
  const Address address = parse_listen_address(listen_address);
  datagram_socket_ = bind_datagram_socket(address, listen_address);
  constexpr unsigned kListenerOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  listener_.reset(evconnlistener_new_bind(base_, on_connection, this, kListenerOptions, kListenBacklog,
                                          socket_address(address), address.length));
  if (!listener_) {
    throw TransportError("cannot accept streams at " + listen_address, std::strerror(errno));
  }
  datagram_event_.reset(event_new(base_, datagram_socket_.get(), EV_READ | EV_PERSIST, on_datagrams, this));
  if (!datagram_event_ || event_add(datagram_event_.get(), nullptr) != 0) {
    throw TransportError("cannot receive datagrams at " + listen_address, "no event on the loop");
  }
}

void Transport::on_datagrams(evutil_socket_t, short, void* self) noexcept {
  guarded("transport", [&] { static_cast<Transport*>(self)->receive_datagrams(); });
}

void Transport::on_connection(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) noexcept {
  guarded("transport", [&] { static_cast<Transport*>(self)->accept_stream(FileDescriptor(socket)); });
}

void Transport::send(const std::string& recipient, const std::string& address_text, const std::string& body) {
  Address address;
  if (!parse_address(address_text, address)) {
    ++counters_.messages_not_sent;
    return;
  }
  if (peer_addresses_.size() < MessageSealer::kMaxPeers || peer_addresses_.count(recipient) > 0) {
    peer_addresses_[recipient] = address;
  }
  if (body.size() + kMaxEnvelopeOverheadBytes > limits_.max_datagram_bytes) {
    send_by_stream(recipient, address, body);
    return;
  }
  for (const std::string& datagram : sealer_.seal(now(), recipient, body)) {
    send_datagram(address, datagram);
  }
}

void Transport::send_datagram(const Address& to, const std::string& datagram) {
  if (sendto(datagram_socket_.get(), datagram.data(), datagram.size(), MSG_NOSIGNAL, socket_address(to),
             static_cast<socklen_t>(to.length)) < 0) {
    ++counters_.messages_not_sent;
    return;
  }
  counters_.bytes_sent += datagram.size();
}

void Transport::receive_datagrams() {
  std::array<char, kMaxUdpPayloadBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    Address from;
    socklen_t from_length = sizeof from.at;
    const ssize_t received_bytes = recvfrom(datagram_socket_.get(), buffer.data(), buffer.size(), 0,
                                            reinterpret_cast<sockaddr*>(&from.at), &from_length);
    if (received_bytes < 0) {
      return;
    }
    from.length = static_cast<int>(from_length);
    handle_datagram(from, {buffer.data(), static_cast<std::size_t>(received_bytes)});
  }
}

void Transport::handle_datagram(const Address& from, std::string_view datagram) {
  counters_.bytes_received += datagram.size();
  const OpenedMessage opened = sealer_.open(now(), datagram);
  if (!opened.replies.empty()) {
    // The source address isn't authenticated: used only while no other is known.
    const auto known = peer_addresses_.find(opened.sender);
    const Address& reply_to = known == peer_addresses_.end() ? from : known->second;
    for (const std::string& reply : opened.replies) {
      send_datagram(reply_to, reply);
    }
  }
  if (opened.body) {
    on_message_(opened.sender, *opened.body);
  }
}

void Transport::send_by_stream(const std::string& recipient, const Address& address,
                               const std::string& body) {
  if (outgoing_streams_.count(recipient) == 0 && !connect_stream(recipient, address)) {
    ++counters_.messages_not_sent;
    return;
  }
  const auto stream = outgoing_streams_.find(recipient);
  if (stream == outgoing_streams_.end()) {
    return;  // it was closed while it connected
  }
  if (!stream->second->enqueue(body)) {
    ++counters_.messages_not_sent;
  }
}

bool Transport::connect_stream(const std::string& recipient, const Address& address) {
  const auto on_closed = [this](const std::string& closed, std::size_t undelivered_count) {
    counters_.messages_not_sent += undelivered_count;
    outgoing_streams_.erase(closed);
  };
  auto& stream = outgoing_streams_[recipient];
  stream = std::make_unique<OutgoingStream>(stream_context(), recipient, on_closed);
  if (!stream->connect(address)) {
    outgoing_streams_.erase(recipient);
    return false;
  }
  return true;
}

void Transport::forget_peer(const std::string& name) {
  sealer_.forget_peer(name);
  peer_addresses_.erase(name);
  outgoing_streams_.erase(name);
}

void Transport::accept_stream(FileDescriptor socket) {
  if (incoming_streams_.size() >= limits_.max_incoming_streams) {
    incoming_streams_.pop_front();
  }
  evutil_make_socket_nonblocking(socket.get());
  incoming_streams_.push_back(std::make_unique<IncomingStream>(stream_context(), std::move(socket)));
  const auto position = std::prev(incoming_streams_.end());
  const auto on_message = [this, position](const OpenedMessage& message) {
    incoming_streams_.splice(incoming_streams_.end(), incoming_streams_, position);
    on_message_(message.sender, *message.body);
  };
  const auto on_closed = [this, position] { incoming_streams_.erase(position); };
  (*position)->start(
      on_message, [this] { limit_incomplete_messages(); }, on_closed);
}

// Closes the streams whose incomplete messages take most until the rest is within the limit. Whoever can
// connect can make this broker buffer messages, so a stream on which no message was authenticated is closed
// before others.
void Transport::limit_incomplete_messages() {
  std::size_t held_bytes = 0;
  for (const auto& stream : incoming_streams_) held_bytes += stream->incomplete_bytes();
  while (held_bytes > limits_.max_incomplete_bytes) {
    const auto closes_later = [](const auto& a, const auto& b) {
      if (a->is_authenticated() != b->is_authenticated()) return a->is_authenticated();
      return a->incomplete_bytes() < b->incomplete_bytes();
    };
    const auto first = std::max_element(incoming_streams_.begin(), incoming_streams_.end(), closes_later);
    held_bytes -= (*first)->incomplete_bytes();
    incoming_streams_.erase(first);
  }
}

}  // namespace cairnhub::transport
