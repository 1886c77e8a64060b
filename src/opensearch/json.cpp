#include "opensearch/json.h"

#include <vector>

namespace cairnhub::opensearch {

namespace {

struct Builder : nlohmann::json_sax<json> {
  json& root;
  int deepest;
  std::size_t left;
  std::vector<json*> open;
  std::string key_now;
  const char* wrong = nullptr;

  Builder(json& into, int deep, std::size_t most) : root(into), deepest(deep), left(most) {}
  bool no(const char* why) {
    if (!wrong) wrong = why;
    return false;
  }
  json* put(json v) {
    if (left-- == 0) return no("too many values"), nullptr;
    if (open.empty()) return root = std::move(v), &root;
    json& in = *open.back();
    if (in.is_array()) return in.push_back(std::move(v)), &in.back();
    return &(in[key_now] = std::move(v));
  }
  bool begin(json v) {
    if (static_cast<int>(open.size()) >= deepest) return no("nested too deeply");
    json* at = put(std::move(v));
    return at && (open.push_back(at), true);
  }
  bool null() override { return put(nullptr); }
  bool boolean(bool v) override { return put(v); }
  bool number_integer(number_integer_t v) override { return put(v); }
  bool number_unsigned(number_unsigned_t v) override { return put(v); }
  bool number_float(number_float_t v, const string_t&) override { return put(v); }
  bool string(string_t& v) override { return put(std::move(v)); }
  bool binary(binary_t&) override { return no("binary"); }
  bool start_object(std::size_t) override { return begin(json::object()); }
  bool start_array(std::size_t) override { return begin(json::array()); }
  bool end_object() override { return open.pop_back(), true; }
  bool end_array() override { return open.pop_back(), true; }
  bool key(string_t& k) override {
    // An ordered object looks through its keys one by one. Danger: one of tens of thousands of keys takes
    // minutes.
    if (open.back()->size() >= 1024) return no("an object of too many keys");
    if (open.back()->contains(k)) return no("a key stands twice");
    return key_now = std::move(k), true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception& e) override {
    return no(e.id == 406 ? "a number beyond a double" : "not well-formed JSON");
  }
};

}  // namespace

const char* parse_json(std::string_view text, json& into, int deepest, std::size_t most_values) {
  Builder b(into, deepest, most_values);
  if (!json::sax_parse(text, &b) && !b.wrong) b.wrong = "not well-formed JSON";
  return b.wrong;
}

}  // namespace cairnhub::opensearch
