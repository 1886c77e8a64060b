#include "simulator_adapter/frame_codec.h"

#include <bit>
#include <cmath>
#include <cstring>

namespace cairnhub::simulator_adapter {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian, read in place");

namespace {
[[noreturn]] void complain(const char* what, const char* field, const char* trouble) {
  throw WireError(std::string("malformed ") + what + ": " + field + " " + trouble);
}
// Clocks beyond this many seconds can't be told in nanoseconds; nothing real comes near.
constexpr double kMostSeconds = 4e9;
}  // namespace

template <class T>
T Bytes::number(std::size_t at, const char* field) const {
  if (at > data_.size() || data_.size() - at < sizeof(T)) complain(what_, field, "lies past the end");
  T value;
  std::memcpy(&value, data_.data() + at, sizeof(T));
  return value;
}

float Bytes::f32(std::size_t at, const char* field) const {
  const float v = number<float>(at, field);
  if (!std::isfinite(v)) complain(what_, field, "is not a finite number");
  return v;
}

double Bytes::f64(std::size_t at, const char* field) const {
  const double v = number<double>(at, field);
  if (!std::isfinite(v)) complain(what_, field, "is not a finite number");
  return v;
}

Time Bytes::time(std::size_t at, const char* field) const {
  const double v = f64(at, field);
  if (std::abs(v) > kMostSeconds) complain(what_, field, "is out of range");
  return static_cast<Time>(std::llround(v * kSecond));
}

std::uint64_t Bytes::node(std::size_t at, const char* field) const {
  return (std::uint64_t{u32(at, field)} << 16) | u16(at + 4, field);
}

std::string_view Bytes::slice(std::size_t at, std::size_t length, const char* field) const {
  if (at > data_.size() || data_.size() - at < length) complain(what_, field, "lies past the end");
  return data_.substr(at, length);
}

template std::uint8_t Bytes::number<std::uint8_t>(std::size_t, const char*) const;
template std::uint16_t Bytes::number<std::uint16_t>(std::size_t, const char*) const;
template std::uint32_t Bytes::number<std::uint32_t>(std::size_t, const char*) const;
template std::uint64_t Bytes::number<std::uint64_t>(std::size_t, const char*) const;

std::size_t batch_length(std::string_view header) {
  const std::size_t length = Bytes(header, "batch header").u32(4, "length");
  if (length < kBatchHeader) complain("batch header", "length", "is shorter than the header");
  return length;
}

Batch::Batch(std::string_view frame) : frame_(frame) {
  const Bytes header(frame, "batch header");
  records_ = header.u32(0, "record count");
  if (batch_length(frame) != frame.size()) complain("batch header", "length", "is not that of the frame");
  now_ = header.time(8, "clock");
  if (records_ > (frame.size() - kBatchHeader) / kEvent)
    complain("batch header", "record count", "does not fit the length");
}

Bytes Batch::record(std::size_t i) const {
  return Bytes(frame_.substr(kBatchHeader + i * kEvent, kEvent), "event");
}

std::string_view Batch::tail(const Bytes& record, std::size_t at, std::size_t size, const char* field) const {
  const std::size_t offset = record.u32(at, field), length = record.u32(at + 4, field);
  const std::string_view all = frame_.substr(kBatchHeader + records_ * kEvent);
  return Bytes(all, "tail").slice(offset, length * size, field);
}

void Reply::begin(std::uint8_t code) {
  records_.append(kAction, '\0');
  ++count_;
  put(0, code);
}

template <class T>
void Reply::put(std::size_t at, T value) {
  std::memcpy(records_.data() + records_.size() - kAction + at, &value, sizeof(T));
}
template void Reply::put(std::size_t, std::uint8_t);
template void Reply::put(std::size_t, std::uint16_t);
template void Reply::put(std::size_t, std::uint32_t);
template void Reply::put(std::size_t, std::uint64_t);
template void Reply::put(std::size_t, double);

void Reply::put_node(std::size_t at, std::uint64_t node) {
  put(at, static_cast<std::uint32_t>(node >> 16));
  put(at + 4, static_cast<std::uint16_t>(node & 0xffff));
}

void Reply::put_text(std::size_t at, std::string_view text) {
  put(at, static_cast<std::uint32_t>(tail_.size()));
  put(at + 4, static_cast<std::uint32_t>(text.size()));
  tail_.append(text);
}

std::string Reply::finish() const {
  std::string frame(kReplyHeader, '\0');
  const auto count = static_cast<std::uint32_t>(count_);
  const auto length = static_cast<std::uint32_t>(kReplyHeader + records_.size() + tail_.size());
  std::memcpy(frame.data(), &count, 4);
  std::memcpy(frame.data() + 4, &length, 4);
  return frame + records_ + tail_;
}

}  // namespace cairnhub::simulator_adapter
