#include "frontend/opensearch/request_target.h"

#include <algorithm>
#include <iterator>

namespace cairnhub::frontend::opensearch {

namespace {

std::string url_decoded(std::string_view in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    const auto hex_digit = [&](std::size_t at) {
      const char c = at < in.size() ? in[at] : 'x';
      return c >= '0' && c <= '9'   ? c - '0'
             : c >= 'a' && c <= 'f' ? c - 'a' + 10
             : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                    : -1;
    };
    if (in[i] == '%' && hex_digit(i + 1) >= 0 && hex_digit(i + 2) >= 0) {
      out += static_cast<char>(16 * hex_digit(i + 1) + hex_digit(i + 2));
      i += 2;
    } else {
      out += in[i] == '+' ? ' ' : in[i];
    }
  }
  return out;
}

}  // namespace

RequestTarget parse_target(std::string_view path) {
  const auto operation = path.find("/_");
  if (operation == std::string_view::npos) return {};
  constexpr std::string_view kCatShardsPrefix = "/_cat/shards/";
  if (path.rfind(kCatShardsPrefix, 0) == 0) {
    return {url_decoded(path.substr(kCatShardsPrefix.size())), "_cat/shards"};
  }
  const std::string_view before = path.substr(0, operation);
  return {url_decoded(before.substr(before.empty() ? 0 : 1)), std::string(path.substr(operation + 1))};
}

bool is_known_operation(const std::string& operation) {
  static const char* operations[] = {"_search", "_msearch",        "_mget",
                                     "_count",  "_cluster/health", "_cat/shards"};
  return std::any_of(std::begin(operations), std::end(operations),
                     [&](const char* known) { return operation == known; });
}

std::vector<std::pair<std::string, std::string>> parse_parameters(std::string_view query) {
  std::vector<std::pair<std::string, std::string>> parameters;
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    if (parameter.empty()) continue;
    const auto equals = std::min(parameter.find('='), parameter.size());
    parameters.emplace_back(url_decoded(parameter.substr(0, equals)),
                            url_decoded(parameter.substr(std::min(equals + 1, parameter.size()))));
  }
  return parameters;
}

}  // namespace cairnhub::frontend::opensearch
