// Parses the values that endpoints return in the match and fetch phases. Parsing is strict: a value that is
// not exactly of the form below is invalid, and is never read as "nothing matches". No I/O.
//
// A match:  {"version":"7","total":12,"more":true,"matches":[["s-17",9.5],["s-4",9.5]]}
//   `matches` is ordered by descending score, then by id in byte order. `total` counts all matches of the
//   block. `more` says whether others rank after the last match of this page.
// A fetch:  {"version":"7","stalls":[{"stall":"s-17","detail":{...}}]}
//   The bytes of `detail` are passed to the client unchanged.
//
// The parsers return an error text for the log, or null. JSON is RFC 8259; numbers are IEEE 754 doubles.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhub::two_phase {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxVersionBytes = 64;

// One match. Kept at 16 bytes, since a block may list tens of thousands.
struct MatchEntry {
  double score;
  std::uint32_t id_offset;  // in MatchList::ids
  std::uint16_t id_length;
};

// The rank of a stall within its block.
struct RankPosition {
  double score = 0;
  std::string id;
};

// The matches of one block at one version, best first. Further pages are appended to the same list.
struct MatchList {
  std::string version;
  std::uint64_t total = 0;
  bool has_more = false;
  std::string ids;  // concatenated
  std::vector<MatchEntry> entries;

  std::string_view id(std::size_t i) const {
    return {ids.data() + entries[i].id_offset, entries[i].id_length};
  }
  std::size_t memory_bytes() const { return ids.capacity() + entries.capacity() * sizeof(MatchEntry); }
  // Call it only where the list has entries.
  RankPosition last() const { return {entries.back().score, std::string(id(entries.size() - 1))}; }
  // Appends the next page.
  // @return false where the page contradicts the list: another version or total, or a wrong count at its end
  bool append_page(const MatchList& next);
};

// Parses the response to a match request.
// @param page_size the most matches that were requested
// @param after the position that all matches must rank after, or null for a first page
// @param into gets the matches; valid only where no error is returned
// @return what is wrong with the value, or null
const char* parse_match(std::string_view value, std::size_t page_size, const RankPosition* after,
                        MatchList& into);

// The details that a block returned, by stall.
struct FetchedDetails {
  std::string version;
  std::shared_ptr<const std::string> value;  // the bytes received; `stalls` refers to them
  std::map<std::string, std::string_view> stalls;
};
// Parses the response to a fetch request.
// @param asked the ids requested: no other may be present, and none may be missing if the response is of
//     the version `version`
// @return what is wrong with the value, or null
const char* parse_details(std::string_view value, const std::set<std::string>& asked,
                          std::string_view version, FetchedDetails& into);

}  // namespace cairnhub::two_phase
