#include "simulator_adapter/frame_codec.h"

#include <bit>
#include <cmath>
#include <cstring>

namespace cairnhub::simulator_adapter {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian, read in place");

namespace {
[[noreturn]] void complain(const char* what, const char* field, const char* trouble) {
  throw FrameError(std::string("malformed ") + what + ": " + field + " " + trouble);
}
// Clocks beyond this many seconds can't be told in nanoseconds; nothing real comes near.
constexpr double kMostSeconds = 4e9;
}  // namespace

template <class T>
T ByteReader::number(std::size_t at, const char* field) const {
  if (at > data_.size() || data_.size() - at < sizeof(T)) complain(what_, field, "lies past the end");
  T value;
  std::memcpy(&value, data_.data() + at, sizeof(T));
  return value;
}

float ByteReader::f32(std::size_t at, const char* field) const {
  const float v = number<float>(at, field);
  if (!std::isfinite(v)) complain(what_, field, "is not a finite number");
  return v;
}

double ByteReader::f64(std::size_t at, const char* field) const {
  const double v = number<double>(at, field);
  if (!std::isfinite(v)) complain(what_, field, "is not a finite number");
  return v;
}

Time ByteReader::time(std::size_t at, const char* field) const {
  const double v = f64(at, field);
  if (std::abs(v) > kMostSeconds) complain(what_, field, "is out of range");
  return static_cast<Time>(std::llround(v * kSecond));
}

std::uint64_t ByteReader::endpoint(std::size_t at, const char* field) const {
  return (std::uint64_t{u32(at, field)} << 16) | u16(at + 4, field);
}

std::string_view ByteReader::slice(std::size_t at, std::size_t length, const char* field) const {
  if (at > data_.size() || data_.size() - at < length) complain(what_, field, "lies past the end");
  return data_.substr(at, length);
}

template std::uint8_t ByteReader::number<std::uint8_t>(std::size_t, const char*) const;
template std::uint16_t ByteReader::number<std::uint16_t>(std::size_t, const char*) const;
template std::uint32_t ByteReader::number<std::uint32_t>(std::size_t, const char*) const;
template std::uint64_t ByteReader::number<std::uint64_t>(std::size_t, const char*) const;

std::size_t batch_frame_length(std::string_view header) {
  const std::size_t length = ByteReader(header, "batch header").u32(4, "length");
  if (length < kBatchHeaderBytes) complain("batch header", "length", "is shorter than the header");
  return length;
}

BatchFrame::BatchFrame(std::string_view frame) : frame_(frame) {
  const ByteReader header(frame, "batch header");
  records_ = header.u32(0, "record count");
  if (batch_frame_length(frame) != frame.size())
    complain("batch header", "length", "is not that of the frame");
  now_ = header.time(8, "clock");
  if (records_ > (frame.size() - kBatchHeaderBytes) / kEventBytes)
    complain("batch header", "record count", "does not fit the length");
}

ByteReader BatchFrame::record(std::size_t i) const {
  return ByteReader(frame_.substr(kBatchHeaderBytes + i * kEventBytes, kEventBytes), "event");
}

std::string_view BatchFrame::tail(const ByteReader& record, std::size_t at, std::size_t size,
                                  const char* field) const {
  const std::size_t offset = record.u32(at, field), length = record.u32(at + 4, field);
  const std::string_view all = frame_.substr(kBatchHeaderBytes + records_ * kEventBytes);
  return ByteReader(all, "tail").slice(offset, length * size, field);
}

void ReplyFrame::begin(std::uint8_t code) {
  records_.append(kActionBytes, '\0');
  ++count_;
  put(0, code);
}

template <class T>
void ReplyFrame::put(std::size_t at, T value) {
  std::memcpy(records_.data() + records_.size() - kActionBytes + at, &value, sizeof(T));
}
template void ReplyFrame::put(std::size_t, std::uint8_t);
template void ReplyFrame::put(std::size_t, std::uint16_t);
template void ReplyFrame::put(std::size_t, std::uint32_t);
template void ReplyFrame::put(std::size_t, std::uint64_t);
template void ReplyFrame::put(std::size_t, double);

void ReplyFrame::put_endpoint(std::size_t at, std::uint64_t node) {
  put(at, static_cast<std::uint32_t>(node >> 16));
  put(at + 4, static_cast<std::uint16_t>(node & 0xffff));
}

void ReplyFrame::put_text(std::size_t at, std::string_view text) {
  put(at, static_cast<std::uint32_t>(tail_.size()));
  put(at + 4, static_cast<std::uint32_t>(text.size()));
  tail_.append(text);
}

std::string ReplyFrame::finish() const {
  std::string frame(kReplyHeaderBytes, '\0');
  const auto count = static_cast<std::uint32_t>(count_);
  const auto length = static_cast<std::uint32_t>(kReplyHeaderBytes + records_.size() + tail_.size());
  std::memcpy(frame.data(), &count, 4);
  std::memcpy(frame.data() + 4, &length, 4);
  return frame + records_ + tail_;
}

}  // namespace cairnhub::simulator_adapter
