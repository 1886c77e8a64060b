#include "transport/mac_key.h"

#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

namespace cairnhub::transport {

namespace {

static_assert(crypto_auth_hmacsha512256_KEYBYTES == kMacKeyBytes);

constexpr std::size_t kMaxKeys = 2;

std::string error_line(const std::string& file, int line, const std::string& cause) {
  if (line == 0) {
    return file + ": " + cause;
  }
  return file + ":" + std::to_string(line) + ": " + cause;
}

bool parse_id(const std::string& text, std::uint32_t& id) {
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, id);
  return error == std::errc{} && end == text_end;
}

bool parse_bytes(const std::string& hex, std::array<unsigned char, kMacKeyBytes>& bytes) {
  std::size_t decoded_bytes = 0;
  return hex.size() == 2 * kMacKeyBytes &&
         sodium_hex2bin(bytes.data(), bytes.size(), hex.data(), hex.size(), nullptr, &decoded_bytes,
                        nullptr) == 0 &&
         decoded_bytes == kMacKeyBytes;
}

// The key that a line states, or nothing for a blank line or a comment. `file` and `line_number` are named in
// the KeyError that a line which is neither ends in.
std::optional<MacKey> parse_key_line(const std::string& line, const std::string& file, int line_number) {
  std::istringstream words(line);
  std::string id;
  if (!(words >> id) || id.front() == '#') {
    return std::nullopt;
  }
  MacKey key;
  if (!parse_id(id, key.id)) {
    throw KeyError(file, line_number, "a key's id is not a number");
  }
  std::string hex;
  std::string surplus;
  if (!(words >> hex) || (words >> surplus) || !parse_bytes(hex, key.bytes)) {
    throw KeyError(file, line_number, "a key is not an id and 64 hex digits");
  }
  return key;
}

}  // namespace

KeyError::KeyError(const std::string& file, int line, const std::string& cause)
    : std::runtime_error(error_line(file, line, cause)) {}

std::vector<MacKey> parse_keys(const std::string& text, const std::string& file) {
  std::vector<MacKey> keys;
  std::istringstream lines(text);
  std::string line;
  for (int line_number = 1; std::getline(lines, line); ++line_number) {
    const std::optional<MacKey> key = parse_key_line(line, file, line_number);
    if (!key) {
      continue;
    }
    const auto has_same_id = [&](const MacKey& other) { return other.id == key->id; };
    if (std::any_of(keys.begin(), keys.end(), has_same_id)) {
      throw KeyError(file, line_number, "a key's id stands twice");
    }
    if (keys.size() == kMaxKeys) {
      throw KeyError(file, line_number, "more than two keys; allowed is one, or two while one is exchanged");
    }
    keys.push_back(*key);
  }
  if (keys.empty()) {
    throw KeyError(file, 0, "no key; allowed is a line of an id and 64 hex digits, or two");
  }
  return keys;
}

std::vector<MacKey> read_keys(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    throw KeyError(file, 0, "can't be read");
  }
  return parse_keys({std::istreambuf_iterator<char>(in), {}}, file);
}

}  // namespace cairnhub::transport
