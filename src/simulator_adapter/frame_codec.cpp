#include "simulator_adapter/frame_codec.h"

#include <bit>
#include <cmath>
#include <cstring>

namespace cairnhub::simulator_adapter {

static_assert(std::endian::native == std::endian::little,
              "fields are little-endian and copied without conversion");

namespace {
[[noreturn]] void fail(const char* name, const char* field, const char* problem) {
  throw FrameError(std::string("malformed ") + name + ": " + field + " " + problem);
}
// Fits into the nanoseconds of a Time.
constexpr double kMaxSeconds = 4e9;
}  // namespace

template <class T>
T ByteReader::number(std::size_t offset, const char* field) const {
  if (offset > data_.size() || data_.size() - offset < sizeof(T)) fail(name_, field, "lies past the end");
  T value;
  std::memcpy(&value, data_.data() + offset, sizeof(T));
  return value;
}

float ByteReader::f32(std::size_t offset, const char* field) const {
  const float value = number<float>(offset, field);
  if (!std::isfinite(value)) fail(name_, field, "is not a finite number");
  return value;
}

double ByteReader::f64(std::size_t offset, const char* field) const {
  const double value = number<double>(offset, field);
  if (!std::isfinite(value)) fail(name_, field, "is not a finite number");
  return value;
}

Time ByteReader::time(std::size_t offset, const char* field) const {
  const double value = f64(offset, field);
  if (std::abs(value) > kMaxSeconds) fail(name_, field, "is out of range");
  return static_cast<Time>(std::llround(value * kSecond));
}

std::uint64_t ByteReader::endpoint(std::size_t offset, const char* field) const {
  return (std::uint64_t{u32(offset, field)} << 16) | u16(offset + 4, field);
}

std::string_view ByteReader::slice(std::size_t offset, std::size_t length, const char* field) const {
  if (offset > data_.size() || data_.size() - offset < length) fail(name_, field, "lies past the end");
  return data_.substr(offset, length);
}

template std::uint8_t ByteReader::number<std::uint8_t>(std::size_t, const char*) const;
template std::uint16_t ByteReader::number<std::uint16_t>(std::size_t, const char*) const;
template std::uint32_t ByteReader::number<std::uint32_t>(std::size_t, const char*) const;
template std::uint64_t ByteReader::number<std::uint64_t>(std::size_t, const char*) const;

std::size_t batch_frame_length(std::string_view header) {
  const std::size_t length = ByteReader(header, "batch header").u32(4, "length");
  if (length < kBatchHeaderBytes) fail("batch header", "length", "is shorter than the header");
  return length;
}

BatchFrame::BatchFrame(std::string_view frame) : frame_(frame) {
  const ByteReader header(frame, "batch header");
  record_count_ = header.u32(0, "record count");
  if (batch_frame_length(frame) != frame.size()) fail("batch header", "length", "is not that of the frame");
  now_ = header.time(8, "clock");
  if (record_count_ > (frame.size() - kBatchHeaderBytes) / kEventBytes)
    fail("batch header", "record count", "does not fit the length");
}

ByteReader BatchFrame::record(std::size_t index) const {
  return ByteReader(frame_.substr(kBatchHeaderBytes + index * kEventBytes, kEventBytes), "event");
}

std::string_view BatchFrame::tail(const ByteReader& record, std::size_t offset, std::size_t unit_bytes,
                                  const char* field) const {
  const std::size_t tail_offset = record.u32(offset, field);
  const std::size_t length = record.u32(offset + 4, field);
  const std::string_view tail = frame_.substr(kBatchHeaderBytes + record_count_ * kEventBytes);
  return ByteReader(tail, "tail").slice(tail_offset, length * unit_bytes, field);
}

void ReplyFrame::begin(std::uint8_t code) {
  records_.append(kActionBytes, '\0');
  ++record_count_;
  put(0, code);
}

template <class T>
void ReplyFrame::put(std::size_t offset, T value) {
  std::memcpy(records_.data() + records_.size() - kActionBytes + offset, &value, sizeof(T));
}
template void ReplyFrame::put(std::size_t, std::uint8_t);
template void ReplyFrame::put(std::size_t, std::uint16_t);
template void ReplyFrame::put(std::size_t, std::uint32_t);
template void ReplyFrame::put(std::size_t, std::uint64_t);
template void ReplyFrame::put(std::size_t, double);

void ReplyFrame::put_endpoint(std::size_t offset, std::uint64_t endpoint) {
  put(offset, static_cast<std::uint32_t>(endpoint >> 16));
  put(offset + 4, static_cast<std::uint16_t>(endpoint & 0xffff));
}

void ReplyFrame::put_text(std::size_t offset, std::string_view text) {
  put(offset, static_cast<std::uint32_t>(tail_.size()));
  put(offset + 4, static_cast<std::uint32_t>(text.size()));
  tail_.append(text);
}

std::string ReplyFrame::finish() const {
  std::string frame(kReplyHeaderBytes, '\0');
  const auto count = static_cast<std::uint32_t>(record_count_);
  const auto length = static_cast<std::uint32_t>(kReplyHeaderBytes + records_.size() + tail_.size());
  std::memcpy(frame.data(), &count, 4);
  std::memcpy(frame.data() + 4, &length, 4);
  return frame + records_ + tail_;
}

}  // namespace cairnhub::simulator_adapter
