#include "transport/stream_protocol.h"

#include <sys/time.h>

#include <array>

namespace cairnhub::transport {

namespace {

constexpr Time kMicrosecond = kSecond / 1'000'000;
constexpr int kBitsPerByte = 8;

template <std::size_t kBytes>
std::string encode_little_endian(std::uint64_t number) {
  std::string encoded;
  for (std::size_t i = 0; i < kBytes; ++i) {
    encoded.push_back(static_cast<char>(number >> (kBitsPerByte * i)));
  }
  return encoded;
}

template <std::size_t kBytes>
std::optional<std::uint64_t> peek_little_endian(evbuffer* input) {
  if (evbuffer_get_length(input) < kBytes) {
    return std::nullopt;
  }
  std::array<unsigned char, kBytes> bytes{};
  evbuffer_copyout(input, bytes.data(), bytes.size());
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kBytes; ++i) {
    number |= std::uint64_t{bytes[i]} << (kBitsPerByte * i);
  }
  return number;
}

}  // namespace

std::string encode_stream_nonce(std::uint64_t nonce) {
  return encode_little_endian<kStreamNonceBytes>(nonce);
}

std::string encode_frame_length(std::size_t frame_bytes) {
  return encode_little_endian<kFrameLengthBytes>(frame_bytes);
}

std::optional<std::uint64_t> peek_stream_nonce(evbuffer* input) {
  return peek_little_endian<kStreamNonceBytes>(input);
}

std::optional<std::size_t> peek_frame_length(evbuffer* input) {
  return peek_little_endian<kFrameLengthBytes>(input);
}

void set_timeout(bufferevent* stream, Time timeout) {
  const timeval interval = {static_cast<time_t>(timeout / kSecond),
                            static_cast<suseconds_t>(timeout % kSecond / kMicrosecond)};
  bufferevent_set_timeouts(stream, &interval, &interval);
}

}  // namespace cairnhub::transport
