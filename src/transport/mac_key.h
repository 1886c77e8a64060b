// The keys that brokers authenticate their messages with, and the file that holds them.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cairnhub::transport {

constexpr std::size_t kMacKeyBytes = 32;

struct MacKey {
  std::uint32_t id = 0;
  std::array<unsigned char, kMacKeyBytes> bytes{};
};

// A key file that can't be used. what() is one line: the file, the line in it where there is one, and the
// cause.
class KeyError : public std::runtime_error {
 public:
  // `line` counts from 1; 0 where the fault is the whole file's.
  KeyError(const std::string& file, int line, const std::string& cause);
};

// Reads the text of a key file: one key, or two during a key rotation, each a line of an id and 64 hex
// digits. Blank lines and lines that begin with # are skipped. The first key signs; all verify, so that
// brokers can be rotated one after another. `file` is named in errors only. Throws KeyError; the result is
// never empty.
std::vector<MacKey> parse_keys(const std::string& text, const std::string& file);

// The same for the file of this name. Throws KeyError, too, where it can't be read.
std::vector<MacKey> read_keys(const std::string& file);

}  // namespace cairnhub::transport
