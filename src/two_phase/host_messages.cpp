#include "two_phase/host_messages.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace cairnhub::two_phase {

namespace {

using nlohmann::json;

// An input iterator that counts the bytes the parser has read, so that a value can be copied byte for byte.
struct CountingIterator {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  const char* at = nullptr;
  std::size_t* read = nullptr;
  reference operator*() const { return *at; }
  CountingIterator& operator++() {
    ++at;
    ++*read;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const CountingIterator& o) const { return at == o.at; }
  bool operator!=(const CountingIterator& o) const { return at != o.at; }
};

// Rejects every parser event that a derived parser doesn't accept.
struct StrictHandler : nlohmann::json_sax<json> {
  const char* error = nullptr;
  bool fail(const char* message) {
    if (!error) error = message;
    return false;
  }
  bool null() override { return fail("a null"); }
  bool boolean(bool) override { return fail("a truth value out of place"); }
  bool number_integer(number_integer_t v) override { return number(static_cast<double>(v)); }
  bool number_unsigned(number_unsigned_t v) override { return count(v); }
  bool number_float(number_float_t v, const string_t&) override { return number(v); }
  bool binary(binary_t&) override { return fail("binary"); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return fail("not well-formed JSON");
  }
  virtual bool number(double) { return fail("a number out of place"); }
  virtual bool count(std::uint64_t v) { return number(static_cast<double>(v)); }
};

// Tracks which keys of an object have been read. Each must be present exactly once.
template <std::size_t n>
struct KeySet {
  const char* names[n];
  bool seen[n] = {};
  // @return the index of the key; -1 if it is unknown or was read before
  int take(std::string_view key) {
    for (std::size_t i = 0; i < n; ++i)
      if (key == names[i]) return std::exchange(seen[i], true) ? -1 : static_cast<int>(i);
    return -1;
  }
  bool is_complete() const {
    for (const bool s : seen)
      if (!s) return false;
    return true;
  }
};

bool is_valid_id(std::string_view id) {
  if (id.empty() || id.size() > kMaxIdBytes) return false;
  for (const char c : id)
    if (static_cast<unsigned char>(c) < ' ') return false;
  return true;
}

// Whether a ranks before b within a block.
bool ranks_before(double score_a, std::string_view id_a, double score_b, std::string_view id_b) {
  return score_a != score_b ? score_a > score_b : id_a < id_b;
}

struct MatchParser : StrictHandler {
  MatchList& into;
  std::size_t page_size;
  KeySet<4> keys{{"version", "total", "more", "matches"}};
  int key_index = -1;
  int depth = 0;
  int item = 0;  // in a match: 0 the id, 1 the score
  explicit MatchParser(MatchList& m, std::size_t requested) : into(m), page_size(requested) {}

  bool start_object(std::size_t) override { return ++depth == 1 || fail("an object out of place"); }
  bool key(string_t& k) override { return (key_index = keys.take(k)) >= 0 || fail("a key unknown or twice"); }
  bool end_object() override {
    --depth;
    return keys.is_complete() || fail("a key is missing");
  }
  bool start_array(std::size_t) override {
    if (depth == 1 && key_index == 3) {
      depth = 2;
      return true;
    }
    if (depth == 2) {
      depth = 3;
      item = 0;
      return true;
    }
    return fail("a list out of place");
  }
  bool end_array() override {
    if (depth == 3 && item != 2) return fail("a match is not a stall and its score");
    --depth;
    key_index = -1;
    return true;
  }
  bool string(string_t& v) override {
    if (depth == 1 && key_index == 0) {
      if (v.empty() || v.size() > kMaxVersionBytes) return fail("a version of no possible length");
      into.version = v;
      return true;
    }
    if (depth != 3 || item++ != 0) return fail("a text out of place");
    if (!is_valid_id(v)) return fail("a stall's name is empty, too long or not plain");
    if (into.entries.size() >= page_size) return fail("more matches than asked for");
    if (into.ids.size() + v.size() > std::numeric_limits<std::uint32_t>::max()) return fail("too long");
    into.entries.push_back(
        {0, static_cast<std::uint32_t>(into.ids.size()), static_cast<std::uint16_t>(v.size())});
    into.ids += v;
    return true;
  }
  bool boolean(bool v) override {
    if (depth != 1 || key_index != 2) return fail("a truth value out of place");
    into.has_more = v;
    return true;
  }
  bool count(std::uint64_t v) override {
    if (depth != 1 || key_index != 1) return number(static_cast<double>(v));
    into.total = v;
    return true;
  }
  bool number(double v) override {
    if (depth != 3 || item++ != 1) return fail("a number out of place");
    if (!std::isfinite(v)) return fail("a score is not a number");
    MatchEntry& e = into.entries.back();
    e.score = v == 0 ? 0 : v;  // -0 ranks as 0
    if (const std::size_t n = into.entries.size(); n > 1)
      if (const MatchEntry& b = into.entries[n - 2];
          !ranks_before(b.score, into.id(n - 2), e.score, into.id(n - 1)))
        return fail("matches out of order");
    return true;
  }
};

struct DetailsParser : StrictHandler {
  FetchedDetails& into;
  const std::size_t& read;  // bytes read so far
  const std::set<std::string>& asked;
  KeySet<2> keys{{"version", "stalls"}}, stall_keys{{"stall", "detail"}};
  int key_index = -1;
  int stall_key_index = -1;
  int depth = 0;
  int detail_depth = 0;  // 0 outside of a detail
  std::size_t detail_offset = 0;
  std::string stall;
  std::string_view detail;
  DetailsParser(FetchedDetails& d, const std::size_t& r, const std::set<std::string>& a)
      : into(d), read(r), asked(a) {}

