#include "two_phase/host_messages.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace cairnhub::two_phase {

namespace {

using nlohmann::json;

// Reads along and says how far the parser has come, so that the bytes of a value can be taken as they stand.
struct Cursor {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  const char* at = nullptr;
  std::size_t* read = nullptr;
  reference operator*() const { return *at; }
  Cursor& operator++() {
    ++at, ++*read;
    return *this;
  }
  Cursor operator++(int) {
    Cursor before = *this;
    ++*this;
    return before;
  }
  bool operator==(const Cursor& o) const { return at == o.at; }
  bool operator!=(const Cursor& o) const { return at != o.at; }
};

// Every event is a fault unless a reader expects it there.
struct Strict : nlohmann::json_sax<json> {
  const char* wrong = nullptr;
  bool no(const char* why) {
    if (!wrong) wrong = why;
    return false;
  }
  bool null() override { return no("a null"); }
  bool boolean(bool) override { return no("a truth value out of place"); }
  bool number_integer(number_integer_t v) override { return number(static_cast<double>(v)); }
  bool number_unsigned(number_unsigned_t v) override { return count(v); }
  bool number_float(number_float_t v, const string_t&) override { return number(v); }
  bool binary(binary_t&) override { return no("binary"); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return no("not well-formed JSON");
  }
  virtual bool number(double) { return no("a number out of place"); }
  virtual bool count(std::uint64_t v) { return number(static_cast<double>(v)); }
};

// The keys of one object, each once.
template <std::size_t n>
struct Keys {
  const char* names[n];
  bool seen[n] = {};
  // Which it is, or -1: unknown or there already.
  int take(std::string_view key) {
    for (std::size_t i = 0; i < n; ++i)
      if (key == names[i]) return std::exchange(seen[i], true) ? -1 : static_cast<int>(i);
    return -1;
  }
  bool all() const {
    for (const bool s : seen)
      if (!s) return false;
    return true;
  }
};

bool plain_id(std::string_view id) {
  if (id.empty() || id.size() > kMaxIdBytes) return false;
  for (const char c : id)
    if (static_cast<unsigned char>(c) < ' ') return false;
  return true;
}

// Whether a ranks before b within a block.
bool before(double score_a, std::string_view id_a, double score_b, std::string_view id_b) {
  return score_a != score_b ? score_a > score_b : id_a < id_b;
}

struct MatchReader : Strict {
  MatchList& into;
  std::size_t most;
  Keys<4> keys{{"version", "total", "more", "matches"}};
  int key_now = -1, depth = 0, item = 0;
  explicit MatchReader(MatchList& m, std::size_t page) : into(m), most(page) {}

  bool start_object(std::size_t) override { return ++depth == 1 || no("an object out of place"); }
  bool key(string_t& k) override { return (key_now = keys.take(k)) >= 0 || no("a key unknown or twice"); }
  bool end_object() override { return --depth, keys.all() || no("a key is missing"); }
  bool start_array(std::size_t) override {
    if (depth == 1 && key_now == 3) return depth = 2, true;
    if (depth == 2) return depth = 3, item = 0, true;
    return no("a list out of place");
  }
  bool end_array() override {
    if (depth == 3 && item != 2) return no("a match is not a stall and its score");
    return --depth, key_now = -1, true;
  }
  bool string(string_t& v) override {
    if (depth == 1 && key_now == 0) {
      if (v.empty() || v.size() > kMaxVersionBytes) return no("a version of no possible length");
      return into.version = v, true;
    }
    if (depth != 3 || item++ != 0) return no("a text out of place");
    if (!plain_id(v)) return no("a stall's name is empty, too long or not plain");
    if (into.entries.size() >= most) return no("more matches than asked for");
    if (into.ids.size() + v.size() > std::numeric_limits<std::uint32_t>::max()) return no("too long");
    into.entries.push_back(
        {0, static_cast<std::uint32_t>(into.ids.size()), static_cast<std::uint16_t>(v.size())});
    into.ids += v;
    return true;
  }
  bool boolean(bool v) override {
    return depth == 1 && key_now == 2 ? into.has_more = v, true : no("a truth value out of place");
  }
  bool count(std::uint64_t v) override {
    return depth == 1 && key_now == 1 ? into.total = v, true : number(static_cast<double>(v));
  }
  bool number(double v) override {
    if (depth != 3 || item++ != 1) return no("a number out of place");
    if (!std::isfinite(v)) return no("a score is not a number");
    MatchEntry& e = into.entries.back();
    e.score = v == 0 ? 0 : v;  // a minus zero ranks as zero
    if (const std::size_t n = into.entries.size(); n > 1)
      if (const MatchEntry& b = into.entries[n - 2];
          !before(b.score, into.id(n - 2), e.score, into.id(n - 1)))
        return no("matches out of order");
    return true;
  }
};

struct DetailReader : Strict {
  FetchedDetails& into;
  const std::size_t& read;  // bytes so far
  const std::set<std::string>& asked;
  Keys<2> keys{{"version", "stalls"}}, stall_keys{{"stall", "detail"}};
  int key_now = -1, stall_key = -1, depth = 0;
  int inner = 0;  // depth within a detail
  std::size_t detail_from = 0;
  std::string stall;
  std::string_view detail;
  DetailReader(FetchedDetails& d, const std::size_t& r, const std::set<std::string>& a)
      : into(d), read(r), asked(a) {}

