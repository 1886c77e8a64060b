// A stream to one peer: connects, waits for the peer's nonce, then writes the queued bodies as sealed frames.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "base/address.h"
#include "base/libevent_handles.h"
#include "transport/stream_context.h"

namespace cairnhub::transport {

class OutgoingStream {
 public:
  // Called once, when the connection fails, ends or times out; the owner destroys the stream in this call.
  // @param undelivered_count bodies that were still queued.
  using OnClosed = std::function<void(const std::string& recipient, std::size_t undelivered_count)>;

  OutgoingStream(const StreamContext& context, std::string recipient, OnClosed on_closed);
  OutgoingStream(const OutgoingStream&) = delete;
  OutgoingStream& operator=(const OutgoingStream&) = delete;

  // Begins to connect; to be called once, first. False if it can't even begin.
  // OnClosed may be called, and this stream be gone, before it returns.
  bool connect(const Address& address);

  // Queues `body`, and writes it as soon as the nonce is there. False, and nothing is queued, if
  // TransportLimits::max_queued_bytes would be exceeded.
  bool enqueue(std::string body);

 private:
  static void on_readable(bufferevent* stream, void* self) noexcept;
  static void on_event(bufferevent* stream, short events, void* self) noexcept;
  void read_nonce();
  void write_queue();
  void close();

  StreamContext context_;
  std::string recipient_;
  OnClosed on_closed_;
  BuffereventPtr stream_;
  std::uint64_t nonce_ = 0;  // 0: it isn't there yet
  std::uint64_t last_sequence_number_ = 0;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
};

}  // namespace cairnhub::transport