  // Parsers that read the detail again recurse: unlimited nesting would exhaust their stack.
  static constexpr int kMaxDetailDepth = 32;
  bool is_in_detail() const { return detail_depth > 0; }
  bool start_object(std::size_t) override {
    if (is_in_detail()) return ++detail_depth <= kMaxDetailDepth || fail("a detail nested too deeply");
    if (depth == 0) {
      depth = 1;
      return true;
    }
    if (depth == 2) {
      depth = 3;
      stall_keys = {{"stall", "detail"}};
      return true;
    }
    if (depth == 3 && stall_key_index == 1) {
      detail_depth = 1;
      detail_offset = read - 1;
      return true;
    }
    return fail("an object out of place");
  }
  bool key(string_t& k) override {
    if (is_in_detail()) return true;
    if (depth == 1) return (key_index = keys.take(k)) >= 0 || fail("a key unknown or twice");
    return (stall_key_index = stall_keys.take(k)) >= 0 || fail("a stall's key unknown or twice");
  }
  bool end_object() override {
    if (is_in_detail()) {
      if (--detail_depth == 0) {
        detail = std::string_view(*into.value).substr(detail_offset, read - detail_offset);
        stall_key_index = -1;
      }
      return true;
    }
    if (depth == 1) {
      depth = 0;
      return keys.is_complete() || fail("a key is missing");
    }
    depth = 2;
    if (!stall_keys.is_complete()) return fail("a stall's key is missing");
    if (!asked.count(stall)) return fail("a stall that was not asked for");
    return into.stalls.emplace(stall, detail).second || fail("a stall twice");
  }
  bool start_array(std::size_t) override {
    if (is_in_detail()) return ++detail_depth <= kMaxDetailDepth || fail("a detail nested too deeply");
    if (depth != 1 || key_index != 1) return fail("a list out of place");
    depth = 2;
    return true;
  }
  bool end_array() override {
    if (is_in_detail()) {
      --detail_depth;
      return true;
    }
    depth = 1;
    key_index = -1;
    return true;
  }
  bool string(string_t& v) override {
    if (is_in_detail()) return true;
    if (depth == 1 && key_index == 0) {
      if (v.empty() || v.size() > kMaxVersionBytes) return fail("a version of no possible length");
      into.version = v;
      return true;
    }
    if (depth != 3 || stall_key_index != 0) return fail("a text out of place");
    stall = v;
    return true;
  }
  bool null() override { return is_in_detail() || fail("a null"); }
  bool boolean(bool) override { return is_in_detail() || fail("a truth value out of place"); }
  bool number(double) override { return is_in_detail() || fail("a number out of place"); }
};

const char* parse(std::string_view value, std::size_t& read, StrictHandler& reader) {
  const CountingIterator from{value.data(), &read}, to{value.data() + value.size(), &read};
  if (!json::sax_parse(from, to, &reader) && !reader.error) reader.error = "not well-formed JSON";
  return reader.error;
}

}  // namespace

bool MatchList::append_page(const MatchList& next) {
  if (next.version != version || next.total != total) return false;
  const auto base = static_cast<std::uint32_t>(ids.size());
  ids += next.ids;
  for (MatchEntry e : next.entries) {
    e.id_offset += base;
    entries.push_back(e);
  }
  has_more = next.has_more;
  return has_more ? entries.size() < total : entries.size() == total;
}

const char* parse_match(std::string_view value, std::size_t page_size, const RankPosition* after,
                        MatchList& into) {
  MatchParser reader(into, page_size);
  std::size_t read = 0;
  if (const char* error = parse(value, read, reader)) return error;
  const std::size_t n = into.entries.size();
  if (n > into.total) return "more matches than its total";
  if (after) {
    if (n > 0 && !ranks_before(after->score, after->id, into.entries[0].score, into.id(0)))
      return "a further page that doesn't follow";
  } else if (into.has_more != (n < into.total)) {
    return "its total and what is left don't agree";
  }
  // Without this check an endpoint could return its matches one at a time, or pages without end.
  if (into.has_more && n < page_size) return "a page not full with more to come";
  into.ids.shrink_to_fit();
  into.entries.shrink_to_fit();
  return nullptr;
}

const char* parse_details(std::string_view value, const std::set<std::string>& asked,
                          std::string_view version, FetchedDetails& into) {
  into.value = std::make_shared<const std::string>(value);
  std::size_t read = 0;
  DetailsParser reader(into, read, asked);
  if (const char* error = parse(*into.value, read, reader)) return error;
  if (into.version == version && into.stalls.size() != asked.size())
    return "a stall that it matched is missing";
  return nullptr;
}

}  // namespace cairnhub::two_phase