  static constexpr int kDeepest =
      32;  // Danger: a detail nested without end takes stack where it's read again
  bool inside() const { return inner > 0; }
  bool start_object(std::size_t) override {
    if (inside()) return ++inner <= kDeepest || no("a detail nested too deeply");
    if (depth == 0) return depth = 1, true;
    if (depth == 2) return depth = 3, stall_keys = {{"stall", "detail"}}, true;
    if (depth == 3 && stall_key == 1) return inner = 1, detail_from = read - 1, true;
    return no("an object out of place");
  }
  bool key(string_t& k) override {
    if (inside()) return true;
    if (depth == 1) return (key_now = keys.take(k)) >= 0 || no("a key unknown or twice");
    return (stall_key = stall_keys.take(k)) >= 0 || no("a stall's key unknown or twice");
  }
  bool end_object() override {
    if (inside()) {
      if (--inner == 0)
        detail = std::string_view(*into.value).substr(detail_from, read - detail_from), stall_key = -1;
      return true;
    }
    if (depth == 1) return depth = 0, keys.all() || no("a key is missing");
    depth = 2;
    if (!stall_keys.all()) return no("a stall's key is missing");
    if (!asked.count(stall)) return no("a stall that was not asked for");
    return into.stalls.emplace(stall, detail).second || no("a stall twice");
  }
  bool start_array(std::size_t) override {
    if (inside()) return ++inner <= kDeepest || no("a detail nested too deeply");
    return depth == 1 && key_now == 1 ? depth = 2, true : no("a list out of place");
  }
  bool end_array() override {
    if (inside()) return --inner, true;
    return depth = 1, key_now = -1, true;
  }
  bool string(string_t& v) override {
    if (inside()) return true;
    if (depth == 1 && key_now == 0) {
      if (v.empty() || v.size() > kMaxVersionBytes) return no("a version of no possible length");
      return into.version = v, true;
    }
    return depth == 3 && stall_key == 0 ? stall = v, true : no("a text out of place");
  }
  bool null() override { return inside() || no("a null"); }
  bool boolean(bool) override { return inside() || no("a truth value out of place"); }
  bool number(double) override { return inside() || no("a number out of place"); }
};

const char* parse(std::string_view value, std::size_t& read, Strict& reader) {
  const Cursor from{value.data(), &read}, to{value.data() + value.size(), &read};
  if (!json::sax_parse(from, to, &reader) && !reader.wrong) reader.wrong = "not well-formed JSON";
  return reader.wrong;
}

}  // namespace

bool MatchList::append_page(const MatchList& next) {
  if (next.version != version || next.total != total) return false;
  const auto base = static_cast<std::uint32_t>(ids.size());
  ids += next.ids;
  for (MatchEntry e : next.entries) e.id_offset += base, entries.push_back(e);
  has_more = next.has_more;
  return has_more ? entries.size() < total : entries.size() == total;
}

const char* parse_match(std::string_view value, std::size_t page, const RankPosition* after,
                        MatchList& into) {
  MatchReader reader(into, page);
  std::size_t read = 0;
  if (const char* wrong = parse(value, read, reader)) return wrong;
  const std::size_t n = into.entries.size();
  if (n > into.total) return "more matches than its total";
  if (after) {
    if (n > 0 && !before(after->score, after->id, into.entries[0].score, into.id(0)))
      return "a further page that doesn't follow";
  } else if (into.has_more != (n < into.total)) {
    return "its total and what is left don't agree";
  }
  // Danger: pages that never come to an end, or come one stall at a time.
  if (into.has_more && n < page) return "a page not full with more to come";
  into.ids.shrink_to_fit(), into.entries.shrink_to_fit();
  return nullptr;
}

const char* parse_details(std::string_view value, const std::set<std::string>& asked,
                          std::string_view version, FetchedDetails& into) {
  into.value = std::make_shared<const std::string>(value);
  std::size_t read = 0;
  DetailReader reader(into, read, asked);
  if (const char* wrong = parse(*into.value, read, reader)) return wrong;
  if (into.version == version && into.stalls.size() != asked.size())
    return "a stall that it matched is missing";
  return nullptr;
}

}  // namespace cairnhub::two_phase
