// What the two ends of a stream have in common. The accepting end writes a nonce of 8 bytes; then the other
// one writes frames, each a length of 4 bytes and the sealed bytes. Numbers are little-endian.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace cairnhub::transport {

constexpr std::size_t kStreamNonceBytes = 8;
constexpr std::size_t kFrameLengthBytes = 4;

std::string encode_stream_nonce(std::uint64_t nonce);
std::string encode_frame_length(std::size_t frame_bytes);

// The number at the front of `input`, which stays as it is; nothing while it isn't all there.
std::optional<std::uint64_t> peek_stream_nonce(evbuffer* input);
std::optional<std::size_t> peek_frame_length(evbuffer* input);

// The stream's event callback is called with BEV_EVENT_TIMEOUT when nothing was read for so long, or when
// bytes waited to be written and none were for so long: each on its own, so writing doesn't prolong the wait
// for reading.
void set_timeout(bufferevent* stream, Time timeout);

}  // namespace cairnhub::transport
