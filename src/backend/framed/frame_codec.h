// Frames between brokers and nodes: a four-byte length (least significant first), a letter, and the rest.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace cairnhub::backend::framed {

constexpr std::size_t kLengthBytes = 4;
// No frame from a node may be longer: no body to a client is.
constexpr std::size_t kLongest = 65536 + 1024;

// A call is built part by part, then closed; parts of one call run in one frame.
class Call {
 public:
  void add(std::string_view id, int shard, Time wait, std::string_view text);
  std::string finish() const;
  std::size_t size() const { return rest_.size(); }  // of the parts so far, without what goes before them

 private:
  std::string rest_;
};
std::string give_up(std::string_view id);

std::uint32_t length(const unsigned char* first_bytes);

// How a part ended at its node.
struct Ended {
  enum class How { returned, error, full };
  How how;
  std::string_view id, value;  // into what was read
};
// Reads a frame's letter and rest. None where it is no well-formed end of a part.
std::optional<Ended> parse_shard_result(std::string_view letter_and_rest);

}  // namespace cairnhub::backend::framed
