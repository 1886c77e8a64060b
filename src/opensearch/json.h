// Strict parsing of JSON (RFC 8259) from untrusted sources. Rejects duplicate keys, excessive nesting,
// numbers that a double can't represent and invalid UTF-8. No I/O.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cairnhub::opensearch {

using json = nlohmann::ordered_json;

constexpr int kMaxJsonDepth = 64;
// Limits the memory of a parsed document: many small values take fifty times their size in the text.
constexpr std::size_t kMaxJsonValues = 400000;

// Parses `text` into `into`. Returns null, or a description of the error. `max_values` limits the values of
// all kinds together, including objects and arrays.
const char* parse_json(std::string_view text, json& into, int max_depth = kMaxJsonDepth,
                       std::size_t max_values = kMaxJsonValues);

// Returns the text of a document; invalid UTF-8 is replaced.
std::string json_text(const json& document);

// Returns the memory that a parsed document takes beside the object itself, approximately.
std::size_t memory_bytes(const json& document);

}  // namespace cairnhub::opensearch
