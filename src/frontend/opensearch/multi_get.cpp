#include "frontend/opensearch/multi_get.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace cairnhub::frontend::opensearch {

namespace os = cairnhub::opensearch;
using os::json;

MultiGet::MultiGet(SearchExecutor& executor, std::unique_ptr<dispatch::Responder> responder,
                   std::vector<os::MgetItem> items)
    : executor_(executor),
      responder_(std::move(responder)),
      items_(std::move(items)),
      request_memory_(executor.memory(), dispatch::MemoryUse::kRequests),
      outcome_memory_(executor.memory(), dispatch::MemoryUse::kAnswers) {
  for (const os::MgetItem& item : items_) {
    // Each id is kept once more in the search of its index.
    request_memory_.add(sizeof item + item.index.capacity() + 2 * item.id.capacity());
    auto& ids = searches_[item.index].ids;
    if (std::find(ids.begin(), ids.end(), item.id) == ids.end()) ids.push_back(item.id);
  }
  // Counted before the first search starts, so that one that ends at once doesn't complete the response.
  unfinished_ = searches_.size();
}

void MultiGet::start(const FindIndex& find_index) {
  const auto self = shared_from_this();
  for (auto& [name, search] : searches_) {
    const IndexDefinition* index = find_index(name);
    if (!index) {
      SearchOutcome outcome;
      outcome.response = os::error_response(os::index_not_found(name));
      end_search(search, std::move(outcome));
    } else if (executor_.is_full()) {
      end_search(search, executor_.rejected_outcome());
    } else {
      os::Search ids_search;
      ids_search.query = {{"ids", {{"values", search.ids}}}};
      ids_search.size = search.ids.size();
      executor_.start(
          SearchJob(*index, std::move(ids_search), SearchJob::Result::kHits), now(), 0, search.request_id,
          [self, &search = search](SearchOutcome outcome) { self->end_search(search, std::move(outcome)); });
    }
  }
}

void MultiGet::abandon() {
  for (auto& [name, search] : searches_) {
    if (search.request_id) executor_.abandon(std::exchange(search.request_id, 0));
  }
}

void MultiGet::end_search(IndexSearch& search, SearchOutcome outcome) {
  search.request_id = 0;
  search.outcome = std::move(outcome);
  outcome_memory_.add(search.outcome.memory_bytes());
  for (const FoundHit& hit : search.outcome.hits) search.raw_hits[hit.id] = &hit.raw;
  if (--unfinished_ == 0) responder_->respond_in_pieces(200, "application/json", *this);
}

MultiGet::State MultiGet::next_piece(std::string& piece) {
  if (is_complete_) return State::kComplete;
  piece = next_item_ == 0 ? "{\"docs\":[" : ",";
  piece += document_text(items_[next_item_]);
  if (++next_item_ == items_.size()) {
    piece += "]}";
    is_complete_ = true;
  }
  return State::kPiece;
}

std::string MultiGet::document_text(const os::MgetItem& item) const {
  const IndexSearch& search = searches_.at(item.index);
  json document{{"_index", item.index}, {"_id", item.id}};
  if (const auto hit = search.raw_hits.find(item.id); hit != search.raw_hits.end()) {
    json parsed = json::parse(*hit->second);
    document["found"] = true;
    if (parsed.contains("_source")) document["_source"] = std::move(parsed["_source"]);
  } else if (search.outcome.is_complete) {
    document["found"] = false;
  } else {
    const json error = json::parse(search.outcome.response.body, nullptr, false);
    document["error"] = error.contains("error")
                            ? error["error"]
                            : json{{"type", "no_shard_available_action_exception"},
                                   {"reason", "not every block answered, so that it may be there or not"}};
  }
  return os::json_text(document);
}

}  // namespace cairnhub::frontend::opensearch
