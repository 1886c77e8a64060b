// A stream that a peer opened: writes the nonce, then reads sealed frames.
#pragma once
#include <cstdint>
#include <functional>

#include "base/file_descriptor.h"
#include "base/libevent_handles.h"
#include "transport/stream_context.h"

namespace cairnhub::transport {

class IncomingStream {
 public:
  // The message has a body, and is valid during the call only.
  using OnMessage = std::function<void(const OpenedMessage& message)>;
  // Called once, when the stream ended, timed out, or brought what can't be opened; the owner destroys it in
  // this call.
  using OnClosed = std::function<void()>;
  // Called after each read that leaves a message incomplete; the owner may destroy it in this call.
  using OnIncomplete = std::function<void()>;

  // Takes over `socket`, an accepted connection. Throws TransportError where the system gives no stream for
  // it.
  IncomingStream(const StreamContext& context, FileDescriptor socket);
  IncomingStream(const IncomingStream&) = delete;
  IncomingStream& operator=(const IncomingStream&) = delete;

  // Writes the nonce and begins to read; to be called once. No callback is called before it returns.
  void start(OnMessage on_message, OnIncomplete on_incomplete, OnClosed on_closed);
  // Bytes of a message that is still incomplete.
  std::size_t incomplete_bytes() const;
  // Whether a message has been opened on it, which only a peer with a key can send.
  bool is_authenticated() const { return is_authenticated_; }

 private:
  static void on_readable(bufferevent* stream, void* self) noexcept;
  static void on_event(bufferevent* stream, short events, void* self) noexcept;
  void read_frames();
  void close();

  StreamContext context_;
  OnMessage on_message_;
  OnIncomplete on_incomplete_;
  OnClosed on_closed_;
  BuffereventPtr stream_;
  std::uint64_t nonce_;
  std::uint64_t last_sequence_number_ = 0;
  bool is_authenticated_ = false;
};

}  // namespace cairnhub::transport
