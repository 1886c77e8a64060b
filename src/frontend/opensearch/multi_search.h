// An _msearch request. Its searches start a few at a time, as the memory allows, and each outcome is written
// in order as soon as the client has read those before it. So the memory that it takes doesn't grow with the
// number of its searches.
//
// The time of each search counts from the arrival of the request. A search that couldn't start in its time
// gets status 429.
#pragma once
#include <deque>
#include <memory>
#include <variant>
#include <vector>

#include "base/time.h"
#include "dispatch/body_source.h"
#include "frontend/opensearch/resume_queue.h"
#include "frontend/opensearch/search_executor.h"
#include "policy/search_admission.h"

namespace cairnhub::frontend::opensearch {

// One search of the request, or the reason why it can't run.
struct MultiSearchItem {
  std::variant<SearchJob, cairnhub::opensearch::ApiError> job;
  SearchAdmission* admission = nullptr;  // of the index; null for an error
};

class MultiSearch : public Resumable,
                    public dispatch::BodySource,
                    public std::enable_shared_from_this<MultiSearch> {
 public:
  MultiSearch(SearchExecutor& executor, ResumeQueue& queue, std::unique_ptr<dispatch::Responder> responder,
              std::vector<MultiSearchItem> items);
  void start();
  // Called once the client has disconnected.
  void abandon();

  void resume() override;
  State next_piece(std::string& piece) override;
  void on_written() override { resume(); }

 private:
  // A search that has been started, until its outcome is taken into the response.
  struct Slot {
    RequestId request_id = 0;  // 0 once it has ended
    bool has_ended = false;
    cairnhub::opensearch::ApiResponse response;
    dispatch::MemoryReservation memory;  // of the response
  };

  void start_searches();
  // Starts the next search. @return false if it must wait for memory
  bool start_next();
  void start_search(MultiSearchItem& item, Slot& slot);
  void end_search(Slot& slot, cairnhub::opensearch::ApiResponse response);

  SearchExecutor& executor_;
  ResumeQueue& queue_;
  std::unique_ptr<dispatch::Responder> responder_;
  const Time began_at_;
  std::deque<MultiSearchItem> waiting_;  // searches that have not started
  dispatch::MemoryReservation waiting_memory_;
  std::deque<std::unique_ptr<Slot>> in_hand_;        // in the order of the request
  enum class Progress { kHead, kItems, kComplete };  // of the body: what comes next
  Progress progress_ = Progress::kHead;
  bool is_starting_ = false;
  bool is_abandoned_ = false;
};

}  // namespace cairnhub::frontend::opensearch
