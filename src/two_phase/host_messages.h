// What hosts say in the two phases, read strictly: a value that is not exactly of this form is spoilt, and
// never stands for "nothing matches". No I/O.
//
// A match:  {"version":"7","total":12,"more":true,"matches":[["s-17",9.5],["s-4",9.5]]}
//   best first: higher score, then smaller id by bytes; `total` counts all matches of the block; `more`:
//   others rank after the last one here.
// A fetch:  {"version":"7","stalls":[{"stall":"s-17","detail":{...}}]}
//   `detail` goes on to the client as its bytes came.
//
// Errors are plain words for the log, or null. Sources: JSON is RFC 8259; numbers are IEEE 754 doubles.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhub::two_phase {

constexpr std::size_t kMaxIdBytes = 128, kMaxVersionBytes = 64;

struct MatchEntry {  // 16 bytes: a block may list tens of thousands
  double score;
  std::uint32_t id_offset;  // of its id, in the list's bytes
  std::uint16_t id_length;
};

// Where a stall stands within its block.
struct RankPosition {
  double score = 0;
  std::string id;
};

// Matches of one block at one version, best first; pages are joined to one list.
struct MatchList {
  std::string version;
  std::uint64_t total = 0;
  bool has_more = false;
  std::string ids;
  std::vector<MatchEntry> entries;

  std::string_view id(std::size_t i) const {
    return {ids.data() + entries[i].id_offset, entries[i].id_length};
  }
  std::size_t bytes() const { return ids.capacity() + entries.capacity() * sizeof(MatchEntry); }
  RankPosition last() const { return {entries.back().score, std::string(id(entries.size() - 1))}; }
  // The next page of the same version. False where it doesn't follow: the two can't both be true.
  bool append_page(const MatchList& next);
};

// `page`: how many were asked for at the most; `after`: the place they must rank after, or null.
const char* parse_match(std::string_view value, std::size_t page, const RankPosition* after, MatchList& into);

struct FetchedDetails {
  std::string version;
  std::shared_ptr<const std::string> value;  // the bytes as they came; the views are into it
  std::map<std::string, std::string_view> stalls;
};
// `asked`: each must be there where the version is `version`, none other may be.
const char* parse_details(std::string_view value, const std::set<std::string>& asked,
                          std::string_view version, FetchedDetails& into);

}  // namespace cairnhub::two_phase
