// Estimates the memory that libevent's HTTP parser takes for a message while it is read.
//
// The memory is not what the message has bytes: a header field of 4 bytes becomes a record with two strings,
// and each read of a body without a stated length a block of its own. The bytes are looked at before the
// parser gets them, so that the reader can stop ahead of it. Does no I/O.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

struct evbuffer;

namespace cairnhub {

// The message of one connection that is being read, a request or a response.
class HttpMessageMemory {
 public:
  // Starts the next message.
  void reset() { *this = {}; }
  // Records the bytes of one read, in the order in which they arrive.
  void record_read(std::string_view bytes);
  // Records the last `added_bytes` of the buffer.
  void record_read(evbuffer* buffer, std::size_t added_bytes);
  // Returns whether the start line or the header fields are being read.
  bool is_in_head() const { return part_ == Part::kStartLine || part_ == Part::kFields; }
  // Returns the bytes that the message takes so far; at least what has been read of it.
  std::size_t bytes() const { return bytes_; }

 private:
  // What the next byte belongs to.
  enum class Part { kStartLine, kFields, kBodyWithLength, kBodyUntilEnd, kChunkSize, kChunk, kTrailers };

  // Of a line, to tell the fields that delimit the body: the longer of their names, with its colon.
  static constexpr std::size_t kMaxLineStartBytes = 18;

  bool is_line() const;
  std::string_view line_start() const { return {line_start_.data(), line_start_bytes_}; }
  std::size_t record_line(std::string_view bytes);
  void end_line();
  void end_head();
  std::size_t skip_chunk(std::size_t available);

  Part part_ = Part::kStartLine;
  std::size_t bytes_ = 0;
  std::size_t line_bytes_ = 0;  // of the line being read, without its end
  std::array<char, kMaxLineStartBytes> line_start_{};
  std::size_t line_start_bytes_ = 0;
  std::uint64_t chunk_bytes_left_ = 0;
  bool has_length_ = false;
  bool is_chunked_ = false;
};

}  // namespace cairnhub
