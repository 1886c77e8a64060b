// Encodes and decodes the frames exchanged with framed endpoints: a four-byte little-endian length, a letter
// for the kind of frame, and the payload. The length counts the letter and the payload.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace cairnhub::backend::framed {

constexpr std::size_t kLengthBytes = 4;
// A longer frame from an endpoint is invalid, because no body sent to a client is longer.
constexpr std::size_t kMaxFrameBytes = 65536 + 1024;

// Builds the frame of a batch, whose shard requests the endpoint runs together.
class BatchFrame {
 public:
  // Appends a shard request. @param timeout how long the endpoint may take, rounded up to whole milliseconds
  void add(std::string_view name, int shard, Time timeout, std::string_view body);
  std::string encode() const;
  std::size_t payload_bytes() const { return payload_.size(); }

 private:
  std::string payload_;
};

// Returns the frame that requests an endpoint to cancel a shard request.
std::string encode_cancel(std::string_view name);

// Decodes a frame's length from its first kLengthBytes bytes.
std::uint32_t decode_length(const unsigned char* bytes);

// An endpoint's result for one shard request. The views point into the parsed frame.
struct ShardResult {
  enum class Status { kReturned, kError, kQueueFull };
  Status status;
  std::string_view name, value;
};
// Parses a frame without its length. Returns nothing unless the frame is a well-formed result of a shard
// request.
std::optional<ShardResult> parse_shard_result(std::string_view frame);

}  // namespace cairnhub::backend::framed
