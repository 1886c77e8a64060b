// An _mget request. Asks every shard of each index, since the shard that holds a document isn't known. A
// document is reported as not found only if all shards have answered. The documents are written one by one,
// as the client reads: a request may name one document many times.
#pragma once
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/body_source.h"
#include "frontend/opensearch/search_executor.h"

namespace cairnhub::frontend::opensearch {

class MultiGet : public dispatch::BodySource, public std::enable_shared_from_this<MultiGet> {
 public:
  using FindIndex = std::function<const IndexDefinition*(const std::string& name)>;

  MultiGet(SearchExecutor& executor, std::unique_ptr<dispatch::Responder> responder,
           std::vector<cairnhub::opensearch::MgetItem> items);
  // @param find_index returns null for an index that doesn't exist
  void start(const FindIndex& find_index);
  // Called once the client has disconnected.
  void abandon();

  State next_piece(std::string& piece) override;
  void on_written() override { responder_->resume(); }

 private:
  // The search for the documents of one index.
  struct IndexSearch {
    std::vector<std::string> ids;
    RequestId request_id = 0;  // 0 once it has ended
    SearchOutcome outcome;
    std::map<std::string, const std::string*> raw_hits;  // by id; point into the outcome
  };

  void end_search(IndexSearch& search, SearchOutcome outcome);
  std::string document_text(const cairnhub::opensearch::MgetItem& item) const;

  SearchExecutor& executor_;
  std::unique_ptr<dispatch::Responder> responder_;
  std::vector<cairnhub::opensearch::MgetItem> items_;
  std::map<std::string, IndexSearch> searches_;  // by index
  std::size_t unfinished_ = 0;                   // searches that have not ended
  std::size_t next_item_ = 0;                    // the next document to write
  bool is_complete_ = false;                     // the whole body has been taken
  dispatch::MemoryReservation request_memory_;
  dispatch::MemoryReservation outcome_memory_;
};

}  // namespace cairnhub::frontend::opensearch
