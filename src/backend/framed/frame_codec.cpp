#include "backend/framed/frame_codec.h"

namespace cairnhub::backend::framed {

namespace {

std::string encode_frame(char letter, std::string_view payload) {
  std::string frame;
  const std::size_t length = payload.size() + 1;
  for (int i = 0; i < 4; ++i) frame.push_back(static_cast<char>(length >> (8 * i)));
  frame.push_back(letter);
  return frame.append(payload);
}

}  // namespace

void BatchFrame::add(std::string_view name, int shard, Time timeout, std::string_view body) {
  const Time timeout_ms = std::max<Time>(1, (timeout + kSecond / 1000 - 1) / (kSecond / 1000));
  payload_.append(name).append(" ").append(std::to_string(shard));
  payload_.append(" d=").append(std::to_string(timeout_ms));
  payload_.append(" ").append(std::to_string(body.size())).append("\n").append(body);
}
std::string BatchFrame::encode() const { return encode_frame('A', payload_); }
std::string encode_cancel(std::string_view name) { return encode_frame('B', name); }

std::uint32_t decode_length(const unsigned char* bytes) {
  return bytes[0] | bytes[1] << 8 | bytes[2] << 16 | static_cast<std::uint32_t>(bytes[3]) << 24;
}

std::optional<ShardResult> parse_shard_result(std::string_view frame) {
  if (frame.empty() || frame[0] != 'E') return std::nullopt;
  const auto line_end = frame.find('\n');
  if (line_end == std::string_view::npos) return std::nullopt;
  // The load report after the third word isn't checked: the shard request has run, whatever the report says.
  std::string_view line = frame.substr(1, line_end - 1), words[3];
  for (int i = 0; i < 3; ++i) {
    const auto space = line.find(' ');
    words[i] = line.substr(0, space);
    if (words[i].empty() || space == std::string_view::npos) return std::nullopt;
    line.remove_prefix(space + 1);
  }
  ShardResult result{ShardResult::Status::kReturned, words[0], frame.substr(line_end + 1)};
  if (words[1] == "fault") {
    result.status = ShardResult::Status::kError;
  } else if (words[1] == "overload") {
    result.status = ShardResult::Status::kQueueFull;
  } else if (words[1] != "hit") {
    return std::nullopt;
  }
  return result;
}

}  // namespace cairnhub::backend::framed
