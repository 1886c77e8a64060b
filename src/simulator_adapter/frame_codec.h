// Reads batch frames of the simulator's protocol with bounds checks, and writes reply frames. SimulatorHost
// interprets the records.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cairnhub::simulator_adapter {

// The message names the part of the frame and the field that is malformed.
struct FrameError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeaderBytes = 16;
constexpr std::size_t kReplyHeaderBytes = 8;
constexpr std::size_t kEventBytes = 48;
constexpr std::size_t kActionBytes = 24;
constexpr std::size_t kEntryBytes = 24;

// Reads little-endian fields out of bytes. Every read is bounds-checked and throws FrameError, naming the
// field.
class ByteReader {
 public:
  // @param name what the bytes are, for error messages; not copied
  ByteReader(std::string_view data, const char* name) : data_(data), name_(name) {}
  std::uint8_t u8(std::size_t offset, const char* field) const { return number<std::uint8_t>(offset, field); }
  std::uint16_t u16(std::size_t offset, const char* field) const {
    return number<std::uint16_t>(offset, field);
  }
  std::uint32_t u32(std::size_t offset, const char* field) const {
    return number<std::uint32_t>(offset, field);
  }
  std::uint64_t u64(std::size_t offset, const char* field) const {
    return number<std::uint64_t>(offset, field);
  }
  // Floating-point fields must be finite.
  float f32(std::size_t offset, const char* field) const;
  double f64(std::size_t offset, const char* field) const;
  // Reads a double in seconds.
  Time time(std::size_t offset, const char* field) const;
  // Reads four bytes of address and two of port into one id.
  std::uint64_t endpoint(std::size_t offset, const char* field) const;
  std::string_view slice(std::size_t offset, std::size_t length, const char* field) const;

 private:
  template <class T>
  T number(std::size_t offset, const char* field) const;
  std::string_view data_;
  const char* name_;
};

// One batch of events: a header, records of fixed size, and a tail with the data of variable size.
class BatchFrame {
 public:
  // @throws FrameError where the header is malformed or contradicts the size of the frame
  explicit BatchFrame(std::string_view frame);
  Time now() const { return now_; }
  std::size_t record_count() const { return record_count_; }
  ByteReader record(std::size_t index) const;
  // Returns bytes of the tail. The record holds their offset in bytes at `offset`, and after it their length
  // in units of `unit_bytes`.
  std::string_view tail(const ByteReader& record, std::size_t offset, std::size_t unit_bytes,
                        const char* field) const;

 private:
  std::string_view frame_;
  std::size_t record_count_;
  Time now_;
};

// Returns the frame length in bytes that a batch header states.
// @throws FrameError where the length is shorter than the header
std::size_t batch_frame_length(std::string_view header);

// Collects action records and their tail.
class ReplyFrame {
 public:
  // Starts a record. The put functions fill it until the next begin().
  void begin(std::uint8_t code);
  template <class T>
  void put(std::size_t offset, T value);
  void put_endpoint(std::size_t offset, std::uint64_t endpoint);
  // Appends the text to the tail, and writes its offset and length into the record.
  void put_text(std::size_t offset, std::string_view text);
  // Returns the whole frame.
  std::string finish() const;

 private:
  std::string records_;
  std::string tail_;
  std::size_t record_count_ = 0;
};

}  // namespace cairnhub::simulator_adapter
