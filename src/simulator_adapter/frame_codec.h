// Frames of the simulator's wire: bounds-checked reading of batches, writing of replies. No meaning here.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cairnhub::simulator_adapter {

// What is malformed, named in one plain line.
struct FrameError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeaderBytes = 16, kReplyHeaderBytes = 8, kEventBytes = 48, kActionBytes = 24,
                      kEntryBytes = 24;

// A span of bytes whose every read is checked; `what` names it in complaints.
class ByteReader {
 public:
  ByteReader(std::string_view data, const char* what) : data_(data), what_(what) {}
  std::uint8_t u8(std::size_t at, const char* field) const { return number<std::uint8_t>(at, field); }
  std::uint16_t u16(std::size_t at, const char* field) const { return number<std::uint16_t>(at, field); }
  std::uint32_t u32(std::size_t at, const char* field) const { return number<std::uint32_t>(at, field); }
  std::uint64_t u64(std::size_t at, const char* field) const { return number<std::uint64_t>(at, field); }
  float f32(std::size_t at, const char* field) const;   // finite
  double f64(std::size_t at, const char* field) const;  // finite
  Time time(std::size_t at, const char* field) const;   // seconds on the wire, nanoseconds from here on
  std::uint64_t endpoint(std::size_t at, const char* field) const;  // four bytes of address and a port
  std::string_view slice(std::size_t at, std::size_t length, const char* field) const;

 private:
  template <class T>
  T number(std::size_t at, const char* field) const;
  std::string_view data_;
  const char* what_;
};

// One batch. Records are handed out in order; the tail is reached through offset and length.
class BatchFrame {
 public:
  explicit BatchFrame(std::string_view frame);
  Time now() const { return now_; }
  std::size_t record_count() const { return records_; }
  ByteReader record(std::size_t i) const;
  // ByteReader at the (offset, length) pair that stands at `at` in the record, `size` bytes for each unit of
  // length.
  std::string_view tail(const ByteReader& record, std::size_t at, std::size_t size, const char* field) const;

 private:
  std::string_view frame_;
  std::size_t records_;
  Time now_;
};

// The length a batch header states; throws when it can't be one.
std::size_t batch_frame_length(std::string_view header);

// Collects action records and their tail.
class ReplyFrame {
 public:
  // Starts a record and returns it for put() calls.
  void begin(std::uint8_t code);
  template <class T>
  void put(std::size_t at, T value);
  void put_endpoint(std::size_t at, std::uint64_t node);
  void put_text(std::size_t at, std::string_view text);
  std::string finish() const;

 private:
  std::string records_, tail_;
  std::size_t count_ = 0;
};

}  // namespace cairnhub::simulator_adapter
