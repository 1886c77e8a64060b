// JSON as an outside party sends it, read strictly: a key twice, nesting past a bound, numbers beyond a
// double and invalid UTF-8 are faults, each said in plain words. RFC 8259. No I/O.
#pragma once
#include <nlohmann/json.hpp>
#include <string_view>

namespace cairnhub::opensearch {

using json = nlohmann::ordered_json;

constexpr int kMaxJsonDepth = 64;

// What is wrong with the text, or null. `most_values`: of all kinds together; danger: a small body of many
// tiny values takes fifty times its size in memory.
const char* parse_json(std::string_view text, json& into, int deepest = kMaxJsonDepth,
                       std::size_t most_values = 400000);

}  // namespace cairnhub::opensearch
