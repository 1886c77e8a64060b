#include "transport/outgoing_stream.h"

#include <utility>

#include "base/log.h"
#include "transport/stream_protocol.h"

namespace cairnhub::transport {

OutgoingStream::OutgoingStream(const StreamContext& context, std::string recipient, OnClosed on_closed)
    : context_(context),
      recipient_(std::move(recipient)),
      on_closed_(std::move(on_closed)),
      stream_(bufferevent_socket_new(context.base, -1, BEV_OPT_CLOSE_ON_FREE)) {}

bool OutgoingStream::connect(const Address& address) {
  if (!stream_) {
    return false;
  }
  set_timeout(stream_.get(), context_.limits.connect_timeout);
  bufferevent_setcb(stream_.get(), on_readable, nullptr, on_event, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  return bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&address.at),
                                    address.length) == 0;
}

bool OutgoingStream::enqueue(std::string body) {
  const std::size_t unsent_bytes = queued_bytes_ + evbuffer_get_length(bufferevent_get_output(stream_.get()));
  if (unsent_bytes + body.size() > context_.limits.max_queued_bytes) {
    return false;
  }
  queued_bytes_ += body.size();
  queue_.push_back(std::move(body));
  write_queue();
  return true;
}

void OutgoingStream::on_readable(bufferevent*, void* self) noexcept {
  guarded("transport", [&] { static_cast<OutgoingStream*>(self)->read_nonce(); });
}

void OutgoingStream::on_event(bufferevent*, short events, void* self) noexcept {
  if ((events & BEV_EVENT_CONNECTED) == 0) {
    guarded("transport", [&] { static_cast<OutgoingStream*>(self)->close(); });
  }
}

void OutgoingStream::read_nonce() {
  evbuffer* const input = bufferevent_get_input(stream_.get());
  if (nonce_ != 0) {
    evbuffer_drain(input, evbuffer_get_length(input));  // the peer has nothing to say but its nonce
    return;
  }
  const std::optional<std::uint64_t> nonce = peek_stream_nonce(input);
  if (!nonce) {
    return;
  }
  evbuffer_drain(input, kStreamNonceBytes);
  nonce_ = *nonce;
  set_timeout(stream_.get(), context_.limits.idle_timeout);
  write_queue();
}

void OutgoingStream::write_queue() {
  if (nonce_ == 0) {
    return;
  }
  for (std::string& body : std::exchange(queue_, {})) {
    ++last_sequence_number_;
    const std::string frame =
        context_.sealer.seal_stream_frame(recipient_, {nonce_, last_sequence_number_}, std::move(body));
    const std::string length = encode_frame_length(frame.size());
    bufferevent_write(stream_.get(), length.data(), length.size());
    bufferevent_write(stream_.get(), frame.data(), frame.size());
    context_.counters.bytes_sent += length.size() + frame.size();
  }
  queued_bytes_ = 0;
}

void OutgoingStream::close() {
  // Copies: the owner destroys this stream, and these members with it.
  const OnClosed on_closed = on_closed_;
  const std::string recipient = recipient_;
  on_closed(recipient, queue_.size());
}

}  // namespace cairnhub::transport
