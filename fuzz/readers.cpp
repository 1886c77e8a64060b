// libFuzzer target for everything that is read from outside in JSON: the first byte chooses the reader. What
// a reader takes must hold what its header promises; anything else ends the run.
//
//   clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -Isrc fuzz/readers.cpp src/opensearch/*.cpp
//     src/two_phase/host_messages.cpp -lxxhash -o build/fuzz_readers && build/fuzz_readers -runs=20000
//     -seed=1 fuzz/corpus
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "opensearch/merge.h"
#include "two_phase/host_messages.h"

using namespace cairnhub;
using namespace cairnhub::opensearch;

namespace {

void must(bool holds) {
  if (!holds) std::abort();
}

void answer(std::string_view text, const Search& s) {
  ShardAnswer one;
  if (parse_shard_answer(text, s, "r", 1, one)) return;
  must(one.hits.size() <= s.window());
  for (const Hit& h : one.hits) must(json::parse(h.raw)["_id"] == h.id);
  const auto merged = merge(s, {{1, &one}}, true);
  if (const auto* m = std::get_if<MergedResult>(&merged)) must(m->page.size() + s.from >= one.hits.size());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  const Limits limits;
  switch (data[0] % 7) {
    case 0: {
      const auto read = parse_search(text, limits);
      if (const auto* s = std::get_if<Search>(&read)) {
        must(s->window() <= limits.max_window);
        // What goes on to the hosts is itself a request that can be read.
        json ask;
        must(parse_json(shard_search_body(*s), ask) == nullptr);
      }
      break;
    }
    case 1:
      parse_msearch(text, "r", limits);
      break;
    case 2:
      parse_mget(text, "r", limits);
      break;
    case 3:
      answer(text, Search{});
      break;
    case 4: {
      Search s;
      s.sort.push_back({"levy", true, false});
      s.aggregations.push_back({"a", "market", Aggregation::Kind::kTerms});
      s.aggregations.push_back({"b", "levy", Aggregation::Kind::kHistogram, 10, 25, 5});
      answer(text, s);
      break;
    }
    case 5: {
      two_phase::MatchList list;
      if (two_phase::parse_match(text, 8, nullptr, list)) break;
      must(list.entries.size() <= 8 && list.entries.size() <= list.total);
      for (std::size_t i = 0; i < list.entries.size(); ++i) must(!list.id(i).empty());
      break;
    }
    default: {
      two_phase::FetchedDetails d;
      if (two_phase::parse_details(text, {"a", "b"}, "1", d)) break;
      for (const auto& [stall, detail] : d.stalls) must(json::parse(detail).is_object());
    }
  }
  return 0;
}
