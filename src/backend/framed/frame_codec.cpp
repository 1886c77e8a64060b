#include "backend/framed/frame_codec.h"

namespace cairnhub::backend::framed {

namespace {

std::string framed(char letter, std::string_view rest) {
  std::string out;
  const std::size_t n = rest.size() + 1;
  for (int i = 0; i < 4; ++i) out.push_back(static_cast<char>(n >> (8 * i)));
  out.push_back(letter);
  return out.append(rest);
}

}  // namespace

void Call::add(std::string_view id, int shard, Time wait, std::string_view text) {
  const Time ms = std::max<Time>(1, (wait + kSecond / 1000 - 1) / (kSecond / 1000));
  rest_.append(id).append(" ").append(std::to_string(shard)).append(" d=").append(std::to_string(ms));
  rest_.append(" ").append(std::to_string(text.size())).append("\n").append(text);
}
std::string Call::finish() const { return framed('A', rest_); }
std::string give_up(std::string_view id) { return framed('B', id); }

std::uint32_t length(const unsigned char* b) {
  return b[0] | b[1] << 8 | b[2] << 16 | static_cast<std::uint32_t>(b[3]) << 24;
}

std::optional<Ended> parse_shard_result(std::string_view all) {
  if (all.empty() || all[0] != 'E') return std::nullopt;
  const auto lf = all.find('\n');
  if (lf == std::string_view::npos) return std::nullopt;
  // What follows the third word is the load report: whatever stands there, the part has run.
  std::string_view line = all.substr(1, lf - 1), words[3];
  for (int i = 0; i < 3; ++i) {
    const auto space = line.find(' ');
    words[i] = line.substr(0, space);
    if (words[i].empty() || space == std::string_view::npos) return std::nullopt;
    line.remove_prefix(space + 1);
  }
  Ended out{Ended::How::returned, words[0], all.substr(lf + 1)};
  if (words[1] == "fault") {
    out.how = Ended::How::error;
  } else if (words[1] == "overload") {
    out.how = Ended::How::full;
  } else if (words[1] != "hit") {
    return std::nullopt;
  }
  return out;
}

}  // namespace cairnhub::backend::framed
