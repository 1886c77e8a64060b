#include "base/http_message_memory.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace cairnhub {

namespace {

// A field's record and its two strings: three blocks of the allocator, beside the bytes themselves.
constexpr std::size_t kFieldBytes = 112;
// The start line is kept as text and in its parts.
constexpr std::size_t kStartLineCopies = 3;
// The smallest block of a libevent buffer, with the allocator's part.
constexpr std::size_t kMinBlockBytes = 1088;
constexpr std::string_view kLengthField = "content-length:";
constexpr std::string_view kCodingField = "transfer-encoding:";
constexpr int kChunkSizeBase = 16;
constexpr std::size_t kExtentsPerPeek = 16;

bool begins_with(std::string_view line, std::string_view field) {
  return line.size() >= field.size() &&
         std::equal(field.begin(), field.end(), line.begin(), [](char expected, char c) {
           return expected == static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
         });
}

}  // namespace

bool HttpMessageMemory::is_line() const {
  return part_ == Part::kStartLine || part_ == Part::kFields || part_ == Part::kChunkSize ||
         part_ == Part::kTrailers;
}

void HttpMessageMemory::record_read(std::string_view bytes) {
  const std::size_t read_bytes = bytes.size();
  bool takes_block = false;
  while (!bytes.empty()) {
    std::size_t recorded = bytes.size();
    if (is_line()) {
      recorded = record_line(bytes);
    } else if (part_ == Part::kChunk) {
      recorded = skip_chunk(bytes.size());
      takes_block = true;
    } else if (part_ == Part::kBodyUntilEnd) {
      takes_block = true;
    }
    bytes.remove_prefix(recorded);
  }
  bytes_ += takes_block ? std::max(read_bytes, kMinBlockBytes) : read_bytes;
}

void HttpMessageMemory::record_read(evbuffer* buffer, std::size_t added_bytes) {
  evbuffer_ptr position;
  if (evbuffer_ptr_set(buffer, &position, evbuffer_get_length(buffer) - added_bytes, EVBUFFER_PTR_SET) != 0)
    return;
  std::array<evbuffer_iovec, kExtentsPerPeek> extents;
  for (std::size_t left = added_bytes; left > 0;) {
    const int needed = evbuffer_peek(buffer, static_cast<ev_ssize_t>(left), &position, extents.data(),
                                     static_cast<int>(extents.size()));
    std::size_t peeked_bytes = 0;
    for (std::size_t i = 0; i < std::min(extents.size(), static_cast<std::size_t>(needed)); ++i) {
      const std::size_t extent_bytes = std::min(extents[i].iov_len, left - peeked_bytes);
      record_read({static_cast<const char*>(extents[i].iov_base), extent_bytes});
      peeked_bytes += extent_bytes;
    }
    if (peeked_bytes == 0) return;
    left -= peeked_bytes;
    if (left > 0 && evbuffer_ptr_set(buffer, &position, peeked_bytes, EVBUFFER_PTR_ADD) != 0) return;
  }
}

// Records what `bytes` hold of the current line. Returns how many bytes that are.
std::size_t HttpMessageMemory::record_line(std::string_view bytes) {
  const std::size_t line_end = bytes.find('\n');
  const std::string_view part = bytes.substr(0, line_end);
  line_bytes_ += part.size();
  const std::size_t kept_bytes = std::min(part.size(), kMaxLineStartBytes - line_start_bytes_);
  std::copy_n(part.begin(), kept_bytes, line_start_.begin() + static_cast<std::ptrdiff_t>(line_start_bytes_));
  line_start_bytes_ += kept_bytes;
  if (line_end == std::string_view::npos) return bytes.size();
  end_line();
  return line_end + 1;
}

void HttpMessageMemory::end_line() {
  const std::string_view start = line_start();
  const bool is_empty = start.empty() || start == "\r";
  switch (part_) {
    case Part::kStartLine:
      bytes_ += kStartLineCopies * line_bytes_;
      if (!is_empty) part_ = Part::kFields;  // empty lines may come before a message
      break;
    case Part::kFields:
      if (is_empty) {
        end_head();
        break;
      }
      bytes_ += kFieldBytes;
      has_length_ = has_length_ || begins_with(start, kLengthField);
      is_chunked_ = is_chunked_ || begins_with(start, kCodingField);
      break;
    case Part::kChunkSize:
      if (is_empty) break;  // the end of the chunk before
      chunk_bytes_left_ = 0;
      std::from_chars(start.data(), start.data() + start.size(), chunk_bytes_left_, kChunkSizeBase);
      // What isn't a size is taken for fields, which take more.
      part_ = chunk_bytes_left_ > 0 ? Part::kChunk : Part::kTrailers;
      break;
    case Part::kTrailers:
      bytes_ += kFieldBytes;
      break;
    default:
      break;
  }
  line_bytes_ = 0;
  line_start_bytes_ = 0;
}

void HttpMessageMemory::end_head() {
  part_ = is_chunked_ ? Part::kChunkSize : has_length_ ? Part::kBodyWithLength : Part::kBodyUntilEnd;
}

std::size_t HttpMessageMemory::skip_chunk(std::size_t available) {
  const std::size_t skipped = static_cast<std::size_t>(std::min<std::uint64_t>(chunk_bytes_left_, available));
  chunk_bytes_left_ -= skipped;
  if (chunk_bytes_left_ == 0) part_ = Part::kChunkSize;
  return skipped;
}

}  // namespace cairnhub
