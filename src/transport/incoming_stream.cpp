#include "transport/incoming_stream.h"

#include <string>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "transport/stream_protocol.h"
#include "transport/transport_error.h"

namespace cairnhub::transport {

IncomingStream::IncomingStream(const StreamContext& context, FileDescriptor socket)
    : context_(context),
      stream_(bufferevent_socket_new(context.base, socket.get(), BEV_OPT_CLOSE_ON_FREE)),
      nonce_(context.sealer.new_stream_nonce()) {
  if (!stream_) {
    throw TransportError("cannot read an accepted connection", "out of memory");
  }
  socket.release();  // stream_ closes it
}

void IncomingStream::start(OnMessage on_message, OnIncomplete on_incomplete, OnClosed on_closed) {
  on_message_ = std::move(on_message);
  on_incomplete_ = std::move(on_incomplete);
  on_closed_ = std::move(on_closed);
  set_timeout(stream_.get(), context_.limits.idle_timeout);
  bufferevent_setcb(stream_.get(), on_readable, nullptr, on_event, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  const std::string nonce = encode_stream_nonce(nonce_);
  bufferevent_write(stream_.get(), nonce.data(), nonce.size());
}

void IncomingStream::on_readable(bufferevent*, void* self) noexcept {
  guarded("transport", [&] { static_cast<IncomingStream*>(self)->read_frames(); });
}

void IncomingStream::on_event(bufferevent*, short, void* self) noexcept {
  guarded("transport", [&] { static_cast<IncomingStream*>(self)->close(); });
}

void IncomingStream::read_frames() {
  evbuffer* const input = bufferevent_get_input(stream_.get());
  while (const std::optional<std::size_t> frame_bytes = peek_frame_length(input)) {
    // Checked first, so that an unauthenticated length can't make this broker buffer without bound.
    if (*frame_bytes == 0 || *frame_bytes > context_.limits.max_message_bytes) {
      close();
      return;
    }
    if (evbuffer_get_length(input) < kFrameLengthBytes + *frame_bytes) {
      const OnIncomplete on_incomplete = on_incomplete_;  // a copy: the owner may destroy this stream
      on_incomplete();
      return;
    }
    evbuffer_drain(input, kFrameLengthBytes);
    const unsigned char* const frame = evbuffer_pullup(input, static_cast<ev_ssize_t>(*frame_bytes));
    ++last_sequence_number_;
    const OpenedMessage message = context_.sealer.open_stream_frame(
        {reinterpret_cast<const char*>(frame), *frame_bytes}, {nonce_, last_sequence_number_});
    evbuffer_drain(input, *frame_bytes);
    context_.counters.bytes_received += kFrameLengthBytes + *frame_bytes;
    if (!message.body) {
      close();
      return;
    }
    is_authenticated_ = true;
    on_message_(message);
  }
}

std::size_t IncomingStream::incomplete_bytes() const {
  return evbuffer_get_length(bufferevent_get_input(stream_.get()));
}

void IncomingStream::close() {
  const OnClosed on_closed = on_closed_;  // a copy: the owner destroys this stream, and the member with it
  on_closed();
}

}  // namespace cairnhub::transport
