// Parses the target of an API request: the index, the operation and the query parameters of its URL.
#pragma once
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cairnhub::frontend::opensearch {

struct RequestTarget {
  std::string index;      // empty if the path names none
  std::string operation;  // such as `_search`; empty if the path has none
};

RequestTarget parse_target(std::string_view path);
// Returns whether the broker handles the operation.
bool is_known_operation(const std::string& operation);
// Returns names and values of the query parameters, decoded.
std::vector<std::pair<std::string, std::string>> parse_parameters(std::string_view query);

}  // namespace cairnhub::frontend::opensearch
