#include "opensearch/json.h"

#include <vector>

namespace cairnhub::opensearch {

namespace {

// An ordered object searches its keys linearly, so that a body with tens of thousands of keys in one object
// would take minutes to parse.
constexpr std::size_t kMaxObjectKeys = 1024;
constexpr int kNumberOutOfRangeId = 406;  // of nlohmann::json::out_of_range

// Builds the document from parser events and enforces the limits.
struct Builder : nlohmann::json_sax<json> {
  json& root;
  int max_depth;
  std::size_t values_left;
  std::vector<json*> open_containers;
  std::string current_key;
  const char* error = nullptr;

  Builder(json& into, int depth_limit, std::size_t value_limit)
      : root(into), max_depth(depth_limit), values_left(value_limit) {}
  // Keeps the first error. Returns false, which stops the parser.
  bool fail(const char* message) {
    if (!error) error = message;
    return false;
  }
  // Adds a value to the innermost open container. Returns its address, or null at the limit.
  json* add(json value) {
    if (values_left-- == 0) {
      fail("too many values");
      return nullptr;
    }
    if (open_containers.empty()) {
      root = std::move(value);
      return &root;
    }
    json& container = *open_containers.back();
    if (container.is_array()) {
      container.push_back(std::move(value));
      return &container.back();
    }
    return &(container[current_key] = std::move(value));
  }
  bool open(json value) {
    if (static_cast<int>(open_containers.size()) >= max_depth) return fail("nested too deeply");
    json* container = add(std::move(value));
    if (!container) return false;
    open_containers.push_back(container);
    return true;
  }
  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t&) override { return add(value); }
  bool string(string_t& value) override { return add(std::move(value)); }
  bool binary(binary_t&) override { return fail("binary"); }
  bool start_object(std::size_t) override { return open(json::object()); }
  bool start_array(std::size_t) override { return open(json::array()); }
  bool end_object() override {
    open_containers.pop_back();
    return true;
  }
  bool end_array() override {
    open_containers.pop_back();
    return true;
  }
  bool key(string_t& name) override {
    if (open_containers.back()->size() >= kMaxObjectKeys) return fail("an object of too many keys");
    if (open_containers.back()->contains(name)) return fail("a key stands twice");
    current_key = std::move(name);
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception& exception) override {
    return fail(exception.id == kNumberOutOfRangeId ? "a number beyond a double" : "not well-formed JSON");
  }
};

}  // namespace

const char* parse_json(std::string_view text, json& into, int max_depth, std::size_t max_values) {
  Builder builder(into, max_depth, max_values);
  if (!json::sax_parse(text, &builder) && !builder.error) builder.error = "not well-formed JSON";
  return builder.error;
}

std::string json_text(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::size_t memory_bytes(const json& document) {
  std::size_t bytes = 0;
  if (document.is_string()) {
    bytes = sizeof(std::string) + document.get_ref<const std::string&>().capacity();
  } else if (document.is_array()) {
    bytes = sizeof(json::array_t) + document.size() * sizeof(json);
    for (const json& element : document) bytes += memory_bytes(element);
  } else if (document.is_object()) {
    bytes = sizeof(json::object_t) + document.size() * sizeof(json::object_t::value_type);
    for (const auto& [key, value] : document.items()) bytes += key.capacity() + memory_bytes(value);
  }
  return bytes;
}

}  // namespace cairnhub::opensearch
